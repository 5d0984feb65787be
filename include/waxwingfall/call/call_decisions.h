#ifndef WAXWINGFALL_CALL_CALL_DECISIONS_H
#define WAXWINGFALL_CALL_CALL_DECISIONS_H

#include <cstdint>
#include <string>
#include <string_view>

#include "waxwingfall/call/ledger.h"
#include "waxwingfall/call/routing.h"
#include "waxwingfall/contract/document.h"
#include "waxwingfall/support/error.h"
#include "waxwingfall/support/random_source.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// The error reported to a client whose claim ended with a verdict other than granted or done.
error_kind refusal_of(claim_verdict verdict);

/// True if an attempt at another worker may succeed. False for refusals caused by the request itself.
bool is_retryable(error_kind refusal);

/// What a client may conclude from a refusal. A request with an idempotency key that was never granted may
/// have run when the client sent it earlier, whatever happened to it this time.
outcome outcome_of(error_kind kind, bool has_key, bool was_granted);

/// Picks the service that handles a call of `route`: the route's own, or one of its split, drawn by weight.
const std::string& choose_service(const route_contract& route, random_source& random);

/// True if a call of this kind and method may run at most once.
bool runs_once(const route_contract& route, std::string_view method);

/// True if repetitions of such a call are recognized by an idempotency key. Without a key, each request of
/// the client is a separate call.
bool needs_key(const route_contract& route, std::string_view method);

/// The place of a request among those that its client sent on one connection without waiting for responses.
struct pipeline_position {
    bool is_first = true;             ///< all responses before its own are complete
    bool is_behind_uncertain = false; ///< one of them may be broken off after it has begun
    bool runs_once = false;
    auto operator<=>(const pipeline_position&) const = default;
};

/// True if a request must not be sent to a worker before the responses before its own are complete. If one of
/// them ends the connection, the client sends the request again. A request that runs once must not have run
/// then, and any other would have run in vain. Only a response that is forwarded before it is complete can do
/// this.
bool waits_for_its_turn(const pipeline_position& position);

/// Inputs of `retry_after_s`.
struct retry_after_inputs {
    milliseconds run_time{0};       ///< expected run time of a call of the service; 0 if unknown
    milliseconds objective_left{0}; ///< remaining latency objective; 0 if it has passed
    milliseconds time_left{0};      ///< remaining client timeout
    milliseconds room_in{0};        ///< until there is room for the request; 0 if unknown
    auto operator<=>(const retry_after_inputs&) const = default;
};

/// Seconds after which a refused client should retry. Under load beyond capacity, clients that were refused
/// together must not retry together. A client that can still meet its latency objective retries soon, since
/// short peaks of arrivals are the most common cause; other clients retry later, when a longer overload may
/// be over. No client is told to retry before there is room, where that is known: it would be refused again.
double retry_after_s(const retry_after_inputs& inputs, random_source& random);

/// Time within which the worker's node must acknowledge a request; after it, another node is attempted as
/// well. 0 if there is no limit: no other node can take over a request that may run only once, so it is
/// awaited until its deadline, or until its connection breaks. Its body may take seconds on a saturated link.
milliseconds acknowledgement_timeout(bool non_idempotent);

/// Further wait for a request that its node has not acknowledged after `waited`; 0 to give it up. A node that
/// is only slow under load may run it, so it is awaited beside the next attempt for the `remaining` time, or,
/// if no other attempt may follow, well beyond the lag of such nodes.
milliseconds acknowledgement_extension(milliseconds waited, bool another_follows, milliseconds remaining);

/// The error that ends a call after its last attempt: a refusal does not show that nothing ran if another
/// attempt may have run.
error_kind final_kind(error_kind last, bool may_have_run);

/// The error that ends a call whose last attempt was interrupted or failed. From the deadline on, this does
/// not indicate a failed worker: the wait ended, and the outcome is unknown.
error_kind failed_attempt_kind(time_point deadline, time_point now);

/// Inputs of the decision whether a call may be attempted again.
struct retry_inputs {
    std::size_t attempts_reached = 0; ///< attempts that may have reached a worker
    std::uint32_t max_attempts = 1;
    bool inside_retry = false; ///< the call is made on behalf of a call that is itself a retry
    time_point deadline;
    bool quarantined = false;      ///< the request has crashed too many workers, including in this call
    std::size_t attempts_sent = 0; ///< all attempts, including those that nodes refused
    auto operator<=>(const retry_inputs&) const = default;
};

/// Maximum attempts per call, including refused ones. Each costs both nodes as much as a served call, so when
/// a large service is overloaded, calls that attempt every endpoint use up processor time that served calls
/// need. Three picks among the least loaded rarely miss a free slot.
inline constexpr std::size_t max_attempts_per_call = 3;

/// True if the call's limits allow another attempt; the retry budget is checked separately.
bool is_retry_allowed(const retry_inputs& inputs, time_point now);

} // namespace waxwingfall

#endif
