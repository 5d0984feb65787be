#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/call/routing.h"
#include "waxwingfall/support/digest.h"

using namespace waxwingfall;

namespace {

constexpr time_point start{};

member worker(int number, const std::string& data_centre, member_state state = member_state::alive) {
    member created;
    created.id = static_cast<member_id>(number);
    created.data_centre = data_centre;
    created.region = "r";
    created.service = "s";
    created.inbound_address = "a" + std::to_string(number);
    created.slots = 4;
    created.state = state;
    return created;
}

routing_table table_of(const std::vector<member>& workers) {
    routing_table table;
    table.data_centre = "here";
    table.region = "r";
    for (const member& each : workers) {
        update_endpoint(table, each, start);
    }
    return table;
}

} // namespace

TEST(Routing, PrefersLocalDataCentreUntilSaturated) {
    routing_table table = table_of({worker(1, "here"), worker(2, "there")});
    random_source random(1);
    const time_point warm = start + milliseconds(20'000);
    for (int index = 0; index < 50; ++index) {
        EXPECT_EQ(pick_endpoint(table, "s", {}, warm, random), member_id{1});
    }
    for (int index = 0; index < 4; ++index) {
        begin_attempt(table, "s", 1);
    }
    EXPECT_EQ(pick_endpoint(table, "s", {1}, warm, random), member_id{2});
    std::set<member_id> picked;
    for (int index = 0; index < 50; ++index) {
        picked.insert(*pick_endpoint(table, "s", {}, warm, random));
    }
    EXPECT_TRUE(picked.contains(2));
}

TEST(Routing, SkipsEndpointsThatLeaveOrHaveNoSlots) {
    routing_table table = table_of({worker(1, "here")});
    random_source random(1);
    update_endpoint(table, worker(1, "here", member_state::leaving), start);
    EXPECT_EQ(pick_endpoint(table, "s", {}, start, random), std::nullopt);
    member drained = worker(1, "here");
    drained.slots = 0;
    update_endpoint(table, drained, start);
    EXPECT_EQ(pick_endpoint(table, "s", {}, start, random), std::nullopt);
    EXPECT_EQ(pick_endpoint(table, "other", {}, start, random), std::nullopt);
}

TEST(Routing, EndpointThatChangesServiceIsRemovedFromOldService) {
    routing_table table = table_of({worker(1, "here")});
    random_source random(1);
    member moved = worker(1, "here");
    moved.service = "other";
    update_endpoint(table, moved, start);
    EXPECT_EQ(pick_endpoint(table, "s", {}, start, random), std::nullopt);
    EXPECT_EQ(pick_endpoint(table, "other", {}, start, random), member_id{1});
}

TEST(Routing, RoomIsTheShortestTimeThatAnEndpointStated) {
    routing_table table = table_of({worker(1, "here"), worker(2, "there"), worker(3, "there")});
    EXPECT_EQ(shortest_room_in(table, "s", start), milliseconds(0));
    endpoint_report refusal;
    for (const auto& [id, room] : {std::pair(1, 300), std::pair(2, 200)}) {
        refusal.room_in = milliseconds(room);
        end_attempt(table, "s", static_cast<member_id>(id), attempt_result::refused, refusal, start);
    }
    EXPECT_EQ(shortest_room_in(table, "s", start + milliseconds(50)), milliseconds(150));
    EXPECT_EQ(shortest_room_in(table, "s", start + milliseconds(250)), milliseconds(50));
    EXPECT_EQ(shortest_room_in(table, "s", start + milliseconds(300)), milliseconds(0));
}

TEST(Routing, EjectionsNeverEmptyAService) {
    routing_table table = table_of({worker(1, "here"), worker(2, "here")});
    random_source random(1);
    const auto fail = [&](member_id id) {
        for (std::uint32_t count = 0; count < table.policy.failures_to_eject; ++count) {
            begin_attempt(table, "s", id);
            end_attempt(table, "s", id, attempt_result::failed, {}, start);
        }
    };
    fail(1);
    for (int index = 0; index < 30; ++index) {
        EXPECT_EQ(pick_endpoint(table, "s", {}, start + milliseconds(1), random), member_id{2});
    }
    fail(2);
    EXPECT_TRUE(pick_endpoint(table, "s", {}, start + milliseconds(1), random).has_value());
}

TEST(Routing, NewEndpointGetsSmallerShareDuringSlowStart) {
    routing_table table = table_of({worker(1, "here")});
    const time_point later = start + milliseconds(20'000);
    update_endpoint(table, worker(2, "here"), later);
    begin_attempt(table, "s", 1);
    begin_attempt(table, "s", 2);
    random_source random(1);
    int picks_of_new = 0;
    for (int index = 0; index < 400; ++index) {
        picks_of_new += pick_endpoint(table, "s", {}, later, random) == member_id{2} ? 1 : 0;
    }
    EXPECT_LT(picks_of_new, 150);
}

RC_GTEST_PROP(Retries, NeverExceedBudget, ()) {
    retry_budget budget;
    const auto percent = *rc::gen::inRange(0U, 100U);
    const int calls = *rc::gen::inRange(0, 2000);
    int retries = 0;
    for (int call = 0; call < calls; ++call) {
        earn_retry(budget, percent);
        retries += *rc::gen::arbitrary<bool>() && spend_retry(budget) ? 1 : 0;
    }
    RC_ASSERT(retries <= 10 + calls * static_cast<int>(percent) / 100 + 1);
}

TEST(Outcomes, UngrantedKeyedRequestMayHaveRun) {
    EXPECT_EQ(outcome_of(error_kind::overloaded, true, true), outcome::not_run);
    EXPECT_EQ(outcome_of(error_kind::overloaded, true, false), outcome::unknown);
    EXPECT_EQ(outcome_of(error_kind::overloaded, false, false), outcome::not_run);
    EXPECT_EQ(outcome_of(error_kind::ledger_unavailable, true, false), outcome::unknown);
    EXPECT_EQ(outcome_of(error_kind::idempotency_key_reused, true, false), outcome::not_run);
}

TEST(Split, DrawsServicesByWeight) {
    route_contract route;
    route.split = {{"one", 90}, {"two", 10}, {"zero", 0}};
    random_source random(3);
    std::map<std::string, int> counts;
    for (int index = 0; index < 2000; ++index) {
        counts[choose_service(route, random)] += 1;
    }
    EXPECT_NEAR(counts["two"], 200, 60);
    EXPECT_EQ(counts["zero"], 0);
    route.split.clear();
    route.service = "only";
    EXPECT_EQ(choose_service(route, random), "only");
}

TEST(RequestKind, ClassifiesNonIdempotentAndKeyedCalls) {
    route_contract route;
    route.non_idempotent_methods = {"POST"};
    EXPECT_TRUE(runs_once(route, "POST"));
    EXPECT_TRUE(needs_key(route, "POST"));
    EXPECT_FALSE(runs_once(route, "GET"));
    route.kind = request_kind::non_idempotent;
    EXPECT_TRUE(runs_once(route, "GET"));
    EXPECT_FALSE(needs_key(route, "POST"));
    route.kind = request_kind::download;
    EXPECT_FALSE(runs_once(route, "POST"));
}

// Guards against responses of workers that are dropped behind a large one that another worker breaks off.
TEST(RequestKind, RequestsBehindAResponseThatMayBreakOffWait) {
    EXPECT_FALSE(waits_for_its_turn({true, false, true}));
    EXPECT_FALSE(waits_for_its_turn({false, false, false}));
    EXPECT_TRUE(waits_for_its_turn({false, false, true}));
    EXPECT_TRUE(waits_for_its_turn({false, true, false}));
}

namespace {

/// The smallest and largest of 200 drawn delays; also checks that they are spread.
std::pair<double, double> drawn_retry_delays(const retry_after_inputs& inputs) {
    random_source random(3);
    std::set<double> seen;
    for (int index = 0; index < 200; ++index) {
        seen.insert(retry_after_s(inputs, random));
    }
    EXPECT_GT(seen.size(), 20U);
    return {*seen.begin(), *seen.rbegin()};
}

} // namespace

TEST(RetryAfter, ClientsWithinObjectiveRetrySoonAtSpreadTimes) {
    const auto [least, most] = drawn_retry_delays({milliseconds(220), milliseconds(590), milliseconds(2400)});
    EXPECT_GE(least, 0.05);
    EXPECT_LE(most + 0.22, 0.59);
}

TEST(RetryAfter, ClientsPastObjectiveRetryWithinHonouredDelay) {
    const auto [least, most] = drawn_retry_delays({milliseconds(220), milliseconds(0), milliseconds(2400)});
    EXPECT_GE(least, 0.4);
    EXPECT_LE(most, 0.8);
    const auto [shortest, longest] = drawn_retry_delays({milliseconds(0), milliseconds(0), milliseconds(0)});
    EXPECT_GT(shortest, 0.0);
    EXPECT_LE(longest, 0.1);
}

// Guards against clients that return before there is room and are refused again.
TEST(RetryAfter, NoClientReturnsBeforeThereIsRoom) {
    for (const milliseconds objective_left : {milliseconds(0), milliseconds(590)}) {
        for (const milliseconds room_in : {milliseconds(200), milliseconds(500), milliseconds(3000)}) {
            const auto [least, most] =
                drawn_retry_delays({milliseconds(220), objective_left, milliseconds(2400), room_in});
            EXPECT_GE(least * 1000, static_cast<double>(room_in.count()));
            EXPECT_LE(most * 1000, std::max(800.0, static_cast<double>(room_in.count()) * 1.3));
        }
    }
}

TEST(Outcomes, RefusalAfterPossibleRunIsNotReportedAsNotRun) {
    EXPECT_EQ(final_kind(error_kind::overloaded, false), error_kind::overloaded);
    EXPECT_EQ(final_kind(error_kind::overloaded, true), error_kind::worker_failed);
    EXPECT_EQ(final_kind(error_kind::worker_crashed, true), error_kind::worker_crashed);
    for (const error_info& row : error_table()) {
        EXPECT_NE(error_info_of(final_kind(row.kind, true)).result, outcome::not_run) << row.name;
    }
}

// Guards against treating an expired deadline as a worker failure: a request with 1 ms left got a 502 after
// 24 ms on a loaded machine, because its node mistook the end of the wait for a broken worker and probed it
// for a crash.
TEST(Outcomes, AttemptEndedByDeadlineIsNotWorkerFailure) {
    const time_point deadline = start + milliseconds(1);
    EXPECT_EQ(failed_attempt_kind(deadline, start), error_kind::worker_failed);
    EXPECT_EQ(failed_attempt_kind(deadline, deadline), error_kind::outcome_unknown);
    EXPECT_EQ(error_info_of(failed_attempt_kind(deadline, deadline)).result, outcome::unknown);
}

TEST(Retries, BudgetsOfAllNodesStayWithinSlack) {
    for (const std::size_t nodes : {1U, 9U, 88U, 919U}) {
        const retry_budget budget = node_retry_budget(216, nodes);
        EXPECT_LE(budget.limit, std::max(1.0, 108.0 / static_cast<double>(nodes)));
        EXPECT_GE(budget.tokens, 1.0);
    }
}

TEST(Retries, LimitedByNestingAttemptsAndDeadline) {
    const time_point later = start + milliseconds(1);
    EXPECT_TRUE(is_retry_allowed({1, 3, false, later}, start));
    EXPECT_FALSE(is_retry_allowed({1, 3, true, later}, start));
    EXPECT_FALSE(is_retry_allowed({3, 3, false, later}, start));
    EXPECT_FALSE(is_retry_allowed({1, 3, false, start}, start));
    EXPECT_TRUE(is_retry_allowed({0, 3, false, later, false, max_attempts_per_call - 1}, start));
    EXPECT_FALSE(is_retry_allowed({0, 3, false, later, false, max_attempts_per_call}, start));
}

// Guards against giving up a request that still runs: the body of an upload took 2 s on a saturated link;
// given up after 1.5 s, it ran although its client had been notified of a failure.
TEST(Acknowledgement, NonIdempotentRequestIsAwaitedUntilItsDeadline) {
    EXPECT_EQ(acknowledgement_timeout(true), milliseconds(0));
    EXPECT_GT(acknowledgement_timeout(false), milliseconds(0));
    EXPECT_LT(acknowledgement_timeout(false), milliseconds(500));
}

// Guards against giving up a silent attempt for another one that may be refused: a lookup ran after 0.4 s at
// a node that was shutting down, while the other node refused the connection, and its client got a 502.
TEST(Acknowledgement, SilentAttemptIsAwaitedBesideTheNextOne) {
    const milliseconds first = acknowledgement_timeout(false);
    EXPECT_EQ(acknowledgement_extension(first, true, milliseconds(2600)), milliseconds(2600));
    EXPECT_EQ(acknowledgement_extension(first, true, milliseconds(-1)), milliseconds(0));
}

// Guards against giving up the last attempt too early: the last of three attempts of a lookup was given up
// after 0.4 s while it ran, because its node had a tenth of a core and was shutting down; the client was
// notified that the lookup failed.
TEST(Acknowledgement, ExtendedTimeoutOfFinalAttemptExceedsNodeLag) {
    constexpr milliseconds observed_lag{700};
    const milliseconds first = acknowledgement_timeout(false);
    EXPECT_GE(first + acknowledgement_extension(first, false, milliseconds(2600)), 2 * observed_lag);
    EXPECT_EQ(acknowledgement_extension(2 * observed_lag + first, false, milliseconds(2600)),
              milliseconds(0));
}

// After a restart of all nodes, a node makes its first call when it knows two of eighty others.
TEST(Retries, BudgetShrinksAsMembersAreDiscovered) {
    retry_budget budget = node_retry_budget(200, 2);
    resize_retry_budget(budget, 200, 80);
    int retries = 0;
    while (spend_retry(budget)) {
        ++retries;
    }
    EXPECT_LE(retries, 200 / 80);
    resize_retry_budget(budget, 200, 2);
    EXPECT_FALSE(spend_retry(budget));
}
