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

/// A version of an environment with the digest of its content. Versions only grow; the digest makes two
/// contents under one version visible.
struct version_mark {
    std::uint64_t version = 0; ///< 0 stands for no version
    std::string digest;        ///< 16 raw bytes, empty for no version
    auto operator<=>(const version_mark&) const = default;
};

/// The bytes of a contract in the one form that digests are taken of.
std::string encode_contract(const contract& content);

/// Reads bytes made by `encode_contract`. Returns nothing if they do not parse, break a rule of the document,
/// or are not in that one form.
std::optional<contract> decode_contract(std::string_view bytes);

/// The reason why `decode_contract` refuses `bytes`, or an empty text if it accepts them.
std::string why_refused(std::string_view bytes);

/// The bytes of the difference from `base` to `target`; both are encoded contracts. Returns nothing if either
/// does not parse.
std::optional<std::string> make_delta(std::string_view base, std::string_view target);

/// Applies the bytes of a delta to an encoded contract. The result is neither checked nor compared with a
/// digest: the caller does both. Returns nothing if either does not parse.
std::optional<std::string> apply_delta(std::string_view base, std::string_view delta);

/// One line of a readable difference: "+ service x", "- route h/p" or "~ service x: timeout_ms 2000 -> 900".
std::vector<std::string> describe_difference(const contract& before, const contract& after);

/// The route that the request's host and path match best: the longest prefix of whole segments. Null if none.
const route_contract* match_route(const contract& content, std::string_view host, std::string_view path);

} // namespace waxwingfall

#endif
