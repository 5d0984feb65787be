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

/// Form of the credential that a request presents.
enum class credential_form : std::uint8_t {
    none,    ///< the request has no `Authorization` header
    invalid, ///< it has several such headers, or one whose value is not a bearer key
    key,
};

/// The credential that a request presents.
struct presented_credential {
    credential_form form = credential_form::none;
    key_digest digest{}; ///< of the key; all zeros for the other forms
    auto operator<=>(const presented_credential&) const = default;
};

/// What a contract decides about a request from its credential.
struct authorization {
    std::optional<error_kind> refusal;
    /// Points into the index; null if the request has no customer.
    const credential_index::customer* customer = nullptr;
    bool is_nested = false; ///< admitted as a call of the local worker
    auto operator<=>(const authorization&) const = default;
};

/// Decides whether a request may run, on behalf of which customer, and whether as a nested call.
/// `extends_running_id` tells that its id extends that of a request that the local worker runs. Clients
/// choose their ids, so this admits nothing that presents a credential: workers call without one.
///
///     customers in the contract  credential       id extends  route    decision
///     no                         any              any         any      runs; nested if the id extends
///     yes                        known key        any         any      runs for the key's customer
///     yes                        other key        any         public   runs without a customer
///     yes                        other key        any         keyed    unknown_credential
///     yes                        invalid          any         public   runs without a customer
///     yes                        invalid          any         keyed    unknown_credential
///     yes                        none             yes         any      runs as a nested call
///     yes                        none             no          public   runs without a customer
///     yes                        none             no          keyed    unknown_credential
authorization authorize(const credential_index& index, const route_contract& route,
                        const presented_credential& presented, bool extends_running_id);

/// Returns the digest of a key.
key_digest digest_of_key(std::string_view key);

/// Reads the credential in the values of all `Authorization` headers of a request. Several headers are
/// invalid, since another reader of the request might choose a different one.
presented_credential read_credential(const std::vector<std::string_view>& authorization_values);

/// Extracts the key from the value of an `Authorization` header: the scheme `Bearer`, in any case, spaces and
/// the key, which has no spaces. Returns an empty view if the value has another form.
std::string_view bearer_key(std::string_view authorization_value);

/// Parses a digest of 32 hexadecimal digits; returns nothing for any other text.
std::optional<key_digest> parse_key_digest(std::string_view text);

/// Formats a digest as 32 lower-case hexadecimal digits.
std::string format_key_digest(const key_digest& digest);

} // namespace waxwingfall

#endif
