#include "waxwingfall/call/routing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace waxwingfall {

namespace {

/// Time for which a stated rate limit is relayed: longer than a node takes to restart. A worker that was
/// replaced meanwhile corrects it with its first response.
constexpr milliseconds rate_limit_lifetime{30'000};

endpoint* mutable_endpoint(routing_table& table, const std::string& service, member_id id) {
    return const_cast<endpoint*>(find_endpoint(table, service, id));
}

/// Weight of the latest attempt in an endpoint's share of failures.
constexpr double failure_weight = 0.15;

/// Time constant with which recorded transfers decay.
constexpr milliseconds transfer_memory{2000};

double remaining_transfer_ms(const endpoint& target, time_point now) {
    const auto age = static_cast<double>(elapsed_ms(target.transfer_at, now));
    return target.transfer_ms * std::exp(-age / static_cast<double>(transfer_memory.count()));
}

/// Records that an endpoint was unreachable. If two endpoints of another data centre, of any service, are
/// unreachable, that data centre is considered partitioned from this one.
void record_unreachable(routing_table& table, const std::string& service, endpoint& target, time_point now) {
    const milliseconds pause =
        std::min(table.policy.initial_unreachable_pause * (1U << std::min(target.unreachable_count, 8U)),
                 table.policy.max_unreachable_pause);
    target.unreachable_count += 1;
    target.unreachable_until = now + pause;
    if (target.data_centre == table.data_centre) {
        return;
    }
    constexpr std::size_t min_unreachable_endpoints = 2;
    std::size_t unreachable = 0;
    for (const auto& [name, group] : table.services) {
        for (const auto& [id, other] : group) {
            const bool is_in_data_centre = other.data_centre == target.data_centre;
            const bool is_target = other.id == target.id && name == service;
            unreachable += is_in_data_centre && (is_target || now < other.unreachable_until) ? 1 : 0;
        }
    }
    if (unreachable >= min_unreachable_endpoints) {
        table.unreachable_data_centres[target.data_centre] = now + pause;
    }
}

/// Distance classes: the local data centre, the local region, everything else.
int distance(const routing_table& table, const endpoint& candidate) {
    if (candidate.data_centre == table.data_centre) {
        return 0;
    }
    return candidate.region == table.region ? 1 : 2;
}

/// Slots weighted by age: the share of a new endpoint grows from a tenth to the full count.
double effective_slots(const endpoint& candidate, const routing_policy& policy, time_point now) {
    constexpr double initial_share = 0.1;
    const auto age = static_cast<double>(elapsed_ms(candidate.first_seen, now));
    const double share = std::clamp(age / static_cast<double>(policy.slow_start.count()), initial_share, 1.0);
    return std::max(1U, candidate.slots) * share;
}

double load_per_slot(const endpoint& candidate, const routing_policy& policy, time_point now) {
    const bool is_fresh = now - candidate.reported_at <= policy.load_lifetime;
    const double reported = is_fresh ? candidate.reported_load : 0.0;
    return std::max(reported, static_cast<double>(candidate.in_flight)) /
           effective_slots(candidate, policy, now);
}

using endpoint_refs = std::vector<const endpoint*>;

endpoint_refs at_distance(const routing_table& table, const std::map<member_id, endpoint>& group,
                          int wanted_distance) {
    endpoint_refs found;
    for (const auto& [id, candidate] : group) {
        if (distance(table, candidate) == wanted_distance) {
            found.push_back(&candidate);
        }
    }
    return found;
}

/// The candidates that are neither ejected nor suspect, or all of them if too few would remain: then the
/// failures more likely have a cause at this node than at the endpoints.
endpoint_refs without_unhealthy(const endpoint_refs& candidates, const routing_policy& policy,
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
        sum += load_per_slot(*candidate, policy, now);
    }
    return sum / static_cast<double>(candidates.size());
}

/// Candidates of the nearest distance class, extended to the next ones while the nearer ones are saturated.
endpoint_refs nearest_with_capacity(const routing_table& table, const std::map<member_id, endpoint>& group,
                                    time_point now) {
    endpoint_refs chosen;
    for (int wanted_distance = 0; wanted_distance <= 2; ++wanted_distance) {
        const auto nearby = without_unhealthy(at_distance(table, group, wanted_distance), table.policy, now);
        chosen.insert(chosen.end(), nearby.begin(), nearby.end());
        if (!chosen.empty() && mean_load(chosen, table.policy, now) < table.policy.spillover_load) {
            break;
        }
    }
    return chosen;
}

/// The candidates for which `passes` holds, or all of them if it holds for none.
template <typename Predicate>
endpoint_refs prefer_if_any(const endpoint_refs& candidates, const Predicate& passes) {
    endpoint_refs preferred;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(preferred), passes);
    return preferred.empty() ? candidates : preferred;
}

endpoint_refs without_attempted(const std::map<member_id, endpoint>& group, endpoint_refs candidates,
                                const std::vector<member_id>& attempted) {
    const auto is_new = [&](const endpoint* candidate) {
        return std::find(attempted.begin(), attempted.end(), candidate->id) == attempted.end();
    };
    std::erase_if(candidates, [&](const endpoint* candidate) { return !is_new(candidate); });
    if (!candidates.empty()) {
        return candidates;
    }
    // All of the nearest were attempted; a retry may go to any distance.
    for (const auto& [id, candidate] : group) {
        if (is_new(&candidate)) {
            candidates.push_back(&candidate);
        }
    }
    return candidates;
}

} // namespace

void update_endpoint(routing_table& table, const member& updated, time_point now) {
    const bool is_up = updated.state == member_state::alive || updated.state == member_state::suspect;
    const bool accepts_work = is_up && updated.slots > 0;
    if (!accepts_work) {
        for (auto& [service, group] : table.services) {
            group.erase(updated.id);
        }
        return;
    }
    for (auto& [service, others] : table.services) {
        // A worker's address may be reassigned to a worker of another service.
        if (service != updated.service) {
            others.erase(updated.id);
        }
    }
    auto& group = table.services[updated.service];
    const auto known = group.find(updated.id);
    if (known != group.end() && known->second.address == updated.inbound_address) {
        known->second.suspect = updated.state == member_state::suspect;
        known->second.slots = updated.slots;
        return;
    }
    endpoint added;
    added.id = updated.id;
    added.data_centre = updated.data_centre;
    added.region = updated.region;
    added.address = updated.inbound_address;
    added.slots = updated.slots;
    added.suspect = updated.state == member_state::suspect;
    added.first_seen = now;
    group.insert_or_assign(updated.id, added);
}

std::optional<member_id> pick_endpoint(routing_table& table, const std::string& service,
                                       const std::vector<member_id>& attempted, time_point now,
                                       random_source& random) {
    const auto group = table.services.find(service);
    if (group == table.services.end()) {
        return std::nullopt;
    }
    auto candidates =
        without_attempted(group->second, nearest_with_capacity(table, group->second, now), attempted);
    candidates =
        prefer_if_any(candidates, [&](const endpoint* candidate) { return now >= candidate->refused_until; });
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (table.policy.rule == pick_rule::round_robin) {
        return candidates[table.round_robin_positions[service]++ % candidates.size()]->id;
    }
    const endpoint* first = candidates[random_below(random, candidates.size())];
    const endpoint* second = candidates[random_below(random, candidates.size())];
    return load_per_slot(*first, table.policy, now) <= load_per_slot(*second, table.policy, now) ? first->id
                                                                                                 : second->id;
}

void begin_attempt(routing_table& table, const std::string& service, member_id id) {
    if (endpoint* target = mutable_endpoint(table, service, id)) {
        target->in_flight += 1;
    }
}

void end_attempt(routing_table& table, const std::string& service, member_id id, attempt_result result,
                 const endpoint_report& report, time_point now) {
    endpoint* target = mutable_endpoint(table, service, id);
    if (target == nullptr) {
        return;
    }
    target->in_flight -= std::min(target->in_flight, 1U);
    if (report.load) {
        target->reported_load = *report.load;
        target->reported_at = now;
        target->in_flight_at_report = target->in_flight;
    }
    target->mean_run_ms = report.mean_run_ms.value_or(target->mean_run_ms);
    if (report.link_backlog) {
        target->link_backlog = *report.link_backlog;
        target->link_backlog_at = now;
    }
    if (result == attempt_result::cancelled) {
        return;
    }
    if (result == attempt_result::unreachable) {
        record_unreachable(table, service, *target, now);
    } else {
        target->unreachable_count = 0;
        table.unreachable_data_centres.erase(target->data_centre);
    }
    if (result == attempt_result::refused) {
        const milliseconds longest = table.policy.max_refusal_pause;
        const time_point refused_until =
            now + std::clamp(report.pause.value_or(longest), table.policy.min_refusal_pause, longest);
        target->room_at = now + report.room_in.value_or(milliseconds(0));
        if (report.is_upload) {
            target->uploads_refused = {refused_until, report.priority, report.past_objective};
            return;
        }
        target->refused_until = refused_until;
        target->refused_priority = report.priority;
        target->refused_past_objective = report.past_objective;
        return;
    }
    const double sample = result == attempt_result::responded ? 0.0 : 1.0;
    target->failure_share += (sample - target->failure_share) * failure_weight;
    if (result == attempt_result::responded) {
        target->failures = 0;
        target->ejections = 0;
        return;
    }
    target->failures += 1;
    if (target->failures >= table.policy.failures_to_eject) {
        constexpr std::uint32_t max_ejections = 10;
        target->ejections = std::min(target->ejections + 1, max_ejections);
        target->ejected_until = now + table.policy.eject_time * target->ejections;
        target->failures = 0;
    }
}

void record_transit(routing_table& table, const std::string& service, member_id id, milliseconds transit,
                    time_point now) {
    endpoint* target = mutable_endpoint(table, service, id);
    if (target == nullptr) {
        return;
    }
    target->transit = transit;
    target->transit_at = now;
}

void record_transfer(routing_table& table, const std::string& service, member_id id, milliseconds on_link,
                     time_point now) {
    if (endpoint* target = mutable_endpoint(table, service, id)) {
        target->transfer_ms = remaining_transfer_ms(*target, now) + static_cast<double>(on_link.count());
        target->transfer_at = now;
    }
}

void record_rate_limit(routing_table& table, member_id id, std::optional<double> per_s, time_point now) {
    if (per_s) {
        table.rate_limits.insert_or_assign(id, stated_limit{*per_s, now});
    } else {
        table.rate_limits.erase(id);
    }
}

std::optional<double> known_rate_limit(const routing_table& table, member_id id, time_point now) {
    const auto found = table.rate_limits.find(id);
    const bool is_valid =
        found != table.rate_limits.end() && now - found->second.stated_at <= rate_limit_lifetime;
    return is_valid ? std::optional(found->second.per_s) : std::nullopt;
}

milliseconds remaining_link_backlog(const routing_table& table, const endpoint& target, time_point now) {
    const milliseconds age(elapsed_ms(target.link_backlog_at, now));
    const bool is_fresh = age <= table.policy.link_backlog_lifetime;
    return is_fresh ? std::max(milliseconds(0), target.link_backlog - age) : milliseconds(0);
}

milliseconds shortest_room_in(const routing_table& table, const std::string& service, time_point now) {
    const auto group = table.services.find(service);
    std::optional<time_point> earliest;
    if (group != table.services.end()) {
        for (const auto& [id, each] : group->second) {
            if (each.room_at > now && (!earliest || each.room_at < *earliest)) {
                earliest = each.room_at;
            }
        }
    }
    return earliest ? std::chrono::ceil<milliseconds>(*earliest - now) : milliseconds(0);
}

double link_share_used(const routing_table& table, const endpoint& target, time_point now) {
    // Each node has one endpoint, that of its worker.
    const auto nodes =
        std::accumulate(table.services.begin(), table.services.end(), std::size_t{0},
                        [](std::size_t sum, const auto& service) { return sum + service.second.size(); });
    return remaining_transfer_ms(target, now) / static_cast<double>(transfer_memory.count()) *
           static_cast<double>(nodes);
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

retry_budget node_retry_budget(std::uint32_t slack, std::size_t nodes) {
    constexpr double distributed_part = 0.5;
    const double share = distributed_part * slack / static_cast<double>(std::max<std::size_t>(1, nodes));
    const double limit = std::max(1.0, share);
    return {limit, limit};
}

void resize_retry_budget(retry_budget& budget, std::uint32_t slack, std::size_t nodes) {
    budget.limit = node_retry_budget(slack, nodes).limit;
    budget.tokens = std::min(budget.tokens, budget.limit);
}

void earn_retry(retry_budget& budget, std::uint32_t percent) {
    constexpr double percent_per_token = 100.0;
    budget.tokens = std::min(budget.limit, budget.tokens + percent / percent_per_token);
}

bool spend_retry(retry_budget& budget) {
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace waxwingfall
