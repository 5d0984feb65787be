#ifndef WAXWINGFALL_CLUSTER_POLL_SCHEDULE_H
#define WAXWINGFALL_CLUSTER_POLL_SCHEDULE_H

#include <cstdint>

#include "waxwingfall/support/random_source.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Inputs of `schedule_poll`.
struct poll_inputs {
    bool reads_for_others = false; ///< the node is a bridge, from which its peers learn of new versions
    time_point interval_ends;      ///< of the minimum interval after the last poll
    time_point last_update;        ///< when the node last received a newer version, from any source
    bool peers_have_newer = false; ///< than the version that its last poll returned
    auto operator<=>(const poll_inputs&) const = default;
};

/// Time and kind of the next poll.
struct poll_schedule {
    time_point at;
    /// Reads the current version; a watch would return every version since the last poll.
    bool reads_current = false;
    auto operator<=>(const poll_schedule&) const = default;
};

/// Schedules the next poll of the platform for a newer configuration. Each poll transfers full contents over
/// a slow link, while peers send deltas; this matters when large configurations change in quick succession. A
/// node that is not a bridge therefore doesn't poll while peers keep sending newer versions, and polls at
/// most `max_poll_delay` after they stop.
poll_schedule schedule_poll(const poll_inputs& inputs);

/// Times that bound how long a node can miss a new version whose notification by the store is lost.
struct read_limits {
    milliseconds watch_wait{0};       ///< for a change, after which the store responds without one
    milliseconds response_timeout{0}; ///< beyond that, and of a read, until the response begins
    milliseconds max_pause{0};        ///< after failed reads, jitter included
    auto operator<=>(const read_limits&) const = default;
};

/// Returns the limits of a node's reads. Those of bridges are short, because a watch that the store never
/// answers looks like one without changes while its connection is alive. Other nodes learn of new versions
/// from the bridges as well, so their watches are long and cost the store little.
read_limits limits_of_reads(bool reads_for_others);

/// Returns the longest time from the moment at which the store responds again until a node has started a read
/// that succeeds, if it depends on its own reads alone.
milliseconds max_deaf_time(const read_limits& limits);

/// A read or watch that waits for its response.
struct open_read {
    time_point started;
    bool is_watch = false;
    bool is_receiving = false; ///< the response has begun
    auto operator<=>(const open_read&) const = default;
};

/// True if the response to a read is overdue, so that another read should be started beside it: the store
/// should have responded, the node has become a bridge while its long watch was open, or peers have sent a
/// newer version and the store has not. A late response is still of use.
bool is_overdue(const open_read& read, const poll_inputs& inputs, time_point now);

/// Returns the pause after the last of `failures` reads in a row that got no response in time or a refusal.
/// There is none after the first one: its connection may have broken while the store is well and has newer
/// versions.
milliseconds pause_after_failures(std::uint32_t failures, bool reads_for_others, random_source& random);

/// Returns the mean time between the end of a poll and the next one.
milliseconds poll_interval(bool reads_for_others);

/// Returns the longest time until a poll finds a new version that no peer sends.
milliseconds max_poll_delay();

} // namespace waxwingfall

#endif
