#ifndef WAXWINGFALL_CALL_CLIENT_RETRY_TRACKER_H
#define WAXWINGFALL_CALL_CLIENT_RETRY_TRACKER_H

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A request that ended without a response from a worker.
struct unserved_request {
    time_point first_received;
    time_point deadline; ///< of the client, whatever the route's timeout
    auto operator<=>(const unserved_request&) const = default;
};

/// The requests that this node recently failed to serve, to distinguish client retries from new requests: a
/// retry has the same content and the same deadline. Under overload, a latency objective that started anew
/// with each attempt would let late requests use the slots of timely ones.
struct client_retry_tracker {
    std::map<std::string, unserved_request> unserved;         ///< by fingerprint
    std::deque<std::pair<time_point, std::string>> deadlines; ///< of the entries, in order of insertion
    /// Maximum number of entries: those of half a minute at 120 calls a second to a node.
    std::size_t limit = 4096;
};

/// Records that a request ended without a response from a worker, and removes entries whose deadline has
/// passed.
void track_unserved(client_retry_tracker& tracker, const std::string& fingerprint,
                    const unserved_request& request, time_point now);

/// When this node first received a request with this content and deadline: `now` unless a record exists.
time_point first_received(const client_retry_tracker& tracker, const std::string& fingerprint,
                          time_point deadline, time_point now);

} // namespace waxwingfall

#endif
