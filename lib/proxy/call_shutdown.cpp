#include <algorithm>
#include <map>

#include "call_state.h"
#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/cluster/shutdown_plan.h"

namespace waxwingfall {

void call_proxy::stop_accepting() {
    server_.stop_accepting();
    accepts_connections_ = false;
}

std::optional<milliseconds> call_proxy::time_until_forwarded_end(const call& placed, time_point now) const {
    if (!stops_at_ || ends_before_shutdown(placed.deadline, *stops_at_)) {
        return std::nullopt;
    }
    return milliseconds(std::max<std::int64_t>(0, elapsed_ms(now, forwarded_requests_end(*stops_at_))));
}

void call_proxy::send_stop_notices(time_point now) {
    const membership& nodes = node_.control.nodes;
    std::map<member_id, wire::frame> notices;
    for (const auto& [id, open] : calls_) {
        const auto ends_in = time_until_forwarded_end(*open, now);
        const std::string request = request_id(*open);
        if (!ends_in || request.empty() || open->client->has_started()) {
            continue;
        }
        const auto add = [&, ends_in = ends_in](member_id endpoint) {
            wire::stop_notice& notice = *notices[endpoint].mutable_stop_notice();
            notice.set_ends_in_ms(static_cast<std::uint64_t>(ends_in->count()));
            notice.add_requests(request);
        };
        if (open->attempt_in_progress) {
            add(open->endpoint);
        }
        if (open->silent) {
            add(open->silent->endpoint);
        }
    }
    // Its own worker's requests end with this process in any case.
    notices.erase(nodes.self.id);
    std::vector<outgoing> messages;
    for (auto& [endpoint, frame] : notices) {
        const auto known = nodes.members.find(endpoint);
        if (known != nodes.members.end()) {
            messages.push_back({known->second.control_address, std::move(frame)});
        }
    }
    send_all(node_, std::move(messages));
}

void call_proxy::end_calls() {
    std::vector<std::uint64_t> unanswered;
    for (const auto& [id, open] : calls_) {
        // A response that has been started can still be completed until the process ends.
        if (!open->client->has_started()) {
            unanswered.push_back(id);
        }
    }
    for (const std::uint64_t id : unanswered) {
        if (calls_.contains(id)) {
            give_up(id, error_kind::leaving);
        }
    }
}

void call_proxy::give_up(std::uint64_t id, error_kind kind_if_not_run) {
    call& ended = *calls_.at(id);
    if (ended.silent) {
        workers_.cancel(ended.silent->upstream);
        ended.silent.reset();
    }
    const bool may_have_run =
        ended.may_have_run || (ended.attempt_in_progress && workers_.may_have_run(ended.upstream));
    abandon_attempt(ended, may_have_run ? attempt_result::failed : attempt_result::cancelled);
    fail(id, may_have_run ? error_kind::outcome_unknown : kind_if_not_run);
}

} // namespace waxwingfall
