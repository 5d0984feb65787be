#include "waxwingfall/node/local_ports.h"

#include "platform/heartbeat_wire.h"

namespace waxwingfall {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;

} // namespace

local_ports::local_ports(node_context& node, worker_gate& gate) : node_(node), gate_(gate) {
    if (node.settings.ready) {
        ready_ = std::make_unique<http_server>(node.loop, *node.settings.ready,
                                               [this](evhttp_request* request) { answer_ready(request); });
    }
    if (node.settings.heartbeats) {
        heartbeats_ =
            std::make_unique<http_server>(node.loop, *node.settings.heartbeats,
                                          [this](evhttp_request* request) { take_heartbeat(request); });
    }
}

void local_ports::answer_ready(evhttp_request* request) const {
    const bool is_ready = node_.in_force && !node_.leaving;
    answer(request, is_ready ? status_ok : status_unavailable, "");
}

void local_ports::take_heartbeat(evhttp_request* request) {
    const auto ignore = [&](const std::string& worker, const std::string& why) {
        node_.log.write(event_id::worker_report_ignored, wall_now(), {{"worker", worker}, {"why", why}});
    };
    const auto call = platform::decode_heartbeat_path(request_path(request));
    const auto report = call ? platform::decode_heartbeat(*call, request_body(request)) : std::nullopt;
    if (!report) {
        ignore(call ? call->worker_id : std::string(), "unreadable");
        answer(request, status_bad_request, "{}", {{"Content-Type", "application/json"}});
        return;
    }
    const report_verdict verdict = gate_.take_report(*report);
    if (verdict != report_verdict::taken) {
        ignore(report->worker_id, verdict == report_verdict::foreign ? "other address" : "outdated");
    }
    answer(request, status_ok, platform::encode_acknowledgement(), {{"Content-Type", "application/json"}});
}

} // namespace waxwingfall
