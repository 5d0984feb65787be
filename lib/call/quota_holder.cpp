#include <algorithm>
#include <cmath>

#include "quota_internal.h"

namespace waxwingfall {

namespace {

constexpr double ms_per_s = 1000;

/// A pool below this part of its capacity asks nodes for what they mint.
constexpr double full = 0.9;

double in_seconds(milliseconds value) {
    return static_cast<double>(value.count()) / ms_per_s;
}

wire::quota_item make_item(std::uint64_t key) {
    wire::quota_item item;
    item.set_customer(key);
    return item;
}

/// Time until the next token is free, if those that were asked for before are granted first.
std::uint32_t dry_ms(const quota_state& state, const customer_quota& customer) {
    const quota_pool& pool = *customer.pool;
    const double income = customer.limit.rate_per_s * state.reporting / state.divisor;
    const double per_s = std::max(income, pool.granted_per_s);
    const double ms = ms_per_s * (1 + pool.unmet) / std::max(per_s, 1 / in_seconds(state.policy.max_dry));
    return static_cast<std::uint32_t>(std::clamp(ms, static_cast<double>(state.policy.ask_spacing.count()),
                                                 static_cast<double>(state.policy.max_dry.count())));
}

/// Grants at most `wanted` whole tokens and keeps a reserve.
double withdraw(const quota_state& state, customer_quota& customer, double wanted, double reserve,
                time_point now) {
    quota_pool& pool = *customer.pool;
    pool.tokens = std::min(pool.tokens, pool_capacity(state, customer, now));
    constexpr double rounding = 1e-9;
    const double given = std::clamp(std::floor(pool.tokens - reserve + rounding), 0.0, wanted);
    pool.tokens = std::max(0.0, pool.tokens - given);
    return given;
}

void serve_node(quota_state& state, customer_quota& customer, double wanted, wire::quota_item& reply,
                time_point now) {
    quota_pool& pool = *customer.pool;
    const double given = withdraw(state, customer, wanted, 0, now);
    pool.granted_per_s += given;
    pool.unmet += wanted - given;
    state.counts.granted += static_cast<std::uint64_t>(given);
    reply.set_micro_tokens(static_cast<std::uint64_t>(given * micro_per_token));
    reply.set_dry_ms(given < wanted ? dry_ms(state, customer) : 0);
}

void serve_loan(quota_state& state, customer_quota& customer, double wanted, wire::quota_item& reply,
                time_point now) {
    const double reserve = customer.pool->granted_per_s * in_seconds(state.policy.reserve);
    const double given = withdraw(state, customer, wanted, reserve, now);
    state.counts.lent += static_cast<std::uint64_t>(given);
    reply.set_micro_tokens(static_cast<std::uint64_t>(given * micro_per_token));
}

void request_deposits(quota_state& state, std::uint64_t key, customer_quota& customer, quota_outbox& out,
                      time_point now) {
    customer.pool->collect_sent = now;
    wire::quota_item item = make_item(key);
    item.set_collects(true);
    out.grants[state.self].push_back(item);
    for (const auto& [id, peer] : state.peers) {
        if (peer.heard_at && now - *peer.heard_at < state.policy.presence) {
            out.grants[id].push_back(item);
        }
    }
}

void request_loans(quota_state& state, std::uint64_t key, customer_quota& customer, quota_outbox& out,
                   time_point now) {
    quota_pool& pool = *customer.pool;
    const double room = std::max(1.0, pool_capacity(state, customer, now) - pool.tokens);
    const double aim = std::max(pool.unmet, pool.granted_per_s * in_seconds(state.policy.reserve));
    const double missing = std::min(room, aim - pool.tokens);
    const std::size_t zones = state.view.holders.size();
    if (missing < 0.5 || zones < 2) {
        return;
    }
    pool.loan_sent = now;
    wire::quota_item item = make_item(key);
    item.set_wanted(static_cast<std::uint32_t>(std::ceil(missing / static_cast<double>(zones - 1))));
    for (std::size_t zone = 1; zone < zones; ++zone) {
        const member_id holder = holder_of(state, zone, customer.group, now);
        if (holder != 0) {
            out.loans[holder].push_back(item);
        }
    }
}

void add_header(quota_state& state, member_id to, wire::quota_header& header, time_point now) {
    quota_peer& peer = state.peers[to];
    header.set_epoch(state.epoch);
    header.set_receiver_epoch(peer.epoch);
    header.set_sequence(++peer.sent);
    header.set_nodes(state.view.settled ? state.view.known_nodes : 0);
    peer.sent_at = now;
}

/// Tokens for a process that this node has not heard of yet would be dropped there.
void drop_unaddressed(const quota_state& state, member_id to, std::vector<wire::quota_item>& items) {
    const auto peer = state.peers.find(to);
    if (peer != state.peers.end() && peer->second.epoch != 0) {
        return;
    }
    for (wire::quota_item& item : items) {
        item.clear_micro_tokens();
    }
}

template <typename make_body>
void send_parts(quota_state& state, member_id to, std::vector<wire::quota_item> items,
                std::vector<quota_message>& sent, time_point now, const make_body& body_of) {
    drop_unaddressed(state, to, items);
    std::size_t next = 0;
    do {
        quota_message message{to, {}};
        auto& body = body_of(message.frame);
        add_header(state, to, *body.mutable_header(), now);
        const std::size_t end = std::min(items.size(), next + state.policy.items_per_message);
        for (; next < end; ++next) {
            *body.add_items() = std::move(items[next]);
        }
        ++state.counts.messages;
        state.counts.bytes += message.frame.ByteSizeLong();
        sent.push_back(std::move(message));
    } while (next < items.size());
}

void send_request(quota_state& state, member_id to, std::vector<wire::quota_item> items, bool is_loan,
                  std::vector<quota_message>& sent, time_point now) {
    quota_peer& peer = state.peers[to];
    const bool expects_answer =
        std::any_of(items.begin(), items.end(), [](const auto& item) { return item.wanted() > 0; });
    const bool given_up = peer.unanswered_since && now - *peer.unanswered_since >= state.policy.silence_retry;
    if (expects_answer && (!peer.unanswered_since || given_up)) {
        peer.unanswered_since = now;
    }
    send_parts(
        state, to, std::move(items), sent, now, [is_loan](wire::frame & frame) -> auto& {
            frame.mutable_quota_request()->set_is_loan(is_loan);
            return *frame.mutable_quota_request();
        });
}

void send_grant(quota_state& state, member_id to, std::vector<wire::quota_item> items, bool is_loan,
                std::vector<quota_message>& sent, time_point now) {
    send_parts(
        state, to, std::move(items), sent, now, [is_loan](wire::frame & frame) -> auto& {
            frame.mutable_quota_grant()->set_is_loan(is_loan);
            return *frame.mutable_quota_grant();
        });
}

/// Processes the items that the node has for itself; they may yield further ones, but only grants.
void process_own(quota_state& state, quota_outbox& out, time_point now) {
    if (const auto own = out.requests.extract(state.self)) {
        wire::quota_request request;
        request.mutable_items()->Add(own.mapped().begin(), own.mapped().end());
        serve_items(state, state.self, request, true, out, now);
    }
    if (const auto own = out.grants.extract(state.self)) {
        wire::quota_grant grant;
        grant.mutable_items()->Add(own.mapped().begin(), own.mapped().end());
        store_items(state, grant, true, now);
    }
}

} // namespace

double pool_capacity(const quota_state& state, const customer_quota& customer, time_point /*now*/) {
    const quota_limit& limit = customer.limit;
    const double all = limit.burst + limit.rate_per_s * state.policy.pool_rate_s + state.policy.pool_slack;
    return all * state.reporting / state.divisor;
}

void add_to_pool(const quota_state& state, customer_quota& customer, double tokens, time_point now) {
    if (!customer.pool) {
        customer.pool.emplace();
        customer.pool->used_at = now;
    }
    customer.pool->tokens = std::min(pool_capacity(state, customer, now), customer.pool->tokens + tokens);
}

std::vector<quota_message> send_items(quota_state& state, quota_outbox out, time_point now) {
    process_own(state, out, now);
    std::vector<quota_message> sent;
    for (auto& [to, items] : out.requests) {
        send_request(state, to, std::move(items), false, sent, now);
    }
    for (auto& [to, items] : out.loans) {
        send_request(state, to, std::move(items), true, sent, now);
    }
    for (auto& [to, items] : out.grants) {
        send_grant(state, to, std::move(items), false, sent, now);
    }
    for (auto& [to, items] : out.loan_grants) {
        send_grant(state, to, std::move(items), true, sent, now);
    }
    return sent;
}

bool accept_header(quota_state& state, member_id from, const wire::quota_header& header, bool& addressed,
                   time_point now) {
    quota_peer& peer = state.peers[from];
    if (header.epoch() < peer.epoch || header.epoch() == 0) {
        return false;
    }
    if (header.epoch() > peer.epoch) {
        peer.epoch = header.epoch();
        peer.received = 0;
    }
    if (header.sequence() <= peer.received) {
        return false;
    }
    peer.received = header.sequence();
    peer.unanswered_since.reset();
    if (header.nodes() > 0) {
        peer.nodes = header.nodes();
        peer.nodes_at = now;
    }
    addressed = header.receiver_epoch() == state.epoch;
    return true;
}

void serve_items(quota_state& state, member_id from, const wire::quota_request& request, bool addressed,
                 quota_outbox& out, time_point now) {
    auto& replies = request.is_loan() ? out.loan_grants : out.grants;
    const auto peer = state.peers.find(from);
    if (peer != state.peers.end() && now - peer->second.sent_at >= state.policy.answer_period) {
        replies[from];
    }
    for (const wire::quota_item& item : request.items()) {
        const auto found = state.customers.find(item.customer());
        if (found == state.customers.end()) {
            continue;
        }
        customer_quota& customer = found->second;
        add_to_pool(state, customer,
                    addressed ? static_cast<double>(item.micro_tokens()) / micro_per_token : 0.0, now);
        quota_pool& pool = *customer.pool;
        pool.used_at = now;
        state.active.insert(item.customer());
        if (item.wanted() == 0) {
            continue;
        }
        time_point unmet_at = pool.granted_at;
        decay(pool.unmet, unmet_at, now);
        decay(pool.granted_per_s, pool.granted_at, now);
        wire::quota_item reply = make_item(item.customer());
        if (request.is_loan()) {
            serve_loan(state, customer, item.wanted(), reply, now);
        } else {
            serve_node(state, customer, item.wanted(), reply, now);
        }
        replies[from].push_back(std::move(reply));
        refill_pool(state, item.customer(), customer, out, now);
    }
}

void store_items(quota_state& state, const wire::quota_grant& grant, bool addressed, time_point now) {
    for (const wire::quota_item& item : grant.items()) {
        const auto found = state.customers.find(item.customer());
        if (found == state.customers.end()) {
            continue;
        }
        customer_quota& customer = found->second;
        state.active.insert(item.customer());
        const double tokens = addressed ? static_cast<double>(item.micro_tokens()) / micro_per_token : 0.0;
        if (grant.is_loan()) {
            add_to_pool(state, customer, tokens, now);
            continue;
        }
        if (item.collects()) {
            customer.collect_until = now + state.policy.collect_period + state.policy.deposit_period;
            continue;
        }
        if (tokens > 0) {
            customer.lots.push_back({tokens, now + state.policy.token_lifetime});
        }
        customer.dry_until = item.dry_ms() > 0 ? now + milliseconds(item.dry_ms()) : time_point{};
    }
}

void refill_pool(quota_state& state, std::uint64_t key, customer_quota& customer, quota_outbox& out,
                 time_point now) {
    if (!customer.pool) {
        return;
    }
    quota_pool& pool = *customer.pool;
    if (holder_of(state, 0, customer.group, now) != state.self &&
        now - pool.used_at > state.policy.presence) {
        customer.pool.reset();
        return;
    }
    time_point unmet_at = pool.granted_at;
    decay(pool.unmet, unmet_at, now);
    decay(pool.granted_per_s, pool.granted_at, now);
    if (pool.tokens < full * pool_capacity(state, customer, now) &&
        now - pool.collect_sent >= state.policy.collect_period) {
        request_deposits(state, key, customer, out, now);
    }
    if (now - pool.loan_sent >= state.policy.loan_spacing) {
        request_loans(state, key, customer, out, now);
    }
}

std::vector<quota_message> handle_quota_request(quota_state& state, member_id from,
                                                const wire::quota_request& request, time_point now) {
    bool addressed = false;
    if (!accept_header(state, from, request.header(), addressed, now)) {
        return {};
    }
    if (!request.is_loan() && state.view.local.contains(from)) {
        state.peers[from].heard_at = now;
    }
    quota_outbox out;
    serve_items(state, from, request, addressed, out, now);
    return send_items(state, std::move(out), now);
}

std::vector<quota_message> handle_quota_grant(quota_state& state, member_id from,
                                              const wire::quota_grant& grant, time_point now) {
    bool addressed = false;
    if (!accept_header(state, from, grant.header(), addressed, now)) {
        return {};
    }
    store_items(state, grant, addressed, now);
    return {};
}

} // namespace waxwingfall
