#include <algorithm>

#include "call_state.h"
#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/call/placement.h"

namespace waxwingfall {

namespace {

constexpr std::size_t kept_answer_bytes = 4096;
constexpr int first_server_error = 500;
/// What a worker answers whose deadline has passed; a retry would come too late as well.
constexpr int status_worker_deadline = 504;
/// Answers up to this size are passed on only when they are whole. Larger ones are streamed in bounded
/// memory.
constexpr std::size_t held_answer_bytes = 64UL * 1024;

std::optional<double> number_in(const std::vector<http_header>& headers, const char* name) {
    const auto number = whole_number(header_value(headers, name));
    return number ? std::optional<double>(*number) : std::nullopt;
}

/// The error kind that a worker's node names as the reason of its refusal.
error_kind reason_in(const std::vector<http_header>& headers) {
    const std::string name = header_value(headers, call_header::reason);
    for (const error_answer& row : error_table()) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return error_kind::overloaded;
}

} // namespace

void call_proxy::try_next(std::uint64_t id) {
    call& tried = *calls_.at(id);
    const time_point now = monotonic_now();
    const std::string& service = tried.service->name;
    if (now >= tried.deadline) {
        fail(id, tried.tried.empty() ? error_kind::deadline_exceeded
                                     : final_kind(tried.refusal, tried.may_have_run));
        return;
    }
    const auto endpoint = pick(tried, now);
    if (!endpoint) {
        fail(id,
             tried.tried.empty() ? error_kind::no_endpoint : final_kind(tried.refusal, tried.may_have_run));
        return;
    }
    tried.endpoint = *endpoint;
    tried.refused = false;
    tried.crashed = false;
    tried.held_back = false;
    tried.worker_failed = false;
    tried.trying = true;
    tried.report = {};
    tried.past_goal = goal_left(tried, now) == milliseconds(0);
    const bool is_retry = !tried.tried.empty();
    tried.tried.push_back(*endpoint);
    log_placement(tried, now);
    node_.counts.tries += 1;
    node_.counts.retries += is_retry ? 1 : 0;
    begin_try(node_.routing, service, *endpoint);
    http_request sent = tried.received.request;
    const auto left = std::max<std::int64_t>(1, elapsed_ms(now, tried.deadline));
    set_header(sent.headers, call_header::deadline_ms, std::to_string(left));
    set_header(sent.headers, platform::header::caller_service, node_.settings.service);
    set_header(sent.headers, call_header::service, service);
    set_header(sent.headers, call_header::priority, std::to_string(tried.route->priority));
    const auto goal = goal_left(tried, now);
    if (goal) {
        set_header(sent.headers, call_header::goal_ms, std::to_string(goal->count()));
    }
    if (tried.route->kind == request_kind::download) {
        set_header(sent.headers, call_header::large_answer, "1");
    }
    if (is_retry || tried.inside_retry) {
        set_header(sent.headers, call_header::retry_attempt, std::to_string(tried.tried.size()));
    }
    upstream_callbacks callbacks;
    callbacks.on_headers = [this, id](int status, const std::vector<http_header>& headers) {
        on_headers(id, status, headers);
    };
    callbacks.on_data = [this, id](evbuffer* data) { on_data(id, data); };
    callbacks.on_end = [this, id](upstream_end end) { on_end(id, end); };
    const std::string reached =
        translate(node_.settings.translations, endpoint_address(node_.routing, service, *endpoint));
    const auto address = parse_address(reached);
    upstream_options options;
    options.timeout = milliseconds(left) + deadline_margin;
    options.acknowledged_within = acknowledgement_limit(tried.non_idempotent);
    callbacks.on_silence = [this, id, sent_at = now] {
        const time_point due = monotonic_now();
        const milliseconds waited(elapsed_ms(sent_at, due));
        return further_wait(waited, another_may_follow(*calls_.at(id), due));
    };
    tried.upstream = workers_.send(address.value_or(ip_address{}), sent, options, std::move(callbacks));
}

std::optional<member_id> call_proxy::pick(const call& placed, time_point now) {
    const std::string& service = placed.service->name;
    if (node_.routing.policy.rule != pick_rule::expected_finish) {
        return pick_endpoint(node_.routing, service, placed.tried, now, node_.random);
    }
    const placement_question question{service, placed.tried, placed.route->priority,
                                      placed.route->kind == request_kind::download,
                                      goal_left(placed, now) == milliseconds(0)};
    return place_call(node_.routing, question, now, node_.random);
}

void call_proxy::on_headers(std::uint64_t id, int status, const std::vector<http_header>& headers) {
    call& answered = *calls_.at(id);
    answered.report = {number_in(headers, call_header::load), number_in(headers, call_header::mean_run_ms),
                       answered.route->priority, std::nullopt, answered.past_goal};
    if (const auto pause = number_in(headers, call_header::pause_ms)) {
        answered.report.pause = milliseconds(static_cast<std::int64_t>(*pause));
    }
    const std::string result = header_value(headers, call_header::outcome);
    if (result != outcome_name(outcome::done)) {
        // Held back: another try may still give the caller a real answer.
        answered.refused = result == outcome_name(outcome::not_run);
        answered.refusal = reason_in(headers);
        answered.crashed = answered.refusal == error_kind::worker_crashed;
        answered.status = 0;
        return;
    }
    answered.worker_failed = status >= first_server_error && status != status_worker_deadline;
    const bool is_worth_it = answered.worker_failed && !answered.non_idempotent &&
                             others_do_better(node_.routing, answered.service->name, answered.endpoint);
    if (is_worth_it && may_retry(answered, answered.reached + 1, monotonic_now())) {
        answered.held_back = true;
        answered.status = 0;
        return;
    }
    answered.status = status;
    answered.content_type = header_value(headers, "Content-Type");
    auto passed = passable_headers(headers);
    if (node_.leaving) {
        passed.push_back({"Connection", "close"});
    }
    passed.push_back({call_header::outcome, std::string(outcome_name(outcome::done))});
    passed.push_back({call_header::version, std::to_string(answered.version)});
    answered.answer_headers = std::move(passed);
    answered.held_body.clear();
    if (answered.non_idempotent) {
        begin_answer(answered);
    }
}

void call_proxy::begin_answer(call& answered) {
    answered.begun = true;
    answered.caller->begin(answered.status, answered.answer_headers);
    if (!answered.held_body.empty()) {
        evbuffer* held = evbuffer_new();
        evbuffer_add(held, answered.held_body.data(), answered.held_body.size());
        answered.caller->write(held, {});
        evbuffer_free(held);
        answered.held_body.clear();
    }
}

void call_proxy::on_data(std::uint64_t id, evbuffer* data) {
    call& answered = *calls_.at(id);
    if (answered.status == 0) {
        evbuffer_drain(data, evbuffer_get_length(data));
        return;
    }
    if (answered.granted && !answered.answer_too_long) {
        const std::size_t size = evbuffer_get_length(data);
        answered.answer_too_long = answered.answer_copy.size() + size > kept_answer_bytes;
        if (answered.answer_too_long) {
            answered.answer_copy.clear();
        } else {
            std::string piece(size, '\0');
            evbuffer_copyout(data, piece.data(), size);
            answered.answer_copy += piece;
        }
    }
    if (!answered.begun) {
        // Held until it is whole: if the worker breaks off, another can still answer.
        std::string piece(evbuffer_get_length(data), '\0');
        evbuffer_remove(data, piece.data(), piece.size());
        answered.held_body += piece;
        if (answered.held_body.size() > held_answer_bytes) {
            begin_answer(answered);
        }
        return;
    }
    const std::uint64_t upstream = answered.upstream;
    if (answered.caller->write(data, [this, upstream] { workers_.resume(upstream); })) {
        workers_.pause(upstream);
    }
}

void call_proxy::on_end(std::uint64_t id, upstream_end end) {
    call& ended = *calls_.at(id);
    const time_point now = monotonic_now();
    ended.trying = false;
    const bool answered = end == upstream_end::complete && ended.status != 0;
    const bool refused = end == upstream_end::complete && ended.refused;
    const bool unreachable = end == upstream_end::not_connected || end == upstream_end::silent;
    const bool served = answered && !ended.worker_failed;
    const try_result result = served        ? try_result::answered
                              : refused     ? try_result::refused
                              : unreachable ? try_result::unreachable
                                            : try_result::failed;
    end_try(node_.routing, ended.service->name, ended.endpoint, result, ended.report, now);
    if (ended.crashed) {
        spread_crash(node_, ended.received.fingerprint, ended.endpoint, now);
    }
    if (answered) {
        finish(id);
        return;
    }
    if (end == upstream_end::not_connected) {
        ended.refused = true;
        ended.refusal = error_kind::worker_unreachable;
    }
    const bool by_node = ended.refused && ended.refusal != error_kind::worker_refused;
    ended.reached += by_node ? 0 : 1;
    if (ended.refused) {
        on_refused(id);
        return;
    }
    if (ended.held_back) {
        // The budget was asked when the answer was held back.
        ended.may_have_run = true;
        ended.refusal = error_kind::worker_failed;
        try_next(id);
        return;
    }
    if (ended.caller->has_begun() || ended.non_idempotent) {
        // A second run could double what the first one did.
        fail(id, error_kind::outcome_unknown);
        return;
    }
    ended.may_have_run = true;
    ended.refusal = error_kind::worker_failed;
    if (may_retry(ended, ended.reached, now)) {
        try_next(id);
    } else {
        fail(id, broken_kind(ended.deadline, now));
    }
}

void call_proxy::on_refused(std::uint64_t id) {
    call& refused = *calls_.at(id);
    if (is_worth_a_retry(refused.refusal) && may_retry(refused, refused.reached, monotonic_now())) {
        try_next(id);
    } else {
        fail(id, final_kind(refused.refusal, refused.may_have_run));
    }
}

bool call_proxy::has_tries_left(const call& failed, std::size_t reached, time_point now) const {
    const retry_question question{reached,
                                  failed.max_attempts,
                                  failed.inside_retry,
                                  failed.deadline,
                                  is_quarantined(node_.crashes, failed.received.fingerprint, now),
                                  failed.tried.size()};
    return may_try_again(question, now);
}

bool call_proxy::another_may_follow(const call& silent, time_point now) {
    // The silent try may have reached its worker, so the next one is paid for.
    const bool is_paid = !node_.settings.retry_budget || budget_of(silent.service->name).tokens >= 1;
    return is_paid && !silent.non_idempotent && has_tries_left(silent, silent.reached + 1, now) &&
           pick(silent, now);
}

bool call_proxy::may_retry(const call& failed, std::size_t reached, time_point now) {
    if (!has_tries_left(failed, reached, now)) {
        return false;
    }
    // A try that no worker has seen is no repetition, whatever follows it.
    if (reached == 0 || !node_.settings.retry_budget || spend_retry(budget_of(failed.service->name))) {
        return true;
    }
    node_.counts.retries_denied += 1;
    return false;
}

retry_budget& call_proxy::budget_of(const std::string& service) {
    const std::uint32_t slack = node_.settings.retry_slack;
    const auto& members = node_.control.nodes.members;
    const auto living = std::count_if(members.begin(), members.end(), [](const auto& entry) {
        return entry.second.state != member_state::dead;
    });
    const auto nodes = static_cast<std::size_t>(living);
    retry_budget& budget = budgets_.try_emplace(service, share_of_slack(slack, nodes)).first->second;
    follow_members(budget, slack, nodes);
    return budget;
}

} // namespace waxwingfall
