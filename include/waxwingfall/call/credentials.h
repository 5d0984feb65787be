#ifndef WAXWINGFALL_CALL_CREDENTIALS_H
#define WAXWINGFALL_CALL_CREDENTIALS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "waxwingfall/contract/document.h"
#include "waxwingfall/support/error.h"

namespace waxwingfall {

/// The digest of a customer's key, as `digest_of` computes it.
using key_digest = std::array<unsigned char, key_digest_bytes>;

/// Hashes a digest by its first bytes, which are uniformly distributed.
struct key_digest_hash {
    std::size_t operator()(const key_digest& digest) const;
};

/// The customers of one contract by the digests of their keys. Built once when a contract is enforced, so
/// that a request costs one hash lookup, however many customers there are.
struct credential_index {
    /// What a request needs to know of its customer.
    struct customer {
        std::string name;
        std::optional<std::uint32_t> priority; ///< replaces that of the route
        auto operator<=>(const customer&) const = default;
    };
    bool requires_keys = false; ///< the contract has a table of customers, be it empty
    std::vector<customer> customers;
    /// Positions in `customers`.
    std::unordered_map<key_digest, std::uint32_t, key_digest_hash> customers_by_key;
};

/// Builds the index of a valid contract.
credential_index make_credential_index(const contract& content);

/// True if requests need the key of a customer, except nested ones and those on public routes.
bool requires_keys(const credential_index& index);

/// What a contract decides about the key of a request.
struct authorization {
    std::optional<error_kind> refusal;
    /// Points into the index; null if the request has no customer.
    const credential_index::customer* customer = nullptr;
    auto operator<=>(const authorization&) const = default;
};

/// Decides whether a request may run and on behalf of which customer. Without a table of customers in the
/// contract every request may run on behalf of none. `presented` is the digest of the request's key, if it
/// has one; `is_nested` tells that a local worker sent it on behalf of a request that it runs.
authorization authorize(const credential_index& index, const route_contract& route,
                        const std::optional<key_digest>& presented, bool is_nested);

/// Returns the digest of a key.
key_digest digest_of_key(std::string_view key);

/// Extracts the key from the value of an `Authorization` header: the scheme `Bearer`, in any case, spaces and
/// the key, which has no spaces. Returns an empty view if the value has another form.
std::string_view bearer_key(std::string_view authorization_value);

/// Parses a digest of 32 hexadecimal digits; returns nothing for any other text.
std::optional<key_digest> parse_key_digest(std::string_view text);

/// Formats a digest as 32 lower-case hexadecimal digits.
std::string format_key_digest(const key_digest& digest);

} // namespace waxwingfall

#endif
