#ifndef WAXWINGFALL_CALL_ADMISSION_H
#define WAXWINGFALL_CALL_ADMISSION_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "waxwingfall/support/error.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A request that waits for a slot of the worker.
struct waiting_request {
    std::uint64_t id = 0;
    time_point deadline;
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::optional<time_point>
        goal{};             ///< by which the answer is worth most; nothing if only the deadline counts
    bool past_goal = false; ///< the answer comes late whatever happens; timely ones go first
    auto operator<=>(const waiting_request&) const = default;
};

/// How long runs take: their mean and their mean deviation from it, exponentially weighted.
struct run_time {
    double mean_ms = 0;
    double deviation_ms = 0;
    auto operator<=>(const run_time&) const = default;
};

/// The worker's slots as the node beside it counts them, with a short queue. Its refusal proves that a
/// request did not run. It answers load beyond the worker's capacity: urgent requests start first and
/// displace others, and whoever can't be answered in time is refused on arrival instead of waiting in vain.
/// Requests that are late already run when nothing timely waits: as many are served, and more of them in
/// time.
struct admission {
    std::uint32_t slots = 1;
    std::uint32_t queue_limit = 0;
    std::uint32_t running = 0;
    std::deque<waiting_request> waiting;  ///< by priority, timely ones first, then in the order of arrival
    std::vector<std::uint64_t> displaced; ///< by more urgent requests, to be refused with the next turn
    std::uint32_t starts_since_least = 0; ///< turns since the least urgent request was last preferred
    double mean_run_ms = 0;               ///< of all runs, exponentially weighted
    std::map<std::uint32_t, run_time> run_time_of; ///< by priority
    bool leaving = false;
};

/// What becomes of a request that arrives.
enum class admission_verdict : std::uint8_t { run, wait, refuse_overloaded, refuse_deadline, refuse_leaving };

/// Admits a request, queues it, or refuses it if the queue is full or its turn would come too late. Requests
/// that are less urgent and would now come too late, or for which no place is left, are displaced.
admission_verdict admit(admission& state, const waiting_request& request, time_point now);

/// The requests that a freed or idle slot decides: those to run now, and those that were displaced or whose
/// deadline has passed while they waited.
struct admission_turn {
    std::vector<std::uint64_t> run;
    std::vector<std::uint64_t> expired;
    auto operator<=>(const admission_turn&) const = default;
};

/// Notes that a request that ran for `ran` has ended, and fills the slot.
admission_turn release_slot(admission& state, milliseconds ran, time_point now, std::uint32_t priority = 0);

/// Drops requests that have waited past their deadline or were displaced, and fills free slots.
admission_turn review_queue(admission& state, time_point now);

/// Takes a waiting request out of the queue; false if it does not wait.
bool abandon(admission& state, std::uint64_t id);

/// Running and waiting requests: the load that answers carry back.
double load_of(const admission& state);

/// How much earlier a request that was refused as too late would have to start: when a request like it may be
/// taken.
milliseconds missing_time(const admission& state, const waiting_request& request, time_point now);

} // namespace waxwingfall

#endif
