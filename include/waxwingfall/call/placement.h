#ifndef WAXWINGFALL_CALL_PLACEMENT_H
#define WAXWINGFALL_CALL_PLACEMENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/call/routing.h"

namespace waxwingfall {

/// Inputs of `place_call`.
struct placement_inputs {
    std::string service;
    std::vector<member_id> attempted; ///< endpoints already attempted; never picked again
    std::uint32_t priority = 0;       ///< 0 is the most urgent
    bool large_response = false;      ///< the response should not cross data centres
    bool past_objective = false;      ///< the call is past its latency objective
    milliseconds on_link{0};          ///< time for which the request body occupies a link
    bool is_upload = false;           ///< its body is large, so that the link of the node has to admit it
    auto operator<=>(const placement_inputs&) const = default;
};

/// Picks the endpoint at which the call is expected to finish first. Balances load where data centres have
/// few workers for their clients, where workers differ in speed, where workers have become slow, are cold, or
/// fail, and where links are saturated by large request bodies, which it spreads evenly and by the backlogs
/// that nodes report. Skips endpoints that are unreachable and those that recently refused a call at least as
/// urgent as this one. Returns nothing if none is left, so that the call can be refused at once.
std::optional<member_id> place_call(const routing_table& table, const placement_inputs& inputs,
                                    time_point now, random_source& random);

/// Typical run time of a service, by the recent reports of its endpoints.
milliseconds typical_run_time(const routing_table& table, const std::string& service, time_point now);

/// True if the other endpoints of a service fail few of their calls, so that a call that failed at this one
/// is worth another attempt. If all fail alike, the cause is a common dependency, and a second run only adds
/// load to it.
bool other_endpoints_are_healthier(const routing_table& table, const std::string& service, member_id failed);

} // namespace waxwingfall

#endif
