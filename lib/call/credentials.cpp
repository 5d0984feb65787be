#include "waxwingfall/call/credentials.h"

#include <algorithm>
#include <cassert>
#include <cstring>

#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

key_digest to_key_digest(std::string_view bytes) {
    assert(bytes.size() == key_digest_bytes && "a valid contract holds digests of this size only");
    key_digest digest{};
    std::copy(bytes.begin(), bytes.end(), digest.begin());
    return digest;
}

bool is_bearer_scheme(std::string_view text) {
    constexpr std::string_view scheme = "bearer";
    constexpr char case_bit = 0x20;
    return std::equal(text.begin(), text.end(), scheme.begin(), scheme.end(),
                      [](char given, char wanted) { return static_cast<char>(given | case_bit) == wanted; });
}

} // namespace

std::size_t key_digest_hash::operator()(const key_digest& digest) const {
    std::size_t hash = 0;
    static_assert(sizeof(hash) <= key_digest_bytes);
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

credential_index make_credential_index(const contract& content) {
    credential_index index;
    index.requires_keys = content.customers.has_value();
    const auto customers = customers_of(content);
    std::size_t keys = 0;
    for (const customer_contract& customer : customers) {
        keys += customer.key_digests.size();
    }
    index.customers.reserve(customers.size());
    index.customers_by_key.reserve(keys);
    for (const customer_contract& customer : customers) {
        const auto position = static_cast<std::uint32_t>(index.customers.size());
        index.customers.push_back({customer.name, customer.priority});
        for (const std::string& digest : customer.key_digests) {
            index.customers_by_key.emplace(to_key_digest(digest), position);
        }
    }
    return index;
}

bool requires_keys(const credential_index& index) {
    return index.requires_keys;
}

authorization authorize(const credential_index& index, const route_contract& route,
                        const presented_credential& presented, bool extends_running_id) {
    if (!requires_keys(index)) {
        return {std::nullopt, nullptr, extends_running_id};
    }
    if (presented.form == credential_form::none && extends_running_id) {
        return {std::nullopt, nullptr, true};
    }
    if (presented.form == credential_form::key) {
        const auto found = index.customers_by_key.find(presented.digest);
        if (found != index.customers_by_key.end()) {
            return {std::nullopt, &index.customers[found->second], false};
        }
    }
    return {route.is_public ? std::nullopt : std::optional(error_kind::unknown_credential), nullptr, false};
}

key_digest digest_of_key(std::string_view key) {
    return to_key_digest(digest_of(key));
}

presented_credential read_credential(const std::vector<std::string_view>& authorization_values) {
    if (authorization_values.empty()) {
        return {};
    }
    const std::string_view key =
        authorization_values.size() == 1 ? bearer_key(authorization_values.front()) : std::string_view();
    return key.empty() ? presented_credential{credential_form::invalid, {}}
                       : presented_credential{credential_form::key, digest_of_key(key)};
}

std::string_view bearer_key(std::string_view authorization_value) {
    const std::size_t scheme_end = authorization_value.find(' ');
    if (scheme_end == std::string_view::npos ||
        !is_bearer_scheme(authorization_value.substr(0, scheme_end))) {
        return {};
    }
    const std::size_t start = authorization_value.find_first_not_of(' ', scheme_end);
    if (start == std::string_view::npos) {
        return {};
    }
    const std::size_t last = authorization_value.find_last_not_of(" \t");
    const std::string_view key = authorization_value.substr(start, last + 1 - start);
    return key.find_first_of(" \t") == std::string_view::npos ? key : std::string_view();
}

std::optional<key_digest> parse_key_digest(std::string_view text) {
    const auto bytes = from_hex(text);
    return bytes && bytes->size() == key_digest_bytes ? std::optional(to_key_digest(*bytes)) : std::nullopt;
}

std::string format_key_digest(const key_digest& digest) {
    return to_hex({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

} // namespace waxwingfall
