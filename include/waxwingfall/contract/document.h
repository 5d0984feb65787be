#ifndef WAXWINGFALL_CONTRACT_DOCUMENT_H
#define WAXWINGFALL_CONTRACT_DOCUMENT_H

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include "waxwingfall/support/error.h"

namespace waxwingfall {

/// A named set of interchangeable workers and the limits that nodes enforce for calls to them.
struct service_contract {
    std::string name;
    std::uint32_t timeout_ms = 0;           ///< of a call, including its retries
    std::uint32_t max_attempts = 1;         ///< attempts that one node makes for a call
    std::uint32_t retry_budget_percent = 0; ///< retries as a percentage of first attempts
    std::uint32_t in_flight = 0;         ///< concurrent requests per worker; 0 means the number of its slots
    std::uint32_t queue = 0;             ///< queued requests per worker
    std::vector<std::string> depends_on; ///< names of the services that this one calls, sorted
    std::string health_path = "/health"; ///< path of the workers' health check
    std::uint32_t max_connections = 0;   ///< that one worker accepts in total; 0 if unspecified
    auto operator<=>(const service_contract&) const = default;
};

/// Determines which requests of a route may run more than once.
enum class request_kind : std::uint8_t {
    by_method,      ///< all except methods in `non_idempotent_methods`, which need an Idempotency-Key
    idempotent,     ///< all
    non_idempotent, ///< none: each request runs at most once, without an Idempotency-Key
    download,       ///< all; responses are large
    upload          ///< none, like `non_idempotent`; request bodies are large
};

/// A service that receives a weighted share of a route's requests.
struct weighted_service {
    std::string name;
    std::uint32_t weight = 0; ///< relative to the sum of the route's weights
    auto operator<=>(const weighted_service&) const = default;
};

/// Size limits and timeouts for client requests; 0 means the value from the node's settings.
struct client_limits {
    std::uint32_t header_bytes = 0;
    std::uint32_t body_bytes = 0;
    std::uint32_t header_timeout_ms = 0; ///< to receive a complete request
    std::uint32_t idle_timeout_ms = 0;   ///< of a connection between requests
    auto operator<=>(const client_limits&) const = default;
};

/// Maps requests for one host and path prefix to the service that handles them.
struct route_contract {
    std::string host;
    std::string prefix;           ///< starts with '/' and matches complete path segments
    std::string service;          ///< empty if `split` names the services
    std::uint32_t timeout_ms = 0; ///< 0 means the timeout of the service
    std::vector<std::string>
        non_idempotent_methods; ///< sorted; their requests need an Idempotency-Key and run at most once
    request_kind kind = request_kind::by_method;
    std::uint32_t max_attempts = 0; ///< workers that a call may be sent to; 0 means the limit of the service
    std::uint32_t objective_ms = 0; ///< latency objective; 0 if there is none
    std::uint32_t priority = 0;     ///< 0 is the highest priority
    std::vector<weighted_service> split{}; ///< sorted by name; empty if all requests go to `service`
    bool is_public = false;                ///< serves requests without a customer's key
    auto operator<=>(const route_contract&) const = default;
};

/// Size of the digest of a customer's key.
inline constexpr std::size_t key_digest_bytes = 16;

/// A tenant of the operator, which its requests name by one of its keys.
struct customer_contract {
    std::string name;
    std::vector<std::string> key_digests;  ///< `digest_of` each key, sorted
    std::optional<std::uint32_t> priority; ///< replaces that of the route
    double rate_per_s = 0;                 ///< requests a second at all nodes together; 0 if unlimited
    double burst = 0;                      ///< requests in addition to the rate, after a pause
    auto operator<=>(const customer_contract&) const = default;
};

/// The validated content of an operator's document. Services and customers are sorted by name, routes by host
/// and prefix, and every referenced service is defined. Equal documents have equal digests.
struct contract {
    std::vector<service_contract> services;
    std::vector<route_contract> routes;
    client_limits limits;
    /// If there is a table, requests need the key of one of its customers, and with an empty one no key is
    /// valid. Without a table requests need no key.
    std::optional<std::vector<customer_contract>> customers;
    auto operator<=>(const contract&) const = default;
};

/// Parses and validates an operator's document. On failure the LEAF error carries a `fault_list` with all
/// faults of the document, ordered by location; `file` is the file name that they report.
boost::leaf::result<contract> parse_contract(std::string_view text, const std::string& file);

/// Validates content received from a peer or from the platform against the same semantic rules, and checks
/// that its services and routes are sorted. Returns the message of the first violation, or an empty string if
/// there is none.
std::string first_violation(const contract& content);

/// Returns the customers of a contract; none also if it has no table of customers.
std::span<const customer_contract> customers_of(const contract& content);

/// Returns the name of `kind` in documents and difference listings, for example "non_idempotent".
std::string kind_name(request_kind kind);

/// Returns the service called `name`, or null if there is none.
const service_contract* find_service(const contract& content, std::string_view name);

} // namespace waxwingfall

#endif
