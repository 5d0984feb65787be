#include "waxwingfall/call/client_retry_tracker.h"

#include <gtest/gtest.h>

#include "simulated_service.h"

using namespace waxwingfall;

namespace {

constexpr time_point start{};

time_point at(int ms) {
    return start + milliseconds(ms);
}

} // namespace

TEST(ClientRetryTracker, RetryHasSameContentAndDeadline) {
    client_retry_tracker tracker;
    track_unserved(tracker, "a", {at(10), at(2500)}, at(20));
    EXPECT_EQ(first_received(tracker, "a", at(2503), at(700)), at(10));
    EXPECT_EQ(first_received(tracker, "a", at(3200), at(700)), at(700));
    EXPECT_EQ(first_received(tracker, "b", at(2500), at(700)), at(700));
}

TEST(ClientRetryTracker, ThirdAttemptIsCountedFromFirst) {
    client_retry_tracker tracker;
    track_unserved(tracker, "a", {at(10), at(2500)}, at(20));
    const time_point first = first_received(tracker, "a", at(2500), at(700));
    track_unserved(tracker, "a", {first, at(2500)}, at(710));
    EXPECT_EQ(first_received(tracker, "a", at(2500), at(1500)), at(10));
}

TEST(ClientRetryTracker, RemovesExpiredEntriesAndBoundsTheirNumber) {
    client_retry_tracker tracker;
    tracker.limit = 100;
    for (int index = 0; index < 1000; ++index) {
        track_unserved(tracker, std::to_string(index), {at(0), at(2500)}, at(1));
    }
    EXPECT_LE(tracker.unserved.size(), 100U);
    EXPECT_EQ(first_received(tracker, "999", at(2500), at(700)), at(0));
    track_unserved(tracker, "last", {at(3000), at(5500)}, at(3000));
    EXPECT_EQ(tracker.unserved.size(), 1U);
    EXPECT_EQ(tracker.deadlines.size(), 1U);
}

// 90 requests a second on a worker that completes 60, as in a data centre that has lost a third of its
// workers.
TEST(Overload, CountingObjectiveFromFirstAttemptServesMoreClientsInTime) {
    const simulated_load load{90};
    const simulated_outcome objective_restarted =
        simulated_service(12, false).simulate(load, milliseconds(60'000));
    const simulated_outcome objective_from_first =
        simulated_service(12, true).simulate(load, milliseconds(60'000));
    constexpr double capacity_share = 60.0 / 90.0;
    EXPECT_GT(objective_from_first.share_in_time(), 0.9 * capacity_share);
    EXPECT_GT(objective_from_first.share_in_time(), objective_restarted.share_in_time() + 0.1);
    EXPECT_GT(objective_from_first.share_served(), objective_restarted.share_served() - 0.02);
}

TEST(Overload, NoClientIsFinallyRefusedBelowCapacity) {
    const simulated_outcome result =
        simulated_service(12, true).simulate(simulated_load{48}, milliseconds(60'000));
    EXPECT_GT(result.share_in_time(), 0.99);
    EXPECT_EQ(result.refused, 0);
}

// Arrivals at twice the capacity for 1.5 s; refused clients should be served afterwards.
TEST(Overload, ClientsRefusedDuringBurstAreServedAfterwards) {
    simulated_load burst{120};
    burst.retries = 2;
    burst.deadline = milliseconds(4000);
    const simulated_outcome result = simulated_service(12, true).simulate(burst, milliseconds(1500));
    EXPECT_GT(result.share_served(), 0.95);
}

// Guards against admitting requests whose mean run time just fits: with varying run times, half of them would
// end late.
TEST(Overload, AdmittedRequestsEndInTime) {
    const simulated_outcome result =
        simulated_service(12, true).simulate(simulated_load{90}, milliseconds(60'000));
    EXPECT_LT(result.late, result.in_time / 5);
}
