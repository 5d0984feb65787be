#include "waxwingfall/call/worker_view.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwingfall;

namespace {

constexpr time_point start{};
constexpr milliseconds drain{1000};

worker_report report(std::uint64_t incarnation, std::uint64_t sequence,
                     worker_state state = worker_state::ready) {
    return {"i-1", "s", "a:1", "here", 12, state, milliseconds(0), incarnation, sequence};
}

worker_report leave(std::uint64_t incarnation = 0) {
    return {"i-1", "", "", "", 0, worker_state::left, milliseconds(0), incarnation, 0};
}

worker_view fresh_view() {
    worker_view view;
    view.address = "a:1";
    return view;
}

} // namespace

TEST(WorkerView, AcceptsNothingBeforeFirstReport) {
    const worker_view view = fresh_view();
    EXPECT_FALSE(takes_work(view));
    EXPECT_FALSE(may_run(view, drain, start));
}

TEST(WorkerView, OutdatedHeartbeatIsIgnored) {
    worker_view view = fresh_view();
    EXPECT_EQ(take_report(view, report(100, 2), start), report_verdict::taken);
    EXPECT_EQ(take_report(view, report(100, 3, worker_state::draining), start), report_verdict::taken);
    EXPECT_EQ(take_report(view, report(100, 2), start), report_verdict::outdated);
    EXPECT_FALSE(takes_work(view));
}

TEST(WorkerView, DrainingWorkerRunsRequestsDuringDrainTime) {
    worker_view view = fresh_view();
    take_report(view, report(100, 1), start);
    take_report(view, report(100, 2, worker_state::draining), start);
    take_report(view, report(100, 3, worker_state::draining), start + milliseconds(900));
    EXPECT_TRUE(may_run(view, drain, start + milliseconds(999)));
    EXPECT_FALSE(may_run(view, drain, start + milliseconds(1000)));
}

TEST(WorkerView, HeartbeatOfOldIncarnationDoesNotReplaceSuccessor) {
    worker_view view = fresh_view();
    worker_report successor = report(200, 1);
    successor.worker_id = "i-2";
    take_report(view, report(100, 9), start);
    EXPECT_EQ(take_report(view, successor, start), report_verdict::taken);
    EXPECT_EQ(take_report(view, report(100, 10), start), report_verdict::outdated);
    EXPECT_EQ(view.worker_id, "i-2");
}

TEST(WorkerView, RestartedWorkerWithSameIdAcceptsRequests) {
    worker_view view = fresh_view();
    take_report(view, report(100, 9), start);
    take_report(view, leave(), start);
    EXPECT_FALSE(takes_work(view));
    EXPECT_EQ(take_report(view, report(200, 1), start), report_verdict::taken);
    EXPECT_TRUE(takes_work(view));
}

TEST(WorkerView, LeaveWithoutIncarnationIsNotRevokedBySameWorker) {
    // A node that starts after its worker may learn of the leave first, and the leave names no incarnation.
    worker_view view = fresh_view();
    take_report(view, leave(), start);
    const time_point later = start + milliseconds(2000);
    EXPECT_EQ(take_report(view, report(100, 13), later), report_verdict::outdated);
    EXPECT_FALSE(may_run(view, drain, later));
    EXPECT_EQ(take_report(view, report(200, 1), later), report_verdict::taken);
}

TEST(WorkerView, LeaveAcknowledgedByPreviousProcessHolds) {
    worker_view view = fresh_view();
    remember_leave(view, "i-1", 100);
    EXPECT_EQ(take_report(view, report(100, 9), start), report_verdict::outdated);
    EXPECT_FALSE(takes_work(view));
    EXPECT_EQ(take_report(view, report(200, 1), start), report_verdict::taken);
    worker_view reported_first = fresh_view();
    take_report(reported_first, report(100, 9), start);
    remember_leave(reported_first, "i-1", 100);
    EXPECT_FALSE(takes_work(reported_first));
}

TEST(WorkerView, ReportsFromOtherAddressesAreForeign) {
    worker_view view = fresh_view();
    worker_report other = report(100, 1);
    other.address = "b:1";
    EXPECT_EQ(take_report(view, other, start), report_verdict::foreign);
    EXPECT_TRUE(view.worker_id.empty());
}

// In whatever order the reports of an incarnation arrive, none sent before its leave notice makes it accept
// requests again.
RC_GTEST_PROP(WorkerView, NoReportOrderReactivatesLeavingIncarnation, ()) {
    worker_view view = fresh_view();
    time_point now = start;
    bool has_left = false;
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step < steps; ++step) {
        now += milliseconds(*rc::gen::inRange(0, 700));
        const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 20);
        constexpr std::uint64_t notice = 12;
        const worker_state state = sequence >= notice ? worker_state::draining : worker_state::ready;
        const auto verdict = take_report(view, report(100, sequence, state), now);
        has_left = has_left || (verdict == report_verdict::taken && state == worker_state::draining);
        RC_ASSERT((!has_left || !takes_work(view)));
    }
}
