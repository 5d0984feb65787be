#include "waxwingfall/node/reload.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <boost/pfr/core.hpp>
#include <gtest/gtest.h>

using namespace waxwingfall;

namespace {

node_settings current_settings() {
    node_settings settings;
    settings.name = "a";
    settings.calls = {"127.0.0.1", 1};
    settings.platform = {"127.0.0.1", 2};
    return settings;
}

void change(std::string& value) {
    value += "x";
}
void change(ip_address& value) {
    value.port += 1;
}
void change(std::optional<ip_address>& value) {
    value = ip_address{"127.0.0.1", 9};
}
void change(std::uint32_t& value) {
    value += 1;
}
void change(double& value) {
    value += 1;
}
void change(bool& value) {
    value = !value;
}
void change(milliseconds& value) {
    value += milliseconds(1);
}
void change(std::vector<std::string>& value) {
    value.emplace_back("127.0.0.1:9");
}
void change(std::vector<address_translation>& value) {
    value.push_back({"a", "b"});
}
void change(configuration_source& value) {
    value = configuration_source::operator_key;
}
void change(pace_rule& value) {
    value = pace_rule::adaptive;
}
void change(control_plane_policy& value) {
    value.membership.probe_period += milliseconds(1);
}
void change(routing_policy& value) {
    value.rule = pick_rule::round_robin;
}
void change(ledger_map_policy& value) {
    value.takeover_delay += milliseconds(1);
}

} // namespace

// Guards against a changed setting that neither applies nor is named as waiting for the next start.
TEST(Reload, EverySettingAppliesOrNeedsRestart) {
    std::size_t unnamed = 0;
    const auto visit = [&](auto index) {
        node_settings updated = current_settings();
        change(boost::pfr::get<index.value>(updated));
        ASSERT_NE(updated, current_settings()) << index.value;
        const reload_plan plan = plan_reload(current_settings(), updated);
        unnamed += plan.applied.empty() && plan.needs_restart.empty() ? 1 : 0;
        EXPECT_LE(plan.applied.size() + plan.needs_restart.size(), 1U) << index.value;
        EXPECT_EQ(plan.merged, plan.applied.empty() ? current_settings() : updated) << index.value;
    };
    [&]<std::size_t... Index>(std::index_sequence<Index...>) {
        (visit(std::integral_constant<std::size_t, Index>()), ...);
    }
    (std::make_index_sequence<boost::pfr::tuple_size_v<node_settings>>());
    EXPECT_EQ(unnamed, 1U) << "whether this is the first start is no setting of the file";
}

TEST(Reload, SameSettingsChangeNothing) {
    const reload_plan plan = plan_reload(current_settings(), current_settings());
    EXPECT_TRUE(plan.applied.empty());
    EXPECT_TRUE(plan.needs_restart.empty());
    EXPECT_EQ(plan.merged, current_settings());
}

TEST(Reload, LimitsAndPlatformAddressApplyImmediately) {
    node_settings updated = current_settings();
    updated.platform.port = 3;
    updated.drain = milliseconds(700);
    updated.retry_slack = 5;
    updated.pace = pace_rule::adaptive;
    const reload_plan plan = plan_reload(current_settings(), updated);
    EXPECT_EQ(plan.applied,
              (std::vector<std::string>{"platform", "limits.drain_ms", "policy.retry_slack", "policy.pace"}));
    EXPECT_EQ(plan.merged, updated);
}

TEST(Reload, IdentityAddressesAndWorkerNeedRestart) {
    node_settings updated = current_settings();
    updated.calls.port = 9;
    updated.name = "b";
    updated.slots = 7;
    const reload_plan plan = plan_reload(current_settings(), updated);
    EXPECT_EQ(plan.needs_restart, (std::vector<std::string>{"node", "listen", "worker"}));
    EXPECT_EQ(plan.merged, current_settings());
}
