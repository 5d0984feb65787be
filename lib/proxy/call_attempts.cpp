#include <algorithm>

#include "call_state.h"
#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/call/link_share.h"
#include "waxwingfall/call/placement.h"
#include "waxwingfall/call/upload_budget.h"

namespace waxwingfall {

namespace {

constexpr std::size_t max_stored_response_bytes = 4096;
/// Responses up to this size are forwarded only once they are complete. Larger ones are streamed, which
/// bounds the memory used.
constexpr std::size_t max_buffered_response_bytes = 64UL * 1024;

std::optional<double> read_number(const std::vector<http_header>& headers, const char* name) {
    const auto number = leading_number(header_value(headers, name));
    return number ? std::optional<double>(*number) : std::nullopt;
}

/// Returns the error kind that a worker's node gives as the reason of its refusal.
error_kind read_reason(const std::vector<http_header>& headers) {
    const std::string name = header_value(headers, call_header::reason);
    for (const error_info& row : error_table()) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return error_kind::overloaded;
}

} // namespace

void call_proxy::start_next_attempt(std::uint64_t id) {
    call& placed = *calls_.at(id);
    const time_point now = monotonic_now();
    const std::string& service = placed.service->name;
    if (now >= placed.deadline) {
        fail(id, placed.attempted_endpoints.empty() ? error_kind::deadline_exceeded : placed.refusal);
        return;
    }
    if (!placed.granted && placed.client->is_disconnected()) {
        // A node that reads late reads the request and the end of its connection together.
        node_.counts.client_disconnected += 1;
        remove(id);
        return;
    }
    // The key may have been removed since the call arrived or since its last attempt.
    if (const auto refusal = decide_credentials(placed)) {
        fail(id, *refusal);
        return;
    }
    const auto ends_in = time_until_forwarded_end(placed, now);
    if (ends_in == milliseconds(0)) {
        fail(id, error_kind::leaving);
        return;
    }
    const auto endpoint = pick(placed, now);
    if (!endpoint) {
        fail(id, placed.attempted_endpoints.empty() ? error_kind::no_endpoint : placed.refusal);
        return;
    }
    make_current(placed, *endpoint, placed.attempted_endpoints.size() + 1);
    placed.past_objective = remaining_objective(placed, now) == milliseconds(0);
    const bool is_retry = !placed.attempted_endpoints.empty();
    placed.attempted_endpoints.push_back(*endpoint);
    log_placement(placed, now);
    node_.counts.attempts += 1;
    node_.counts.retries += is_retry ? 1 : 0;
    record_transfer(node_.routing, service, *endpoint,
                    time_on_link(placed.received.body->size(), node_.settings.link_mbps), now);
    http_request sent = placed.received.request;
    const auto remaining_ms = std::max<std::int64_t>(1, elapsed_ms(now, placed.deadline));
    set_header(sent.headers, call_header::deadline_ms, std::to_string(remaining_ms));
    set_header(sent.headers, platform::header::client_service, placed.client_service);
    set_header(sent.headers, call_header::service, service);
    set_header(sent.headers, call_header::priority, std::to_string(placed.priority));
    add_credentials(sent.headers, placed.credentials);
    const auto objective = remaining_objective(placed, now);
    if (objective) {
        set_header(sent.headers, call_header::objective_ms, std::to_string(objective->count()));
    }
    if (ends_in) {
        set_header(sent.headers, call_header::ends_in_ms, std::to_string(ends_in->count()));
    }
    if (placed.first_received != placed.received_at) {
        set_header(sent.headers, call_header::client_retry, "1");
    }
    if (placed.route->kind == request_kind::download) {
        set_header(sent.headers, call_header::large_response, "1");
    }
    if (const auto limit = known_rate_limit(node_.routing, *endpoint, now)) {
        set_header(sent.headers, call_header::rate_limit, std::to_string(*limit));
    }
    if (is_retry || placed.inside_retry) {
        set_header(sent.headers, call_header::retry_attempt,
                   std::to_string(placed.attempted_endpoints.size()));
    }
    const std::string translated =
        translate(node_.settings.translations, endpoint_address(node_.routing, service, *endpoint));
    const auto address = parse_address(translated);
    upstream_options options;
    options.timeout = milliseconds(remaining_ms) + deadline_margin;
    options.body = placed.received.body;
    const bool is_upload = node_.settings.link_mbps > 0 && placed.received.body->size() > large_body_bytes;
    options.body_after_continue = is_upload ? large_body_bytes : 0;
    // A head that is not answered can't have run, so that another node may take over any request.
    options.acknowledged_within = acknowledgement_timeout(placed.non_idempotent && !is_upload);
    placed.upstream =
        workers_.send(address.value_or(ip_address{}), sent, options, make_callbacks(id, placed.attempt, now));
}

std::optional<member_id> call_proxy::pick(const call& placed, time_point now) {
    const std::string& service = placed.service->name;
    if (node_.routing.policy.rule != pick_rule::expected_finish) {
        return pick_endpoint(node_.routing, service, placed.attempted_endpoints, now, node_.random);
    }
    const placement_inputs inputs{service,
                                  placed.attempted_endpoints,
                                  placed.priority,
                                  placed.route->kind == request_kind::download,
                                  remaining_objective(placed, now) == milliseconds(0),
                                  time_on_link(placed.received.body->size(), node_.settings.link_mbps),
                                  placed.received.body->size() > large_body_bytes};
    return place_call(node_.routing, inputs, now, node_.random);
}

void call_proxy::on_headers(std::uint64_t id, int status, const std::vector<http_header>& headers) {
    call& active = *calls_.at(id);
    active.report = {read_number(headers, call_header::load), read_number(headers, call_header::mean_run_ms),
                     active.priority, std::nullopt, active.past_objective};
    if (const auto pause = read_number(headers, call_header::pause_ms)) {
        active.report.pause = milliseconds(static_cast<std::int64_t>(*pause));
    }
    if (const auto backlog = read_number(headers, call_header::link_backlog_ms)) {
        active.report.link_backlog = milliseconds(static_cast<std::int64_t>(*backlog));
        active.report.is_upload = active.received.body->size() > large_body_bytes;
    }
    if (const auto room = read_number(headers, call_header::room_ms)) {
        active.report.room_in = milliseconds(static_cast<std::int64_t>(*room));
        active.room_in = std::min(active.room_in.value_or(milliseconds::max()), *active.report.room_in);
    }
    const std::string result = header_value(headers, call_header::outcome);
    const bool is_done = result == outcome_name(outcome::done);
    if (is_done || read_reason(headers) == error_kind::worker_refused) {
        record_rate_limit(node_.routing, active.endpoint,
                          platform::decode_rate_limit(header_value(headers, platform::header::rate_limit)),
                          monotonic_now());
    }
    if (!is_done) {
        // Not forwarded: another attempt may still get a response from a worker.
        active.refused = result == outcome_name(outcome::not_run) || !workers_.may_have_run(active.upstream);
        active.refusal = read_reason(headers);
        active.crashed = active.refusal == error_kind::worker_crashed;
        active.crashed_at = parse_whole_number(header_value(headers, call_header::crashed_at));
        active.status = 0;
        return;
    }
    active.worker_failed = is_worker_failure(status);
    ran_response response{status, active.non_idempotent, false};
    // A withheld response is decided about like a lost one, at its end.
    if (decide_response(response) == response_action::forward && active.worker_failed &&
        !active.non_idempotent) {
        response.others_may_succeed =
            other_endpoints_are_healthier(node_.routing, active.service->name, active.endpoint) &&
            may_retry(active, active.reached_attempts + 1, monotonic_now());
    }
    active.action = decide_response(response);
    if (active.action != response_action::forward) {
        active.withheld_status = status;
        active.status = 0;
        return;
    }
    active.status = status;
    active.content_type = header_value(headers, "Content-Type");
    auto forwarded = end_to_end_headers(headers);
    if (node_.shutting_down) {
        active.client->close_if_last();
    }
    forwarded.push_back({call_header::outcome, std::string(outcome_name(outcome::done))});
    forwarded.push_back({call_header::version, std::to_string(active.version)});
    active.response_headers = std::move(forwarded);
    active.buffered_body.clear();
}

void call_proxy::start_response(call& active) {
    active.response_started = true;
    active.client->may_break_off();
    active.client->begin(active.status, active.response_headers);
    if (!active.buffered_body.empty()) {
        evbuffer* buffered = evbuffer_new();
        evbuffer_add(buffered, active.buffered_body.data(), active.buffered_body.size());
        active.client->write(buffered, {});
        evbuffer_free(buffered);
        active.buffered_body.clear();
    }
}

void call_proxy::on_data(std::uint64_t id, evbuffer* data) {
    call& active = *calls_.at(id);
    if (active.status == 0) {
        evbuffer_drain(data, evbuffer_get_length(data));
        return;
    }
    if (active.granted && !active.response_too_long) {
        const std::size_t size = evbuffer_get_length(data);
        active.response_too_long = active.response_copy.size() + size > max_stored_response_bytes;
        if (active.response_too_long) {
            active.response_copy.clear();
        } else {
            std::string piece(size, '\0');
            evbuffer_copyout(data, piece.data(), size);
            active.response_copy += piece;
        }
    }
    if (!active.response_started) {
        // Buffered until it is complete: if the connection to the worker breaks, a retry can still succeed,
        // or an error ends the call without its connection, which other responses may need.
        std::string piece(evbuffer_get_length(data), '\0');
        evbuffer_remove(data, piece.data(), piece.size());
        active.buffered_body += piece;
        if (active.buffered_body.size() > max_buffered_response_bytes) {
            start_response(active);
        }
        return;
    }
    const std::uint64_t upstream = active.upstream;
    if (active.client->write(data, [this, upstream] { workers_.resume(upstream); })) {
        workers_.pause(upstream);
    }
}

void call_proxy::on_end(std::uint64_t id, upstream_end end) {
    call& ended = *calls_.at(id);
    const time_point now = monotonic_now();
    ended.attempt_in_progress = false;
    const bool has_response = end == upstream_end::complete && ended.status != 0;
    const bool refused = end == upstream_end::complete && ended.refused;
    const bool unreachable = end == upstream_end::not_connected || end == upstream_end::unacknowledged ||
                             end == upstream_end::body_not_sent;
    const bool served = has_response && !ended.worker_failed;
    // A refusal because of the customer's key says nothing about the load of the endpoint.
    const bool key_refused = refused && ended.refusal == error_kind::unknown_credential;
    // A worker that resets connections because it is full has not failed; its endpoint is skipped for the
    // pause, and so are the other full ones.
    const bool is_full = end == upstream_end::complete && ended.report.pause &&
                         ended.refusal == error_kind::worker_failed && !has_response;
    ended.report.is_upload = ended.report.is_upload && !is_full;
    const attempt_result result = served        ? attempt_result::responded
                                  : key_refused ? attempt_result::cancelled
                                  : refused     ? attempt_result::refused
                                  : unreachable ? attempt_result::unreachable
                                  : is_full     ? attempt_result::refused
                                                : attempt_result::failed;
    end_attempt(node_.routing, ended.service->name, ended.endpoint, result, ended.report, now);
    const std::string& fingerprint = ended.received.fingerprint;
    if (ended.crashed) {
        report_crash(node_, fingerprint, ended.endpoint, ended.crashed_at, now);
    } else if (end == upstream_end::complete && (has_response || ended.action != response_action::forward)) {
        report_completion(node_, fingerprint, now);
    }
    if (has_response) {
        finish(id);
        return;
    }
    if (end == upstream_end::not_connected || end == upstream_end::body_not_sent) {
        ended.refused = true;
        ended.refusal = error_kind::worker_unreachable;
    }
    const bool refused_by_node = ended.refused && ended.refusal != error_kind::worker_refused;
    ended.reached_attempts += refused_by_node ? 0 : 1;
    if (ended.refused) {
        on_refused(id);
        return;
    }
    ended.may_have_run = true;
    ended.refusal = error_kind::worker_failed;
    if (ended.action == response_action::try_elsewhere) {
        // `may_retry` allowed the attempt when the response began.
        start_next_attempt(id);
        return;
    }
    if (ended.client->has_started() || ended.non_idempotent) {
        // A second run could repeat the first one's side effects.
        const bool has_failed = ended.action == response_action::withhold;
        fail(id, has_failed ? error_kind::worker_failed : error_kind::outcome_unknown);
        return;
    }
    if (may_retry(ended, ended.reached_attempts, now)) {
        start_next_attempt(id);
    } else {
        fail(id, failed_attempt_kind(ended.deadline, now));
    }
}

void call_proxy::on_refused(std::uint64_t id) {
    call& refused = *calls_.at(id);
    if (is_retryable(refused.refusal) && may_retry(refused, refused.reached_attempts, monotonic_now())) {
        start_next_attempt(id);
    } else {
        fail(id, refused.refusal);
    }
}

bool call_proxy::has_attempts_left(const call& failed, std::size_t reached_attempts, time_point now) const {
    const retry_inputs inputs{reached_attempts,
                              failed.max_attempts,
                              failed.inside_retry,
                              failed.deadline,
                              run_verdict_of(node_.crashes, failed.received.fingerprint, now) !=
                                  run_verdict::run,
                              failed.attempted_endpoints.size()};
    return is_retry_allowed(inputs, now);
}

bool call_proxy::can_try_another_endpoint(const call& unacknowledged, time_point now) {
    // The unacknowledged attempt may have reached its worker, so the next one needs a token of the retry
    // budget.
    const bool budget_allows =
        !node_.settings.retry_budget || budget_of(unacknowledged.service->name).tokens >= 1;
    return budget_allows && !unacknowledged.non_idempotent &&
           has_attempts_left(unacknowledged, unacknowledged.reached_attempts + 1, now) &&
           pick(unacknowledged, now);
}

bool call_proxy::may_retry(const call& failed, std::size_t reached_attempts, time_point now) {
    if (!has_attempts_left(failed, reached_attempts, now)) {
        return false;
    }
    // If no attempt has reached a worker, the next one is not a repetition and costs no token.
    if (reached_attempts == 0 || !node_.settings.retry_budget ||
        spend_retry(budget_of(failed.service->name))) {
        return true;
    }
    node_.counts.retries_denied += 1;
    return false;
}

retry_budget& call_proxy::budget_of(const std::string& service) {
    const std::uint32_t slack = node_.settings.retry_slack;
    const auto& members = node_.control.nodes.members;
    const auto live_members = std::count_if(members.begin(), members.end(), [](const auto& entry) {
        return entry.second.state != member_state::dead;
    });
    const auto nodes = static_cast<std::size_t>(live_members);
    retry_budget& budget = budgets_.try_emplace(service, node_retry_budget(slack, nodes)).first->second;
    resize_retry_budget(budget, slack, nodes);
    return budget;
}

} // namespace waxwingfall
