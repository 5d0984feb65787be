#include "waxwingfall/call/ledger.h"

#include <algorithm>

namespace waxwingfall {

namespace {

std::string address_of(const membership& nodes, member_id id) {
    const auto known = nodes.members.find(id);
    return known == nodes.members.end() ? std::string() : known->second.control_address;
}

outgoing make_claim_response(const std::string& reply_to, std::uint64_t attempt_id, claim_verdict verdict,
                             const ledger_record* existing = nullptr) {
    outgoing message;
    message.address = reply_to;
    wire::claim_answer& response = *message.frame.mutable_claim_answer();
    response.set_attempt(attempt_id);
    response.set_verdict(static_cast<std::uint32_t>(verdict));
    if (existing != nullptr) {
        *response.mutable_existing() = to_wire(*existing);
    }
    return message;
}

wall_ms key_creation_time(const std::string& key) {
    wall_ms created_at = 0;
    for (std::size_t index = 0; index < 6 && index < key.size(); ++index) {
        created_at = (created_at << 8U) | static_cast<unsigned char>(key[index]);
    }
    return created_at;
}

void put_record(ledger& state, ledger_shard& shard, const ledger_record& record) {
    const auto known = shard.records.find(record.key);
    if (known != shard.records.end()) {
        state.response_bytes -= known->second.response.size();
    } else {
        state.record_count += 1;
    }
    ledger_record kept = record;
    const bool fits = kept.response.size() <= state.policy.max_response_bytes &&
                      state.response_bytes + kept.response.size() <= state.policy.max_total_response_bytes;
    if (!fits) {
        kept.response.clear();
        kept.response_kept = false;
    }
    state.response_bytes += kept.response.size();
    shard.records.insert_or_assign(kept.key, std::move(kept));
}

void erase_record(ledger& state, ledger_shard& shard, const std::string& key) {
    const auto known = shard.records.find(key);
    if (known == shard.records.end()) {
        return;
    }
    state.response_bytes -= known->second.response.size();
    state.record_count -= 1;
    shard.records.erase(known);
}

/// Builds a replicate message to the backup of a shard, without records; advances the shard's sequence.
outgoing make_replicate(std::uint32_t index, ledger_shard& shard, const membership& nodes) {
    outgoing message;
    message.address = address_of(nodes, shard.owners.backup);
    wire::replicate& replicate = *message.frame.mutable_replicate();
    replicate.set_shard(index);
    replicate.set_epoch(shard.owners.epoch);
    replicate.set_sequence(shard.next_sequence++);
    replicate.set_amnesia_before_ms(shard.records_lost_before);
    replicate.set_life(shard.backup_incarnation);
    return message;
}

/// Sends all records of a shard to its new backup, in parts of at most `transfer_batch_size` records.
void transfer(const ledger& state, std::uint32_t index, ledger_shard& shard, const membership& nodes,
              time_point now, std::vector<outgoing>& messages) {
    shard.next_transfer = now + state.policy.transfer_period;
    const std::uint64_t first = shard.next_sequence;
    const auto new_part = [&] {
        outgoing message = make_replicate(index, shard, nodes);
        message.frame.mutable_replicate()->set_transfer_first(first);
        return message;
    };
    outgoing part = new_part();
    std::size_t in_part = 0;
    for (const auto& [key, record] : shard.records) {
        if (in_part == state.policy.transfer_batch_size) {
            messages.push_back(std::move(part));
            part = new_part();
            in_part = 0;
        }
        *part.frame.mutable_replicate()->add_records() = to_wire(record);
        ++in_part;
    }
    part.frame.mutable_replicate()->set_transfer_complete(true);
    shard.transfer_sequence = part.frame.replicate().sequence();
    messages.push_back(std::move(part));
}

claim_verdict verdict_on_record(const ledger_record& record, const wire::claim& claim) {
    if (record.fingerprint != claim.fingerprint()) {
        return claim_verdict::key_reused;
    }
    switch (record.state) {
    case record_state::claimed:
        return claim_verdict::running;
    case record_state::done:
        return claim_verdict::done;
    case record_state::unknown:
        return claim_verdict::unknown;
    }
    return claim_verdict::unknown;
}

void drop_records(ledger& state, ledger_shard& shard) {
    for (const auto& [key, record] : shard.records) {
        state.response_bytes -= record.response.size();
    }
    state.record_count -= shard.records.size();
    shard.records.clear();
    shard.complete = false;
}

void become_primary(const ledger& state, ledger_shard& shard, const ledger_data_centre& entry,
                    wall_ms wall_now) {
    if (shard.complete) {
        return;
    }
    shard.complete = true;
    if (wall_now < entry.active_from) {
        return;
    }
    shard.records_lost_before = wall_now + static_cast<wall_ms>(state.policy.records_lost_margin.count());
}

void adopt_shard(ledger& state, std::uint32_t index, const ledger_data_centre& entry,
                 const shard_owners& owners, member_id self, time_point now, wall_ms wall_now) {
    const bool owned = owners.primary == self || owners.backup == self;
    if (!owned && !state.shards.contains(index)) {
        return;
    }
    ledger_shard& shard = state.shards[index];
    if (shard.owners.epoch > owners.epoch || shard.owners == owners) {
        return;
    }
    const bool is_new_epoch = owners.epoch > shard.owners.epoch;
    const bool missed_an_epoch = owners.epoch > shard.owners.epoch + 1;
    shard.is_primary = owners.primary == self;
    if (missed_an_epoch || (is_new_epoch && !shard.is_primary)) {
        // The owners of a skipped epoch may have granted claims that this node has no record of. A backup
        // becomes complete only through a transfer made in the new epoch.
        shard.complete = false;
    }
    shard.owners = owners;
    shard.ready = false;
    shard.backup_incarnation = 0;
    shard.grants.clear();
    shard.next_transfer = now;
    if (!owned) {
        drop_records(state, shard);
    } else if (shard.is_primary) {
        become_primary(state, shard, entry, wall_now);
    }
}

bool may_grant(const ledger& state, const ledger_shard& shard, const wire::claim& claim,
               const membership& nodes, time_point now) {
    return shard.is_primary && shard.ready && !state.fenced && shard.owners.epoch == claim.epoch() &&
           state.record_count < state.policy.max_records &&
           sees_majority(nodes, now, state.policy.majority_window);
}

/// Tracks the parts of a transfer. The shard is complete once the last part has arrived and none is missing.
/// A transfer addressed to an earlier process incarnation of this node is ignored.
void track_transfer(const ledger& state, ledger_shard& shard, const wire::replicate& message) {
    if (message.transfer_first() == 0 || message.life() != state.process_incarnation) {
        return;
    }
    const bool in_order = message.sequence() == message.transfer_first() ||
                          message.sequence() == shard.expected_transfer_sequence;
    shard.expected_transfer_sequence = in_order ? message.sequence() + 1 : 0;
    shard.complete |= in_order && message.transfer_complete();
}

} // namespace

wire::record to_wire(const ledger_record& value) {
    wire::record out;
    out.set_key(value.key);
    out.set_fingerprint(value.fingerprint);
    out.set_attempt(value.attempt_id);
    out.set_state(static_cast<std::uint32_t>(value.state));
    out.set_status(value.status);
    out.set_content_type(value.content_type);
    out.set_answer(value.response);
    out.set_answer_dropped(!value.response_kept);
    return out;
}

ledger_record from_wire(const wire::record& value) {
    constexpr auto highest = static_cast<std::uint32_t>(record_state::unknown);
    ledger_record in;
    in.key = value.key();
    in.fingerprint = value.fingerprint();
    in.attempt_id = value.attempt();
    in.state = static_cast<record_state>(std::min(value.state(), highest));
    in.status = value.status();
    in.content_type = value.content_type();
    in.response = value.answer();
    in.response_kept = !value.answer_dropped();
    return in;
}

void adopt_ledger_map(ledger& state, const ledger_map& map, member_id self, time_point now,
                      wall_ms wall_now) {
    if (map.version <= state.map.version) {
        return;
    }
    state.map = map;
    std::uint32_t index = 0;
    for (const ledger_data_centre& entry : map.data_centres) {
        for (const shard_owners& owners : entry.shards) {
            adopt_shard(state, index++, entry, owners, self, now, wall_now);
        }
    }
}

void fence_owner(ledger& state, time_point now) {
    state.fenced = true;
    state.fenced_since = now;
}

void confirm_owner(ledger& state, std::uint64_t peer_version, time_point now) {
    if (peer_version <= state.map.version && now - state.fenced_since >= state.policy.fence_duration) {
        state.fenced = false;
    }
}

std::vector<outgoing> handle_claim(ledger& state, const wire::claim& claim, const std::string& reply_to,
                                   const membership& nodes, time_point now, wall_ms wall_now) {
    const auto found = state.shards.find(claim.shard());
    if (found == state.shards.end() || !may_grant(state, found->second, claim, nodes, now)) {
        return {make_claim_response(reply_to, claim.attempt(), claim_verdict::unavailable)};
    }
    ledger_shard& shard = found->second;
    const auto known = shard.records.find(claim.key());
    if (known != shard.records.end()) {
        // A claim that the backup hasn't acknowledged yet counts as running, since it may still be granted.
        return {make_claim_response(reply_to, claim.attempt(), verdict_on_record(known->second, claim),
                                    &known->second)};
    }
    const wall_ms created_at = key_creation_time(claim.key());
    if (created_at + static_cast<wall_ms>(state.policy.retention.count()) < wall_now) {
        return {make_claim_response(reply_to, claim.attempt(), claim_verdict::expired)};
    }
    if (created_at < shard.records_lost_before) {
        return {make_claim_response(reply_to, claim.attempt(), claim_verdict::records_lost)};
    }
    const ledger_record record{
        claim.key(), claim.fingerprint(), claim.attempt(), record_state::claimed, 0, {}, {}, true};
    put_record(state, shard, record);
    outgoing message = make_replicate(claim.shard(), shard, nodes);
    *message.frame.mutable_replicate()->add_records() = to_wire(record);
    shard.grants[message.frame.replicate().sequence()] = {claim.key(), claim.attempt(), reply_to, now};
    return {message};
}

std::vector<outgoing> handle_replicate(ledger& state, const wire::replicate& message,
                                       const std::string& reply_to) {
    ledger_shard& shard = state.shards[message.shard()];
    outgoing reply;
    reply.address = reply_to;
    wire::replicated& response = *reply.frame.mutable_replicated();
    response.set_shard(message.shard());
    response.set_epoch(message.epoch());
    response.set_sequence(message.sequence());
    response.set_life(state.process_incarnation);
    const bool outdated = message.epoch() < shard.owners.epoch;
    const bool is_primary_here = message.epoch() == shard.owners.epoch && shard.is_primary;
    if (outdated || is_primary_here || state.fenced) {
        response.set_refused(true);
        return {reply};
    }
    if (message.epoch() > shard.owners.epoch) {
        // This node hasn't received the map that makes it the backup yet. Recording the epoch makes it refuse
        // owners of older epochs from now on.
        shard.owners = {0, 0, message.epoch()};
        shard.is_primary = false;
        shard.complete = false;
        shard.ready = false;
        shard.grants.clear();
    }
    for (const wire::record& record : message.records()) {
        if (record.state() == released_state) {
            erase_record(state, shard, record.key());
        } else {
            put_record(state, shard, from_wire(record));
        }
    }
    shard.records_lost_before = std::max(shard.records_lost_before, message.amnesia_before_ms());
    track_transfer(state, shard, message);
    response.set_incomplete(!shard.complete);
    return {reply};
}

std::vector<outgoing> handle_replicated(ledger& state, const wire::replicated& message) {
    const auto found = state.shards.find(message.shard());
    if (found == state.shards.end() || found->second.owners.epoch != message.epoch() || message.refused()) {
        return {};
    }
    ledger_shard& shard = found->second;
    if (!shard.is_primary) {
        return {};
    }
    const bool is_new_process = message.life() != shard.backup_incarnation;
    shard.backup_incarnation = message.life();
    if (message.incomplete()) {
        // The backup's process lacks some of the shard's records and needs a full transfer. A claim that it
        // has acknowledged is recorded by both owners, so it may still be granted.
        shard.ready = false;
        shard.next_transfer = is_new_process ? time_point{} : shard.next_transfer;
    } else if (message.sequence() == shard.transfer_sequence) {
        shard.ready = true;
        return {};
    }
    const auto grant = shard.grants.find(message.sequence());
    if (grant == shard.grants.end()) {
        return {};
    }
    const pending_grant granted = grant->second;
    shard.grants.erase(grant);
    return {make_claim_response(granted.reply_to, granted.attempt_id, claim_verdict::granted)};
}

std::vector<outgoing> handle_settle(ledger& state, const wire::settle& message, const std::string& reply_to,
                                    const membership& nodes) {
    const auto found = state.shards.find(message.shard());
    const std::uint64_t attempt_id = message.settled().attempt();
    if (found == state.shards.end() || !found->second.is_primary) {
        return {};
    }
    ledger_shard& shard = found->second;
    const auto known = shard.records.find(message.settled().key());
    std::vector<outgoing> messages{make_claim_response(reply_to, attempt_id, claim_verdict::settled)};
    const bool open = known != shard.records.end() && known->second.attempt_id == attempt_id &&
                      known->second.state == record_state::claimed;
    if (!open) {
        return messages;
    }
    if (message.settled().state() == released_state) {
        erase_record(state, shard, message.settled().key());
    } else {
        put_record(state, shard, from_wire(message.settled()));
    }
    outgoing copy = make_replicate(message.shard(), shard, nodes);
    *copy.frame.mutable_replicate()->add_records() = message.settled();
    messages.push_back(std::move(copy));
    return messages;
}

std::vector<outgoing> tick_ledger(ledger& state, const membership& nodes, time_point now, wall_ms wall_now) {
    std::vector<outgoing> messages;
    const auto record_lifetime =
        static_cast<wall_ms>((state.policy.retention + state.policy.retention_margin).count());
    for (auto& [index, shard] : state.shards) {
        if (shard.is_primary && !shard.ready && now >= shard.next_transfer) {
            transfer(state, index, shard, nodes, now, messages);
        }
        for (auto grant = shard.grants.begin(); grant != shard.grants.end();) {
            if (now - grant->second.sent <= state.policy.grant_timeout) {
                ++grant;
                continue;
            }
            // The claim was never granted, so the request doesn't run. A copy that remains at the backup can
            // only cause further refusals.
            messages.push_back(make_claim_response(grant->second.reply_to, grant->second.attempt_id,
                                                   claim_verdict::unavailable));
            erase_record(state, shard, grant->second.key);
            grant = shard.grants.erase(grant);
        }
        while (!shard.records.empty() &&
               key_creation_time(shard.records.begin()->first) + record_lifetime < wall_now) {
            const std::string oldest = shard.records.begin()->first;
            erase_record(state, shard, oldest);
        }
    }
    return messages;
}

} // namespace waxwingfall
