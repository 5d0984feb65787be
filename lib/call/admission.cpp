#include "waxwingfall/call/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwingfall {

namespace {

constexpr double mean_weight = 0.1;

/// Of so many starts one goes to the least urgent request, so that no kind of request starves.
constexpr std::uint32_t starts_per_least_urgent = 8;

/// For which a request that is late already may be expected to wait: a fraction of a usual run. Timely ones
/// overtake it, so a longer wait would mostly end in a refusal.
constexpr milliseconds longest_late_wait{100};

/// Deviations of a run from its mean that a request must have room for: with none, half of those that are
/// admitted last end late, and the queue holds them instead of requests that can still be answered in time.
constexpr double spare_deviations = 2;

double run_ms_of(const admission& state, std::uint32_t priority) {
    const auto known = state.run_time_of.find(priority);
    return known == state.run_time_of.end() ? state.mean_run_ms : known->second.mean_ms;
}

double spare_ms_of(const admission& state, std::uint32_t priority) {
    const auto known = state.run_time_of.find(priority);
    return known == state.run_time_of.end() ? 0 : known->second.deviation_ms * spare_deviations;
}

/// When a request with the first `ahead` waiting ones before it would end, by the means of past runs.
time_point expected_end(const admission& state, const waiting_request& request, std::size_t ahead,
                        time_point now) {
    // One of the running requests has to end first; which, and how much of it is left, is not known.
    double work = state.mean_run_ms;
    for (std::size_t index = 0; index < std::min(ahead, state.waiting.size()); ++index) {
        work += run_ms_of(state, state.waiting[index].priority);
    }
    const double ms = work / std::max(1U, state.slots) + run_ms_of(state, request.priority) +
                      spare_ms_of(state, request.priority);
    return now + milliseconds(static_cast<std::int64_t>(ms));
}

/// The latest end at which a request is worth a place in the queue.
time_point latest_end(const admission& state, const waiting_request& request, time_point now) {
    if (!request.past_goal) {
        return request.goal.value_or(request.deadline);
    }
    const milliseconds run(
        static_cast<std::int64_t>(run_ms_of(state, request.priority) + spare_ms_of(state, request.priority)));
    return std::min(request.deadline, now + longest_late_wait + run);
}

bool comes_too_late(const admission& state, const waiting_request& request, std::size_t ahead,
                    time_point now) {
    return expected_end(state, request, ahead, now) > latest_end(state, request, now);
}

bool is_more_urgent(const waiting_request& one, const waiting_request& other) {
    return std::pair(one.priority, one.past_goal) < std::pair(other.priority, other.past_goal);
}

void learn(double& mean, double sample) {
    mean = mean == 0 ? sample : mean * (1 - mean_weight) + sample * mean_weight;
}

std::size_t count_ahead(const admission& state, const waiting_request& request) {
    const auto place = std::upper_bound(state.waiting.begin(), state.waiting.end(), request, is_more_urgent);
    return static_cast<std::size_t>(place - state.waiting.begin());
}

/// True if a request is the only one of the least urgent kind that waits. One place in the queue is kept for
/// it.
bool is_only_least_urgent(const admission& state, std::uint32_t priority) {
    return state.waiting.empty() || state.waiting.back().priority < priority;
}

/// True if the kept place makes the request start in time, after the starts that go to others before.
bool reaches_kept_start(const admission& state, const waiting_request& request, time_point now) {
    const double wait = state.mean_run_ms * starts_per_least_urgent / std::max(1U, state.slots);
    const auto ms = static_cast<std::int64_t>(wait + run_ms_of(state, request.priority));
    return now + milliseconds(ms) <= request.goal.value_or(request.deadline);
}

void displace(admission& state, std::size_t index) {
    state.displaced.push_back(state.waiting[index].id);
    state.waiting.erase(state.waiting.begin() + static_cast<std::ptrdiff_t>(index));
}

/// Takes the next request to start from the queue.
std::uint64_t take_next(admission& state) {
    const bool prefers_least = state.waiting.front().priority != state.waiting.back().priority &&
                               ++state.starts_since_least >= starts_per_least_urgent;
    if (!prefers_least) {
        const std::uint64_t id = state.waiting.front().id;
        state.waiting.pop_front();
        return id;
    }
    state.starts_since_least = 0;
    const std::uint32_t least = state.waiting.back().priority;
    const auto oldest = std::find_if(state.waiting.begin(), state.waiting.end(),
                                     [&](const waiting_request& each) { return each.priority == least; });
    const std::uint64_t id = oldest->id;
    state.waiting.erase(oldest);
    return id;
}

} // namespace

admission_verdict admit(admission& state, const waiting_request& request, time_point now) {
    if (state.leaving) {
        return admission_verdict::refuse_leaving;
    }
    if (now >= request.deadline) {
        return admission_verdict::refuse_deadline;
    }
    if (state.running < state.slots && state.waiting.empty()) {
        state.running += 1;
        return admission_verdict::run;
    }
    const std::size_t ahead = count_ahead(state, request);
    const bool is_full = state.waiting.size() >= state.queue_limit;
    const bool is_kept = state.queue_limit > 1 && !request.past_goal &&
                         is_only_least_urgent(state, request.priority) &&
                         reaches_kept_start(state, request, now);
    const bool has_place = !is_full || ahead < state.waiting.size();
    if (!is_kept && (!has_place || comes_too_late(state, request, ahead, now))) {
        return admission_verdict::refuse_overloaded;
    }
    if (is_full) {
        // The latest of the least urgent, or of the more urgent ones for a kept place.
        displace(state, state.waiting.size() - 1);
    }
    state.waiting.insert(
        state.waiting.begin() + static_cast<std::ptrdiff_t>(std::min(ahead, state.waiting.size())), request);
    for (std::size_t index = state.waiting.size(); index-- > ahead + 1;) {
        const waiting_request& behind = state.waiting[index];
        const bool keeps_place = !behind.past_goal && state.waiting[index - 1].priority < behind.priority &&
                                 index + 1 == state.waiting.size() && reaches_kept_start(state, behind, now);
        if (!keeps_place && comes_too_late(state, behind, index, now)) {
            displace(state, index);
        }
    }
    return admission_verdict::wait;
}

admission_turn release_slot(admission& state, milliseconds ran, time_point now, std::uint32_t priority) {
    state.running -= std::min(state.running, 1U);
    const auto sample = static_cast<double>(ran.count());
    learn(state.mean_run_ms, sample);
    run_time& known = state.run_time_of[priority];
    if (known.mean_ms > 0) {
        learn(known.deviation_ms, std::abs(sample - known.mean_ms));
    }
    learn(known.mean_ms, sample);
    return review_queue(state, now);
}

admission_turn review_queue(admission& state, time_point now) {
    admission_turn turn;
    turn.expired.swap(state.displaced);
    std::erase_if(state.waiting, [&](const waiting_request& request) {
        if (now < request.deadline) {
            return false;
        }
        turn.expired.push_back(request.id);
        return true;
    });
    while (state.running < state.slots && !state.waiting.empty()) {
        turn.run.push_back(take_next(state));
        state.running += 1;
    }
    return turn;
}

bool abandon(admission& state, std::uint64_t id) {
    return std::erase_if(state.waiting, [&](const waiting_request& request) { return request.id == id; }) > 0;
}

double load_of(const admission& state) {
    return static_cast<double>(state.running) + static_cast<double>(state.waiting.size());
}

milliseconds missing_time(const admission& state, const waiting_request& request, time_point now) {
    const time_point end = expected_end(state, request, count_ahead(state, request), now);
    return std::max(milliseconds(0),
                    std::chrono::duration_cast<milliseconds>(end - latest_end(state, request, now)));
}

} // namespace waxwingfall
