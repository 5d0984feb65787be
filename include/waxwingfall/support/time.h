#ifndef WAXWINGFALL_SUPPORT_TIME_H
#define WAXWINGFALL_SUPPORT_TIME_H

#include <chrono>
#include <cstdint>

namespace waxwingfall {

/// Monotonic time. Every function that decides takes the present time of this type as an argument.
using time_point = std::chrono::steady_clock::time_point;

/// A length of time in milliseconds, the unit of all settings and deadlines.
using milliseconds = std::chrono::milliseconds;

/// Milliseconds of wall-clock time since the Unix epoch, used only in keys and records that leave the
/// process.
using wall_ms = std::uint64_t;

/// Whole milliseconds from `earlier` to `later`; negative if they are the other way round.
inline std::int64_t elapsed_ms(time_point earlier, time_point later) {
    return std::chrono::duration_cast<milliseconds>(later - earlier).count();
}

} // namespace waxwingfall

#endif
