#include "waxwingfall/call/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace waxwingfall {

namespace {

constexpr double ms_per_s = 1000.0;

/// Rate at which requests still start if a worker states less. Its next response may lift the limit.
constexpr double min_rate_per_s = 0.5;

/// Time for which unused tokens accumulate, so that clumped arrivals can use the limit.
constexpr double burst_s = 0.5;

double rate_of(const rate_limit& limit) {
    return std::max(*limit.per_s, min_rate_per_s);
}

double tokens_at(const rate_limit& limit, time_point now) {
    const double rate = rate_of(limit);
    const double earned = static_cast<double>(elapsed_ms(limit.refilled, now)) * rate / ms_per_s;
    return std::min(std::max(1.0, rate * burst_s), limit.tokens + earned);
}

} // namespace

void set_rate(rate_limit& limit, std::optional<double> per_s, time_point now) {
    limit.tokens = limit.per_s ? tokens_at(limit, now) : 0.0;
    limit.refilled = now;
    limit.per_s = per_s;
}

bool spend_token(rate_limit& limit, time_point now) {
    if (!limit.per_s) {
        return true;
    }
    limit.tokens = tokens_at(limit, now);
    limit.refilled = now;
    if (limit.tokens < 1) {
        return false;
    }
    limit.tokens -= 1;
    return true;
}

milliseconds time_until_tokens(const rate_limit& limit, std::size_t count, time_point now) {
    if (!limit.per_s) {
        return milliseconds(0);
    }
    const double missing = std::max(0.0, static_cast<double>(count) - tokens_at(limit, now));
    return milliseconds(static_cast<std::int64_t>(std::ceil(missing / rate_of(limit) * ms_per_s)));
}

double usable_slots(const rate_limit& limit, std::uint32_t slots, milliseconds run_time) {
    const auto all = static_cast<double>(slots);
    return limit.per_s ? std::min(all, rate_of(limit) * static_cast<double>(run_time.count()) / ms_per_s)
                       : all;
}

} // namespace waxwingfall
