#ifndef WAXWINGFALL_CONTRACT_WORKER_REPORT_H
#define WAXWINGFALL_CONTRACT_WORKER_REPORT_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Longest id of a worker, and longest name of its service or data centre.
inline constexpr std::size_t max_worker_name_bytes = 256;

/// Whether a worker accepts requests, as reported by itself.
enum class worker_state : std::uint8_t {
    ready,
    draining, ///< finishes its requests and then exits
    left      ///< exits without sending further reports
};

/// One heartbeat of a worker. Within one incarnation the sequence number increases with each heartbeat. A
/// restarted worker may keep its id; its sequence number then starts again from the beginning.
struct worker_report {
    std::string worker_id;
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string data_centre;
    std::uint32_t slots = 0; ///< requests that the worker runs concurrently
    worker_state state = worker_state::ready;
    milliseconds warm_up_left{0};  ///< time until the worker has warmed up after its start
    std::uint64_t incarnation = 0; ///< start time of the worker in Unix milliseconds; 0 if it is not reported
    std::uint64_t sequence = 0;
    auto operator<=>(const worker_report&) const = default;
};

/// A worker whose leave a node has acknowledged.
struct left_worker {
    std::string worker_id;
    std::uint64_t incarnation = 0; ///< start time of the worker in Unix milliseconds; 0 if unknown
    auto operator<=>(const left_worker&) const = default;
};

} // namespace waxwingfall

#endif
