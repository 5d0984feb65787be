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

/// What is known of a node. Within one incarnation a later state replaces an earlier one.
enum class member_state : std::uint8_t {
    alive,
    suspect, ///< did not answer probes; may still refute it with a higher incarnation
    leaving, ///< finishes what it has and takes no new work
    dead,
};

/// The record by which a node announces itself and its worker. Addresses are "IP:PORT".
struct member {
    member_id id = 0;
    std::string name;
    std::string data_centre;
    std::string region;
    std::string service;         ///< of the worker beside the node
    std::string control_address; ///< for messages between nodes
    std::string inbound_address; ///< for calls to the worker
    std::uint32_t slots = 0;     ///< requests that the worker runs at once; 0 while it takes none
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    std::string left_worker; ///< id of the last worker that said it leaves; a node that starts again learns
                             ///< from others what it acknowledged
    std::uint64_t left_worker_start = 0; ///< incarnation of that worker; 0 if it is not known
    auto operator<=>(const member&) const = default;
};

/// True if `candidate` says something newer of the same node than `known`.
bool supersedes(const member& candidate, const member& known);

/// Conversions to and from the message form; unknown states read as dead.
wire::member to_wire(const member& value);
member from_wire(const wire::member& value);

/// A message to the node that listens at `address`.
struct outgoing {
    std::string address;
    wire::frame frame;
};

/// The first `count` ids of `candidates` in the order of their rendezvous hash with `topic`. All nodes that
/// hold the same candidates compute the same answer, and one lost candidate moves no other.
std::vector<member_id> rendezvous_top(std::vector<member_id> candidates, std::string_view topic,
                                      std::size_t count);

} // namespace waxwingfall

#endif
