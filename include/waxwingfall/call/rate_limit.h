#ifndef WAXWINGFALL_CALL_RATE_LIMIT_H
#define WAXWINGFALL_CALL_RATE_LIMIT_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A token bucket that keeps the rate of requests to one worker below the limit that the worker states. All
/// requests to a worker pass its node, so one bucket there holds for all nodes that call it.
struct rate_limit {
    std::optional<double> per_s; ///< requests a second; unset if there is no limit
    double tokens = 0;           ///< requests that may start, as of `refilled`
    time_point refilled;
    auto operator<=>(const rate_limit&) const = default;
};

/// Sets the limit in requests a second, or removes it. A bucket that had none starts empty, because requests
/// that started before may have used the limit up.
void set_rate(rate_limit& limit, std::optional<double> per_s, time_point now);

/// Takes the token of a request that starts now; false if there is none.
bool spend_token(rate_limit& limit, time_point now);

/// Time until `count` tokens are available if none is spent meanwhile.
milliseconds time_until_tokens(const rate_limit& limit, std::size_t count, time_point now);

/// Slots of a worker that requests of this run time can occupy at the limited rate.
double usable_slots(const rate_limit& limit, std::uint32_t slots, milliseconds run_time);

} // namespace waxwingfall

#endif
