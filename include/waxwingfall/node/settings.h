#ifndef WAXWINGFALL_NODE_SETTINGS_H
#define WAXWINGFALL_NODE_SETTINGS_H

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

/// Where the accepted configuration lies in the platform's store.
enum class configuration_source : std::uint8_t {
    environment_head, ///< versions that waxwingctl accepted
    operator_key      ///< the one key that the platform's operator writes
};

/// The settings of one node. docs/settings.md is the reference.
struct node_settings {
    std::string name;
    std::string data_centre;
    std::string region;
    std::string environment;
    ip_address calls;                     ///< where callers send requests
    ip_address inbound;                   ///< where other nodes send requests for the worker
    ip_address control;                   ///< for messages between nodes
    ip_address admin;                     ///< /status and /metrics
    std::optional<ip_address> ready;      ///< where a balancer asks whether callers may come here
    std::optional<ip_address> heartbeats; ///< where the worker reports; without it the worker is probed
    std::string service;
    ip_address worker;
    std::uint32_t slots = 1;         ///< until the worker's heartbeats name another number
    std::uint32_t connections = 110; ///< to the worker
    milliseconds probe_period{1000}; ///< between health probes of the worker
    ip_address platform;
    std::vector<std::string> peers; ///< control addresses to try at the start
    std::vector<address_translation> translations;
    std::string log_path;
    std::uint32_t max_body_bytes = 1'048'576;
    std::uint32_t max_header_bytes = 16'384;
    double link_mbps = 0;                ///< of the machine, in megabits a second; 0 if it is not known
    milliseconds caller_timeout{10'000}; ///< for a caller to send its request or to take its answer
    milliseconds leave_notice{
        2000}; ///< after the notice that it leaves, a node still admits work for so long
    milliseconds leave_timeout{30'000}; ///< after which a leaving node stops, whatever is still running
    milliseconds drain{1000}; ///< after a worker's notice that it leaves, for which requests of nodes that
                              ///< have not heard of it still run; under the sites' bound of 2 s
    configuration_source source = configuration_source::environment_head;
    std::uint32_t retry_slack = 90; ///< repeated requests of all nodes in ten seconds, beyond their share
    std::uint32_t retry_share_percent = 10; ///< of repeated requests in all; services may state less
    bool retry_budget = true; ///< off lets every failed try be repeated, the baseline of the measurements
    control_plane_policy zone;
    routing_policy routing;
    ledger_map_policy ledger_map;
    auto operator<=>(const node_settings&) const = default;
};

/// Parses and checks a settings file. On failure the LEAF error carries a `fault_list` with every fault.
boost::leaf::result<node_settings> parse_settings(std::string_view text, const std::string& file);

} // namespace waxwingfall

#endif
