#ifndef WAXWINGFALL_CALL_RETURN_SCHEDULE_H
#define WAXWINGFALL_CALL_RETURN_SCHEDULE_H

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Times at which clients that were refused may return. Addresses clients that are refused together, return
/// together as soon as the first of them would be served, and are refused again: each refusal states a later
/// time than the one before, at a rate that leaves most of the capacity to new requests.
struct return_schedule {
    time_point next; ///< the latest time that was stated
};

/// Longest delay that a schedule states. Clients wait for about a third of their timeout of a few seconds.
inline constexpr milliseconds max_return_delay{1200};

/// Returns after what delay the client of a refused request is served: `room_in` at the earliest, when a
/// similar request may be admitted, and `service_interval` times a factor after the return stated before.
/// `service_interval` is the mean time between two requests at full capacity.
milliseconds schedule_return(return_schedule& schedule, milliseconds room_in,
                             std::chrono::duration<double, std::milli> service_interval, time_point now);

} // namespace waxwingfall

#endif
