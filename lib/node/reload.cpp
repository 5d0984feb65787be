#include "waxwingfall/node/reload.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include <boost/pfr/tuple_size.hpp>

namespace waxwingfall {

namespace {

/// When a changed setting takes effect.
enum class reload_effect : std::uint8_t {
    immediate,
    next_start,
    never ///< is not read from the settings file
};

/// One member of the settings. Members that share a name are reported together.
template <typename Value> struct setting {
    const char* name;
    Value node_settings::*member;
    reload_effect effect;
};

// Clang deduces the arguments of aggregates only from version 17 on.
template <typename Value> setting(const char*, Value node_settings::*, reload_effect) -> setting<Value>;

constexpr std::tuple settings_table{
    setting{"node", &node_settings::name, reload_effect::next_start},
    setting{"node", &node_settings::data_centre, reload_effect::next_start},
    setting{"node", &node_settings::region, reload_effect::next_start},
    setting{"node", &node_settings::environment, reload_effect::next_start},
    setting{"listen", &node_settings::calls, reload_effect::next_start},
    setting{"listen", &node_settings::inbound, reload_effect::next_start},
    setting{"listen", &node_settings::control, reload_effect::next_start},
    setting{"listen", &node_settings::admin, reload_effect::next_start},
    setting{"listen", &node_settings::ready, reload_effect::next_start},
    setting{"listen", &node_settings::heartbeats, reload_effect::next_start},
    setting{"worker.service", &node_settings::service, reload_effect::immediate},
    setting{"worker", &node_settings::worker, reload_effect::next_start},
    setting{"worker", &node_settings::slots, reload_effect::next_start},
    setting{"worker", &node_settings::connections, reload_effect::next_start},
    setting{"worker", &node_settings::probe_period, reload_effect::next_start},
    setting{"platform", &node_settings::platform, reload_effect::immediate},
    setting{"peers", &node_settings::peers, reload_effect::next_start},
    setting{"translate", &node_settings::translations, reload_effect::next_start},
    setting{"log", &node_settings::log_path, reload_effect::next_start},
    setting{"--first-start", &node_settings::is_first_start, reload_effect::never},
    setting{"limits", &node_settings::max_body_bytes, reload_effect::next_start},
    setting{"limits", &node_settings::max_header_bytes, reload_effect::next_start},
    setting{"limits", &node_settings::memory_mb, reload_effect::next_start},
    setting{"limits", &node_settings::max_fds, reload_effect::next_start},
    setting{"limits", &node_settings::link_mbps, reload_effect::next_start},
    setting{"limits", &node_settings::client_timeout, reload_effect::next_start},
    setting{"limits.drain_ms", &node_settings::drain, reload_effect::immediate},
    setting{"limits.leave_notice_ms", &node_settings::shutdown_notice, reload_effect::immediate},
    setting{"limits.leave_timeout_ms", &node_settings::shutdown_timeout, reload_effect::immediate},
    setting{"policy.retry_slack", &node_settings::retry_slack, reload_effect::immediate},
    setting{"bounds.retry_share", &node_settings::retry_share_percent, reload_effect::immediate},
    setting{"bounds.revoke", &node_settings::revoke, reload_effect::immediate},
    setting{"policy.retry_budget", &node_settings::retry_budget, reload_effect::immediate},
    setting{"policy.signed_responses", &node_settings::signed_responses, reload_effect::immediate},
    setting{"policy.pace", &node_settings::pace, reload_effect::immediate},
    setting{"policy", &node_settings::source, reload_effect::next_start},
    setting{"policy", &node_settings::control_policy, reload_effect::next_start},
    setting{"policy", &node_settings::routing, reload_effect::next_start},
    setting{"policy", &node_settings::ledger_map, reload_effect::next_start},
};
static_assert(std::tuple_size_v<decltype(settings_table)> == boost::pfr::tuple_size_v<node_settings>,
              "each setting must state when a change takes effect");

void add_once(std::vector<std::string>& names, const char* name) {
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        names.emplace_back(name);
    }
}

template <typename Value>
void apply_setting(const setting<Value>& row, const node_settings& updated, reload_plan& plan) {
    const bool differs = plan.merged.*row.member != updated.*row.member;
    if (!differs || row.effect == reload_effect::never) {
        return;
    }
    if (row.effect == reload_effect::next_start) {
        add_once(plan.needs_restart, row.name);
        return;
    }
    plan.merged.*row.member = updated.*row.member;
    add_once(plan.applied, row.name);
}

} // namespace

reload_plan plan_reload(const node_settings& current, const node_settings& updated) {
    reload_plan plan;
    plan.merged = current;
    std::apply([&](const auto&... rows) { (apply_setting(rows, updated, plan), ...); }, settings_table);
    return plan;
}

} // namespace waxwingfall
