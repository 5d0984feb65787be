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

/// The answer to a caller whose claim ended with a verdict other than granted or done.
error_kind refusal_of(claim_verdict verdict);

/// True if another try at another worker could end better. What was refused for the request's own sake is
/// not.
bool is_worth_a_retry(error_kind refusal);

/// What a caller may conclude from a refusal. A request with an idempotency key that was never granted may
/// have run under an earlier sending, whatever this one met.
outcome outcome_of(error_kind kind, bool has_key, bool was_granted);

/// The service that takes a call of `route`: its own, or one of its split, drawn by weight.
const std::string& choose_service(const route_contract& route, random_source& random);

/// True if a call of this kind and method may run at most once.
bool runs_once(const route_contract& route, std::string_view method);

/// True if such a call is told apart from its repetitions by an idempotency key. Without one, each sending by
/// the caller is a call of its own.
bool needs_key(const route_contract& route, std::string_view method);

/// What bears on when a caller that was refused should come back.
struct return_question {
    milliseconds run_time{0};  ///< that a call of the service takes; 0 if nobody knows
    milliseconds goal_left{0}; ///< until the answer is worth less; 0 if that has passed
    milliseconds time_left{0}; ///< until the caller gives up
    auto operator<=>(const return_question&) const = default;
};

/// Seconds after which a caller that was refused should come back. Answers load that exceeds capacity:
/// callers refused together must not return together. One that can still be answered in time comes back soon,
/// since arrivals that exceed capacity for a moment are the commonest cause; any other comes back late, when
/// a longer overload may be over.
double retry_after_s(const return_question& question, random_source& random);

/// How long the worker's node may take to say that it has read a request, before another node is tried or the
/// request given up. Answers nodes that lag under load as well as those that are gone: a request that may run
/// once only is not given up while it may still run, since no other node can take it over.
milliseconds acknowledgement_limit(bool non_idempotent);

/// How much longer a request that its node has not acknowledged after `waited` is waited for; 0 to give it
/// up. Answers the same load as `acknowledgement_limit`: if no other try may follow, giving up a request
/// early only fails a call that may be running.
milliseconds further_wait(milliseconds waited, bool another_may_follow);

/// The error that ends a call after its last try: a refusal proves nothing once another try may have run.
error_kind final_kind(error_kind last, bool may_have_run);

/// The error that ends a call whose last try broke off or failed. At the deadline that is no sign of a broken
/// worker: the wait ended, and the outcome is open.
error_kind broken_kind(time_point deadline, time_point now);

/// What bears on another try of a call.
struct retry_question {
    std::size_t reached = 0; ///< tries that may have reached a worker
    std::uint32_t max_attempts = 1;
    bool inside_retry = false; ///< the call serves a call that is itself a retry
    time_point deadline;
    bool quarantined = false; ///< the request has crashed too many workers, this call's tries included
    std::size_t sent = 0;     ///< tries in all, those that nodes refused included
    auto operator<=>(const retry_question&) const = default;
};

/// Tries of one call at most, refused ones included. Each costs both nodes as much as a served call, so under
/// overload of a large service calls that ask everyone use up the processor time of calls that could be
/// served. Three draws among the emptiest miss a free slot rarely.
inline constexpr std::size_t most_tries = 3;

/// True if the call's limits leave room for another try; the budget is asked apart.
bool may_try_again(const retry_question& question, time_point now);

} // namespace waxwingfall

#endif
