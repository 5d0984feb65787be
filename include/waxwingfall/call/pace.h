#ifndef WAXWINGFALL_CALL_PACE_H
#define WAXWINGFALL_CALL_PACE_H

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// How a run ended, as far as it says something about the worker.
enum class run_result : std::uint8_t {
    served,        ///< answered, including with 1xx to 3xx
    client_failed, ///< 4xx: caused by the request; neither its result nor its run time is evidence
    failed,        ///< 5xx, refused by the worker, or lost
    overdue,       ///< ended at its deadline, so that its run time is a lower bound
    cancelled      ///< ended by this node or the client; no evidence
};

/// Run times of one priority class.
struct usual_run_time {
    double log_ms = 0; ///< mean of the logarithm of the run time in ms, over about `usual_memory`
    std::uint32_t runs = 0;
    time_point updated;
    auto operator<=>(const usual_run_time&) const = default;
};

/// Limit on the concurrent requests of one worker, found from how long its runs take. Designed for workers
/// that are up to twice as slow for seconds after their start or in a slow phase, that slow down when they
/// are nearly full, and whose run times vary by a factor of two and sometimes of seven. docs/design/pace.md
/// compares the alternatives. Memory is bounded: the windows and the number of classes have fixed sizes.
struct pace_state {
    std::uint32_t slots = 1;
    double limit = 1;
    bool has_started = false; ///< `limit` has been set from the first known number of slots
    std::map<std::uint32_t, usual_run_time> usual; ///< by priority; the least urgent ones share an entry
    double log_deviation = 0;                      ///< mean absolute deviation of log(run time / usual)
    std::deque<double> recent_log_ratios;          ///< log(run time / usual) of the latest runs
    std::deque<bool> recent_failures;              ///< of the latest runs, true for a failed one
    time_point judged_since; ///< runs that started earlier say nothing about the current limit
    time_point warm_at;      ///< runs that started earlier are not evidence for the usual run time
    auto operator<=>(const pace_state&) const = default;
};

/// One run that has ended.
struct finished_run {
    std::uint32_t priority = 0;
    milliseconds run_time{0};
    run_result result = run_result::served;
    std::uint32_t running = 0; ///< requests at the worker when it ended, this one included
};

/// Sets the number of the worker's slots. The first call sets the limit to its start; later ones keep the
/// limit within the new bounds.
void set_pace_slots(pace_state& state, std::uint32_t slots);

/// Takes over the worker's statement that it is warm after `warm_up_left`.
void set_warm_up(pace_state& state, milliseconds warm_up_left, time_point now);

/// Adjusts the limit to a run that ends at `now`.
void record_run(pace_state& state, const finished_run& run, time_point now);

/// The number of requests that the worker should run at once at `now`, from 1 to its slots.
std::uint32_t pace_limit(const pace_state& state, time_point now);

} // namespace waxwingfall

#endif
