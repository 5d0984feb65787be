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

/// Periods and limits of membership, in milliseconds unless the name says otherwise.
struct membership_policy {
    milliseconds probe_period{1000};          ///< between probes of the ring's next node and of one finger
    milliseconds bridge_period{2000};         ///< between probes of the bridges of other data centres
    milliseconds probe_timeout{600};          ///< without an answer, other nodes are asked to probe
    milliseconds suspicion_timeout{2000};     ///< between suspicion and death
    milliseconds tombstone_lifetime{3600000}; ///< how long a dead node's record is kept
    milliseconds sync_spacing{1000};          ///< least time between table exchanges with one peer
    milliseconds join_backoff_base{200};      ///< first wait of a joiner; doubles up to the limit
    milliseconds join_backoff_limit{10000};
    std::uint32_t join_burst = 10;           ///< joiners served at once
    std::uint32_t joins_per_second = 20;     ///< joiners served later on
    std::size_t bridges_per_data_centre = 2; ///< nodes that read the platform and link data centres
    std::size_t indirect_probers = 2;
    auto operator<=>(const membership_policy&) const = default;
};

/// A change of what is known of a node, for the log and for routing.
struct member_change {
    member now;
    std::optional<member_state> before; ///< nothing if the node was not known
    auto operator<=>(const member_change&) const = default;
};

/// What a step of membership asks for.
struct membership_effects {
    std::vector<outgoing> messages;
    std::vector<member_change> changes;
};

/// A probe that waits for its answer.
struct probe {
    member_id target = 0;
    time_point sent;
    bool asked_others = false;
};

/// Token bucket for joiners.
struct join_allowance {
    double tokens = 0;
    time_point refilled;
};

/// All that a node knows of the other nodes of its environment. The nodes of a data centre form a ring in the
/// order of their ids; each probes the next one and its fingers, at distances 1, 2, 4 and so on, and passes
/// news on to its fingers. The bridges of a data centre pass news to and from the other data centres.
struct membership {
    membership_policy policy;
    member self;
    std::optional<member> former_self;   ///< what the others knew of this node's last process
    std::map<member_id, member> members; ///< `self` included
    std::map<member_id, time_point> state_since;
    std::uint64_t table_hash = 0; ///< over all members that are not dead
    std::map<std::uint64_t, probe> probes;
    std::uint64_t next_sequence = 1;
    std::uint64_t finger_turn = 0;
    time_point next_probe;
    time_point next_bridge_probe;
    time_point last_tick;
    std::map<std::string, time_point> last_sync;
    join_allowance joins;
    bool joined = false;
    std::vector<std::string> contacts; ///< control addresses to join at
    std::uint32_t join_attempts = 0;
    time_point next_join;
    std::uint64_t name_conflicts = 0; ///< records of this node's name with another address
};

/// The state of a node that starts at `now` with the given record and addresses of possible peers.
membership start_membership(const membership_policy& policy, const member& self,
                            const std::vector<std::string>& contacts, time_point now);

/// Takes in records from anywhere, keeps the newer ones, and passes those on. `from_data_centre` is that of
/// the sender; news is carried across data centres only by a bridge of the data centre where it arose. News
/// of `self` that is not true is refuted.
membership_effects merge_members(membership& state, const std::vector<member>& records,
                                 const std::string& from_data_centre, time_point now);

/// Changes the own state, for example to leaving, and tells the others.
membership_effects set_own_state(membership& state, member_state own, time_point now);

/// Adds addresses to join at, for example from the platform.
void add_contacts(membership& state, const std::vector<std::string>& addresses);

/// Sends what is due at `now`: probes, suspicions, deaths, attempts to join. Call it at least every 100 ms.
membership_effects tick_membership(membership& state, time_point now, random_source& random);

/// Notes the answer to a probe. An answer that came after all refutes nothing by itself: the suspected node
/// does.
void handle_ack(membership& state, std::uint64_t sequence, member_id from);

/// Probes a node on behalf of another one.
membership_effects handle_probe_request(membership& state, const wire::probe_request& request,
                                        const std::string& reply_to);

/// Starts an exchange of tables if the peer's differs and none ran lately.
membership_effects compare_tables(membership& state, std::uint64_t peer_hash, const std::string& peer_address,
                                  time_point now, random_source& random);

/// Answers an exchange: the records that the peer lacks, and the ids of those that it should send.
membership_effects handle_sync_request(membership& state, const wire::sync_request& request,
                                       const std::string& reply_to);

/// Takes in the answer of an exchange and sends what the peer wants.
membership_effects handle_sync_answer(membership& state, const wire::sync_answer& answer,
                                      const std::string& reply_to, const std::string& from_data_centre,
                                      time_point now);

/// Admits a joiner, or names other nodes to ask if too many came at once.
membership_effects handle_join(membership& state, const member& joiner, const std::string& reply_to,
                               time_point now, random_source& random);

/// Takes in the answer to an attempt to join.
membership_effects handle_join_answer(membership& state, const wire::join_answer& answer,
                                      const std::string& from_data_centre, time_point now);

/// The nodes of `data_centre` that can take messages, in ring order.
std::vector<member_id> reachable_in(const membership& state, const std::string& data_centre);

/// The bridges of `data_centre`, the first one first.
std::vector<member_id> bridges_of(const membership& state, const std::string& data_centre);

/// The rank of this node among the bridges of its data centre, or nothing if it is none.
std::optional<std::size_t> own_bridge_rank(const membership& state);

/// The nodes that this one passes news to inside its data centre.
std::vector<member_id> fingers(const membership& state);

/// The first bridge of each other data centre.
std::vector<member_id> remote_bridges(const membership& state);

/// The data centre of a node, or an empty text if it is not known.
std::string data_centre_of(const membership& state, member_id id);

/// True if more than half of the data centre's nodes can be reached, counting those that died
/// within `window` without leaving.
bool sees_majority(const membership& state, time_point now, milliseconds window);

} // namespace waxwingfall

#endif
