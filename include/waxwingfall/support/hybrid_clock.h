#ifndef WAXWINGFALL_SUPPORT_HYBRID_CLOCK_H
#define WAXWINGFALL_SUPPORT_HYBRID_CLOCK_H

#include <algorithm>
#include <cstdint>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A hybrid logical clock (Kulkarni et al. 2014): wall-clock milliseconds in the upper 48 bits, a counter in
/// the lower 16. Messages carry its value, which orders the events of all processes so that a cause
/// precedes its effects.
struct hybrid_clock {
    std::uint64_t last = 0;
};

inline constexpr unsigned hybrid_counter_bits = 16;

/// Advances the clock for an event at `now` and returns its timestamp, which is later than all previous ones.
inline std::uint64_t tick_clock(hybrid_clock& clock, wall_ms now) {
    clock.last = std::max(clock.last + 1, now << hybrid_counter_bits);
    return clock.last;
}

/// Advances the clock to the timestamp of a received message. A timestamp more than a minute ahead of `now`
/// is ignored, so that one machine with a wrong clock does not advance the clocks of all others.
inline void observe_clock(hybrid_clock& clock, std::uint64_t received, wall_ms now) {
    constexpr wall_ms max_clock_skew_ms = 60'000;
    if ((received >> hybrid_counter_bits) <= now + max_clock_skew_ms) {
        clock.last = std::max(clock.last, received);
    }
}

} // namespace waxwingfall

#endif
