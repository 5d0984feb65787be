#ifndef WAXWINGFALL_NODE_LOCAL_PORTS_H
#define WAXWINGFALL_NODE_LOCAL_PORTS_H

#include <memory>

#include "waxwingfall/link/http.h"
#include "waxwingfall/node/inbound_proxy.h"
#include "waxwingfall/node/node_context.h"

namespace waxwingfall {

/// Serves the optional ports of the settings that are not for other nodes: the readiness check of a load
/// balancer and the heartbeats of the local worker.
class local_ports {
public:
    local_ports(node_context& node, inbound_proxy& inbound);

private:
    void handle_ready(evhttp_request* request) const;
    void handle_heartbeat(evhttp_request* request);

    node_context& node_;
    inbound_proxy& inbound_proxy_;
    std::unique_ptr<http_server> ready_;
    std::unique_ptr<http_server> heartbeats_;
};

} // namespace waxwingfall

#endif
