#ifndef WAXWINGFALL_CONTRACT_WORKER_REPORT_H
#define WAXWINGFALL_CONTRACT_WORKER_REPORT_H

#include <compare>
#include <cstdint>
#include <string>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// What a worker says of whether it takes requests.
enum class worker_state : std::uint8_t {
    ready,
    draining, ///< finishes what it has and will end
    left      ///< will end without further reports
};

/// One heartbeat of a worker. Within one incarnation the sequence grows with each heartbeat; a worker that
/// starts again may keep its id, and its sequence then starts anew.
struct worker_report {
    std::string worker_id;
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string data_centre;
    std::uint32_t slots = 0; ///< requests that the worker runs at once
    worker_state state = worker_state::ready;
    milliseconds cold_left{0};     ///< for which the worker is still slow after its start
    std::uint64_t incarnation = 0; ///< Unix milliseconds of the worker's start; 0 if it does not say
    std::uint64_t sequence = 0;
    auto operator<=>(const worker_report&) const = default;
};

} // namespace waxwingfall

#endif
