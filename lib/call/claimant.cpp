#include "waxwingfall/call/claimant.h"

namespace waxwingfall {

namespace {

/// The owners of a shard by its index over all zones, or nothing.
const shard_owners* owners_of(const ledger_map& map, std::uint32_t index) {
    for (const ledger_zone& zone : map.zones) {
        if (index < zone.shards.size()) {
            return &zone.shards[index];
        }
        index -= static_cast<std::uint32_t>(zone.shards.size());
    }
    return nullptr;
}

void send_settlement(const claimant& state, open_settlement& open, const ledger_map& map,
                     const membership& nodes, time_point now, claimant_effects& effects) {
    open.tries += 1;
    open.next_try = now + state.policy.settle_period;
    const shard_owners* owners = owners_of(map, open.shard);
    if (owners == nullptr || !nodes.members.contains(owners->primary)) {
        return;
    }
    wire::frame frame;
    frame.mutable_settle()->set_shard(open.shard);
    frame.mutable_settle()->set_epoch(owners->epoch);
    *frame.mutable_settle()->mutable_settled() = open.settled;
    effects.messages.push_back({nodes.members.at(owners->primary).control_address, frame});
}

} // namespace

std::optional<std::uint64_t> start_claim(claimant& state, const ledger_map& map, const membership& nodes,
                                         const idempotency_key& key, const std::string& fingerprint,
                                         time_point now, random_source& random, claimant_effects& effects) {
    const auto home = home_of(map, key);
    if (!home || !nodes.members.contains(home->owners.primary)) {
        return std::nullopt;
    }
    const std::uint64_t attempt = random();
    wire::frame frame;
    wire::claim& claim = *frame.mutable_claim();
    claim.set_shard(home->index);
    claim.set_epoch(home->owners.epoch);
    claim.set_key(key.bytes);
    claim.set_fingerprint(fingerprint);
    claim.set_attempt(attempt);
    effects.messages.push_back({nodes.members.at(home->owners.primary).control_address, frame});
    state.waiting[attempt] = {attempt, key.bytes, now};
    state.shard_of[attempt] = home->index;
    return attempt;
}

claimant_effects handle_claim_answer(claimant& state, const wire::claim_answer& answer, const ledger_map& map,
                                     const membership& nodes, time_point now) {
    claimant_effects effects;
    const auto verdict = static_cast<claim_verdict>(answer.verdict());
    const std::uint64_t attempt = answer.attempt();
    if (verdict == claim_verdict::settled) {
        state.settling.erase(attempt);
        return effects;
    }
    const auto waiting = state.waiting.find(attempt);
    if (waiting == state.waiting.end()) {
        return effects;
    }
    const bool given_up = waiting->second.sent == time_point::max();
    const std::string key = waiting->second.key;
    state.waiting.erase(waiting);
    if (given_up) {
        if (verdict == claim_verdict::granted) {
            return release_claim(state, map, nodes, attempt, key, now);
        }
        state.shard_of.erase(attempt);
        return effects;
    }
    if (verdict != claim_verdict::granted) {
        state.shard_of.erase(attempt);
    }
    effects.results.push_back({attempt, verdict, key, from_wire(answer.existing())});
    return effects;
}

claimant_effects settle_claim(claimant& state, const ledger_map& map, const membership& nodes,
                              wire::record settled, time_point now) {
    claimant_effects effects;
    const std::uint64_t attempt = settled.attempt();
    const auto shard = state.shard_of.find(attempt);
    if (shard == state.shard_of.end()) {
        return effects;
    }
    open_settlement open{shard->second, std::move(settled), now, 0};
    state.shard_of.erase(shard);
    send_settlement(state, open, map, nodes, now, effects);
    state.settling.insert_or_assign(attempt, std::move(open));
    return effects;
}

claimant_effects release_claim(claimant& state, const ledger_map& map, const membership& nodes,
                               std::uint64_t attempt, const std::string& key, time_point now) {
    wire::record released;
    released.set_key(key);
    released.set_attempt(attempt);
    released.set_state(released_state);
    return settle_claim(state, map, nodes, std::move(released), now);
}

claimant_effects tick_claimant(claimant& state, const ledger_map& map, const membership& nodes,
                               time_point now) {
    claimant_effects effects;
    for (auto& [attempt, waiting] : state.waiting) {
        if (waiting.sent != time_point::max() && now - waiting.sent > state.policy.claim_timeout) {
            // Kept as given up, so that a grant that still comes is handed back.
            waiting.sent = time_point::max();
            effects.results.push_back({attempt, claim_verdict::unavailable, waiting.key, {}});
        }
    }
    constexpr std::size_t most_given_up = 10'000;
    while (state.waiting.size() > most_given_up) {
        state.shard_of.erase(state.waiting.begin()->first);
        state.waiting.erase(state.waiting.begin());
    }
    for (auto entry = state.settling.begin(); entry != state.settling.end();) {
        open_settlement& open = entry->second;
        if (open.tries >= state.policy.settle_tries) {
            entry = state.settling.erase(entry);
            continue;
        }
        if (now >= open.next_try) {
            send_settlement(state, open, map, nodes, now, effects);
        }
        ++entry;
    }
    return effects;
}

} // namespace waxwingfall
