#ifndef WAXWINGFALL_CALL_ADMISSION_H
#define WAXWINGFALL_CALL_ADMISSION_H

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "waxwingfall/support/error.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A request that waits for a slot of the worker.
struct waiting_request {
    std::uint64_t id = 0;
    time_point deadline;
    auto operator<=>(const waiting_request&) const = default;
};

/// The worker's slots as the node beside it counts them, with a short queue. Its refusal proves that a
/// request did not run.
struct admission {
    std::uint32_t slots = 1;
    std::uint32_t queue_limit = 0;
    std::uint32_t running = 0;
    std::deque<waiting_request> waiting;
    double mean_run_ms = 0; ///< exponentially weighted
    bool leaving = false;
};

/// What becomes of a request that arrives.
enum class admission_verdict : std::uint8_t { run, wait, refuse_overloaded, refuse_deadline, refuse_leaving };

/// Admits a request, queues it, or refuses it if the queue is full or its turn would come too late.
admission_verdict admit(admission& state, const waiting_request& request, time_point now);

/// The requests that a freed or idle slot decides: those to run now, and those whose deadline has passed
/// while they waited.
struct admission_turn {
    std::vector<std::uint64_t> run;
    std::vector<std::uint64_t> expired;
    auto operator<=>(const admission_turn&) const = default;
};

/// Notes that a request that ran for `ran` has ended, and fills the slot.
admission_turn release_slot(admission& state, milliseconds ran, time_point now);

/// Drops requests that have waited past their deadline and fills free slots.
admission_turn review_queue(admission& state, time_point now);

/// Takes a waiting request out of the queue; false if it does not wait.
bool abandon(admission& state, std::uint64_t id);

/// Running and waiting requests: the load that answers carry back.
double load_of(const admission& state);

} // namespace waxwingfall

#endif
