#include "waxwingfall/call/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "waxwingfall/call/nested_calls.h"

namespace waxwingfall {

namespace {

constexpr double run_time_smoothing = 0.1;

/// One of this many starts goes to the least urgent request, so that no priority starves.
constexpr std::uint32_t starts_per_least_urgent_start = 8;

/// Longest expected wait, before the run itself, with which a request past its objective is queued however
/// long the overload lasts: a fraction of a usual run. Requests within their objective overtake it, so a
/// longer wait would mostly end in a refusal.
constexpr milliseconds max_wait_past_objective{100};

/// Margin required beyond the mean run time, in mean deviations. Without it, half of the requests admitted
/// last end late, and the queue holds them in place of requests that could still complete in time.
constexpr double margin_deviations = 2;

double mean_run_ms_of(const admission& state, std::uint32_t priority) {
    const auto stats = state.run_times_by_priority.find(priority);
    return stats == state.run_times_by_priority.end() ? state.mean_run_ms : stats->second.mean_ms;
}

double margin_ms_of(const admission& state, std::uint32_t priority) {
    const auto stats = state.run_times_by_priority.find(priority);
    return stats == state.run_times_by_priority.end() ? 0 : stats->second.deviation_ms * margin_deviations;
}

/// Expected time until a request starts behind `work_ms` of run time in `starts` - 1 other requests.
double expected_wait_ms(const admission& state, double work_ms, std::size_t starts, time_point now) {
    return std::max(work_ms / std::max(1U, state.slots),
                    static_cast<double>(time_until_tokens(state.limit, starts, now).count()));
}

/// Expected end of a request behind the first `ahead` waiting ones, estimated from mean run times.
time_point expected_end(const admission& state, const waiting_request& request, std::size_t ahead,
                        time_point now) {
    // One of the running requests has to end first; which one and its remaining time are unknown.
    double work = state.mean_run_ms;
    for (std::size_t index = 0; index < std::min(ahead, state.waiting.size()); ++index) {
        work += mean_run_ms_of(state, state.waiting[index].priority);
    }
    const double ms = expected_wait_ms(state, work, ahead + 1, now) +
                      mean_run_ms_of(state, request.priority) + margin_ms_of(state, request.priority);
    return now + milliseconds(static_cast<std::int64_t>(ms));
}

/// The latest end with which a request is worth a place in the queue.
time_point latest_useful_end(const admission& state, const waiting_request& request, time_point now) {
    if (!request.past_objective) {
        return request.objective.value_or(request.deadline);
    }
    const milliseconds run(static_cast<std::int64_t>(mean_run_ms_of(state, request.priority) +
                                                     margin_ms_of(state, request.priority)));
    return std::min(request.deadline, now + max_wait_past_objective + run);
}

/// True if a request past its objective would end before its deadline although requests within theirs keep
/// overtaking it until the overload is over.
bool outlasts_overload(const admission& state, const waiting_request& request, time_point end,
                       time_point now) {
    const auto lasted = now - state.saturated_since.value_or(now);
    return request.past_objective && end + lasted <= request.deadline;
}

bool would_end_too_late(const admission& state, const waiting_request& request, std::size_t ahead,
                        time_point now) {
    const time_point end = expected_end(state, request, ahead, now);
    return end > latest_useful_end(state, request, now) && !outlasts_overload(state, request, end, now);
}

bool is_more_urgent(const waiting_request& one, const waiting_request& other) {
    return std::tuple(one.priority, one.past_objective, one.turn) <
           std::tuple(other.priority, other.past_objective, other.turn);
}

std::pair<std::uint32_t, bool> class_of(const waiting_request& request) {
    return {request.priority, request.past_objective};
}

/// The request with the turn that it gets if it is queued now.
waiting_request with_turn(const admission& state, const waiting_request& request) {
    waiting_request placed = request;
    placed.turn = 1;
    const auto turns = state.turns.find(class_of(request));
    if (turns != state.turns.end()) {
        const auto last = turns->second.last.find(request.customer);
        placed.turn =
            1 + std::max(turns->second.current, last == turns->second.last.end() ? 0 : last->second);
    }
    return placed;
}

/// Forgets the turns of a class of urgency that has no waiting requests.
void forget_idle_class(admission& state, const std::pair<std::uint32_t, bool>& urgency) {
    const bool waits =
        std::any_of(state.waiting.begin(), state.waiting.end(),
                    [&](const waiting_request& request) { return class_of(request) == urgency; });
    if (!waits) {
        state.turns.erase(urgency);
    }
}

/// Gives the turn of a request back that will not start.
void return_turn(admission& state, const waiting_request& removed) {
    const auto turns = state.turns.find(class_of(removed));
    if (turns == state.turns.end()) {
        return;
    }
    const auto last = turns->second.last.find(removed.customer);
    if (last != turns->second.last.end() && last->second == removed.turn) {
        last->second -= 1;
    }
    forget_idle_class(state, class_of(removed));
}

/// Records the start of a request. Customers whose last turn has passed are forgotten.
void use_turn(admission& state, const waiting_request& started) {
    fair_turns& turns = state.turns[class_of(started)];
    turns.current = std::max(turns.current, started.turn);
    std::erase_if(turns.last, [&](const auto& entry) { return entry.second <= turns.current; });
    forget_idle_class(state, class_of(started));
}

void update_mean(double& mean, double sample) {
    mean = mean == 0 ? sample : mean * (1 - run_time_smoothing) + sample * run_time_smoothing;
}

std::size_t count_ahead(const admission& state, const waiting_request& request) {
    const auto position =
        std::upper_bound(state.waiting.begin(), state.waiting.end(), request, is_more_urgent);
    return static_cast<std::size_t>(position - state.waiting.begin());
}

/// A client's retry that would miss its objective, as a request past it; any other request as it is.
waiting_request as_late_if_late(const admission& state, const waiting_request& request, time_point now) {
    waiting_request late = request;
    if (request.is_client_retry && request.objective &&
        would_end_too_late(state, request, count_ahead(state, request), now)) {
        late.objective = std::nullopt;
        late.past_objective = true;
        late = with_turn(state, late);
    }
    return late;
}

/// True if a request would be the only waiting one of the least urgent priority. One place in the queue is
/// reserved for such a request.
bool is_only_least_urgent(const admission& state, std::uint32_t priority) {
    return state.waiting.empty() || state.waiting.back().priority < priority;
}

/// True if a request in the reserved place would complete in time although more urgent requests take the
/// other starts, so that it may start only after `starts_per_least_urgent_start` runs.
bool completes_in_reserved_place(const admission& state, const waiting_request& request, time_point now) {
    const double wait = expected_wait_ms(state, state.mean_run_ms * starts_per_least_urgent_start,
                                         starts_per_least_urgent_start, now);
    const auto ms = static_cast<std::int64_t>(wait + mean_run_ms_of(state, request.priority));
    return now + milliseconds(ms) <= request.objective.value_or(request.deadline);
}

void displace(admission& state, std::size_t index) {
    const waiting_request removed = state.waiting[index];
    state.displaced.push_back(removed.id);
    state.waiting.erase(state.waiting.begin() + static_cast<std::ptrdiff_t>(index));
    return_turn(state, removed);
}

/// The request that makes room in a full queue: among the least urgent, the last one of the customer that has
/// the most waiting there.
std::size_t index_to_displace(const admission& state) {
    const auto urgency = class_of(state.waiting.back());
    std::map<std::uint64_t, std::size_t> counts;
    std::size_t most = 0;
    for (const waiting_request& request : state.waiting) {
        most = class_of(request) == urgency ? std::max(most, ++counts[request.customer]) : most;
    }
    std::size_t index = state.waiting.size() - 1;
    while (counts.at(state.waiting[index].customer) < most) {
        --index;
    }
    return index;
}

/// True if a request would take the place of one of its own customer and urgency that arrived before.
bool displaces_own(const admission& state, const waiting_request& request) {
    const waiting_request& displaced = state.waiting[index_to_displace(state)];
    return class_of(displaced) == class_of(request) && displaced.customer == request.customer;
}

/// Removes the request from the queue, as it starts, and returns its id.
std::uint64_t start_waiting(admission& state, const std::deque<waiting_request>::iterator& next) {
    const waiting_request started = *next;
    state.waiting.erase(next);
    use_turn(state, started);
    return started.id;
}

/// Removes the next request to start from the queue and returns its id.
std::uint64_t dequeue_next(admission& state) {
    const bool picks_least_urgent = state.waiting.front().priority != state.waiting.back().priority &&
                                    ++state.starts_since_least_urgent >= starts_per_least_urgent_start;
    if (!picks_least_urgent) {
        return start_waiting(state, state.waiting.begin());
    }
    state.starts_since_least_urgent = 0;
    const std::uint32_t least = state.waiting.back().priority;
    const auto oldest =
        std::find_if(state.waiting.begin(), state.waiting.end(),
                     [&](const waiting_request& request) { return request.priority == least; });
    return start_waiting(state, oldest);
}

} // namespace

waiting_request make_waiting_request(std::uint64_t id, time_point deadline, std::uint32_t priority,
                                     std::optional<milliseconds> objective_left, bool is_client_retry,
                                     time_point now) {
    waiting_request request{id, deadline, priority, std::nullopt, false, is_client_retry};
    if (!objective_left || priority == nested_call_priority) {
        return request;
    }
    request.past_objective = *objective_left == milliseconds(0);
    if (!request.past_objective) {
        request.objective = now + *objective_left;
    }
    return request;
}

waiting_request end_by(const waiting_request& request, time_point end) {
    waiting_request limited = request;
    limited.deadline = std::min(request.deadline, end);
    if (request.objective) {
        limited.objective = std::min(*request.objective, end);
    }
    return limited;
}

admission_verdict admit(admission& state, const waiting_request& arrived, time_point now) {
    if (state.leaving) {
        return admission_verdict::refuse_leaving;
    }
    if (now >= arrived.deadline) {
        return admission_verdict::refuse_deadline;
    }
    if (state.running < state.slots && state.waiting.empty() && spend_token(state.limit, now)) {
        state.running += 1;
        return admission_verdict::run;
    }
    const waiting_request request = as_late_if_late(state, with_turn(state, arrived), now);
    std::size_t ahead = count_ahead(state, request);
    const bool is_full = state.waiting.size() >= state.queue_limit;
    const bool has_reserved_place = state.queue_limit > 1 && !request.past_objective &&
                                    is_only_least_urgent(state, request.priority) &&
                                    completes_in_reserved_place(state, request, now);
    const bool has_place = !is_full || (ahead < state.waiting.size() && !displaces_own(state, request));
    if (!has_reserved_place && (!has_place || would_end_too_late(state, request, ahead, now))) {
        return admission_verdict::refuse_overloaded;
    }
    if (is_full) {
        // If the new request takes the reserved place, the displaced one is more urgent.
        displace(state, index_to_displace(state));
        ahead = count_ahead(state, request);
    }
    state.saturated_since = state.saturated_since.value_or(now);
    state.turns[class_of(request)].last[request.customer] = request.turn;
    state.waiting.insert(
        state.waiting.begin() + static_cast<std::ptrdiff_t>(std::min(ahead, state.waiting.size())), request);
    for (std::size_t index = state.waiting.size(); index-- > ahead + 1;) {
        const waiting_request& behind = state.waiting[index];
        const bool stays_in_reserved_place =
            !behind.past_objective && state.waiting[index - 1].priority < behind.priority &&
            index + 1 == state.waiting.size() && completes_in_reserved_place(state, behind, now);
        if (!stays_in_reserved_place && would_end_too_late(state, behind, index, now)) {
            displace(state, index);
        }
    }
    return admission_verdict::wait;
}

queue_update release_slot(admission& state, milliseconds run_time, time_point now, std::uint32_t priority) {
    state.running -= std::min(state.running, 1U);
    const auto sample = static_cast<double>(run_time.count());
    update_mean(state.mean_run_ms, sample);
    run_time_stats& stats = state.run_times_by_priority[priority];
    if (stats.mean_ms > 0) {
        update_mean(stats.deviation_ms, std::abs(sample - stats.mean_ms));
    }
    update_mean(stats.mean_ms, sample);
    return process_queue(state, now);
}

queue_update process_queue(admission& state, time_point now) {
    queue_update update;
    update.expired.swap(state.displaced);
    std::vector<waiting_request> expired;
    std::erase_if(state.waiting, [&](const waiting_request& request) {
        if (now < request.deadline) {
            return false;
        }
        update.expired.push_back(request.id);
        expired.push_back(request);
        return true;
    });
    for (const waiting_request& request : expired) {
        return_turn(state, request);
    }
    while (state.running < state.slots && !state.waiting.empty() && spend_token(state.limit, now)) {
        update.run.push_back(dequeue_next(state));
        state.running += 1;
    }
    if (state.running < state.slots && state.waiting.empty()) {
        state.saturated_since = std::nullopt;
    }
    return update;
}

void forget_run_times(admission& state) {
    state.mean_run_ms = 0;
    state.run_times_by_priority.clear();
}

bool remove_waiting(admission& state, std::uint64_t id) {
    const auto found = std::find_if(state.waiting.begin(), state.waiting.end(),
                                    [&](const waiting_request& request) { return request.id == id; });
    if (found == state.waiting.end()) {
        return false;
    }
    const waiting_request removed = *found;
    state.waiting.erase(found);
    return_turn(state, removed);
    return true;
}

double load_of(const admission& state) {
    return static_cast<double>(state.running) + static_cast<double>(state.waiting.size());
}

double reported_load(const admission& state) {
    const milliseconds run_time(std::max<std::int64_t>(1, std::llround(state.mean_run_ms)));
    const std::uint32_t all = std::max(state.slots, state.unpaced_slots);
    return load_of(state) * all / usable_slots(state.limit, state.slots, run_time);
}

worker_outlook outlook_of(const admission& state, std::uint32_t priority, time_point now) {
    const auto whole_ms = [](double ms) { return milliseconds(std::llround(ms)); };
    worker_outlook outlook;
    outlook.run_time = whole_ms(mean_run_ms_of(state, priority) + margin_ms_of(state, priority));
    outlook.between_starts = whole_ms(state.mean_run_ms / std::max(1U, state.slots));
    if (state.running < state.slots && state.waiting.empty()) {
        return outlook;
    }
    waiting_request arriving;
    arriving.priority = priority;
    const std::size_t ahead = count_ahead(state, with_turn(state, arriving));
    double work = state.mean_run_ms;
    for (std::size_t index = 0; index < ahead; ++index) {
        work += mean_run_ms_of(state, state.waiting[index].priority);
    }
    outlook.queue_wait = whole_ms(expected_wait_ms(state, work, ahead + 1, now));
    return outlook;
}

milliseconds expected_lateness(const admission& state, const waiting_request& request, time_point now) {
    const std::size_t ahead = count_ahead(state, with_turn(state, request));
    const time_point end = expected_end(state, request, ahead, now);
    return std::max(milliseconds(0),
                    std::chrono::duration_cast<milliseconds>(end - latest_useful_end(state, request, now)));
}

} // namespace waxwingfall
