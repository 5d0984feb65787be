#include "waxwingfall/proxy/server_setup.h"

#include <algorithm>

#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/proxy/call_headers.h"

namespace waxwingfall {

namespace {

constexpr std::size_t bytes_per_mb = 1'000'000;
constexpr std::size_t budget_divisor = 2;
constexpr std::size_t file_descriptors = 200;
/// A share for the control plane, the other ports and the store, which need some 150 in deployments of 60
/// nodes.
constexpr std::size_t other_sockets_divisor = 8;
constexpr std::size_t min_other_sockets = 32;
/// An accepted connection and two connections to workers.
constexpr std::size_t descriptors_per_connection = 3;
constexpr std::size_t min_connections = 16;

/// The pools of other nodes close their idle connections first.
constexpr milliseconds peer_idle_timeout{50'000};
/// Above the time for which the pools of other nodes reuse an idle connection.
constexpr milliseconds peer_reuse_time{6000};

/// The response to a request that the server refuses before it is complete. The outcome is left out if the
/// headers that determine it have not been received.
server_response refusal_response(server_refusal reason, const server_exchange* request, bool is_client) {
    const error_kind kind = kind_of(reason);
    const bool has_head = request != nullptr && request->has_head();
    const bool has_key = has_head && is_client && has_idempotency_key(request->method(), request->headers());
    const outcome result = outcome_of(kind, has_key, false);
    auto headers = error_headers(kind, result);
    if (!has_head) {
        std::erase_if(headers, [](const http_header& header) { return header.name == call_header::outcome; });
    }
    return {error_info_of(kind).http_status, std::move(headers),
            has_head ? error_body(kind, result) : std::string()};
}

} // namespace

std::size_t byte_budget(const node_settings& settings) {
    return settings.memory_mb * bytes_per_mb / budget_divisor;
}

std::size_t connection_limit(const node_settings& settings) {
    const std::size_t sockets = settings.max_fds - std::min<std::size_t>(settings.max_fds, file_descriptors);
    const std::size_t others = std::max(min_other_sockets, sockets / other_sockets_divisor);
    const std::size_t available = sockets - std::min(sockets, others);
    return std::max(min_connections, available / descriptors_per_connection);
}

server_limits make_server_limits(const node_context& node) {
    const node_settings& settings = node.settings;
    const client_limits stated = node.active_contract ? node.active_contract->limits : client_limits{};
    server_limits limits;
    limits.header_bytes = stated.header_bytes > 0 ? stated.header_bytes : settings.max_header_bytes;
    limits.body_bytes = std::min<std::uint64_t>(
        stated.body_bytes > 0 ? stated.body_bytes : settings.max_body_bytes, node.capacity.byte_limit());
    limits.head_timeout =
        stated.header_timeout_ms > 0 ? milliseconds(stated.header_timeout_ms) : settings.client_timeout;
    limits.request_timeout = settings.client_timeout;
    // Longer than the advertised timeout: a request that arrives while its connection is being closed would
    // have to be resent.
    constexpr std::int64_t margin_divisor = 5;
    const milliseconds idle(stated.idle_timeout_ms);
    limits.idle_timeout = stated.idle_timeout_ms > 0 ? idle + idle / margin_divisor : settings.client_timeout;
    return limits;
}

server_limits make_peer_server_limits(const node_context& node) {
    server_limits limits = make_server_limits(node);
    limits.header_bytes *= 2;
    limits.pipelined = 1;
    // A client's node pauses a response while its client does not read, and gives it up first.
    limits.request_timeout *= 2;
    limits.idle_timeout = peer_idle_timeout;
    limits.reuse_time = peer_reuse_time;
    return limits;
}

server_callbacks make_server_callbacks(node_context& node, std::string port,
                                       std::function<void(std::shared_ptr<server_exchange>)> on_request) {
    server_callbacks callbacks;
    callbacks.on_request = std::move(on_request);
    callbacks.on_refusal = [&node, port = std::move(port)](server_refusal reason,
                                                           const server_exchange* request) {
        node.metrics.record_server_refusal(port, refusal_name(reason));
        node.log.write(event_id::client_refused, wall_now(),
                       {{"port", port},
                        {"reason", std::string(refusal_name(reason))},
                        {"bytes", std::to_string(node.capacity.buffered_bytes())},
                        {"connections", std::to_string(node.capacity.open_connections())}});
        return refusal_response(reason, request, port == client_port);
    };
    return callbacks;
}

} // namespace waxwingfall
