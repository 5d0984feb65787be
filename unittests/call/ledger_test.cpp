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

TEST(IdempotencyKey, ParsesGeneratedKeysAndRejectsInvalidText) {
    const auto key = parse_idempotency_key(make_idempotency_key(initial_wall_time, 5, 6));
    ASSERT_TRUE(key.has_value());
    EXPECT_EQ(key->created_at, initial_wall_time);
    EXPECT_FALSE(parse_idempotency_key("0190b8a0-0000-4000-8000-000000000000").has_value());
    EXPECT_FALSE(parse_idempotency_key("not a key").has_value());
}

TEST(Ledger, GrantsKeyOnceAndReplaysRecordedResponse) {
    fake_environment environment(3);
    environment.run_without_loss();
    const auto key = make_key(environment.wall_time(), 1);
    environment.claim(0, key);
    environment.run_without_loss();
    ASSERT_EQ(environment.executions[key.bytes], 1);
    wire::record done;
    done.set_key(key.bytes);
    done.set_fingerprint("f");
    done.set_attempt(environment.granted_results.front().second.attempt_id);
    done.set_state(static_cast<std::uint32_t>(record_state::done));
    done.set_status(201);
    done.set_answer("paid");
    process& claiming_process = environment.at(0);
    environment.send(0, settle_claim(claiming_process.claims, claiming_process.records.map,
                                     claiming_process.nodes, done, environment.now)
                            .messages);
    environment.run_without_loss();
    EXPECT_TRUE(claiming_process.claims.pending_settlements.empty());
    environment.claim(1, key);
    environment.tick(1);
    std::vector<claim_result> results;
    while (!environment.network.empty()) {
        const auto delivery = environment.network.front();
        if (delivery.message.frame.has_claim_answer()) {
            results.push_back(handle_claim_response(environment.at(1).claims,
                                                    delivery.message.frame.claim_answer(), environment.map,
                                                    environment.at(1).nodes, environment.now)
                                  .results.front());
        }
        environment.deliver(0, false);
    }
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results.front().verdict, claim_verdict::done);
    EXPECT_EQ(results.front().existing.response, "paid");
    EXPECT_EQ(environment.executions[key.bytes], 1);
}

TEST(Ledger, SurvivingBackupDoesNotGrantKeysOfLostPrimaryAgain) {
    fake_environment environment(3);
    environment.run_without_loss();
    const auto key = make_key(environment.wall_time(), 1);
    environment.claim(0, key);
    environment.run_without_loss();
    const auto location = find_owning_shard(environment.map, key);
    for (int number = 0; number < 3; ++number) {
        if (environment.at(number).nodes.self.id == location->owners.primary) {
            environment.at(number).up = false;
            for (int observer = 0; observer < 3; ++observer) {
                environment.set_observed_state(observer, number, member_state::dead);
            }
        }
    }
    for (int number = 0; number < 3; ++number) {
        environment.plan(number);
    }
    for (int number = 0; number < 3; ++number) {
        environment.adopt(number);
    }
    ASSERT_NE(find_owning_shard(environment.map, key)->owners.primary, location->owners.primary);
    environment.run_without_loss();
    for (int number = 0; number < 3; ++number) {
        environment.claim(number, key);
    }
    environment.run_without_loss();
    EXPECT_EQ(environment.executions[key.bytes], 1);
}

TEST(Ledger, PrimaryWithoutRecordsRefusesOlderKeys) {
    fake_environment environment(3);
    environment.run_without_loss();
    const auto key = make_key(environment.wall_time(), 1);
    environment.claim(0, key);
    environment.run_without_loss();
    for (int number = 0; number < 3; ++number) {
        environment.restart(number);
    }
    for (int round = 0; round < 10; ++round) {
        environment.run_without_loss();
    }
    for (int number = 0; number < 3; ++number) {
        environment.claim(number, key);
    }
    environment.run_without_loss();
    EXPECT_EQ(environment.executions[key.bytes], 1);
    const auto fresh_key = make_key(environment.wall_time(), 2);
    environment.claim(0, fresh_key);
    environment.run_without_loss();
    EXPECT_EQ(environment.executions[fresh_key.bytes], 1);
}

TEST(Ledger, RefusesKeysOlderThanRetention) {
    fake_environment environment(3);
    environment.run_without_loss();
    environment.advance(milliseconds(3'600'000));
    const auto key = make_key(environment.wall_time() - 700'000, 1);
    environment.claim(0, key);
    environment.run_without_loss();
    EXPECT_EQ(environment.executions[key.bytes], 0);
}

TEST(Ledger, GrantAfterClaimTimeoutIsReleased) {
    fake_environment environment(3);
    environment.run_without_loss();
    const auto key = make_key(environment.wall_time(), 1);
    environment.claim(0, key);
    environment.advance(milliseconds(1100));
    environment.tick(0);
    environment.deliver_all();
    EXPECT_EQ(environment.executions[key.bytes], 0);
    EXPECT_FALSE(environment.executed_after_refusal);
    environment.run_without_loss();
    environment.claim(1, key);
    environment.run_without_loss();
    EXPECT_EQ(environment.executions[key.bytes], 1);
}

TEST(Ledger, FormerPrimaryIsRefusedByItsSuccessor) {
    fake_environment environment(3);
    environment.run_without_loss();
    const auto key = make_key(environment.wall_time(), 1);
    const roles role = roles_of(environment, key);
    environment.set_observed_state(role.other, role.primary, member_state::dead);
    environment.plan(role.other);
    environment.adopt(role.other);
    environment.adopt(role.backup);
    environment.complete_transfers(role.backup);
    environment.claim(role.primary, key);
    environment.claim(role.other, key);
    environment.deliver_all();
    EXPECT_EQ(environment.executions[key.bytes], 1);
}

TEST(Ledger, BackupWithPartialTransferDoesNotGrantOlderKeys) {
    fake_environment environment(5);
    environment.run_without_loss();
    std::vector<idempotency_key> keys;
    const auto first = make_key(environment.wall_time(), 1);
    const roles role = roles_of(environment, first);
    const auto shard_index = find_owning_shard(environment.map, first)->index;
    for (std::uint64_t number = 1; keys.size() < 3; ++number) {
        const auto key = make_key(environment.wall_time(), number);
        if (find_owning_shard(environment.map, key)->index == shard_index) {
            keys.push_back(key);
            environment.claim(role.other, key);
        }
    }
    environment.run_without_loss();
    // The backup dies, only the last part of the transfer to its successor arrives, and then the primary
    // dies.
    for (int observer = 0; observer < 5; ++observer) {
        environment.set_observed_state(observer, role.backup, member_state::dead);
    }
    environment.at(role.backup).up = false;
    environment.plan(role.other);
    environment.adopt(role.primary);
    environment.tick(role.primary);
    const roles next = roles_of(environment, first);
    std::erase_if(environment.network, [&](const in_flight_message& each) {
        return each.message.frame.has_replicate() && !each.message.frame.replicate().transfer_complete();
    });
    environment.deliver_all();
    for (int observer = 0; observer < 5; ++observer) {
        environment.set_observed_state(observer, next.primary, member_state::dead);
    }
    environment.at(next.primary).up = false;
    environment.adopt(next.backup);
    environment.plan(next.backup);
    for (int number = 0; number < 5; ++number) {
        environment.adopt(number);
    }
    environment.run_without_loss();
    for (const idempotency_key& key : keys) {
        environment.claim(next.backup, key);
    }
    environment.run_without_loss();
    for (const idempotency_key& key : keys) {
        EXPECT_EQ(environment.executions[key.bytes], 1);
    }
}

TEST(Ledger, LateTransferToEarlierProcessDoesNotCompleteShard) {
    ledger state;
    state.process_incarnation = 2;
    wire::replicate late;
    late.set_epoch(1);
    late.set_sequence(1);
    late.set_transfer_first(1);
    late.set_transfer_complete(true);
    late.set_life(1);
    const auto replies = handle_replicate(state, late, "n0");
    EXPECT_TRUE(replies.front().frame.replicated().incomplete());
    EXPECT_FALSE(state.shards.at(0).complete);
    late.set_life(2);
    EXPECT_FALSE(handle_replicate(state, late, "n0").front().frame.replicated().incomplete());
}

TEST(Ledger, OwnersInMinorityPartitionStopGranting) {
    fake_environment environment(5);
    environment.run_without_loss();
    const auto key = make_key(environment.wall_time(), 1);
    const roles role = roles_of(environment, key);
    std::vector<int> partitions(5, 0);
    partitions[static_cast<std::size_t>(role.primary)] = 1;
    partitions[static_cast<std::size_t>(role.backup)] = 1;
    environment.set_partitions(partitions);
    for (int round = 0; round < 4; ++round) {
        environment.advance(milliseconds(5000));
        environment.propagate_changes(role.other);
        environment.plan(role.other);
        for (int number = 0; number < 5; ++number) {
            if (partitions[static_cast<std::size_t>(number)] == 0) {
                environment.adopt(number);
            }
        }
        environment.run_without_loss();
    }
    ASSERT_NE(find_owning_shard(environment.map, key)->owners.epoch, 1U);
    environment.advance(milliseconds(20'000));
    std::uint64_t number = 1;
    while (find_owning_shard(environment.map, make_key(environment.wall_time(), number))->index !=
           find_owning_shard(environment.map, key)->index) {
        ++number;
    }
    const auto fresh_key = make_key(environment.wall_time(), number);
    environment.claim(role.primary, fresh_key);
    environment.claim(role.other, fresh_key);
    environment.run_without_loss();
    EXPECT_EQ(environment.executions[fresh_key.bytes], 1);
}

TEST(Ledger, ResumedOwnersDoNotGrantUntilMapIsConfirmed) {
    fake_environment environment(5);
    environment.run_without_loss();
    const auto key = make_key(environment.wall_time(), 1);
    const roles role = roles_of(environment, key);
    environment.at(role.primary).paused = true;
    environment.at(role.backup).paused = true;
    for (int observer = 0; observer < 5; ++observer) {
        const bool is_paused = observer == role.primary || observer == role.backup;
        if (!is_paused) {
            environment.set_observed_state(observer, role.primary, member_state::dead);
            environment.set_observed_state(observer, role.backup, member_state::dead);
        }
    }
    environment.advance(milliseconds(15'000));
    environment.plan(role.other);
    for (int number = 0; number < 5; ++number) {
        if (!environment.at(number).paused) {
            environment.adopt(number);
        }
    }
    environment.run_without_loss();
    environment.advance(milliseconds(20'000));
    environment.run_without_loss();
    std::uint64_t number = 1;
    while (find_owning_shard(environment.map, make_key(environment.wall_time(), number))->index !=
           find_owning_shard(environment.map, key)->index) {
        ++number;
    }
    const auto fresh_key = make_key(environment.wall_time(), number);
    environment.claim(role.other, fresh_key);
    environment.run_without_loss();
    ASSERT_EQ(environment.executions[fresh_key.bytes], 1);
    for (const int resumed : {role.primary, role.backup}) {
        environment.at(resumed).paused = false;
        fence_owner(environment.at(resumed).records, environment.now);
    }
    // A client of the resumed primary retries the key before any update has reached this node.
    environment.map_changed = environment.now;
    environment.claim(role.primary, fresh_key);
    environment.deliver_all();
    EXPECT_EQ(environment.executions[fresh_key.bytes], 1);
}

TEST(Ledger, RestartedBackupDoesNotConfirmGrantsOfFormerPrimary) {
    fake_environment environment(3);
    environment.run_without_loss();
    const auto key = make_key(environment.wall_time(), 1);
    const roles role = roles_of(environment, key);
    // The backup takes over while the former primary hasn't learned of the new map, grants the key, and then
    // restarts without its records.
    environment.set_observed_state(role.other, role.primary, member_state::dead);
    environment.plan(role.other);
    environment.adopt(role.other);
    environment.adopt(role.backup);
    environment.complete_transfers(role.backup);
    environment.claim(role.other, key);
    environment.deliver_all();
    ASSERT_EQ(environment.executions[key.bytes], 1);
    environment.restart_without_map(role.backup);
    environment.claim(role.primary, key);
    environment.deliver_all();
    EXPECT_EQ(environment.executions[key.bytes], 1);
}

TEST(Ledger, OwnerThatMissedAnEpochIsNotComplete) {
    fake_environment environment(3);
    environment.run_without_loss();
    const auto key = make_key(environment.wall_time(), 1);
    const roles role = roles_of(environment, key);
    // The key is granted in a second epoch, in which the former backup owns nothing and of which it doesn't
    // learn.
    environment.set_observed_state(role.other, role.backup, member_state::dead);
    environment.plan(role.other);
    environment.adopt(role.primary);
    environment.adopt(role.other);
    environment.complete_transfers(role.primary);
    environment.claim(role.primary, key);
    environment.deliver_all();
    ASSERT_EQ(environment.executions[key.bytes], 1);
    // In the third epoch it is the backup again, but receives no transfer; the fourth epoch makes it primary.
    environment.set_observed_state(role.primary, role.other, member_state::dead);
    environment.plan(role.primary);
    environment.adopt(role.primary);
    environment.adopt(role.backup);
    ASSERT_EQ(find_owning_shard(environment.map, key)->owners.backup,
              environment.at(role.backup).nodes.self.id);
    environment.set_observed_state(role.backup, role.primary, member_state::dead);
    environment.plan(role.backup);
    environment.adopt(role.backup);
    environment.adopt(role.other);
    ASSERT_EQ(find_owning_shard(environment.map, key)->owners.primary,
              environment.at(role.backup).nodes.self.id);
    environment.complete_transfers(role.backup);
    environment.claim(role.backup, key);
    environment.deliver_all();
    EXPECT_EQ(environment.executions[key.bytes], 1);
}
