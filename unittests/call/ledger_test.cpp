#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "fake_environment.h"
#include "waxwingfall/call/claimant.h"
#include "waxwingfall/call/ledger.h"
#include "waxwingfall/call/ledger_map.h"
#include "waxwingfall/support/digest.h"

using namespace waxwingfall;
using namespace waxwingfall::test;

TEST(IdempotencyKey, ReadsWhatItMakes) {
    const auto key = parse_idempotency_key(make_idempotency_key(wall_start, 5, 6));
    ASSERT_TRUE(key.has_value());
    EXPECT_EQ(key->made, wall_start);
    EXPECT_FALSE(parse_idempotency_key("0190b8a0-0000-4000-8000-000000000000").has_value());
    EXPECT_FALSE(parse_idempotency_key("not a key").has_value());
}

TEST(Ledger, GrantsAKeyOnceAndReplaysItsAnswer) {
    fake_environment environment(3);
    environment.settle_down();
    const auto key = key_at(environment.wall(), 1);
    environment.claim(0, key);
    environment.settle_down();
    ASSERT_EQ(environment.runs[key.bytes], 1);
    wire::record done;
    done.set_key(key.bytes);
    done.set_fingerprint("f");
    done.set_attempt(environment.run_by.front().second.attempt);
    done.set_state(static_cast<std::uint32_t>(record_state::done));
    done.set_status(201);
    done.set_answer("paid");
    process& caller = environment.at(0);
    environment.send(
        0, settle_claim(caller.claims, caller.records.map, caller.nodes, done, environment.now).messages);
    environment.settle_down();
    EXPECT_TRUE(caller.claims.settling.empty());
    environment.claim(1, key);
    environment.tick(1);
    std::vector<claim_result> results;
    while (!environment.wire.empty()) {
        const auto taken = environment.wire.front();
        if (taken.message.frame.has_claim_answer()) {
            results.push_back(handle_claim_answer(environment.at(1).claims,
                                                  taken.message.frame.claim_answer(), environment.map,
                                                  environment.at(1).nodes, environment.now)
                                  .results.front());
        }
        environment.deliver(0, false);
    }
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results.front().verdict, claim_verdict::done);
    EXPECT_EQ(results.front().existing.answer, "paid");
    EXPECT_EQ(environment.runs[key.bytes], 1);
}

TEST(Ledger, ASurvivorRemembersWhatALostPrimaryGranted) {
    fake_environment environment(3);
    environment.settle_down();
    const auto key = key_at(environment.wall(), 1);
    environment.claim(0, key);
    environment.settle_down();
    const auto home = home_of(environment.map, key);
    for (int number = 0; number < 3; ++number) {
        if (environment.at(number).nodes.self.id == home->owners.primary) {
            environment.at(number).up = false;
            for (int observer = 0; observer < 3; ++observer) {
                environment.believe(observer, number, member_state::dead);
            }
        }
    }
    for (int number = 0; number < 3; ++number) {
        environment.plan(number);
    }
    for (int number = 0; number < 3; ++number) {
        environment.adopt(number);
    }
    ASSERT_NE(home_of(environment.map, key)->owners.primary, home->owners.primary);
    environment.settle_down();
    for (int number = 0; number < 3; ++number) {
        environment.claim(number, key);
    }
    environment.settle_down();
    EXPECT_EQ(environment.runs[key.bytes], 1);
}

TEST(Ledger, APrimaryWithoutRecordsDoubtsOlderKeys) {
    fake_environment environment(3);
    environment.settle_down();
    const auto key = key_at(environment.wall(), 1);
    environment.claim(0, key);
    environment.settle_down();
    for (int number = 0; number < 3; ++number) {
        environment.restart(number);
    }
    for (int round = 0; round < 10; ++round) {
        environment.settle_down();
    }
    for (int number = 0; number < 3; ++number) {
        environment.claim(number, key);
    }
    environment.settle_down();
    EXPECT_EQ(environment.runs[key.bytes], 1);
    const auto fresh = key_at(environment.wall(), 2);
    environment.claim(0, fresh);
    environment.settle_down();
    EXPECT_EQ(environment.runs[fresh.bytes], 1);
}

TEST(Ledger, RefusesKeysOlderThanItsRecords) {
    fake_environment environment(3);
    environment.settle_down();
    environment.advance(milliseconds(3'600'000));
    const auto key = key_at(environment.wall() - 700'000, 1);
    environment.claim(0, key);
    environment.settle_down();
    EXPECT_EQ(environment.runs[key.bytes], 0);
}

TEST(Ledger, AGrantThatComesTooLateIsHandedBack) {
    fake_environment environment(3);
    environment.settle_down();
    const auto key = key_at(environment.wall(), 1);
    environment.claim(0, key);
    environment.advance(milliseconds(1100));
    environment.tick(0);
    environment.deliver_all();
    EXPECT_EQ(environment.runs[key.bytes], 0);
    EXPECT_FALSE(environment.ran_after_refusal);
    environment.settle_down();
    environment.claim(1, key);
    environment.settle_down();
    EXPECT_EQ(environment.runs[key.bytes], 1);
}

TEST(Ledger, AFormerPrimaryIsRefusedByTheSurvivor) {
    fake_environment environment(3);
    environment.settle_down();
    const auto key = key_at(environment.wall(), 1);
    const roles role = roles_of(environment, key);
    environment.believe(role.other, role.primary, member_state::dead);
    environment.plan(role.other);
    environment.adopt(role.other);
    environment.adopt(role.backup);
    environment.hand_over(role.backup);
    environment.claim(role.primary, key);
    environment.claim(role.other, key);
    environment.deliver_all();
    EXPECT_EQ(environment.runs[key.bytes], 1);
}

TEST(Ledger, ABackupThatMissedPartOfTheTransferDoubts) {
    fake_environment environment(5);
    environment.settle_down();
    std::vector<idempotency_key> keys;
    const auto first = key_at(environment.wall(), 1);
    const roles role = roles_of(environment, first);
    const auto home = home_of(environment.map, first)->index;
    for (std::uint64_t number = 1; keys.size() < 3; ++number) {
        const auto key = key_at(environment.wall(), number);
        if (home_of(environment.map, key)->index == home) {
            keys.push_back(key);
            environment.claim(role.other, key);
        }
    }
    environment.settle_down();
    // The backup dies; of the transfer to its successor only the last part arrives; then the primary dies
    // too.
    for (int observer = 0; observer < 5; ++observer) {
        environment.believe(observer, role.backup, member_state::dead);
    }
    environment.at(role.backup).up = false;
    environment.plan(role.other);
    environment.adopt(role.primary);
    environment.tick(role.primary);
    const roles next = roles_of(environment, first);
    std::erase_if(environment.wire, [&](const in_flight& each) {
        return each.message.frame.has_replicate() && !each.message.frame.replicate().transfer_complete();
    });
    environment.deliver_all();
    for (int observer = 0; observer < 5; ++observer) {
        environment.believe(observer, next.primary, member_state::dead);
    }
    environment.at(next.primary).up = false;
    environment.adopt(next.backup);
    environment.plan(next.backup);
    for (int number = 0; number < 5; ++number) {
        environment.adopt(number);
    }
    environment.settle_down();
    for (const idempotency_key& key : keys) {
        environment.claim(next.backup, key);
    }
    environment.settle_down();
    for (const idempotency_key& key : keys) {
        EXPECT_EQ(environment.runs[key.bytes], 1);
    }
}

TEST(Ledger, ALateTransferToAnEarlierProcessMakesNothingComplete) {
    ledger state;
    state.life = 2;
    wire::replicate late;
    late.set_epoch(1);
    late.set_sequence(1);
    late.set_transfer_first(1);
    late.set_transfer_complete(true);
    late.set_life(1);
    const auto answers = handle_replicate(state, late, "n0");
    EXPECT_TRUE(answers.front().frame.replicated().incomplete());
    EXPECT_FALSE(state.shards.at(0).complete);
    late.set_life(2);
    EXPECT_FALSE(handle_replicate(state, late, "n0").front().frame.replicated().incomplete());
}

TEST(Ledger, OwnersOnTheSmallerSideOfACutStopGranting) {
    fake_environment environment(5);
    environment.settle_down();
    const auto key = key_at(environment.wall(), 1);
    const roles role = roles_of(environment, key);
    std::vector<int> sides(5, 0);
    sides[static_cast<std::size_t>(role.primary)] = 1;
    sides[static_cast<std::size_t>(role.backup)] = 1;
    environment.cut(sides);
    for (int round = 0; round < 4; ++round) {
        environment.advance(milliseconds(5000));
        environment.catch_up(role.other);
        environment.plan(role.other);
        for (int number = 0; number < 5; ++number) {
            if (sides[static_cast<std::size_t>(number)] == 0) {
                environment.adopt(number);
            }
        }
        environment.settle_down();
    }
    ASSERT_NE(home_of(environment.map, key)->owners.epoch, 1U);
    environment.advance(milliseconds(20'000));
    std::uint64_t number = 1;
    while (home_of(environment.map, key_at(environment.wall(), number))->index !=
           home_of(environment.map, key)->index) {
        ++number;
    }
    const auto fresh = key_at(environment.wall(), number);
    environment.claim(role.primary, fresh);
    environment.claim(role.other, fresh);
    environment.settle_down();
    EXPECT_EQ(environment.runs[fresh.bytes], 1);
}

TEST(Ledger, AWokenPairGrantsNothingUntilItsMapIsConfirmed) {
    fake_environment environment(5);
    environment.settle_down();
    const auto key = key_at(environment.wall(), 1);
    const roles role = roles_of(environment, key);
    environment.at(role.primary).paused = true;
    environment.at(role.backup).paused = true;
    for (int observer = 0; observer < 5; ++observer) {
        const bool sleeps = observer == role.primary || observer == role.backup;
        if (!sleeps) {
            environment.believe(observer, role.primary, member_state::dead);
            environment.believe(observer, role.backup, member_state::dead);
        }
    }
    environment.advance(milliseconds(15'000));
    environment.plan(role.other);
    for (int number = 0; number < 5; ++number) {
        if (!environment.at(number).paused) {
            environment.adopt(number);
        }
    }
    environment.settle_down();
    environment.advance(milliseconds(20'000));
    environment.settle_down();
    std::uint64_t number = 1;
    while (home_of(environment.map, key_at(environment.wall(), number))->index !=
           home_of(environment.map, key)->index) {
        ++number;
    }
    const auto fresh = key_at(environment.wall(), number);
    environment.claim(role.other, fresh);
    environment.settle_down();
    ASSERT_EQ(environment.runs[fresh.bytes], 1);
    for (const int woken : {role.primary, role.backup}) {
        environment.at(woken).paused = false;
        fence_owner(environment.at(woken).records, environment.now);
    }
    // A caller of the woken primary sends the key again before any news has reached it.
    environment.map_changed = environment.now;
    environment.claim(role.primary, fresh);
    environment.deliver_all();
    EXPECT_EQ(environment.runs[fresh.bytes], 1);
}

TEST(Ledger, ARestartedBackupDoesNotVouchForAFormerPrimary) {
    fake_environment environment(3);
    environment.settle_down();
    const auto key = key_at(environment.wall(), 1);
    const roles role = roles_of(environment, key);
    // The backup takes over from a primary that does not know it, grants the key, and then loses its memory.
    environment.believe(role.other, role.primary, member_state::dead);
    environment.plan(role.other);
    environment.adopt(role.other);
    environment.adopt(role.backup);
    environment.hand_over(role.backup);
    environment.claim(role.other, key);
    environment.deliver_all();
    ASSERT_EQ(environment.runs[key.bytes], 1);
    environment.restart_without_map(role.backup);
    environment.claim(role.primary, key);
    environment.deliver_all();
    EXPECT_EQ(environment.runs[key.bytes], 1);
}

TEST(Ledger, AnOwnerThatMissedAnEpochIsNotCompleteFromBefore) {
    fake_environment environment(3);
    environment.settle_down();
    const auto key = key_at(environment.wall(), 1);
    const roles role = roles_of(environment, key);
    // A second epoch without the backup, which does not learn of it, grants the key.
    environment.believe(role.other, role.backup, member_state::dead);
    environment.plan(role.other);
    environment.adopt(role.primary);
    environment.adopt(role.other);
    environment.hand_over(role.primary);
    environment.claim(role.primary, key);
    environment.deliver_all();
    ASSERT_EQ(environment.runs[key.bytes], 1);
    // A third one has the backup again, and its transfer never comes; the fourth makes it primary.
    environment.believe(role.primary, role.other, member_state::dead);
    environment.plan(role.primary);
    environment.adopt(role.primary);
    environment.adopt(role.backup);
    ASSERT_EQ(home_of(environment.map, key)->owners.backup, environment.at(role.backup).nodes.self.id);
    environment.believe(role.backup, role.primary, member_state::dead);
    environment.plan(role.backup);
    environment.adopt(role.backup);
    environment.adopt(role.other);
    ASSERT_EQ(home_of(environment.map, key)->owners.primary, environment.at(role.backup).nodes.self.id);
    environment.hand_over(role.backup);
    environment.claim(role.backup, key);
    environment.deliver_all();
    EXPECT_EQ(environment.runs[key.bytes], 1);
}
