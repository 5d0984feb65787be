#include "waxwingfall/cluster/shutdown_plan.h"

#include <gtest/gtest.h>

using namespace waxwingfall;

namespace {

constexpr milliseconds notice{2600};
constexpr milliseconds limit{5500};

shutdown_plan plan_at(milliseconds since, bool is_idle = false, bool handed_over = true) {
    return plan_shutdown({since, notice, limit, is_idle, handed_over});
}

} // namespace

TEST(ShutdownPlan, OtherNodesAreNotifiedEarlyEnoughBeforeRequestsAreRefused) {
    milliseconds notified{0};
    milliseconds refuses{0};
    for (milliseconds since{0}; since <= limit; since += milliseconds(50)) {
        notified = notified.count() == 0 && plan_at(since).withdrawn ? since : notified;
        refuses = refuses.count() == 0 && plan_at(since).refuses_requests ? since : refuses;
    }
    constexpr milliseconds slowest_notification{800};
    EXPECT_GE(refuses - notified, slowest_notification);
    EXPECT_GE(refuses, notice);
}

// Withdrawing a node at the signal leaves its worker idle for the whole notice period: when 34 of 81 nodes
// restart within 12.6 s, that is 2.6 s for each and 7 of 81 workers at any time.
TEST(ShutdownPlan, WorkerKeepsServingForMostOfTheNoticePeriod) {
    int idle_ms = 0;
    for (milliseconds since{0}; since < notice; since += milliseconds(50)) {
        idle_ms += plan_at(since).withdrawn ? 50 : 0;
    }
    EXPECT_LE(idle_ms, 1000);
}

TEST(ShutdownPlan, NodeStopsWhenIdleAndAtItsTimeoutAtTheLatest) {
    EXPECT_FALSE(plan_at(milliseconds(100), true).stops);
    EXPECT_TRUE(plan_at(notice, true).stops);
    EXPECT_FALSE(plan_at(notice, false).stops);
    EXPECT_FALSE(plan_at(notice, true, false).stops);
    EXPECT_TRUE(plan_at(limit + milliseconds(1)).stops);
}

// With a notice period shorter than the lead time, other nodes are notified at the signal.
TEST(ShutdownPlan, WithdrawsImmediatelyIfTheNoticePeriodIsShort) {
    EXPECT_TRUE(plan_shutdown({milliseconds(0), milliseconds(500), limit, false, true}).withdrawn);
}

// Guards against requests that are passed on late in a shutdown and cut when the node stops.
TEST(ShutdownPlan, OnlyRequestsWhoseDeadlineComesFirstArePassedOnAfterTheNotice) {
    const time_point signal{};
    const time_point stops_at = signal + limit;
    const time_point arrival = signal + notice;
    EXPECT_TRUE(ends_before_shutdown(arrival + milliseconds(2000), stops_at));
    EXPECT_FALSE(ends_before_shutdown(arrival + milliseconds(4000), stops_at));
    EXPECT_FALSE(ends_before_shutdown(stops_at, stops_at));
}

// Guards against calls that are open when the node stops, so that their connections close without a response.
TEST(ShutdownPlan, OpenCallsAreEndedBeforeTheNodeStops) {
    constexpr milliseconds least_time_to_respond{150};
    milliseconds ended{0};
    milliseconds stopped{0};
    for (milliseconds since{0}; since <= limit + milliseconds(50); since += milliseconds(50)) {
        ended = ended.count() == 0 && plan_at(since).ends_calls ? since : ended;
        stopped = stopped.count() == 0 && plan_at(since).stops ? since : stopped;
    }
    EXPECT_GE(ended, notice);
    EXPECT_GE(stopped - ended, least_time_to_respond);
    EXPECT_LE(stopped - ended, milliseconds(500)) << "requests that run may still end";
}

// Guards against a request that starts although it can't end before the process that waits for it.
TEST(ShutdownPlan, RequestStartsOnlyIfItIsExpectedToEndBeforeTheShutdown) {
    const time_point now{};
    const time_point ends_by = now + milliseconds(1000);
    const time_point late = now + milliseconds(5000);
    EXPECT_TRUE(may_start_before_shutdown({late, milliseconds(900)}, ends_by, now));
    EXPECT_FALSE(may_start_before_shutdown({late, milliseconds(1100)}, ends_by, now));
    EXPECT_FALSE(may_start_before_shutdown({late, milliseconds(0)}, ends_by, ends_by));
    EXPECT_TRUE(may_start_before_shutdown({ends_by, milliseconds(1100)}, ends_by, now));
    EXPECT_TRUE(may_start_before_shutdown({late, milliseconds(9000)}, std::nullopt, now));
}

// Guards against a call that is ended with an unknown outcome while the refusal of its request is on its way.
TEST(ShutdownPlan, RefusalsOfForwardedRequestsArriveBeforeTheirCallsAreEnded) {
    constexpr milliseconds slowest_refusal{700};
    const time_point stops_at = time_point{} + limit;
    const time_point forwarded = forwarded_requests_end(stops_at);
    EXPECT_GE(local_requests_end(stops_at) - forwarded, slowest_refusal);
    EXPECT_FALSE(plan_at(milliseconds(elapsed_ms(time_point{}, forwarded))).ends_calls);
    EXPECT_TRUE(plan_at(milliseconds(elapsed_ms(time_point{}, local_requests_end(stops_at)))).ends_calls);
}
