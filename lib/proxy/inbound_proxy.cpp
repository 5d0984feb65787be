#include "waxwingfall/proxy/inbound_proxy.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <set>

#include "inbound_request.h"
#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/call/nested_calls.h"
#include "waxwingfall/call/response_decision.h"
#include "waxwingfall/cluster/shutdown_plan.h"
#include "waxwingfall/proxy/server_setup.h"
#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

constexpr milliseconds sweep_period{20};
constexpr milliseconds connection_reuse_limit{5000};
constexpr std::uint32_t default_queue_limit = 24;
constexpr int first_failure_status = 400;
constexpr int first_worker_failure_status = 500;

/// Time for which other nodes skip a worker that resets new connections because it is full: some of its runs
/// end meanwhile. Most take 50 to 300 ms.
constexpr milliseconds full_worker_pause{100};

bool is_large_response(const server_exchange& exchange) {
    return leading_number(exchange.header(call_header::large_response)).value_or(0) != 0;
}

run_result result_of_status(int status) {
    if (status >= first_worker_failure_status) {
        return run_result::failed;
    }
    return status >= first_failure_status ? run_result::client_failed : run_result::served;
}

} // namespace

inbound_proxy::inbound_proxy(node_context& node)
    : node_(node), link_(share_of_link(node.settings.link_mbps)),
      uploads_(budget_of_link(node.settings.link_mbps)), worker_(node.loop, connection_reuse_limit),
      server_(node.loop, node.settings.inbound, node.capacity, make_peer_server_limits(node),
              make_callbacks()),
      sweep_(loop_event::every(node.loop, sweep_period, [this] { sweep(); })),
      probe_(node.settings.heartbeats
                 ? loop_event()
                 : loop_event::every(node.loop, node.settings.probe_period, [this] { probe_worker(); })) {
    admission_.slots = node.settings.slots;
    admission_.unpaced_slots = node.settings.slots;
    apply_pace(monotonic_now());
    admission_.queue_limit = default_queue_limit;
}

inbound_proxy::~inbound_proxy() = default;

void inbound_proxy::apply_contract_limits() {
    server_.set_limits(make_peer_server_limits(node_));
}

void inbound_proxy::apply_admission_limits() {
    const service_contract* known =
        node_.active_contract ? find_service(*node_.active_contract, local_service(node_.worker)) : nullptr;
    std::uint32_t& slots = admission_.unpaced_slots;
    slots = node_.worker.latest_report ? node_.worker.latest_report->slots : node_.settings.slots;
    admission_.queue_limit = default_queue_limit;
    if (admission_.limit.per_s != node_.worker.rate_limit) {
        set_rate(admission_.limit, node_.worker.rate_limit, monotonic_now());
    }
    if (known != nullptr) {
        admission_.queue_limit = known->queue;
        if (known->in_flight > 0) {
            slots = std::min(slots, known->in_flight);
        }
    }
    apply_pace(monotonic_now());
}

std::vector<http_header> inbound_proxy::with_load(std::vector<http_header> headers) const {
    headers.push_back({call_header::load, std::to_string(static_cast<int>(reported_load(admission_)))});
    if (admission_.mean_run_ms > 0) {
        headers.push_back(
            {call_header::mean_run_ms, std::to_string(static_cast<int>(admission_.mean_run_ms) + 1)});
    }
    if (const milliseconds backlog = link_backlog(uploads_); backlog > milliseconds(0)) {
        headers.push_back({call_header::link_backlog_ms, std::to_string(backlog.count())});
    }
    return headers;
}

const waiting_request& inbound_proxy::urgency_of_customer(request& arrived) const {
    // Without keys, clients may send any name.
    if (requires_keys(node_.credentials)) {
        const std::string name = header_value(arrived.received.request.headers, platform::header::tenant);
        arrived.urgency.customer = name.empty() ? 0 : stable_hash(name);
    }
    return arrived.urgency;
}

void inbound_proxy::receive(const std::shared_ptr<server_exchange>& exchange) {
    const time_point now = monotonic_now();
    const std::uint64_t id = find_or_open_request(exchange, now);
    request& arrived = *requests_.at(id);
    arrived.client->acknowledge();
    arrived.received = read_request(*exchange);
    const auto relayed = platform::decode_rate_limit(exchange->header(call_header::rate_limit));
    if (relayed && record_relayed_limit(node_.worker, *relayed)) {
        apply_rate_limit("peer");
    }
    apply_admission_limits();
    if (const auto refusal = check_before_run(*requests_.at(id), now)) {
        refuse(id, *refusal);
        return;
    }
    const bool uses_link_share = is_large_response(*exchange);
    if (uses_link_share && !admit_large_response(link_, now)) {
        refuse(id, error_kind::overloaded);
        return;
    }
    requests_.at(id)->large_response = uses_link_share;
    const admission_verdict verdict = admit(admission_, urgency_of_customer(*requests_.at(id)), now);
    if (!admission_.displaced.empty()) {
        apply_queue_update(process_queue(admission_, now));
    }
    if (verdict == admission_verdict::run || verdict == admission_verdict::wait) {
        log_admission(*requests_.at(id), verdict);
    }
    switch (verdict) {
    case admission_verdict::run:
        run(id);
        break;
    case admission_verdict::wait:
        break;
    case admission_verdict::refuse_overloaded:
        refuse(id, error_kind::overloaded);
        break;
    case admission_verdict::refuse_deadline:
        refuse(id, error_kind::deadline_exceeded);
        break;
    case admission_verdict::refuse_leaving:
        refuse(id, error_kind::leaving);
        break;
    }
}

bool inbound_proxy::may_start(const request& open, time_point now) const {
    if (!open.ends_by && !ends_by_) {
        return true;
    }
    const milliseconds run_time = outlook_of(admission_, open.urgency.priority, now).run_time;
    const unstarted_request waiting{open.deadline, run_time};
    return may_start_before_shutdown(waiting, open.ends_by, now) &&
           may_start_before_shutdown(waiting, ends_by_, now);
}

void inbound_proxy::handle_stop_notice(const wire::stop_notice& notice, time_point now) {
    const std::set<std::string> ids(notice.requests().begin(), notice.requests().end());
    const time_point ends_by = now + milliseconds(notice.ends_in_ms());
    for (const auto& [id, open] : requests_) {
        if (ids.contains(open->request_id)) {
            open->ends_by = std::min(open->ends_by.value_or(ends_by), ends_by);
        }
    }
}

std::optional<error_kind> inbound_proxy::refusal_of(const request& open, time_point now) const {
    if (!may_start(open, now)) {
        return error_kind::leaving;
    }
    if (node_.settings.heartbeats) {
        return find_refusal(node_.worker, open.service, node_.settings.drain, now);
    }
    const bool is_for_other_service = !open.service.empty() && open.service != local_service(node_.worker);
    return is_for_other_service ? std::optional(error_kind::leaving) : std::nullopt;
}

std::optional<error_kind> inbound_proxy::check_before_run(request& open, time_point now) {
    if (const auto refusal = refusal_of(open, now)) {
        return refusal;
    }
    const std::string& fingerprint = open.received.fingerprint;
    if (const auto refusal = crash_refusal(node_.crashes, fingerprint, now)) {
        return refusal;
    }
    // Beside another suspect, a crash would not show which of the two caused it.
    if (is_trial_running_ && run_verdict_of(node_.crashes, fingerprint, now) == run_verdict::trial) {
        return error_kind::crash_suspected;
    }
    return reauthorize_request(node_, open.received, open.credentials);
}

void inbound_proxy::run(std::uint64_t id) {
    request& started = *requests_.at(id);
    const time_point now = monotonic_now();
    if (const auto refusal = check_before_run(started, now)) {
        // Marked as running so that `remove` releases the slot that admission has counted.
        started.running = true;
        refuse(id, *refusal);
        return;
    }
    const std::string& fingerprint = started.received.fingerprint;
    if (run_verdict_of(node_.crashes, fingerprint, now) == run_verdict::trial) {
        report_trial(node_, fingerprint, now);
        started.is_trial = true;
        is_trial_running_ = true;
    }
    started.running = true;
    started.run_id = header_value(started.received.request.headers, platform::header::attempt_id);
    track_run(node_.running, started.run_id);
    started.started_at = now;
    started.worker_id = node_.worker.worker_id;
    node_.counts.admitted += 1;
    http_request sent = started.received.request;
    const auto remaining_ms = std::max<std::int64_t>(1, elapsed_ms(now, started.deadline));
    set_header(sent.headers, call_header::deadline_ms, std::to_string(remaining_ms));
    if (!started.worker_id.empty()) {
        set_header(sent.headers, platform::header::worker_id, started.worker_id);
    }
    upstream_callbacks callbacks;
    callbacks.on_headers = [this, id](int status, const std::vector<http_header>& headers) {
        on_headers(id, status, headers);
    };
    callbacks.on_data = [this, id](evbuffer* data) { on_data(id, data); };
    callbacks.on_end = [this, id](upstream_end end) { on_end(id, end); };
    callbacks.on_reset_unanswered = [this, id] { requests_.at(id)->was_reset_unanswered = true; };
    upstream_options options;
    options.timeout = milliseconds(remaining_ms);
    options.reuse_after_failure = !started.run_id.empty();
    options.body = started.received.body;
    if (!started.run_id.empty()) {
        options.echo = http_header{platform::header::attempt_id, started.run_id};
    }
    if (node_.settings.signed_responses) {
        options.signature = platform::header::signature;
    }
    started.upstream = worker_.send(node_.settings.worker, sent, options, std::move(callbacks));
}

void inbound_proxy::on_headers(std::uint64_t id, int status, const std::vector<http_header>& headers) {
    request& running = *requests_.at(id);
    running.status = status;
    running.responded_at = monotonic_now();
    observe_worker(running, headers);
    const outcome result = stated_outcome(status, !header_value(headers, call_header::not_run).empty());
    running.worker_refused = result == outcome::not_run;
    auto forwarded = with_load(end_to_end_headers(headers));
    forwarded.push_back({call_header::outcome, std::string(outcome_name(result))});
    if (running.worker_refused) {
        forwarded.push_back(
            {call_header::reason, std::string(error_info_of(error_kind::worker_refused).name)});
    }
    running.client->begin(status, forwarded);
}

void inbound_proxy::on_data(std::uint64_t id, evbuffer* data) {
    request& running = *requests_.at(id);
    running.response_bytes += evbuffer_get_length(data);
    const std::uint64_t upstream = running.upstream;
    const bool is_full = running.client->write(data, [this, upstream] { worker_.resume(upstream); });
    if (is_full) {
        worker_.pause(upstream);
    }
}

void inbound_proxy::log_admission(const request& admitted, admission_verdict verdict) {
    node_.log.write(
        event_id::request_admitted, wall_now(),
        {{"request", header_value(admitted.received.request.headers, platform::header::attempt_id)},
         {"worker", node_.worker.worker_id},
         {"verdict", verdict == admission_verdict::run ? "run" : "wait"},
         {"running", std::to_string(admission_.running)},
         {"waiting", std::to_string(admission_.waiting.size())}});
}

void inbound_proxy::log_end(const request& ended, upstream_end end) {
    const std::string_view end_name = end == upstream_end::complete        ? "complete"
                                      : end == upstream_end::not_connected ? "not-connected"
                                                                           : "lost";
    const std::int64_t ran_ms = elapsed_ms(ended.started_at, monotonic_now());
    node_.metrics.record_run(end_name, milliseconds(ran_ms));
    node_.log.write(event_id::request_ended, wall_now(),
                    {{"request", header_value(ended.received.request.headers, platform::header::attempt_id)},
                     {"worker", node_.worker.worker_id},
                     {"end", std::string(end_name)},
                     {"ran_ms", std::to_string(ran_ms)}});
}

void inbound_proxy::on_end(std::uint64_t id, upstream_end end) {
    request& ended = *requests_.at(id);
    log_end(ended, end);
    if (end == upstream_end::complete) {
        failed_probes_ = 0;
        assert(ended.client->has_started() && "a complete response has a head");
        record_pace(ended, result_of_status(ended.status));
        if (!ended.worker_refused) {
            report_completion(node_, ended.received.fingerprint, monotonic_now());
        }
        ended.client->end();
        const time_point sent_at = ended.started_at;
        remove(id);
        handle_sign_of_life(sent_at);
        return;
    }
    record_pace(ended, run_result::failed);
    if (end == upstream_end::not_connected) {
        if (node_.settings.heartbeats) {
            mark_unreachable(node_.worker);
            publish_worker("unreachable");
        } else {
            probe_worker();
        }
        refuse(id, error_kind::worker_unreachable);
        return;
    }
    const error_kind kind = failed_attempt_kind(ended.deadline, monotonic_now());
    if (kind != error_kind::worker_failed) {
        fail(id, kind);
        return;
    }

    broken_fingerprints_.emplace(id, ended.received.fingerprint);
    if (add_broken_request(crashes_, id, monotonic_now())) {
        probe_for_crash();
    }
}

void inbound_proxy::refuse(std::uint64_t id, error_kind kind) {
    node_.counts.refused_by_inbound_proxy += 1;
    node_.metrics.record_refusal("worker", kind);
    node_.log.write(
        event_id::request_refused, wall_now(),
        {{"request", header_value(requests_.at(id)->received.request.headers, platform::header::attempt_id)},
         {"reason", std::string(error_info_of(kind).name)},
         {"running", std::to_string(admission_.running)},
         {"waiting", std::to_string(admission_.waiting.size())}});
    fail(id, kind);
}

void inbound_proxy::fail(std::uint64_t id, error_kind kind) {
    request& failed = *requests_.at(id);
    // Once the response has been started, a failure can only be reported by closing the connection, which
    // destroying the response does.
    if (!failed.client->has_started()) {
        const outcome result = error_info_of(kind).result;
        auto headers = with_load(error_headers(kind, result));
        if (kind == error_kind::overloaded) {
            add_return_times(headers, failed, monotonic_now());
        }
        if (failed.crashed_at != 0) {
            headers.push_back({call_header::crashed_at, std::to_string(failed.crashed_at)});
        }
        if (kind == error_kind::worker_failed && failed.was_reset_unanswered) {
            headers.push_back({call_header::pause_ms, std::to_string(full_worker_pause.count())});
        }
        failed.client->reply(error_info_of(kind).http_status, error_body(kind, result), headers);
    }
    remove(id);
}

void inbound_proxy::remove(std::uint64_t id) {
    const auto found = requests_.find(id);
    const std::unique_ptr<request> removed = std::move(found->second);
    requests_.erase(found);
    const time_point now = monotonic_now();
    if (removed->arriving != nullptr) {
        upload_ids_.erase(removed->arriving.get());
        remove_upload(uploads_, id);
    }
    if (removed->large_response) {
        settle_large_response(link_, removed->response_bytes);
    }
    if (removed->is_trial) {
        is_trial_running_ = false;
    }
    if (removed->running) {
        untrack_run(node_.running, removed->run_id);
        const milliseconds ran(std::max<std::int64_t>(1, elapsed_ms(removed->started_at, now)));
        apply_queue_update(release_slot(admission_, ran, now, removed->urgency.priority));
    } else {
        remove_waiting(admission_, id);
    }
}

void inbound_proxy::apply_queue_update(const queue_update& update) {
    // Running or refusing a request may free a slot and so cause further decisions. They are queued here
    // instead of being applied recursively.
    pending_updates_.push_back(update);
    if (pending_updates_.size() > 1) {
        return;
    }
    while (!pending_updates_.empty()) {
        const queue_update next = pending_updates_.front();
        for (const std::uint64_t id : next.expired) {
            if (requests_.contains(id)) {
                refuse(id, error_kind::overloaded);
            }
        }
        for (const std::uint64_t id : next.run) {
            if (requests_.contains(id)) {
                run(id);
            }
        }
        pending_updates_.pop_front();
    }
}

void inbound_proxy::sweep() {
    const time_point now = monotonic_now();
    learn_leave_from_peers();
    std::vector<std::uint64_t> disconnected;
    std::vector<std::uint64_t> overdue;
    std::vector<std::pair<std::uint64_t, error_kind>> refused;
    for (const auto& [id, open] : requests_) {
        if (open->client->is_disconnected()) {
            disconnected.push_back(id);
        } else if (open->running && now >= open->deadline) {
            overdue.push_back(id);
        } else if (!open->running) {
            if (const auto refusal = refusal_of(*open, now)) {
                refused.emplace_back(id, *refusal);
            }
        }
    }
    // None of them holds a slot, so refusing one decides nothing about the others.
    for (const auto& [id, refusal] : refused) {
        refuse(id, refusal);
    }
    for (const std::uint64_t id : disconnected) {
        if (!requests_.contains(id)) {
            continue;
        }
        node_.counts.client_disconnected += 1;
        worker_.cancel(requests_.at(id)->upstream);
        remove(id);
    }
    for (const std::uint64_t id : overdue) {
        if (requests_.contains(id)) {
            worker_.cancel(requests_.at(id)->upstream);
            record_pace(*requests_.at(id), run_result::overdue);
            fail(id, error_kind::outcome_unknown);
        }
    }
    apply_pace(now);
    apply_queue_update(process_queue(admission_, now));
    process_bodies(now);
    worker_.close_idle(now);
}

} // namespace waxwingfall
