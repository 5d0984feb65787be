#ifndef WAXWINGFALL_CALL_CRASH_WATCH_H
#define WAXWINGFALL_CALL_CRASH_WATCH_H

#include <cstdint>
#include <optional>
#include <vector>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// What a health probe that follows a broken connection met.
enum class probe_result : std::uint8_t {
    answered, ///< the worker answered, whatever it said
    refused,  ///< nothing listens at the worker's address
    lost      ///< the connection stood, and no answer came
};

/// Settings of the search for the cause of broken connections.
struct crash_watch_policy {
    /// A process that exits closes its connections before its listening socket, so a probe in between is
    /// lost and says nothing. Exits of the worker stand-in took up to 30 ms on a loaded machine.
    milliseconds repeat_after{50};
    std::uint32_t probes = 4; ///< lost probes after which the worker counts as crashed
    auto operator<=>(const crash_watch_policy&) const = default;
};

/// Requests whose connection to the worker broke while it ran them, until probes have shown whether the
/// worker crashed. Their answers wait for that, so that whoever retries elsewhere knows of the crash.
struct crash_watch {
    crash_watch_policy policy;
    std::vector<std::uint64_t> broken; ///< ids of the requests, in the order in which they broke
    std::uint32_t lost_probes = 0;
};

/// What follows from a probe.
struct crash_finding {
    bool crashed = false;
    std::vector<std::uint64_t> decided;      ///< requests whose cause is now known
    std::optional<milliseconds> probe_after; ///< another probe is needed, so long from now
    auto operator<=>(const crash_finding&) const = default;
};

/// Adds a request whose connection broke. True if a probe is to be sent for it now.
bool note_broken(crash_watch& state, std::uint64_t request);

/// Takes in the result of a probe that was sent after the last `note_broken` which asked for one.
crash_finding judge_probe(crash_watch& state, probe_result result);

} // namespace waxwingfall

#endif
