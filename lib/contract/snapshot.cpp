#include "waxwingfall/contract/snapshot.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "waxwingfall/support/digest.h"
#include "waxwingfall/wire/wire.pb.h"

namespace waxwingfall {

namespace {

void write_service(const service_contract& service, wire::service& out) {
    out.set_name(service.name);
    out.set_timeout_ms(service.timeout_ms);
    out.set_max_attempts(service.max_attempts);
    out.set_retry_budget_percent(service.retry_budget_percent);
    out.set_in_flight(service.in_flight);
    out.set_queue(service.queue);
    for (const std::string& name : service.depends_on) {
        out.add_depends_on(name);
    }
    out.set_health_path(service.health_path);
    out.set_max_connections(service.max_connections);
}

void write_route(const route_contract& route, wire::route& out) {
    out.set_host(route.host);
    out.set_prefix(route.prefix);
    out.set_service(route.service);
    out.set_timeout_ms(route.timeout_ms);
    for (const std::string& method : route.non_idempotent_methods) {
        out.add_non_idempotent_methods(method);
    }
    out.set_kind(static_cast<std::uint32_t>(route.kind));
    out.set_max_attempts(route.max_attempts);
    out.set_goal_ms(route.objective_ms);
    out.set_priority(route.priority);
    for (const weighted_service& part : route.split) {
        wire::weighted_service& out_part = *out.add_split();
        out_part.set_name(part.name);
        out_part.set_weight(part.weight);
    }
    out.set_is_public(route.is_public);
}

void write_customer(const customer_contract& customer, wire::customer& out) {
    out.set_name(customer.name);
    for (const std::string& digest : customer.key_digests) {
        out.add_key_digests(digest);
    }
    if (customer.priority) {
        out.set_priority(*customer.priority);
    }
    out.set_rate_per_s(customer.rate_per_s);
    out.set_burst(customer.burst);
}

void write_limits(const client_limits& limits, wire::caller_limits& out) {
    out.set_header_bytes(limits.header_bytes);
    out.set_body_bytes(limits.body_bytes);
    out.set_header_timeout_ms(limits.header_timeout_ms);
    out.set_idle_timeout_ms(limits.idle_timeout_ms);
}

client_limits read_limits(const wire::caller_limits& in) {
    return {in.header_bytes(), in.body_bytes(), in.header_timeout_ms(), in.idle_timeout_ms()};
}

service_contract read_service(const wire::service& in) {
    service_contract service;
    service.name = in.name();
    service.timeout_ms = in.timeout_ms();
    service.max_attempts = in.max_attempts();
    service.retry_budget_percent = in.retry_budget_percent();
    service.in_flight = in.in_flight();
    service.queue = in.queue();
    service.depends_on.assign(in.depends_on().begin(), in.depends_on().end());
    service.health_path = in.health_path();
    service.max_connections = in.max_connections();
    return service;
}

route_contract read_route(const wire::route& in) {
    route_contract route;
    route.host = in.host();
    route.prefix = in.prefix();
    route.service = in.service();
    route.timeout_ms = in.timeout_ms();
    route.non_idempotent_methods.assign(in.non_idempotent_methods().begin(),
                                        in.non_idempotent_methods().end());
    route.kind = static_cast<request_kind>(in.kind());
    route.max_attempts = in.max_attempts();
    route.objective_ms = in.goal_ms();
    route.priority = in.priority();
    for (const wire::weighted_service& part : in.split()) {
        route.split.push_back({part.name(), part.weight()});
    }
    route.is_public = in.is_public();
    return route;
}

customer_contract read_customer(const wire::customer& in) {
    customer_contract customer;
    customer.name = in.name();
    customer.key_digests.assign(in.key_digests().begin(), in.key_digests().end());
    customer.priority = in.has_priority() ? std::optional(in.priority()) : std::nullopt;
    customer.rate_per_s = in.rate_per_s();
    customer.burst = in.burst();
    return customer;
}

/// Returns the table of customers, or nothing if there is none; `is_empty_table` distinguishes these where
/// there are no customers.
std::optional<std::vector<customer_contract>> make_table(std::vector<customer_contract> customers,
                                                         bool is_empty_table) {
    return customers.empty() && !is_empty_table ? std::nullopt : std::optional(std::move(customers));
}

bool has_empty_table(const contract& content) {
    return content.customers && content.customers->empty();
}

std::optional<contract> parse_snapshot(std::string_view bytes) {
    wire::snapshot in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    contract content;
    for (const wire::service& service : in.services()) {
        content.services.push_back(read_service(service));
    }
    for (const wire::route& route : in.routes()) {
        content.routes.push_back(read_route(route));
    }
    content.limits = read_limits(in.limits());
    std::vector<customer_contract> customers;
    for (const wire::customer& customer : in.customers()) {
        customers.push_back(read_customer(customer));
    }
    content.customers = make_table(std::move(customers), in.empty_customers());
    return content;
}

std::map<std::string, customer_contract> customers_by_name(const contract& content) {
    std::map<std::string, customer_contract> customers;
    for (const customer_contract& customer : customers_of(content)) {
        customers.emplace(customer.name, customer);
    }
    return customers;
}

using route_id = std::pair<std::string, std::string>;

std::map<std::string, service_contract> services_by_name(const contract& content) {
    std::map<std::string, service_contract> services;
    for (const service_contract& service : content.services) {
        services.emplace(service.name, service);
    }
    return services;
}

std::map<route_id, route_contract> routes_by_id(const contract& content) {
    std::map<route_id, route_contract> routes;
    for (const route_contract& route : content.routes) {
        routes.emplace(route_id(route.host, route.prefix), route);
    }
    return routes;
}

template <typename Values, typename OnRemoved, typename OnSet>
void compare_maps(const Values& before, const Values& after, const OnRemoved& on_removed,
                  const OnSet& on_set) {
    for (const auto& [key, value] : before) {
        if (!after.contains(key)) {
            on_removed(key);
        }
    }
    for (const auto& [key, value] : after) {
        const auto old = before.find(key);
        if (old == before.end() || old->second != value) {
            on_set(old == before.end() ? nullptr : &old->second, value);
        }
    }
}

std::string format_list(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return "[" + text + "]";
}

std::string format_split(const std::vector<weighted_service>& split) {
    std::vector<std::string> parts;
    parts.reserve(split.size());
    for (const weighted_service& part : split) {
        parts.push_back(part.name + ":" + std::to_string(part.weight));
    }
    return format_list(parts);
}

/// Builds a list of "field old -> new" for the fields that differ.
class field_changes {
public:
    void add(std::string_view field, const std::string& before, const std::string& after) {
        if (before != after) {
            text_ += (text_.empty() ? "" : ", ") + std::string(field) + " " + before + " -> " + after;
        }
    }
    void add(std::string_view field, std::uint32_t before, std::uint32_t after) {
        add(field, std::to_string(before), std::to_string(after));
    }
    const std::string& text() const { return text_; }

private:
    std::string text_;
};

std::string describe_service_changes(const service_contract& before, const service_contract& after) {
    field_changes changes;
    changes.add("timeout_ms", before.timeout_ms, after.timeout_ms);
    changes.add("retries.max_attempts", before.max_attempts, after.max_attempts);
    changes.add("retries.budget_percent", before.retry_budget_percent, after.retry_budget_percent);
    changes.add("limits.in_flight", before.in_flight, after.in_flight);
    changes.add("limits.queue", before.queue, after.queue);
    changes.add("depends_on", format_list(before.depends_on), format_list(after.depends_on));
    changes.add("health_path", before.health_path, after.health_path);
    changes.add("max_connections", before.max_connections, after.max_connections);
    return changes.text();
}

std::string describe_route_changes(const route_contract& before, const route_contract& after) {
    field_changes changes;
    changes.add("service", before.service, after.service);
    changes.add("timeout_ms", before.timeout_ms, after.timeout_ms);
    changes.add("non_idempotent", format_list(before.non_idempotent_methods),
                format_list(after.non_idempotent_methods));
    changes.add("kind", kind_name(before.kind), kind_name(after.kind));
    changes.add("max_attempts", before.max_attempts, after.max_attempts);
    changes.add("goal_ms", before.objective_ms, after.objective_ms);
    changes.add("priority", before.priority, after.priority);
    changes.add("split", format_split(before.split), format_split(after.split));
    changes.add("public", before.is_public ? "yes" : "no", after.is_public ? "yes" : "no");
    return changes.text();
}

std::string format_digests(const std::vector<std::string>& digests) {
    std::vector<std::string> texts;
    texts.reserve(digests.size());
    for (const std::string& digest : digests) {
        texts.push_back(to_hex(digest));
    }
    return format_list(texts);
}

std::string format_priority(const std::optional<std::uint32_t>& priority) {
    return priority ? std::to_string(*priority) : "none";
}

std::string describe_customer_changes(const customer_contract& before, const customer_contract& after) {
    field_changes changes;
    changes.add("key_digests", format_digests(before.key_digests), format_digests(after.key_digests));
    changes.add("priority", format_priority(before.priority), format_priority(after.priority));
    changes.add("rate_per_s", std::to_string(before.rate_per_s), std::to_string(after.rate_per_s));
    changes.add("burst", std::to_string(before.burst), std::to_string(after.burst));
    return changes.text();
}

bool prefix_matches(std::string_view prefix, std::string_view path) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

} // namespace

std::string encode_contract(const contract& content) {
    wire::snapshot out;
    for (const service_contract& service : content.services) {
        write_service(service, *out.add_services());
    }
    for (const route_contract& route : content.routes) {
        write_route(route, *out.add_routes());
    }
    write_limits(content.limits, *out.mutable_limits());
    for (const customer_contract& customer : customers_of(content)) {
        write_customer(customer, *out.add_customers());
    }
    out.set_empty_customers(has_empty_table(content));
    return out.SerializeAsString();
}

std::string rejection_reason(std::string_view bytes) {
    const auto content = parse_snapshot(bytes);
    if (!content) {
        return "the content does not parse";
    }
    if (auto reason = first_violation(*content); !reason.empty()) {
        return reason;
    }
    // Re-encoding drops fields that only a newer version knows. Accepting such content would silently ignore
    // settings that the operator relies on.
    return encode_contract(*content) == bytes ? std::string()
                                              : "the content has parts that this program does not know";
}

std::optional<contract> decode_contract(std::string_view bytes) {
    if (!rejection_reason(bytes).empty()) {
        return std::nullopt;
    }
    return parse_snapshot(bytes);
}

std::optional<std::string> make_delta(std::string_view base, std::string_view target) {
    const auto before = parse_snapshot(base);
    const auto after = parse_snapshot(target);
    if (!before || !after) {
        return std::nullopt;
    }
    wire::delta out;
    compare_maps(
        services_by_name(*before), services_by_name(*after),
        [&](const std::string& name) { out.add_removed_services(name); },
        [&](const service_contract*, const service_contract& service) {
            write_service(service, *out.add_set_services());
        });
    compare_maps(
        routes_by_id(*before), routes_by_id(*after),
        [&](const route_id& id) {
            wire::route_key& key = *out.add_removed_routes();
            key.set_host(id.first);
            key.set_prefix(id.second);
        },
        [&](const route_contract*, const route_contract& route) {
            write_route(route, *out.add_set_routes());
        });
    if (before->limits != after->limits) {
        write_limits(after->limits, *out.mutable_set_limits());
    }
    compare_maps(
        customers_by_name(*before), customers_by_name(*after),
        [&](const std::string& name) { out.add_removed_customers(name); },
        [&](const customer_contract*, const customer_contract& customer) {
            write_customer(customer, *out.add_set_customers());
        });
    out.set_empty_customers(has_empty_table(*after));
    return out.SerializeAsString();
}

std::optional<std::string> apply_delta(std::string_view base, std::string_view delta) {
    const auto before = parse_snapshot(base);
    wire::delta change;
    if (!before || !change.ParseFromArray(delta.data(), static_cast<int>(delta.size()))) {
        return std::nullopt;
    }
    auto services = services_by_name(*before);
    for (const std::string& name : change.removed_services()) {
        services.erase(name);
    }
    for (const wire::service& service : change.set_services()) {
        services.insert_or_assign(service.name(), read_service(service));
    }
    auto routes = routes_by_id(*before);
    for (const wire::route_key& key : change.removed_routes()) {
        routes.erase({key.host(), key.prefix()});
    }
    for (const wire::route& route : change.set_routes()) {
        routes.insert_or_assign({route.host(), route.prefix()}, read_route(route));
    }
    auto customers = customers_by_name(*before);
    for (const std::string& name : change.removed_customers()) {
        customers.erase(name);
    }
    for (const wire::customer& customer : change.set_customers()) {
        customers.insert_or_assign(customer.name(), read_customer(customer));
    }
    contract after;
    after.limits = change.has_set_limits() ? read_limits(change.set_limits()) : before->limits;
    for (const auto& [name, service] : services) {
        after.services.push_back(service);
    }
    for (const auto& [id, route] : routes) {
        after.routes.push_back(route);
    }
    std::vector<customer_contract> table;
    table.reserve(customers.size());
    for (const auto& [name, customer] : customers) {
        table.push_back(customer);
    }
    after.customers = make_table(std::move(table), change.empty_customers());
    return encode_contract(after);
}

std::vector<std::string> describe_difference(const contract& before, const contract& after) {
    std::vector<std::string> lines;
    compare_maps(
        services_by_name(before), services_by_name(after),
        [&](const std::string& name) { lines.push_back("- service " + name); },
        [&](const service_contract* old, const service_contract& service) {
            lines.push_back(old == nullptr ? "+ service " + service.name
                                           : "~ service " + service.name + ": " +
                                                 describe_service_changes(*old, service));
        });
    compare_maps(
        routes_by_id(before), routes_by_id(after),
        [&](const route_id& id) { lines.push_back("- route " + id.first + id.second); },
        [&](const route_contract* old, const route_contract& route) {
            const std::string name = "route " + route.host + route.prefix;
            lines.push_back(old == nullptr ? "+ " + name + " -> " + route.service
                                           : "~ " + name + ": " + describe_route_changes(*old, route));
        });
    compare_maps(
        customers_by_name(before), customers_by_name(after),
        [&](const std::string& name) { lines.push_back("- customer " + name); },
        [&](const customer_contract* old, const customer_contract& customer) {
            lines.push_back(old == nullptr ? "+ customer " + customer.name
                                           : "~ customer " + customer.name + ": " +
                                                 describe_customer_changes(*old, customer));
        });
    if (before.customers.has_value() != after.customers.has_value()) {
        lines.emplace_back(after.customers ? "+ customers: requests need a key"
                                           : "- customers: requests need no key");
    }
    return lines;
}

const route_contract* match_route(const contract& content, std::string_view host, std::string_view path) {
    const auto host_name = host.substr(0, host.find(':'));
    const route_contract* best = nullptr;
    const auto first = std::lower_bound(
        content.routes.begin(), content.routes.end(), host_name,
        [](const route_contract& route, std::string_view wanted) { return route.host < wanted; });
    for (auto route = first; route != content.routes.end() && route->host == host_name; ++route) {
        if (prefix_matches(route->prefix, path) &&
            (best == nullptr || route->prefix.size() > best->prefix.size())) {
            best = &*route;
        }
    }
    return best;
}

} // namespace waxwingfall
