#ifndef WAXWINGFALL_SUPPORT_LOG_BUDGET_H
#define WAXWINGFALL_SUPPORT_LOG_BUDGET_H

#include <cstdint>
#include <map>
#include <vector>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Rate limit for the lines of one kind of event.
struct line_rate {
    double per_second = 0;
    double burst = 0;
    auto operator<=>(const line_rate&) const = default;
};

/// Token bucket of one kind of event, with the number of lines suppressed since the last report.
struct token_bucket {
    double tokens = 0;
    time_point refilled;
    std::uint64_t suppressed = 0;
};

/// Limits the log volume of each kind of event separately, so that a flood of one kind does not suppress the
/// others. Needed under high load, where every request would write several lines.
struct log_budget {
    std::map<std::uint16_t, token_bucket> kinds;
    time_point reported;
};

/// Takes a token for a line of `kind` at `now`. Without one, counts the line as suppressed and returns false.
bool try_acquire_line(log_budget& budget, std::uint16_t kind, const line_rate& rate, time_point now);

/// The number of suppressed lines of one kind of event.
struct suppressed_lines {
    std::uint16_t kind = 0;
    std::uint64_t count = 0;
    auto operator<=>(const suppressed_lines&) const = default;
};

/// Returns the lines suppressed since the last report and resets their counts, at most once a second.
std::vector<suppressed_lines> collect_suppressed(log_budget& budget, time_point now);

} // namespace waxwingfall

#endif
