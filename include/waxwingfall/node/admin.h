#ifndef WAXWINGFALL_NODE_ADMIN_H
#define WAXWINGFALL_NODE_ADMIN_H

#include <functional>
#include <string>

#include "waxwingfall/link/http.h"
#include "waxwingfall/proxy/node_context.h"

namespace waxwingfall {

/// Values of the admin pages that are not part of the shared state.
struct admin_view {
    std::function<std::size_t()> open_calls;
    std::function<std::size_t()> open_requests;
    std::function<std::uint32_t()> worker_limit;
    std::function<bool()> platform_reachable;
    std::function<bool()> worker_healthy;
};

/// Serves /status (JSON) and /metrics (Prometheus text) on the node's event loop.
class admin_server {
public:
    admin_server(const node_context& node, admin_view view);

    /// The body of /status.
    std::string status_text() const;

    /// The body of /metrics.
    std::string metrics_text() const;

private:
    void handle_request(evhttp_request* request) const;

    const node_context& node_;
    admin_view view_;
    http_server server_;
};

} // namespace waxwingfall

#endif
