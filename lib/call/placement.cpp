#include "waxwingfall/call/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace waxwingfall {

namespace {

/// Run time assumed if no endpoint of a service has reported one.
constexpr double default_run_ms = 200;

/// Relative slowdown per unit of load on the slots: workers slow down as they fill up, and load reports
/// arrive late.
constexpr double load_slowdown = 0.5;

/// Cost of a failed attempt: the latency objective of most routes.
constexpr double failure_cost_ms = 800;

/// Mean share of failures among the other endpoints from which a failure is attributed to a common cause.
constexpr double common_cause_failure_share = 0.15;

/// Cost of a hop to another data centre: a round trip, and the bytes of a usual response.
constexpr double cross_data_centre_ms = 40;

/// Cost of such a hop for a large response: its bytes cost more than the rest of the request, so it crosses
/// only if the local data centre can't serve it.
constexpr double large_cross_data_centre_ms = 2000;

/// Endpoints of the local data centre that a node prefers if there are more. With this many, a node calls
/// each often enough to keep a connection open, and each responds often enough for its load to be known: a
/// node of the largest deployments sends some 20 calls a second, and a load report is valid for two seconds.
constexpr std::size_t preferred_endpoints = 8;

/// Cost of an endpoint that is not preferred: a new connection and an unknown load. About half a run.
constexpr double non_preferred_ms = 100;

/// Relative jitter of expected times, so that nodes with the same load reports do not all pick the same
/// endpoint.
constexpr double jitter = 0.2;

bool is_unreachable(const routing_table& table, const endpoint& candidate, time_point now) {
    if (now < candidate.unreachable_until) {
        return true;
    }
    const auto unreachable = table.unreachable_data_centres.find(candidate.data_centre);
    return unreachable != table.unreachable_data_centres.end() && now < unreachable->second;
}

bool is_refusing(const endpoint& candidate, const placement_inputs& inputs, time_point now) {
    const std::pair urgency(inputs.priority, inputs.past_objective);
    const stated_refusal& by_link = candidate.uploads_refused;
    const bool is_refused_by_link = inputs.is_upload && now < by_link.until &&
                                    urgency >= std::pair(by_link.priority, by_link.past_objective);
    return is_refused_by_link ||
           (now < candidate.refused_until &&
            urgency >= std::pair(candidate.refused_priority, candidate.refused_past_objective));
}

/// True if an endpoint has a recent run time report. Older reports are ignored, so that an endpoint that was
/// slow is attempted again; otherwise its recovery would never be observed.
bool has_recent_run_time(const routing_table& table, const endpoint& candidate, time_point now) {
    return candidate.mean_run_ms > 0 && now - candidate.reported_at <= table.policy.run_time_lifetime;
}

/// Run time assumed for an endpoint without a recent report: the mean of its service's endpoints that have
/// one.
double typical_run_ms(const routing_table& table, const std::map<member_id, endpoint>& group,
                      time_point now) {
    double sum = 0;
    double reports = 0;
    for (const auto& [id, candidate] : group) {
        const bool is_recent = has_recent_run_time(table, candidate, now);
        sum += is_recent ? candidate.mean_run_ms : 0.0;
        reports += is_recent ? 1 : 0;
    }
    return reports == 0 ? default_run_ms : sum / reports;
}

/// The endpoints that a node prefers among many of its data centre: consecutive ones by id, from an offset
/// derived from the rank of the node's id among the local endpoints of all services, so that each endpoint is
/// preferred by equally many nodes.
class preferred_range {
public:
    preferred_range(const routing_table& table, const std::map<member_id, endpoint>& group)
        : table_(table), count_(count_local(group, ~member_id{0})) {
        if (count_ <= preferred_endpoints) {
            return;
        }
        std::size_t rank = 0;
        std::size_t total = 0;
        for (const auto& [service, others] : table.services) {
            rank += count_local(others, table.self);
            total += count_local(others, ~member_id{0});
        }
        first_ = rank * count_ / total;
    }

    /// True if a call may go to the endpoint at no extra cost. Must be called once for each endpoint, in
    /// order of ids.
    bool is_next_preferred(const endpoint& candidate) {
        if (count_ <= preferred_endpoints) {
            return true;
        }
        if (candidate.data_centre != table_.data_centre) {
            return false;
        }
        const std::size_t position = (index_++ + count_ - first_ % count_) % count_;
        return position < preferred_endpoints;
    }

private:
    std::size_t count_local(const std::map<member_id, endpoint>& group, member_id below) const {
        std::size_t count = 0;
        for (const auto& [id, candidate] : group) {
            count += id < below && candidate.data_centre == table_.data_centre ? 1 : 0;
        }
        return count;
    }

    const routing_table& table_;
    std::size_t count_;
    std::size_t first_ = 0;
    std::size_t index_ = 0;
};

/// Upper bound of the share of a link that is assumed to be in use, so that the expected wait stays finite.
constexpr double max_link_share = 0.99;

/// Expected wait of a request body for a link: the backlog that its node reported, or that of a link which
/// others of the same size use at random times.
double link_wait_ms(const routing_table& table, const endpoint& candidate, const placement_inputs& inputs,
                    time_point now) {
    const milliseconds on_link = inputs.on_link;
    const milliseconds backlog = remaining_link_backlog(table, candidate, now);
    if (inputs.is_upload && backlog > milliseconds(0)) {
        return static_cast<double>(backlog.count());
    }
    if (on_link == milliseconds(0)) {
        return 0;
    }
    const double used = std::min(max_link_share, link_share_used(table, candidate, now));
    return static_cast<double>(on_link.count()) * used / (1 - used) / 2;
}

/// Expected milliseconds until an endpoint responds, including its transit time, the cost of its failures,
/// and its distance.
double expected_finish_ms(const routing_table& table, const endpoint& candidate, double typical_run,
                          bool large_response, time_point now) {
    const double run = has_recent_run_time(table, candidate, now) ? candidate.mean_run_ms : typical_run;
    const double slots = std::max(1U, candidate.slots);
    const bool is_fresh = now - candidate.reported_at <= table.policy.load_lifetime;
    // Calls of this node that started or ended since the report are known exactly.
    const double change_since_report = static_cast<double>(candidate.in_flight) -
                                       static_cast<double>(is_fresh ? candidate.in_flight_at_report : 0);
    const double load = std::max(static_cast<double>(candidate.in_flight),
                                 (is_fresh ? candidate.reported_load : 0.0) + change_since_report);
    const double wait = std::max(0.0, load + 1 - slots) / slots * run;
    double expected =
        wait + run * (1 + load_slowdown * load / slots) + candidate.failure_share * failure_cost_ms;
    if (now - candidate.transit_at <= table.policy.transit_lifetime) {
        expected += static_cast<double>(candidate.transit.count());
    }
    if (candidate.data_centre != table.data_centre) {
        expected += large_response ? large_cross_data_centre_ms : cross_data_centre_ms;
    }
    return candidate.suspect ? expected + failure_cost_ms : expected;
}

} // namespace

milliseconds typical_run_time(const routing_table& table, const std::string& service, time_point now) {
    const auto group = table.services.find(service);
    const double run =
        group == table.services.end() ? default_run_ms : typical_run_ms(table, group->second, now);
    return milliseconds(static_cast<std::int64_t>(run));
}

bool other_endpoints_are_healthier(const routing_table& table, const std::string& service, member_id failed) {
    const auto group = table.services.find(service);
    if (group == table.services.end()) {
        return false;
    }
    double sum = 0;
    double others = 0;
    for (const auto& [id, candidate] : group->second) {
        sum += id == failed ? 0.0 : candidate.failure_share;
        others += id == failed ? 0 : 1;
    }
    return others > 0 && sum / others < common_cause_failure_share;
}

std::optional<member_id> place_call(const routing_table& table, const placement_inputs& inputs,
                                    time_point now, random_source& random) {
    const auto group = table.services.find(inputs.service);
    if (group == table.services.end()) {
        return std::nullopt;
    }
    const double typical_run = typical_run_ms(table, group->second, now);
    std::optional<member_id> best;
    double least = std::numeric_limits<double>::max();
    preferred_range preferred(table, group->second);
    for (const auto& [id, candidate] : group->second) {
        const double preference_cost_ms = preferred.is_next_preferred(candidate) ? 0 : non_preferred_ms;
        const bool was_attempted =
            std::find(inputs.attempted.begin(), inputs.attempted.end(), id) != inputs.attempted.end();
        if (was_attempted || is_unreachable(table, candidate, now) || is_refusing(candidate, inputs, now)) {
            continue;
        }
        constexpr std::uint64_t steps = 1000;
        const double factor =
            1 + jitter * static_cast<double>(random_below(random, steps)) / static_cast<double>(steps);
        const double expected =
            (expected_finish_ms(table, candidate, typical_run, inputs.large_response, now) +
             link_wait_ms(table, candidate, inputs, now) + preference_cost_ms) *
            factor;
        if (expected < least) {
            least = expected;
            best = id;
        }
    }
    return best;
}

} // namespace waxwingfall
