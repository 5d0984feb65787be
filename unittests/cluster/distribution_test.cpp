#include <gtest/gtest.h>

#include "fake_environment.h"

using namespace waxwingfall;
using namespace waxwingfall::test;

TEST(Distribution, AnAcceptedDocumentReachesAll) {
    fake_environment environment(12);
    environment.heal(20);
    environment.accept("one");
    environment.heal(3);
    EXPECT_EQ(lowest_version(environment), 1U);
    environment.accept("two");
    environment.heal(3);
    EXPECT_EQ(lowest_version(environment), 2U);
}

TEST(Distribution, SpreadsWithThePlatformDownAfterOneRead) {
    fake_environment environment(12);
    environment.heal(20);
    environment.accept("one");
    environment.now += milliseconds(100);
    for (int number = 0; number < 12; ++number) {
        if (own_bridge_rank(environment.nodes[static_cast<std::size_t>(number)].state.nodes)) {
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
        while (!environment.wire.empty()) {
            environment.deliver(0, false);
        }
    }
    EXPECT_EQ(lowest_version(environment), 1U);
}

TEST(Distribution, ACutOffDataCentreCatchesUpWhenItIsBack) {
    fake_environment environment(12);
    environment.heal(20);
    environment.accept("one");
    environment.heal(3);
    environment.cut_off = "dc1";
    environment.accept("two");
    environment.read_platform(0, 0);
    for (int round = 0; round < 100; ++round) {
        environment.now += milliseconds(100);
        for (int number = 0; number < 12; ++number) {
            environment.tick(number);
        }
        while (!environment.wire.empty()) {
            environment.deliver(0, false);
        }
    }
    EXPECT_EQ(environment.nodes[1].state.contracts.enforced.mark.version, 1U);
    environment.heal(40);
    EXPECT_EQ(lowest_version(environment), 2U);
}

TEST(Distribution, AnOldProgramRefusesWholeAndPassesOn) {
    fake_environment environment(9);
    environment.old_program = 4;
    environment.start(4);
    environment.heal(20);
    environment.accept("one");
    environment.heal(3);
    environment.accept(bad_word);
    environment.heal(10);
    EXPECT_EQ(environment.nodes[4].state.contracts.enforced.mark.version, 1U);
    ASSERT_TRUE(environment.nodes[4].state.contracts.refused.has_value());
    EXPECT_EQ(environment.nodes[4].state.contracts.refused->reason, "not known here");
    EXPECT_EQ(environment.nodes[4].state.contracts.held.mark.version, 2U);
    EXPECT_EQ(environment.nodes[5].state.contracts.enforced.mark.version, 2U);
    bool operator_sees = false;
    for (const fake_node& node : environment.nodes) {
        const wire::zone_report report = summarize(node.state);
        for (const wire::rejection& rejection : report.rejections()) {
            operator_sees |= rejection.node() == "n4" && rejection.reason() == "not known here";
        }
    }
    EXPECT_TRUE(operator_sees);
    environment.accept("three, without it");
    environment.accepted.back() = {{3, digest_of("plain")}, "plain"};
    environment.heal(10);
    EXPECT_EQ(lowest_version(environment), 3U);
}

TEST(Distribution, TwoContentsUnderOneVersionAreNoticedAndNothingMoves) {
    const time_point now{};
    distribution state = start_distribution({}, text_rules(false), false, now);
    state.settled_at = now;
    take_content(state, {{1, digest_of("one")}, "one"}, now);
    const auto effects = learn_mark(state, {1, digest_of("other")}, "n1", now);
    EXPECT_TRUE(effects.conflict);
    EXPECT_EQ(state.enforced.bytes, "one");
}

TEST(Distribution, DamagedContentIsNeverEnforced) {
    const time_point now{};
    distribution state = start_distribution({}, text_rules(false), false, now);
    state.settled_at = now;
    take_content(state, {{1, digest_of("one")}, "damaged"}, now);
    EXPECT_EQ(state.enforced.mark.version, 0U);
    EXPECT_EQ(state.bad_contents, 1U);
}

TEST(Distribution, ADeltaThatLeadsElsewhereIsDroppedAndTheWholeIsFetched) {
    const time_point now{};
    distribution state = start_distribution({}, text_rules(false), false, now);
    state.settled_at = now;
    take_content(state, {{1, digest_of("one")}, "one"}, now);
    learn_mark(state, {2, digest_of("onetwo")}, "n1", now);
    wire::content wrong;
    *wrong.mutable_what() = to_wire(version_mark{2, digest_of("onetwo")});
    wrong.set_base_digest(digest_of("one"));
    wrong.set_delta("other");
    const auto effects = handle_content(state, wrong, "n1", now);
    EXPECT_EQ(state.enforced.mark.version, 1U);
    ASSERT_EQ(effects.messages.size(), 1U);
    EXPECT_TRUE(effects.messages.front().frame.pull().base_digest().empty());
}

TEST(Distribution, RefusedContentIsPassedOnAtOnce) {
    const time_point now{};
    distribution state = start_distribution({}, text_rules(true), false, now);
    state.settled_at = now;
    const auto effects = take_content(state, {{1, digest_of(bad_word)}, bad_word}, now);
    EXPECT_TRUE(effects.refused);
    EXPECT_TRUE(effects.spread);
}

TEST(Distribution, ALostPullIsSentAgainToAnotherSource) {
    const time_point now{};
    distribution state = start_distribution({}, text_rules(false), false, now);
    learn_mark(state, {1, digest_of("one")}, "n1", now);
    learn_mark(state, {1, digest_of("one")}, "n2", now);
    const auto effects = tick_distribution(state, now + milliseconds(500));
    ASSERT_EQ(effects.messages.size(), 1U);
    EXPECT_EQ(effects.messages.front().address, "n2");
}
