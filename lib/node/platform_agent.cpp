#include "waxwingfall/node/platform_agent.h"

#include <algorithm>

#include <boost/leaf/handle_errors.hpp>

#include "platform/configuration_wire.h"
#include "waxwingfall/cluster/look_plan.h"
#include "waxwingfall/cluster/seed_plan.h"
#include "waxwingfall/contract/snapshot.h"
#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

constexpr milliseconds watch_wait{30'000};
constexpr milliseconds first_backoff{300};
constexpr milliseconds backoff_limit{5'000};
constexpr milliseconds seed_lease{15'000};
constexpr milliseconds seed_renewal{5'000};
constexpr milliseconds first_seed_look{300};
constexpr milliseconds seed_look_limit{10'000};
constexpr milliseconds seed_look_joined{20'000};
constexpr milliseconds plan_period{500};
constexpr milliseconds report_spacing{400};
constexpr milliseconds report_refresh{10'000};

/// For which the second bridge waits for the content to come from the first one, before it reads it itself.
constexpr milliseconds second_reader_delay{150};

bool is_reached(store_status status) {
    return status != store_status::not_reached && status != store_status::unknown;
}

} // namespace

platform_agent::platform_agent(node_context& node, control_plane_effects_sink sink)
    : node_(node), sink_(std::move(sink)), client_{&node.loop, node.settings.platform} {
    client_.on_end = [this](std::string_view call, store_status status) {
        node_.metrics.note_store_call(call, store_status_name(status));
    };
    const time_point now = monotonic_now();
    next_seed_look_ = now + jittered(first_seed_look, node_.random);
    next_renewal_ = now;
    next_plan_ = now;
    next_report_ = now;
    last_report_ = now;
}

void platform_agent::tick(time_point now) {
    look_for_seeds(now);
    const auto rank = own_bridge_rank(node_.control.nodes);
    if (node_.settings.source == configuration_source::operator_key) {
        look_at_configuration(rank.has_value(), now);
    }
    const milliseconds since_found(others_found_at_ ? elapsed_ms(*others_found_at_, now) : 0);
    const bool is_reader =
        rank && acts_as_bridge({node_.control.nodes.joined, seed_looks_, finds_others_, since_found});
    if (is_reader != was_reader_) {
        was_reader_ = is_reader;
        node_.log.write(is_reader ? event_id::reader_started : event_id::reader_stopped, wall_now(), {});
    }
    if (!is_reader) {
        return;
    }
    if (node_.settings.source == configuration_source::operator_key) {
        keep_seed(*rank, now);
        return;
    }
    watch(head_, head_key(node_.settings.environment), now, &platform_agent::take_head);
    watch(ledger_, ledger_key(node_.settings.environment), now, &platform_agent::take_ledger);
    keep_seed(*rank, now);
    if (*rank == 0) {
        plan_ledger(now);
        write_report(now);
    }
}

void platform_agent::note_status(store_status status) {
    const bool reached = is_reached(status);
    if (reached != reachable_) {
        reachable_ = reached;
        node_.log.write(reached ? event_id::platform_reachable : event_id::platform_unreachable, wall_now(),
                        {});
    }
}

void platform_agent::look_for_seeds(time_point now) {
    const bool joined = node_.control.nodes.joined;
    if (seed_look_waiting_ || now < next_seed_look_ || (joined && !was_reader_)) {
        return;
    }
    seed_look_waiting_ = true;
    list_values(client_, seed_prefix(node_.settings.environment),
                [this](const store_answer& answer) { take_seeds(answer); });
}

void platform_agent::take_seeds(const store_answer& answer) {
    seed_look_waiting_ = false;
    note_status(answer.status);
    membership& nodes = node_.control.nodes;
    const milliseconds wait = std::min(first_seed_look * (1U << std::min(seed_looks_, 6U)), seed_look_limit);
    next_seed_look_ = monotonic_now() + jittered(nodes.joined ? seed_look_joined : wait, node_.random);
    if (answer.status != store_status::ok) {
        return;
    }
    seed_looks_ += 1;
    std::vector<std::string> unknown;
    for (const stored_value& seed : answer.listed) {
        const bool known = std::any_of(nodes.members.begin(), nodes.members.end(), [&](const auto& entry) {
            return entry.second.control_address == seed.bytes && entry.second.state != member_state::dead;
        });
        if (!known) {
            unknown.push_back(seed.bytes);
        }
    }
    if (!unknown.empty() && nodes.joined) {
        // A part of the environment that this one knows nothing of: two groups started apart.
        nodes.joined = false;
        nodes.join_attempts = 0;
        nodes.contacts.clear();
    }
    finds_others_ = !unknown.empty();
    if (finds_others_ && !others_found_at_) {
        others_found_at_ = monotonic_now();
    }
    add_contacts(nodes, unknown);
}

void platform_agent::look_at_configuration(bool reads_for_others, time_point now) {
    const std::uint64_t held = node_.control.contracts.held.mark.version;
    if (held != held_version_) {
        held_version_ = held;
        learned_at_ = now;
    }
    const look_plan plan = plan_look({reads_for_others, head_.next_try, learned_at_, held > seen_version_});
    if (head_.waiting || now < plan.at) {
        return;
    }
    head_.spacing = look_spacing(reads_for_others);
    if (plan.reads_current) {
        head_.revision = 0;
    }
    watch(head_, platform::configuration_key, now, &platform_agent::take_configuration);
}

void platform_agent::watch(watch_state& state, const std::string& key, time_point now,
                           void (platform_agent::*take)(const store_answer&)) {
    if (state.waiting || now < state.next_try) {
        return;
    }
    state.waiting = true;
    const auto done = [this, &state, key, take](const store_answer& answer) {
        state.waiting = false;
        note_status(answer.status);
        if (!is_reached(answer.status)) {
            state.backoff = std::clamp(state.backoff * 2, first_backoff, backoff_limit);
            state.next_try = monotonic_now() + jittered(state.backoff, node_.random);
            return;
        }
        state.backoff = milliseconds(0);
        state.revision = answer.store_revision;
        state.next_try = monotonic_now() + jittered(state.spacing, node_.random);
        if (answer.status == store_status::ok || answer.status == store_status::absent) {
            state.key_revision = answer.value.revision;
            (this->*take)(answer);
            // A version that is accepted before the next tick would be missed if the store then fails.
            watch(state, key, monotonic_now(), take);
        }
    };
    watch_value(client_, key, state.revision, watch_wait, done);
}

void platform_agent::take_head(const store_answer& answer) {
    if (answer.status != store_status::ok) {
        return;
    }
    const environment_head head = boost::leaf::try_handle_all([&] { return decode_head(answer.value.bytes); },
                                                              [] { return environment_head{}; });
    const accepted_version current = newest(head);
    const std::uint64_t held = node_.control.contracts.held.mark.version;
    if (current.mark.version < held && went_back_to_ != current.mark.version) {
        went_back_to_ = current.mark.version;
        node_.log.write(
            event_id::platform_went_back, wall_now(),
            {{"version", std::to_string(current.mark.version)}, {"enforced", std::to_string(held)}});
    }
    if (current.mark.version <= held) {
        const auto effects = learn_mark(node_.control.contracts, current.mark, {}, monotonic_now());
        if (effects.conflict) {
            control_plane_effects conflict;
            conflict.conflict = true;
            sink_(conflict);
        }
        return;
    }
    const marked_content& own = node_.control.contracts.held;
    if (const auto bytes = attached_content(head, own.mark.digest, own.bytes)) {
        sink_(take_platform_contract(node_.control, {current.mark, *bytes}, monotonic_now()));
        return;
    }
    if (own_bridge_rank(node_.control.nodes) == 0U) {
        fetch_body(current);
        return;
    }
    delayed_fetch_ =
        loop_event::after(node_.loop, second_reader_delay, [this, current] { fetch_body(current); });
}

void platform_agent::take_configuration(const store_answer& answer) {
    if (answer.status != store_status::ok) {
        return;
    }
    const auto refuse = [&](const std::string& reason) {
        node_.log.write(event_id::contract_refused, wall_now(),
                        {{"revision", std::to_string(answer.value.revision)}, {"reason", reason}});
    };
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(accepted, platform::decode_configuration(answer.value.bytes));
            const std::string bytes = encode_contract(accepted.content);
            sink_(take_platform_contract(node_.control, {{accepted.version, digest_of(bytes)}, bytes},
                                         monotonic_now()));
            seen_version_ = accepted.version;
            return {};
        },
        [&](const fault_list& list) { refuse(to_string(list.faults.front())); },
        [&] { refuse("unknown fault"); });
}

void platform_agent::fetch_body(const accepted_version& version) {
    if (version.mark.version <= node_.control.contracts.held.mark.version) {
        return;
    }
    const std::string key = body_key(node_.settings.environment, version.mark.digest);
    read_value(client_, key, [this, version](const store_answer& answer) {
        note_status(answer.status);
        if (answer.status != store_status::ok) {
            // Looked at anew with the next watch.
            head_.revision = 0;
            head_.next_try = monotonic_now() + jittered(first_backoff, node_.random);
            return;
        }
        sink_(take_platform_contract(node_.control, {version.mark, answer.value.bytes}, monotonic_now()));
    });
}

void platform_agent::take_ledger(const store_answer& answer) {
    if (answer.status != store_status::ok) {
        return;
    }
    const auto map = decode_ledger_map(answer.value.bytes);
    if (map) {
        sink_(take_platform_ledger(node_.control,
                                   {{map->version, digest_of(answer.value.bytes)}, answer.value.bytes},
                                   monotonic_now()));
    }
}

void platform_agent::keep_seed(std::size_t rank, time_point now) {
    if (lease_call_waiting_ || now < next_renewal_) {
        return;
    }
    lease_call_waiting_ = true;
    next_renewal_ = now + jittered(seed_renewal, node_.random);
    const bool moved = rank != leased_rank_;
    leased_rank_ = rank;
    if (lease_.empty()) {
        grant_lease(client_, seed_lease, [this, rank](const store_answer& answer) {
            lease_call_waiting_ = false;
            note_status(answer.status);
            if (answer.status == store_status::ok) {
                lease_ = answer.lease;
                write_seed(rank);
            }
        });
        return;
    }
    renew_lease(client_, lease_, [this, rank, moved](const store_answer& answer) {
        lease_call_waiting_ = false;
        note_status(answer.status);
        if (answer.status == store_status::absent) {
            // It lapsed, perhaps while this process was paused; others may hold the key now, which does no
            // harm.
            lease_.clear();
            next_renewal_ = monotonic_now();
        } else if (moved && answer.status == store_status::ok) {
            write_seed(rank);
        }
    });
}

void platform_agent::write_seed(std::size_t rank) {
    const node_settings& settings = node_.settings;
    overwrite_value(client_, seed_key(settings.environment, settings.data_centre, rank),
                    node_.control.nodes.self.control_address, lease_,
                    [this](const store_answer& answer) { note_status(answer.status); });
}

void platform_agent::plan_ledger(time_point now) {
    if (plan_waiting_ || now < next_plan_ || !reachable_) {
        return;
    }
    next_plan_ = now + jittered(plan_period, node_.random);
    // Planned only from the map that the platform holds, as far as this node knows; compare-and-swap does the
    // rest.
    const ledger_map& map = node_.records.map;
    if ((ledger_.key_revision == 0) != (map.version == 0)) {
        return;
    }
    const auto next =
        plan_ledger_change(map, node_.settings.ledger_map, node_.control.nodes, now, wall_now());
    if (!next) {
        return;
    }
    plan_waiting_ = true;
    const std::string bytes = encode_ledger_map(*next);
    write_value(
        client_, ledger_key(node_.settings.environment), ledger_.key_revision, bytes, {},
        [this, bytes, version = next->version](const store_answer& answer) {
            plan_waiting_ = false;
            note_status(answer.status);
            if (answer.status != store_status::ok) {
                // The watch brings whatever the platform holds now, an own write included.
                return;
            }
            ledger_.key_revision = answer.value.revision;
            node_.log.write(event_id::ledger_owner_replaced, wall_now(), {{"map", std::to_string(version)}});
            sink_(take_platform_ledger(node_.control, {{version, digest_of(bytes)}, bytes}, monotonic_now()));
        });
}

std::string platform_agent::build_report(wall_ms now) {
    wire::zone_report report = summarize(node_.control);
    const bool all = report.nodes_enforcing() == report.nodes() && report.version() > 0;
    const std::uint64_t enforced = all ? report.version() : 0;
    if (enforced != enforced_version_) {
        enforced_version_ = enforced;
        enforced_since_ = enforced == 0 ? 0 : now;
        calls_then_ = report.calls();
        failed_then_ = report.failed_calls();
    }
    report.set_all_enforced_since_ms(enforced_since_);
    report.set_calls(report.calls() - std::min<std::uint64_t>(report.calls(), calls_then_));
    report.set_failed_calls(report.failed_calls() -
                            std::min<std::uint64_t>(report.failed_calls(), failed_then_));
    report.set_reported_at_ms(now);
    return report.SerializeAsString();
}

void platform_agent::write_report(time_point now) {
    const bool refresh = now - last_report_ > report_refresh;
    if (report_waiting_ || now < next_report_ || (!report_due_ && !refresh)) {
        return;
    }
    report_due_ = false;
    report_waiting_ = true;
    next_report_ = now + report_spacing;
    last_report_ = now;
    const std::string key = report_key(node_.settings.environment, node_.settings.data_centre);
    overwrite_value(client_, key, build_report(wall_now()), {}, [this](const store_answer& answer) {
        report_waiting_ = false;
        note_status(answer.status);
    });
}

} // namespace waxwingfall
