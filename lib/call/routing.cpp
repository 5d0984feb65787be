#include "waxwingfall/call/routing.h"

#include <algorithm>

namespace waxwingfall {

namespace {

endpoint* changeable_endpoint(routing_table& table, const std::string& service, member_id id) {
    return const_cast<endpoint*>(find_endpoint(table, service, id));
}

/// Weight of the latest try in an endpoint's share of failures.
constexpr double failure_weight = 0.15;

/// Notes that an endpoint could not be reached. Two unreachable endpoints of one other data centre, of any
/// service, are taken for a cut between the data centres.
void note_cut(routing_table& table, const std::string& service, endpoint& lost, time_point now) {
    const milliseconds length =
        std::min(table.policy.first_cut * (1U << std::min(lost.cuts, 8U)), table.policy.longest_cut);
    lost.cuts += 1;
    lost.unreachable_until = now + length;
    if (lost.data_centre == table.data_centre) {
        return;
    }
    constexpr std::size_t endpoints_of_a_cut = 2;
    std::size_t unreachable = 0;
    for (const auto& [name, group] : table.services) {
        for (const auto& [id, other] : group) {
            const bool is_there = other.data_centre == lost.data_centre;
            const bool is_lost = other.id == lost.id && name == service;
            unreachable += is_there && (is_lost || now < other.unreachable_until) ? 1 : 0;
        }
    }
    if (unreachable >= endpoints_of_a_cut) {
        table.cut_data_centres[lost.data_centre] = now + length;
    }
}

/// Distance classes: the own data centre, the own region, the rest.
int distance(const routing_table& table, const endpoint& candidate) {
    if (candidate.data_centre == table.data_centre) {
        return 0;
    }
    return candidate.region == table.region ? 1 : 2;
}

/// Slots that count at `now`: a new endpoint's share grows from a tenth to the whole.
double counted_slots(const endpoint& candidate, const routing_policy& policy, time_point now) {
    constexpr double first_share = 0.1;
    const auto age = static_cast<double>(elapsed_ms(candidate.first_seen, now));
    const double share = std::clamp(age / static_cast<double>(policy.slow_start.count()), first_share, 1.0);
    return std::max(1U, candidate.slots) * share;
}

double load_of(const endpoint& candidate, const routing_policy& policy, time_point now) {
    const bool believed = now - candidate.reported_at <= policy.load_lifetime;
    const double reported = believed ? candidate.reported_load : 0.0;
    return std::max(reported, static_cast<double>(candidate.in_flight)) /
           counted_slots(candidate, policy, now);
}

using endpoint_refs = std::vector<const endpoint*>;

endpoint_refs at_distance(const routing_table& table, const std::map<member_id, endpoint>& group,
                          int wanted) {
    endpoint_refs found;
    for (const auto& [id, candidate] : group) {
        if (distance(table, candidate) == wanted) {
            found.push_back(&candidate);
        }
    }
    return found;
}

/// The candidates that are not ejected, unless too few would remain: then failures say more about the
/// caller's own view than about the endpoints.
endpoint_refs heeding_ejections(const endpoint_refs& candidates, const routing_policy& policy,
                                time_point now) {
    constexpr std::size_t percent = 100;
    endpoint_refs healthy;
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(healthy),
        [&](const endpoint* candidate) { return now >= candidate->ejected_until && !candidate->suspect; });
    const bool enough = healthy.size() * percent >= candidates.size() * policy.healthy_floor_percent;
    return enough ? healthy : candidates;
}

double mean_load(const endpoint_refs& candidates, const routing_policy& policy, time_point now) {
    double sum = 0;
    for (const endpoint* candidate : candidates) {
        sum += load_of(*candidate, policy, now);
    }
    return sum / static_cast<double>(candidates.size());
}

/// Candidates of the nearest distance, and of the next ones for as long as the nearer are saturated.
endpoint_refs near_with_capacity(const routing_table& table, const std::map<member_id, endpoint>& group,
                                 time_point now) {
    endpoint_refs chosen;
    for (int wanted = 0; wanted <= 2; ++wanted) {
        const auto here = heeding_ejections(at_distance(table, group, wanted), table.policy, now);
        chosen.insert(chosen.end(), here.begin(), here.end());
        if (!chosen.empty() && mean_load(chosen, table.policy, now) < table.policy.spill_load) {
            break;
        }
    }
    return chosen;
}

/// The candidates for which `passes` holds, or all of them if it holds for none.
template <typename Predicate>
endpoint_refs preferring(const endpoint_refs& candidates, const Predicate& passes) {
    endpoint_refs preferred;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(preferred), passes);
    return preferred.empty() ? candidates : preferred;
}

endpoint_refs not_tried(const std::map<member_id, endpoint>& group, endpoint_refs candidates,
                        const std::vector<member_id>& tried) {
    const auto is_new = [&](const endpoint* candidate) {
        return std::find(tried.begin(), tried.end(), candidate->id) == tried.end();
    };
    std::erase_if(candidates, [&](const endpoint* candidate) { return !is_new(candidate); });
    if (!candidates.empty()) {
        return candidates;
    }
    // Near ones are used up; a retry may go far.
    for (const auto& [id, candidate] : group) {
        if (is_new(&candidate)) {
            candidates.push_back(&candidate);
        }
    }
    return candidates;
}

} // namespace

void update_endpoint(routing_table& table, const member& now_known, time_point now) {
    const bool is_there = now_known.state == member_state::alive || now_known.state == member_state::suspect;
    const bool takes_work = is_there && now_known.slots > 0;
    if (!takes_work) {
        for (auto& [service, group] : table.services) {
            group.erase(now_known.id);
        }
        return;
    }
    for (auto& [service, others] : table.services) {
        // The address of a worker may go to a worker of another service.
        if (service != now_known.service) {
            others.erase(now_known.id);
        }
    }
    auto& group = table.services[now_known.service];
    const auto known = group.find(now_known.id);
    if (known != group.end() && known->second.address == now_known.inbound_address) {
        known->second.suspect = now_known.state == member_state::suspect;
        known->second.slots = now_known.slots;
        return;
    }
    endpoint added;
    added.id = now_known.id;
    added.data_centre = now_known.data_centre;
    added.region = now_known.region;
    added.address = now_known.inbound_address;
    added.slots = now_known.slots;
    added.suspect = now_known.state == member_state::suspect;
    added.first_seen = now;
    group.insert_or_assign(now_known.id, added);
}

std::optional<member_id> pick_endpoint(routing_table& table, const std::string& service,
                                       const std::vector<member_id>& tried, time_point now,
                                       random_source& random) {
    const auto group = table.services.find(service);
    if (group == table.services.end()) {
        return std::nullopt;
    }
    auto candidates = not_tried(group->second, near_with_capacity(table, group->second, now), tried);
    candidates = preferring(candidates, [&](const endpoint* one) { return now >= one->refused_until; });
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (table.policy.rule == pick_rule::round_robin) {
        return candidates[table.turns[service]++ % candidates.size()]->id;
    }
    const endpoint* first = candidates[random_below(random, candidates.size())];
    const endpoint* second = candidates[random_below(random, candidates.size())];
    return load_of(*first, table.policy, now) <= load_of(*second, table.policy, now) ? first->id : second->id;
}

void begin_try(routing_table& table, const std::string& service, member_id id) {
    if (endpoint* used = changeable_endpoint(table, service, id)) {
        used->in_flight += 1;
    }
}

void end_try(routing_table& table, const std::string& service, member_id id, try_result result,
             const endpoint_report& report, time_point now) {
    endpoint* used = changeable_endpoint(table, service, id);
    if (used == nullptr) {
        return;
    }
    used->in_flight -= std::min(used->in_flight, 1U);
    if (report.load) {
        used->reported_load = *report.load;
        used->reported_at = now;
        used->in_flight_at_report = used->in_flight;
    }
    used->mean_run_ms = report.mean_run_ms.value_or(used->mean_run_ms);
    if (result == try_result::cancelled) {
        return;
    }
    if (result == try_result::unreachable) {
        note_cut(table, service, *used, now);
    } else {
        used->cuts = 0;
        table.cut_data_centres.erase(used->data_centre);
    }
    if (result == try_result::refused) {
        const milliseconds longest = table.policy.refusal_pause;
        used->refused_until =
            now + std::clamp(report.pause.value_or(longest), table.policy.least_refusal_pause, longest);
        used->refused_priority = report.priority;
        used->refused_past_goal = report.past_goal;
        return;
    }
    const double sample = result == try_result::answered ? 0.0 : 1.0;
    used->failure_share += (sample - used->failure_share) * failure_weight;
    if (result == try_result::answered) {
        used->failures = 0;
        used->ejections = 0;
        return;
    }
    used->failures += 1;
    if (used->failures >= table.policy.failures_to_eject) {
        constexpr std::uint32_t most_ejections = 10;
        used->ejections = std::min(used->ejections + 1, most_ejections);
        used->ejected_until = now + table.policy.eject_time * used->ejections;
        used->failures = 0;
    }
}

const endpoint* find_endpoint(const routing_table& table, const std::string& service, member_id id) {
    const auto group = table.services.find(service);
    if (group == table.services.end()) {
        return nullptr;
    }
    const auto found = group->second.find(id);
    return found == group->second.end() ? nullptr : &found->second;
}

std::string endpoint_address(const routing_table& table, const std::string& service, member_id id) {
    const endpoint* found = find_endpoint(table, service, id);
    return found == nullptr ? std::string() : found->address;
}

retry_budget share_of_slack(std::uint32_t slack, std::size_t nodes) {
    constexpr double kept_back = 0.5;
    const double share = kept_back * slack / static_cast<double>(std::max<std::size_t>(1, nodes));
    const double limit = std::max(1.0, share);
    return {limit, limit};
}

void follow_members(retry_budget& budget, std::uint32_t slack, std::size_t nodes) {
    budget.limit = share_of_slack(slack, nodes).limit;
    budget.tokens = std::min(budget.tokens, budget.limit);
}

void earn_retry(retry_budget& budget, std::uint32_t percent) {
    constexpr double hundred = 100.0;
    budget.tokens = std::min(budget.limit, budget.tokens + percent / hundred);
}

bool spend_retry(retry_budget& budget) {
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace waxwingfall
