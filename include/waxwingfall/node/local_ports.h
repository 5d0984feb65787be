#ifndef WAXWINGFALL_NODE_LOCAL_PORTS_H
#define WAXWINGFALL_NODE_LOCAL_PORTS_H

#include <memory>

#include "waxwingfall/link/http.h"
#include "waxwingfall/node/node_context.h"
#include "waxwingfall/node/worker_gate.h"

namespace waxwingfall {

/// The addresses at which a node's own machine speaks to it, if the settings name them: a balancer asks
/// whether callers may come here, and the worker sends its heartbeats.
class local_ports {
public:
    local_ports(node_context& node, worker_gate& gate);

private:
    void answer_ready(evhttp_request* request) const;
    void take_heartbeat(evhttp_request* request);

    node_context& node_;
    worker_gate& gate_;
    std::unique_ptr<http_server> ready_;
    std::unique_ptr<http_server> heartbeats_;
};

} // namespace waxwingfall

#endif
