#ifndef WAXWINGFALL_SUPPORT_HYBRID_CLOCK_H
#define WAXWINGFALL_SUPPORT_HYBRID_CLOCK_H

#include <algorithm>
#include <cstdint>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A hybrid logical clock (Kulkarni et al. 2014): wall-clock milliseconds in the upper 48 bits, a counter in
/// the lower
/// 16. Carried on messages, it orders the events of all processes so that a cause comes before its effects.
struct hybrid_clock {
    std::uint64_t last = 0;
};

inline constexpr unsigned hybrid_counter_bits = 16;

/// The time of an event at `now`: later than any before it.
inline std::uint64_t tick_clock(hybrid_clock& clock, wall_ms now) {
    clock.last = std::max(clock.last + 1, now << hybrid_counter_bits);
    return clock.last;
}

/// Notes the clock of a message that was received. A clock more than a minute ahead is not followed, so that
/// one broken machine does not carry all others along.
inline void observe_clock(hybrid_clock& clock, std::uint64_t received, wall_ms now) {
    constexpr wall_ms most_ahead = 60'000;
    if ((received >> hybrid_counter_bits) <= now + most_ahead) {
        clock.last = std::max(clock.last, received);
    }
}

} // namespace waxwingfall

#endif
