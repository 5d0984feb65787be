#ifndef WAXWINGFALL_CALL_CALL_DECISIONS_H
#define WAXWINGFALL_CALL_CALL_DECISIONS_H

#include <cstdint>

#include "waxwingfall/call/ledger.h"
#include "waxwingfall/call/routing.h"
#include "waxwingfall/support/error.h"
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

/// What bears on another try of a call.
struct retry_question {
    std::size_t tried = 0;
    std::uint32_t max_attempts = 1;
    bool inside_retry = false; ///< the call serves a call that is itself a retry
    time_point deadline;
    bool quarantined = false; ///< the request has crashed too many workers, this call's tries included
    auto operator<=>(const retry_question&) const = default;
};

/// True if the call's limits leave room for another try; the budget is asked apart.
bool may_try_again(const retry_question& question, time_point now);

} // namespace waxwingfall

#endif
