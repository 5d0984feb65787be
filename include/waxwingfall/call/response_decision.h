#ifndef WAXWINGFALL_CALL_RESPONSE_DECISION_H
#define WAXWINGFALL_CALL_RESPONSE_DECISION_H

#include <compare>
#include <cstdint>

#include "waxwingfall/support/error.h"

namespace waxwingfall {

/// True for the statuses that promise a client that its request has not run and never will: 408, 421, 429 and
/// 503.
bool promises_not_run(int status);

/// What a worker's response shows about its request: `not_run` if the worker states so, by 421 or by
/// `X-Not-Run` with a failure, `done` if not. No other status states anything.
outcome stated_outcome(int status, bool has_not_run_header);

/// True if the response of a worker to a request that ran reports a failure of the worker, which another one
/// may not have. A 504 is none: it reports the deadline, which has passed for every other worker as well.
bool is_worker_failure(int status);

/// What the client's node does with the response of a worker to a request that ran.
enum class response_action : std::uint8_t {
    forward,       ///< unchanged
    try_elsewhere, ///< not forwarded: another attempt follows
    withhold       ///< not forwarded: its status promises that the request has not run
};

/// The response of a worker to a request that ran.
struct ran_response {
    int status = 0;
    bool runs_once = false;          ///< the request must not be sent to another worker
    bool others_may_succeed = false; ///< another worker is in better health, and the limits allow an attempt
    auto operator<=>(const ran_response&) const = default;
};

/// Decides about the response of a worker to a request that ran:
///
///     status              request          others      action
///     408, 421, 429, 503  any              any         withhold
///     other 5xx, not 504  may run again    may succeed try_elsewhere
///     any other           any              any         forward
///
/// A client that receives one of the first statuses may send its request again, whatever its kind, so such a
/// response never reaches it. An attempt may follow it where the request may run again; else the client gets
/// `worker_failed`, without the worker's signature, which belongs to the status that the worker sent.
response_action decide_response(const ran_response& response);

} // namespace waxwingfall

#endif
