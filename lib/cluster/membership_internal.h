#ifndef WAXWINGFALL_LIB_CLUSTER_MEMBERSHIP_INTERNAL_H
#define WAXWINGFALL_LIB_CLUSTER_MEMBERSHIP_INTERNAL_H

#include <string>
#include <vector>

#include "waxwingfall/cluster/membership.h"

namespace waxwingfall {

/// Append messages or effects to `to`.
void append(std::vector<outgoing>& to, std::vector<outgoing> more);
void append(membership_effects& to, membership_effects more);

/// Returns messages that carry `records` to the local node's fingers, and from a bridge also to other data
/// centres if the records come from the local one.
std::vector<outgoing> gossip_messages(const membership& state, const std::vector<member>& records,
                                      const std::string& from_data_centre);

/// Sends join requests to contacts if they are due.
membership_effects send_join_requests(membership& state, time_point now, random_source& random);

/// Returns true if messages can be sent to a node.
inline bool can_receive(const member& value) {
    return value.state != member_state::dead;
}

} // namespace waxwingfall

#endif
