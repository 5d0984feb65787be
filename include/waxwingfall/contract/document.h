#ifndef WAXWINGFALL_CONTRACT_DOCUMENT_H
#define WAXWINGFALL_CONTRACT_DOCUMENT_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include "waxwingfall/support/error.h"

namespace waxwingfall {

/// A named set of workers that do the same work, with the limits that nodes enforce for it.
struct service_contract {
    std::string name;
    std::uint32_t timeout_ms = 0;           ///< for a whole call, retries included
    std::uint32_t max_attempts = 1;         ///< tries of one call by one node
    std::uint32_t retry_budget_percent = 0; ///< retries as a share of first tries
    std::uint32_t in_flight = 0;            ///< requests that one worker runs at once; 0 stands for its slots
    std::uint32_t queue = 0;                ///< requests that wait for one worker
    std::vector<std::string> depends_on;    ///< services that this one calls, sorted
    std::string health_path = "/health";    ///< of the workers' health check
    std::uint32_t max_connections = 0;      ///< that one worker accepts from all clients; 0 if not stated
    auto operator<=>(const service_contract&) const = default;
};

/// Which requests of a route may run more than once.
enum class request_kind : std::uint8_t {
    by_method,      ///< all but those with a method of `non_idempotent_methods`, which carry a key
    idempotent,     ///< all
    non_idempotent, ///< none: each request runs at most once, without a key
    download        ///< all; answers are large
};

/// A service that takes a share of a route's requests.
struct weighted_service {
    std::string name;
    std::uint32_t weight = 0; ///< relative to the sum of the route's weights
    auto operator<=>(const weighted_service&) const = default;
};

/// What callers may send, and how long they may take; 0 stands for the node's own setting.
struct caller_limits {
    std::uint32_t header_bytes = 0;
    std::uint32_t body_bytes = 0;
    std::uint32_t header_timeout_ms = 0; ///< to send a whole request
    std::uint32_t idle_timeout_ms = 0;   ///< of a connection between two requests
    auto operator<=>(const caller_limits&) const = default;
};

/// Requests of one host below one path prefix, and the service that they go to.
struct route_contract {
    std::string host;
    std::string prefix;           ///< starts with '/', matches whole path segments
    std::string service;          ///< empty if `split` names the services
    std::uint32_t timeout_ms = 0; ///< 0 stands for the timeout of the service
    std::vector<std::string>
        non_idempotent_methods; ///< sorted; each needs an Idempotency-Key and runs at most once
    request_kind kind = request_kind::by_method;
    std::uint32_t max_attempts = 0; ///< workers that one call may reach; 0 stands for that of the service
    std::uint32_t goal_ms = 0;      ///< latency objective; 0 if there is none
    std::uint32_t priority = 0;     ///< 0 is the most urgent
    std::vector<weighted_service> split{}; ///< sorted by name; empty if all requests go to `service`
    auto operator<=>(const route_contract&) const = default;
};

/// The checked content of an operator's document. Services are sorted by name, routes by host and prefix, and
/// each name that is used is defined. Equal documents have equal digests.
struct contract {
    std::vector<service_contract> services;
    std::vector<route_contract> routes;
    caller_limits limits;
    auto operator<=>(const contract&) const = default;
};

/// Parses and checks an operator's document. On failure the LEAF error carries a `fault_list` with every
/// fault of the document, ordered by place; `file` is the name that they show.
boost::leaf::result<contract> parse_contract(std::string_view text, const std::string& file);

/// Checks content that came from a peer or from the platform by the same rules of meaning. Returns the first
/// violation as text, or an empty text if there is none.
std::string first_violation(const contract& content);

/// The name of a kind in documents and differences, for example "non_idempotent".
std::string kind_name(request_kind kind);

/// The service called `name`, or null.
const service_contract* find_service(const contract& content, std::string_view name);

} // namespace waxwingfall

#endif
