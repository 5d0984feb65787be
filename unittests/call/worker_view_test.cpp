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
    EXPECT_FALSE(accepts_requests(view));
    EXPECT_FALSE(may_admit(view, drain, start));
}

TEST(WorkerView, OutdatedHeartbeatIsIgnored) {
    worker_view view = fresh_view();
    EXPECT_EQ(update_worker_view(view, report(100, 2), start), report_verdict::applied);
    EXPECT_EQ(update_worker_view(view, report(100, 3, worker_state::draining), start),
              report_verdict::applied);
    EXPECT_EQ(update_worker_view(view, report(100, 2), start), report_verdict::outdated);
    EXPECT_FALSE(accepts_requests(view));
}

TEST(WorkerView, DrainingWorkerRunsRequestsDuringDrainTime) {
    worker_view view = fresh_view();
    update_worker_view(view, report(100, 1), start);
    update_worker_view(view, report(100, 2, worker_state::draining), start);
    update_worker_view(view, report(100, 3, worker_state::draining), start + milliseconds(900));
    EXPECT_TRUE(may_admit(view, drain, start + milliseconds(999)));
    EXPECT_FALSE(may_admit(view, drain, start + milliseconds(1000)));
}

TEST(WorkerView, HeartbeatOfOldIncarnationDoesNotReplaceSuccessor) {
    worker_view view = fresh_view();
    worker_report successor = report(200, 1);
    successor.worker_id = "i-2";
    update_worker_view(view, report(100, 9), start);
    EXPECT_EQ(update_worker_view(view, successor, start), report_verdict::applied);
    EXPECT_EQ(update_worker_view(view, report(100, 10), start), report_verdict::outdated);
    EXPECT_EQ(view.worker_id, "i-2");
}

TEST(WorkerView, RestartedWorkerWithSameIdAcceptsRequests) {
    worker_view view = fresh_view();
    update_worker_view(view, report(100, 9), start);
    update_worker_view(view, leave(), start);
    EXPECT_FALSE(accepts_requests(view));
    EXPECT_EQ(update_worker_view(view, report(200, 1), start), report_verdict::applied);
    EXPECT_TRUE(accepts_requests(view));
}

TEST(WorkerView, LeaveWithoutIncarnationIsNotRevokedBySameWorker) {
    // A node that starts after its worker may learn of the leave first, and the leave names no incarnation.
    worker_view view = fresh_view();
    update_worker_view(view, leave(), start);
    const time_point later = start + milliseconds(2000);
    EXPECT_EQ(update_worker_view(view, report(100, 13), later), report_verdict::outdated);
    EXPECT_FALSE(may_admit(view, drain, later));
    EXPECT_EQ(update_worker_view(view, report(200, 1), later), report_verdict::applied);
}

TEST(WorkerView, LeaveAcknowledgedByPreviousProcessHolds) {
    worker_view view = fresh_view();
    record_leave(view, "i-1", 100);
    EXPECT_EQ(update_worker_view(view, report(100, 9), start), report_verdict::outdated);
    EXPECT_FALSE(accepts_requests(view));
    EXPECT_EQ(update_worker_view(view, report(200, 1), start), report_verdict::applied);
    worker_view reported_first = fresh_view();
    update_worker_view(reported_first, report(100, 9), start);
    record_leave(reported_first, "i-1", 100);
    EXPECT_FALSE(accepts_requests(reported_first));
}

TEST(WorkerView, ReportsFromOtherAddressesAreForeign) {
    worker_view view = fresh_view();
    worker_report other = report(100, 1);
    other.address = "b:1";
    EXPECT_EQ(update_worker_view(view, other, start), report_verdict::foreign);
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
        const auto verdict = update_worker_view(view, report(100, sequence, state), now);
        has_left = has_left || (verdict == report_verdict::applied && state == worker_state::draining);
        RC_ASSERT((!has_left || !accepts_requests(view)));
    }
}

// Guards against requests that waited for a worker and were run by one of another service at its address.
TEST(WorkerView, RequestForTheServiceOfAnEarlierWorkerIsRefused) {
    worker_view view = fresh_view();
    update_worker_view(view, report(100, 1), start);
    EXPECT_EQ(find_refusal(view, "s", drain, start), std::nullopt);
    EXPECT_EQ(find_refusal(view, "", drain, start), std::nullopt);
    EXPECT_EQ(find_refusal(view, "t", drain, start), error_kind::leaving);
    worker_report successor = report(200, 1);
    successor.worker_id = "i-2";
    successor.service = "t";
    EXPECT_EQ(update_worker_view(view, successor, start), report_verdict::applied);
    EXPECT_EQ(find_refusal(view, "s", drain, start), error_kind::leaving);
    EXPECT_EQ(find_refusal(view, "t", drain, start), std::nullopt);
}

TEST(WorkerView, RequestIsRefusedOnceItsWorkerIsUnreachableOrHasLeft) {
    worker_view view = fresh_view();
    update_worker_view(view, report(100, 1), start);
    mark_unreachable(view);
    EXPECT_EQ(find_refusal(view, "s", drain, start), error_kind::worker_unreachable);
    update_worker_view(view, report(100, 2, worker_state::draining), start);
    EXPECT_EQ(find_refusal(view, "s", drain, start + drain / 2), std::nullopt);
    EXPECT_EQ(find_refusal(view, "s", drain, start + drain), error_kind::leaving);
}

// Guards against a worker that had left and was used again: all nodes were restarted and a heartbeat from
// before its leave arrived late.
TEST(WorkerView, NewProcessDoesNotUseAWorkerBeforeItKnowsTheLeavesOfEarlierOnes) {
    worker_view view = fresh_view();
    await_leaves(view, start);
    EXPECT_EQ(update_worker_view(view, report(100, 9), start), report_verdict::deferred);
    EXPECT_EQ(update_worker_view(view, report(100, 8), start), report_verdict::deferred);
    EXPECT_FALSE(accepts_requests(view));
    record_leave(view, "i-1", 100);
    EXPECT_FALSE(apply_deferred_report(view, start));
    EXPECT_FALSE(accepts_requests(view));
    EXPECT_EQ(update_worker_view(view, report(100, 10), start), report_verdict::outdated);
    EXPECT_EQ(update_worker_view(view, report(200, 1), start), report_verdict::applied);
}

TEST(WorkerView, DeferredReportIsAppliedOnceNoLeaveIsKnown) {
    worker_view view = fresh_view();
    await_leaves(view, start);
    update_worker_view(view, report(100, 9), start);
    update_worker_view(view, report(100, 8), start);
    const auto applied = apply_deferred_report(view, start);
    ASSERT_TRUE(applied);
    EXPECT_EQ(applied->sequence, 9U);
    EXPECT_TRUE(accepts_requests(view));
}

TEST(WorkerView, LeaveThatArrivesAfterADeferredReportEndsIt) {
    for (const worker_report& last : {leave(), leave(100), report(100, 10, worker_state::draining)}) {
        worker_view view = fresh_view();
        await_leaves(view, start);
        update_worker_view(view, report(100, 9), start);
        EXPECT_EQ(update_worker_view(view, last, start), report_verdict::applied);
        EXPECT_FALSE(apply_deferred_report(view, start));
        EXPECT_FALSE(accepts_requests(view));
    }
}

TEST(WorkerView, ReportsAreTrustedWithoutTheStoreOnceLateOnesHaveArrived) {
    worker_view view = fresh_view();
    await_leaves(view, start);
    EXPECT_EQ(update_worker_view(view, report(100, 9), start + milliseconds(4900)), report_verdict::deferred);
    EXPECT_EQ(update_worker_view(view, report(100, 10), start + milliseconds(5000)), report_verdict::applied);
    EXPECT_TRUE(accepts_requests(view));
}

// Whatever is late, lost or restarted: once a leave was recorded, no report of that incarnation revives it.
RC_GTEST_PROP(WorkerView, RestartsBesideLateReportsNeverReviveAWorkerThatHasLeft, ()) {
    constexpr std::uint64_t incarnation = 100;
    worker_view view = fresh_view();
    time_point now = start;
    bool has_left = false;
    const int steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
        now += milliseconds(*rc::gen::inRange(0, 900));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            view = fresh_view();
            await_leaves(view, now);
            break;
        case 1:
            if (has_left) {
                record_leave(view, "i-1", incarnation);
            }
            apply_deferred_report(view, now);
            break;
        case 2:
            if (update_worker_view(view, leave(incarnation), now) == report_verdict::applied) {
                has_left = true;
            }
            break;
        default:
            // Reports are late by up to 2 s, so none arrives long after a restart that followed a leave.
            if (!has_left || view.leaves_known || now < view.reports_trusted_at) {
                update_worker_view(view, report(incarnation, *rc::gen::inRange<std::uint64_t>(1, 20)), now);
            }
        }
        const bool is_certain = view.leaves_known || now < view.reports_trusted_at;
        RC_ASSERT((!has_left || !is_certain || !accepts_requests(view)));
    }
}

// Guards against a repeated leave that is acknowledged as outdated although it is not stored yet.
TEST(WorkerView, RepeatedLeaveIsFoundLikeTheFirst) {
    worker_view view = fresh_view();
    update_worker_view(view, report(100, 4), start);
    EXPECT_FALSE(find_leave(view, report(100, 4)));
    EXPECT_EQ(update_worker_view(view, leave(100), start), report_verdict::applied);
    EXPECT_EQ(find_leave(view, leave(100)), (left_worker{"i-1", 100}));
    EXPECT_EQ(update_worker_view(view, leave(100), start), report_verdict::outdated);
    EXPECT_EQ(find_leave(view, leave(100)), (left_worker{"i-1", 100}));
    EXPECT_FALSE(find_leave(view, report(100, 4)));
}

TEST(WorkerView, LeaveThatPeersTellIsFoundUntilAnotherWorkerIsThere) {
    worker_view view = fresh_view();
    await_leaves(view, start);
    record_leave(view, "i-1", 100);
    EXPECT_EQ(update_worker_view(view, leave(100), start), report_verdict::outdated);
    EXPECT_EQ(find_leave(view, leave(100)), (left_worker{"i-1", 100}));
    apply_deferred_report(view, start);
    worker_report next = report(200, 1);
    next.worker_id = "i-2";
    update_worker_view(view, next, start);
    EXPECT_FALSE(find_leave(view, leave(100)));
}

// Guards against requests that name the service of a worker that has gone, and against a worker that is still
// there being taken for its planned successor.
TEST(WorkerView, LocalServiceIsThatOfTheWorkerThatIsThere) {
    const auto named = [](const char* id, const char* service, std::uint64_t incarnation) {
        worker_report sent = report(incarnation, 1);
        sent.worker_id = id;
        sent.service = service;
        return sent;
    };
    worker_view view = fresh_view();
    configure_service(view, "first");
    EXPECT_EQ(local_service(view), "first") << "before any report";
    update_worker_view(view, named("i-1", "first", 100), start);
    configure_service(view, "second");
    EXPECT_EQ(local_service(view), "first") << "the first worker is still there";
    update_worker_view(view, report(100, 2), start);
    mark_unreachable(view);
    EXPECT_EQ(local_service(view), "second") << "between the two workers";
    update_worker_view(view, named("i-2", "second", 200), start);
    EXPECT_EQ(local_service(view), "second");
    update_worker_view(view, named("i-3", "third", 300), start);
    EXPECT_EQ(local_service(view), "third") << "settings that nobody changed name an earlier service";
    mark_unreachable(view);
    EXPECT_EQ(local_service(view), "third");
    worker_report left = leave();
    left.worker_id = "i-3";
    update_worker_view(view, left, start);
    EXPECT_EQ(local_service(view), "third");
    configure_service(view, "fourth");
    EXPECT_EQ(local_service(view), "fourth");
}

TEST(WorkerView, LocalServiceFollowsTheWorkerInEitherOrderOfSettingsAndReports) {
    for (const bool settings_first : {false, true}) {
        worker_view view = fresh_view();
        configure_service(view, "first");
        update_worker_view(view, report(100, 1), start);
        worker_report successor = report(200, 1);
        successor.service = "second";
        if (settings_first) {
            configure_service(view, "second");
        }
        update_worker_view(view, successor, start);
        configure_service(view, "second");
        EXPECT_EQ(local_service(view), "second");
        mark_unreachable(view);
        EXPECT_EQ(local_service(view), "second");
    }
}
