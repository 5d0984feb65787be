#include "waxwingfall/link/socket_options.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace waxwingfall {

namespace {

constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;
constexpr int unacknowledged_limit_ms = 3000;

void set_option(evutil_socket_t socket, int level, int name, int value) {
    // The result is ignored: setting options fails on a socket that was closed meanwhile, and the socket's
    // next event reports the closure.
    setsockopt(socket, level, name, &value, sizeof(value));
}

} // namespace

sockaddr_in socket_address(const ip_address& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

void disable_send_delay(evutil_socket_t socket) {
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

void set_stream_options(evutil_socket_t socket) {
    disable_send_delay(socket);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
}

} // namespace waxwingfall
