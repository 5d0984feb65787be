#include "waxwingfall/call/admission.h"

#include <map>
#include <set>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/call/nested_calls.h"

using namespace waxwingfall;

namespace {

constexpr time_point start{};

} // namespace

RC_GTEST_PROP(Admission, RespectsSlotAndQueueLimitsAndLosesNoRequest, ()) {
    admission state;
    state.slots = *rc::gen::inRange(1U, 5U);
    state.queue_limit = *rc::gen::inRange(0U, 6U);
    time_point now = start;
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> waiting;
    std::uint64_t next = 1;
    const auto apply = [&](const queue_update& update) {
        for (const std::uint64_t id : update.expired) {
            RC_ASSERT(waiting.erase(id) == 1);
        }
        for (const std::uint64_t id : update.run) {
            RC_ASSERT(waiting.erase(id) == 1);
            running.insert(id);
        }
    };
    const int steps = *rc::gen::inRange(0, 200);
    for (int step = 0; step < steps; ++step) {
        now += milliseconds(*rc::gen::inRange(0, 30));
        const int kind = *rc::gen::inRange(0, 4);
        if (kind <= 1) {
            const waiting_request arrived{next++, now + milliseconds(*rc::gen::inRange(0, 200))};
            const auto verdict = admit(state, arrived, now);
            if (verdict == admission_verdict::run) {
                running.insert(arrived.id);
            } else if (verdict == admission_verdict::wait) {
                waiting.insert(arrived.id);
            }
        } else if (kind == 2 && !running.empty()) {
            running.erase(running.begin());
            apply(release_slot(state, milliseconds(*rc::gen::inRange(1, 50)), now));
        } else {
            apply(process_queue(state, now));
        }
        RC_ASSERT(running.size() == state.running);
        RC_ASSERT(running.size() <= state.slots);
        RC_ASSERT(waiting.size() == state.waiting.size());
        RC_ASSERT(waiting.size() <= state.queue_limit);
    }
}

namespace {

/// A worker with one slot, which is busy, whose runs take 100 ms.
admission busy_worker() {
    admission state;
    state.slots = 1;
    state.queue_limit = 8;
    state.running = 1;
    state.mean_run_ms = 100;
    return state;
}

waiting_request request_of(std::uint64_t id, std::uint32_t priority, int objective_ms) {
    return {id, start + milliseconds(5000), priority, start + milliseconds(objective_ms)};
}

} // namespace

TEST(Admission, RefusesRequestThatCannotMeetObjective) {
    admission state = busy_worker();
    EXPECT_EQ(admit(state, request_of(1, 1, 200), start), admission_verdict::wait);
    EXPECT_EQ(admit(state, request_of(2, 1, 250), start), admission_verdict::refuse_overloaded);
    EXPECT_EQ(admit(state, request_of(3, 1, 300), start), admission_verdict::wait);
}

// A nested call that is late still lets the request that made it end; one that is refused fails it.
TEST(Admission, NestedCallIsQueuedAsLongAsItsDeadlineAllows) {
    const time_point deadline = start + milliseconds(800);
    for (const std::uint32_t priority : {nested_call_priority, nested_call_priority + 1}) {
        admission state = busy_worker();
        const waiting_request call =
            make_waiting_request(1, deadline, priority, milliseconds(120), false, start);
        EXPECT_EQ(admit(state, call, start), priority == nested_call_priority
                                                 ? admission_verdict::wait
                                                 : admission_verdict::refuse_overloaded);
    }
}

// An overload that has lasted for three seconds would keep a late request until its deadline.
TEST(Admission, LateRequestIsQueuedInABurstAndRefusedInALongOverload) {
    for (const milliseconds lasted : {milliseconds(100), milliseconds(3000)}) {
        admission state = busy_worker();
        for (std::uint64_t id = 1; id <= 5; ++id) {
            EXPECT_EQ(admit(state, request_of(id, 1, 2000), start), admission_verdict::wait);
        }
        state.saturated_since = start - lasted;
        const waiting_request late =
            make_waiting_request(6, start + milliseconds(2000), 1, milliseconds(0), true, start);
        EXPECT_EQ(admit(state, late, start), lasted < milliseconds(1000)
                                                 ? admission_verdict::wait
                                                 : admission_verdict::refuse_overloaded);
    }
}

TEST(Admission, UrgentRequestsStartFirstAndDisplaceLateOnes) {
    admission state = busy_worker();
    EXPECT_EQ(admit(state, request_of(1, 2, 250), start), admission_verdict::wait);
    EXPECT_EQ(admit(state, request_of(2, 2, 900), start), admission_verdict::wait);
    EXPECT_EQ(admit(state, request_of(3, 0, 250), start), admission_verdict::wait);
    const queue_update update = release_slot(state, milliseconds(100), start);
    EXPECT_EQ(update.run, (std::vector<std::uint64_t>{3}));
    EXPECT_EQ(update.expired, (std::vector<std::uint64_t>{1}));
    EXPECT_EQ(release_slot(state, milliseconds(100), start).run, (std::vector<std::uint64_t>{2}));
}

TEST(Admission, UrgentRequestDisplacesLastOfFullQueue) {
    admission state = busy_worker();
    state.queue_limit = 1;
    EXPECT_EQ(admit(state, request_of(1, 2, 900), start), admission_verdict::wait);
    EXPECT_EQ(admit(state, request_of(2, 2, 900), start), admission_verdict::refuse_overloaded);
    EXPECT_EQ(admit(state, request_of(3, 1, 900), start), admission_verdict::wait);
    EXPECT_EQ(process_queue(state, start).expired, (std::vector<std::uint64_t>{1}));
}

// Under urgent requests at twice the capacity, less urgent ones still get their share of starts.
TEST(Admission, LeastUrgentRequestsDoNotStarve) {
    admission state = busy_worker();
    std::map<std::uint32_t, int> started;
    std::uint64_t next = 1;
    std::map<std::uint64_t, std::uint32_t> priority_of;
    time_point now = start;
    for (int round = 0; round < 400; ++round) {
        for (const std::uint32_t priority : {0U, 0U, 2U}) {
            const std::uint64_t id = next++;
            priority_of[id] = priority;
            admit(state, {id, now + milliseconds(1000), priority, std::nullopt}, now);
        }
        now += milliseconds(100);
        for (const std::uint64_t id : release_slot(state, milliseconds(100), now).run) {
            started[priority_of.at(id)] += 1;
        }
    }
    EXPECT_GE(started[2], 400 / 10);
    EXPECT_GE(started[0], 400 * 3 / 4);
}

TEST(Admission, RefusesRequestsWhenLeavingOrPastDeadline) {
    admission state;
    EXPECT_EQ(admit(state, {1, start}, start), admission_verdict::refuse_deadline);
    state.leaving = true;
    EXPECT_EQ(admit(state, {2, start + milliseconds(10)}, start), admission_verdict::refuse_leaving);
    EXPECT_EQ(state.running, 0U);
}

// Guards against a request that is queued although the node that sent it stops before it would end.
TEST(Admission, RequestThatHasToEndEarlierIsRefusedAtOnce) {
    admission state;
    state.slots = 1;
    state.queue_limit = 10;
    const time_point now{};
    const time_point deadline = now + milliseconds(10'000);
    admit(state, make_waiting_request(1, deadline, 0, std::nullopt, false, now), now);
    release_slot(state, milliseconds(1000), now);
    admit(state, make_waiting_request(2, deadline, 0, std::nullopt, false, now), now);
    const waiting_request next = make_waiting_request(3, deadline, 0, milliseconds(9000), false, now);
    EXPECT_EQ(end_by(next, deadline), next);
    EXPECT_EQ(admit(state, end_by(next, now + milliseconds(1500)), now),
              admission_verdict::refuse_overloaded);
    EXPECT_EQ(admit(state, end_by(next, now + milliseconds(3000)), now), admission_verdict::wait);
}
