#include "waxwingfall/call/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace waxwingfall {

namespace {

/// Run time where no endpoint of a service has said how long its runs take.
constexpr double default_run_ms = 200;

/// Extra time per unit of load on the slots: workers slow down as they fill up, and news of load is late.
constexpr double crowding = 0.5;

/// What a failed try costs: as long as the latency objective of most routes.
constexpr double failure_cost_ms = 800;

/// Mean share of failures among the other endpoints from which a failure is laid on what all of them need.
constexpr double common_cause_share = 0.15;

/// What a hop to another data centre costs: a round trip, and the bytes of a usual answer.
constexpr double crossing_ms = 40;

/// What a large answer costs on that hop: its bytes are worth more than the whole request, so it crosses only
/// when its own data centre can't serve it.
constexpr double large_crossing_ms = 2000;

/// Endpoints of the own data centre that a node prefers if there are more. Each then hears from it often
/// enough to keep a connection open, and answers often enough for their load to be known: a node of the grown
/// deployments sends some 20 calls a second, and a report counts for two seconds.
constexpr std::size_t preferred_endpoints = 8;

/// What an endpoint beyond those costs: a connection, and a load that is not known. About half a run.
constexpr double beyond_preferred_ms = 100;

/// Share by which expected times are varied, so that nodes with the same news do not all pick the same
/// endpoint.
constexpr double variation = 0.2;

bool is_cut_off(const routing_table& table, const endpoint& candidate, time_point now) {
    if (now < candidate.unreachable_until) {
        return true;
    }
    const auto cut = table.cut_data_centres.find(candidate.data_centre);
    return cut != table.cut_data_centres.end() && now < cut->second;
}

bool refuses(const endpoint& candidate, const placement_question& question, time_point now) {
    return now < candidate.refused_until &&
           std::pair(question.priority, question.past_goal) >=
               std::pair(candidate.refused_priority, candidate.refused_past_goal);
}

/// True if an endpoint has said lately how long its runs take. One that was slow once is tried again later,
/// or nobody would learn that it is fast now.
bool run_is_known(const routing_table& table, const endpoint& candidate, time_point now) {
    return candidate.mean_run_ms > 0 && now - candidate.reported_at <= table.policy.run_lifetime;
}

/// Run time of an endpoint that has not said how long its runs take: that of the others of its service.
double typical_run_ms(const routing_table& table, const std::map<member_id, endpoint>& group,
                      time_point now) {
    double sum = 0;
    double known = 0;
    for (const auto& [id, each] : group) {
        const bool counts = run_is_known(table, each, now);
        sum += counts ? each.mean_run_ms : 0.0;
        known += counts ? 1 : 0;
    }
    return known == 0 ? default_run_ms : sum / known;
}

/// The endpoints that a node prefers among many of its data centre: successive ones in the order of ids, from
/// a place that depends on the node's own place among all, so that each endpoint is preferred by equally
/// many.
class preferred_range {
public:
    preferred_range(const routing_table& table, const std::map<member_id, endpoint>& group)
        : table_(table), count_(count_near(group, ~member_id{0})) {
        if (count_ <= preferred_endpoints) {
            return;
        }
        std::size_t before = 0;
        std::size_t all = 0;
        for (const auto& [service, others] : table.services) {
            before += count_near(others, table.self);
            all += count_near(others, ~member_id{0});
        }
        first_ = before * count_ / all;
    }

    /// True if a call may go there without further cost. Asked once for each endpoint, in the order of ids.
    bool takes_next(const endpoint& candidate) {
        if (count_ <= preferred_endpoints) {
            return true;
        }
        if (candidate.data_centre != table_.data_centre) {
            return false;
        }
        const std::size_t place = (index_++ + count_ - first_ % count_) % count_;
        return place < preferred_endpoints;
    }

private:
    std::size_t count_near(const std::map<member_id, endpoint>& group, member_id below) const {
        std::size_t found = 0;
        for (const auto& [id, each] : group) {
            found += id < below && each.data_centre == table_.data_centre ? 1 : 0;
        }
        return found;
    }

    const routing_table& table_;
    std::size_t count_;
    std::size_t first_ = 0;
    std::size_t index_ = 0;
};

/// Milliseconds until a call would be answered by an endpoint, with what its failures and its distance cost.
double expected_finish_ms(const routing_table& table, const endpoint& candidate, double typical_run,
                          bool large_answer, time_point now) {
    const double run = run_is_known(table, candidate, now) ? candidate.mean_run_ms : typical_run;
    const double slots = std::max(1U, candidate.slots);
    const bool is_fresh = now - candidate.reported_at <= table.policy.load_lifetime;
    // Own calls that were started or ended since the report are known exactly.
    const double since = static_cast<double>(candidate.in_flight) -
                         static_cast<double>(is_fresh ? candidate.in_flight_at_report : 0);
    const double load = std::max(static_cast<double>(candidate.in_flight),
                                 (is_fresh ? candidate.reported_load : 0.0) + since);
    const double wait = std::max(0.0, load + 1 - slots) / slots * run;
    double expected = wait + run * (1 + crowding * load / slots) + candidate.failure_share * failure_cost_ms;
    if (candidate.data_centre != table.data_centre) {
        expected += large_answer ? large_crossing_ms : crossing_ms;
    }
    return candidate.suspect ? expected + failure_cost_ms : expected;
}

} // namespace

milliseconds typical_run(const routing_table& table, const std::string& service, time_point now) {
    const auto group = table.services.find(service);
    const double run =
        group == table.services.end() ? default_run_ms : typical_run_ms(table, group->second, now);
    return milliseconds(static_cast<std::int64_t>(run));
}

bool others_do_better(const routing_table& table, const std::string& service, member_id failed) {
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
    return others > 0 && sum / others < common_cause_share;
}

std::optional<member_id> place_call(const routing_table& table, const placement_question& question,
                                    time_point now, random_source& random) {
    const auto group = table.services.find(question.service);
    if (group == table.services.end()) {
        return std::nullopt;
    }
    const double typical_run = typical_run_ms(table, group->second, now);
    std::optional<member_id> best;
    double least = std::numeric_limits<double>::max();
    preferred_range preferred(table, group->second);
    for (const auto& [id, candidate] : group->second) {
        const double beyond = preferred.takes_next(candidate) ? 0 : beyond_preferred_ms;
        const bool was_tried =
            std::find(question.tried.begin(), question.tried.end(), id) != question.tried.end();
        if (was_tried || is_cut_off(table, candidate, now) || refuses(candidate, question, now)) {
            continue;
        }
        constexpr std::uint64_t steps = 1000;
        const double factor =
            1 + variation * static_cast<double>(random_below(random, steps)) / static_cast<double>(steps);
        const double expected =
            (expected_finish_ms(table, candidate, typical_run, question.large_answer, now) + beyond) * factor;
        if (expected < least) {
            least = expected;
            best = id;
        }
    }
    return best;
}

} // namespace waxwingfall
