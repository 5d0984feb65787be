#ifndef WAXWINGFALL_CALL_LINK_SHARE_H
#define WAXWINGFALL_CALL_LINK_SHARE_H

#include <cstddef>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Rate limit for large responses on the machine's link. When downloads exceed the capacity of a small link,
/// short responses would otherwise queue behind them, and with them every service that depends on those.
struct link_share {
    double bytes_per_s = 0; ///< for large responses; 0 if not limited
    double tokens = 0;      ///< bytes that may be sent now; below 0 after responses larger than the budget
    double mean_response_bytes = 65'536; ///< exponentially weighted
    time_point refilled;
};

/// The limit for a link of `link_mbps` megabits a second; no limit if that is 0.
link_share share_of_link(double link_mbps);

/// Time that `bytes` take on a link of `link_mbps` megabits a second; 0 if that is 0.
milliseconds time_on_link(std::size_t bytes, double link_mbps);

/// True if a request with a large response may run now; reserves its expected size.
bool admit_large_response(link_share& share, time_point now);

/// Corrects the reservation to the actual size of the response: `bytes`, or 0 if there was none.
void settle_large_response(link_share& share, std::size_t bytes);

} // namespace waxwingfall

#endif
