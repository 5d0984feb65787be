#ifndef WAXWINGFALL_LINK_SOCKET_OPTIONS_H
#define WAXWINGFALL_LINK_SOCKET_OPTIONS_H

#include <cstdint>

#include <event2/util.h>
#include <netinet/in.h>

#include "waxwingfall/link/address.h"

namespace waxwingfall {

/// Converts an address to the type that the socket API takes.
sockaddr_in socket_address(const ip_address& address);

/// Sends small segments at once instead of waiting until earlier ones are acknowledged.
void disable_send_delay(evutil_socket_t socket);

/// True if the connection was reset. A reset that has been reported to a write is reported to no read, which
/// finds the end of the stream instead. False if the state of the socket can't be read.
bool is_reset(evutil_socket_t socket);

/// True if the peer has closed the connection or it is broken, and all received bytes have been read.
bool is_closed_by_peer(evutil_socket_t socket);

/// How soon a connection fails after its peer has gone silent: by keepalive probes while it is idle, by
/// TCP_USER_TIMEOUT while sent bytes are unacknowledged.
enum class silence_limit : std::uint8_t {
    /// Within two seconds. For calls that can be repeated on another connection: a connection that is only
    /// slow may fail as well.
    short_limit,
    /// Within three seconds. For requests that may have run once they are sent.
    long_limit
};

/// Disables Nagle's algorithm and bounds the silence of the peer.
void set_stream_options(evutil_socket_t socket, silence_limit limit);

} // namespace waxwingfall

#endif
