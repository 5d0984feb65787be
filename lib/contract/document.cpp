#include "waxwingfall/contract/document.h"

#include <algorithm>
#include <numeric>

#include <boost/leaf/error.hpp>

#include "rules.h"
#include "waxwingfall/support/digest.h"
#include "waxwingfall/support/yaml_tree.h"

namespace waxwingfall {

namespace {

constexpr std::uint32_t default_timeout_ms = 2000;
constexpr std::uint32_t default_max_attempts = 2;
constexpr std::uint32_t default_retry_budget_percent = 10;
constexpr std::uint32_t default_queue = 24;
constexpr std::uint32_t max_priority = 100;
constexpr std::uint32_t max_weight = 1'000'000;
constexpr double max_customer_rate = 1e9;

struct located_contract {
    contract content;
    std::vector<source_location> service_locations;
    std::vector<source_location> route_locations;
    std::vector<source_location> customer_locations;
};

std::vector<std::string> read_sorted_strings(yaml_reader& reader, const yaml_value& map,
                                             std::string_view key) {
    std::vector<std::string> strings;
    for (const yaml_value& item : reader.texts(map, key)) {
        if (std::find(strings.begin(), strings.end(), item.scalar) != strings.end()) {
            reader.report(error_kind::duplicate_key, item, "'" + item.scalar + "' is listed more than once");
            continue;
        }
        strings.push_back(item.scalar);
    }
    std::sort(strings.begin(), strings.end());
    return strings;
}

service_contract read_service(yaml_reader& reader, const yaml_entry& entry) {
    service_contract service;
    service.name = entry.key;
    const yaml_value& body = entry.value;
    if (!reader.expect_map(
            body, "a service",
            {"timeout_ms", "retries", "limits", "depends_on", "health_path", "max_connections"})) {
        return service;
    }
    service.timeout_ms =
        reader.number(body, "timeout_ms", min_timeout_ms, max_timeout_ms, default_timeout_ms);
    service.max_attempts = default_max_attempts;
    service.retry_budget_percent = default_retry_budget_percent;
    service.queue = default_queue;
    const yaml_value* retries = reader.child(body, "retries", false);
    if (retries != nullptr && reader.expect_map(*retries, "retries", {"max_attempts", "budget_percent"})) {
        service.max_attempts =
            reader.number(*retries, "max_attempts", 1, max_attempts_limit, default_max_attempts);
        service.retry_budget_percent = reader.number(*retries, "budget_percent", 0, max_retry_budget_percent,
                                                     default_retry_budget_percent);
    }
    const yaml_value* limits = reader.child(body, "limits", false);
    if (limits != nullptr && reader.expect_map(*limits, "limits", {"in_flight", "queue"})) {
        service.in_flight = reader.number(*limits, "in_flight", 0, max_in_flight, 0);
        service.queue = reader.number(*limits, "queue", 0, max_queue, default_queue);
    }
    service.health_path = reader.text(body, "health_path", false, service.health_path);
    service.max_connections = reader.number(body, "max_connections", 0, max_in_flight, 0);
    service.depends_on = read_sorted_strings(reader, body, "depends_on");
    return service;
}

request_kind read_kind(yaml_reader& reader, const yaml_value& body) {
    const std::string name = reader.text(body, "kind", false, kind_name(request_kind::by_method));
    for (const request_kind kind :
         {request_kind::by_method, request_kind::idempotent, request_kind::non_idempotent,
          request_kind::download, request_kind::upload}) {
        if (name == kind_name(kind)) {
            return kind;
        }
    }
    reader.report(error_kind::out_of_range, *reader.child(body, "kind", false),
                  "'kind' must be by_method, idempotent, non_idempotent, download or upload");
    return request_kind::by_method;
}

/// Reads the weighted services of a route from a map of names to weights.
std::vector<weighted_service> read_split(yaml_reader& reader, const yaml_value& body) {
    std::vector<weighted_service> split;
    const yaml_value* parts = reader.child(body, "split", false);
    if (parts == nullptr) {
        return split;
    }
    if (parts->kind != yaml_value::shape::map) {
        reader.report(error_kind::wrong_type, *parts, "'split' must be a map from services to weights");
        return split;
    }
    for (const yaml_entry& part : parts->entries) {
        split.push_back({part.key, reader.number(*parts, part.key, 0, max_weight, std::nullopt)});
    }
    std::sort(split.begin(), split.end());
    return split;
}

route_contract read_route(yaml_reader& reader, const yaml_value& body) {
    route_contract route;
    if (!reader.expect_map(body, "a route",
                           {"host", "prefix", "service", "timeout_ms", "non_idempotent", "kind",
                            "max_attempts", "goal_ms", "priority", "split", "public"})) {
        return route;
    }
    route.host = reader.text(body, "host", true);
    route.prefix = reader.text(body, "prefix", true);
    route.split = read_split(reader, body);
    route.service = reader.text(body, "service", route.split.empty());
    route.kind = read_kind(reader, body);
    route.max_attempts = reader.number(body, "max_attempts", 0, max_route_attempts, 0);
    route.objective_ms = reader.number(body, "goal_ms", 0, max_timeout_ms, 0);
    route.priority = reader.number(body, "priority", 0, max_priority, 0);
    route.timeout_ms = reader.number(body, "timeout_ms", min_timeout_ms, max_timeout_ms, 0);
    route.is_public = reader.flag(body, "public", false);
    const yaml_value* non_idempotent = reader.child(body, "non_idempotent", false);
    if (non_idempotent != nullptr && non_idempotent->kind == yaml_value::shape::scalar) {
        if (reader.flag(body, "non_idempotent", false)) {
            route.non_idempotent_methods = {"DELETE", "PATCH", "POST", "PUT"};
        }
    } else {
        route.non_idempotent_methods = read_sorted_strings(reader, body, "non_idempotent");
    }
    return route;
}

/// Reads digests of keys. Faults don't repeat the text, which may be a key that was entered by mistake.
std::vector<std::string> read_key_digests(yaml_reader& reader, const yaml_value& body) {
    std::vector<std::string> digests;
    for (const yaml_value& item : reader.texts(body, "key_digests")) {
        const auto bytes = from_hex(item.scalar);
        if (!bytes || bytes->size() != key_digest_bytes) {
            reader.report(error_kind::out_of_range, item,
                          "a key digest must have 32 hexadecimal digits, as 'waxwingctl digest-key' prints");
            continue;
        }
        if (std::find(digests.begin(), digests.end(), *bytes) != digests.end()) {
            reader.report(error_kind::duplicate_key, item, "this key digest is listed more than once");
            continue;
        }
        digests.push_back(*bytes);
    }
    std::sort(digests.begin(), digests.end());
    return digests;
}

customer_contract read_customer(yaml_reader& reader, const yaml_entry& entry) {
    customer_contract customer;
    customer.name = entry.key;
    const yaml_value& body = entry.value;
    if (!reader.expect_map(body, "a customer", {"key_digests", "priority", "rate_per_s", "burst"})) {
        return customer;
    }
    customer.key_digests = read_key_digests(reader, body);
    if (reader.child(body, "priority", false) != nullptr) {
        customer.priority = reader.number(body, "priority", 0, max_priority, 0);
    }
    customer.rate_per_s = reader.decimal(body, "rate_per_s", max_customer_rate);
    customer.burst = reader.decimal(body, "burst", max_customer_rate);
    return customer;
}

located_contract read_contract(yaml_reader& reader, const yaml_value& root, const std::string& file) {
    located_contract parsed;
    if (!reader.expect_map(root, "the document", {"services", "routes", "customers"})) {
        return parsed;
    }
    const yaml_value* services = reader.child(root, "services", true);
    if (services != nullptr && services->kind != yaml_value::shape::map) {
        reader.report(error_kind::wrong_type, *services, "'services' must be a map from names to services");
    } else if (services != nullptr) {
        for (const yaml_entry& entry : services->entries) {
            parsed.content.services.push_back(read_service(reader, entry));
            parsed.service_locations.push_back({file, entry.line, entry.column});
        }
    }
    const yaml_value* routes = reader.child(root, "routes", true);
    if (routes != nullptr && routes->kind != yaml_value::shape::sequence) {
        reader.report(error_kind::wrong_type, *routes, "'routes' must be a list");
    } else if (routes != nullptr) {
        for (const yaml_value& item : routes->items) {
            parsed.content.routes.push_back(read_route(reader, item));
            parsed.route_locations.push_back({file, item.line, item.column});
        }
    }
    const yaml_value* customers = reader.child(root, "customers", false);
    if (customers != nullptr && customers->kind != yaml_value::shape::map) {
        reader.report(error_kind::wrong_type, *customers,
                      "'customers' must be a map from names to customers");
    } else if (customers != nullptr) {
        auto& table = parsed.content.customers.emplace();
        for (const yaml_entry& entry : customers->entries) {
            table.push_back(read_customer(reader, entry));
            parsed.customer_locations.push_back({file, entry.line, entry.column});
        }
    }
    return parsed;
}

/// Returns true if `faults` already has a fault of the same kind at the same location.
bool already_reported(const std::vector<fault>& faults, const fault& candidate) {
    return std::any_of(faults.begin(), faults.end(), [&](const fault& reported) {
        return reported.kind == candidate.kind && reported.location == candidate.location;
    });
}

bool has_missing_field(const route_contract& route) {
    return route.host.empty() || route.prefix.empty() || route.service.empty();
}

const source_location& location_of(const located_contract& parsed, const violation& found) {
    switch (found.subject) {
    case violation::subject_kind::service:
        return parsed.service_locations[found.index];
    case violation::subject_kind::route:
        return parsed.route_locations[found.index];
    case violation::subject_kind::customer:
        break;
    }
    return parsed.customer_locations[found.index];
}

void check_semantics(const located_contract& parsed, std::vector<fault>& faults) {
    const bool is_well_formed = faults.empty();
    for (const violation& found : find_violations(parsed.content)) {
        const fault candidate{found.kind, location_of(parsed, found), found.message};
        // Suppresses follow-on faults: a missing value or one of the wrong type has been reported already,
        // and its field holds a default here.
        const bool is_follow_on = !is_well_formed && found.subject == violation::subject_kind::route &&
                                  has_missing_field(parsed.content.routes[found.index]);
        if (!is_follow_on && !already_reported(faults, candidate)) {
            faults.push_back(candidate);
        }
    }
}

} // namespace

boost::leaf::result<contract> parse_contract(std::string_view text, const std::string& file) {
    std::vector<fault> faults;
    const yaml_value root = parse_yaml(text, file, faults);
    const bool is_readable = root.kind != yaml_value::shape::null;
    if (!is_readable && faults.empty()) {
        faults.push_back({error_kind::wrong_type, {file, 1, 1}, "the document is empty"});
    }
    located_contract parsed;
    if (is_readable) {
        yaml_reader reader(file, faults);
        parsed = read_contract(reader, root, file);
        check_semantics(parsed, faults);
    }
    if (!faults.empty()) {
        std::stable_sort(faults.begin(), faults.end(), [](const fault& left, const fault& right) {
            return left.location < right.location;
        });
        return boost::leaf::new_error(fault_list{std::move(faults)});
    }
    std::sort(parsed.content.services.begin(), parsed.content.services.end());
    std::sort(parsed.content.routes.begin(), parsed.content.routes.end());
    if (parsed.content.customers) {
        std::sort(parsed.content.customers->begin(), parsed.content.customers->end());
    }
    return std::move(parsed.content);
}

} // namespace waxwingfall
