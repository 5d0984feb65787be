#ifndef WAXWINGFALL_UNITTESTS_LOOPBACK_H
#define WAXWINGFALL_UNITTESTS_LOOPBACK_H

#include <cstdint>
#include <utility>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "waxwingfall/link/address.h"

namespace waxwingfall::test {

/// Returns a listening loopback socket, which accepts one connection more than `backlog`, and its port.
inline std::pair<int, std::uint16_t> listen_on_loopback(int backlog = 16) {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    listen(listener, backlog);
    socklen_t size = sizeof(address);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    return {listener, ntohs(address.sin_port)};
}

/// Returns a loopback address that nothing listens on.
inline ip_address unused_address() {
    const auto [listener, port] = listen_on_loopback();
    close(listener);
    return {"127.0.0.1", port};
}

} // namespace waxwingfall::test

#endif
