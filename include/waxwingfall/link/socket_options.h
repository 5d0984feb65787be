#ifndef WAXWINGFALL_LINK_SOCKET_OPTIONS_H
#define WAXWINGFALL_LINK_SOCKET_OPTIONS_H

#include <event2/util.h>
#include <netinet/in.h>

#include "waxwingfall/link/address.h"

namespace waxwingfall {

/// The form of an address that sockets take.
sockaddr_in socket_address(const ip_address& address);

/// Sends small writes at once, and notices within three seconds that the other side of a connection no longer
/// answers, by probes while it is idle and by a limit on bytes that are not acknowledged.
void set_stream_options(evutil_socket_t socket);

} // namespace waxwingfall

#endif
