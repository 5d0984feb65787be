#include <algorithm>
#include <set>

#include "membership_internal.h"
#include "waxwingfall/cluster/membership.h"

namespace waxwingfall {

namespace {

bool take_join_token(membership& state, time_point now) {
    join_token_bucket& joins = state.joins;
    const double refill =
        static_cast<double>(elapsed_ms(joins.refilled, now)) * state.policy.joins_per_second / 1000.0;
    joins.tokens = std::min(static_cast<double>(state.policy.join_burst), joins.tokens + refill);
    joins.refilled = now;
    if (joins.tokens < 1.0) {
        return false;
    }
    joins.tokens -= 1.0;
    return true;
}

} // namespace

membership_effects send_join_requests(membership& state, time_point now, random_source& random) {
    membership_effects effects;
    if (state.joined || state.contacts.empty() || now < state.next_join) {
        return effects;
    }
    const std::uint32_t doublings = std::min(state.join_attempts++, 10U);
    const milliseconds wait =
        std::min(state.policy.join_backoff_base * (1U << doublings), state.policy.join_backoff_limit);
    state.next_join = now + jittered(wait, random);
    wire::frame frame;
    *frame.mutable_join()->mutable_self() = to_wire(state.self);
    constexpr std::size_t contacts_at_once = 2;
    std::shuffle(state.contacts.begin(), state.contacts.end(), random);
    for (std::size_t index = 0; index < std::min(contacts_at_once, state.contacts.size()); ++index) {
        effects.messages.push_back({state.contacts[index], frame});
    }
    return effects;
}

void add_contacts(membership& state, const std::vector<std::string>& addresses) {
    for (const std::string& address : addresses) {
        const bool known =
            std::find(state.contacts.begin(), state.contacts.end(), address) != state.contacts.end();
        if (!known && address != state.self.control_address) {
            state.contacts.push_back(address);
        }
    }
}

membership_effects compare_tables(membership& state, std::uint64_t peer_hash, const std::string& peer_address,
                                  time_point now, random_source& random) {
    membership_effects effects;
    if (peer_hash == state.table_hash) {
        return effects;
    }
    // Tables differ briefly while an update is in flight, so the first difference only starts the timer.
    const auto [timer, started] = state.sync_timers.emplace(peer_address, now);
    if (started || now - timer->second < jittered(state.policy.sync_spacing, random)) {
        return effects;
    }
    state.sync_timers.erase(timer);
    wire::frame frame;
    for (const auto& [id, record] : state.members) {
        wire::member_stamp& stamp = *frame.mutable_sync_request()->add_stamps();
        stamp.set_id(id);
        stamp.set_incarnation(record.incarnation);
        stamp.set_state(static_cast<std::uint32_t>(record.state));
    }
    effects.messages.push_back({peer_address, frame});
    return effects;
}

membership_effects handle_sync_request(membership& state, const wire::sync_request& request,
                                       const std::string& reply_to) {
    wire::frame frame;
    wire::sync_answer& response = *frame.mutable_sync_answer();
    std::set<member_id> named;
    for (const wire::member_stamp& stamp : request.stamps()) {
        named.insert(stamp.id());
        const auto known = state.members.find(stamp.id());
        if (known == state.members.end()) {
            if (stamp.state() != static_cast<std::uint32_t>(member_state::dead)) {
                response.add_wanted(stamp.id());
            }
            continue;
        }
        const auto local =
            std::pair(known->second.incarnation, static_cast<std::uint32_t>(known->second.state));
        const auto theirs = std::pair(stamp.incarnation(), stamp.state());
        if (local > theirs) {
            *response.add_members() = to_wire(known->second);
        } else if (theirs > local) {
            response.add_wanted(stamp.id());
        }
    }
    for (const auto& [id, record] : state.members) {
        if (!named.contains(id) && can_receive(record)) {
            *response.add_members() = to_wire(record);
        }
    }
    return {{{reply_to, frame}}, {}};
}

membership_effects handle_sync_response(membership& state, const wire::sync_answer& response,
                                        const std::string& reply_to, const std::string& from_data_centre,
                                        time_point now) {
    std::vector<member> records;
    for (const wire::member& record : response.members()) {
        records.push_back(from_wire(record));
    }
    membership_effects effects = merge_members(state, records, from_data_centre, now);
    wire::frame frame;
    for (const member_id id : response.wanted()) {
        const auto known = state.members.find(id);
        if (known != state.members.end()) {
            *frame.mutable_rumour()->add_members() = to_wire(known->second);
        }
    }
    if (frame.has_rumour()) {
        effects.messages.push_back({reply_to, frame});
    }
    return effects;
}

membership_effects handle_join(membership& state, const member& joiner, const std::string& reply_to,
                               time_point now, random_source& random) {
    wire::frame frame;
    wire::join_answer& response = *frame.mutable_join_answer();
    const bool admitted = take_join_token(state, now);
    response.set_admitted(admitted);
    if (!admitted) {
        constexpr std::size_t alternatives = 4;
        auto others = reachable_in(state, state.self.data_centre);
        std::shuffle(others.begin(), others.end(), random);
        for (std::size_t index = 0; index < std::min(alternatives, others.size()); ++index) {
            *response.add_members() = to_wire(state.members.at(others[index]));
        }
        return {{{reply_to, frame}}, {}};
    }
    // The joining node's earlier record is sent back, so that the node raises its incarnation above it.
    for (const auto& [id, record] : state.members) {
        if (can_receive(record) || id == joiner.id) {
            *response.add_members() = to_wire(record);
        }
    }
    membership_effects effects = merge_members(state, {joiner}, joiner.data_centre, now);
    effects.messages.push_back({reply_to, frame});
    return effects;
}

membership_effects handle_join_response(membership& state, const wire::join_answer& response,
                                        const std::string& from_data_centre, time_point now) {
    std::vector<member> records;
    std::vector<std::string> addresses;
    for (const wire::member& record : response.members()) {
        records.push_back(from_wire(record));
        addresses.push_back(record.control_address());
    }
    if (!response.admitted()) {
        add_contacts(state, addresses);
        return {};
    }
    const bool first = !state.joined;
    state.joined = true;
    membership_effects effects = merge_members(state, records, from_data_centre, now);
    if (first) {
        // The table is now complete, so the local record can be gossiped without waiting for a probe.
        effects.messages = gossip_messages(state, {state.self}, state.self.data_centre);
    }
    return effects;
}

} // namespace waxwingfall
