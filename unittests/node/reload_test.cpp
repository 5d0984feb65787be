#include "waxwingfall/node/reload.h"

#include <gtest/gtest.h>

using namespace waxwingfall;

namespace {

node_settings running() {
    node_settings settings;
    settings.name = "a";
    settings.calls = {"127.0.0.1", 1};
    settings.platform = {"127.0.0.1", 2};
    return settings;
}

} // namespace

TEST(Reload, NothingChangesForTheSameSettings) {
    const reload_plan plan = plan_reload(running(), running());
    EXPECT_TRUE(plan.applied.empty());
    EXPECT_TRUE(plan.wait_for_start.empty());
    EXPECT_EQ(plan.merged, running());
}

TEST(Reload, LimitsAndThePlatformChangeAtOnce) {
    node_settings fresh = running();
    fresh.platform.port = 3;
    fresh.drain = milliseconds(700);
    fresh.retry_slack = 5;
    const reload_plan plan = plan_reload(running(), fresh);
    EXPECT_EQ(plan.applied, (std::vector<std::string>{"platform", "limits.drain_ms", "policy.retry_slack"}));
    EXPECT_EQ(plan.merged, fresh);
}

TEST(Reload, WhatIsBoundHoldsUntilTheNextStart) {
    node_settings fresh = running();
    fresh.calls.port = 9;
    fresh.name = "b";
    fresh.slots = 7;
    const reload_plan plan = plan_reload(running(), fresh);
    EXPECT_EQ(plan.wait_for_start, (std::vector<std::string>{"node", "listen", "worker"}));
    EXPECT_EQ(plan.merged, running());
}
