#include "waxwingfall/call/worker_view.h"

#include <utility>

namespace waxwingfall {

namespace {

/// Lower bound of the time between two heartbeats on every deployment.
constexpr milliseconds min_heartbeat_interval{500};

/// Longest delay of a heartbeat between its worker and its node.
constexpr milliseconds max_report_delay{5000};

/// True if a worker that started after the last leave of its id could have sent as many heartbeats by now. A
/// leave need not name the incarnation that it ends.
bool can_have_started_since(const worker_view& view, const worker_report& report, time_point now) {
    const auto max_sequence = 1 + (now - view.leaving_since) / min_heartbeat_interval;
    return report.sequence <= static_cast<std::uint64_t>(max_sequence);
}

bool is_outdated(const worker_view& view, const worker_report& report, time_point now) {
    const auto left = view.left_workers.find(report.worker_id);
    if (left != view.left_workers.end() && (left->second == 0 || report.incarnation <= left->second)) {
        return true;
    }
    if (!view.latest_report) {
        return view.replaced_ids.contains(report.worker_id);
    }
    const worker_report& latest = *view.latest_report;
    const bool left_without_incarnation = latest.state == worker_state::left && latest.incarnation == 0;
    if (left_without_incarnation && report.worker_id == latest.worker_id) {
        return !can_have_started_since(view, report, now);
    }
    const bool lacks_incarnation = report.state == worker_state::left && report.incarnation == 0;
    if (!lacks_incarnation && report.incarnation != latest.incarnation) {
        return report.incarnation < latest.incarnation;
    }
    if (report.worker_id != latest.worker_id) {
        return view.replaced_ids.contains(report.worker_id);
    }
    // A leave carries no sequence number; it is the last report of its incarnation.
    const bool has_left_already = latest.state == worker_state::left;
    return has_left_already || (report.state != worker_state::left && report.sequence <= latest.sequence);
}

bool is_same_worker(const worker_view& view, const worker_report& report) {
    return view.worker_id == report.worker_id && (!view.latest_report || report.state == worker_state::left ||
                                                  view.latest_report->incarnation == report.incarnation);
}

} // namespace

report_verdict update_worker_view(worker_view& view, const worker_report& report, time_point now) {
    const bool has_address = report.state != worker_state::left;
    if (has_address && report.address != view.address) {
        return report_verdict::foreign;
    }
    if (!has_address && !view.worker_id.empty() && report.worker_id != view.worker_id) {
        return report_verdict::outdated;
    }
    if (is_outdated(view, report, now)) {
        return report_verdict::outdated;
    }
    const bool leaves = report.state != worker_state::ready;
    if (!leaves && !view.leaves_known && now < view.reports_trusted_at) {
        const auto age = [](const worker_report& of) { return std::pair(of.incarnation, of.sequence); };
        if (!view.deferred_report || age(*view.deferred_report) < age(report)) {
            view.deferred_report = report;
        }
        return report_verdict::deferred;
    }
    if (view.deferred_report && view.deferred_report->worker_id == report.worker_id) {
        view.deferred_report.reset();
    }
    const bool is_successor = !is_same_worker(view, report);
    if (is_successor || report.service == view.configured_service) {
        view.configured_later = false;
    }
    if (is_successor) {
        if (!view.worker_id.empty() && view.worker_id != report.worker_id) {
            view.replaced_ids.insert(view.worker_id);
        }
        view.leaving = false;
        view.rate_limit.reset();
        view.has_stated_limit = false;
    }
    if (leaves && !view.leaving) {
        view.leaving_since = now;
    }
    // A worker never revokes its leave.
    view.leaving = view.leaving || leaves;
    view.worker_id = report.worker_id;
    if (report.state != worker_state::left || !view.latest_report) {
        view.latest_report = report;
    } else {
        view.latest_report->state = worker_state::left;
    }
    view.reachable = true;
    view.last_report_at = now;
    return report_verdict::applied;
}

void configure_service(worker_view& view, const std::string& service) {
    if (view.configured_service != service) {
        view.configured_service = service;
        view.configured_later = true;
    }
}

const std::string& local_service(const worker_view& view) {
    if (!view.latest_report || view.latest_report->service.empty()) {
        return view.configured_service;
    }
    const bool is_present = view.reachable && view.latest_report->state != worker_state::left;
    return view.configured_later && !is_present ? view.configured_service : view.latest_report->service;
}

void await_leaves(worker_view& view, time_point now) {
    view.leaves_known = false;
    view.reports_trusted_at = now + max_report_delay;
}

std::optional<worker_report> apply_deferred_report(worker_view& view, time_point now) {
    view.leaves_known = true;
    const auto deferred = std::exchange(view.deferred_report, std::nullopt);
    const bool is_applied = deferred && update_worker_view(view, *deferred, now) == report_verdict::applied;
    return is_applied ? deferred : std::nullopt;
}

void record_leave(worker_view& view, const std::string& worker_id, std::uint64_t incarnation) {
    view.left_workers[worker_id] = incarnation;
    const bool is_current = view.latest_report && view.latest_report->worker_id == worker_id &&
                            (incarnation == 0 || view.latest_report->incarnation <= incarnation);
    view.leaving = view.leaving || is_current;
}

std::optional<left_worker> find_leave(const worker_view& view, const worker_report& report) {
    if (report.state == worker_state::ready) {
        return std::nullopt;
    }
    const bool is_current = report.worker_id == view.worker_id && view.latest_report;
    if (is_current && view.leaving) {
        return left_worker{view.worker_id, view.latest_report->incarnation};
    }
    const auto restored = view.left_workers.find(report.worker_id);
    const bool is_replaced = !view.worker_id.empty() && !is_current;
    if (restored == view.left_workers.end() || is_replaced) {
        return std::nullopt;
    }
    return left_worker{restored->first, restored->second};
}

bool record_leaving(worker_view& view, time_point now) {
    if (view.leaving) {
        return false;
    }
    view.leaving = true;
    view.leaving_since = now;
    return true;
}

void mark_unreachable(worker_view& view) {
    view.reachable = false;
}

bool record_stated_limit(worker_view& view, std::optional<double> per_s) {
    view.has_stated_limit = true;
    return std::exchange(view.rate_limit, per_s) != per_s;
}

bool record_relayed_limit(worker_view& view, double per_s) {
    return !view.has_stated_limit && std::exchange(view.rate_limit, per_s) != per_s;
}

bool accepts_requests(const worker_view& view) {
    return view.reachable && !view.leaving && !view.worker_id.empty();
}

bool may_admit(const worker_view& view, milliseconds drain, time_point now) {
    if (view.worker_id.empty() || !view.reachable) {
        return false;
    }
    return !view.leaving || (view.latest_report && now < view.leaving_since + drain);
}

std::optional<error_kind> find_refusal(const worker_view& view, const std::string& service,
                                       milliseconds drain, time_point now) {
    if (!may_admit(view, drain, now)) {
        return view.leaving ? error_kind::leaving : error_kind::worker_unreachable;
    }
    const bool names_services =
        !service.empty() && view.latest_report && !view.latest_report->service.empty();
    const bool is_for_other_service = names_services && service != view.latest_report->service;
    return is_for_other_service ? std::optional(error_kind::leaving) : std::nullopt;
}

} // namespace waxwingfall
