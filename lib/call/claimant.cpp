#include "waxwingfall/call/claimant.h"

namespace waxwingfall {

namespace {

/// Returns the owners of the shard with the given index over all data centres, or null if there is none.
const shard_owners* find_owners(const ledger_map& map, std::uint32_t index) {
    for (const ledger_data_centre& entry : map.data_centres) {
        if (index < entry.shards.size()) {
            return &entry.shards[index];
        }
        index -= static_cast<std::uint32_t>(entry.shards.size());
    }
    return nullptr;
}

void send_settlement(const claimant& state, pending_settlement& settlement, const ledger_map& map,
                     const membership& nodes, time_point now, claimant_effects& effects) {
    settlement.attempts += 1;
    settlement.next_attempt_at = now + state.policy.settle_retry_period;
    const shard_owners* owners = find_owners(map, settlement.shard);
    if (owners == nullptr || !nodes.members.contains(owners->primary)) {
        return;
    }
    wire::frame frame;
    frame.mutable_settle()->set_shard(settlement.shard);
    frame.mutable_settle()->set_epoch(owners->epoch);
    *frame.mutable_settle()->mutable_settled() = settlement.settled;
    effects.messages.push_back({nodes.members.at(owners->primary).control_address, frame});
}

} // namespace

std::optional<std::uint64_t> start_claim(claimant& state, const ledger_map& map, const membership& nodes,
                                         const idempotency_key& key, const std::string& fingerprint,
                                         time_point now, random_source& random, claimant_effects& effects) {
    const auto location = find_owning_shard(map, key);
    if (!location || !nodes.members.contains(location->owners.primary)) {
        return std::nullopt;
    }
    const std::uint64_t attempt_id = random();
    wire::frame frame;
    wire::claim& claim = *frame.mutable_claim();
    claim.set_shard(location->index);
    claim.set_epoch(location->owners.epoch);
    claim.set_key(key.bytes);
    claim.set_fingerprint(fingerprint);
    claim.set_attempt(attempt_id);
    effects.messages.push_back({nodes.members.at(location->owners.primary).control_address, frame});
    state.pending_claims[attempt_id] = {attempt_id, key.bytes, now};
    state.shard_by_attempt[attempt_id] = location->index;
    return attempt_id;
}

claimant_effects handle_claim_response(claimant& state, const wire::claim_answer& response,
                                       const ledger_map& map, const membership& nodes, time_point now) {
    claimant_effects effects;
    const auto verdict = static_cast<claim_verdict>(response.verdict());
    const std::uint64_t attempt_id = response.attempt();
    if (verdict == claim_verdict::settled) {
        state.pending_settlements.erase(attempt_id);
        return effects;
    }
    const auto pending = state.pending_claims.find(attempt_id);
    if (pending == state.pending_claims.end()) {
        return effects;
    }
    const bool abandoned = pending->second.sent == time_point::max();
    const std::string key = pending->second.key;
    state.pending_claims.erase(pending);
    if (abandoned) {
        if (verdict == claim_verdict::granted) {
            return release_claim(state, map, nodes, attempt_id, key, now);
        }
        state.shard_by_attempt.erase(attempt_id);
        return effects;
    }
    if (verdict != claim_verdict::granted) {
        state.shard_by_attempt.erase(attempt_id);
    }
    effects.results.push_back({attempt_id, verdict, key, from_wire(response.existing())});
    return effects;
}

claimant_effects settle_claim(claimant& state, const ledger_map& map, const membership& nodes,
                              wire::record settled, time_point now) {
    claimant_effects effects;
    const std::uint64_t attempt_id = settled.attempt();
    const auto shard = state.shard_by_attempt.find(attempt_id);
    if (shard == state.shard_by_attempt.end()) {
        return effects;
    }
    pending_settlement settlement{shard->second, std::move(settled), now, 0};
    state.shard_by_attempt.erase(shard);
    send_settlement(state, settlement, map, nodes, now, effects);
    state.pending_settlements.insert_or_assign(attempt_id, std::move(settlement));
    return effects;
}

claimant_effects release_claim(claimant& state, const ledger_map& map, const membership& nodes,
                               std::uint64_t attempt_id, const std::string& key, time_point now) {
    wire::record released;
    released.set_key(key);
    released.set_attempt(attempt_id);
    released.set_state(released_state);
    return settle_claim(state, map, nodes, std::move(released), now);
}

claimant_effects tick_claimant(claimant& state, const ledger_map& map, const membership& nodes,
                               time_point now) {
    claimant_effects effects;
    for (auto& [attempt_id, pending] : state.pending_claims) {
        if (pending.sent != time_point::max() && now - pending.sent > state.policy.claim_timeout) {
            // Kept as abandoned, so that a grant that arrives later is released.
            pending.sent = time_point::max();
            effects.results.push_back({attempt_id, claim_verdict::unavailable, pending.key, {}});
        }
    }
    constexpr std::size_t max_pending_claims = 10'000;
    while (state.pending_claims.size() > max_pending_claims) {
        state.shard_by_attempt.erase(state.pending_claims.begin()->first);
        state.pending_claims.erase(state.pending_claims.begin());
    }
    for (auto entry = state.pending_settlements.begin(); entry != state.pending_settlements.end();) {
        pending_settlement& settlement = entry->second;
        if (settlement.attempts >= state.policy.max_settle_attempts) {
            entry = state.pending_settlements.erase(entry);
            continue;
        }
        if (now >= settlement.next_attempt_at) {
            send_settlement(state, settlement, map, nodes, now, effects);
        }
        ++entry;
    }
    return effects;
}

} // namespace waxwingfall
