#ifndef WAXWINGFALL_CLUSTER_CONTROL_PLANE_H
#define WAXWINGFALL_CLUSTER_CONTROL_PLANE_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/cluster/distribution.h"
#include "waxwingfall/cluster/membership.h"
#include "waxwingfall/support/random_source.h"

namespace waxwingfall {

/// The newest report of one node of the data centre, as its first bridge holds it.
struct node_report {
    std::uint64_t version = 0;
    std::uint64_t refused_version = 0;
    std::string reason;
    std::uint64_t calls = 0;
    std::uint64_t failed_calls = 0;
    time_point received;
    auto operator<=>(const node_report&) const = default;
};

/// Settings of the control plane of one node.
struct control_plane_policy {
    membership_policy membership;
    distribution_policy distribution;
    milliseconds report_period{10000}; ///< between reports to the first bridge while nothing changes
    milliseconds report_spread{400};   ///< over which the nodes' reports to a new first bridge are spread
    auto operator<=>(const control_plane_policy&) const = default;
};

/// The control plane of one node: who is there, and what is accepted. All functions on it are pure but for
/// the state that they are given.
struct control_plane {
    control_plane_policy policy;
    std::string environment;
    membership nodes;
    distribution contracts;
    distribution ledgers;
    std::map<std::string, node_report> reports; ///< by node name, kept by the first bridge only
    std::uint64_t calls = 0;                    ///< counted by the call path, carried by reports
    std::uint64_t failed_calls = 0;
    time_point next_report;
    member_id reported_to = 0;        ///< the first bridge that got the last report
    std::uint64_t foreign_frames = 0; ///< of another environment; dropped
};

/// What a step asks for.
struct control_plane_effects {
    std::vector<outgoing> messages;
    std::vector<member_change> changes;
    bool contract_enforced = false;
    bool contract_refused = false;
    bool ledger_changed = false;
    bool conflict = false;
    bool reports_changed = false;
};

/// The control plane of a node that starts at `now`.
control_plane start_control_plane(const control_plane_policy& policy, const std::string& environment,
                                  const member& self, const std::vector<std::string>& contacts,
                                  content_rules contract_rules, time_point now);

/// Takes in one message. Frames of another environment, and kinds that the zone does not handle, change
/// nothing.
control_plane_effects handle_frame(control_plane& state, const wire::frame& frame, time_point now,
                                   random_source& random);

/// Sends what is due at `now`. Call it at least every 100 ms.
control_plane_effects tick_control_plane(control_plane& state, time_point now, random_source& random);

/// Takes in content that a bridge read from the platform.
control_plane_effects take_platform_contract(control_plane& state, const marked_content& content,
                                             time_point now);
control_plane_effects take_platform_ledger(control_plane& state, const marked_content& content,
                                           time_point now);

/// Announces that this node finishes what it has and takes no new work.
control_plane_effects begin_leaving(control_plane& state, time_point now);

/// The summary of the data centre that its first bridge writes for operators, without times.
wire::zone_report summarize(const control_plane& state);

} // namespace waxwingfall

#endif
