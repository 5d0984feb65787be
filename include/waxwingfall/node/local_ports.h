#ifndef WAXWINGFALL_NODE_LOCAL_PORTS_H
#define WAXWINGFALL_NODE_LOCAL_PORTS_H

#include <functional>
#include <memory>

#include "waxwingfall/link/http.h"
#include "waxwingfall/proxy/inbound_proxy.h"
#include "waxwingfall/proxy/node_context.h"
#include "waxwingfall/store/left_worker.h"

namespace waxwingfall {

/// Bounds the bodies and the idle connections of a server of small requests, which could exhaust the memory.
void limit_small_server(const http_server& server);

/// Serves the optional ports of the settings that are not for other nodes: the readiness check of a load
/// balancer and the heartbeats of the local worker.
class local_ports {
public:
    /// Makes a leave durable and calls its second argument with whether that succeeded in time.
    using leave_writer = std::function<void(const left_worker&, std::function<void(bool is_stored)>)>;

    local_ports(node_context& node, inbound_proxy& inbound, leave_writer write_leave);

private:
    void handle_ready(evhttp_request* request) const;
    void handle_heartbeat(evhttp_request* request);

    node_context& node_;
    inbound_proxy& inbound_proxy_;
    leave_writer write_leave_;
    std::unique_ptr<http_server> ready_;
    std::unique_ptr<http_server> heartbeats_;
};

} // namespace waxwingfall

#endif
