#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_environment.h"
#include "waxwingfall/call/claimant.h"
#include "waxwingfall/call/ledger.h"
#include "waxwingfall/call/ledger_map.h"
#include "waxwingfall/support/digest.h"

using namespace waxwingfall;
using namespace waxwingfall::test;

/// Checks that no key is executed twice under any order of message loss, duplication and delay, restarts,
/// pauses, partitions, false death reports and takeovers.
RC_GTEST_PROP(Ledger, NoKeyIsExecutedTwice, ()) {
    constexpr int size = 5;
    fake_environment environment(size);
    environment.run_without_loss();
    std::vector<idempotency_key> keys;
    const int steps = *rc::gen::inRange(50, 400);
    for (int step = 0; step < steps; ++step) {
        const int number = *rc::gen::inRange(0, size);
        const int other = *rc::gen::inRange(0, size);
        auto& network = environment.network;
        const std::size_t index = network.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, network.size());
        process& chosen = environment.at(number);
        enum action {
            claim,
            deliver,
            deliver_out_of_order,
            duplicate,
            drop,
            set_observed_state,
            pause,
            plan,
            adopt,
            advance_time,
            restart,
            release_grant,
            set_partitions
        };
        const auto next = *rc::gen::weightedElement<action>({{10, claim},
                                                             {30, deliver},
                                                             {8, deliver_out_of_order},
                                                             {4, duplicate},
                                                             {3, drop},
                                                             {2, set_observed_state},
                                                             {1, pause},
                                                             {6, plan},
                                                             {6, adopt},
                                                             {10, advance_time},
                                                             {1, restart},
                                                             {3, release_grant},
                                                             {1, set_partitions}});
        if (next == claim) {
            if (keys.empty() || *rc::gen::inRange(0, 4) == 0) {
                keys.push_back(make_key(environment.wall_time(), keys.size()));
            }
            const std::size_t recent = std::min<std::size_t>(keys.size(), 4);
            environment.claim(number, keys[keys.size() - 1 - *rc::gen::inRange<std::size_t>(0, recent)]);
        } else if (next == deliver) {
            for (int delivered = 0; delivered < 4 && !network.empty(); ++delivered) {
                environment.deliver(0, false);
            }
        } else if (next == deliver_out_of_order && !network.empty()) {
            environment.deliver(index, false);
        } else if (next == duplicate && !network.empty()) {
            environment.deliver(index, true);
        } else if (next == drop && !network.empty()) {
            network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
        } else if (next == set_observed_state) {
            environment.set_observed_state(
                number, other,
                *rc::gen::element(member_state::dead, member_state::alive, member_state::leaving));
        } else if (next == pause) {
            chosen.paused = !chosen.paused;
            if (!chosen.paused) {
                fence_owner(chosen.records, environment.now);
            }
        } else if (next == plan && !chosen.paused) {
            environment.plan(number);
        } else if (next == adopt && !chosen.paused) {
            environment.adopt(number);
            confirm_owner(chosen.records, environment.map.version, environment.now);
        } else if (next == advance_time) {
            environment.advance(milliseconds(*rc::gen::inRange(1, 3000)));
            environment.propagate_changes(number);
            environment.tick(number);
        } else if (next == restart) {
            environment.restart_without_map(number);
        } else if (next == release_grant) {
            environment.release_next_grant = true;
        } else if (next == set_partitions) {
            environment.set_partitions(
                *rc::gen::container<std::vector<int>>(size, rc::gen::weightedElement<int>({{3, 0}, {1, 1}})));
        }
        for (const auto& [key, count] : environment.executions) {
            RC_ASSERT(count <= 1);
        }
        RC_ASSERT(!environment.executed_after_refusal);
    }
}
