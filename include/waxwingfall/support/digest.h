#ifndef WAXWINGFALL_SUPPORT_DIGEST_H
#define WAXWINGFALL_SUPPORT_DIGEST_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingfall {

/// Returns the first 16 bytes of the SHA-256 digest of `content`, as raw bytes.
std::string digest_of(std::string_view content);

/// Returns a 64-bit hash that is the same on every machine and in every program version. Used for node ids,
/// rendezvous hashing and shard numbers. Not suitable for input that an adversary chooses.
std::uint64_t stable_hash(std::string_view content);

/// Combines two values into a uniformly distributed 64-bit hash that is the same on every machine.
std::uint64_t mix_hash(std::uint64_t left, std::uint64_t right);

/// Formats raw bytes as lower-case hexadecimal digits.
std::string to_hex(std::string_view bytes);

/// Parses pairs of hexadecimal digits of either case into raw bytes; returns nothing for any other text.
std::optional<std::string> from_hex(std::string_view digits);

} // namespace waxwingfall

#endif
