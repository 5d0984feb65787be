#include "rules.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace waxwingfall {

namespace {

bool is_valid_name(std::string_view text) {
    constexpr std::size_t max_length = 63;
    const auto allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '-' || character == '_';
    };
    return !text.empty() && text.size() <= max_length && std::all_of(text.begin(), text.end(), allowed);
}

bool is_valid_host(std::string_view text) {
    constexpr std::size_t max_length = 253;
    const auto allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '-' || character == '.';
    };
    return !text.empty() && text.size() <= max_length && std::all_of(text.begin(), text.end(), allowed);
}

bool is_valid_prefix(std::string_view text) {
    constexpr std::size_t max_length = 512;
    const auto allowed = [](char character) {
        return character > ' ' && character < 0x7f && character != '?' && character != '#';
    };
    return !text.empty() && text.front() == '/' && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_known_method(std::string_view text) {
    static const std::set<std::string_view> methods{"GET",    "HEAD",  "POST",   "PUT",
                                                    "DELETE", "PATCH", "OPTIONS"};
    return methods.contains(text);
}

std::string normalize_prefix(const std::string& prefix) {
    std::string normalized = prefix;
    while (normalized.size() > 1 && normalized.back() == '/') {
        normalized.pop_back();
    }
    return normalized;
}

bool in_range(std::uint32_t value, std::uint32_t low, std::uint32_t high) {
    return value >= low && value <= high;
}

/// Traverses dependencies depth first and reports each service whose dependency closes a cycle.
class cycle_detector {
public:
    cycle_detector(const contract& content, std::vector<violation>& violations)
        : content_(content), violations_(violations) {
        for (std::size_t index = 0; index < content.services.size(); ++index) {
            index_of_.emplace(content.services[index].name, index);
        }
        state_.resize(content.services.size(), unvisited);
    }

    void run() {
        for (std::size_t index = 0; index < state_.size(); ++index) {
            visit(index);
        }
    }

private:
    enum visit_state : char { unvisited, in_progress, finished };

    // Uses an explicit stack because a long dependency chain would overflow the call stack with recursion.
    void visit(std::size_t start) {
        if (state_[start] != unvisited) {
            return;
        }
        std::vector<std::pair<std::size_t, std::size_t>> path{{start, 0}};
        state_[start] = in_progress;
        while (!path.empty()) {
            auto& [index, next] = path.back();
            const auto& names = content_.services[index].depends_on;
            if (next == names.size()) {
                state_[index] = finished;
                path.pop_back();
                continue;
            }
            const auto found = index_of_.find(names[next++]);
            if (found == index_of_.end()) {
                continue;
            }
            if (state_[found->second] == in_progress) {
                violations_.push_back({violation::subject_kind::service, index, error_kind::dependency_cycle,
                                       "service '" + content_.services[index].name + "' depends on '" +
                                           found->first + "', which in turn depends on it"});
            } else if (state_[found->second] == unvisited) {
                state_[found->second] = in_progress;
                path.emplace_back(found->second, 0);
            }
        }
    }

    const contract& content_;
    std::vector<violation>& violations_;
    std::map<std::string, std::size_t, std::less<>> index_of_;
    std::vector<char> state_;
};

void check_service(const contract& content, std::size_t index, const std::set<std::string_view>& names,
                   std::vector<violation>& violations) {
    const service_contract& service = content.services[index];
    const auto add = [&](error_kind kind, std::string message) {
        violations.push_back({violation::subject_kind::service, index, kind, std::move(message)});
    };
    if (!is_valid_name(service.name)) {
        add(error_kind::out_of_range,
            "a service's name must have 1 to 63 characters from a-z, 0-9, '-' and '_'");
    }
    for (const std::string& other : service.depends_on) {
        if (!names.contains(other)) {
            add(error_kind::dangling_reference,
                "service '" + service.name + "' depends on '" + other + "', which is not defined");
        }
    }
    const bool values_in_range = in_range(service.timeout_ms, min_timeout_ms, max_timeout_ms) &&
                                 in_range(service.max_attempts, 1, max_attempts_limit) &&
                                 in_range(service.retry_budget_percent, 0, max_retry_budget_percent) &&
                                 in_range(service.in_flight, 0, max_in_flight) &&
                                 in_range(service.queue, 0, max_queue);
    if (!values_in_range) {
        add(error_kind::out_of_range, "service '" + service.name + "' has a value out of range");
    }
}

void check_route(const contract& content, std::size_t index, const std::set<std::string_view>& names,
                 std::vector<violation>& violations) {
    const route_contract& route = content.routes[index];
    const auto add = [&](error_kind kind, std::string message) {
        violations.push_back({violation::subject_kind::route, index, kind, std::move(message)});
    };
    if (!is_valid_host(route.host)) {
        add(error_kind::out_of_range, "a host must have 1 to 253 characters from a-z, 0-9, '-' and '.'");
    }
    if (!is_valid_prefix(route.prefix)) {
        add(error_kind::out_of_range, "a prefix must start with '/', have at most 512 printable ASCII "
                                      "characters and no space, '?' or '#'");
    }
    const auto check_reference = [&](const std::string& name) {
        if (!names.contains(name)) {
            add(error_kind::dangling_reference, "service '" + name + "' is not defined in this document");
        }
    };
    if (route.split.empty()) {
        check_reference(route.service);
    } else if (!route.service.empty()) {
        add(error_kind::out_of_range, "a route must have either 'service' or 'split', not both");
    }
    std::uint64_t weights = 0;
    for (const weighted_service& part : route.split) {
        check_reference(part.name);
        weights += part.weight;
    }
    if (!route.split.empty() && weights == 0) {
        add(error_kind::out_of_range, "the weights of a split add up to nothing");
    }
    if (route.kind > request_kind::upload || route.max_attempts > max_route_attempts) {
        add(error_kind::out_of_range, "the kind or the number of attempts is out of range");
    }
    if (route.timeout_ms != 0 && !in_range(route.timeout_ms, min_timeout_ms, max_timeout_ms)) {
        add(error_kind::out_of_range, "the timeout is out of range");
    }
    for (const std::string& method : route.non_idempotent_methods) {
        if (!is_known_method(method)) {
            add(error_kind::out_of_range, "'" + method + "' is not an HTTP/1.1 method name in upper case");
        }
    }
}

void check_customers(const contract& content, std::vector<violation>& violations) {
    std::set<std::string_view> digests;
    const auto customers = customers_of(content);
    for (std::size_t index = 0; index < customers.size(); ++index) {
        const customer_contract& customer = customers[index];
        const auto add = [&](error_kind kind, const std::string& message) {
            violations.push_back({violation::subject_kind::customer, index, kind, message});
        };
        if (customer.name.empty()) {
            add(error_kind::out_of_range, "a customer has no name");
        }
        if (!std::isfinite(customer.rate_per_s) || customer.rate_per_s < 0 ||
            !std::isfinite(customer.burst) || customer.burst < 0) {
            add(error_kind::out_of_range,
                "the rate or the burst of customer '" + customer.name + "' is not a non-negative number");
        }
        for (const std::string& digest : customer.key_digests) {
            if (digest.size() != key_digest_bytes) {
                add(error_kind::out_of_range,
                    "a key digest of customer '" + customer.name + "' does not have 16 bytes");
            } else if (!digests.insert(digest).second) {
                add(error_kind::duplicate_key, "a key of customer '" + customer.name + "' is listed twice");
            }
        }
    }
}

} // namespace

std::vector<violation> find_violations(const contract& content) {
    std::vector<violation> violations;
    std::set<std::string_view> names;
    for (const service_contract& service : content.services) {
        names.insert(service.name);
    }
    for (std::size_t index = 0; index < content.services.size(); ++index) {
        check_service(content, index, names, violations);
    }
    std::map<std::pair<std::string, std::string>, std::size_t> seen;
    for (std::size_t index = 0; index < content.routes.size(); ++index) {
        const route_contract& route = content.routes[index];
        check_route(content, index, names, violations);
        if (!seen.emplace(std::pair(route.host, normalize_prefix(route.prefix)), index).second) {
            violations.push_back(
                {violation::subject_kind::route, index, error_kind::overlapping_route,
                 "another route matches host '" + route.host + "' and prefix '" + route.prefix + "'"});
        }
    }
    check_customers(content, violations);
    cycle_detector(content, violations).run();
    return violations;
}

std::string first_violation(const contract& content) {
    const auto is_misplaced = [](const service_contract& left, const service_contract& right) {
        return left.name >= right.name;
    };
    if (std::adjacent_find(content.services.begin(), content.services.end(), is_misplaced) !=
        content.services.end()) {
        return "services are not sorted by name, or a name is used twice";
    }
    if (!std::is_sorted(content.routes.begin(), content.routes.end())) {
        return "routes are not sorted";
    }
    const auto is_misplaced_customer = [](const customer_contract& left, const customer_contract& right) {
        return left.name >= right.name;
    };
    const auto customers = customers_of(content);
    if (std::adjacent_find(customers.begin(), customers.end(), is_misplaced_customer) != customers.end()) {
        return "customers are not sorted by name, or a name is used twice";
    }
    const auto violations = find_violations(content);
    return violations.empty() ? std::string() : violations.front().message;
}

std::span<const customer_contract> customers_of(const contract& content) {
    return content.customers ? std::span<const customer_contract>(*content.customers)
                             : std::span<const customer_contract>();
}

std::string kind_name(request_kind kind) {
    switch (kind) {
    case request_kind::by_method:
        return "by_method";
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::non_idempotent:
        return "non_idempotent";
    case request_kind::download:
        return "download";
    case request_kind::upload:
        return "upload";
    }
    return "unknown";
}

const service_contract* find_service(const contract& content, std::string_view name) {
    const auto found = std::lower_bound(
        content.services.begin(), content.services.end(), name,
        [](const service_contract& service, std::string_view wanted) { return service.name < wanted; });
    return found != content.services.end() && found->name == name ? &*found : nullptr;
}

} // namespace waxwingfall
