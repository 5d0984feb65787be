#include "waxwingfall/cluster/seed_plan.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include "waxwingfall/support/random_source.h"

using namespace waxwingfall;

namespace {

/// Addresses that `nodes` nodes write when they start within 300 ms of each other, each looks 150 to 450 ms
/// after its start, an answer takes 4 ms, and a written address is found by the looks 10 ms later.
std::size_t play_herd(std::size_t nodes, std::uint64_t seed) {
    random_source random(seed);
    std::vector<milliseconds> looks;
    for (std::size_t index = 0; index < nodes; ++index) {
        const auto start = static_cast<std::int64_t>(random_below(random, 300));
        looks.push_back(milliseconds(start) + jittered(milliseconds(300), random));
    }
    std::sort(looks.begin(), looks.end());
    std::vector<milliseconds> written;
    for (const milliseconds look : looks) {
        const bool found = !written.empty() && written.front() + milliseconds(10) <= look;
        if (acts_as_bridge({false, 1, found, milliseconds(0)})) {
            written.push_back(look + milliseconds(4));
        }
    }
    return written.size();
}

} // namespace

// Before, each of them wrote: 1,840 calls in 0.5 s at 920 nodes, where the store takes 1,200 a second.
TEST(SeedPlan, InAHerdOnlyTheFirstFewWriteTheirAddress) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        EXPECT_LE(play_herd(81, seed), 20U);
        EXPECT_LE(play_herd(920, seed), 200U);
        EXPECT_GE(play_herd(920, seed), 1U);
    }
}

TEST(SeedPlan, ANodeThatCannotJoinAtWhatItFoundActsByItself) {
    EXPECT_FALSE(acts_as_bridge({false, 0, false, milliseconds(0)}));
    EXPECT_TRUE(acts_as_bridge({false, 1, false, milliseconds(0)}));
    EXPECT_FALSE(acts_as_bridge({false, 3, true, milliseconds(900)}));
    EXPECT_TRUE(acts_as_bridge({false, 5, true, milliseconds(3000)}));
    EXPECT_TRUE(acts_as_bridge({true, 0, false, milliseconds(0)}));
}
