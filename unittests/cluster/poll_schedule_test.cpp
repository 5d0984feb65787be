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

/// Returns how long after the end of a silence of the store a node reads again, depending on its own reads
/// alone. Calls that arrive during the silence get no response, nor do watches that are open when it begins.
milliseconds deaf_time_after(milliseconds silent_from, milliseconds silent_for, bool reads_for_others,
                             unsigned seed) {
    random_source random(seed);
    const read_limits limits = limits_of_reads(reads_for_others);
    const milliseconds silent_until = silent_from + silent_for;
    std::uint32_t failures = 0;
    milliseconds at{0};
    while (true) {
        const bool is_watch = failures == 0;
        const milliseconds response_at = at + (is_watch ? limits.watch_wait : milliseconds(0));
        if (at >= silent_until) {
            return at - silent_until;
        }
        if (response_at < silent_from) {
            at = response_at + jittered(poll_interval(reads_for_others), random);
            continue;
        }
        at = response_at + limits.response_timeout +
             pause_after_failures(++failures, reads_for_others, random);
    }
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
    EXPECT_EQ(pause_after_failures(1, false, random), milliseconds(0));
}

// Guards against a late configuration: a node that the store had refused for long polled 7.5 s after its
// return.
TEST(PollSchedule, PauseEndsBeforeANodeIsHeldToItsBoundsAgain) {
    random_source random(1);
    constexpr std::uint32_t many = 1000;
    constexpr milliseconds held_after{3000};
    for (std::uint32_t failures = 1; failures < many; ++failures) {
        EXPECT_LE(pause_after_failures(failures, false, random), held_after) << failures;
    }
    for (std::uint32_t failures = 1; failures < many; ++failures) {
        EXPECT_LE(pause_after_failures(failures, true, random), limits_of_reads(true).max_pause) << failures;
    }
    EXPECT_GE(pause_after_failures(2, false, random), milliseconds(150));
    EXPECT_GE(pause_after_failures(many, false, random), milliseconds(1000));
}

// Guards against a late configuration: bridges missed changes for up to 33 s after a silence of the store.
RC_GTEST_PROP(PollSchedule, BridgeReadsSoonAfterASilenceOfTheStore, ()) {
    const auto silent_from = milliseconds(*rc::gen::inRange(0, 10'000));
    const auto silent_for = milliseconds(*rc::gen::inRange(0, 30'000));
    const auto seed = *rc::gen::arbitrary<unsigned>();
    RC_ASSERT(deaf_time_after(silent_from, silent_for, true, seed) <= max_deaf_time(limits_of_reads(true)));
}

// Guards against a bridge that reads again only after nodes are held to the bound of configurations again.
TEST(PollSchedule, DeafTimeOfBridgesFitsIntoTheBoundsOfEachDeployment) {
    struct deployment {
        int nodes;
        milliseconds stable;
    };
    constexpr milliseconds read_time{500};
    constexpr milliseconds distribution_time{500};
    for (const deployment& site : {deployment{9, milliseconds(3000)}, deployment{88, milliseconds(3000)},
                                   deployment{295, milliseconds(4000)}}) {
        EXPECT_LE(max_deaf_time(limits_of_reads(true)) + read_time + distribution_time, site.stable)
            << site.nodes;
    }
}

TEST(PollSchedule, ReadIsOverdueOnceAVersionOfAPeerShouldHaveBeenNotified) {
    const open_read read{start, true, false};
    const poll_inputs follower{false, start, start + milliseconds(500), true};
    EXPECT_FALSE(is_overdue(read, follower, start + milliseconds(1400)));
    EXPECT_TRUE(is_overdue(read, follower, start + milliseconds(1600)));
    EXPECT_FALSE(is_overdue({start, true, true}, follower, start + milliseconds(1600)));
    const open_read later{start + milliseconds(600), true, false};
    EXPECT_FALSE(is_overdue(later, follower, start + milliseconds(1600)));
    const poll_inputs up_to_date{false, start, start + milliseconds(500), false};
    EXPECT_FALSE(is_overdue(read, up_to_date, start + milliseconds(29'000)));
}

TEST(PollSchedule, LongWatchOfANodeThatHasBecomeABridgeIsOverdue) {
    const poll_inputs bridge{true, start, start, false};
    EXPECT_FALSE(is_overdue({start, true, false}, bridge, start + milliseconds(2000)));
    EXPECT_TRUE(is_overdue({start, true, false}, bridge, start + milliseconds(2100)));
}

TEST(PollSchedule, ReadWithoutAResponseIsOverdueSoonerThanAWatch) {
    for (const bool reads_for_others : {false, true}) {
        const poll_inputs inputs{reads_for_others, start, start, false};
        EXPECT_FALSE(is_overdue({start, false, false}, inputs, start + milliseconds(750)));
        EXPECT_TRUE(is_overdue({start, false, false}, inputs, start + milliseconds(800)));
        EXPECT_FALSE(is_overdue({start, false, true}, inputs, start + milliseconds(800)));
    }
}
