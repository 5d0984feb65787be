#ifndef WAXWINGFALL_CLUSTER_BRIDGE_ACTIVATION_H
#define WAXWINGFALL_CLUSTER_BRIDGE_ACTIVATION_H

#include <cstdint>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Inputs of `acts_as_bridge`: whether a node that the ring selects as a bridge reads the platform for others
/// and publishes its address there for joining nodes.
struct bridge_activation_inputs {
    bool joined = false;              ///< the node knows its peers, so its view of the ring is valid
    std::uint32_t answered_polls = 0; ///< polls of the platform for peer addresses that got a response
    bool found_contacts = false;      ///< the last poll returned addresses to join at
    milliseconds since_found{0};      ///< since a poll first returned addresses
    auto operator<=>(const bridge_activation_inputs&) const = default;
};

/// Returns true if the node acts as a bridge. A node that has not joined yet sees itself as the only
/// one, so at the simultaneous start of many nodes each would write its address. A node that finds addresses
/// tries to join there first; if no node responds at them, it writes its own address after a few seconds.
bool acts_as_bridge(const bridge_activation_inputs& inputs);

} // namespace waxwingfall

#endif
