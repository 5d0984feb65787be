#include "waxwingfall/cluster/control_plane.h"

#include <algorithm>

namespace waxwingfall {

namespace {

void append(control_plane_effects& to, membership_effects more) {
    std::move(more.messages.begin(), more.messages.end(), std::back_inserter(to.messages));
    std::move(more.changes.begin(), more.changes.end(), std::back_inserter(to.changes));
}

/// Broadcasts newly held content to the neighbours. Only a bridge sends it to other data centres, and only if
/// it did not come from another data centre.
void broadcast(const control_plane& state, const distribution& kind, const std::string& from_data_centre,
               control_plane_effects& effects) {
    const membership& nodes = state.nodes;
    std::vector<member_id> targets = fingers(nodes);
    if (from_data_centre == nodes.self.data_centre && local_bridge_rank(nodes)) {
        const auto remote = remote_bridges(nodes);
        targets.insert(targets.end(), remote.begin(), remote.end());
    }
    const wire::frame frame = broadcast_message(kind);
    for (const member_id target : targets) {
        effects.messages.push_back({nodes.members.at(target).control_address, frame});
    }
}

/// Sends a report to the first bridge and schedules the next one, with jitter if `random` is not null.
void append_report(control_plane& state, time_point now, random_source* random,
                   control_plane_effects& effects) {
    const auto bridges = bridges_of(state.nodes, state.nodes.self.data_centre);
    const milliseconds period = state.policy.report_period;
    state.next_report = now + (random == nullptr ? period : jittered(period, *random));
    if (bridges.empty()) {
        return;
    }
    state.reported_to = bridges.front();
    wire::frame frame;
    wire::report& report = *frame.mutable_report();
    report.set_node(state.nodes.self.name);
    report.set_version(state.contracts.enforced.id.version);
    if (state.contracts.refused) {
        report.set_rejected_version(state.contracts.refused->id.version);
        report.set_reason(state.contracts.refused->reason);
    }
    report.set_calls(state.calls);
    report.set_failed_calls(state.failed_calls);
    effects.messages.push_back({state.nodes.members.at(bridges.front()).control_address, frame});
}

void append_contract(control_plane& state, distribution_effects more, const std::string& from_data_centre,
                     time_point now, control_plane_effects& effects) {
    std::move(more.messages.begin(), more.messages.end(), std::back_inserter(effects.messages));
    effects.contract_enforced |= more.enforced;
    effects.contract_refused |= more.refused;
    effects.conflict |= more.conflict;
    if (more.broadcast) {
        broadcast(state, state.contracts, from_data_centre, effects);
    }
    if (more.enforced || more.refused) {
        append_report(state, now, nullptr, effects);
    }
}

void append_ledger(const control_plane& state, distribution_effects more, const std::string& from_data_centre,
                   control_plane_effects& effects) {
    std::move(more.messages.begin(), more.messages.end(), std::back_inserter(effects.messages));
    effects.ledger_changed |= more.enforced;
    effects.conflict |= more.conflict;
    if (more.broadcast) {
        broadcast(state, state.ledgers, from_data_centre, effects);
    }
}

/// Learns the version ids that a message carries. Here and in the handlers below, `from` is the data centre
/// of the message's sender.
void learn_versions(control_plane& state, const wire::mark& contract_id, const wire::mark& ledger_id,
                    const std::string& source, const std::string& from, time_point now,
                    control_plane_effects& effects) {
    append_contract(state, learn_version(state.contracts, from_wire(contract_id), source, now), from, now,
                    effects);
    append_ledger(state, learn_version(state.ledgers, from_wire(ledger_id), source, now), from, effects);
}

/// A new first bridge has no report of this node yet, so the next report is brought forward, with jitter.
void advance_report_to_new_bridge(control_plane& state, time_point now, random_source& random) {
    const auto bridges = bridges_of(state.nodes, state.nodes.self.data_centre);
    if (!bridges.empty() && bridges.front() != state.reported_to) {
        state.reported_to = bridges.front();
        state.next_report =
            std::min(state.next_report, now + jittered(state.policy.new_bridge_report_delay, random));
    }
}

template <typename Message> void write_summary(const control_plane& state, Message& message) {
    message.set_table_hash(state.nodes.table_hash);
    *message.mutable_newest() = to_wire(state.contracts.held.id);
    *message.mutable_ledger() = to_wire(state.ledgers.held.id);
}

/// Fills in the version ids and the table hash that messages carry.
void add_state_summaries(const control_plane& state, control_plane_effects& effects) {
    for (outgoing& message : effects.messages) {
        wire::frame& frame = message.frame;
        if (frame.has_ping()) {
            write_summary(state, *frame.mutable_ping());
        } else if (frame.has_ack()) {
            write_summary(state, *frame.mutable_ack());
        } else if (frame.has_join_answer()) {
            *frame.mutable_join_answer()->mutable_newest() = to_wire(state.contracts.held.id);
            *frame.mutable_join_answer()->mutable_ledger() = to_wire(state.ledgers.held.id);
        }
    }
}

void handle_ping(control_plane& state, const wire::frame& frame, const std::string& from, time_point now,
                 random_source& random, control_plane_effects& effects) {
    const wire::ping& ping = frame.ping();
    wire::frame response;
    response.mutable_ack()->set_sequence(ping.sequence());
    effects.messages.push_back({ping.answer_to().empty() ? frame.reply_to() : ping.answer_to(), response});
    learn_versions(state, ping.newest(), ping.ledger(), frame.reply_to(), from, now, effects);
    append(effects, compare_tables(state.nodes, ping.table_hash(), frame.reply_to(), now, random));
}

void handle_ack_frame(control_plane& state, const wire::frame& frame, const std::string& from, time_point now,
                      random_source& random, control_plane_effects& effects) {
    const wire::ack& ack = frame.ack();
    handle_ack(state.nodes, ack.sequence(), frame.sender());
    learn_versions(state, ack.newest(), ack.ledger(), frame.reply_to(), from, now, effects);
    append(effects, compare_tables(state.nodes, ack.table_hash(), frame.reply_to(), now, random));
}

void handle_join_response_frame(control_plane& state, const wire::frame& frame, const std::string& from,
                                time_point now, control_plane_effects& effects) {
    const wire::join_answer& response = frame.join_answer();
    append(effects, handle_join_response(state.nodes, response, from, now));
    learn_versions(state, response.newest(), response.ledger(), frame.reply_to(), from, now, effects);
}

void handle_gossip(control_plane& state, const wire::rumour& gossip, const std::string& from, time_point now,
                   control_plane_effects& effects) {
    std::vector<member> records;
    for (const wire::member& record : gossip.members()) {
        records.push_back(from_wire(record));
    }
    append(effects, merge_members(state.nodes, records, from, now));
}

void handle_announce(control_plane& state, const wire::frame& frame, const std::string& from, time_point now,
                     control_plane_effects& effects) {
    const version_id id = from_wire(frame.announce().newest());
    if (frame.announce().ledger()) {
        append_ledger(state, learn_version(state.ledgers, id, frame.reply_to(), now), from, effects);
    } else {
        append_contract(state, learn_version(state.contracts, id, frame.reply_to(), now), from, now, effects);
    }
}

void handle_content_frame(control_plane& state, const wire::frame& frame, const std::string& from,
                          time_point now, control_plane_effects& effects) {
    if (frame.content().ledger()) {
        append_ledger(state, handle_content(state.ledgers, frame.content(), frame.reply_to(), now), from,
                      effects);
    } else {
        append_contract(state, handle_content(state.contracts, frame.content(), frame.reply_to(), now), from,
                        now, effects);
    }
}

void handle_report(control_plane& state, const wire::report& report, time_point now,
                   control_plane_effects& effects) {
    node_report& known = state.reports[report.node()];
    const node_report received{report.version(), report.rejected_version(), report.reason(),
                               report.calls(),   report.failed_calls(),     now};
    effects.reports_changed |=
        known.version != received.version || known.refused_version != received.refused_version;
    known = received;
}

} // namespace

control_plane start_control_plane(const control_plane_policy& policy, const std::string& environment,
                                  const member& self, const std::vector<std::string>& contacts,
                                  content_rules contract_rules, time_point now) {
    control_plane state;
    state.policy = policy;
    state.environment = environment;
    state.nodes = start_membership(policy.membership, self, contacts, now);
    state.contracts = start_distribution(policy.distribution, std::move(contract_rules), false, now);
    content_rules ledger_rules;
    ledger_rules.validation_error = [](std::string_view bytes) {
        wire::ledger_map map;
        const bool parsed = map.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
        return std::string(parsed ? "" : "the ledger map does not parse");
    };
    ledger_rules.make_delta = [](std::string_view, std::string_view) { return std::optional<std::string>(); };
    ledger_rules.apply_delta = ledger_rules.make_delta;
    state.ledgers = start_distribution(policy.distribution, std::move(ledger_rules), true, now);
    state.next_report = now;
    return state;
}

control_plane_effects handle_frame(control_plane& state, const wire::frame& frame, time_point now,
                                   random_source& random) {
    control_plane_effects effects;
    if (frame.environment() != state.environment) {
        ++state.foreign_frames;
        return effects;
    }
    const std::string from = data_centre_of(state.nodes, frame.sender());
    const std::string& reply_to = frame.reply_to();
    switch (frame.body_case()) {
    case wire::frame::kPing:
        handle_ping(state, frame, from, now, random, effects);
        break;
    case wire::frame::kAck:
        handle_ack_frame(state, frame, from, now, random, effects);
        break;
    case wire::frame::kProbeRequest:
        append(effects, handle_probe_request(state.nodes, frame.probe_request(), reply_to));
        break;
    case wire::frame::kRumour:
        handle_gossip(state, frame.rumour(), from, now, effects);
        break;
    case wire::frame::kSyncRequest:
        append(effects, handle_sync_request(state.nodes, frame.sync_request(), reply_to));
        break;
    case wire::frame::kSyncAnswer:
        append(effects, handle_sync_response(state.nodes, frame.sync_answer(), reply_to, from, now));
        break;
    case wire::frame::kJoin:
        append(effects, handle_join(state.nodes, from_wire(frame.join().self()), reply_to, now, random));
        break;
    case wire::frame::kJoinAnswer:
        handle_join_response_frame(state, frame, from, now, effects);
        break;
    case wire::frame::kAnnounce:
        handle_announce(state, frame, from, now, effects);
        break;
    case wire::frame::kPull: {
        const distribution& kind = frame.pull().ledger() ? state.ledgers : state.contracts;
        auto more = handle_pull(kind, frame.pull(), reply_to);
        std::move(more.messages.begin(), more.messages.end(), std::back_inserter(effects.messages));
        break;
    }
    case wire::frame::kContent:
        handle_content_frame(state, frame, from, now, effects);
        break;
    case wire::frame::kReport:
        handle_report(state, frame.report(), now, effects);
        break;
    default:
        break;
    }
    add_state_summaries(state, effects);
    return effects;
}

control_plane_effects tick_control_plane(control_plane& state, time_point now, random_source& random) {
    control_plane_effects effects;
    append(effects, tick_membership(state.nodes, now, random));
    const std::string& local = state.nodes.self.data_centre;
    append_contract(state, tick_distribution(state.contracts, now), local, now, effects);
    append_ledger(state, tick_distribution(state.ledgers, now), local, effects);
    advance_report_to_new_bridge(state, now, random);
    if (now >= state.next_report) {
        append_report(state, now, &random, effects);
    }
    add_state_summaries(state, effects);
    return effects;
}

control_plane_effects apply_platform_contract(control_plane& state, const versioned_content& content,
                                              time_point now) {
    control_plane_effects effects;
    append_contract(state, apply_content(state.contracts, content, now), state.nodes.self.data_centre, now,
                    effects);
    add_state_summaries(state, effects);
    return effects;
}

control_plane_effects apply_platform_ledger(control_plane& state, const versioned_content& content,
                                            time_point now) {
    control_plane_effects effects;
    append_ledger(state, apply_content(state.ledgers, content, now), state.nodes.self.data_centre, effects);
    add_state_summaries(state, effects);
    return effects;
}

control_plane_effects announce_shutdown(control_plane& state, time_point now) {
    control_plane_effects effects;
    append(effects, set_local_state(state.nodes, member_state::leaving, now));
    add_state_summaries(state, effects);
    return effects;
}

wire::zone_report summarize(const control_plane& state) {
    wire::zone_report out;
    out.set_data_centre(state.nodes.self.data_centre);
    out.set_reporter(state.nodes.self.name);
    const std::uint64_t newest = state.contracts.held.id.version;
    out.set_version(newest);
    std::uint32_t enforcing = 0;
    std::uint64_t calls = 0;
    std::uint64_t failed = 0;
    const auto ids = reachable_in(state.nodes, state.nodes.self.data_centre);
    for (const member_id id : ids) {
        const std::string& name = state.nodes.members.at(id).name;
        const auto report = state.reports.find(name);
        if (report == state.reports.end() || report->second.version != newest) {
            out.add_lagging(name);
            if (report == state.reports.end()) {
                continue;
            }
        } else {
            ++enforcing;
        }
        if (report->second.refused_version == newest && newest != 0) {
            wire::rejection& rejection = *out.add_rejections();
            rejection.set_node(name);
            rejection.set_version(report->second.refused_version);
            rejection.set_reason(report->second.reason);
        }
        calls += report->second.calls;
        failed += report->second.failed_calls;
    }
    out.set_nodes(static_cast<std::uint32_t>(ids.size()));
    out.set_nodes_enforcing(enforcing);
    out.set_calls(calls);
    out.set_failed_calls(failed);
    return out;
}

} // namespace waxwingfall
