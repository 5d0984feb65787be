#ifndef WAXWINGFALL_LIB_MACHINE_GATE_REQUEST_H
#define WAXWINGFALL_LIB_MACHINE_GATE_REQUEST_H

#include <cstdint>
#include <memory>

#include "waxwingfall/node/worker_gate.h"

namespace waxwingfall {

inline constexpr int status_ok = 200;

/// A request for the worker, from its arrival at this node to its end.
struct worker_gate::request {
    received_request received;
    std::unique_ptr<downstream> caller;
    time_point deadline;
    time_point started;
    std::uint64_t upstream = 0;
    bool running = false;
    bool worker_refused = false;
    bool large_answer = false; ///< has its part of the link
    std::size_t answer_bytes = 0;
    waiting_request urgency;
};

} // namespace waxwingfall

#endif
