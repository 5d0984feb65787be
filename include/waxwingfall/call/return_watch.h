#ifndef WAXWINGFALL_CALL_RETURN_WATCH_H
#define WAXWINGFALL_CALL_RETURN_WATCH_H

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A request that ended without a worker's answer.
struct unserved_request {
    time_point first_received;
    time_point deadline; ///< the client's, whatever the route's timeout
    auto operator<=>(const unserved_request&) const = default;
};

/// The requests that this node did not serve lately, so that a client's next attempt is told from a new
/// request: it has the same content and ends at the same time. It answers overload, in which a latency
/// objective that started anew with each attempt would let late answers take the slots of timely ones.
struct return_watch {
    std::map<std::string, unserved_request> unserved; ///< by fingerprint
    std::deque<std::pair<time_point, std::string>>
        deadlines;            ///< of the entries, in the order of their arrival
    std::size_t limit = 4096; ///< entries; at 120 calls a second to a node, all of half a minute
};

/// Notes that a request ended without a worker's answer, and forgets those whose deadline has passed.
void note_unserved(return_watch& watch, const std::string& fingerprint, const unserved_request& request,
                   time_point now);

/// When the client of a request with this content and deadline first sent it: `now` unless it was noted.
time_point first_received(const return_watch& watch, const std::string& fingerprint, time_point deadline,
                          time_point now);

} // namespace waxwingfall

#endif
