#include "waxwingfall/cluster/look_plan.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/support/random_source.h"

using namespace waxwingfall;

namespace {

const time_point start{std::chrono::hours(1)};

/// In force within this time of its acceptance: the shortest that the users ask for.
constexpr milliseconds in_force_bound{2000};

/// What a node asked of the store while versions came.
struct played {
    int watches = 0;
    int reads = 0;
    std::vector<milliseconds> late; ///< of each version, until the node held it
};

/// Plays versions that are accepted at `accepted` to one node; peers pass on those before `cut_at` after
/// `peer_delay`. Answers of the store take no time, and an open watch returns the next version at once.
played play(const std::vector<milliseconds>& accepted, bool reads_for_others, milliseconds peer_delay,
            milliseconds cut_at, std::uint64_t seed) {
    random_source random(seed);
    played seen;
    look_question question{reads_for_others, start, start, false};
    std::vector<bool> held(accepted.size(), false);
    bool is_watching = false;
    const milliseconds end = accepted.back() + milliseconds(4000);
    const auto take = [&](std::size_t index, milliseconds at) {
        for (std::size_t older = 0; older <= index; ++older) {
            if (!held[older]) {
                held[older] = true;
                question.learned = start + at;
                seen.late.push_back(at - accepted[older]);
            }
        }
    };
    const auto looked = [&](milliseconds at) {
        question.was_told_by_peers = false;
        question.spacing_ends = start + at + jittered(look_spacing(reads_for_others), random);
    };
    for (milliseconds at{0}; at < end; at += milliseconds(10)) {
        for (std::size_t index = 0; index < accepted.size(); ++index) {
            const milliseconds told = accepted[index] + peer_delay;
            if (told <= at && told < cut_at && !held[index]) {
                take(index, at);
                question.was_told_by_peers = true;
            }
        }
        const auto newest = std::upper_bound(accepted.begin(), accepted.end(), at) - accepted.begin();
        if (is_watching && newest > 0 && !held[static_cast<std::size_t>(newest - 1)]) {
            take(static_cast<std::size_t>(newest - 1), at);
            is_watching = false;
            looked(at);
        }
        const look_plan plan = plan_look(question);
        if (is_watching || start + at < plan.at) {
            continue;
        }
        if (plan.reads_current) {
            seen.reads += 1;
            if (newest > 0) {
                take(static_cast<std::size_t>(newest - 1), at);
            }
            looked(at);
        } else {
            seen.watches += 1;
            is_watching = true;
        }
    }
    return seen;
}

/// Versions every 330 ms for 7 s, as in the storms of the grown deployments.
std::vector<milliseconds> storm() {
    std::vector<milliseconds> accepted;
    for (milliseconds at{1000}; at < milliseconds(8000); at += milliseconds(330)) {
        accepted.push_back(at);
    }
    return accepted;
}

} // namespace

TEST(LookPlan, InAStormANodeThatPeersKeepToldHardlyLooks) {
    const played follower = play(storm(), false, milliseconds(150), milliseconds::max(), 1);
    EXPECT_LE(follower.watches + follower.reads, 4);
    const played bridge = play(storm(), true, milliseconds(150), milliseconds::max(), 1);
    EXPECT_GE(bridge.watches + bridge.reads, 10);
}

RC_GTEST_PROP(LookPlan, ANodeThatItsPeersForsakeStillFindsEachVersionInTime, ()) {
    const auto cut_at = milliseconds(*rc::gen::inRange(0, 10'000));
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<milliseconds> accepted{milliseconds(500)};
    for (std::size_t index = 0; index < count; ++index) {
        accepted.push_back(accepted.back() + milliseconds(*rc::gen::inRange(10, 2500)));
    }
    const bool reads_for_others = *rc::gen::arbitrary<bool>();
    const played seen =
        play(accepted, reads_for_others, milliseconds(150), cut_at, *rc::gen::arbitrary<unsigned>());
    RC_ASSERT(seen.late.size() == accepted.size());
    for (const milliseconds late : seen.late) {
        RC_ASSERT(late <= longest_look_wait() + milliseconds(20));
    }
}

// Nodes with a tenth of a core take up to half a second to come to an answer.
TEST(LookPlan, TheLongestWaitLeavesRoomForASlowNode) {
    EXPECT_LE(longest_look_wait() + milliseconds(500), in_force_bound);
}
