#include "waxwingfall/support/log_budget.h"

#include <algorithm>

namespace waxwingfall {

namespace {

constexpr milliseconds report_period{1000};

} // namespace

bool try_acquire_line(log_budget& budget, std::uint16_t kind, const line_rate& rate, time_point now) {
    token_bucket& bucket = budget.kinds.try_emplace(kind, token_bucket{rate.burst, now, 0}).first->second;
    constexpr double ms_per_s = 1000.0;
    const double earned = static_cast<double>(elapsed_ms(bucket.refilled, now)) * rate.per_second / ms_per_s;
    bucket.tokens = std::min(rate.burst, bucket.tokens + earned);
    bucket.refilled = now;
    if (bucket.tokens < 1) {
        bucket.suppressed += 1;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

std::vector<suppressed_lines> collect_suppressed(log_budget& budget, time_point now) {
    std::vector<suppressed_lines> lines;
    if (now - budget.reported < report_period) {
        return lines;
    }
    budget.reported = now;
    for (auto& [kind, bucket] : budget.kinds) {
        if (bucket.suppressed > 0) {
            lines.push_back({kind, bucket.suppressed});
            bucket.suppressed = 0;
        }
    }
    return lines;
}

} // namespace waxwingfall
