#ifndef WAXWINGFALL_SUPPORT_DIGEST_H
#define WAXWINGFALL_SUPPORT_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingfall {

/// The first 16 bytes of the SHA-256 of `content`, as raw bytes.
std::string digest_of(std::string_view content);

/// A 64-bit hash that is the same on every machine and in every program version. Used for node ids,
/// rendezvous hashing and shard numbers; not for content that an adversary chooses.
std::uint64_t stable_hash(std::string_view content);

/// A well-mixed 64-bit hash of two values, the same on every machine.
std::uint64_t mix_hash(std::uint64_t left, std::uint64_t right);

/// Lower-case hexadecimal text of raw bytes.
std::string to_hex(std::string_view bytes);

} // namespace waxwingfall

#endif
