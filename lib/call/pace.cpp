#include "waxwingfall/call/pace.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace waxwingfall {

namespace {

/// Share of the slots with which a worker starts, and below which slow runs alone don't reduce the limit: at
/// this concurrency it isn't the concurrency that makes them slow.
constexpr double start_share = 0.25;

/// Share of the slots used while the worker says that it is still slow. Its runs take up to twice as long, so
/// that all slots would hold twice the work that it does in time.
constexpr double warm_up_share = 0.5;

/// The limit is in use, so that runs are evidence for a higher one, if this share of it is occupied.
constexpr double in_use_share = 0.5;

/// Below this share of the slots, each good run raises the limit by one (it doubles in a usual run time).
constexpr double doubling_share = 0.5;

/// Beyond that share, a usual run time of good runs raises it by this share of the slots.
constexpr double step_share = 0.125;

constexpr double slow_factor = 0.8;    ///< of the limit, after slow runs
constexpr double failure_factor = 0.7; ///< of the limit, after failed runs

/// Runs in the median: at least, so that a few slow runs decide nothing, and at most, about a tenth of a
/// second to two seconds of the runs of one worker.
constexpr std::size_t min_window = 7;
constexpr std::size_t max_window = 21;

/// Recent runs are clearly slow if their median exceeds the usual time by this factor at least, and by so
/// many standard errors of a median.
constexpr double min_slow_ratio = 1.4;
constexpr double slow_standard_errors = 2.5;
constexpr double standard_error_of_median = 1.25; ///< of a normal distribution, in deviations / sqrt(n)
constexpr double deviation_per_mean_absolute = 1.25;

/// Failures among the latest `max_window` runs that reduce the limit. One may have any cause.
constexpr std::ptrdiff_t min_failures = 2;

/// Time over which the usual run time follows the worker. Longer than a warm-up or a slow phase of seconds,
/// so that these count as slow; a worker that stays slower settles at its new run time after it.
constexpr milliseconds usual_memory{10'000};
constexpr double min_weight = 0.002; ///< of a run, if many end in the same millisecond
constexpr double max_weight = 0.1;
constexpr std::uint32_t min_runs_of_usual = 5; ///< before that, the usual run time is unknown

/// Longest deviation from the usual time that a run counts with, as a logarithm: 3% of the runs take seven
/// times as long and must not determine the mean.
constexpr double max_log_ratio = 1.0;
constexpr double deviation_weight = 0.02;

/// Priorities from this one on share an entry, so that their number is bounded.
constexpr std::uint32_t max_class = 7;

double start_limit(const pace_state& state) {
    return std::max(1.0, std::floor(state.slots * start_share));
}

double log_of(milliseconds time) {
    return std::log(static_cast<double>(std::max<std::int64_t>(1, time.count())));
}

double median(const std::deque<double>& values) {
    std::vector<double> sorted(values.begin(), values.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

template <typename Value> void push_bounded(std::deque<Value>& window, Value value) {
    window.push_back(value);
    if (window.size() > max_window) {
        window.pop_front();
    }
}

/// Logarithm of the factor by which a median of `runs` runs must differ from the usual time to be clearly
/// slow or fast.
double clear_log_ratio(const pace_state& state, std::size_t runs) {
    const double deviation = state.log_deviation * deviation_per_mean_absolute;
    const double error = standard_error_of_median * deviation / std::sqrt(static_cast<double>(runs));
    return std::max(std::log(min_slow_ratio), slow_standard_errors * error);
}

void learn_usual(pace_state& state, usual_run_time& usual, double log_ms, time_point now) {
    if (usual.runs == 0) {
        usual = {log_ms, 1, now};
        return;
    }
    const double elapsed =
        static_cast<double>(elapsed_ms(usual.updated, now)) / static_cast<double>(usual_memory.count());
    const double mean_weight = 1.0 / (usual.runs + 1);
    const bool is_known = usual.runs >= min_runs_of_usual;
    const double weight = is_known ? std::clamp(elapsed, min_weight, max_weight) : mean_weight;
    const double ratio = std::clamp(log_ms - usual.log_ms, -max_log_ratio, max_log_ratio);
    usual.log_ms += weight * ratio;
    state.log_deviation +=
        (is_known ? deviation_weight : mean_weight) * (std::abs(ratio) - state.log_deviation);
    usual.runs = std::min(usual.runs + 1, min_runs_of_usual);
    usual.updated = now;
}

/// Reduces the limit, and judges the new one only by runs that start from now on.
void reduce(pace_state& state, double factor, double minimum, time_point now) {
    state.limit = std::max(state.limit * factor, std::min(state.limit, minimum));
    state.recent_log_ratios.clear();
    state.recent_failures.clear();
    state.judged_since = now;
}

void raise(pace_state& state, std::uint32_t running) {
    if (running < state.limit * in_use_share) {
        return;
    }
    const double step =
        state.limit < state.slots * doubling_share ? 1.0 : state.slots * step_share / state.limit;
    state.limit = std::min<double>(state.slots, state.limit + step);
}

/// Takes the run times of recent runs as the usual ones if they are clearly faster: what was learnt so far
/// came from a slow phase.
void forget_slow_phase(pace_state& state, double log_ratio) {
    for (auto& [priority, usual] : state.usual) {
        usual.log_ms += log_ratio;
    }
    state.recent_log_ratios.clear();
}

/// Adjusts the limit to recent run times, of which the last was `log_ratio`.
void judge_run_time(pace_state& state, double log_ratio, std::uint32_t running, time_point now) {
    push_bounded(state.recent_log_ratios, log_ratio);
    const std::size_t runs = state.recent_log_ratios.size();
    const double clear = clear_log_ratio(state, runs);
    const double recent = median(state.recent_log_ratios);
    if (runs >= min_window && recent > clear) {
        reduce(state, slow_factor, start_limit(state), now);
        return;
    }
    if (runs == max_window && recent < -clear) {
        forget_slow_phase(state, recent);
    }
    const bool is_usual = log_ratio <= std::log(min_slow_ratio);
    if (is_usual && recent <= clear / 2) {
        raise(state, running);
    }
}

/// A run that had already taken longer than usual is evidence of slow runs; one with a shorter deadline is
/// none.
void judge_overdue_run(pace_state& state, const finished_run& run, time_point now) {
    const auto usual = state.usual.find(std::min(run.priority, max_class));
    if (usual == state.usual.end() || usual->second.runs < min_runs_of_usual) {
        return;
    }
    const double log_ratio = log_of(run.run_time) - usual->second.log_ms;
    if (log_ratio > std::log(min_slow_ratio)) {
        judge_run_time(state, log_ratio, run.running, now);
    }
}

} // namespace

void set_pace_slots(pace_state& state, std::uint32_t slots) {
    state.slots = std::max(1U, slots);
    if (!state.has_started) {
        state.has_started = true;
        state.limit = start_limit(state);
    }
    state.limit = std::clamp<double>(state.limit, 1, state.slots);
}

void set_warm_up(pace_state& state, milliseconds warm_up_left, time_point now) {
    if (warm_up_left > milliseconds(0)) {
        state.warm_at = now + warm_up_left;
    }
}

void record_run(pace_state& state, const finished_run& run, time_point now) {
    if (run.result == run_result::client_failed || run.result == run_result::cancelled) {
        return;
    }
    const time_point started = now - run.run_time;
    if (started < state.judged_since) {
        return;
    }
    const bool failed = run.result == run_result::failed;
    push_bounded(state.recent_failures, failed);
    if (failed) {
        if (std::count(state.recent_failures.begin(), state.recent_failures.end(), true) >= min_failures) {
            reduce(state, failure_factor, 1, now);
        }
        return;
    }
    if (started < state.warm_at) {
        if (run.result == run_result::overdue) {
            return;
        }
        raise(state, run.running);
        return;
    }
    if (run.result == run_result::overdue) {
        judge_overdue_run(state, run, now);
        return;
    }
    usual_run_time& usual = state.usual[std::min(run.priority, max_class)];
    const double log_ms = log_of(run.run_time);
    if (usual.runs < min_runs_of_usual) {
        raise(state, run.running);
    } else {
        judge_run_time(state, log_ms - usual.log_ms, run.running, now);
    }
    learn_usual(state, usual, log_ms, now);
}

std::uint32_t pace_limit(const pace_state& state, time_point now) {
    const double most = now < state.warm_at ? std::max(1.0, state.slots * warm_up_share) : state.slots;
    return static_cast<std::uint32_t>(std::clamp(state.limit, 1.0, most));
}

} // namespace waxwingfall
