#include "waxwingfall/node/quota_agent.h"

#include <algorithm>

namespace waxwingfall {

namespace {

constexpr milliseconds tick_period{20};

/// Between computations of the view while it is not settled.
constexpr milliseconds view_period{100};

} // namespace

quota_agent::quota_agent(node_context& node, call_proxy& calls)
    : node_(node), calls_(calls), unchanged_since_(monotonic_now()),
      ticker_(loop_event::every(node.loop, tick_period, [this] { tick(); })) {
    node_.quota.self = node_.control.nodes.self.id;
    // Increases with each process of the node, unless the clock was set back; see update_view().
    node_.quota.epoch = node_.control.nodes.self.incarnation;
}

void quota_agent::handle(const wire::frame& frame, time_point now) {
    const member_id from = frame.sender();
    if (!node_.control.nodes.members.contains(from) || from == node_.quota.self) {
        return;
    }
    send_quota_messages(node_, frame.has_quota_request()
                                   ? handle_quota_request(node_.quota, from, frame.quota_request(), now)
                                   : handle_quota_grant(node_.quota, from, frame.quota_grant(), now));
    calls_.resume_waiting_for_token(now);
}

void quota_agent::apply_contract(time_point now) {
    set_quota_limits(node_.quota, node_.active_contract->customers.value_or(std::vector<customer_contract>()),
                     now);
    view_is_due_ = true;
}

void quota_agent::tick() {
    if (node_.quota.customers.empty()) {
        return;
    }
    const time_point now = monotonic_now();
    update_view(now);
    send_quota_messages(node_, tick_quota(node_.quota, now));
    calls_.resume_waiting_for_token(now);
}

void quota_agent::update_view(time_point now) {
    const membership& nodes = node_.control.nodes;
    if (nodes.members.size() != members_) {
        members_ = nodes.members.size();
        view_is_due_ = true;
        unchanged_since_ = now;
    }
    const quota_view& view = node_.quota.view;
    const std::size_t data_centres = node_.records.map.data_centres.size();
    const bool is_current =
        view.settled && nodes.table_hash == table_hash_ && data_centres == data_centres_ && !view_is_due_;
    if (is_current || now < next_view_) {
        return;
    }
    next_view_ = now + view_period;
    view_is_due_ = false;
    data_centres_ = data_centres;
    if (!view.settled && nodes.joined) {
        // The other nodes have by now told this one to raise its incarnation above that of its predecessor.
        node_.quota.epoch = std::max(node_.quota.epoch, nodes.self.incarnation);
    }
    table_hash_ = nodes.table_hash;
    for (const auto& [id, record] : nodes.members) {
        if (record.state == member_state::leaving) {
            left_.insert(id);
        } else if (record.state != member_state::dead) {
            left_.erase(id);
        }
    }
    set_quota_view(node_.quota,
                   make_quota_view(nodes, data_centres, unchanged_since_, node_.quota.policy, now, left_),
                   now);
}

} // namespace waxwingfall
