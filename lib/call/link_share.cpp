#include "waxwingfall/call/link_share.h"

#include <algorithm>

namespace waxwingfall {

namespace {

constexpr double bytes_per_megabit = 125'000;

/// Fraction of the link. The rest carries short responses and the responses that the node forwards to its
/// clients; above two thirds of a link's capacity, queueing delay grows fast.
constexpr double large_response_share = 0.6;

/// Time for which unused budget accumulates: two or three catalogue responses on the smallest links.
constexpr double burst_s = 0.3;

constexpr double response_size_smoothing = 0.1;

} // namespace

link_share share_of_link(double link_mbps) {
    link_share share;
    share.bytes_per_s = link_mbps * bytes_per_megabit * large_response_share;
    share.tokens = share.bytes_per_s * burst_s;
    return share;
}

milliseconds time_on_link(std::size_t bytes, double link_mbps) {
    constexpr double ms_per_s = 1000.0;
    const double bytes_per_ms = link_mbps * bytes_per_megabit / ms_per_s;
    return milliseconds(
        bytes_per_ms > 0 ? static_cast<std::int64_t>(static_cast<double>(bytes) / bytes_per_ms) : 0);
}

bool admit_large_response(link_share& share, time_point now) {
    if (share.bytes_per_s <= 0) {
        return true;
    }
    constexpr double ms_per_s = 1000.0;
    const double earned = static_cast<double>(elapsed_ms(share.refilled, now)) * share.bytes_per_s / ms_per_s;
    share.tokens = std::min(share.bytes_per_s * burst_s, share.tokens + earned);
    share.refilled = now;
    if (share.tokens <= 0) {
        return false;
    }
    share.tokens -= share.mean_response_bytes;
    return true;
}

void settle_large_response(link_share& share, std::size_t bytes) {
    const auto size = static_cast<double>(bytes);
    share.tokens += share.mean_response_bytes - size;
    if (bytes > 0) {
        share.mean_response_bytes += (size - share.mean_response_bytes) * response_size_smoothing;
    }
}

} // namespace waxwingfall
