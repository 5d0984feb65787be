#ifndef WAXWINGFALL_CALL_QUOTA_H
#define WAXWINGFALL_CALL_QUOTA_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "waxwingfall/cluster/membership.h"
#include "waxwingfall/contract/document.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Customers are divided into this many groups. Each group has one holder in each data centre, so that the
/// number of messages of a node does not grow with the number of nodes or customers.
inline constexpr std::size_t quota_groups = 4;

/// Periods and limits of the customers' tokens. The lifetimes bound the tokens in circulation beyond the
/// burst: at most 0.5 s of the rate, which is a tenth of the window of 5 s that the limit is checked in.
struct quota_policy {
    milliseconds token_lifetime{100};   ///< of tokens granted to a node
    milliseconds mint_lifetime{150};    ///< minted tokens that a node keeps before it passes them on
    milliseconds deposit_period{150};   ///< between transfers of minted tokens to the holder
    milliseconds heartbeat_period{500}; ///< between messages to a holder if there is nothing to send
    milliseconds answer_period{400};    ///< between answers to a node that asks for nothing
    milliseconds silence{200};          ///< without an answer, after which the next holder is asked
    milliseconds silence_retry{2000};   ///< after which a silent holder is asked again
    milliseconds presence{1200};        ///< for which a node counts towards the capacity of a pool
    milliseconds ask_spacing{20};       ///< between requests for tokens of one customer
    milliseconds loan_spacing{100};     ///< between requests to other data centres for one customer
    milliseconds collect_period{1000};  ///< for which nodes send what they mint, once they are asked
    milliseconds batch{100};            ///< of demand that a node asks for at once
    milliseconds reserve{250};          ///< of demand that a holder keeps or borrows
    milliseconds settle_time{1000};     ///< without a change of membership, before a node trusts its size
    milliseconds max_dry{1000};         ///< longest delay stated to a client
    double pool_rate_s = 0.25;          ///< capacity of all pools beyond the burst, in seconds of the rate
    double pool_slack = 16;             ///< capacity of all pools beyond the burst, in requests
    std::uint32_t unsettled_nodes =
        1000; ///< size of the deployment that a node assumes until it knows better
    std::size_t items_per_message = 256;
};

/// A customer's limit over all nodes.
struct quota_limit {
    double rate_per_s = 0; ///< 0 if there is none
    double burst = 0;
    auto operator<=>(const quota_limit&) const = default;
};

/// What a node knows of the deployment.
struct quota_view {
    /// By data centre, the local one first: for each group, nodes in the order in which they are asked.
    std::vector<std::array<std::vector<member_id>, quota_groups>> holders;
    std::set<member_id> local;     ///< nodes of the local data centre that are not dead
    std::uint32_t known_nodes = 1; ///< of the deployment, including dead and missing ones
    bool settled = false;          ///< the membership is complete as far as the node can tell
};

/// Tokens that expire at the same time.
struct token_lot {
    double tokens = 0;
    time_point expires;
};

/// The pool of a customer at a holder. Starts empty.
struct quota_pool {
    double tokens = 0;
    double granted_per_s = 0; ///< decaying over a second
    time_point granted_at;
    double unmet = 0; ///< tokens asked for and not granted, decaying likewise
    time_point collect_sent;
    time_point loan_sent;
    time_point used_at; ///< by another node or this one
};

/// One customer at one node.
struct customer_quota {
    quota_limit limit;
    std::uint32_t group = 0;
    double minted = 0; ///< as of `minted_at`
    time_point minted_at;
    std::vector<token_lot> lots;
    double demand_per_s = 0; ///< decaying over a second
    time_point demand_at;
    std::uint32_t waiting = 0; ///< requests that wait for a token
    time_point asked_at;
    time_point dry_until;     ///< no token is expected before
    time_point collect_until; ///< minted tokens go to the holder until then
    std::optional<quota_pool> pool;
};

/// The exchange with another node.
struct quota_peer {
    std::uint64_t epoch = 0;    ///< of its process; 0 until known
    std::uint64_t received = 0; ///< highest sequence number of that process
    std::uint64_t sent = 0;     ///< sequence number of the last message to it
    time_point sent_at;
    std::optional<time_point> unanswered_since;
    std::optional<time_point> heard_at; ///< last request of this node of the local data centre
    std::uint32_t nodes = 0;            ///< of the deployment, as it last stated while its view was settled
    time_point nodes_at;
};

/// Counters since the process started.
struct quota_counts {
    std::uint64_t granted = 0; ///< tokens given to nodes of the data centre
    std::uint64_t lent = 0;    ///< tokens given to other data centres
    std::uint64_t spent = 0;
    std::uint64_t refused = 0; ///< requests
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< of the bodies of these messages
    auto operator<=>(const quota_counts&) const = default;
};

/// The limits of customers at one node. Each node mints its share of every limit, rate_per_s divided by the
/// number of nodes of the deployment, and passes it on to the pool of the customer's holder in its data
/// centre, which grants tokens by demand and borrows from the holders of other data centres. A token is in
/// one place at any time, whichever nodes regard themselves as holders, so the sum over all nodes keeps the
/// limit under every partition.
struct quota_state {
    quota_policy policy;
    member_id self = 0;
    std::uint64_t epoch = 0; ///< increases with each process of the node
    quota_view view;
    std::unordered_map<std::uint64_t, customer_quota> customers; ///< those with a limit, by hash of the name
    std::set<std::uint64_t> active;                              ///< customers that need attention at a tick
    std::map<member_id, quota_peer> peers;
    time_point next_deposit;
    double divisor = 1;   ///< nodes by which the limits are divided
    double reporting = 1; ///< nodes that count towards the capacity of pools
    quota_counts counts;
};

/// A message to another node.
struct quota_message {
    member_id to = 0;
    wire::frame frame;
};

/// The decision on a request.
enum class quota_verdict : std::uint8_t { run, wait, refuse };
struct quota_decision {
    quota_verdict verdict = quota_verdict::run;
    milliseconds retry_after{0}; ///< of a refusal: when a token is expected
    std::vector<quota_message> messages;
};

/// The key of a customer in `quota_state::customers` and on the wire.
std::uint64_t quota_key(std::string_view customer);

/// Adopts the limits of an enforced document. Lower limits cut the tokens in hand; customers without a limit
/// have no state.
void set_quota_limits(quota_state& state, const std::vector<customer_contract>& customers, time_point now);

/// Computes the view of a node whose membership has not changed since `unchanged_since`. If fewer
/// than `data_centres` data centres are known, the number of nodes is raised in proportion: parts of the
/// deployment that have not found each other then divide the limits by the data centres that they know. If
/// `data_centres` is 0 (unknown), the view is settled only after five times as long. Nodes that are leaving
/// and dead ones in `left`, which had announced it, use no tokens and don't count.
quota_view make_quota_view(const membership& nodes, std::size_t data_centres, time_point unchanged_since,
                           const quota_policy& policy, time_point now, const std::set<member_id>& left = {});

/// Replaces the view. Pools of groups that the local node does not hold any more are kept until they are
/// used.
void set_quota_view(quota_state& state, quota_view view, time_point now);

/// Takes a token for a request that arrives, lets it wait for one, or refuses it if none is expected within
/// `max_wait`.
quota_decision request_token(quota_state& state, std::uint64_t customer, milliseconds max_wait,
                             time_point now);

/// Takes a token for a request that waits; false if there is none.
bool take_waiting_token(quota_state& state, std::uint64_t customer, time_point now);

/// Ends the wait of a request that is refused or whose client is gone. Returns when a token is expected.
milliseconds stop_waiting(quota_state& state, std::uint64_t customer, bool is_refused, time_point now);

/// Processes messages of other nodes.
std::vector<quota_message> handle_quota_request(quota_state& state, member_id from,
                                                const wire::quota_request& request, time_point now);
std::vector<quota_message> handle_quota_grant(quota_state& state, member_id from,
                                              const wire::quota_grant& grant, time_point now);

/// Passes on minted tokens, asks again for waiting requests, requests loans. Call it every 20 ms or so.
std::vector<quota_message> tick_quota(quota_state& state, time_point now);

/// Tokens of a customer at this node, in any form.
double tokens_held(const quota_state& state, std::uint64_t customer, time_point now);

/// When the next token of a customer is expected, as far as its holder has stated it.
time_point expected_token_at(const quota_state& state, std::uint64_t customer);

} // namespace waxwingfall

#endif
