#ifndef WAXWINGFALL_CALL_CRASH_DETECTOR_H
#define WAXWINGFALL_CALL_CRASH_DETECTOR_H

#include <cstdint>
#include <optional>
#include <vector>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Result of a health probe that follows a broken connection.
enum class probe_result : std::uint8_t {
    responded, ///< the worker responded, whatever the status
    refused,   ///< nothing listens at the worker's address
    lost       ///< the connection was established, and no response came
};

/// Settings of crash detection after broken connections.
struct crash_detector_policy {
    /// Delay before a lost probe is repeated. A process that exits closes its connections before its
    /// listening socket, so a probe in between is lost and shows nothing. Exits of the worker stand-in took
    /// up to 30 ms on a loaded machine.
    milliseconds probe_interval{50};
    std::uint32_t max_lost_probes = 4; ///< lost probes after which the worker counts as crashed
    /// Age of a break from which a response counts as a sign of life. A crash leaves responses in the node's
    /// socket buffers that are read shortly after the break.
    milliseconds settle_time{20};
    auto operator<=>(const crash_detector_policy&) const = default;
};

/// Requests whose connection to the worker broke while they ran, until probes have shown whether the worker
/// crashed. Their responses are held back until then, so that a node that retries elsewhere learns of the
/// crash.
struct crash_detector {
    crash_detector_policy policy;
    std::vector<std::uint64_t> broken; ///< ids of the requests, in the order in which their connections broke
    std::uint32_t lost_probes = 0;
    std::vector<time_point> broken_at; ///< when their connections broke
};

/// What a probe result shows about the broken requests.
struct crash_finding {
    bool crashed = false;
    std::vector<std::uint64_t> decided;      ///< requests whose responses need not be held back any more
    std::optional<milliseconds> probe_after; ///< set if another probe is needed: the delay before it
    auto operator<=>(const crash_finding&) const = default;
};

/// Adds a request whose connection broke. True if a probe must be sent for it now.
bool add_broken_request(crash_detector& state, std::uint64_t request, time_point now);

/// Applies the result of a probe that was sent after the last `add_broken_request` that asked for one.
crash_finding apply_probe_result(crash_detector& state, probe_result result);

/// True if the end of a worker is evidence against the requests that it ran. A worker that said that it
/// leaves ends by itself, also while it still runs requests.
bool is_crash_evidence(bool crashed, bool leaving);

/// Applies the complete response to a request that was sent to the worker at `sent_at`. A crash breaks all
/// connections, so requests that broke after `sent_at` and some time ago did not break by a crash. A
/// worker that is full resets new connections, those of probes as well.
crash_finding apply_sign_of_life(crash_detector& state, time_point sent_at, time_point now);

} // namespace waxwingfall

#endif
