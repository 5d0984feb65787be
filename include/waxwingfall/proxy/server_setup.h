#ifndef WAXWINGFALL_PROXY_SERVER_SETUP_H
#define WAXWINGFALL_PROXY_SERVER_SETUP_H

#include <functional>
#include <memory>
#include <string>

#include "waxwingfall/http/server.h"
#include "waxwingfall/proxy/node_context.h"
#include "waxwingfall/proxy/settings.h"

namespace waxwingfall {

/// Bytes that requests and unsent responses may occupy: half of the machine's memory. A body of 64 MiB then
/// fits on a machine of 160 MB, and the other half is left for the rest of the process and of the machine.
std::size_t byte_budget(const node_settings& settings);

/// Connections that the ports for requests accept. Each may need two more for its requests to workers, and
/// files and other sockets need some descriptors.
std::size_t connection_limit(const node_settings& settings);

/// The limits of the port for clients, from the active document where it states them.
server_limits make_server_limits(const node_context& node);

/// The limits of the port for other nodes, which add headers and forward one request at a time.
server_limits make_peer_server_limits(const node_context& node);

/// The name of the port for clients in metrics and logs.
inline constexpr const char* client_port = "calls";

/// The callbacks of the server of `port`, which counts and logs the requests that it refuses.
server_callbacks make_server_callbacks(node_context& node, std::string port,
                                       std::function<void(std::shared_ptr<server_exchange>)> on_request);

} // namespace waxwingfall

#endif
