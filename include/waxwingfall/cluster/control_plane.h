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

/// The latest report of one node, as the first bridge of the node's data centre stores it.
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
    milliseconds report_period{10000};         ///< between reports to the first bridge while nothing changes
    milliseconds new_bridge_report_delay{400}; ///< mean delay of a node's report to a new first bridge;
                                               ///< jitter spreads the nodes' reports over time
    auto operator<=>(const control_plane_policy&) const = default;
};

/// The control plane of one node: membership and the versioned contents. The functions on it change only the
/// state that is passed in and do no I/O.
struct control_plane {
    control_plane_policy policy;
    std::string environment;
    membership nodes;
    distribution contracts;
    distribution ledgers;
    std::map<std::string, node_report> reports; ///< by node name; only the first bridge stores them
    std::uint64_t calls = 0;                    ///< counted by the call path, sent in reports
    std::uint64_t failed_calls = 0;
    time_point next_report;
    /// The first bridge to which the last report was sent, or for which the next one was brought forward.
    member_id reported_to = 0;
    std::uint64_t foreign_frames = 0; ///< frames of other environments, which are dropped
};

/// What the caller has to do after a step.
struct control_plane_effects {
    std::vector<outgoing> messages;
    std::vector<member_change> changes;
    bool contract_enforced = false;
    bool contract_refused = false;
    bool ledger_changed = false;
    bool conflict = false;
    bool reports_changed = false;
};

/// Returns the control plane of a node that starts at `now`.
control_plane start_control_plane(const control_plane_policy& policy, const std::string& environment,
                                  const member& self, const std::vector<std::string>& contacts,
                                  content_rules contract_rules, time_point now);

/// Handles one message. Frames of another environment are only counted, and kinds that belong to other
/// components are ignored.
control_plane_effects handle_frame(control_plane& state, const wire::frame& frame, time_point now,
                                   random_source& random);

/// Sends what is due at `now`. Call it at least every 100 ms.
control_plane_effects tick_control_plane(control_plane& state, time_point now, random_source& random);

/// Applies content that a bridge read from the platform.
control_plane_effects apply_platform_contract(control_plane& state, const versioned_content& content,
                                              time_point now);
control_plane_effects apply_platform_ledger(control_plane& state, const versioned_content& content,
                                            time_point now);

/// Sets the local node's state to `leaving` and gossips it, so that other nodes send it no more requests. The
/// node completes its open requests.
control_plane_effects announce_shutdown(control_plane& state, time_point now);

/// Returns the summary of the data centre that its first bridge writes for operators, without timestamps.
wire::zone_report summarize(const control_plane& state);

} // namespace waxwingfall

#endif
