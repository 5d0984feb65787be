#include "waxwingfall/call/nested_calls.h"

#include <gtest/gtest.h>

#include "simulated_service.h"

using namespace waxwingfall;

TEST(NestedCalls, IdExtendsThatOfARequestThatRuns) {
    running_requests running;
    track_run(running, "9c41");
    track_run(running, "");
    EXPECT_TRUE(extends_running_id(running, "9c41.6c2f"));
    EXPECT_TRUE(extends_running_id(running, "9c41.6c2f.01"));
    EXPECT_FALSE(extends_running_id(running, "9c41"));
    EXPECT_FALSE(extends_running_id(running, "9c4.6c2f"));
    EXPECT_FALSE(extends_running_id(running, "9c412.6c2f"));
    EXPECT_FALSE(extends_running_id(running, ".6c2f"));
    EXPECT_FALSE(extends_running_id(running, ""));
}

TEST(NestedCalls, RequestOfARunThatIsItselfNestedIsFound) {
    running_requests running;
    track_run(running, "9c41.6c2f");
    EXPECT_TRUE(extends_running_id(running, "9c41.6c2f.01"));
    EXPECT_FALSE(extends_running_id(running, "9c41.77"));
}

TEST(NestedCalls, RunEndsOnceForEachStart) {
    running_requests running;
    track_run(running, "9c41");
    track_run(running, "9c41");
    untrack_run(running, "9c41");
    EXPECT_TRUE(extends_running_id(running, "9c41.1"));
    untrack_run(running, "9c41");
    untrack_run(running, "9c41");
    EXPECT_FALSE(extends_running_id(running, "9c41.1"));
    EXPECT_TRUE(running.runs.empty());
}

// A worker with 12 slots gets 1.1 times the load that it can serve: bookings of 320 ms, and calls of 60 ms
// that run for lookups elsewhere, each of which fails if its call is refused. Both are of the same priority.
TEST(NestedCalls, AreServedWhileTheirServiceIsOverloaded) {
    const simulated_load bookings{31, milliseconds(320), milliseconds(1000), milliseconds(3000), 2, 1};
    simulated_load calls{56, milliseconds(60), milliseconds(250), milliseconds(800), 0, 1};
    const auto share_of_calls = [&] {
        return simulated_service(12, true)
            .simulate_together({bookings, calls}, milliseconds(30'000))
            .back()
            .share_served();
    };
    const double as_route = share_of_calls();
    calls.priority = nested_call_priority;
    const double as_nested = share_of_calls();
    EXPECT_GT(as_nested, 0.999);
    EXPECT_LT(as_route, 0.95);
    RecordProperty("share_as_route", std::to_string(as_route));
}
