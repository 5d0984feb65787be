#include "rules.h"

#include <algorithm>
#include <map>
#include <set>

namespace waxwingfall {

namespace {

bool is_name(std::string_view text) {
    constexpr std::size_t longest = 63;
    const auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-' ||
               letter == '_';
    };
    return !text.empty() && text.size() <= longest && std::all_of(text.begin(), text.end(), allowed);
}

bool is_host(std::string_view text) {
    constexpr std::size_t longest = 253;
    const auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-' ||
               letter == '.';
    };
    return !text.empty() && text.size() <= longest && std::all_of(text.begin(), text.end(), allowed);
}

bool is_prefix(std::string_view text) {
    constexpr std::size_t longest = 512;
    const auto allowed = [](char letter) {
        return letter > ' ' && letter < 0x7f && letter != '?' && letter != '#';
    };
    return !text.empty() && text.front() == '/' && text.size() <= longest &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_method(std::string_view text) {
    static const std::set<std::string_view> known{"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};
    return known.contains(text);
}

std::string normal_prefix(const std::string& prefix) {
    std::string normal = prefix;
    while (normal.size() > 1 && normal.back() == '/') {
        normal.pop_back();
    }
    return normal;
}

bool in_range(std::uint32_t value, std::uint32_t low, std::uint32_t high) {
    return value >= low && value <= high;
}

/// Walks dependencies depth first and reports each service that closes a cycle.
class cycle_search {
public:
    cycle_search(const contract& content, std::vector<violation>& found) : content_(content), found_(found) {
        for (std::size_t index = 0; index < content.services.size(); ++index) {
            index_of_.emplace(content.services[index].name, index);
        }
        state_.resize(content.services.size(), unseen);
    }

    void run() {
        for (std::size_t index = 0; index < state_.size(); ++index) {
            visit(index);
        }
    }

private:
    enum mark_state : char { unseen, open, finished };

    // An explicit stack: a chain of services may be far longer than the program's stack is deep.
    void visit(std::size_t start) {
        if (state_[start] != unseen) {
            return;
        }
        std::vector<std::pair<std::size_t, std::size_t>> path{{start, 0}};
        state_[start] = open;
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
            if (state_[found->second] == open) {
                found_.push_back({violation::subject::service, index, error_kind::dependency_cycle,
                                  "service '" + content_.services[index].name + "' depends on '" +
                                      found->first + "', which depends on it in turn"});
            } else if (state_[found->second] == unseen) {
                state_[found->second] = open;
                path.emplace_back(found->second, 0);
            }
        }
    }

    const contract& content_;
    std::vector<violation>& found_;
    std::map<std::string, std::size_t, std::less<>> index_of_;
    std::vector<char> state_;
};

void check_service(const contract& content, std::size_t index, const std::set<std::string_view>& names,
                   std::vector<violation>& found) {
    const service_contract& service = content.services[index];
    const auto add = [&](error_kind kind, std::string message) {
        found.push_back({violation::subject::service, index, kind, std::move(message)});
    };
    if (!is_name(service.name)) {
        add(error_kind::out_of_range, "a service's name has 1 to 63 of a-z, 0-9, '-' and '_'");
    }
    for (const std::string& other : service.depends_on) {
        if (!names.contains(other)) {
            add(error_kind::dangling_reference,
                "service '" + service.name + "' depends on '" + other + "', which is not defined");
        }
    }
    const bool numbers = in_range(service.timeout_ms, min_timeout_ms, max_timeout_ms) &&
                         in_range(service.max_attempts, 1, max_attempts_limit) &&
                         in_range(service.retry_budget_percent, 0, max_retry_budget_percent) &&
                         in_range(service.in_flight, 0, max_in_flight) &&
                         in_range(service.queue, 0, max_queue);
    if (!numbers) {
        add(error_kind::out_of_range, "service '" + service.name + "' has a number outside its range");
    }
}

void check_route(const contract& content, std::size_t index, const std::set<std::string_view>& names,
                 std::vector<violation>& found) {
    const route_contract& route = content.routes[index];
    const auto add = [&](error_kind kind, std::string message) {
        found.push_back({violation::subject::route, index, kind, std::move(message)});
    };
    if (!is_host(route.host)) {
        add(error_kind::out_of_range, "a host has 1 to 253 of a-z, 0-9, '-' and '.'");
    }
    if (!is_prefix(route.prefix)) {
        add(error_kind::out_of_range, "a prefix starts with '/' and has no blank, '?' or '#'");
    }
    const auto check_reference = [&](const std::string& name) {
        if (!names.contains(name)) {
            add(error_kind::dangling_reference, "service '" + name + "' is not defined in this document");
        }
    };
    if (route.split.empty()) {
        check_reference(route.service);
    } else if (!route.service.empty()) {
        add(error_kind::out_of_range, "a route has either a service or a split");
    }
    std::uint64_t weights = 0;
    for (const weighted_service& part : route.split) {
        check_reference(part.name);
        weights += part.weight;
    }
    if (!route.split.empty() && weights == 0) {
        add(error_kind::out_of_range, "the weights of a split add up to nothing");
    }
    if (route.kind > request_kind::download || route.max_attempts > max_route_attempts) {
        add(error_kind::out_of_range, "the kind or the number of attempts is outside its range");
    }
    if (route.timeout_ms != 0 && !in_range(route.timeout_ms, min_timeout_ms, max_timeout_ms)) {
        add(error_kind::out_of_range, "the timeout is outside its range");
    }
    for (const std::string& method : route.non_idempotent_methods) {
        if (!is_method(method)) {
            add(error_kind::out_of_range, "'" + method + "' is not a method of HTTP/1.1 in upper case");
        }
    }
}

} // namespace

std::vector<violation> find_violations(const contract& content) {
    std::vector<violation> found;
    std::set<std::string_view> names;
    for (const service_contract& service : content.services) {
        names.insert(service.name);
    }
    for (std::size_t index = 0; index < content.services.size(); ++index) {
        check_service(content, index, names, found);
    }
    std::map<std::pair<std::string, std::string>, std::size_t> seen;
    for (std::size_t index = 0; index < content.routes.size(); ++index) {
        const route_contract& route = content.routes[index];
        check_route(content, index, names, found);
        if (!seen.emplace(std::pair(route.host, normal_prefix(route.prefix)), index).second) {
            found.push_back(
                {violation::subject::route, index, error_kind::overlapping_route,
                 "another route matches host '" + route.host + "' and prefix '" + route.prefix + "'"});
        }
    }
    cycle_search(content, found).run();
    return found;
}

std::string first_violation(const contract& content) {
    const auto by_name = [](const service_contract& left, const service_contract& right) {
        return left.name >= right.name;
    };
    if (std::adjacent_find(content.services.begin(), content.services.end(), by_name) !=
        content.services.end()) {
        return "services are not sorted by name, or one stands twice";
    }
    if (!std::is_sorted(content.routes.begin(), content.routes.end())) {
        return "routes are not sorted";
    }
    const auto found = find_violations(content);
    return found.empty() ? std::string() : found.front().message;
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
