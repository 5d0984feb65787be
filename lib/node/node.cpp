#include "waxwingfall/node/node.h"

#include <cassert>

#include <boost/leaf/handle_errors.hpp>

#include "waxwingfall/cluster/shutdown_plan.h"
#include "waxwingfall/contract/snapshot.h"
#include "waxwingfall/node/reload.h"
#include "waxwingfall/support/digest.h"
#include "waxwingfall/support/yaml_tree.h"

namespace waxwingfall {

namespace {

constexpr milliseconds tick_period{50};
constexpr milliseconds pause_threshold{2000};
constexpr milliseconds housekeeping_period{5000};
constexpr milliseconds idle_peer_timeout{60'000};
constexpr milliseconds stop_notice_period{500};
/// Between the questions of a new process about requests that crash workers, until one is surely answered.
constexpr milliseconds crash_request_period{1000};

std::string join_names(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

event_id event_of(const member_change& change) {
    switch (change.now.state) {
    case member_state::suspect:
        return event_id::member_suspected;
    case member_state::leaving:
        return event_id::member_left;
    case member_state::dead:
        return event_id::member_died;
    case member_state::alive:
        return change.before ? event_id::member_returned : event_id::member_joined;
    }
    return event_id::member_joined;
}

} // namespace

node::node(const event_loop& loop, node_settings& settings, event_log& log, std::uint64_t seed,
           std::function<void()> on_stopped)
    : settings_(settings), context_(loop, settings, log, seed), on_stopped_(std::move(on_stopped)),
      call_proxy_(context_), inbound_proxy_(context_), quota_(context_, call_proxy_),
      platform_(context_, [this](control_plane_effects effects) { apply(std::move(effects), "platform"); }),
      leaves_(context_,
              [this](const std::optional<left_worker>& left) { inbound_proxy_.restore_leave(left); }),
      admin_(context_,
             {[this] { return call_proxy_.open_calls(); }, [this] { return inbound_proxy_.open_requests(); },
              [this] { return inbound_proxy_.worker_limit(); }, [this] { return platform_.is_reachable(); },
              [this] { return inbound_proxy_.worker_is_healthy(); }}),
      evidence_(context_), local_ports_(context_, inbound_proxy_,
                                        [this](const left_worker& left, std::function<void(bool)> respond) {
                                            leaves_.write(left, std::move(respond));
                                        }) {
    const ip_address& control = settings.control;
    context_.link = std::make_unique<message_link>(loop, control.host + ":" + std::to_string(control.port),
                                                   settings.translations,
                                                   [this](const wire::frame& frame) { handle(frame); });
    last_tick_ = monotonic_now();
    fence_owner(context_.records, last_tick_);
    next_housekeeping_ = last_tick_;
    ticker_ = loop_event::every(loop, tick_period, [this] { tick(); });
    log.write(event_id::node_started, wall_now(),
              {{"data_centre", settings.data_centre}, {"service", settings.service}});
}

void node::handle(const wire::frame& frame) {
    const time_point now = monotonic_now();
    observe_clock(context_.log.clock(), frame.clock(), wall_now());
    detect_pause(now);
    if (frame.body_case() >= wire::frame::kClaim) {
        if (frame.environment() == context_.settings.environment) {
            handle_call_frame(frame, now);
        }
        return;
    }
    // detect_pause() drops the probes from before a pause, so an ack to an outstanding probe shows what the
    // other nodes know now.
    const bool is_current_ack =
        frame.has_ack() && context_.control.nodes.probes.contains(frame.ack().sequence());
    apply(handle_frame(context_.control, frame, now, context_.random), "peer");
    if (is_current_ack) {
        confirm_owner(context_.records, frame.ack().ledger().version(), now);
    }
}

void node::handle_call_frame(const wire::frame& frame, time_point now) {
    const membership& nodes = context_.control.nodes;
    ledger& records = context_.records;
    switch (frame.body_case()) {
    case wire::frame::kClaim:
        send_all(context_, handle_claim(records, frame.claim(), frame.reply_to(), nodes, now, wall_now()));
        break;
    case wire::frame::kSettle:
        send_all(context_, handle_settle(records, frame.settle(), frame.reply_to(), nodes));
        break;
    case wire::frame::kReplicate:
        send_all(context_, handle_replicate(records, frame.replicate(), frame.reply_to()));
        break;
    case wire::frame::kReplicated:
        send_all(context_, handle_replicated(records, frame.replicated()));
        break;
    case wire::frame::kClaimAnswer: {
        claimant_effects effects =
            handle_claim_response(context_.claims, frame.claim_answer(), records.map, nodes, now);
        send_all(context_, std::move(effects.messages));
        call_proxy_.handle_claims(effects);
        break;
    }
    case wire::frame::kFreshnessQuestion: {
        wire::frame answer;
        *answer.mutable_freshness_answer() =
            answer_question(context_.evidence, frame.freshness_question(), boottime_now());
        send_all(context_, {{frame.reply_to(), std::move(answer)}});
        break;
    }
    case wire::frame::kFreshnessAnswer:
        record_peer(context_.evidence, frame.freshness_answer(), boottime_now());
        break;
    case wire::frame::kCrashRecord:
        handle_crash_record(context_, frame.crash_record(), now);
        break;
    case wire::frame::kCrashRecordsRequest:
        send_suspect_records(context_, frame.reply_to(), now);
        break;
    case wire::frame::kStopNotice:
        inbound_proxy_.handle_stop_notice(frame.stop_notice(), now);
        break;
    case wire::frame::kQuotaRequest:
    case wire::frame::kQuotaGrant:
        quota_.handle(frame, now);
        break;
    default:
        break;
    }
}

void node::apply(control_plane_effects effects, const std::string& source) {
    const time_point now = monotonic_now();
    send_all(context_, std::move(effects.messages));
    for (const member_change& change : effects.changes) {
        handle_member_change(change, now);
    }
    if (effects.contract_enforced) {
        enforce_contract(source);
    }
    if (effects.contract_refused) {
        const refused_content& refused = *context_.control.contracts.refused;
        context_.log.write(event_id::contract_refused, wall_now(),
                           {{"version", std::to_string(refused.id.version)}, {"reason", refused.reason}});
    }
    if (effects.ledger_changed) {
        adopt_ledger();
    }
    if (effects.conflict) {
        context_.log.write(event_id::version_conflict, wall_now(),
                           {{"version", std::to_string(context_.control.contracts.held.id.version)}});
    }
    if (effects.reports_changed) {
        platform_.mark_report_due();
    }
}

void node::enforce_contract(const std::string& source) {
    const versioned_content& enforced = context_.control.contracts.enforced;
    auto content = decode_contract(enforced.bytes);
    assert(content && "only content that decodes is enforced");
    context_.active_contract = std::make_shared<const contract>(std::move(*content));
    context_.version = enforced.id.version;
    context_.credentials = make_credential_index(*context_.active_contract);
    call_proxy_.apply_contract_limits();
    inbound_proxy_.apply_contract_limits();
    quota_.apply_contract(monotonic_now());
    context_.log.write(event_id::contract_enforced, wall_now(),
                       {{"version", std::to_string(enforced.id.version)},
                        {"digest", to_hex(enforced.id.digest)},
                        {"source", source}});
}

void node::adopt_ledger() {
    const auto map = decode_ledger_map(context_.control.ledgers.enforced.bytes);
    if (!map) {
        return;
    }
    adopt_ledger_map(context_.records, *map, context_.control.nodes.self.id, monotonic_now(), wall_now());
    context_.log.write(event_id::ledger_map_adopted, wall_now(), {{"map", std::to_string(map->version)}});
}

void node::handle_member_change(const member_change& change, time_point now) {
    update_endpoint(context_.routing, change.now, now);
    if (change.now.data_centre == context_.settings.data_centre) {
        platform_.mark_report_due();
    }
    if (change.before && *change.before == change.now.state) {
        return;
    }
    context_.log.write(
        event_of(change), wall_now(),
        {{"member", change.now.name}, {"incarnation", std::to_string(change.now.incarnation)}});
}

void node::detect_pause(time_point now) {
    const auto gap = elapsed_ms(last_tick_, now);
    if (gap > pause_threshold.count()) {
        last_tick_ = now;
        fence_owner(context_.records, now);
        // Acks to probes from before the pause may still be queued. They do not show the current state.
        context_.control.nodes.probes.clear();
        context_.log.write(event_id::process_paused, wall_now(), {{"ms", std::to_string(gap)}});
    }
}

void node::tick() {
    const time_point now = monotonic_now();
    detect_pause(now);
    last_tick_ = now;
    apply(tick_control_plane(context_.control, now, context_.random), "start");
    const membership& nodes = context_.control.nodes;
    send_all(context_, tick_ledger(context_.records, nodes, now, wall_now()));
    claimant_effects claims = tick_claimant(context_.claims, context_.records.map, nodes, now);
    send_all(context_, std::move(claims.messages));
    call_proxy_.handle_claims(claims);
    platform_.tick(now);
    leaves_.tick(now);
    evidence_.tick(boottime_now());
    if (crash_requests_left_ > 0 && now >= next_crash_request_ && request_crash_records(context_)) {
        crash_requests_left_ -= 1;
        next_crash_request_ = now + crash_request_period;
    }
    if (now >= next_housekeeping_) {
        next_housekeeping_ = now + housekeeping_period;
        context_.link->close_idle(now, idle_peer_timeout);
        const std::uint64_t refused = context_.link->counts().frames_refused;
        if (refused != frames_refused_) {
            context_.log.write(event_id::frame_refused, wall_now(),
                               {{"count", std::to_string(refused - frames_refused_)}});
            frames_refused_ = refused;
        }
        if (nodes.name_conflicts != name_conflicts_) {
            context_.log.write(event_id::name_taken, wall_now(), {{"member", context_.settings.name}});
            name_conflicts_ = nodes.name_conflicts;
        }
    }
    if (context_.shutting_down) {
        advance_shutdown(now);
    }
}

void node::record_callback_failure(const std::string& what) {
    context_.metrics.record_callback_failure();
    context_.log.write(event_id::callback_failed, wall_now(), {{"what", what}});
}

void node::reload(const std::string& path) {
    const auto log_refused = [&](const std::string& faults) {
        context_.log.write(event_id::settings_refused, wall_now(), {{"faults", faults}});
    };
    const auto text = read_bounded_file(path);
    if (!text) {
        log_refused("the file can't be read");
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(updated, parse_settings(*text, path));
            const reload_plan plan = plan_reload(settings_, updated);
            settings_ = plan.merged;
            inbound_proxy_.apply_configured_service();
            platform_.update_platform_address();
            leaves_.update_platform_address();
            context_.log.write(
                event_id::settings_reloaded, wall_now(),
                {{"changed", join_names(plan.applied)}, {"at_next_start", join_names(plan.needs_restart)}});
            return {};
        },
        [&](const fault_list& list) { log_refused(to_string(list.faults.front())); },
        [&] { log_refused("unknown fault"); });
}

void node::shut_down() {
    if (context_.shutting_down) {
        return;
    }
    const time_point now = monotonic_now();
    context_.shutting_down = true;
    shutdown_started_ = now;
    context_.log.write(event_id::node_leaving, wall_now(), {});
    advance_shutdown(now);
}

void node::advance_shutdown(time_point now) {
    const node_settings& settings = context_.settings;
    const bool is_idle = call_proxy_.open_calls() == 0 && inbound_proxy_.open_requests() == 0 &&
                         context_.claims.pending_settlements.empty() && context_.unsent.count() == 0;
    const bool handed_over = owns_no_shard(context_.records.map, context_.control.nodes.self.id);
    const milliseconds elapsed(elapsed_ms(shutdown_started_, now));
    const shutdown_plan plan =
        plan_shutdown({elapsed, settings.shutdown_notice, settings.shutdown_timeout, is_idle, handed_over});
    if (plan.withdrawn && context_.control.nodes.self.state != member_state::leaving) {
        context_.log.write(event_id::node_withdrawn, wall_now(),
                           {{"open_requests", std::to_string(inbound_proxy_.open_requests())}});
        apply(announce_shutdown(context_.control, now), "start");
        update_endpoint(context_.routing, context_.control.nodes.self, now);
    }
    const time_point stops_at = shutdown_started_ + settings.shutdown_timeout;
    call_proxy_.plan_stop(stops_at);
    inbound_proxy_.limit_requests(local_requests_end(stops_at));
    if (now >= next_stop_notice_) {
        next_stop_notice_ = now + stop_notice_period;
        call_proxy_.send_stop_notices(now);
    }
    if (plan.refuses_requests) {
        inbound_proxy_.stop_admitting();
        call_proxy_.stop_accepting();
    }
    if (plan.ends_calls) {
        call_proxy_.end_calls();
    }
    if (plan.stops) {
        context_.log.write(event_id::node_stopped, wall_now(),
                           {{"open_calls", std::to_string(call_proxy_.open_calls())},
                            {"unsent_responses", std::to_string(context_.unsent.count())},
                            {"handed_over", handed_over ? "yes" : "no"}});
        on_stopped_();
    }
}

} // namespace waxwingfall
