#ifndef WAXWINGFALL_CALL_ADMISSION_H
#define WAXWINGFALL_CALL_ADMISSION_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "waxwingfall/call/rate_limit.h"
#include "waxwingfall/support/error.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A request that waits for a slot of the worker.
struct waiting_request {
    std::uint64_t id = 0;
    time_point deadline;
    std::uint32_t priority = 0; ///< 0 is the most urgent
    /// End of its latency objective; unset if only the deadline counts.
    std::optional<time_point> objective{};
    bool past_objective = false;  ///< the objective can't be met any more; requests within theirs start first
    bool is_client_retry = false; ///< an earlier attempt was refused; a late response is better than none
    std::uint64_t customer = 0;   ///< hash of the name of its customer; 0 if there is none
    std::uint64_t turn = 0;       ///< set by `admit`; see `fair_turns`
    auto operator<=>(const waiting_request&) const = default;
};

/// The queue entry of a request that arrives at `now` with this much of its latency objective left: 0 if it
/// has passed, nothing if the request has none. For requests of `nested_call_priority` only the deadline
/// counts, since a late response to them is better than none.
waiting_request make_waiting_request(std::uint64_t id, time_point deadline, std::uint32_t priority,
                                     std::optional<milliseconds> objective_left, bool is_client_retry,
                                     time_point now);

/// Turns of the customers whose requests wait in one class of urgency. A request gets the turn after that of
/// its customer's previous one, but none before the turn that starts now, so that customers start in rotation
/// however many requests each of them sends, and a customer that was idle saves up nothing.
struct fair_turns {
    std::uint64_t current = 0;                   ///< turn of the latest start
    std::map<std::uint64_t, std::uint64_t> last; ///< by customer, if later than `current`
    auto operator<=>(const fair_turns&) const = default;
};

/// Mean and mean deviation of run times, both exponentially weighted.
struct run_time_stats {
    double mean_ms = 0;
    double deviation_ms = 0;
    auto operator<=>(const run_time_stats&) const = default;
};

/// Admission control for one worker: its slots as its node counts them, its rate limit if it states one, and
/// a bounded queue. A refused request is known not to have run. Under load beyond the worker's capacity,
/// urgent requests start first and displace others, and a request that can't complete in time is refused on
/// arrival instead of being queued. Within a priority, requests past their objective run only when no other
/// waits: this serves as many requests, and more of them in time. They are queued through a burst, after
/// which there is room for them, and refused in a long overload, which would keep them until their deadline:
/// an overload is expected to last as long again as it has lasted so far.
struct admission {
    std::uint32_t slots = 1;         ///< that may be used now
    std::uint32_t unpaced_slots = 0; ///< of the worker, if `slots` is limited to fewer by its pace; else 0
    std::uint32_t queue_limit = 0;
    std::uint32_t running = 0;
    rate_limit limit;
    /// By priority, within it those not past their objective first, then by turn, then in order of arrival.
    /// With requests of one customer, or none, the turns follow the arrivals.
    std::deque<waiting_request> waiting;
    /// By priority and `past_objective`, for the classes that have waiting requests.
    std::map<std::pair<std::uint32_t, bool>, fair_turns> turns;
    std::vector<std::uint64_t> displaced; ///< by more urgent requests; refused with the next `queue_update`
    std::uint32_t starts_since_least_urgent = 0; ///< starts since the least urgent request was last preferred
    double mean_run_ms = 0;                      ///< over all runs, exponentially weighted
    std::map<std::uint32_t, run_time_stats> run_times_by_priority;
    /// Since when every slot has been busy and requests had to wait; unset while there is room.
    std::optional<time_point> saturated_since;
    bool leaving = false;
};

/// The decision on an arriving request.
enum class admission_verdict : std::uint8_t { run, wait, refuse_overloaded, refuse_deadline, refuse_leaving };

/// Admits a request, queues it, or refuses it if the queue is full or it would complete too late. A client's
/// retry that can't meet its objective any more is queued behind the requests that can. Displaces
/// less urgent requests that would now complete too late, and if the queue is full, the last request of the
/// customer that has the most waiting ones among the least urgent.
admission_verdict admit(admission& state, const waiting_request& request, time_point now);

/// Returns the request with no later end than `end`: it is admitted only if it is expected to end by then.
waiting_request end_by(const waiting_request& request, time_point end);

/// Requests decided when a slot is released or idle: those to run now, and those that were displaced or whose
/// deadline passed while they waited.
struct queue_update {
    std::vector<std::uint64_t> run;
    std::vector<std::uint64_t> expired;
    auto operator<=>(const queue_update&) const = default;
};

/// Releases the slot of a request that ran for `run_time`, and fills it from the queue.
queue_update release_slot(admission& state, milliseconds run_time, time_point now,
                          std::uint32_t priority = 0);

/// Drops requests that were displaced or whose deadline has passed, and fills free slots.
queue_update process_queue(admission& state, time_point now);

/// Forgets the run times of earlier requests, which say nothing about those of another service.
void forget_run_times(admission& state);

/// Removes a waiting request from the queue; false if it does not wait.
bool remove_waiting(admission& state, std::uint64_t id);

/// The number of running and waiting requests.
double load_of(const admission& state);

/// The load that responses report, to be compared with the worker's slots: with a rate limit or a pace that
/// leaves some of them unused, as much more than `load_of`.
double reported_load(const admission& state);

/// What a request that arrives now has to expect of the worker.
struct worker_outlook {
    milliseconds queue_wait{0};     ///< until it gets a slot
    milliseconds run_time{0};       ///< usual, with the margin that admission requires
    milliseconds between_starts{0}; ///< mean run time divided by slots
    auto operator<=>(const worker_outlook&) const = default;
};

/// The outlook of a request of this priority behind all waiting ones that are as urgent.
worker_outlook outlook_of(const admission& state, std::uint32_t priority, time_point now);

/// How much earlier a request that was refused as too late would have to complete; after this time a similar
/// request may be admitted.
milliseconds expected_lateness(const admission& state, const waiting_request& request, time_point now);

} // namespace waxwingfall

#endif
