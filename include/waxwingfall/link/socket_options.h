#ifndef WAXWINGFALL_LINK_SOCKET_OPTIONS_H
#define WAXWINGFALL_LINK_SOCKET_OPTIONS_H

#include <event2/util.h>
#include <netinet/in.h>

#include "waxwingfall/link/address.h"

namespace waxwingfall {

/// Converts an address to the type that the socket API takes.
sockaddr_in socket_address(const ip_address& address);

/// Sends small segments at once instead of waiting until earlier ones are acknowledged.
void disable_send_delay(evutil_socket_t socket);

/// Disables Nagle's algorithm and makes a connection fail within three seconds of its peer going silent: by
/// keepalive probes while it is idle, by TCP_USER_TIMEOUT while sent bytes are unacknowledged.
void set_stream_options(evutil_socket_t socket);

} // namespace waxwingfall

#endif
