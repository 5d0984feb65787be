#include "waxwingfall/node/reload.h"

namespace waxwingfall {

namespace {

/// Takes over one setting and notes its name if it changed.
template <typename Value>
void apply(const std::string& name, Value& held, const Value& fresh, std::vector<std::string>& applied) {
    if (held != fresh) {
        held = fresh;
        applied.push_back(name);
    }
}

} // namespace

reload_plan plan_reload(const node_settings& current, const node_settings& fresh) {
    reload_plan plan;
    plan.merged = current;
    node_settings& merged = plan.merged;
    apply("platform", merged.platform, fresh.platform, plan.applied);
    apply("limits.drain_ms", merged.drain, fresh.drain, plan.applied);
    apply("limits.leave_notice_ms", merged.leave_notice, fresh.leave_notice, plan.applied);
    apply("limits.leave_timeout_ms", merged.leave_timeout, fresh.leave_timeout, plan.applied);
    apply("policy.retry_slack", merged.retry_slack, fresh.retry_slack, plan.applied);
    apply("bounds.retry_share", merged.retry_share_percent, fresh.retry_share_percent, plan.applied);
    apply("policy.retry_budget", merged.retry_budget, fresh.retry_budget, plan.applied);
    const auto note = [&](const std::string& name, bool differs) {
        if (differs) {
            plan.wait_for_start.push_back(name);
        }
    };
    note("node", current.name != fresh.name || current.data_centre != fresh.data_centre ||
                     current.region != fresh.region || current.environment != fresh.environment);
    note("listen", current.calls != fresh.calls || current.inbound != fresh.inbound ||
                       current.control != fresh.control || current.admin != fresh.admin ||
                       current.ready != fresh.ready || current.heartbeats != fresh.heartbeats);
    note("worker", current.service != fresh.service || current.worker != fresh.worker ||
                       current.slots != fresh.slots || current.connections != fresh.connections);
    note("policy", current.zone != fresh.zone || current.routing != fresh.routing ||
                       current.source != fresh.source || current.ledger_map != fresh.ledger_map);
    note("limits", current.max_body_bytes != fresh.max_body_bytes ||
                       current.max_header_bytes != fresh.max_header_bytes ||
                       current.caller_timeout != fresh.caller_timeout);
    return plan;
}

} // namespace waxwingfall
