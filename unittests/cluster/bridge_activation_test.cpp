#include "waxwingfall/cluster/bridge_activation.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include "waxwingfall/support/random_source.h"

using namespace waxwingfall;

namespace {

/// Returns how many of `nodes` nodes write an address when they start within 300 ms of each other, each polls
/// 150 to 450 ms after its start, a write takes effect after 4 ms, and polls find a written address 10 ms
/// later.
std::size_t count_addresses_written(std::size_t nodes, std::uint64_t seed) {
    random_source random(seed);
    std::vector<milliseconds> polls;
    for (std::size_t index = 0; index < nodes; ++index) {
        const auto start = static_cast<std::int64_t>(random_below(random, 300));
        polls.push_back(milliseconds(start) + jittered(milliseconds(300), random));
    }
    std::sort(polls.begin(), polls.end());
    std::vector<milliseconds> written;
    for (const milliseconds poll : polls) {
        const bool found = !written.empty() && written.front() + milliseconds(10) <= poll;
        if (acts_as_bridge({false, 1, found, milliseconds(0)})) {
            written.push_back(poll + milliseconds(4));
        }
    }
    return written.size();
}

} // namespace

// If every node writes its address, 920 nodes send 1,840 calls in 0.5 s to a store that handles 1,200 per
// second.
TEST(BridgeActivation, OnlyAFewNodesWriteTheirAddressAtASimultaneousStart) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        EXPECT_LE(count_addresses_written(81, seed), 20U);
        EXPECT_LE(count_addresses_written(920, seed), 200U);
        EXPECT_GE(count_addresses_written(920, seed), 1U);
    }
}

TEST(BridgeActivation, NodeThatCannotJoinAtFoundAddressesBecomesABridge) {
    EXPECT_FALSE(acts_as_bridge({false, 0, false, milliseconds(0)}));
    EXPECT_TRUE(acts_as_bridge({false, 1, false, milliseconds(0)}));
    EXPECT_FALSE(acts_as_bridge({false, 3, true, milliseconds(900)}));
    EXPECT_TRUE(acts_as_bridge({false, 5, true, milliseconds(3000)}));
    EXPECT_TRUE(acts_as_bridge({true, 0, false, milliseconds(0)}));
}
