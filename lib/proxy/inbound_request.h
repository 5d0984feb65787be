#ifndef WAXWINGFALL_LIB_PROXY_INBOUND_REQUEST_H
#define WAXWINGFALL_LIB_PROXY_INBOUND_REQUEST_H

#include <cstdint>
#include <memory>
#include <string>

#include "waxwingfall/proxy/customer_headers.h"
#include "waxwingfall/proxy/inbound_proxy.h"

namespace waxwingfall {

inline constexpr int status_ok = 200;

/// State of a request for the worker, from its arrival at this node to its end.
struct inbound_proxy::request {
    received_request received;
    std::string service; ///< whose worker the request is for; empty if its sender gave none
    std::unique_ptr<downstream> client;
    time_point deadline;
    time_point started_at;
    std::uint64_t upstream = 0;
    bool running = false;
    std::string run_id;    ///< of the request while it runs; empty if it has none
    std::string worker_id; ///< to which it was sent; empty if the worker has reported none
    bool worker_refused = false;
    bool is_trial = false;             ///< like it, others ran when workers crashed; see `quarantine`
    std::uint64_t crashed_at = 0;      ///< when the worker crashed, by the hybrid clock; 0 if it did not
    int status = 0;                    ///< of the worker's response; 0 before its head
    time_point responded_at;           ///< when the head came; a slow client delays only what follows
    bool large_response = false;       ///< holds a reservation in `link_`
    bool was_reset_unanswered = false; ///< the worker reset a new connection before any byte of a response
    std::size_t response_bytes = 0;
    waiting_request urgency;
    std::string request_id;                    ///< that the client gave it; empty if there is none
    std::optional<time_point> ends_by;         ///< set if the node that sent it stops
    std::shared_ptr<server_exchange> arriving; ///< of an upload that is not complete, else null
    bool is_body_requested = false;            ///< of that upload
    request_credentials credentials;
};

} // namespace waxwingfall

#endif
