#ifndef WAXWINGFALL_CONTRACT_SNAPSHOT_H
#define WAXWINGFALL_CONTRACT_SNAPSHOT_H

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfall/contract/document.h"

namespace waxwingfall {

/// Identifies a version of an environment's contract. Versions increase monotonically; the digest detects two
/// different contents that were published under one version number.
struct version_id {
    std::uint64_t version = 0; ///< 0 means no version
    std::string digest;        ///< 16 raw bytes; empty if there is no version
    auto operator<=>(const version_id&) const = default;
};

/// Serializes a contract into its canonical form, over which digests are computed.
std::string encode_contract(const contract& content);

/// Parses bytes written by `encode_contract`. Returns nothing if they do not parse, violate a rule of the
/// document, or are not in canonical form.
std::optional<contract> decode_contract(std::string_view bytes);

/// Returns the reason why `decode_contract` rejects `bytes`, or an empty string if it accepts them.
std::string rejection_reason(std::string_view bytes);

/// Serializes the difference from `base` to `target`, which are encoded contracts. Returns nothing if either
/// does not parse.
std::optional<std::string> make_delta(std::string_view base, std::string_view target);

/// Applies a serialized delta to an encoded contract. The calling code must validate the result and compare
/// its digest. Returns nothing if either input does not parse.
std::optional<std::string> apply_delta(std::string_view base, std::string_view delta);

/// Lists the differences between two contracts for people, one per line: "+ service x", "- route h/p" or
/// "~ service x: timeout_ms 2000 -> 900".
std::vector<std::string> describe_difference(const contract& before, const contract& after);

/// Returns the route with the longest prefix of complete path segments that matches the request, or null.
const route_contract* match_route(const contract& content, std::string_view host, std::string_view path);

} // namespace waxwingfall

#endif
