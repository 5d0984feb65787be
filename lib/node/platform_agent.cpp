#include "waxwingfall/node/platform_agent.h"

#include <algorithm>

#include <boost/leaf/handle_errors.hpp>

#include "platform/configuration_wire.h"
#include "waxwingfall/cluster/bridge_activation.h"
#include "waxwingfall/contract/snapshot.h"
#include "waxwingfall/proxy/customer_headers.h"
#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

constexpr milliseconds body_retry_pause{300};
constexpr milliseconds first_seed_poll_interval{300};
constexpr milliseconds max_seed_poll_interval{10'000};
constexpr milliseconds joined_seed_poll_interval{20'000};

/// Until a read whose response is overdue is given up: a store that is short of processor time may take
/// longer to respond than nodes may wait, and would never be heard.
constexpr milliseconds late_response_timeout{3000};

/// As many as can be open at once within that time, and long watches.
constexpr std::size_t max_late_calls = 5;

/// How long the second bridge waits for the first one to distribute new content before it reads the content
/// from the platform itself.
constexpr milliseconds second_bridge_fetch_delay{150};

/// Wait of the watches of bridges while nodes need evidence. With the pause between two watches a bridge's
/// evidence is 1.75 s old at most, which leaves time for two lost questions within the usual bound of 5 s.
constexpr milliseconds evidence_watch_wait{500};

/// Of a read for evidence: as a watch it returns a few bytes, where a read returns the configuration.
constexpr milliseconds own_watch_wait{50};
constexpr milliseconds own_response_timeout{750};

bool is_reachable_status(store_status status) {
    return status != store_status::not_reached && status != store_status::unknown;
}

} // namespace

platform_agent::platform_agent(node_context& node, control_plane_effects_sink sink)
    : node_(node), sink_(std::move(sink)), client_{&node.loop, node.settings.platform} {
    client_.on_end = [this](const store_call_record& ended) {
        record_store_call(node_, ended);
        last_call_ = ended;
    };
    const time_point now = monotonic_now();
    next_seed_poll_ = now + jittered(first_seed_poll_interval, node_.random);
    next_renewal_ = now;
    next_ledger_plan_ = now;
    next_report_ = now;
    last_report_ = now;
}

void platform_agent::tick(time_point now) {
    poll_seeds(now);
    read_for_evidence();
    const auto rank = local_bridge_rank(node_.control.nodes);
    if (node_.settings.source == configuration_source::operator_key) {
        poll_configuration(rank.has_value(), now);
    }
    const milliseconds since_found(first_found_others_at_ ? elapsed_ms(*first_found_others_at_, now) : 0);
    const bool is_active_bridge =
        rank && acts_as_bridge({node_.control.nodes.joined, seed_polls_, found_others_, since_found});
    if (is_active_bridge != was_active_bridge_) {
        was_active_bridge_ = is_active_bridge;
        node_.log.write(is_active_bridge ? event_id::reader_started : event_id::reader_stopped, wall_now(),
                        {});
    }
    if (!is_active_bridge) {
        return;
    }
    if (node_.settings.source == configuration_source::operator_key) {
        maintain_seed(*rank, now);
        return;
    }
    const std::string head = head_key(node_.settings.environment);
    const std::string ledger = ledger_key(node_.settings.environment);
    const poll_inputs bridge{true, {}, {}, false};
    check_overdue(head_, head, bridge, now);
    check_overdue(ledger_, ledger, bridge, now);
    watch(head_, head, now, &platform_agent::handle_head);
    watch(ledger_, ledger, now, &platform_agent::handle_ledger_map);
    maintain_seed(*rank, now);
    if (*rank == 0) {
        plan_ledger_map(now);
        write_report(now);
    }
}

void platform_agent::update_reachability(store_status status) {
    const bool reached = is_reachable_status(status);
    if (reached != reachable_) {
        reachable_ = reached;
        node_.log.write(reached ? event_id::platform_reachable : event_id::platform_unreachable, wall_now(),
                        {});
    }
}

void platform_agent::poll_seeds(time_point now) {
    const bool joined = node_.control.nodes.joined;
    if (seed_poll_pending_ || now < next_seed_poll_ || (joined && !was_active_bridge_)) {
        return;
    }
    seed_poll_pending_ = true;
    list_values(client_, seed_prefix(node_.settings.environment),
                [this](const store_response& response) { handle_seeds(response); });
}

void platform_agent::handle_seeds(const store_response& response) {
    seed_poll_pending_ = false;
    update_reachability(response.status);
    membership& nodes = node_.control.nodes;
    const milliseconds unjoined_poll_interval =
        std::min(first_seed_poll_interval * (1U << std::min(seed_polls_, 6U)), max_seed_poll_interval);
    next_seed_poll_ =
        monotonic_now() +
        jittered(nodes.joined ? joined_seed_poll_interval : unjoined_poll_interval, node_.random);
    if (response.status != store_status::ok) {
        return;
    }
    seed_polls_ += 1;
    std::vector<std::string> unknown_seeds;
    for (const stored_value& seed : response.values) {
        if (!parse_address(seed.bytes)) {
            ignore_entry(node_, seed.key, "not an address");
            continue;
        }
        const bool is_known = std::any_of(nodes.members.begin(), nodes.members.end(), [&](const auto& entry) {
            return entry.second.control_address == seed.bytes && entry.second.state != member_state::dead;
        });
        if (!is_known) {
            unknown_seeds.push_back(seed.bytes);
        }
    }
    if (!unknown_seeds.empty() && nodes.joined) {
        // Two groups of nodes have started separately and do not know each other. Join again through the
        // unknown seeds to merge them.
        nodes.joined = false;
        nodes.join_attempts = 0;
        nodes.contacts.clear();
    }
    found_others_ = !unknown_seeds.empty();
    if (found_others_ && !first_found_others_at_) {
        first_found_others_at_ = monotonic_now();
    }
    add_contacts(nodes, unknown_seeds);
}

void platform_agent::poll_configuration(bool reads_for_others, time_point now) {
    const std::uint64_t held = node_.control.contracts.held.id.version;
    if (held != last_held_version_) {
        last_held_version_ = held;
        learned_at_ = now;
    }
    const poll_inputs inputs{reads_for_others, head_.next_attempt, learned_at_, held > polled_version_};
    check_overdue(head_, platform::configuration_key, inputs, now);
    const poll_schedule plan = schedule_poll(inputs);
    if (head_.pending || now < plan.at) {
        return;
    }
    head_.interval = poll_interval(reads_for_others);
    head_.reads_for_others = reads_for_others;
    if (plan.reads_current) {
        head_.revision = 0;
    }
    watch(head_, platform::configuration_key, now, &platform_agent::handle_configuration);
}

milliseconds platform_agent::count_failure(watch_state& state, bool reads_for_others, time_point now) {
    state.pending = false;
    state.failures += 1;
    // Several versions may have been accepted meanwhile. A watch would return each of them in full.
    state.revision = 0;
    const milliseconds pause = pause_after_failures(state.failures, reads_for_others, node_.random);
    state.next_attempt = now + pause;
    return pause;
}

void platform_agent::check_overdue(watch_state& state, const std::string& key, const poll_inputs& inputs,
                                   time_point now) {
    state.open.is_receiving = state.call.is_receiving();
    if (!state.pending || !is_overdue(state.open, inputs, now)) {
        return;
    }
    state.late.push_back(state.call);
    if (state.late.size() > max_late_calls) {
        state.late.front().cancel();
        state.late.pop_front();
    }
    count_failure(state, inputs.reads_for_others, now);
    node_.log.write(event_id::platform_read_overdue, wall_now(),
                    {{"key", key}, {"after_ms", std::to_string(elapsed_ms(state.open.started, now))}});
}

void platform_agent::watch(watch_state& state, const std::string& key, time_point now,
                           value_handler handler) {
    if (state.pending || now < state.next_attempt) {
        return;
    }
    state.pending = true;
    state.open = {now, state.revision != 0, false};
    const std::uint64_t number = ++state.call_number;
    const read_start start{boottime_now(), state.revision != 0 ? state.version : std::nullopt};
    const auto done = [this, &state, key, handler, number, start](const store_response& response) {
        update_reachability(response.status);
        if (state.pending && number == state.call_number) {
            finish_read(state, key, response, handler, start);
            return;
        }
        if (response.status == store_status::ok) {
            log_read(key, response.status, milliseconds(0));
        }
        handle_response(response, handler, start);
    };
    read_limits limits = limits_of_reads(state.reads_for_others);
    if (state.reads_for_others && needs_evidence(node_)) {
        limits.watch_wait = std::min(limits.watch_wait, evidence_watch_wait);
    }
    state.call = watch_value(client_, key, state.revision, {limits.watch_wait, late_response_timeout}, done);
}

std::optional<std::uint64_t> platform_agent::handle_response(const store_response& response,
                                                             value_handler handler, const read_start& start) {
    std::optional<std::uint64_t> version;
    if (response.status == store_status::ok) {
        version = (this->*handler)(response);
    } else if (response.status == store_status::unchanged) {
        version = start.version;
    }
    // An absent key and a value that can't be read prove nothing: they may stand in for a newer version.
    if (version) {
        record_read(node_.evidence, start.at, *version, boottime_now());
    }
    return version;
}

void platform_agent::finish_read(watch_state& state, const std::string& key, const store_response& response,
                                 value_handler handler, const read_start& start) {
    if (!is_reachable_status(response.status)) {
        log_read(key, response.status, count_failure(state, state.reads_for_others, monotonic_now()));
        return;
    }
    state.pending = false;
    if (response.status != store_status::unchanged) {
        log_read(key, response.status, milliseconds(0));
    }
    state.failures = 0;
    state.revision = response.store_revision;
    state.next_attempt = monotonic_now() + jittered(state.interval, node_.random);
    const auto version = handle_response(response, handler, start);
    state.version = version;
    if (response.status == store_status::ok || response.status == store_status::absent) {
        state.key_revision = response.value.revision;
        // Watch again at once. A version that is accepted before the next tick would be missed if the
        // store failed right after it.
        watch(state, key, monotonic_now(), handler);
    }
}

void platform_agent::read_for_evidence() {
    if (!needs_evidence(node_) || !start_own_read(node_.evidence, node_.version, boottime_now())) {
        return;
    }
    const bool is_operator_key = node_.settings.source == configuration_source::operator_key;
    const std::string key =
        is_operator_key ? std::string(platform::configuration_key) : head_key(node_.settings.environment);
    const value_handler handler =
        is_operator_key ? &platform_agent::handle_configuration : &platform_agent::handle_head;
    // The other reads of this node know a revision as well, from which a watch returns changes only.
    const watch_state& known = evidence_.revision != 0 || !head_.version ? evidence_ : head_;
    const read_start start{boottime_now(), known.revision != 0 ? known.version : std::nullopt};
    const auto done = [this, key, handler, start](const store_response& response) {
        update_reachability(response.status);
        const auto version = handle_response(response, handler, start);
        if (is_reachable_status(response.status)) {
            evidence_.version = version;
            evidence_.revision = version ? response.store_revision : 0;
        }
        if (response.status != store_status::unchanged) {
            log_read(key, response.status, milliseconds(0));
        }
        end_own_read(node_.evidence, version.has_value(), boottime_now(), node_.random);
    };
    evidence_.call = watch_value(client_, key, known.revision, {own_watch_wait, own_response_timeout}, done);
}

void platform_agent::log_read(const std::string& key, store_status status, milliseconds pause) {
    node_.log.write(event_id::platform_read, wall_now(),
                    {{"key", key},
                     {"call", std::string(last_call_.call)},
                     {"result", std::string(store_status_name(status))},
                     {"took_ms", std::to_string(last_call_.duration.count())},
                     {"bytes", std::to_string(last_call_.response_bytes)},
                     {"pause_ms", std::to_string(pause.count())}});
}

std::optional<std::uint64_t> platform_agent::handle_head(const store_response& response) {
    if (response.status != store_status::ok) {
        return std::nullopt;
    }
    bool is_readable = true;
    const environment_head head =
        boost::leaf::try_handle_all([&] { return decode_head(response.value.bytes); },
                                    [&] {
                                        ignore_entry(node_, response.value.key, "not a head");
                                        is_readable = false;
                                        return environment_head{};
                                    });
    if (!is_readable) {
        return std::nullopt;
    }
    const accepted_version current = newest(head);
    const std::uint64_t held = node_.control.contracts.held.id.version;
    if (current.id.version < held && logged_older_version_ != current.id.version) {
        logged_older_version_ = current.id.version;
        node_.log.write(
            event_id::platform_went_back, wall_now(),
            {{"version", std::to_string(current.id.version)}, {"enforced", std::to_string(held)}});
    }
    if (current.id.version <= held) {
        const auto effects = learn_version(node_.control.contracts, current.id, {}, monotonic_now());
        if (effects.conflict) {
            control_plane_effects conflict;
            conflict.conflict = true;
            sink_(conflict);
        }
        return current.id.version;
    }
    const versioned_content& held_content = node_.control.contracts.held;
    if (const auto bytes = embedded_content(head, held_content.id.digest, held_content.bytes)) {
        sink_(apply_platform_contract(node_.control, {current.id, *bytes}, monotonic_now()));
        return current.id.version;
    }
    if (local_bridge_rank(node_.control.nodes) == 0U) {
        fetch_body(current);
        return current.id.version;
    }
    delayed_fetch_ =
        loop_event::after(node_.loop, second_bridge_fetch_delay, [this, current] { fetch_body(current); });
    return current.id.version;
}

std::optional<std::uint64_t> platform_agent::handle_configuration(const store_response& response) {
    if (response.status != store_status::ok) {
        return std::nullopt;
    }
    std::optional<std::uint64_t> version;
    const auto log_refused = [&](const std::string& reason) {
        node_.log.write(event_id::contract_refused, wall_now(),
                        {{"revision", std::to_string(response.value.revision)}, {"reason", reason}});
    };
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(accepted, platform::decode_configuration(response.value.bytes));
            const std::string bytes = encode_contract(accepted.content);
            sink_(apply_platform_contract(node_.control, {{accepted.version, digest_of(bytes)}, bytes},
                                          monotonic_now()));
            polled_version_ = accepted.version;
            version = accepted.version;
            return {};
        },
        [&](const fault_list& list) { log_refused(to_string(list.faults.front())); },
        [&] { log_refused("unknown fault"); });
    return version;
}

void platform_agent::fetch_body(const accepted_version& version) {
    if (version.id.version <= node_.control.contracts.held.id.version) {
        return;
    }
    const std::string key = body_key(node_.settings.environment, version.id.digest);
    read_value(client_, key, [this, version](const store_response& response) {
        update_reachability(response.status);
        if (response.status != store_status::ok) {
            // Restart the watch from the current value of the head.
            head_.revision = 0;
            head_.next_attempt = monotonic_now() + jittered(body_retry_pause, node_.random);
            return;
        }
        sink_(apply_platform_contract(node_.control, {version.id, response.value.bytes}, monotonic_now()));
    });
}

std::optional<std::uint64_t> platform_agent::handle_ledger_map(const store_response& response) {
    if (response.status != store_status::ok) {
        return std::nullopt;
    }
    const auto map = decode_ledger_map(response.value.bytes);
    if (!map) {
        ignore_entry(node_, response.value.key, "not a ledger map");
    } else {
        sink_(apply_platform_ledger(node_.control,
                                    {{map->version, digest_of(response.value.bytes)}, response.value.bytes},
                                    monotonic_now()));
    }
    return std::nullopt;
}

} // namespace waxwingfall
