#include "waxwingfall/proxy/settings.h"

#include <algorithm>
#include <charconv>

#include <boost/leaf/error.hpp>

#include "platform/bounds_wire.h"
#include "waxwingfall/support/yaml_tree.h"

namespace waxwingfall {

namespace {

/// Time between the end of a graceful shutdown and the platform's kill signal, to write the last responses.
constexpr milliseconds kill_margin{500};
/// Bound of the platform for `strict_revoke` without a time.
constexpr milliseconds default_revoke{5000};
constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_connections = 10'000;
constexpr std::uint32_t max_retry_slack = 1'000'000;
constexpr std::uint32_t max_period_ms = 600'000;
constexpr std::uint32_t max_memory_mb = 1'000'000;
constexpr std::uint32_t max_descriptors = 10'000'000;
constexpr std::uint32_t min_body_bytes = 1'024;
constexpr std::uint32_t max_body_limit = 8'388'608;

ip_address read_address(yaml_reader& reader, const yaml_value& map, std::string_view key) {
    const std::string text = reader.text(map, key, true);
    const yaml_value* value = reader.child(map, key, false);
    const auto address = parse_address(text);
    if (!address && value != nullptr && !text.empty()) {
        reader.report(error_kind::wrong_type, *value,
                      "'" + std::string(key) + "' must be an IPv4 address and a port, as in 127.0.0.1:8000");
    }
    return address.value_or(ip_address{});
}

milliseconds read_ms(yaml_reader& reader, const yaml_value& map, std::string_view key, std::uint32_t minimum,
                     milliseconds fallback) {
    return milliseconds(
        reader.number(map, key, minimum, max_period_ms, static_cast<std::uint32_t>(fallback.count())));
}

void read_node(yaml_reader& reader, const yaml_value& node, node_settings& settings) {
    if (!reader.expect_map(node, "'node'", {"name", "data_centre", "region", "environment"})) {
        return;
    }
    settings.name = reader.text(node, "name", true);
    settings.data_centre = reader.text(node, "data_centre", true);
    settings.region = reader.text(node, "region", true);
    settings.environment = reader.text(node, "environment", true);
}

void read_listen(yaml_reader& reader, const yaml_value& listen, node_settings& settings) {
    if (!reader.expect_map(listen, "'listen'",
                           {"calls", "inbound", "control", "admin", "ready", "heartbeats"})) {
        return;
    }
    settings.calls = read_address(reader, listen, "calls");
    settings.inbound = read_address(reader, listen, "inbound");
    settings.control = read_address(reader, listen, "control");
    settings.admin = read_address(reader, listen, "admin");
    if (reader.child(listen, "ready", false) != nullptr) {
        settings.ready = read_address(reader, listen, "ready");
    }
    if (reader.child(listen, "heartbeats", false) != nullptr) {
        settings.heartbeats = read_address(reader, listen, "heartbeats");
    }
}

void read_worker(yaml_reader& reader, const yaml_value& worker, node_settings& settings) {
    if (!reader.expect_map(worker, "'worker'",
                           {"service", "address", "slots", "connections", "probe_period_ms"})) {
        return;
    }
    settings.service = reader.text(worker, "service", true);
    settings.worker = read_address(reader, worker, "address");
    settings.slots = reader.number(worker, "slots", 1, max_slots, std::nullopt);
    settings.connections = reader.number(worker, "connections", 1, max_connections, settings.connections);
    settings.probe_period = read_ms(reader, worker, "probe_period_ms", 100, settings.probe_period);
}

/// Reads the link rate of the machine, a decimal number of Mbit/s; 0 if it is absent or empty.
double read_link_rate(yaml_reader& reader, const yaml_value& limits) {
    const yaml_value* stated = reader.child(limits, "link_mbps", false);
    const bool is_scalar = stated != nullptr && stated->kind == yaml_value::shape::scalar;
    if (stated == nullptr || (is_scalar && stated->scalar.empty())) {
        return 0;
    }
    const std::string& text = stated->scalar;
    double rate = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), rate);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size() || !(rate >= 0)) {
        reader.report(error_kind::wrong_type, *stated, "'link_mbps' must be a number of megabits per second");
        return 0;
    }
    return rate;
}

/// Reads a number that the platform states about the machine; `fallback` if it is absent, empty or 0.
std::uint32_t read_capacity(yaml_reader& reader, const yaml_value& limits, std::string_view key,
                            std::uint32_t maximum, std::uint32_t fallback) {
    const yaml_value* stated = reader.child(limits, key, false);
    if (stated == nullptr) {
        return fallback;
    }
    const std::string& text = stated->scalar;
    double value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = read.ec == std::errc{} && read.ptr == text.data() + text.size();
    if (!text.empty() && (!is_number || !(value >= 0) || value > maximum)) {
        reader.report(error_kind::out_of_range, *stated,
                      "'" + std::string(key) + "' must be a number up to " + std::to_string(maximum));
        return fallback;
    }
    return value >= 1 ? static_cast<std::uint32_t>(value) : fallback;
}

void read_limits(yaml_reader& reader, const yaml_value& limits, node_settings& settings) {
    if (!reader.expect_map(limits, "'limits'",
                           {"max_body_bytes", "max_header_bytes", "caller_timeout_ms", "leave_notice_ms",
                            "link_mbps", "leave_timeout_ms", "drain_ms", "memory_mb", "max_fds"})) {
        return;
    }
    settings.max_body_bytes =
        reader.number(limits, "max_body_bytes", min_body_bytes, max_body_limit, settings.max_body_bytes);
    settings.max_header_bytes =
        reader.number(limits, "max_header_bytes", min_body_bytes, max_body_limit, settings.max_header_bytes);
    settings.client_timeout = read_ms(reader, limits, "caller_timeout_ms", 100, settings.client_timeout);
    settings.shutdown_notice = read_ms(reader, limits, "leave_notice_ms", 0, settings.shutdown_notice);
    settings.link_mbps = read_link_rate(reader, limits);
    settings.memory_mb = read_capacity(reader, limits, "memory_mb", max_memory_mb, settings.memory_mb);
    settings.max_fds = read_capacity(reader, limits, "max_fds", max_descriptors, settings.max_fds);
    settings.shutdown_timeout = read_ms(reader, limits, "leave_timeout_ms", 100, settings.shutdown_timeout);
    settings.drain = read_ms(reader, limits, "drain_ms", 0, settings.drain);
}

/// Reads whether a deployment prefers fast convergence of a change or few bytes on its links.
void read_preference(yaml_reader& reader, const yaml_value& policy, control_plane_policy& control_policy) {
    const std::string preference = reader.text(policy, "prefer", false, "convergence");
    const yaml_value* value = reader.child(policy, "prefer", false);
    if (preference != "convergence" && preference != "bytes" && value != nullptr) {
        reader.report(error_kind::out_of_range, *value, "'prefer' must be convergence or bytes");
    }
    control_policy.distribution.eager = preference == "convergence";
}

void read_pace(yaml_reader& reader, const yaml_value& policy, node_settings& settings) {
    const std::string pace = reader.text(policy, "pace", false, "slots");
    const yaml_value* value = reader.child(policy, "pace", false);
    if (pace != "slots" && pace != "adaptive" && value != nullptr) {
        reader.report(error_kind::out_of_range, *value, "'pace' must be slots or adaptive");
    }
    settings.pace = pace == "adaptive" ? pace_rule::adaptive : pace_rule::slots;
}

void read_policy(yaml_reader& reader, const yaml_value& policy, node_settings& settings) {
    if (!reader.expect_map(policy, "'policy'",
                           {"prefer", "deltas", "membership_probe_ms", "pick", "retry_budget",
                            "takeover_delay_ms", "configuration_from", "retry_slack", "pace",
                            "signed_responses"})) {
        return;
    }
    read_preference(reader, policy, settings.control_policy);
    read_pace(reader, policy, settings);
    settings.control_policy.distribution.use_deltas = reader.flag(policy, "deltas", true);
    settings.retry_budget = reader.flag(policy, "retry_budget", true);
    settings.signed_responses = reader.flag(policy, "signed_responses", false);
    settings.control_policy.membership.probe_period =
        read_ms(reader, policy, "membership_probe_ms", 50, settings.control_policy.membership.probe_period);
    settings.ledger_map.takeover_delay =
        read_ms(reader, policy, "takeover_delay_ms", 3000, settings.ledger_map.takeover_delay);
    const std::string pick = reader.text(policy, "pick", false, "two_choices");
    const yaml_value* value = reader.child(policy, "pick", false);
    if (pick != "two_choices" && pick != "round_robin" && pick != "expected_finish" && value != nullptr) {
        reader.report(error_kind::out_of_range, *value,
                      "'pick' must be two_choices, round_robin or expected_finish");
    }
    settings.retry_slack = reader.number(policy, "retry_slack", 0, max_retry_slack, settings.retry_slack);
    const std::string source = reader.text(policy, "configuration_from", false, "environment");
    const yaml_value* source_value = reader.child(policy, "configuration_from", false);
    if (source != "environment" && source != "operator" && source_value != nullptr) {
        reader.report(error_kind::out_of_range, *source_value,
                      "'configuration_from' must be environment or operator");
    }
    settings.source =
        source == "operator" ? configuration_source::operator_key : configuration_source::environment_head;
    settings.routing.rule = pick == "round_robin"       ? pick_rule::round_robin
                            : pick == "expected_finish" ? pick_rule::expected_finish
                                                        : pick_rule::two_choices;
}

/// Derives limits from the bounds of the deployment. Limits that the settings state replace them later.
void apply_bounds(yaml_reader& reader, const yaml_value& root, node_settings& settings) {
    const std::string text = reader.text(root, "bounds", false);
    const yaml_value* value = reader.child(root, "bounds", false);
    const auto bounds = platform::decode_bounds(text);
    if (!bounds) {
        reader.report(error_kind::wrong_type, *value,
                      "'bounds' must be a list such as drain=2s,retry_slack=56");
        return;
    }
    // The other half of the bound is left for requests in transit between two nodes.
    settings.drain = bounds->drain ? *bounds->drain / 2 : settings.drain;
    if (bounds->grace) {
        settings.shutdown_timeout = std::max(settings.shutdown_notice, *bounds->grace - kill_margin);
    }
    settings.retry_slack = bounds->retry_slack.value_or(settings.retry_slack);
    settings.revoke = bounds->strict_revoke ? bounds->revoke.value_or(default_revoke) : milliseconds(0);
    if (bounds->retry_share) {
        constexpr double percent = 100;
        settings.retry_share_percent = static_cast<std::uint32_t>(*bounds->retry_share * percent);
    }
}

void read_peers(yaml_reader& reader, const yaml_value& root, node_settings& settings) {
    for (const yaml_value& item : reader.texts(root, "peers")) {
        const auto address = parse_address(item.scalar);
        if (!address) {
            reader.report(error_kind::wrong_type, item, "each peer must be an IPv4 address and a port");
            continue;
        }
        settings.peers.push_back(to_string(*address));
    }
}

void read_translations(yaml_reader& reader, const yaml_value& root, node_settings& settings) {
    const yaml_value* list = reader.child(root, "translate", false);
    if (list == nullptr) {
        return;
    }
    if (list->kind != yaml_value::shape::sequence) {
        reader.report(error_kind::wrong_type, *list, "'translate' must be a list");
        return;
    }
    for (const yaml_value& item : list->items) {
        if (reader.expect_map(item, "a translation", {"from", "to"})) {
            settings.translations.push_back({reader.text(item, "from", true), reader.text(item, "to", true)});
        }
    }
}

void read_root(yaml_reader& reader, const yaml_value& root, node_settings& settings) {
    if (!reader.expect_map(root, "the settings",
                           {"node", "listen", "worker", "platform", "peers", "translate", "log", "limits",
                            "policy", "bounds"})) {
        return;
    }
    if (const yaml_value* node = reader.child(root, "node", true)) {
        read_node(reader, *node, settings);
    }
    if (const yaml_value* listen = reader.child(root, "listen", true)) {
        read_listen(reader, *listen, settings);
    }
    if (const yaml_value* worker = reader.child(root, "worker", true)) {
        read_worker(reader, *worker, settings);
    }
    apply_bounds(reader, root, settings);
    if (const yaml_value* limits = reader.child(root, "limits", false)) {
        read_limits(reader, *limits, settings);
    }
    if (const yaml_value* policy = reader.child(root, "policy", false)) {
        read_policy(reader, *policy, settings);
    }
    settings.platform = read_address(reader, root, "platform");
    settings.log_path = reader.text(root, "log", false);
    read_peers(reader, root, settings);
    read_translations(reader, root, settings);
}

} // namespace

boost::leaf::result<node_settings> parse_settings(std::string_view text, const std::string& file) {
    std::vector<fault> faults;
    const yaml_value root = parse_yaml(text, file, faults);
    node_settings settings;
    if (faults.empty()) {
        yaml_reader reader(file, faults);
        read_root(reader, root, settings);
    }
    if (!faults.empty()) {
        return boost::leaf::new_error(fault_list{std::move(faults)});
    }
    return settings;
}

} // namespace waxwingfall
