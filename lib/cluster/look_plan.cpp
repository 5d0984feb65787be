#include "waxwingfall/cluster/look_plan.h"

#include <algorithm>

namespace waxwingfall {

namespace {

/// Versions that follow closely are then read with one call. A quarter of the shortest time in which a
/// configuration has to be in force (2 s).
constexpr milliseconds bridge_spacing{500};

/// Less than half of that time, and longer than bridges in a storm take to pass on the next version.
constexpr milliseconds follower_spacing{800};

/// `jittered` draws up to one and a half times its base.
constexpr int jitter_numerator = 3;
constexpr int jitter_denominator = 2;

} // namespace

look_plan plan_look(const look_question& question) {
    if (question.reads_for_others) {
        return {question.spacing_ends, false};
    }
    return {std::max(question.spacing_ends, question.learned + follower_spacing), question.was_told_by_peers};
}

milliseconds look_spacing(bool reads_for_others) {
    return reads_for_others ? bridge_spacing : follower_spacing;
}

milliseconds longest_look_wait() {
    return follower_spacing * jitter_numerator / jitter_denominator;
}

} // namespace waxwingfall
