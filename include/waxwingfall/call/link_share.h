#ifndef WAXWINGFALL_CALL_LINK_SHARE_H
#define WAXWINGFALL_CALL_LINK_SHARE_H

#include <cstddef>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// The part of the machine's link that large answers may fill. It answers more downloads than a small link
/// carries: without a bound, short answers wait behind them, and every service that depends on those waits as
/// well.
struct link_share {
    double bytes_per_s = 0;      ///< for large answers; 0 if they are not bounded
    double tokens = 0;           ///< bytes that may be sent now; below 0 while a larger answer is made up for
    double mean_answer = 65'536; ///< bytes, exponentially weighted
    time_point refilled;
};

/// The share of a link of `link_mbps` megabits a second; not bounded if that is 0.
link_share share_of_link(double link_mbps);

/// True if a request with a large answer may run now; its expected size is taken from the share.
bool take_large_answer(link_share& share, time_point now);

/// Makes up for what was taken: the answer had `bytes`, or none at all.
void settle_large_answer(link_share& share, std::size_t bytes);

} // namespace waxwingfall

#endif
