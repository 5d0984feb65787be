#ifndef WAXWINGFALL_CALL_ROUTING_H
#define WAXWINGFALL_CALL_ROUTING_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/cluster/membership.h"
#include "waxwingfall/support/random_source.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// How an endpoint is picked: `two_choices` and `round_robin` by `pick_endpoint`, `expected_finish` by
/// `place_call`. Round robin is the baseline of the measurements.
enum class pick_rule : std::uint8_t { two_choices, round_robin, expected_finish };

/// Settings of routing.
struct routing_policy {
    pick_rule rule = pick_rule::two_choices;
    std::uint32_t failures_to_eject = 3;      ///< in a row
    milliseconds eject_time{2000};            ///< times the number of ejections in a row, up to ten
    std::uint32_t healthy_floor_percent = 50; ///< below which ejections in a data centre are not heeded
    milliseconds slow_start{10000};           ///< over which a new endpoint reaches its full share
    milliseconds load_lifetime{2000};         ///< after which a reported load is not believed
    milliseconds run_lifetime{3000}; ///< after which a reported run time is not believed; cold workers warm
                                     ///< up in as long
    milliseconds refusal_pause{100}; ///< for which an endpoint that refused is passed over at most
    milliseconds least_refusal_pause{10}; ///< about a round trip between data centres
    milliseconds first_cut{500};          ///< for which an endpoint that can't be reached is passed over;
                                          ///< doubles with each further time in a row
    milliseconds longest_cut{4000};
    double spill_load = 0.9; ///< load per slot from which other data centres are used as well
    auto operator<=>(const routing_policy&) const = default;
};

/// What this node has seen of one endpoint.
struct endpoint {
    member_id id = 0;
    std::string data_centre;
    std::string region;
    std::string address;
    std::uint32_t slots = 1;
    bool suspect = false;
    time_point first_seen;
    std::uint32_t in_flight = 0; ///< of this node
    double reported_load = 0;    ///< running and waiting requests, carried back by answers
    time_point reported_at;
    std::uint32_t in_flight_at_report = 0;
    double mean_run_ms = 0;   ///< as the endpoint reports it; 0 while it is not known
    double failure_share = 0; ///< of the latest tries, exponentially weighted
    time_point unreachable_until;
    std::uint32_t cuts = 0;      ///< times in a row that it could not be reached
    std::uint32_t failures = 0;  ///< in a row
    std::uint32_t ejections = 0; ///< in a row
    time_point ejected_until;
    time_point refused_until;
    std::uint32_t refused_priority = 0; ///< of the refused call; more urgent ones may be taken
    bool refused_past_goal = false;     ///< so was the refused call; timely ones may be taken
};

/// The endpoints of each service, as far as they may take new work.
struct routing_table {
    routing_policy policy;
    std::map<std::string, std::map<member_id, endpoint>> services;
    std::map<std::string, std::uint64_t> turns;         ///< of the round robin rule
    std::map<std::string, time_point> cut_data_centres; ///< none of whose endpoints is tried before that time
    member_id self = 0;                                 ///< this node
    std::string data_centre;                            ///< of this node
    std::string region;
};

/// How a try at an endpoint ended.
enum class try_result : std::uint8_t {
    answered,
    refused,
    failed,
    unreachable, ///< no connection, or silence where an acknowledgement was due
    cancelled
};

/// What an endpoint says of itself in its answers.
struct endpoint_report {
    std::optional<double> load;          ///< running and waiting requests
    std::optional<double> mean_run_ms;   ///< of its worker
    std::uint32_t priority = 0;          ///< of the call that it answers
    std::optional<milliseconds> pause{}; ///< after a refusal, until a call like this one may be taken
    bool past_goal = false;              ///< the call that it answers was late already
    auto operator<=>(const endpoint_report&) const = default;
};

/// Takes in a change of membership. Nodes that leave or are dead lose their endpoint at once.
void update_endpoint(routing_table& table, const member& now_known, time_point now);

/// Picks the endpoint with the lower load out of two drawn at random from the nearest data centres that have
/// capacity. Endpoints in `tried` are passed over while there are others. Returns nothing if the service has
/// none.
std::optional<member_id> pick_endpoint(routing_table& table, const std::string& service,
                                       const std::vector<member_id>& tried, time_point now,
                                       random_source& random);

/// Notes that a try starts at or has ended at an endpoint.
void begin_try(routing_table& table, const std::string& service, member_id id);
void end_try(routing_table& table, const std::string& service, member_id id, try_result result,
             const endpoint_report& report, time_point now);

/// The endpoint of a service, or null.
const endpoint* find_endpoint(const routing_table& table, const std::string& service, member_id id);

/// The address of an endpoint's node for calls, or an empty text.
std::string endpoint_address(const routing_table& table, const std::string& service, member_id id);

/// Tokens that pay for retries: each first try earns a share of one, so that retries stay a bounded part of
/// the calls however many fail.
struct retry_budget {
    double tokens = 10;
    double limit = 10;
};

/// The budget of one of `nodes` nodes that share `slack` retries without asking each other. It keeps half of
/// its share back, because a node that starts again has its budget whole and others may not know of it yet.
retry_budget share_of_slack(std::uint32_t slack, std::size_t nodes);

/// Fits a budget to the share that one of `nodes` nodes has now: a node that has just started knows few of
/// the others and would take too large a share for itself.
void follow_members(retry_budget& budget, std::uint32_t slack, std::size_t nodes);

/// Earns `percent` hundredths of a token for a first try.
void earn_retry(retry_budget& budget, std::uint32_t percent);

/// Takes one token; false if there is none.
bool spend_retry(retry_budget& budget);

} // namespace waxwingfall

#endif
