#include "waxwingfall/proxy/customer_headers.h"

#include <algorithm>

#include "waxwingfall/contract/snapshot.h"
#include "waxwingfall/proxy/downstream.h"

namespace waxwingfall {

namespace {

/// Removes a header, also if it is written with underscores: workers behind an interface like CGI can't
/// distinguish them from hyphens.
void remove_header(std::vector<http_header>& headers, std::string_view name) {
    std::erase_if(headers, [&](const http_header& header) {
        std::string hyphenated = header.name;
        std::replace(hyphenated.begin(), hyphenated.end(), '_', '-');
        return equal_ignoring_case(hyphenated, name);
    });
}

std::vector<std::string_view> authorization_values(const std::vector<http_header>& headers) {
    std::vector<std::string_view> values;
    for (const http_header& header : headers) {
        if (equal_ignoring_case(header.name, platform::header::authorization)) {
            values.push_back(header.value);
        }
    }
    return values;
}

} // namespace

std::optional<error_kind> authorize_request(const node_context& node, const route_contract& route,
                                            std::vector<http_header>& headers,
                                            request_credentials& credentials) {
    credentials.version = node.version;
    credentials.is_public = route.is_public;
    if (!requires_keys(node.credentials)) {
        credentials.is_nested = credentials.extends_running_id;
        return std::nullopt;
    }
    if (credentials.presented.form == credential_form::none) {
        credentials.presented = read_credential(authorization_values(headers));
    }
    remove_header(headers, platform::header::authorization);
    remove_header(headers, platform::header::tenant);
    const authorization decided =
        authorize(node.credentials, route, credentials.presented, credentials.extends_running_id);
    credentials.is_nested = decided.is_nested;
    credentials.priority.reset();
    if (decided.customer != nullptr) {
        headers.push_back({platform::header::tenant, decided.customer->name});
        credentials.priority = decided.customer->priority;
    }
    return decided.refusal;
}

bool needs_evidence(const node_context& node) {
    return node.evidence.revoke.count() > 0 && requires_keys(node.credentials);
}

std::optional<error_kind> check_evidence(const node_context& node, request_credentials& credentials,
                                         boot_time now) {
    const bool has_key = credentials.presented.form == credential_form::key;
    credentials.is_verified =
        !has_key || !needs_evidence(node) || is_verified(node.evidence, node.version, now);
    const bool is_refused = !credentials.is_verified && !credentials.is_public;
    return is_refused ? std::optional(error_kind::configuration_unverified) : std::nullopt;
}

void add_credentials(std::vector<http_header>& headers, const request_credentials& credentials) {
    const bool has_key = credentials.presented.form == credential_form::key;
    if (!credentials.is_verified) {
        remove_header(headers, platform::header::tenant);
    }
    headers.push_back({call_header::key_version, std::to_string(credentials.version)});
    if (has_key) {
        headers.push_back({call_header::key_digest, format_key_digest(credentials.presented.digest)});
    }
    if (credentials.is_nested || credentials.is_public) {
        headers.push_back({call_header::key_exempt, credentials.is_nested ? "nested" : "public"});
    }
}

request_credentials read_credentials(const std::function<std::string(const char* name)>& value_of) {
    request_credentials credentials;
    if (const auto digest = parse_key_digest(value_of(call_header::key_digest))) {
        credentials.presented = {credential_form::key, *digest};
    }
    const std::string exemption = value_of(call_header::key_exempt);
    credentials.is_nested = exemption == "nested";
    credentials.extends_running_id = credentials.is_nested;
    credentials.is_public = exemption == "public";
    credentials.version = parse_whole_number(value_of(call_header::key_version));
    return credentials;
}

std::optional<error_kind> reauthorize_request(const node_context& node, received_request& received,
                                              request_credentials& credentials) {
    if (credentials.version >= node.version || !node.active_contract) {
        return std::nullopt;
    }
    const route_contract* known = match_route(*node.active_contract, received.host, received.path);
    // The newer contract may have removed the route. Its requests still run, but not with a removed key.
    route_contract removed;
    removed.is_public = credentials.is_public;
    return authorize_request(node, known == nullptr ? removed : *known, received.request.headers,
                             credentials);
}

} // namespace waxwingfall
