#ifndef WAXWINGFALL_CLUSTER_MEMBERSHIP_H
#define WAXWINGFALL_CLUSTER_MEMBERSHIP_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/cluster/member.h"
#include "waxwingfall/support/random_source.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Periods and limits of membership.
struct membership_policy {
    milliseconds probe_period{1000};      ///< between probes of the next node in the ring and of one finger
    milliseconds bridge_period{2000};     ///< between probes of the bridges of other data centres
    milliseconds probe_timeout{600};      ///< after which other nodes are asked to probe the target
    milliseconds suspicion_timeout{2000}; ///< until a suspected node is declared dead
    milliseconds tombstone_lifetime{3600000}; ///< how long the record of a dead node is kept
    milliseconds sync_spacing{1000};          ///< mean time from a differing table hash to the exchange
    milliseconds join_backoff_base{200};      ///< first delay of a joining node; doubles up to the limit
    milliseconds join_backoff_limit{10000};
    std::uint32_t join_burst = 10;           ///< join requests admitted in a burst
    std::uint32_t joins_per_second = 20;     ///< sustained rate of admitted join requests
    std::size_t bridges_per_data_centre = 2; ///< nodes that read the platform and connect data centres
    std::size_t indirect_probers = 2;        ///< nodes asked to probe a target that did not acknowledge
    auto operator<=>(const membership_policy&) const = default;
};

/// A change of a node's record, for the log and for routing.
struct member_change {
    member now;
    std::optional<member_state> before; ///< nothing if the node was not known
    auto operator<=>(const member_change&) const = default;
};

/// What the caller has to do after a step.
struct membership_effects {
    std::vector<outgoing> messages;
    std::vector<member_change> changes;
};

/// A probe that waits for its acknowledgement.
struct probe {
    member_id target = 0;
    time_point sent;
    bool indirect_probes_sent = false;
};

/// Token bucket that limits join requests.
struct join_token_bucket {
    double tokens = 0;
    time_point refilled;
};

/// A node's view of the nodes of its environment. The nodes of a data centre form a ring in the order of
/// their ids; a node's fingers are those at distances 1, 2, 4 and so on after it. It probes its fingers and
/// gossips updates to them. The bridges of a data centre exchange updates with the other data centres.
struct membership {
    membership_policy policy;
    member self;
    std::optional<member> previous_self; ///< the peers' record of this node's previous process
    std::map<member_id, member> members; ///< includes `self`
    std::map<member_id, time_point> state_since;
    std::uint64_t table_hash = 0; ///< of all members that are not dead
    std::map<std::uint64_t, probe> probes;
    std::uint64_t next_sequence = 1;
    std::uint64_t finger_probe_count = 0;
    time_point next_probe;
    time_point next_bridge_probe;
    time_point last_tick;
    std::map<std::string, time_point> sync_timers; ///< by peer address: when its table hash first differed
    join_token_bucket joins;
    bool joined = false;
    std::vector<std::string> contacts; ///< control addresses to join at
    std::uint32_t join_attempts = 0;
    time_point next_join;
    std::uint64_t implausible_records = 0; ///< that were ignored
    std::uint64_t name_conflicts = 0;      ///< records with this node's name and another address
};

/// Returns the state of a node that starts at `now` with the given record and addresses of possible peers.
membership start_membership(const membership_policy& policy, const member& self,
                            const std::vector<std::string>& contacts, time_point now);

/// Merges records from any source and gossips those that were newer. `from_data_centre` is the sender's;
/// a bridge forwards to other data centres only what it received from its own. False records of `self` are
/// refuted.
membership_effects merge_members(membership& state, const std::vector<member>& records,
                                 const std::string& from_data_centre, time_point now);

/// Changes the local node's state, for example to leaving, and gossips it.
membership_effects set_local_state(membership& state, member_state new_state, time_point now);

/// Adds addresses to join at, for example those found on the platform.
void add_contacts(membership& state, const std::vector<std::string>& addresses);

/// Sends what is due at `now`: probes, suspicions, declarations of death, join requests. Call it at least
/// every 100 ms.
membership_effects tick_membership(membership& state, time_point now, random_source& random);

/// Removes the probe that `from` acknowledges. A late acknowledgement doesn't clear a suspicion; only the
/// suspected node can, with a higher incarnation.
void handle_ack(membership& state, std::uint64_t sequence, member_id from);

/// Probes a node on behalf of another node.
membership_effects handle_probe_request(membership& state, const wire::probe_request& request,
                                        const std::string& reply_to);

/// Starts a table exchange with a peer whose table hash differs. The first difference only starts the peer's
/// timer; a difference after the sync spacing starts the exchange and clears the timer.
membership_effects compare_tables(membership& state, std::uint64_t peer_hash, const std::string& peer_address,
                                  time_point now, random_source& random);

/// Replies to a table exchange with the records that the peer lacks and the ids of those that it should send.
membership_effects handle_sync_request(membership& state, const wire::sync_request& request,
                                       const std::string& reply_to);

/// Merges the records of a sync response and sends those that the peer wants.
membership_effects handle_sync_response(membership& state, const wire::sync_answer& response,
                                        const std::string& reply_to, const std::string& from_data_centre,
                                        time_point now);

/// Admits a joining node, or returns other nodes to try if the join rate is exceeded.
membership_effects handle_join(membership& state, const member& joiner, const std::string& reply_to,
                               time_point now, random_source& random);

/// Handles the response to a join request.
membership_effects handle_join_response(membership& state, const wire::join_answer& response,
                                        const std::string& from_data_centre, time_point now);

/// Returns the nodes of `data_centre` that are not dead, in ring order.
std::vector<member_id> reachable_in(const membership& state, const std::string& data_centre);

/// Returns the bridges of `data_centre` in order of rank.
std::vector<member_id> bridges_of(const membership& state, const std::string& data_centre);

/// Returns the rank of the local node among the bridges of its data centre, or nothing if it is not a bridge.
std::optional<std::size_t> local_bridge_rank(const membership& state);

/// Returns the nodes in the local data centre that this node gossips to.
std::vector<member_id> fingers(const membership& state);

/// Returns the first bridge of each other data centre.
std::vector<member_id> remote_bridges(const membership& state);

/// Returns the data centre of a node, or an empty string if the node is unknown.
std::string data_centre_of(const membership& state, member_id id);

/// Returns true if the local data centre has more nodes that are alive or leaving than nodes that became
/// suspect or dead within `window`.
bool sees_majority(const membership& state, time_point now, milliseconds window);

} // namespace waxwingfall

#endif
