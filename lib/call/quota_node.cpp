#include <algorithm>
#include <cmath>

#include "quota_internal.h"
#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

constexpr double ms_per_s = 1000;

/// For how long the size of the deployment that another node stated counts.
constexpr milliseconds claim_lifetime{60'000};

/// Sizes of the deployment above this are not credible.
constexpr std::uint32_t max_nodes = 100'000;

/// Number of nodes that are asked in turn if the holder does not answer.
constexpr std::size_t holder_candidates = 5;

/// Waits five times as long if the number of data centres is unknown.
constexpr int unknown_settle_factor = 5;

double usable(const customer_quota& customer, time_point now) {
    double sum = customer.minted;
    for (const token_lot& lot : customer.lots) {
        sum += lot.expires > now ? lot.tokens : 0;
    }
    return sum;
}

/// Takes one token, from the lots that expire first, then from what was minted here.
bool take(quota_state& state, customer_quota& customer, time_point now) {
    mint(state, customer, now);
    constexpr double rounding = 1e-9;
    if (usable(customer, now) < 1 - rounding) {
        return false;
    }
    double missing = 1;
    for (token_lot& lot : customer.lots) {
        const double part = lot.expires > now ? std::min(missing, lot.tokens) : 0;
        lot.tokens -= part;
        missing -= part;
    }
    std::erase_if(customer.lots, [&](const token_lot& lot) { return lot.tokens <= 0; });
    customer.minted = std::max(0.0, customer.minted - missing);
    ++state.counts.spent;
    return true;
}

double batch_of(const quota_state& state, const customer_quota& customer) {
    return std::floor(customer.demand_per_s * static_cast<double>(state.policy.batch.count()) / ms_per_s);
}

void ask(quota_state& state, std::uint64_t key, customer_quota& customer, quota_outbox& out, time_point now) {
    const member_id holder = holder_of(state, 0, customer.group, now);
    const double wanted = customer.waiting + batch_of(state, customer) - std::floor(usable(customer, now));
    if (holder == 0 || wanted < 1) {
        return;
    }
    customer.asked_at = now;
    wire::quota_item item;
    item.set_customer(key);
    item.set_wanted(static_cast<std::uint32_t>(wanted));
    out.requests[holder].push_back(item);
}

bool may_ask(const quota_state& state, const customer_quota& customer, time_point now) {
    return now >= customer.dry_until && now - customer.asked_at >= state.policy.ask_spacing;
}

void deposit(std::uint64_t key, double tokens, member_id holder, quota_outbox& out) {
    const auto micro = static_cast<std::uint64_t>(std::floor(tokens * micro_per_token));
    if (micro == 0 || holder == 0) {
        return;
    }
    wire::quota_item item;
    item.set_customer(key);
    item.set_micro_tokens(micro);
    out.requests[holder].push_back(item);
}

/// Returns unused tokens to the holder, and passes on what was minted if it is due.
void tick_customer(quota_state& state, std::uint64_t key, customer_quota& customer, bool deposits,
                   quota_outbox& out, time_point now) {
    mint(state, customer, now);
    double returned = 0;
    std::erase_if(customer.lots, [&](const token_lot& lot) {
        returned += lot.expires <= now ? lot.tokens : 0;
        return lot.expires <= now;
    });
    if (deposits && customer.collect_until > now) {
        returned += customer.minted;
        customer.minted = 0;
    }
    if (returned > 0) {
        deposit(key, returned, holder_of(state, 0, customer.group, now), out);
    }
    if (customer.waiting > 0 && may_ask(state, customer, now)) {
        ask(state, key, customer, out, now);
    }
}

bool is_idle(const quota_state& state, const customer_quota& customer, time_point now) {
    constexpr double full = 0.9;
    const bool pool_is_full =
        !customer.pool || customer.pool->tokens >= full * pool_capacity(state, customer, now);
    return customer.waiting == 0 && customer.lots.empty() && customer.collect_until <= now && pool_is_full;
}

void send_heartbeats(const quota_state& state, quota_outbox& out, time_point now) {
    for (std::uint32_t group = 0; group < quota_groups && !state.customers.empty(); ++group) {
        const member_id holder = holder_of(state, 0, group, now);
        const auto peer = state.peers.find(holder);
        const bool due =
            peer == state.peers.end() || now - peer->second.sent_at >= state.policy.heartbeat_period;
        if (holder != 0 && holder != state.self && due) {
            out.requests[holder];
        }
    }
}

void update_counts(quota_state& state, time_point now) {
    std::uint32_t claimed = 0; ///< only settled nodes state a size
    double reporting = 1;
    for (const auto& [id, peer] : state.peers) {
        claimed = now - peer.nodes_at < claim_lifetime ? std::max(claimed, peer.nodes) : claimed;
        reporting += peer.heard_at && now - *peer.heard_at < state.policy.presence ? 1 : 0;
    }
    std::uint32_t nodes = std::max({1U, state.view.known_nodes, claimed});
    if (!state.view.settled && claimed == 0) {
        nodes = std::max(nodes, state.policy.unsettled_nodes);
    }
    state.divisor = std::min(nodes, max_nodes);
    state.reporting = std::min(reporting, state.divisor);
}

/// Makes this node collect tokens of the customers whose holder it is.
void open_pools(quota_state& state, time_point now) {
    if (state.view.holders.empty()) {
        return;
    }
    for (auto& [key, customer] : state.customers) {
        const auto& ranked = state.view.holders.front().at(customer.group);
        if (!customer.pool && !ranked.empty() && ranked.front() == state.self) {
            customer.pool.emplace();
            customer.pool->used_at = now;
            state.active.insert(key);
        }
    }
}

} // namespace

double seconds_between(time_point earlier, time_point later) {
    return std::max(0.0, std::chrono::duration<double>(later - earlier).count());
}

void decay(double& value, time_point& at, time_point now) {
    value *= std::exp(-seconds_between(at, now));
    at = std::max(at, now);
}

void mint(const quota_state& state, customer_quota& customer, time_point now) {
    const double per_s = customer.limit.rate_per_s / state.divisor;
    const double most = per_s * static_cast<double>(state.policy.mint_lifetime.count()) / ms_per_s;
    customer.minted = std::min(most, customer.minted + per_s * seconds_between(customer.minted_at, now));
    customer.minted_at = std::max(customer.minted_at, now);
}

member_id holder_of(const quota_state& state, std::size_t zone, std::uint32_t group, time_point now) {
    if (zone >= state.view.holders.size()) {
        return 0;
    }
    const auto& ranked = state.view.holders[zone].at(group);
    for (const member_id id : ranked) {
        const auto peer = state.peers.find(id);
        const auto silent_for = peer == state.peers.end() || !peer->second.unanswered_since
                                    ? time_point::duration(0)
                                    : now - *peer->second.unanswered_since;
        if (silent_for <= state.policy.silence || silent_for >= state.policy.silence_retry) {
            return id;
        }
    }
    return zone == 0 ? state.self : 0;
}

std::uint64_t quota_key(std::string_view customer) {
    return stable_hash(customer);
}

void set_quota_limits(quota_state& state, const std::vector<customer_contract>& customers, time_point now) {
    std::unordered_map<std::uint64_t, customer_quota> kept;
    for (const customer_contract& customer : customers) {
        if (customer.rate_per_s <= 0) {
            continue;
        }
        const std::uint64_t key = quota_key(customer.name);
        const auto known = state.customers.find(key);
        customer_quota& current = kept[key];
        if (known != state.customers.end()) {
            current = std::move(known->second);
            mint(state, current, now);
        }
        const double before = current.limit.rate_per_s;
        const double cut = before > 0 ? std::min(1.0, customer.rate_per_s / before) : 1.0;
        current.limit = {customer.rate_per_s, customer.burst};
        current.group = static_cast<std::uint32_t>(key % quota_groups);
        current.minted_at = now;
        current.minted *= cut;
        for (token_lot& lot : current.lots) {
            lot.tokens *= cut;
        }
        if (current.pool) {
            current.pool->tokens = std::min(current.pool->tokens, pool_capacity(state, current, now));
        }
    }
    state.customers = std::move(kept);
    std::erase_if(state.active, [&](std::uint64_t key) { return !state.customers.contains(key); });
    open_pools(state, now);
}

quota_view make_quota_view(const membership& nodes, std::size_t data_centres, time_point unchanged_since,
                           const quota_policy& policy, time_point now, const std::set<member_id>& left) {
    quota_view view;
    std::map<std::string, std::vector<member_id>> alive;
    std::set<std::string> known{nodes.self.data_centre};
    std::size_t counted = 0;
    for (const auto& [id, record] : nodes.members) {
        const bool has_left = record.state == member_state::leaving ||
                              (record.state == member_state::dead && left.contains(id));
        counted += has_left ? 0 : 1;
        known.insert(record.data_centre);
        if (record.state == member_state::alive) {
            alive[record.data_centre].push_back(id);
        }
        if (record.data_centre == nodes.self.data_centre && record.state != member_state::dead) {
            view.local.insert(id);
        }
    }
    const auto add_zone = [&](const std::string& zone) {
        auto& ranked = view.holders.emplace_back();
        for (std::size_t group = 0; group < quota_groups; ++group) {
            ranked.at(group) =
                rendezvous_top(alive[zone], "quota " + std::to_string(group), holder_candidates);
        }
    };
    add_zone(nodes.self.data_centre);
    known.erase(nodes.self.data_centre);
    for (const std::string& zone : known) {
        add_zone(zone);
    }
    const std::size_t zones = view.holders.size();
    const std::size_t expected = std::max(data_centres, zones);
    view.known_nodes = static_cast<std::uint32_t>((counted * expected + zones - 1) / zones);
    const milliseconds needed = policy.settle_time * (data_centres == 0 ? unknown_settle_factor : 1);
    view.settled = nodes.joined && now - unchanged_since >= needed;
    return view;
}

void set_quota_view(quota_state& state, quota_view view, time_point now) {
    // Members are forgotten only an hour after their death, so a view that was settled once stays so.
    view.settled = view.settled || state.view.settled;
    state.view = std::move(view);
    update_counts(state, now);
    open_pools(state, now);
}

quota_decision request_token(quota_state& state, std::uint64_t key, milliseconds max_wait, time_point now) {
    quota_decision decision;
    const auto found = state.customers.find(key);
    if (found == state.customers.end()) {
        return decision;
    }
    customer_quota& customer = found->second;
    decay(customer.demand_per_s, customer.demand_at, now);
    customer.demand_per_s += 1;
    state.active.insert(key);
    quota_outbox out;
    if (customer.waiting == 0 && take(state, customer, now)) {
        if (usable(customer, now) < batch_of(state, customer) / 2 && may_ask(state, customer, now)) {
            ask(state, key, customer, out, now);
        }
        decision.messages = send_items(state, std::move(out), now);
        return decision;
    }
    if (customer.dry_until <= now + max_wait) {
        ++customer.waiting;
        if (may_ask(state, customer, now)) {
            ask(state, key, customer, out, now);
            decision.messages = send_items(state, std::move(out), now);
        }
        if (customer.waiting == 1 && take_waiting_token(state, key, now)) {
            return decision;
        }
        if (customer.dry_until <= now + max_wait) {
            decision.verdict = quota_verdict::wait;
            return decision;
        }
        --customer.waiting;
    }
    ++state.counts.refused;
    decision.verdict = quota_verdict::refuse;
    decision.retry_after = std::max(milliseconds(1), milliseconds(elapsed_ms(now, customer.dry_until)));
    return decision;
}

bool take_waiting_token(quota_state& state, std::uint64_t key, time_point now) {
    const auto found = state.customers.find(key);
    if (found == state.customers.end()) {
        return true;
    }
    if (!take(state, found->second, now)) {
        return false;
    }
    found->second.waiting -= std::min(1U, found->second.waiting);
    return true;
}

milliseconds stop_waiting(quota_state& state, std::uint64_t key, bool is_refused, time_point now) {
    const auto found = state.customers.find(key);
    if (found == state.customers.end()) {
        return milliseconds(0);
    }
    customer_quota& customer = found->second;
    customer.waiting -= std::min(1U, customer.waiting);
    state.counts.refused += is_refused ? 1 : 0;
    return std::max(state.policy.ask_spacing, milliseconds(elapsed_ms(now, customer.dry_until)));
}

std::vector<quota_message> tick_quota(quota_state& state, time_point now) {
    update_counts(state, now);
    quota_outbox out;
    const bool deposits = now >= state.next_deposit;
    state.next_deposit = deposits ? now + state.policy.deposit_period : state.next_deposit;
    for (auto next = state.active.begin(); next != state.active.end();) {
        const std::uint64_t key = *next;
        customer_quota& customer = state.customers.at(key);
        tick_customer(state, key, customer, deposits, out, now);
        refill_pool(state, key, customer, out, now);
        next = is_idle(state, customer, now) ? state.active.erase(next) : std::next(next);
    }
    send_heartbeats(state, out, now);
    return send_items(state, std::move(out), now);
}

double tokens_held(const quota_state& state, std::uint64_t key, time_point now) {
    const auto found = state.customers.find(key);
    if (found == state.customers.end()) {
        return 0;
    }
    return usable(found->second, now) + (found->second.pool ? found->second.pool->tokens : 0);
}

time_point expected_token_at(const quota_state& state, std::uint64_t key) {
    const auto found = state.customers.find(key);
    return found == state.customers.end() ? time_point{} : found->second.dry_until;
}

} // namespace waxwingfall
