#include "waxwingfall/support/log_budget.h"

#include <algorithm>

namespace waxwingfall {

namespace {

constexpr milliseconds report_period{1000};

} // namespace

bool take_line(log_budget& budget, std::uint16_t kind, const line_rate& rate, time_point now) {
    line_tokens& state = budget.kinds.try_emplace(kind, line_tokens{rate.burst, now, 0}).first->second;
    constexpr double ms_per_s = 1000.0;
    const double earned = static_cast<double>(elapsed_ms(state.refilled, now)) * rate.per_second / ms_per_s;
    state.tokens = std::min(rate.burst, state.tokens + earned);
    state.refilled = now;
    if (state.tokens < 1) {
        state.suppressed += 1;
        return false;
    }
    state.tokens -= 1;
    return true;
}

std::vector<suppressed_lines> take_suppressed(log_budget& budget, time_point now) {
    std::vector<suppressed_lines> found;
    if (now - budget.reported < report_period) {
        return found;
    }
    budget.reported = now;
    for (auto& [kind, state] : budget.kinds) {
        if (state.suppressed > 0) {
            found.push_back({kind, state.suppressed});
            state.suppressed = 0;
        }
    }
    return found;
}

} // namespace waxwingfall
