#ifndef WAXWINGFALL_NODE_QUOTA_AGENT_H
#define WAXWINGFALL_NODE_QUOTA_AGENT_H

#include <cstdint>
#include <set>

#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/proxy/call_proxy.h"
#include "waxwingfall/proxy/node_context.h"

namespace waxwingfall {

/// Connects the tokens of customers' limits with the other nodes: sends and receives their messages, keeps
/// the view of the deployment current, and wakes the calls that wait for a token.
class quota_agent {
public:
    quota_agent(node_context& node, call_proxy& calls);

    /// Processes a request for tokens or a grant.
    void handle(const wire::frame& frame, time_point now);

    /// Adopts the limits of the document that the node enforces.
    void apply_contract(time_point now);

private:
    void tick();
    void update_view(time_point now);

    node_context& node_;
    call_proxy& calls_;
    std::uint64_t table_hash_ = 0; ///< of the membership, as last seen
    std::set<member_id> left_;     ///< nodes that announced that they leave, and have not come back
    std::size_t members_ = 0;      ///< number of members, as last seen
    std::size_t data_centres_ = 0; ///< of the ledger map, as last seen
    time_point unchanged_since_;   ///< the number of members
    bool view_is_due_ = true;
    time_point next_view_;
    loop_event ticker_;
};

} // namespace waxwingfall

#endif
