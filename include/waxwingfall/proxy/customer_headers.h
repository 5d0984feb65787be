#ifndef WAXWINGFALL_PROXY_CUSTOMER_HEADERS_H
#define WAXWINGFALL_PROXY_CUSTOMER_HEADERS_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/call/credentials.h"
#include "waxwingfall/link/http.h"
#include "waxwingfall/proxy/call_headers.h"
#include "waxwingfall/proxy/node_context.h"

namespace waxwingfall {

/// What a node knows of the customer on whose behalf it handles a request.
struct request_credentials {
    presented_credential presented;        ///< remembered once the header has been removed
    bool extends_running_id = false;       ///< its id extends that of a request that the local worker runs
    bool is_nested = false;                ///< admitted as a call of the local worker
    bool is_public = false;                ///< its route needs no key
    bool is_verified = true;               ///< by the last `check_evidence`; the key's customer may be named
    std::uint64_t version = 0;             ///< of the contract that decided about the key; 0 if none did
    std::optional<std::uint32_t> priority; ///< of the customer, if it has one
    auto operator<=>(const request_credentials&) const = default;
};

/// Decides about the key of a client's request under the contract that the node enforces. If that contract
/// has a table of customers, removes the `Authorization` header, remembers what it presented in
/// `credentials`, and replaces `X-Tenant` by the name of the customer, or removes it. Returns the refusal, if
/// there is one. May be called again under a newer contract.
std::optional<error_kind> authorize_request(const node_context& node, const route_contract& route,
                                            std::vector<http_header>& headers,
                                            request_credentials& credentials);

/// True if this node needs evidence that its configuration is recent: a bound for removed keys is set, and
/// requests need keys.
bool needs_evidence(const node_context& node);

/// Decides whether this node has valid evidence for the key of a request at `now`, if it needs any, and
/// stores this in `credentials`. Returns the refusal of a request that needs evidence where there is none.
/// Nested and public requests need none.
///
/// Only the client's node checks this, before each attempt, and not the worker's node when the request leaves
/// its queue: the bound holds for the moment at which the client sends its request, which lies before the
/// check here. Evidence that is valid then proves that the key was not removed longer than the bound before,
/// however long the request waits afterwards.
std::optional<error_kind> check_evidence(const node_context& node, request_credentials& credentials,
                                         boot_time now);

/// Adds the headers by which the worker's node can decide again under a newer contract. A public request
/// whose key was not verified is sent without the name of the customer.
void add_credentials(std::vector<http_header>& headers, const request_credentials& credentials);

/// Reads these headers. `value_of` returns the value of a header, empty if it is absent. Without them, which
/// means a sender that knows no customers, the version is 0, so that each contract of this node is newer.
request_credentials read_credentials(const std::function<std::string(const char* name)>& value_of);

/// Decides again at the worker's node if it enforces a newer contract than the one that decided last: returns
/// the refusal, or sets `X-Tenant` to the customer that the key now belongs to. A sender with a newer
/// contract is believed.
std::optional<error_kind> reauthorize_request(const node_context& node, received_request& received,
                                              request_credentials& credentials);

} // namespace waxwingfall

#endif
