#ifndef WAXWINGFALL_PROXY_SETTINGS_H
#define WAXWINGFALL_PROXY_SETTINGS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include "waxwingfall/call/ledger_map.h"
#include "waxwingfall/call/routing.h"
#include "waxwingfall/cluster/control_plane.h"
#include "waxwingfall/link/address.h"
#include "waxwingfall/support/error.h"

namespace waxwingfall {

/// Where the accepted configuration is kept in the platform's store.
enum class configuration_source : std::uint8_t {
    environment_head, ///< the head of the environment, written by waxwingctl
    operator_key      ///< the single key that the platform's operator writes
};

/// How many requests a node lets its worker run at once.
enum class pace_rule : std::uint8_t {
    slots,   ///< as many as the worker has slots
    adaptive ///< as many as its run times allow, see `call/pace`
};

/// The settings of one node. docs/settings.md is the reference.
struct node_settings {
    std::string name;
    std::string data_centre;
    std::string region;
    std::string environment;
    ip_address calls;                     ///< where clients send requests
    ip_address inbound;                   ///< where other nodes send requests for the worker
    ip_address control;                   ///< for messages between nodes
    ip_address admin;                     ///< /status and /metrics
    std::optional<ip_address> ready;      ///< readiness check of a load balancer
    std::optional<ip_address> heartbeats; ///< worker heartbeats; if absent, the worker is probed
    std::string service;
    ip_address worker;
    std::uint32_t slots = 1; ///< concurrent requests, until the worker's heartbeats report another number
    std::uint32_t connections = 110; ///< to the worker; validated, but not enforced
    milliseconds probe_period{1000}; ///< between health probes of the worker
    ip_address platform;
    std::vector<std::string> peers; ///< control addresses for the first join attempts
    std::vector<address_translation> translations;
    std::string log_path;
    bool is_first_start = false; ///< of all nodes, so that no earlier process acknowledged anything
    std::uint32_t max_body_bytes = 1'048'576;
    std::uint32_t max_header_bytes = 16'384;
    std::uint32_t memory_mb = 512;       ///< of the machine
    std::uint32_t max_fds = 4096;        ///< file descriptors of the machine
    double link_mbps = 0;                ///< link rate of the machine in Mbit/s; 0 if unknown
    milliseconds client_timeout{10'000}; ///< for a client to send its request or read its response
    /// Time for which a node still admits requests after it was asked to shut down.
    milliseconds shutdown_notice{2000};
    /// Time after which a node that shuts down stops even if requests are still running.
    milliseconds shutdown_timeout{30'000};
    /// Time for which a worker that announced its shutdown still runs requests from nodes that have not
    /// learned of it. Stays below the drain bound of 2 s that deployments state.
    milliseconds drain{1000};
    /// After the acknowledgement of a configuration that removes a customer's key, requests with this key
    /// that are sent later than this must not run; 0 if there is no such bound.
    milliseconds revoke{0};
    configuration_source source = configuration_source::environment_head;
    /// Retries that all nodes together may make in ten seconds beyond `retry_share_percent`.
    std::uint32_t retry_slack = 90;
    /// Limit of retries as a share of all requests; a service may state a lower one.
    std::uint32_t retry_share_percent = 10;
    /// If false, no budget limits the retries; the baseline for measurements.
    bool retry_budget = true;
    /// Successful responses of the worker without a signature are taken for broken ones.
    bool signed_responses = false;
    pace_rule pace = pace_rule::slots;
    control_plane_policy control_policy;
    routing_policy routing;
    ledger_map_policy ledger_map;
    auto operator<=>(const node_settings&) const = default;
};

/// Parses and validates a settings file. On failure the LEAF error carries a `fault_list` with every fault.
boost::leaf::result<node_settings> parse_settings(std::string_view text, const std::string& file);

} // namespace waxwingfall

#endif
