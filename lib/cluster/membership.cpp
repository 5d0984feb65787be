#include "waxwingfall/cluster/membership.h"

#include <algorithm>
#include <cassert>
#include <set>

#include "membership_internal.h"
#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

/// Incarnations are start times in milliseconds, raised by refutations. A record with a higher one could not
/// be refuted for good.
constexpr std::uint64_t max_incarnation = 1ULL << 53U;

std::uint64_t record_hash(const member& value) {
    if (value.state == member_state::dead) {
        return 0;
    }
    return mix_hash(value.id, value.incarnation * 4 + static_cast<std::uint64_t>(value.state));
}

/// Stores a record in the table and updates the table hash.
void store_record(membership& state, const member& record, time_point now) {
    const auto known = state.members.find(record.id);
    if (known != state.members.end()) {
        state.table_hash -= record_hash(known->second);
    }
    state.table_hash += record_hash(record);
    state.members.insert_or_assign(record.id, record);
    state.state_since[record.id] = now;
}

/// Raises the local incarnation above that of a false or outdated record of this node.
void refute(membership& state, const member& reported, time_point now) {
    state.self.incarnation = reported.incarnation + 1;
    store_record(state, state.self, now);
}

membership_effects send_probe(membership& state, member_id target, time_point now) {
    membership_effects effects;
    const std::uint64_t sequence = state.next_sequence++;
    state.probes[sequence] = {target, now, false};
    wire::frame frame;
    frame.mutable_ping()->set_sequence(sequence);
    effects.messages.push_back({state.members.at(target).control_address, frame});
    return effects;
}

/// Probes the next node in the ring and one of the other fingers, round robin.
membership_effects probe_ring(membership& state, time_point now) {
    membership_effects effects;
    const auto targets = fingers(state);
    if (targets.empty()) {
        return effects;
    }
    append(effects, send_probe(state, targets.front(), now));
    if (targets.size() > 1) {
        const std::size_t index = 1 + state.finger_probe_count++ % (targets.size() - 1);
        append(effects, send_probe(state, targets[index], now));
    }
    return effects;
}

membership_effects probe_bridges(membership& state, time_point now) {
    membership_effects effects;
    if (!local_bridge_rank(state)) {
        return effects;
    }
    for (const member_id target : remote_bridges(state)) {
        append(effects, send_probe(state, target, now));
    }
    return effects;
}

membership_effects request_indirect_probes(const membership& state, std::uint64_t sequence,
                                           const probe& waiting, random_source& random) {
    membership_effects effects;
    auto helpers = reachable_in(state, state.self.data_centre);
    std::erase(helpers, state.self.id);
    std::erase(helpers, waiting.target);
    std::shuffle(helpers.begin(), helpers.end(), random);
    helpers.resize(std::min(helpers.size(), state.policy.indirect_probers));
    for (const member_id helper : helpers) {
        wire::frame frame;
        frame.mutable_probe_request()->set_sequence(sequence);
        frame.mutable_probe_request()->set_target_address(state.members.at(waiting.target).control_address);
        effects.messages.push_back({state.members.at(helper).control_address, frame});
    }
    return effects;
}

membership_effects set_peer_state(membership& state, member_id id, member_state new_state, time_point now) {
    member changed = state.members.at(id);
    changed.state = new_state;
    return merge_members(state, {changed}, state.self.data_centre, now);
}

/// Suspects a node that acknowledged neither direct nor indirect probes; one that was leaving is declared
/// dead. Only nodes of the same data centre suspect each other, so that a partition between data centres
/// doesn't empty the table on either side.
membership_effects check_probes(membership& state, time_point now, random_source& random) {
    membership_effects effects;
    std::vector<member_id> failed;
    for (auto entry = state.probes.begin(); entry != state.probes.end();) {
        auto& [sequence, waiting] = *entry;
        const auto target = state.members.find(waiting.target);
        const bool local =
            target != state.members.end() && target->second.data_centre == state.self.data_centre;
        const bool expired = now - waiting.sent > state.policy.probe_timeout * 2;
        if (!local || target->second.state == member_state::dead || expired) {
            if (local && expired) {
                failed.push_back(waiting.target);
            }
            entry = now - waiting.sent > state.policy.probe_timeout ? state.probes.erase(entry)
                                                                    : std::next(entry);
            continue;
        }
        if (!waiting.indirect_probes_sent && now - waiting.sent > state.policy.probe_timeout) {
            waiting.indirect_probes_sent = true;
            append(effects, request_indirect_probes(state, sequence, waiting, random));
        }
        ++entry;
    }
    for (const member_id id : failed) {
        const member_state current = state.members.at(id).state;
        if (current == member_state::alive) {
            append(effects, set_peer_state(state, id, member_state::suspect, now));
        } else if (current == member_state::leaving) {
            append(effects, set_peer_state(state, id, member_state::dead, now));
        }
    }
    return effects;
}

membership_effects expire_suspicions(membership& state, time_point now) {
    std::vector<member_id> expired;
    for (const auto& [id, record] : state.members) {
        const bool local = record.data_centre == state.self.data_centre;
        if (local && record.state == member_state::suspect &&
            now - state.state_since.at(id) > state.policy.suspicion_timeout) {
            expired.push_back(id);
        }
    }
    membership_effects effects;
    for (const member_id id : expired) {
        append(effects, set_peer_state(state, id, member_state::dead, now));
    }
    return effects;
}

void expire_tombstones(membership& state, time_point now) {
    std::erase_if(state.members, [&](const auto& entry) {
        const bool old = now - state.state_since.at(entry.first) > state.policy.tombstone_lifetime;
        return entry.second.state == member_state::dead && old;
    });
    std::erase_if(state.state_since, [&](const auto& entry) { return !state.members.contains(entry.first); });
}

/// After a pause of this process, acknowledgements may wait unread, so missing ones say nothing about other
/// nodes. Drops the open probes and restarts the timeouts of suspected nodes.
void reset_timers_after_pause(membership& state, time_point now) {
    const bool paused = now - state.last_tick > state.policy.probe_timeout;
    state.last_tick = now;
    if (!paused) {
        return;
    }
    state.probes.clear();
    for (const auto& [id, record] : state.members) {
        if (record.state == member_state::suspect) {
            state.state_since[id] = now;
        }
    }
}

} // namespace

void append(std::vector<outgoing>& to, std::vector<outgoing> more) {
    std::move(more.begin(), more.end(), std::back_inserter(to));
}

void append(membership_effects& to, membership_effects more) {
    append(to.messages, std::move(more.messages));
    std::move(more.changes.begin(), more.changes.end(), std::back_inserter(to.changes));
}

std::vector<outgoing> gossip_messages(const membership& state, const std::vector<member>& records,
                                      const std::string& from_data_centre) {
    if (records.empty()) {
        return {};
    }
    wire::frame frame;
    for (const member& record : records) {
        *frame.mutable_rumour()->add_members() = to_wire(record);
    }
    std::vector<member_id> targets = fingers(state);
    if (from_data_centre == state.self.data_centre && local_bridge_rank(state)) {
        const auto remote = remote_bridges(state);
        targets.insert(targets.end(), remote.begin(), remote.end());
    }
    std::vector<outgoing> messages;
    messages.reserve(targets.size());
    for (const member_id target : targets) {
        messages.push_back({state.members.at(target).control_address, frame});
    }
    return messages;
}

membership start_membership(const membership_policy& policy, const member& self,
                            const std::vector<std::string>& contacts, time_point now) {
    membership state;
    state.policy = policy;
    state.self = self;
    state.next_probe = now;
    state.next_bridge_probe = now;
    state.next_join = now;
    state.last_tick = now;
    state.joins = {static_cast<double>(policy.join_burst), now};
    store_record(state, self, now);
    add_contacts(state, contacts);
    return state;
}

membership_effects merge_members(membership& state, const std::vector<member>& records,
                                 const std::string& from_data_centre, time_point now) {
    membership_effects effects;
    std::vector<member> updates;
    for (const member& record : records) {
        if (record.incarnation > max_incarnation) {
            ++state.implausible_records;
            continue;
        }
        if (record.id == state.self.id) {
            const bool is_alive = record.state == member_state::alive;
            const bool is_newer = record.incarnation > state.self.incarnation;
            state.name_conflicts +=
                is_alive && is_newer && record.control_address != state.self.control_address ? 1 : 0;
            const bool is_previous_self = record.incarnation < state.self.incarnation &&
                                          record.control_address == state.self.control_address;
            if (is_previous_self && !state.previous_self) {
                state.previous_self = record;
            }
            if (supersedes(record, state.self)) {
                refute(state, record, now);
                updates.push_back(state.self);
            }
            continue;
        }
        const auto known = state.members.find(record.id);
        const bool is_known = known != state.members.end();
        if (is_known && !supersedes(record, known->second)) {
            continue;
        }
        if (!is_known && record.state == member_state::dead) {
            continue;
        }
        effects.changes.push_back({record, is_known ? std::optional(known->second.state) : std::nullopt});
        store_record(state, record, now);
        updates.push_back(record);
    }
    append(effects.messages, gossip_messages(state, updates, from_data_centre));
    return effects;
}

membership_effects set_local_state(membership& state, member_state new_state, time_point now) {
    state.self.state = new_state;
    state.self.incarnation += 1;
    store_record(state, state.self, now);
    return {gossip_messages(state, {state.self}, state.self.data_centre), {}};
}

membership_effects tick_membership(membership& state, time_point now, random_source& random) {
    reset_timers_after_pause(state, now);
    membership_effects effects = send_join_requests(state, now, random);
    append(effects, check_probes(state, now, random));
    append(effects, expire_suspicions(state, now));
    if (now >= state.next_probe) {
        state.next_probe = now + jittered(state.policy.probe_period, random);
        append(effects, probe_ring(state, now));
        expire_tombstones(state, now);
    }
    if (now >= state.next_bridge_probe) {
        state.next_bridge_probe = now + jittered(state.policy.bridge_period, random);
        append(effects, probe_bridges(state, now));
    }
    return effects;
}

void handle_ack(membership& state, std::uint64_t sequence, member_id from) {
    const auto waiting = state.probes.find(sequence);
    if (waiting == state.probes.end() || waiting->second.target != from) {
        return;
    }
    state.probes.erase(waiting);
}

membership_effects handle_probe_request(membership& /*state*/, const wire::probe_request& request,
                                        const std::string& reply_to) {
    membership_effects effects;
    wire::frame frame;
    frame.mutable_ping()->set_sequence(request.sequence());
    frame.mutable_ping()->set_answer_to(reply_to);
    effects.messages.push_back({request.target_address(), frame});
    return effects;
}

std::vector<member_id> reachable_in(const membership& state, const std::string& data_centre) {
    std::vector<member_id> found;
    for (const auto& [id, record] : state.members) {
        if (record.data_centre == data_centre && can_receive(record)) {
            found.push_back(id);
        }
    }
    return found;
}

std::vector<member_id> bridges_of(const membership& state, const std::string& data_centre) {
    std::vector<member_id> candidates;
    for (const auto& [id, record] : state.members) {
        if (record.data_centre == data_centre && record.state == member_state::alive) {
            candidates.push_back(id);
        }
    }
    return rendezvous_top(std::move(candidates), data_centre, state.policy.bridges_per_data_centre);
}

std::optional<std::size_t> local_bridge_rank(const membership& state) {
    const auto bridges = bridges_of(state, state.self.data_centre);
    const auto found = std::find(bridges.begin(), bridges.end(), state.self.id);
    if (found == bridges.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - bridges.begin());
}

std::vector<member_id> fingers(const membership& state) {
    const auto ring = reachable_in(state, state.self.data_centre);
    const auto self = std::find(ring.begin(), ring.end(), state.self.id);
    assert(self != ring.end() && "the local node is in its ring");
    const auto start = static_cast<std::size_t>(self - ring.begin());
    std::vector<member_id> found;
    for (std::size_t distance = 1; distance < ring.size(); distance *= 2) {
        found.push_back(ring[(start + distance) % ring.size()]);
    }
    return found;
}

std::vector<member_id> remote_bridges(const membership& state) {
    std::set<std::string> data_centres;
    for (const auto& [id, record] : state.members) {
        data_centres.insert(record.data_centre);
    }
    data_centres.erase(state.self.data_centre);
    std::vector<member_id> found;
    for (const std::string& data_centre : data_centres) {
        const auto bridges = bridges_of(state, data_centre);
        if (!bridges.empty()) {
            found.push_back(bridges.front());
        }
    }
    return found;
}

std::string data_centre_of(const membership& state, member_id id) {
    const auto known = state.members.find(id);
    return known == state.members.end() ? std::string() : known->second.data_centre;
}

bool sees_majority(const membership& state, time_point now, milliseconds window) {
    std::size_t reachable = 0;
    std::size_t lost = 0;
    for (const auto& [id, record] : state.members) {
        if (record.data_centre != state.self.data_centre) {
            continue;
        }
        const bool up = record.state == member_state::alive || record.state == member_state::leaving;
        reachable += up ? 1 : 0;
        lost += !up && now - state.state_since.at(id) < window ? 1 : 0;
    }
    return reachable > lost;
}

} // namespace waxwingfall
