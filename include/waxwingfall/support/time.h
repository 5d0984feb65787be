#ifndef WAXWINGFALL_SUPPORT_TIME_H
#define WAXWINGFALL_SUPPORT_TIME_H

#include <chrono>
#include <cstdint>

namespace waxwingfall {

/// Monotonic time. Decision functions take the current time as an argument of this type.
using time_point = std::chrono::steady_clock::time_point;

/// The clock CLOCK_BOOTTIME, which steps of the wall clock don't change and which, unlike monotonic time,
/// runs on while the machine is suspended.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

/// Time since the start of the machine, for bounds that also hold across suspensions.
using boot_time = boot_clock::time_point;

/// A duration in milliseconds, the unit of all settings and deadlines.
using milliseconds = std::chrono::milliseconds;

/// Wall-clock time in milliseconds since the Unix epoch. Used only in keys and records that leave the
/// process.
using wall_ms = std::uint64_t;

/// Returns the milliseconds from `earlier` to `later`, truncated; negative if `later` precedes `earlier`.
inline std::int64_t elapsed_ms(time_point earlier, time_point later) {
    return std::chrono::duration_cast<milliseconds>(later - earlier).count();
}

} // namespace waxwingfall

#endif
