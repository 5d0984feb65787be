#include <gtest/gtest.h>

#include "fake_environment.h"

using namespace waxwingfall;
using namespace waxwingfall::test;

TEST(Distribution, AcceptedDocumentReachesAllNodes) {
    fake_environment environment(12);
    environment.run_without_faults(20);
    environment.accept("one");
    environment.run_without_faults(3);
    EXPECT_EQ(lowest_version(environment), 1U);
    environment.accept("two");
    environment.run_without_faults(3);
    EXPECT_EQ(lowest_version(environment), 2U);
}

TEST(Distribution, VersionReachesAllNodesWithThePlatformDownAfterOneRead) {
    fake_environment environment(12);
    environment.run_without_faults(20);
    environment.accept("one");
    environment.now += milliseconds(100);
    for (int number = 0; number < 12; ++number) {
        if (local_bridge_rank(environment.nodes[static_cast<std::size_t>(number)].state.nodes)) {
            environment.read_platform(number, 0);
            break;
        }
    }
    environment.platform_up = false;
    for (int round = 0; round < 60; ++round) {
        environment.now += milliseconds(100);
        for (int number = 0; number < 12; ++number) {
            environment.tick(number);
        }
        while (!environment.messages.empty()) {
            environment.deliver(0, false);
        }
    }
    EXPECT_EQ(lowest_version(environment), 1U);
}

TEST(Distribution, PartitionedDataCentreCatchesUpAfterReconnecting) {
    fake_environment environment(12);
    environment.run_without_faults(20);
    environment.accept("one");
    environment.run_without_faults(3);
    environment.partitioned_data_centre = "dc1";
    environment.accept("two");
    environment.read_platform(0, 0);
    for (int round = 0; round < 100; ++round) {
        environment.now += milliseconds(100);
        for (int number = 0; number < 12; ++number) {
            environment.tick(number);
        }
        while (!environment.messages.empty()) {
            environment.deliver(0, false);
        }
    }
    EXPECT_EQ(environment.nodes[1].state.contracts.enforced.id.version, 1U);
    environment.run_without_faults(40);
    EXPECT_EQ(lowest_version(environment), 2U);
}

TEST(Distribution, OldReleaseRefusesUnsupportedContentAndForwardsIt) {
    fake_environment environment(9);
    environment.old_release_node = 4;
    environment.start(4);
    environment.run_without_faults(20);
    environment.accept("one");
    environment.run_without_faults(3);
    environment.accept(unsupported_text);
    environment.run_without_faults(10);
    EXPECT_EQ(environment.nodes[4].state.contracts.enforced.id.version, 1U);
    ASSERT_TRUE(environment.nodes[4].state.contracts.refused.has_value());
    EXPECT_EQ(environment.nodes[4].state.contracts.refused->reason, "unsupported content");
    EXPECT_EQ(environment.nodes[4].state.contracts.held.id.version, 2U);
    EXPECT_EQ(environment.nodes[5].state.contracts.enforced.id.version, 2U);
    bool rejection_reported = false;
    for (const fake_node& node : environment.nodes) {
        const wire::zone_report report = summarize(node.state);
        for (const wire::rejection& rejection : report.rejections()) {
            rejection_reported |= rejection.node() == "n4" && rejection.reason() == "unsupported content";
        }
    }
    EXPECT_TRUE(rejection_reported);
    environment.accept("three");
    environment.accepted.back() = {{3, digest_of("plain")}, "plain"};
    environment.run_without_faults(10);
    EXPECT_EQ(lowest_version(environment), 3U);
}

TEST(Distribution, SecondDigestUnderOneVersionIsReportedAndNotEnforced) {
    const time_point now{};
    distribution state = start_distribution({}, text_rules(false), false, now);
    state.settled_at = now;
    apply_content(state, {{1, digest_of("one")}, "one"}, now);
    const auto effects = learn_version(state, {1, digest_of("other")}, "n1", now);
    EXPECT_TRUE(effects.conflict);
    EXPECT_EQ(state.enforced.bytes, "one");
}

TEST(Distribution, ContentWithAWrongDigestIsNotEnforced) {
    const time_point now{};
    distribution state = start_distribution({}, text_rules(false), false, now);
    state.settled_at = now;
    apply_content(state, {{1, digest_of("one")}, "damaged"}, now);
    EXPECT_EQ(state.enforced.id.version, 0U);
    EXPECT_EQ(state.bad_contents, 1U);
}

TEST(Distribution, DeltaWithAWrongResultIsDroppedAndFullContentIsPulled) {
    const time_point now{};
    distribution state = start_distribution({}, text_rules(false), false, now);
    state.settled_at = now;
    apply_content(state, {{1, digest_of("one")}, "one"}, now);
    learn_version(state, {2, digest_of("onetwo")}, "n1", now);
    wire::content wrong;
    *wrong.mutable_what() = to_wire(version_id{2, digest_of("onetwo")});
    wrong.set_base_digest(digest_of("one"));
    wrong.set_delta("other");
    const auto effects = handle_content(state, wrong, "n1", now);
    EXPECT_EQ(state.enforced.id.version, 1U);
    ASSERT_EQ(effects.messages.size(), 1U);
    EXPECT_TRUE(effects.messages.front().frame.pull().base_digest().empty());
}

TEST(Distribution, RefusedContentIsBroadcastImmediately) {
    const time_point now{};
    distribution state = start_distribution({}, text_rules(true), false, now);
    state.settled_at = now;
    const auto effects = apply_content(state, {{1, digest_of(unsupported_text)}, unsupported_text}, now);
    EXPECT_TRUE(effects.refused);
    EXPECT_TRUE(effects.broadcast);
}

TEST(Distribution, TimedOutPullIsSentToAnotherSource) {
    const time_point now{};
    distribution state = start_distribution({}, text_rules(false), false, now);
    learn_version(state, {1, digest_of("one")}, "n1", now);
    learn_version(state, {1, digest_of("one")}, "n2", now);
    const auto effects = tick_distribution(state, now + milliseconds(500));
    ASSERT_EQ(effects.messages.size(), 1U);
    EXPECT_EQ(effects.messages.front().address, "n2");
}
