#ifndef WAXWINGFALL_CALL_IDEMPOTENCY_KEY_H
#define WAXWINGFALL_CALL_IDEMPOTENCY_KEY_H

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A caller's idempotency key: a UUID of version 7 (RFC 9562), whose first 48 bits are the wall-clock time in
/// milliseconds at which the caller made it. The time bounds how long records must be kept, and lets a new
/// owner of records tell a key that was made after it took over from one that its predecessors may have seen.
struct idempotency_key {
    std::string bytes; ///< 16 raw bytes
    wall_ms made = 0;
    auto operator<=>(const idempotency_key&) const = default;
};

/// Reads the text form with four hyphens, in either case. Returns nothing for any other version or variant.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

/// The text form of a key made at `made` with the 74 random bits taken from two numbers.
std::string make_idempotency_key(wall_ms made, std::uint64_t random_high, std::uint64_t random_low);

} // namespace waxwingfall

#endif
