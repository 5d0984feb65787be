#ifndef WAXWINGFALL_CALL_IDEMPOTENCY_KEY_H
#define WAXWINGFALL_CALL_IDEMPOTENCY_KEY_H

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A client's idempotency key: a UUID of version 7 (RFC 9562), whose first 48 bits are the wall-clock time in
/// milliseconds at which the client created it. The creation time bounds how long records must be kept. It
/// also lets a new owner of a shard distinguish keys created after the takeover from those that the previous
/// owners may have granted.
struct idempotency_key {
    std::string bytes; ///< 16 raw bytes
    wall_ms created_at = 0;
    auto operator<=>(const idempotency_key&) const = default;
};

/// Parses the hyphenated text form, in either case. Returns nothing if the text is malformed or has another
/// version or variant.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

/// Returns the text form of a key created at `created_at`, with its 74 random bits taken from the two
/// numbers.
std::string make_idempotency_key(wall_ms created_at, std::uint64_t random_high, std::uint64_t random_low);

} // namespace waxwingfall

#endif
