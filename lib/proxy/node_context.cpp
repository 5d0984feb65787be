#include "waxwingfall/proxy/node_context.h"

#include "waxwingfall/contract/snapshot.h"
#include "waxwingfall/proxy/server_setup.h"
#include "waxwingfall/store/store_client.h"
#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

content_rules contract_rules() {
    return {rejection_reason, make_delta, apply_delta};
}

} // namespace

member make_local_member(const node_settings& settings) {
    member self;
    self.id = stable_hash(settings.name);
    self.name = settings.name;
    self.data_centre = settings.data_centre;
    self.region = settings.region;
    self.service = settings.service;
    self.control_address = to_string(settings.control);
    self.inbound_address = to_string(settings.inbound);
    self.slots = settings.heartbeats ? 0 : settings.slots;
    // The start time exceeds the incarnation of every earlier process of this name. If the clock was set
    // back, the node refutes the older state under a higher incarnation.
    self.incarnation = wall_now();
    return self;
}

node_context::node_context(const event_loop& event_loop, const node_settings& node_settings,
                           event_log& events, std::uint64_t seed)
    : loop(event_loop), settings(node_settings), log(events), random(seed),
      control(start_control_plane(node_settings.control_policy, node_settings.environment,
                                  make_local_member(node_settings), node_settings.peers, contract_rules(),
                                  monotonic_now())),
      capacity(byte_budget(node_settings), connection_limit(node_settings)) {
    records.process_incarnation = random() | 1U;
    evidence = start_freshness(settings.revoke, boottime_now(), random);
    worker.address = to_string(node_settings.worker);
    configure_service(worker, node_settings.service);
    if (settings.heartbeats && !settings.is_first_start) {
        await_leaves(worker, monotonic_now());
    }
    routing.policy = settings.routing;
    routing.self = control.nodes.self.id;
    routing.data_centre = settings.data_centre;
    routing.region = settings.region;
    update_endpoint(routing, control.nodes.self, monotonic_now());
}

void send_all(node_context& node, std::vector<outgoing> messages) {
    for (outgoing& message : messages) {
        wire::frame& frame = message.frame;
        frame.set_environment(node.settings.environment);
        frame.set_reply_to(node.control.nodes.self.control_address);
        frame.set_sender(node.control.nodes.self.id);
        frame.set_clock(tick_clock(node.log.clock(), wall_now()));
        node.link->send(message.address, frame);
    }
}

void send_quota_messages(node_context& node, std::vector<quota_message> messages) {
    std::vector<outgoing> addressed;
    for (quota_message& message : messages) {
        const auto known = node.control.nodes.members.find(message.to);
        if (known != node.control.nodes.members.end()) {
            addressed.push_back({known->second.control_address, std::move(message.frame)});
        }
    }
    send_all(node, std::move(addressed));
}

void record_store_call(node_context& node, const store_call_record& ended) {
    node.metrics.record_store_call(ended.call, store_status_name(ended.status), ended.duration,
                                   ended.response_bytes);
}

void ignore_entry(node_context& node, const std::string& key, const std::string& reason) {
    node.metrics.record_ignored_entry();
    node.log.write(event_id::platform_entry_ignored, wall_now(), {{"key", key}, {"why", reason}});
}

namespace {

std::string_view name_of(run_verdict verdict) {
    switch (verdict) {
    case run_verdict::run:
        return "run";
    case run_verdict::trial:
        return "trial";
    case run_verdict::awaiting_trial:
        return "awaiting-trial";
    case run_verdict::refuse:
        return "refuse";
    }
    return "run";
}

/// Sends what is known about a fingerprint to the nodes that this one gossips with.
void share_crash_record(node_context& node, const std::string& fingerprint) {
    wire::frame frame;
    *frame.mutable_crash_record() = encode_crash_record(node.crashes, fingerprint);
    const membership& nodes = node.control.nodes;
    std::vector<member_id> targets = fingers(nodes);
    if (local_bridge_rank(nodes)) {
        const auto remote = remote_bridges(nodes);
        targets.insert(targets.end(), remote.begin(), remote.end());
    }
    std::vector<outgoing> messages;
    messages.reserve(targets.size());
    for (const member_id target : targets) {
        messages.push_back({nodes.members.at(target).control_address, frame});
    }
    send_all(node, std::move(messages));
}

/// Applies `change`, which returns true if it was news, and passes news on.
template <typename Change>
void change_crash_record(node_context& node, const std::string& fingerprint, time_point now, Change change) {
    const run_verdict before = run_verdict_of(node.crashes, fingerprint, now);
    if (!change()) {
        return;
    }
    share_crash_record(node, fingerprint);
    const run_verdict after = run_verdict_of(node.crashes, fingerprint, now);
    if (before == after) {
        return;
    }
    const crash_record& record = node.crashes.records.at(fingerprint);
    node.log.write(event_id::request_quarantined, wall_now(),
                   {{"fingerprint", to_hex(fingerprint)},
                    {"verdict", std::string(name_of(after))},
                    {"workers", std::to_string(record.crashes.size())},
                    {"trials", std::to_string(record.trials.size())}});
}

} // namespace

std::uint64_t hybrid_now(node_context& node) {
    return tick_clock(node.log.clock(), wall_now());
}

void report_crash(node_context& node, const std::string& fingerprint, member_id worker,
                  std::uint64_t crashed_at, time_point now) {
    change_crash_record(node, fingerprint, now,
                        [&] { return record_crash(node.crashes, fingerprint, worker, crashed_at, now); });
}

void report_trial(node_context& node, const std::string& fingerprint, time_point now) {
    change_crash_record(node, fingerprint, now, [&] {
        record_trial(node.crashes, fingerprint, node.control.nodes.self.id, hybrid_now(node), now);
        return true;
    });
}

void report_completion(node_context& node, const std::string& fingerprint, time_point now) {
    if (!node.crashes.records.contains(fingerprint)) {
        return;
    }
    change_crash_record(node, fingerprint, now,
                        [&] { return record_completion(node.crashes, fingerprint, hybrid_now(node)); });
}

void handle_crash_record(node_context& node, const wire::crash_record& received, time_point now) {
    change_crash_record(node, received.fingerprint(), now,
                        [&] { return merge_crash_record(node.crashes, received, now); });
}

bool request_crash_records(node_context& node) {
    constexpr std::size_t asked_nodes = 3;
    wire::frame frame;
    frame.mutable_crash_records_request();
    std::vector<outgoing> messages;
    const membership& nodes = node.control.nodes;
    for (const member_id target : fingers(nodes)) {
        if (messages.size() < asked_nodes) {
            messages.push_back({nodes.members.at(target).control_address, frame});
        }
    }
    const bool is_sent = !messages.empty();
    send_all(node, std::move(messages));
    return is_sent;
}

void send_suspect_records(node_context& node, const std::string& address, time_point now) {
    std::vector<outgoing> messages;
    for (wire::crash_record& record : suspect_records(node.crashes, now)) {
        wire::frame frame;
        *frame.mutable_crash_record() = std::move(record);
        messages.push_back({address, std::move(frame)});
    }
    send_all(node, std::move(messages));
}

std::optional<error_kind> crash_refusal(const quarantine& crashes, const std::string& fingerprint,
                                        time_point now) {
    switch (run_verdict_of(crashes, fingerprint, now)) {
    case run_verdict::run:
    case run_verdict::trial:
        return std::nullopt;
    case run_verdict::awaiting_trial:
        return error_kind::crash_suspected;
    case run_verdict::refuse:
        return error_kind::crash_quarantined;
    }
    return std::nullopt;
}

} // namespace waxwingfall
