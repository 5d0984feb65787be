#ifndef WAXWINGFALL_SUPPORT_RANDOM_SOURCE_H
#define WAXWINGFALL_SUPPORT_RANDOM_SOURCE_H

#include <cstdint>
#include <random>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// The random number generator that decision functions take as an argument; tests pass one with a fixed seed.
using random_source = std::mt19937_64;

/// Returns a uniformly distributed number from 0 to `bound` - 1; `bound` must be at least 1.
inline std::uint64_t random_below(random_source& random, std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

/// Returns a delay that is uniformly distributed between 0.5 and 1.5 times `base`.
inline milliseconds jittered(milliseconds base, random_source& random) {
    const auto span = static_cast<std::uint64_t>(base.count());
    return milliseconds(base.count() / 2 + static_cast<std::int64_t>(random_below(random, span + 1)));
}

} // namespace waxwingfall

#endif
