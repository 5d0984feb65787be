#include "waxwingfall/cluster/poll_schedule.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/support/random_source.h"

using namespace waxwingfall;

namespace {

const time_point start{std::chrono::hours(1)};

/// Shortest time that the users allow from the acceptance of a version until it is active.
constexpr milliseconds activation_bound{2000};

/// Requests that a node sent to the store, and the delays until it held the versions.
struct simulation_result {
    int watches = 0;
    int reads = 0;
    std::vector<milliseconds> delays; ///< from the acceptance of each version until the node held it
};

/// Simulates one node while versions are accepted at the times `accepted`. Peers send each version after
/// `peer_delay` until `peers_stop_at`. The store responds without delay, and an open watch returns the next
/// version immediately.
simulation_result simulate(const std::vector<milliseconds>& accepted, bool reads_for_others,
                           milliseconds peer_delay, milliseconds peers_stop_at, std::uint64_t seed) {
    random_source random(seed);
    simulation_result result;
    poll_inputs inputs{reads_for_others, start, start, false};
    std::vector<bool> held(accepted.size(), false);
    bool is_watching = false;
    const milliseconds end = accepted.back() + milliseconds(4000);
    const auto apply = [&](std::size_t index, milliseconds at) {
        for (std::size_t older = 0; older <= index; ++older) {
            if (!held[older]) {
                held[older] = true;
                inputs.last_update = start + at;
                result.delays.push_back(at - accepted[older]);
            }
        }
    };
    const auto finish_poll = [&](milliseconds at) {
        inputs.peers_have_newer = false;
        inputs.interval_ends = start + at + jittered(poll_interval(reads_for_others), random);
    };
    for (milliseconds at{0}; at < end; at += milliseconds(10)) {
        for (std::size_t index = 0; index < accepted.size(); ++index) {
            const milliseconds notified = accepted[index] + peer_delay;
            if (notified <= at && notified < peers_stop_at && !held[index]) {
                apply(index, at);
                inputs.peers_have_newer = true;
            }
        }
        const auto newest = std::upper_bound(accepted.begin(), accepted.end(), at) - accepted.begin();
        if (is_watching && newest > 0 && !held[static_cast<std::size_t>(newest - 1)]) {
            apply(static_cast<std::size_t>(newest - 1), at);
            is_watching = false;
            finish_poll(at);
        }
        const poll_schedule next_poll = schedule_poll(inputs);
        if (is_watching || start + at < next_poll.at) {
            continue;
        }
        if (next_poll.reads_current) {
            result.reads += 1;
            if (newest > 0) {
                apply(static_cast<std::size_t>(newest - 1), at);
            }
            finish_poll(at);
        } else {
            result.watches += 1;
            is_watching = true;
        }
    }
    return result;
}

/// Versions every 330 ms for 7 s, as when the configuration of a large deployment changes in quick
/// succession.
std::vector<milliseconds> frequent_versions() {
    std::vector<milliseconds> accepted;
    for (milliseconds at{1000}; at < milliseconds(8000); at += milliseconds(330)) {
        accepted.push_back(at);
    }
    return accepted;
}

} // namespace

TEST(PollSchedule, FollowerRarelyPollsWhilePeersSendFrequentVersions) {
    const simulation_result follower =
        simulate(frequent_versions(), false, milliseconds(150), milliseconds::max(), 1);
    EXPECT_LE(follower.watches + follower.reads, 4);
    const simulation_result bridge =
        simulate(frequent_versions(), true, milliseconds(150), milliseconds::max(), 1);
    EXPECT_GE(bridge.watches + bridge.reads, 10);
}

RC_GTEST_PROP(PollSchedule, NodeFindsEachVersionInTimeAfterPeersStopSending, ()) {
    const auto peers_stop_at = milliseconds(*rc::gen::inRange(0, 10'000));
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<milliseconds> accepted{milliseconds(500)};
    for (std::size_t index = 0; index < count; ++index) {
        accepted.push_back(accepted.back() + milliseconds(*rc::gen::inRange(10, 2500)));
    }
    const bool reads_for_others = *rc::gen::arbitrary<bool>();
    const simulation_result result = simulate(accepted, reads_for_others, milliseconds(150), peers_stop_at,
                                              *rc::gen::arbitrary<unsigned>());
    RC_ASSERT(result.delays.size() == accepted.size());
    for (const milliseconds delay : result.delays) {
        RC_ASSERT(delay <= max_poll_delay() + milliseconds(20));
    }
}

// Nodes with a tenth of a core take up to half a second to process a response.
TEST(PollSchedule, MaximumPollDelayLeavesTimeForASlowNode) {
    EXPECT_LE(max_poll_delay() + milliseconds(500), activation_bound);
}

// Guards against a late configuration: nodes paused after a connection had broken, while versions appeared.
TEST(PollSchedule, FirstFailureCausesNoPause) {
    random_source random(1);
    EXPECT_EQ(pause_after_failures(1, random), milliseconds(0));
}

// Guards against a late configuration: a node that the store had refused for long polled 7.5 s after its
// return.
TEST(PollSchedule, PauseEndsBeforeANodeIsHeldToItsBoundsAgain) {
    random_source random(1);
    constexpr std::uint32_t many = 1000;
    constexpr milliseconds held_after{3000};
    for (std::uint32_t failures = 1; failures < many; ++failures) {
        EXPECT_LE(pause_after_failures(failures, random), held_after) << failures;
    }
    EXPECT_GE(pause_after_failures(2, random), milliseconds(150));
    EXPECT_GE(pause_after_failures(many, random), milliseconds(1000));
}
