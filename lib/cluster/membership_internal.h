#ifndef WAXWINGFALL_LIB_ZONE_MEMBERSHIP_INTERNAL_H
#define WAXWINGFALL_LIB_ZONE_MEMBERSHIP_INTERNAL_H

#include <string>
#include <vector>

#include "waxwingfall/cluster/membership.h"

namespace waxwingfall {

/// Adds effects to others.
void append(std::vector<outgoing>& to, std::vector<outgoing> more);
void append(membership_effects& to, membership_effects more);

/// Messages that carry `records` to this node's fingers, and across data centres if they arose in this one.
std::vector<outgoing> pass_on(const membership& state, const std::vector<member>& records,
                              const std::string& from_data_centre);

/// Asks contacts to be admitted, if that is due.
membership_effects try_to_join(membership& state, time_point now, random_source& random);

/// True if messages can be sent to a node.
inline bool takes_messages(const member& value) {
    return value.state != member_state::dead;
}

} // namespace waxwingfall

#endif
