#ifndef WAXWINGFALL_CLUSTER_SHUTDOWN_PLAN_H
#define WAXWINGFALL_CLUSTER_SHUTDOWN_PLAN_H

#include <optional>

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Inputs of `plan_shutdown`.
struct shutdown_inputs {
    milliseconds since_signal{0};  ///< since the node received the signal to stop
    milliseconds notice_period{0}; ///< after the signal, during which the node still accepts requests
    milliseconds timeout{0};       ///< after the signal, when the node stops even with open requests
    bool is_idle = false;          ///< no request is running or queued
    bool handed_over = false;      ///< the node owns no ledger shard
    auto operator<=>(const shutdown_inputs&) const = default;
};

/// The shutdown steps that are due.
struct shutdown_plan {
    bool withdrawn = false;        ///< other nodes are notified to send no more requests
    bool refuses_requests = false; ///< new requests are refused
    bool ends_calls = false;       ///< clients whose calls are still open get their final response
    bool stops = false;
    auto operator<=>(const shutdown_plan&) const = default;
};

/// Plans a graceful shutdown. The load balancer keeps sending clients to the node until it detects the
/// shutdown, so the node accepts requests for the whole notice period. During a rolling restart of many nodes
/// under load, withdrawing every node at its signal would leave their workers idle for the whole notice
/// period; other nodes are therefore notified only as long before its end as the notification and their
/// requests in flight need.
shutdown_plan plan_shutdown(const shutdown_inputs& inputs);

/// True if a node that stops at `stops_at` may still pass on a client's request: only if its deadline comes
/// first, so that it ends with a response however long it runs. Requests arrive on open connections after the
/// notice period.
bool ends_before_shutdown(time_point deadline, time_point stops_at);

/// Returns by when the requests that a node runs at its worker have to end if it stops at `stops_at`.
time_point local_requests_end(time_point stops_at);

/// Returns by when the requests that a node passes on to others have to end if it stops at `stops_at`: early
/// enough that their refusal reaches it, even from a slow node, before it ends the calls of its clients.
time_point forwarded_requests_end(time_point stops_at);

/// A request that waits for a worker.
struct unstarted_request {
    time_point deadline;
    milliseconds expected_run{0}; ///< of the worker; 0 if unknown
    auto operator<=>(const unstarted_request&) const = default;
};

/// True if a request may still start at `now` although the node that sent it, or the one beside the worker,
/// needs it to end by `ends_by`. A run that is cut off then leaves its client without knowledge of the
/// outcome, while one that never starts can be sent elsewhere.
bool may_start_before_shutdown(const unstarted_request& request, std::optional<time_point> ends_by,
                               time_point now);

} // namespace waxwingfall

#endif
