#ifndef WAXWINGFALL_CALL_CLIENT_RETRY_TRACKER_H
#define WAXWINGFALL_CALL_CLIENT_RETRY_TRACKER_H

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A request that ended without a response of a worker.
struct unserved_request {
    time_point first_received;
    time_point deadline; ///< of the client, whatever the route's timeout
    auto operator<=>(const unserved_request&) const = default;
};

/// The requests that this node recently failed to serve, by which a client retry is told from a new request:
/// it has the same content and the same deadline. Under overload, a latency objective that started anew with
/// each attempt would let late responses use the slots of timely ones.
struct client_retry_tracker {
    std::map<std::string, unserved_request> unserved;         ///< by fingerprint
    std::deque<std::pair<time_point, std::string>> deadlines; ///< of the entries, in order of insertion
    std::size_t limit = 4096; ///< max. entries; at 120 calls a second to a node, half a minute's worth
};

/// Records that a request ended without a response of a worker, and removes entries whose deadline has
/// passed.
void track_unserved(client_retry_tracker& tracker, const std::string& fingerprint,
                    const unserved_request& request, time_point now);

/// When the client first sent a request with this content and deadline: `now` unless a record exists.
time_point first_received(const client_retry_tracker& tracker, const std::string& fingerprint,
                          time_point deadline, time_point now);

} // namespace waxwingfall

#endif
