#include "waxwingfall/node/platform_agent.h"

#include <algorithm>

#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

constexpr milliseconds seed_lease_ttl{15'000};
constexpr milliseconds seed_renewal_period{5'000};
constexpr milliseconds ledger_plan_period{500};
constexpr milliseconds min_report_interval{400};
constexpr milliseconds report_refresh_period{10'000};

} // namespace

void platform_agent::maintain_seed(std::size_t rank, time_point now) {
    if (lease_call_pending_ || now < next_renewal_) {
        return;
    }
    lease_call_pending_ = true;
    next_renewal_ = now + jittered(seed_renewal_period, node_.random);
    const bool rank_changed = rank != leased_rank_;
    leased_rank_ = rank;
    if (lease_.empty()) {
        grant_lease(client_, seed_lease_ttl, [this, rank](const store_response& response) {
            lease_call_pending_ = false;
            update_reachability(response.status);
            if (response.status == store_status::ok) {
                lease_ = response.lease;
                write_seed(rank);
            }
        });
        return;
    }
    renew_lease(client_, lease_, [this, rank, rank_changed](const store_response& response) {
        lease_call_pending_ = false;
        update_reachability(response.status);
        if (response.status == store_status::absent) {
            // The lease has expired, perhaps while this process was paused. Another node may have written the
            // key since; overwriting it does no harm.
            lease_.clear();
            next_renewal_ = monotonic_now();
        } else if (rank_changed && response.status == store_status::ok) {
            write_seed(rank);
        }
    });
}

void platform_agent::write_seed(std::size_t rank) {
    const node_settings& settings = node_.settings;
    overwrite_value(client_, seed_key(settings.environment, settings.data_centre, rank),
                    node_.control.nodes.self.control_address, lease_,
                    [this](const store_response& response) { update_reachability(response.status); });
}

void platform_agent::plan_ledger_map(time_point now) {
    if (ledger_write_pending_ || now < next_ledger_plan_ || !reachable_) {
        return;
    }
    next_ledger_plan_ = now + jittered(ledger_plan_period, node_.random);
    // Plan only from the map that the platform holds as far as this node knows. If the map has changed since,
    // the compare-and-swap fails.
    const ledger_map& map = node_.records.map;
    if ((ledger_.key_revision == 0) != (map.version == 0)) {
        return;
    }
    const auto next =
        plan_ledger_change(map, node_.settings.ledger_map, node_.control.nodes, now, wall_now());
    if (!next) {
        return;
    }
    ledger_write_pending_ = true;
    const std::string bytes = encode_ledger_map(*next);
    write_value(
        client_, ledger_key(node_.settings.environment), ledger_.key_revision, bytes, {},
        [this, bytes, version = next->version](const store_response& response) {
            ledger_write_pending_ = false;
            update_reachability(response.status);
            if (response.status != store_status::ok) {
                // The watch delivers the map that the platform holds now, even if this write did succeed.
                return;
            }
            ledger_.key_revision = response.value.revision;
            node_.log.write(event_id::ledger_owner_replaced, wall_now(), {{"map", std::to_string(version)}});
            sink_(
                apply_platform_ledger(node_.control, {{version, digest_of(bytes)}, bytes}, monotonic_now()));
        });
}

std::string platform_agent::build_report(wall_ms now) {
    wire::zone_report report = summarize(node_.control);
    const bool all_enforcing = report.nodes_enforcing() == report.nodes() && report.version() > 0;
    const std::uint64_t enforced = all_enforcing ? report.version() : 0;
    if (enforced != enforced_version_) {
        enforced_version_ = enforced;
        enforced_since_ = enforced == 0 ? 0 : now;
        calls_at_enforcement_ = report.calls();
        failed_calls_at_enforcement_ = report.failed_calls();
    }
    report.set_all_enforced_since_ms(enforced_since_);
    report.set_calls(report.calls() - std::min<std::uint64_t>(report.calls(), calls_at_enforcement_));
    report.set_failed_calls(report.failed_calls() -
                            std::min<std::uint64_t>(report.failed_calls(), failed_calls_at_enforcement_));
    report.set_reported_at_ms(now);
    return report.SerializeAsString();
}

void platform_agent::write_report(time_point now) {
    const bool is_refresh_due = now - last_report_ > report_refresh_period;
    if (report_pending_ || now < next_report_ || (!report_due_ && !is_refresh_due)) {
        return;
    }
    report_due_ = false;
    report_pending_ = true;
    next_report_ = now + min_report_interval;
    last_report_ = now;
    const std::string key = report_key(node_.settings.environment, node_.settings.data_centre);
    overwrite_value(client_, key, build_report(wall_now()), {}, [this](const store_response& response) {
        report_pending_ = false;
        update_reachability(response.status);
    });
}

} // namespace waxwingfall
