#include "waxwingfall/link/socket_options.h"

#include <cerrno>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace waxwingfall {

namespace {

constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;

/// Linux replaces the number of probes by TCP_USER_TIMEOUT, which it compares at each probe; a limit between
/// two probes doesn't depend on how punctual they are.
struct silence_options {
    int keepalive_probes;
    int unacknowledged_ms;
};

constexpr silence_options short_silence{1, 1500};
constexpr silence_options long_silence{2, 3000};

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

bool is_reset(evutil_socket_t socket) {
    tcp_info info{};
    socklen_t size = sizeof(info);
    return getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state == TCP_CLOSE;
}

bool is_closed_by_peer(evutil_socket_t socket) {
    char byte = 0;
    const ssize_t received = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool is_broken = received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    return received == 0 || is_broken;
}

void set_stream_options(evutil_socket_t socket, silence_limit limit) {
    const silence_options& options = limit == silence_limit::short_limit ? short_silence : long_silence;
    disable_send_delay(socket);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, options.keepalive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, options.unacknowledged_ms);
}

} // namespace waxwingfall
