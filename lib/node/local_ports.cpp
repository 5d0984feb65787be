#include "waxwingfall/node/local_ports.h"

#include "platform/heartbeat_wire.h"

namespace waxwingfall {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;

/// Of requests for readiness checks and pages and of heartbeats, which are small.
constexpr ev_ssize_t max_small_body_bytes = 256L * 1024;
/// Above the pauses between heartbeats and between the checks of load balancers.
constexpr milliseconds small_connection_timeout{15'000};

} // namespace

void limit_small_server(const http_server& server) {
    evhttp_set_max_body_size(server.raw(), max_small_body_bytes);
    const timeval limit = to_timeval(small_connection_timeout);
    evhttp_set_timeout_tv(server.raw(), &limit);
}

local_ports::local_ports(node_context& node, inbound_proxy& inbound, leave_writer write_leave)
    : node_(node), inbound_proxy_(inbound), write_leave_(std::move(write_leave)) {
    if (node.settings.ready) {
        ready_ = std::make_unique<http_server>(node.loop, *node.settings.ready,
                                               [this](evhttp_request* request) { handle_ready(request); });
        limit_small_server(*ready_);
    }
    if (node.settings.heartbeats) {
        heartbeats_ =
            std::make_unique<http_server>(node.loop, *node.settings.heartbeats,
                                          [this](evhttp_request* request) { handle_heartbeat(request); });
        limit_small_server(*heartbeats_);
    }
}

void local_ports::handle_ready(evhttp_request* request) const {
    const bool is_ready = node_.active_contract && !node_.shutting_down;
    send_response(request, is_ready ? status_ok : status_unavailable, "");
}

void local_ports::handle_heartbeat(evhttp_request* request) {
    const auto log_ignored = [&](const std::string& worker, const std::string& reason) {
        node_.log.write(event_id::worker_report_ignored, wall_now(), {{"worker", worker}, {"why", reason}});
    };
    const auto call = platform::decode_heartbeat_path(request_path(request));
    const auto report = call ? platform::decode_heartbeat(*call, request_body(request)) : std::nullopt;
    if (!report) {
        log_ignored(call ? call->worker_id : std::string(), "unreadable");
        send_response(request, status_bad_request, "{}", {{"Content-Type", "application/json"}});
        return;
    }
    const report_verdict verdict = inbound_proxy_.handle_worker_report(*report);
    if (verdict == report_verdict::outdated || verdict == report_verdict::foreign) {
        log_ignored(report->worker_id, verdict == report_verdict::foreign ? "other address" : "outdated");
    }
    const auto respond = [request](bool is_acknowledged) {
        send_response(request, is_acknowledged ? status_ok : status_unavailable,
                      is_acknowledged ? platform::encode_acknowledgement() : "{}",
                      {{"Content-Type", "application/json"}});
    };
    // An acknowledged leave binds all later processes of this node, also if the report repeats it.
    if (const auto left = find_leave(node_.worker, *report)) {
        write_leave_(*left, respond);
    } else {
        respond(true);
    }
}

} // namespace waxwingfall
