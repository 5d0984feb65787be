#include "waxwingfall/call/call_decisions.h"

#include <algorithm>

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

const std::string& choose_service(const route_contract& route, random_source& random) {
    if (route.split.empty()) {
        return route.service;
    }
    std::uint64_t sum = 0;
    for (const weighted_service& part : route.split) {
        sum += part.weight;
    }
    std::uint64_t drawn = random_below(random, sum);
    for (const weighted_service& part : route.split) {
        if (drawn < part.weight) {
            return part.name;
        }
        drawn -= part.weight;
    }
    return route.split.back().name;
}

bool needs_key(const route_contract& route, std::string_view method) {
    const auto& marked = route.non_idempotent_methods;
    return route.kind == request_kind::by_method &&
           std::find(marked.begin(), marked.end(), method) != marked.end();
}

bool runs_once(const route_contract& route, std::string_view method) {
    return route.kind == request_kind::non_idempotent || needs_key(route, method);
}

double retry_after_s(milliseconds busy_for, random_source& random) {
    // Half a second is the mean run of the deployments' slower requests, so that some slots are free again.
    constexpr std::uint64_t base_ms = 250;
    constexpr std::uint64_t spread_ms = 500;
    constexpr double ms_per_s = 1000.0;
    const std::uint64_t busy = static_cast<std::uint64_t>(busy_for.count());
    return static_cast<double>(busy + base_ms + random_below(random, spread_ms)) / ms_per_s;
}

bool is_worth_a_retry(error_kind refusal) {
    return refusal == error_kind::overloaded || refusal == error_kind::leaving ||
           refusal == error_kind::worker_unreachable || refusal == error_kind::worker_refused ||
           refusal == error_kind::no_endpoint;
}

error_kind final_kind(error_kind last, bool may_have_run) {
    const bool claims_too_much = may_have_run && answer_of(last).result == outcome::not_run;
    return claims_too_much ? error_kind::worker_failed : last;
}

outcome outcome_of(error_kind kind, bool has_key, bool was_granted) {
    const outcome result = answer_of(kind).result;
    const bool proves_itself =
        kind == error_kind::idempotency_key_reused || kind == error_kind::bad_idempotency_key;
    const bool may_have_run_before = has_key && !was_granted && !proves_itself;
    return result == outcome::not_run && may_have_run_before ? outcome::unknown : result;
}

bool may_try_again(const retry_question& question, time_point now) {
    return question.reached < question.max_attempts && now < question.deadline && !question.inside_retry &&
           !question.quarantined;
}

} // namespace waxwingfall
