#include "waxwingfall/call/link_share.h"

#include <algorithm>

namespace waxwingfall {

namespace {

constexpr double bytes_per_megabit = 125'000;

/// Of the link. The rest carries short answers and what the node passes on for its own callers; with more
/// than two thirds of a link in use, waiting for it grows fast.
constexpr double large_answer_share = 0.6;

/// For which unused share is kept: two or three answers of a catalogue on the smallest links.
constexpr double kept_s = 0.3;

constexpr double mean_weight = 0.1;

} // namespace

link_share share_of_link(double link_mbps) {
    link_share share;
    share.bytes_per_s = link_mbps * bytes_per_megabit * large_answer_share;
    share.tokens = share.bytes_per_s * kept_s;
    return share;
}

bool take_large_answer(link_share& share, time_point now) {
    if (share.bytes_per_s <= 0) {
        return true;
    }
    constexpr double ms_per_s = 1000.0;
    const double earned = static_cast<double>(elapsed_ms(share.refilled, now)) * share.bytes_per_s / ms_per_s;
    share.tokens = std::min(share.bytes_per_s * kept_s, share.tokens + earned);
    share.refilled = now;
    if (share.tokens <= 0) {
        return false;
    }
    share.tokens -= share.mean_answer;
    return true;
}

void settle_large_answer(link_share& share, std::size_t bytes) {
    const auto size = static_cast<double>(bytes);
    share.tokens += share.mean_answer - size;
    if (bytes > 0) {
        share.mean_answer += (size - share.mean_answer) * mean_weight;
    }
}

} // namespace waxwingfall
