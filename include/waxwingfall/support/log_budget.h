#ifndef WAXWINGFALL_SUPPORT_LOG_BUDGET_H
#define WAXWINGFALL_SUPPORT_LOG_BUDGET_H

#include <cstdint>
#include <map>
#include <vector>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// How many lines of one kind of event may be written.
struct line_rate {
    double per_second = 0;
    double burst = 0;
    auto operator<=>(const line_rate&) const = default;
};

/// Tokens of one kind of event, and what was left out since that was last said.
struct line_tokens {
    double tokens = 0;
    time_point refilled;
    std::uint64_t suppressed = 0;
};

/// Bounds the volume of a log by kind of event, so that a flood of one kind leaves room for the others. It
/// answers load under which each request would write several lines.
struct log_budget {
    std::map<std::uint16_t, line_tokens> kinds;
    time_point reported;
};

/// True if a line of this kind may be written at `now`; otherwise it is counted.
bool take_line(log_budget& budget, std::uint16_t kind, const line_rate& rate, time_point now);

/// How many lines of a kind were left out.
struct suppressed_lines {
    std::uint16_t kind = 0;
    std::uint64_t count = 0;
    auto operator<=>(const suppressed_lines&) const = default;
};

/// The lines left out since the last call, at most once a second.
std::vector<suppressed_lines> take_suppressed(log_budget& budget, time_point now);

} // namespace waxwingfall

#endif
