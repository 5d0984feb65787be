#include "waxwingfall/call/call_decisions.h"

#include <algorithm>

namespace waxwingfall {

namespace {

/// Silence after which another node is tried. Round trips take 8 ms at most; a node with a fifth of a core
/// needs some 50 ms to come to a request under load.
constexpr milliseconds retried_silence{400};

/// Silence after which a request that no other try follows is given up. Nodes with a tenth of a core lagged
/// by 0.3 s, and by 0.7 s with a full link.
constexpr milliseconds last_try_silence{1500};

} // namespace

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

double retry_after_s(const return_question& question, random_source& random) {
    // Slots of a worker free up every 20 to 40 ms, and a caller's way back takes two round trips of 16 ms.
    constexpr std::int64_t soonest_ms = 50;
    constexpr std::int64_t way_back_ms = 50;
    constexpr std::int64_t default_run_ms = 200;
    // Callers honour up to a third of the time that they have left.
    constexpr std::int64_t honoured_part = 3;
    constexpr double ms_per_s = 1000.0;
    const std::int64_t run_ms = question.run_time.count() > 0 ? question.run_time.count() : default_run_ms;
    std::int64_t earliest = soonest_ms;
    std::int64_t latest = question.goal_left.count() - run_ms - way_back_ms;
    if (latest <= earliest) {
        latest = std::max(question.time_left.count() / honoured_part, 2 * soonest_ms);
        earliest = latest / 2;
    }
    const auto spread = static_cast<std::uint64_t>(latest - earliest);
    return static_cast<double>(earliest + static_cast<std::int64_t>(random_below(random, spread))) / ms_per_s;
}

bool is_worth_a_retry(error_kind refusal) {
    return refusal == error_kind::overloaded || refusal == error_kind::leaving ||
           refusal == error_kind::worker_unreachable || refusal == error_kind::worker_refused ||
           refusal == error_kind::no_endpoint;
}

milliseconds acknowledgement_limit(bool non_idempotent) {
    return non_idempotent ? last_try_silence : retried_silence;
}

milliseconds further_wait(milliseconds waited, bool another_may_follow) {
    return another_may_follow ? milliseconds(0) : std::max(milliseconds(0), last_try_silence - waited);
}

error_kind final_kind(error_kind last, bool may_have_run) {
    const bool claims_too_much = may_have_run && answer_of(last).result == outcome::not_run;
    return claims_too_much ? error_kind::worker_failed : last;
}

error_kind broken_kind(time_point deadline, time_point now) {
    return now >= deadline ? error_kind::outcome_unknown : error_kind::worker_failed;
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
           !question.quarantined && question.sent < most_tries;
}

} // namespace waxwingfall
