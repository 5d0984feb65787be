#ifndef WAXWINGFALL_CLUSTER_SEED_PLAN_H
#define WAXWINGFALL_CLUSTER_SEED_PLAN_H

#include <cstdint>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// What bears on whether a node that the ring makes a bridge acts as one: reads the platform for others and
/// keeps its address there for joiners.
struct seed_question {
    bool joined = false;         ///< knows the other nodes, so the ring can be trusted
    std::uint32_t looks = 0;     ///< answered looks for the addresses of others at the platform
    bool found_others = false;   ///< the last one found addresses to join at
    milliseconds since_found{0}; ///< since a look first found some
    auto operator<=>(const seed_question&) const = default;
};

/// True if the node acts as a bridge. Answers the start of a whole deployment: a node that has not joined yet
/// takes itself for the only one, so each of a herd would write an address. Those that find one join there
/// first; if nobody lives at the addresses, they write their own after a few seconds.
bool acts_as_bridge(const seed_question& question);

} // namespace waxwingfall

#endif
