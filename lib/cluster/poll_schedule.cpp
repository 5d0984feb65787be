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
constexpr milliseconds max_follower_pause{2'000};
/// With jitter and the response timeout no longer than the watch of a bridge.
constexpr milliseconds max_bridge_pause{800};

/// With the response timeout 2 s, which leaves 1 s for the read and its distribution until nodes are held to
/// the bound of configurations again.
constexpr milliseconds bridge_watch_wait{1'250};
/// The longest wait that the store supports.
constexpr milliseconds follower_watch_wait{30'000};
/// Three times as long as a store that is slowed sixtyfold takes.
constexpr milliseconds response_timeout{750};
/// From a version that a peer sent until the store's notification of it is overdue.
constexpr milliseconds notification_timeout{1'000};

/// `jittered` returns up to one and a half times its base.
constexpr int jitter_numerator = 3;
constexpr int jitter_denominator = 2;

milliseconds max_pause(bool reads_for_others) {
    return reads_for_others ? max_bridge_pause : max_follower_pause;
}

} // namespace

poll_schedule schedule_poll(const poll_inputs& inputs) {
    if (inputs.reads_for_others) {
        return {inputs.interval_ends, false};
    }
    return {std::max(inputs.interval_ends, inputs.last_update + follower_poll_interval),
            inputs.peers_have_newer};
}

read_limits limits_of_reads(bool reads_for_others) {
    return {reads_for_others ? bridge_watch_wait : follower_watch_wait, response_timeout,
            max_pause(reads_for_others) * jitter_numerator / jitter_denominator};
}

milliseconds max_deaf_time(const read_limits& limits) {
    return limits.response_timeout + std::max(limits.watch_wait, limits.max_pause);
}

bool is_overdue(const open_read& read, const poll_inputs& inputs, time_point now) {
    if (read.is_receiving) {
        return false;
    }
    const read_limits limits = limits_of_reads(inputs.reads_for_others);
    const milliseconds wait = read.is_watch ? limits.watch_wait : milliseconds(0);
    if (now - read.started > wait + limits.response_timeout) {
        return true;
    }
    return !inputs.reads_for_others && inputs.peers_have_newer && read.started < inputs.last_update &&
           now - inputs.last_update > notification_timeout;
}

milliseconds pause_after_failures(std::uint32_t failures, bool reads_for_others, random_source& random) {
    milliseconds pause{0};
    for (std::uint32_t failure = 1; failure < failures && pause < max_pause(reads_for_others); ++failure) {
        pause = std::clamp(pause * 2, first_pause, max_pause(reads_for_others));
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
