#include "waxwingfall/node/admin.h"

#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "waxwingfall/node/local_ports.h"
#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

std::string_view state_name(member_state state) {
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "dead";
}

/// Adds a metric without labels, with the type and help text of its catalogue entry.
void add_metric(prometheus::Registry& registry, std::string_view name, double value) {
    const metric_descriptor& metric = find_metric(name);
    const std::string full_name = "waxwingfall_" + std::string(name);
    if (metric.type == "counter") {
        prometheus::BuildCounter()
            .Name(full_name)
            .Help(std::string(metric.help))
            .Register(registry)
            .Add({})
            .Increment(value);
        return;
    }
    prometheus::BuildGauge()
        .Name(full_name)
        .Help(std::string(metric.help))
        .Register(registry)
        .Add({})
        .Set(value);
}

} // namespace

admin_server::admin_server(const node_context& node, admin_view view)
    : node_(node), view_(std::move(view)),
      server_(node.loop, node.settings.admin, [this](evhttp_request* request) { handle_request(request); }) {
    limit_small_server(server_);
}

void admin_server::handle_request(evhttp_request* request) const {
    const std::string path = request_path(request);
    if (path == "/status") {
        send_response(request, 200, status_text(), {{"Content-Type", "application/json"}});
    } else if (path == "/metrics") {
        send_response(request, 200, metrics_text(), {{"Content-Type", "text/plain; version=0.0.4"}});
    } else {
        send_response(request, 404, "pages: /status /metrics\n");
    }
}

std::string admin_server::status_text() const {
    const control_plane& control = node_.control;
    nlohmann::ordered_json page;
    page["node"] = node_.settings.name;
    page["data_centre"] = node_.settings.data_centre;
    page["environment"] = node_.settings.environment;
    page["version"] = control.contracts.enforced.id.version;
    page["digest"] = to_hex(control.contracts.enforced.id.digest);
    page["newest_known"] = control.contracts.newest_known.version;
    if (control.contracts.refused) {
        page["refused_version"] = control.contracts.refused->id.version;
        page["refused_reason"] = control.contracts.refused->reason;
    }
    page["joined"] = control.nodes.joined;
    page["leaving"] = node_.shutting_down;
    page["platform_reachable"] = view_.platform_reachable();
    page["worker_healthy"] = view_.worker_healthy();
    page["bridge_rank"] =
        local_bridge_rank(control.nodes) ? static_cast<int>(*local_bridge_rank(control.nodes)) : -1;
    page["ledger_map"] = node_.records.map.version;
    page["ledger_fenced"] = node_.records.fenced;
    std::size_t owned = 0;
    std::size_t ready = 0;
    for (const auto& [index, shard] : node_.records.shards) {
        owned += shard.is_primary ? 1 : 0;
        ready += shard.is_primary && shard.ready && !node_.records.fenced ? 1 : 0;
    }
    page["ledger_shards"] = owned;
    page["ledger_shards_ready"] = ready;
    auto& members = page["members"];
    members = nlohmann::ordered_json::array();
    for (const auto& [id, record] : control.nodes.members) {
        members.push_back({{"name", record.name},
                           {"data_centre", record.data_centre},
                           {"service", record.service},
                           {"state", state_name(record.state)},
                           {"slots", record.slots}});
    }
    return page.dump(1) + "\n";
}

std::string admin_server::metrics_text() const {
    prometheus::Registry registry;
    const control_plane& control = node_.control;
    const call_counts& counts = node_.counts;
    const link_counts& link = node_.link->counts();
    const auto add = [&](std::string_view name, auto value) {
        add_metric(registry, name, static_cast<double>(value));
    };
    add("enforced_version", control.contracts.enforced.id.version);
    add("newest_known_version", control.contracts.newest_known.version);
    add("version_conflicts_total", control.contracts.conflicts);
    add("bad_contents_total", control.contracts.bad_contents);
    add("members", control.nodes.members.size());
    add("calls_received_total", counts.received);
    add("calls_answered_total", counts.completed);
    add("calls_not_run_total", counts.not_run);
    add("calls_unknown_total", counts.unknown);
    add("calls_replayed_total", counts.replayed);
    add("tries_total", counts.attempts);
    add("retries_total", counts.retries);
    add("retries_denied_total", counts.retries_denied);
    add("admitted_total", counts.admitted);
    add("refused_by_gate_total", counts.refused_by_inbound_proxy);
    add("callers_gone_total", counts.client_disconnected);
    add("quota_tokens_granted_total", node_.quota.counts.granted);
    add("quota_tokens_lent_total", node_.quota.counts.lent);
    add("quota_tokens_spent_total", node_.quota.counts.spent);
    add("quota_refused_total", node_.quota.counts.refused);
    add("quota_messages_total", node_.quota.counts.messages);
    add("worker_limit_per_s", node_.worker.rate_limit.value_or(-1));
    add("worker_pace_limit", view_.worker_limit());
    const auto age = evidence_age(node_.evidence, node_.version, boottime_now());
    add("evidence_age_ms", age ? age->count() : -1);
    add("open_calls", view_.open_calls());
    add("open_requests", view_.open_requests());
    add("open_connections", node_.capacity.open_connections());
    add("request_bytes", node_.capacity.buffered_bytes());
    add("control_frames_sent_total", link.frames_sent);
    add("control_bytes_sent_total", link.bytes_sent);
    add("control_frames_received_total", link.frames_received);
    add("control_bytes_received_total", link.bytes_received);
    add("control_frames_dropped_total", link.frames_dropped);
    add("control_frames_refused_total", link.frames_refused);
    add("control_frames_unaddressed_total", link.frames_unaddressed);
    add("implausible_records_total", node_.control.nodes.implausible_records);
    add("control_peers", node_.link->open_peers());
    add("ledger_records", node_.records.record_count);
    add("ledger_answer_bytes", node_.records.response_bytes);
    std::vector<prometheus::MetricFamily> families = node_.metrics.collect();
    for (prometheus::MetricFamily& family : registry.Collect()) {
        families.push_back(std::move(family));
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace waxwingfall
