#ifndef WAXWINGFALL_CALL_PLACEMENT_H
#define WAXWINGFALL_CALL_PLACEMENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/call/routing.h"

namespace waxwingfall {

/// What bears on where a call is placed.
struct placement_question {
    std::string service;
    std::vector<member_id> tried; ///< never picked again
    std::uint32_t priority = 0;   ///< 0 is the most urgent
    bool large_answer = false;    ///< the answer should not cross data centres
    bool past_goal = false;       ///< the call is late already
    auto operator<=>(const placement_question&) const = default;
};

/// Picks the endpoint at which the call is expected to finish first. Answers uneven load: data centres with
/// few workers for their callers, workers of different speed, and workers that turned slow, cold, or bad.
/// Endpoints that are cut off, or that refused a call as urgent as this one a moment ago, are passed over.
/// Returns nothing if none is left, so that the call can be refused at once.
std::optional<member_id> place_call(const routing_table& table, const placement_question& question,
                                    time_point now, random_source& random);

/// How long a run of a service takes by what its endpoints have said lately.
milliseconds typical_run(const routing_table& table, const std::string& service, time_point now);

/// True if the other endpoints of a service fail few of their calls, so that a call which failed at this one
/// is worth another try. Where all fail alike the cause lies behind them, and a second run only adds to it.
bool others_do_better(const routing_table& table, const std::string& service, member_id failed);

} // namespace waxwingfall

#endif
