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
/// `place_call`. Round robin is the baseline of the benchmarks.
enum class pick_rule : std::uint8_t { two_choices, round_robin, expected_finish };

/// Settings of endpoint selection.
struct routing_policy {
    pick_rule rule = pick_rule::two_choices;
    std::uint32_t failures_to_eject = 3; ///< in a row
    milliseconds eject_time{2000};       ///< multiplied by the number of ejections in a row, at most ten
    /// Of the endpoints at one distance; if fewer are healthy, ejections and suspicions among them are
    /// ignored.
    std::uint32_t healthy_floor_percent = 50;
    milliseconds slow_start{10000};   ///< time over which a new endpoint reaches its full share
    milliseconds load_lifetime{2000}; ///< after which a reported load is ignored
    /// Time after which a measured transit time is ignored, so that an endpoint whose link was saturated is
    /// attempted again.
    milliseconds transit_lifetime{3000};
    /// Time after which a reported run time is ignored; cold workers warm up in this time.
    milliseconds run_time_lifetime{3000};
    /// Time after which a reported backlog of a link is ignored. Until then it is assumed to shrink by a
    /// millisecond in each.
    milliseconds link_backlog_lifetime{1000};
    milliseconds max_refusal_pause{100}; ///< longest time for which an endpoint that refused is skipped
    milliseconds min_refusal_pause{10};  ///< about a round trip between data centres
    /// Time for which an unreachable endpoint is skipped; doubles with each further time in a row.
    milliseconds initial_unreachable_pause{500};
    milliseconds max_unreachable_pause{4000};
    double spillover_load = 0.9; ///< load per slot from which farther endpoints are used as well
    auto operator<=>(const routing_policy&) const = default;
};

/// A refusal that an endpoint stated for some time.
struct stated_refusal {
    time_point until;
    std::uint32_t priority = 0; ///< of the refused call; more urgent calls may be admitted
    /// True if the refused call was past its objective; calls within theirs may be admitted.
    bool past_objective = false;
    auto operator<=>(const stated_refusal&) const = default;
};

/// This node's view of one endpoint.
struct endpoint {
    member_id id = 0;
    std::string data_centre;
    std::string region;
    std::string address;
    std::uint32_t slots = 1;
    bool suspect = false;
    time_point first_seen;
    std::uint32_t in_flight = 0; ///< calls of this node
    double reported_load = 0;    ///< running and waiting requests, as reported in responses
    time_point reported_at;
    std::uint32_t in_flight_at_report = 0;
    double mean_run_ms = 0;   ///< as the endpoint reports it; 0 while unknown
    milliseconds transit{0};  ///< until its node acknowledged the latest call that it acknowledged
    time_point transit_at;    ///< when that was; measured values expire
    double transfer_ms = 0;   ///< time for which this node's calls occupied its link, decaying
    time_point transfer_at;   ///< when `transfer_ms` was last updated
    double failure_share = 0; ///< of the latest attempts, exponentially weighted
    time_point unreachable_until;
    std::uint32_t unreachable_count = 0; ///< times in a row that it was unreachable
    std::uint32_t failures = 0;          ///< in a row
    std::uint32_t ejections = 0;         ///< in a row
    time_point ejected_until;
    time_point refused_until;
    std::uint32_t refused_priority = 0; ///< of the refused call; more urgent calls may be admitted
    /// True if the refused call was past its objective; calls within theirs may be admitted.
    bool refused_past_objective = false;
    stated_refusal uploads_refused; ///< by the link of its node; other calls are not affected
    milliseconds link_backlog{0};   ///< of request bodies, as the endpoint's node reported it
    time_point link_backlog_at;     ///< when that was
    time_point room_at;             ///< when a client that it refused may return
};

/// A rate limit that a worker stated in a response to this node.
struct stated_limit {
    double per_s = 0; ///< requests a second from all nodes together
    time_point stated_at;
    auto operator<=>(const stated_limit&) const = default;
};

/// The endpoints of each service that may accept new calls.
struct routing_table {
    routing_policy policy;
    std::map<std::string, std::map<member_id, endpoint>> services;
    std::map<std::string, std::uint64_t> round_robin_positions; ///< for the round robin rule
    std::map<std::string, time_point> unreachable_data_centres; ///< skipped until the given time
    /// By node beside the worker. Kept while the node restarts, which loses the limit.
    std::map<member_id, stated_limit> rate_limits;
    member_id self = 0;      ///< this node's id
    std::string data_centre; ///< of this node
    std::string region;
};

/// How an attempt at an endpoint ended.
enum class attempt_result : std::uint8_t {
    responded,
    refused,
    failed,
    unreachable, ///< no connection, or no acknowledgement in time
    cancelled
};

/// What an endpoint reports about itself in its responses.
struct endpoint_report {
    std::optional<double> load;          ///< running and waiting requests
    std::optional<double> mean_run_ms;   ///< of its worker
    std::uint32_t priority = 0;          ///< of the call that it responds to
    std::optional<milliseconds> pause{}; ///< after a refusal, until a similar call may be admitted
    bool past_objective = false;         ///< the call that it responds to was past its objective
    bool is_upload = false; ///< the call that it responds to had a large body, which its node's link admits
    std::optional<milliseconds> room_in{};      ///< after a refusal, until the client may return
    std::optional<milliseconds> link_backlog{}; ///< of request bodies on its node's link
    auto operator<=>(const endpoint_report&) const = default;
};

/// Applies a membership change. Nodes that shut down or are dead lose their endpoint at once.
void update_endpoint(routing_table& table, const member& updated, time_point now);

/// Picks an endpoint from the nearest data centres that have capacity: the one with the lower load out of two
/// drawn at random, or the next in turn with `pick_rule::round_robin`. Skips endpoints in `attempted`.
/// Returns nothing if no endpoint is left.
std::optional<member_id> pick_endpoint(routing_table& table, const std::string& service,
                                       const std::vector<member_id>& attempted, time_point now,
                                       random_source& random);

/// Records the start or the end of an attempt at an endpoint.
void begin_attempt(routing_table& table, const std::string& service, member_id id);
void end_attempt(routing_table& table, const std::string& service, member_id id, attempt_result result,
                 const endpoint_report& report, time_point now);

/// Records the time from sending a call until the endpoint's node acknowledged it. It grows with the queue on
/// the node's link and with the node's own lag, which the load of its worker does not show.
void record_transit(routing_table& table, const std::string& service, member_id id, milliseconds transit,
                    time_point now);

/// Records that a call starts to occupy the endpoint's link with its request body, for this long.
void record_transfer(routing_table& table, const std::string& service, member_id id, milliseconds on_link,
                     time_point now);

/// Records the rate limit that a response of an endpoint's worker states, or that it states none.
void record_rate_limit(routing_table& table, member_id id, std::optional<double> per_s, time_point now);

/// The rate limit that the endpoint's worker stated last, unless that was too long ago.
std::optional<double> known_rate_limit(const routing_table& table, member_id id, time_point now);

/// The remaining backlog of request bodies on an endpoint's link, or 0 if it is unknown.
milliseconds remaining_link_backlog(const routing_table& table, const endpoint& target, time_point now);

/// Shortest time until an endpoint of the service has room for clients that were refused, or 0 if none has
/// stated a time that is still ahead.
milliseconds shortest_room_in(const routing_table& table, const std::string& service, time_point now);

/// The share of an endpoint's link that request bodies occupy if all nodes send as many to it as this one.
double link_share_used(const routing_table& table, const endpoint& target, time_point now);

/// The endpoint of a service, or null.
const endpoint* find_endpoint(const routing_table& table, const std::string& service, member_id id);

/// The address of an endpoint's node for calls, or an empty string.
std::string endpoint_address(const routing_table& table, const std::string& service, member_id id);

/// Token bucket for retries: each first attempt adds a fraction of a token, which bounds retries to a share
/// of the calls however many fail.
struct retry_budget {
    double tokens = 10;
    double limit = 10;
};

/// The budget of one of `nodes` nodes that share `slack` retries without coordination. Half of the share is
/// held in reserve, because a restarted node has a full budget and the others may not know of it yet.
retry_budget node_retry_budget(std::uint32_t slack, std::size_t nodes);

/// Adjusts a budget to the share of one of `nodes` nodes: a node that has just started knows few of the
/// others and would otherwise claim too large a share.
void resize_retry_budget(retry_budget& budget, std::uint32_t slack, std::size_t nodes);

/// Adds `percent` hundredths of a token for a first attempt.
void earn_retry(retry_budget& budget, std::uint32_t percent);

/// Takes one token; false if there is none.
bool spend_retry(retry_budget& budget);

} // namespace waxwingfall

#endif
