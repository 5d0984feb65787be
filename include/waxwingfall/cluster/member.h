#ifndef WAXWINGFALL_CLUSTER_MEMBER_H
#define WAXWINGFALL_CLUSTER_MEMBER_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfall/support/time.h"
#include "waxwingfall/wire/wire.pb.h"

namespace waxwingfall {

/// Identifies a node: the stable hash of its name.
using member_id = std::uint64_t;

/// The state of a node. Within one incarnation a state listed later replaces one listed earlier.
enum class member_state : std::uint8_t {
    alive,
    suspect, ///< did not acknowledge probes; the node can refute this with a higher incarnation
    leaving, ///< completes its open requests; other nodes send it no new ones
    dead,
};

/// The record that a node publishes about itself and its worker. Addresses have the form "IP:PORT".
struct member {
    member_id id = 0;
    std::string name;
    std::string data_centre;
    std::string region;
    std::string service;         ///< of the worker beside the node
    std::string control_address; ///< for messages between nodes
    std::string inbound_address; ///< for calls to the worker
    std::uint32_t slots = 0;     ///< requests that the worker runs concurrently; 0 while it accepts none
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    std::string left_worker; ///< id of the last worker that announced its shutdown; a restarted node
                             ///< learns from its peers which shutdown it had acknowledged
    std::uint64_t left_worker_start = 0; ///< incarnation of that worker; 0 if unknown
    auto operator<=>(const member&) const = default;
};

/// Returns true if `candidate` is a newer record of the same node than `known`.
bool supersedes(const member& candidate, const member& known);

/// Convert records to and from the wire format; unknown states are read as dead.
wire::member to_wire(const member& value);
member from_wire(const wire::member& value);

/// A message to the node that listens at `address`.
struct outgoing {
    std::string address;
    wire::frame frame;
};

/// Returns the first `count` ids of `candidates` in the order of their rendezvous hash with `topic`. All
/// nodes with the same candidates compute the same result, and the loss of a candidate doesn't reorder the
/// others.
std::vector<member_id> rendezvous_top(std::vector<member_id> candidates, std::string_view topic,
                                      std::size_t count);

} // namespace waxwingfall

#endif
