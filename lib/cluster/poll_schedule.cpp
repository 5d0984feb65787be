#include "waxwingfall/cluster/poll_schedule.h"

#include <algorithm>

namespace waxwingfall {

namespace {

/// Lets one call read several versions that follow each other closely. A quarter of the shortest time within
/// which a configuration has to become active (2 s).
constexpr milliseconds bridge_poll_interval{500};

/// Less than half of the 2 s, and longer than bridges take to send the next version when versions follow
/// each other closely.
constexpr milliseconds follower_poll_interval{800};

/// Pause after the second failed read in a row; doubles with each further one.
constexpr milliseconds first_pause{300};
/// With jitter 3 s: after this time without a disruption a node is held to the bound of configurations again.
constexpr milliseconds max_pause{2'000};

/// `jittered` returns up to one and a half times its base.
constexpr int jitter_numerator = 3;
constexpr int jitter_denominator = 2;

} // namespace

poll_schedule schedule_poll(const poll_inputs& inputs) {
    if (inputs.reads_for_others) {
        return {inputs.interval_ends, false};
    }
    return {std::max(inputs.interval_ends, inputs.last_update + follower_poll_interval),
            inputs.peers_have_newer};
}

milliseconds pause_after_failures(std::uint32_t failures, random_source& random) {
    milliseconds pause{0};
    for (std::uint32_t failure = 1; failure < failures && pause < max_pause; ++failure) {
        pause = std::clamp(pause * 2, first_pause, max_pause);
    }
    return jittered(pause, random);
}

milliseconds poll_interval(bool reads_for_others) {
    return reads_for_others ? bridge_poll_interval : follower_poll_interval;
}

milliseconds max_poll_delay() {
    return follower_poll_interval * jitter_numerator / jitter_denominator;
}

} // namespace waxwingfall
