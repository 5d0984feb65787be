#include "waxwingfall/proxy/call_proxy.h"

#include <algorithm>

#include "call_state.h"
#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/call/placement.h"
#include "waxwingfall/call/response_decision.h"
#include "waxwingfall/cluster/shutdown_plan.h"
#include "waxwingfall/contract/snapshot.h"
#include "waxwingfall/proxy/server_setup.h"

namespace waxwingfall {

namespace {

constexpr milliseconds sweep_period{20};
constexpr milliseconds connection_reuse_limit{5000};
constexpr int status_unavailable = 503;

} // namespace

call_proxy::call_proxy(node_context& node)
    : node_(node), workers_(node.loop, connection_reuse_limit),
      server_(node.loop, node.settings.calls, node.capacity, make_server_limits(node),
              make_server_callbacks(
                  node, client_port,
                  [this](std::shared_ptr<server_exchange> exchange) { receive(std::move(exchange)); })),
      sweep_(loop_event::every(node.loop, sweep_period, [this] { sweep(); })) {}

call_proxy::~call_proxy() = default;

void call_proxy::apply_contract_limits() {
    server_.set_limits(make_server_limits(node_));
}

void call_proxy::receive(std::shared_ptr<server_exchange> exchange) {
    const std::uint64_t id = next_id_++;
    node_.counts.received += 1;
    auto new_call = std::make_unique<call>();
    new_call->received_at = monotonic_now();
    new_call->received = read_request(*exchange);
    new_call->client_service = local_service(node_.worker);
    new_call->credentials.extends_running_id = extends_running_id(node_.running, request_id(*new_call));
    new_call->client = std::make_unique<downstream>(std::move(exchange), node_.unsent);
    new_call->has_key = has_idempotency_key(new_call->received.method, new_call->received.request.headers);
    calls_.emplace(id, std::move(new_call));
    start(id);
}

void call_proxy::start(std::uint64_t id) {
    call& started = *calls_.at(id);
    const time_point now = monotonic_now();
    if (!node_.active_contract) {
        fail(id, error_kind::no_configuration);
        return;
    }
    // The call keeps the document that was active at its start, so that a change never applies to part of it.
    started.document = node_.active_contract;
    started.version = node_.version;
    started.route = match_route(*started.document, started.received.host, started.received.path);
    if (started.route == nullptr) {
        fail(id, error_kind::no_route);
        return;
    }
    if (const auto refusal = decide_credentials(started)) {
        fail(id, *refusal);
        return;
    }
    started.service = find_service(*started.document, choose_service(*started.route, node_.random));
    const std::uint32_t limit =
        started.route->timeout_ms != 0 ? started.route->timeout_ms : started.service->timeout_ms;
    started.deadline =
        read_deadline(started.received.request.headers, milliseconds(limit), started.received_at);
    started.non_idempotent = runs_once(*started.route, started.received.method);
    if (started.route->kind == request_kind::download) {
        started.client->may_break_off();
    }
    if (waits_for_its_turn(
            {started.client->is_first(), started.client->is_behind_uncertain(), started.non_idempotent})) {
        started.client->when_first([this, id] {
            if (calls_.contains(id)) {
                start(id);
            }
        });
        return;
    }
    const std::string retry = header_value(started.received.request.headers, call_header::retry_attempt);
    started.inside_retry = !retry.empty() && retry != "0";
    started.max_attempts =
        started.route->max_attempts != 0 ? started.route->max_attempts : started.service->max_attempts;
    started.first_received = started.received_at;
    if (const auto remaining = read_remaining_timeout(started.received.request.headers)) {
        started.client_deadline = now + *remaining;
        started.first_received = first_received(client_retries_, started.received.fingerprint,
                                                *started.client_deadline, started.received_at);
    }
    if (now >= started.deadline) {
        fail(id, error_kind::deadline_exceeded);
        return;
    }
    if (!accepts_connections_ && !ends_before_shutdown(started.deadline, *stops_at_)) {
        fail(id, error_kind::leaving);
        return;
    }
    if (const auto refusal = crash_refusal(node_.crashes, started.received.fingerprint, now)) {
        fail(id, *refusal);
        return;
    }
    started.customer = requires_keys(node_.credentials)
                           ? header_value(started.received.request.headers, platform::header::tenant)
                           : std::string();
    take_token(id);
}

void call_proxy::proceed(std::uint64_t id) {
    const call& started = *calls_.at(id);
    earn_retry(budget_of(started.service->name),
               std::min(started.service->retry_budget_percent, node_.settings.retry_share_percent));
    if (needs_key(*started.route, started.received.method)) {
        claim(id);
    } else {
        start_next_attempt(id);
    }
}

std::optional<error_kind> call_proxy::decide_credentials(call& decided) {
    std::optional<error_kind> refusal;
    if (decided.credentials.version != node_.version) {
        refusal =
            authorize_request(node_, *decided.route, decided.received.request.headers, decided.credentials);
        decided.priority = decided.credentials.is_nested
                               ? nested_call_priority
                               : decided.credentials.priority.value_or(decided.route->priority);
    }
    // Without evidence the key may also be one that a newer contract has added.
    const auto unverified = check_evidence(node_, decided.credentials, boottime_now());
    return unverified ? unverified : refusal;
}

void call_proxy::claim(std::uint64_t id) {
    call& started = *calls_.at(id);
    const std::string text = header_value(started.received.request.headers, call_header::idempotency_key);
    if (text.empty()) {
        fail(id, error_kind::missing_idempotency_key);
        return;
    }
    started.key = parse_idempotency_key(text);
    const auto allowed_skew = static_cast<wall_ms>(node_.records.policy.max_clock_skew.count());
    if (!started.key || started.key->created_at > wall_now() + allowed_skew) {
        fail(id, error_kind::bad_idempotency_key);
        return;
    }
    claimant_effects effects;
    const auto attempt_id = start_claim(node_.claims, node_.records.map, node_.control.nodes, *started.key,
                                        started.received.fingerprint, monotonic_now(), node_.random, effects);
    if (!attempt_id) {
        fail(id, error_kind::ledger_unavailable);
        return;
    }
    started.attempt_id = *attempt_id;
    calls_by_attempt_[*attempt_id] = id;
    send_all(node_, std::move(effects.messages));
}

void call_proxy::handle_claims(const claimant_effects& effects) {
    for (const claim_result& result : effects.results) {
        const auto found = calls_by_attempt_.find(result.attempt_id);
        if (found == calls_by_attempt_.end()) {
            if (result.verdict == claim_verdict::granted) {
                // The client disconnected before the claim was granted, so nothing was sent.
                send_all(node_, release_claim(node_.claims, node_.records.map, node_.control.nodes,
                                              result.attempt_id, result.key, monotonic_now())
                                    .messages);
            }
            continue;
        }
        const std::uint64_t id = found->second;
        calls_by_attempt_.erase(found);
        if (result.verdict == claim_verdict::granted) {
            calls_.at(id)->granted = true;
            calls_.at(id)->was_granted = true;
            start_next_attempt(id);
        } else if (result.verdict == claim_verdict::done) {
            replay(id, result.existing);
        } else {
            fail(id, refusal_of(result.verdict));
        }
    }
}

void call_proxy::replay(std::uint64_t id, const ledger_record& record) {
    call& repeated = *calls_.at(id);
    node_.counts.replayed += 1;
    // A record of an earlier release may hold a status that promises that its request has not run.
    if (!record.response_kept || promises_not_run(static_cast<int>(record.status))) {
        fail(id, error_kind::answer_not_kept);
        return;
    }
    std::vector<http_header> headers{{call_header::outcome, std::string(outcome_name(outcome::done))},
                                     {call_header::replayed, "true"}};
    if (!record.content_type.empty()) {
        headers.push_back({"Content-Type", record.content_type});
    }
    repeated.client->reply(static_cast<int>(record.status), record.response, headers);
    node_.counts.completed += 1;
    remove(id);
}

void call_proxy::settle(call& settled, std::uint32_t state) {
    if (!settled.granted) {
        return;
    }
    settled.granted = false;
    wire::record record;
    record.set_key(settled.key->bytes);
    record.set_fingerprint(settled.received.fingerprint);
    record.set_attempt(settled.attempt_id);
    record.set_state(state);
    record.set_status(static_cast<std::uint32_t>(settled.status));
    record.set_content_type(settled.content_type);
    record.set_answer(settled.response_copy);
    record.set_answer_dropped(settled.response_too_long);
    send_all(node_, settle_claim(node_.claims, node_.records.map, node_.control.nodes, std::move(record),
                                 monotonic_now())
                        .messages);
}

void call_proxy::record_latency(const call& ended, outcome result) {
    const request_kind kind = ended.route == nullptr ? request_kind::by_method : ended.route->kind;
    node_.metrics.record_call(kind, result, milliseconds(elapsed_ms(ended.received_at, monotonic_now())));
}

void call_proxy::record_unserved(const call& ended) {
    if (ended.client_deadline) {
        waxwingfall::track_unserved(client_retries_, ended.received.fingerprint,
                                    {ended.first_received, *ended.client_deadline}, monotonic_now());
    }
}

std::optional<milliseconds> call_proxy::remaining_objective(const call& open, time_point now) const {
    if (open.route == nullptr || open.route->objective_ms == 0) {
        return std::nullopt;
    }
    const auto remaining_ms = elapsed_ms(now, open.first_received + milliseconds(open.route->objective_ms));
    return milliseconds(std::max<std::int64_t>(0, remaining_ms));
}

double call_proxy::retry_after_s(const call& refused) {
    const time_point now = monotonic_now();
    retry_after_inputs inputs;
    if (refused.service != nullptr) {
        inputs.run_time = typical_run_time(node_.routing, refused.service->name, now);
        inputs.room_in =
            refused.room_in.value_or(shortest_room_in(node_.routing, refused.service->name, now));
    }
    inputs.objective_left = remaining_objective(refused, now).value_or(milliseconds(0));
    const time_point end = refused.client_deadline.value_or(refused.deadline);
    inputs.time_left = milliseconds(std::max<std::int64_t>(0, elapsed_ms(now, end)));
    return waxwingfall::retry_after_s(inputs, node_.random);
}

void call_proxy::finish(std::uint64_t id) {
    call& finished = *calls_.at(id);
    if (finished.worker_failed) {
        record_unserved(finished);
    }
    settle(finished, static_cast<std::uint32_t>(record_state::done));
    if (!finished.response_started) {
        start_response(finished);
    }
    finished.client->end();
    log_response(finished);
    record_latency(finished, outcome::done);
    node_.counts.completed += 1;
    node_.control.calls += 1;
    remove(id);
}

void call_proxy::fail(std::uint64_t id, error_kind cause) {
    call& failed = *calls_.at(id);
    if (monotonic_now() < failed.deadline && resume_silent_attempt(failed)) {
        return;
    }
    const error_kind kind = final_kind(cause, failed.may_have_run);
    const error_info& row = error_info_of(kind);
    const outcome result = outcome_of(kind, failed.has_key, failed.was_granted);
    log_failure(failed, kind, result);
    record_latency(failed, result);
    node_.metrics.record_refusal("client", kind);
    settle(failed, row.result == outcome::not_run ? released_state
                                                  : static_cast<std::uint32_t>(record_state::unknown));
    node_.counts.not_run += result == outcome::not_run ? 1 : 0;
    node_.counts.unknown += result == outcome::unknown ? 1 : 0;
    node_.control.calls += 1;
    const bool is_client_error = row.http_status >= 400 && row.http_status < 500;
    node_.control.failed_calls += is_client_error ? 0 : 1;
    // Once the response has been started, destroying it closes the connection, so that a truncated response
    // never looks complete.
    if (!failed.client->has_started()) {
        auto headers = error_headers(kind, result);
        if (node_.shutting_down) {
            failed.client->close_if_last();
        }
        if (row.http_status == status_unavailable && result == outcome::not_run) {
            headers.push_back({platform::header::retry_after, std::to_string(retry_after_s(failed))});
        }
        if (kind == error_kind::quota_exceeded) {
            headers.push_back({platform::header::retry_after, std::to_string(token_expected_s(failed))});
        }
        record_unserved(failed);
        failed.client->reply(row.http_status, error_body(kind, result), headers);
    }
    remove(id);
}

void call_proxy::remove(std::uint64_t id) {
    const auto found = calls_.find(id);
    const std::unique_ptr<call> removed = std::move(found->second);
    calls_.erase(found);
    calls_by_attempt_.erase(removed->attempt_id);
    stop_waiting_for_token(*removed);
    if (removed->silent) {
        workers_.cancel(removed->silent->upstream);
    }
    abandon_attempt(*removed, attempt_result::cancelled);
}

void call_proxy::sweep() {
    const time_point now = monotonic_now();
    std::vector<std::uint64_t> disconnected;
    std::vector<std::uint64_t> overdue;
    for (const auto& [id, open] : calls_) {
        // A non-idempotent request that may be running is not cancelled: its client will retry to learn the
        // outcome.
        if (!open->granted && open->client->is_disconnected()) {
            disconnected.push_back(id);
        } else if (now >= open->deadline + deadline_margin) {
            overdue.push_back(id);
        }
    }
    for (const std::uint64_t id : disconnected) {
        node_.counts.client_disconnected += 1;
        remove(id);
    }
    for (const std::uint64_t id : overdue) {
        give_up(id, error_kind::deadline_exceeded);
    }
    workers_.close_idle(now);
}

} // namespace waxwingfall
