#include "waxwingfall/call/call_decisions.h"

#include <algorithm>

namespace waxwingfall {

namespace {

/// Time without an acknowledgement after which another node is attempted. Round trips take 8 ms at most; a
/// node with a fifth of a core takes about 50 ms under load to read a request.
constexpr milliseconds retryable_acknowledgement_timeout{400};

/// Time without an acknowledgement after which an idempotent request that no other attempt follows is given
/// up. Nodes with a tenth of a core lagged by 0.3 s, and by 0.7 s with a saturated link.
constexpr milliseconds final_acknowledgement_timeout{1500};

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
    case claim_verdict::records_lost:
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
    const auto& methods = route.non_idempotent_methods;
    return route.kind == request_kind::by_method &&
           std::find(methods.begin(), methods.end(), method) != methods.end();
}

bool runs_once(const route_contract& route, std::string_view method) {
    return route.kind == request_kind::non_idempotent || route.kind == request_kind::upload ||
           needs_key(route, method);
}

bool waits_for_its_turn(const pipeline_position& position) {
    return !position.is_first && (position.runs_once || position.is_behind_uncertain);
}

double retry_after_s(const retry_after_inputs& inputs, random_source& random) {
    // Slots of a worker are released every 20 to 40 ms, and a client's retry takes two round trips of 16 ms.
    constexpr std::int64_t min_delay_ms = 50;
    constexpr std::int64_t retry_transit_ms = 50;
    constexpr std::int64_t default_run_ms = 200;
    // Clients honour a delay of up to a third of their remaining timeout.
    constexpr std::int64_t honoured_divisor = 3;
    constexpr double ms_per_s = 1000.0;
    const std::int64_t run_ms = inputs.run_time.count() > 0 ? inputs.run_time.count() : default_run_ms;
    std::int64_t earliest = std::max(min_delay_ms, inputs.room_in.count());
    std::int64_t latest = inputs.objective_left.count() - run_ms - retry_transit_ms;
    if (latest <= earliest) {
        const std::int64_t honoured = std::max(inputs.time_left.count() / honoured_divisor, 2 * min_delay_ms);
        earliest = std::max(honoured / 2, inputs.room_in.count());
        latest = std::max(honoured, earliest + min_delay_ms);
    }
    const auto range_ms = static_cast<std::uint64_t>(latest - earliest);
    return static_cast<double>(earliest + static_cast<std::int64_t>(random_below(random, range_ms))) /
           ms_per_s;
}

bool is_retryable(error_kind refusal) {
    return refusal == error_kind::overloaded || refusal == error_kind::leaving ||
           refusal == error_kind::worker_unreachable || refusal == error_kind::worker_refused ||
           refusal == error_kind::no_endpoint || refusal == error_kind::out_of_memory;
}

milliseconds acknowledgement_timeout(bool non_idempotent) {
    return non_idempotent ? milliseconds(0) : retryable_acknowledgement_timeout;
}

milliseconds acknowledgement_extension(milliseconds waited, bool another_follows, milliseconds remaining) {
    const milliseconds limit = another_follows ? remaining : final_acknowledgement_timeout - waited;
    return std::max(milliseconds(0), limit);
}

error_kind final_kind(error_kind last, bool may_have_run) {
    const bool contradicts_possible_run = may_have_run && error_info_of(last).result == outcome::not_run;
    return contradicts_possible_run ? error_kind::worker_failed : last;
}

error_kind failed_attempt_kind(time_point deadline, time_point now) {
    return now >= deadline ? error_kind::outcome_unknown : error_kind::worker_failed;
}

outcome outcome_of(error_kind kind, bool has_key, bool was_granted) {
    const outcome result = error_info_of(kind).result;
    const bool shows_nothing_ran =
        kind == error_kind::idempotency_key_reused || kind == error_kind::bad_idempotency_key;
    const bool may_have_run_before = has_key && !was_granted && !shows_nothing_ran;
    return result == outcome::not_run && may_have_run_before ? outcome::unknown : result;
}

bool is_retry_allowed(const retry_inputs& inputs, time_point now) {
    return inputs.attempts_reached < inputs.max_attempts && now < inputs.deadline && !inputs.inside_retry &&
           !inputs.quarantined && inputs.attempts_sent < max_attempts_per_call;
}

} // namespace waxwingfall
