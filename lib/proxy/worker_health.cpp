#include "inbound_request.h"

namespace waxwingfall {

namespace {

constexpr milliseconds probe_timeout{1000};
constexpr std::uint32_t unhealthy_after_failed_probes = 3;

probe_result probe_result_of(const http_response& response) {
    switch (response.delivery_status) {
    case http_response::delivery::response_received:
        return probe_result::responded;
    case http_response::delivery::not_connected:
        return probe_result::refused;
    case http_response::delivery::no_response:
        return probe_result::lost;
    }
    return probe_result::lost;
}

} // namespace

void inbound_proxy::request_health(std::function<void(const http_response&)> done) const {
    const http_request health{EVHTTP_REQ_GET, health_path(), {}, {}};
    exchange(node_.loop, node_.settings.worker, health, probe_timeout, std::move(done));
}

void inbound_proxy::probe_for_crash() {
    request_health([this, series = crash_probe_series_](const http_response& response) {
        if (series == crash_probe_series_) {
            handle_crash_probe(response);
        }
    });
}

void inbound_proxy::handle_sign_of_life(time_point sent_at) {
    const time_point now = monotonic_now();
    const crash_finding finding = apply_sign_of_life(crashes_, sent_at, now);
    if (finding.decided.empty()) {
        return;
    }
    if (crashes_.broken.empty()) {
        crash_probe_series_ += 1;
        next_crash_probe_ = {};
    }
    for (const std::uint64_t id : finding.decided) {
        end_broken_request(id, finding.crashed, now);
    }
}

void inbound_proxy::handle_crash_probe(const http_response& response) {
    const time_point now = monotonic_now();
    const crash_finding finding = apply_probe_result(crashes_, probe_result_of(response));
    if (finding.probe_after) {
        next_crash_probe_ =
            loop_event::after(node_.loop, *finding.probe_after, [this] { probe_for_crash(); });
        return;
    }
    if (finding.crashed) {
        pace_ =
            {}; // a new process of the worker starts cold; one that reports none has no incarnation either
        node_.log.write(event_id::worker_crashed, wall_now(),
                        {{"requests", std::to_string(finding.decided.size())}});
    }
    for (const std::uint64_t id : finding.decided) {
        end_broken_request(id, finding.crashed, now);
    }
    handle_probe(response);
}

void inbound_proxy::end_broken_request(std::uint64_t id, bool crashed, time_point now) {
    const auto fingerprint = broken_fingerprints_.extract(id);
    const bool is_evidence = is_crash_evidence(crashed, worker_leaves_ || node_.worker.leaving);
    const std::uint64_t crashed_at = is_evidence ? hybrid_now(node_) : 0;
    if (is_evidence) {
        // Sent before the response, so that the crash report is already being broadcast when the client
        // retries.
        report_crash(node_, fingerprint.mapped(), node_.control.nodes.self.id, crashed_at, now);
    }
    const auto open = requests_.find(id);
    if (open != requests_.end()) {
        open->second->crashed_at = crashed_at;
        fail(id, is_evidence ? error_kind::worker_crashed : error_kind::worker_failed);
    }
}

std::string inbound_proxy::health_path() const {
    const service_contract* known =
        node_.active_contract ? find_service(*node_.active_contract, local_service(node_.worker)) : nullptr;
    return known == nullptr ? std::string("/health") : known->health_path;
}

report_verdict inbound_proxy::handle_worker_report(const worker_report& report) {
    const std::uint64_t previous_sequence =
        node_.worker.latest_report ? node_.worker.latest_report->sequence : 0;
    const bool accepted_before = accepts_requests(node_.worker);
    const bool names_service = report.state != worker_state::left;
    if (names_service && node_.active_contract &&
        find_service(*node_.active_contract, report.service) == nullptr) {
        return report_verdict::foreign;
    }
    learn_leave_from_peers();
    const report_verdict verdict = waxwingfall::update_worker_view(node_.worker, report, monotonic_now());
    if (verdict == report_verdict::applied &&
        (previous_sequence == 0 || accepted_before != accepts_requests(node_.worker))) {
        log_report(report);
    }
    publish_worker("reported");
    return verdict;
}

void inbound_proxy::log_report(const worker_report& report) {
    node_.log.write(event_id::worker_reported, wall_now(),
                    {{"worker", report.worker_id},
                     {"incarnation", std::to_string(report.incarnation)},
                     {"sequence", std::to_string(report.sequence)},
                     {"state", accepts_requests(node_.worker) ? "ready" : "leaving"},
                     {"slots", std::to_string(report.slots)}});
}

void inbound_proxy::restore_leave(const std::optional<left_worker>& left) {
    if (left) {
        exclude_worker(*left, "store");
    }
    if (const auto applied = apply_deferred_report(node_.worker, monotonic_now())) {
        log_report(*applied);
        publish_worker("reported");
    }
}

void inbound_proxy::learn_leave_from_peers() {
    const auto& previous = node_.control.nodes.previous_self;
    if (learned_from_peers_ || !previous) {
        return;
    }
    learned_from_peers_ = true;
    if (!previous->left_worker.empty()) {
        exclude_worker({previous->left_worker, previous->left_worker_start}, "peers");
    }
}

void inbound_proxy::exclude_worker(const left_worker& left, const std::string& source) {
    record_leave(node_.worker, left.worker_id, left.incarnation);
    node_.log.write(
        event_id::worker_leave_restored, wall_now(),
        {{"worker", left.worker_id}, {"incarnation", std::to_string(left.incarnation)}, {"source", source}});
    membership& nodes = node_.control.nodes;
    if (!nodes.self.left_worker.empty() || nodes.self.state != member_state::alive) {
        return;
    }
    nodes.self.left_worker = left.worker_id;
    nodes.self.left_worker_start = left.incarnation;
    send_all(node_, set_local_state(nodes, member_state::alive, monotonic_now()).messages);
}

void inbound_proxy::observe_worker(const request& answered, const std::vector<http_header>& headers) {
    if (answered.worker_id != node_.worker.worker_id) {
        return;
    }
    observe_rate_limit(headers);
    // Without heartbeats the worker's health endpoint says that it leaves.
    if (node_.settings.heartbeats && header_value(headers, platform::header::leaving) == "1" &&
        record_leaving(node_.worker, monotonic_now())) {
        publish_worker("leaving");
    }
}

void inbound_proxy::observe_rate_limit(const std::vector<http_header>& headers) {
    const std::string stated = header_value(headers, platform::header::rate_limit);
    const auto limit = platform::decode_rate_limit(stated);
    if (!stated.empty() && !limit) {
        node_.log.write(event_id::worker_report_ignored, wall_now(),
                        {{"worker", node_.worker.worker_id}, {"why", "the rate limit can't be read"}});
        return;
    }
    if (record_stated_limit(node_.worker, limit)) {
        apply_rate_limit("worker");
    }
}

void inbound_proxy::apply_rate_limit(const std::string& source) {
    const auto& limit = node_.worker.rate_limit;
    set_rate(admission_.limit, limit, monotonic_now());
    node_.log.write(event_id::worker_limit_changed, wall_now(),
                    {{"worker", node_.worker.worker_id},
                     {"per_s", limit ? std::to_string(*limit) : "none"},
                     {"source", source}});
}

void inbound_proxy::apply_pace(time_point now) {
    const worker_view& worker = node_.worker;
    const std::uint64_t start = worker.latest_report ? worker.latest_report->incarnation : 0;
    if (paced_worker_ != worker.worker_id || paced_start_ != start) {
        paced_worker_ = worker.worker_id;
        paced_start_ = start;
        pace_ = {};
        if (timed_service_ != local_service(worker)) {
            timed_service_ = local_service(worker);
            forget_run_times(admission_);
        }
    }
    if (worker.latest_report) {
        set_warm_up(pace_, worker.latest_report->warm_up_left, worker.last_report_at);
    }
    set_pace_slots(pace_, admission_.unpaced_slots);
    const std::uint32_t was = admission_.slots;
    admission_.slots = node_.settings.pace == pace_rule::adaptive
                           ? std::min(admission_.unpaced_slots, pace_limit(pace_, now))
                           : admission_.unpaced_slots;
    if (node_.settings.pace == pace_rule::adaptive && admission_.slots != was) {
        node_.log.write(event_id::worker_pace_changed, wall_now(),
                        {{"worker", worker.worker_id},
                         {"limit", std::to_string(admission_.slots)},
                         {"slots", std::to_string(admission_.unpaced_slots)},
                         {"was", std::to_string(was)}});
    }
}

void inbound_proxy::record_pace(const request& ended, run_result result) {
    // A run of an earlier worker says nothing about its successor.
    if (ended.worker_id != node_.worker.worker_id) {
        return;
    }
    const time_point now = monotonic_now();
    const time_point responded = ended.status == 0 ? now : ended.responded_at;
    const milliseconds ran(elapsed_ms(ended.started_at, responded));
    record_run(pace_, {ended.urgency.priority, ran, result, admission_.running}, responded);
    apply_pace(now);
}

void inbound_proxy::publish_worker(const std::string& reason) {
    const bool has_withdrawn = node_.control.nodes.self.state == member_state::leaving;
    const bool accepts_work = accepts_requests(node_.worker) && !has_withdrawn;
    const std::uint32_t reported =
        node_.worker.latest_report ? node_.worker.latest_report->slots : node_.settings.slots;
    const std::uint32_t slots = accepts_work ? reported : 0;
    membership& nodes = node_.control.nodes;
    const std::string& service = local_service(node_.worker);
    const bool has_left = node_.worker.leaving && nodes.self.left_worker != node_.worker.worker_id;
    if ((nodes.self.slots == slots && nodes.self.service == service && !has_left) || has_withdrawn) {
        return;
    }
    nodes.self.service = service;
    if (has_left) {
        nodes.self.left_worker = node_.worker.worker_id;
        nodes.self.left_worker_start =
            node_.worker.latest_report ? node_.worker.latest_report->incarnation : 0;
    }
    publish_state(accepts_work, slots, reason);
}

void inbound_proxy::apply_configured_service() {
    configure_service(node_.worker, node_.settings.service);
    if (node_.settings.heartbeats) {
        publish_worker("configured");
        return;
    }
    membership& nodes = node_.control.nodes;
    const bool has_withdrawn = nodes.self.state == member_state::leaving;
    if (nodes.self.service != node_.settings.service && !has_withdrawn) {
        nodes.self.service = node_.settings.service;
        pace_ = {};
        forget_run_times(admission_);
        publish_state(healthy_, nodes.self.slots, "configured");
    }
}

void inbound_proxy::publish_state(bool healthy, std::uint32_t slots, const std::string& reason) {
    healthy_ = healthy;
    node_.log.write(event_id::worker_health_changed, wall_now(), {{"health", reason}});
    const time_point now = monotonic_now();
    membership& nodes = node_.control.nodes;
    nodes.self.slots = slots;
    send_all(node_, set_local_state(nodes, member_state::alive, now).messages);
    update_endpoint(node_.routing, nodes.self, now);
}

void inbound_proxy::probe_worker() {
    request_health([this](const http_response& response) { handle_probe(response); });
}

void inbound_proxy::handle_probe(const http_response& response) {
    if (node_.settings.heartbeats) {
        if (response.delivery_status == http_response::delivery::not_connected) {
            mark_unreachable(node_.worker);
            publish_worker("unreachable");
        }
        return;
    }
    if (response.delivery_status == http_response::delivery::not_connected) {
        set_health(false, "unreachable");
        return;
    }
    if (response.delivery_status == http_response::delivery::response_received &&
        response.status == status_ok) {
        failed_probes_ = 0;
        worker_leaves_ = false;
        set_health(true, "healthy");
        return;
    }
    if (response.delivery_status == http_response::delivery::response_received &&
        response.body.starts_with("draining")) {
        worker_leaves_ = true;
        set_health(false, "draining");
        return;
    }
    // A health endpoint may be slow or wrong: the worker is unhealthy only after several consecutive failed
    // probes with no successful request in between.
    failed_probes_ += 1;
    if (failed_probes_ >= unhealthy_after_failed_probes) {
        set_health(false, "unhealthy");
    }
}

void inbound_proxy::set_health(bool healthy, const std::string& reason) {
    if (healthy == healthy_ || node_.control.nodes.self.state == member_state::leaving) {
        return;
    }
    publish_state(healthy, healthy ? node_.settings.slots : 0, reason);
}

} // namespace waxwingfall
