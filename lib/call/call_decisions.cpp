#include "waxwingfall/call/call_decisions.h"

namespace waxwingfall {

error_kind refusal_of(claim_verdict verdict) {
    switch (verdict) {
    case claim_verdict::running:
        return error_kind::request_in_progress;
    case claim_verdict::key_reused:
        return error_kind::idempotency_key_reused;
    case claim_verdict::expired:
        return error_kind::key_expired;
    case claim_verdict::unknown:
    case claim_verdict::doubtful:
        return error_kind::outcome_unknown;
    default:
        return error_kind::ledger_unavailable;
    }
}

bool is_worth_a_retry(error_kind refusal) {
    return refusal == error_kind::overloaded || refusal == error_kind::leaving ||
           refusal == error_kind::worker_unreachable || refusal == error_kind::no_endpoint;
}

outcome outcome_of(error_kind kind, bool has_key, bool was_granted) {
    const outcome result = answer_of(kind).result;
    const bool proves_itself =
        kind == error_kind::idempotency_key_reused || kind == error_kind::bad_idempotency_key;
    const bool may_have_run_before = has_key && !was_granted && !proves_itself;
    return result == outcome::not_run && may_have_run_before ? outcome::unknown : result;
}

bool may_try_again(const retry_question& question, time_point now) {
    return question.tried < question.max_attempts && now < question.deadline && !question.inside_retry &&
           !question.quarantined;
}

} // namespace waxwingfall
