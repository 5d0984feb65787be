#include "call_state.h"
#include "waxwingfall/call/call_decisions.h"

namespace waxwingfall {

namespace {

/// Smallest status with which a worker reports a failure of its own.
constexpr int first_server_error = 500;

} // namespace

upstream_callbacks call_proxy::make_callbacks(std::uint64_t id, std::size_t attempt, time_point sent_at) {
    upstream_callbacks callbacks;
    callbacks.on_headers = [this, id, attempt](int status, const std::vector<http_header>& headers) {
        if (is_current(id, attempt)) {
            on_headers(id, status, headers);
        } else {
            on_silent_headers(id, status, headers);
        }
    };
    callbacks.on_data = [this, id, attempt](evbuffer* data) {
        if (is_current(id, attempt)) {
            on_data(id, data);
        } else {
            evbuffer_drain(data, evbuffer_get_length(data));
        }
    };
    callbacks.on_end = [this, id, attempt](upstream_end end) {
        if (is_current(id, attempt)) {
            on_end(id, end);
        } else {
            calls_.at(id)->silent.reset();
        }
    };
    callbacks.on_acknowledged = [this, id, sent_at, endpoint = calls_.at(id)->endpoint] {
        const time_point now = monotonic_now();
        record_transit(node_.routing, calls_.at(id)->service->name, endpoint,
                       milliseconds(elapsed_ms(sent_at, now)), now);
    };
    callbacks.on_acknowledgement_overdue = [this, id, attempt, sent_at] {
        return on_acknowledgement_overdue(id, attempt, milliseconds(elapsed_ms(sent_at, monotonic_now())));
    };
    return callbacks;
}

bool call_proxy::is_current(std::uint64_t id, std::size_t attempt) const {
    return calls_.at(id)->attempt == attempt;
}

milliseconds call_proxy::on_acknowledgement_overdue(std::uint64_t id, std::size_t attempt,
                                                    milliseconds waited) {
    call& waiting = *calls_.at(id);
    const time_point now = monotonic_now();
    const milliseconds remaining(elapsed_ms(now, waiting.deadline));
    if (!is_current(id, attempt)) {
        return remaining;
    }
    record_transit(node_.routing, waiting.service->name, waiting.endpoint, waited, now);
    if (waiting.silent || !can_try_another_endpoint(waiting, now) ||
        !may_retry(waiting, waiting.reached_attempts + 1, now)) {
        return acknowledgement_extension(waited, false, remaining);
    }
    waiting.silent = silent_attempt{attempt, waiting.endpoint, waiting.upstream, false};
    waiting.attempt_in_progress = false;
    waiting.reached_attempts += 1;
    waiting.may_have_run = true;
    waiting.refusal = error_kind::worker_failed;
    end_attempt(node_.routing, waiting.service->name, waiting.endpoint, attempt_result::unreachable, {}, now);
    start_next_attempt(id);
    return acknowledgement_extension(waited, true, remaining);
}

void call_proxy::on_silent_headers(std::uint64_t id, int status, const std::vector<http_header>& headers) {
    call& active = *calls_.at(id);
    const bool is_success = header_value(headers, call_header::outcome) == outcome_name(outcome::done) &&
                            status < first_server_error && !promises_not_run(status);
    if (!is_success || active.client->has_started()) {
        active.silent->refused = true;
        return;
    }
    abandon_attempt(active, attempt_result::cancelled);
    resume_silent_attempt(active);
    on_headers(id, status, headers);
}

bool call_proxy::resume_silent_attempt(call& waiting) {
    const bool may_respond = waiting.silent && !waiting.silent->refused && !waiting.attempt_in_progress &&
                             !waiting.client->has_started();
    if (!may_respond) {
        return false;
    }
    const silent_attempt resumed = *waiting.silent;
    waiting.silent.reset();
    make_current(waiting, resumed.endpoint, resumed.attempt);
    waiting.upstream = resumed.upstream;
    return true;
}

void call_proxy::make_current(call& started, member_id endpoint, std::size_t attempt) {
    started.endpoint = endpoint;
    started.attempt = attempt;
    started.attempt_in_progress = true;
    started.refused = false;
    started.crashed = false;
    started.action = response_action::forward;
    started.worker_failed = false;
    started.report = {};
    started.status = 0;
    started.buffered_body.clear();
    begin_attempt(node_.routing, started.service->name, endpoint);
}

void call_proxy::abandon_attempt(call& abandoned, attempt_result result) {
    if (!abandoned.attempt_in_progress) {
        return;
    }
    abandoned.attempt_in_progress = false;
    workers_.cancel(abandoned.upstream);
    end_attempt(node_.routing, abandoned.service->name, abandoned.endpoint, result, {}, monotonic_now());
}

} // namespace waxwingfall
