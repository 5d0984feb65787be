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

/// Loss, doubling, delay, restarts, pauses, cuts, false deaths and takeovers in any order: no key is run
/// twice.
RC_GTEST_PROP(Ledger, NoKeyIsRunTwice, ()) {
    constexpr int size = 5;
    fake_environment environment(size);
    environment.settle_down();
    std::vector<idempotency_key> keys;
    const int steps = *rc::gen::inRange(50, 400);
    for (int step = 0; step < steps; ++step) {
        const int number = *rc::gen::inRange(0, size);
        const int other = *rc::gen::inRange(0, size);
        auto& wire = environment.wire;
        const std::size_t index = wire.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, wire.size());
        process& chosen = environment.at(number);
        enum action {
            claim,
            deliver,
            deliver_late,
            twice,
            lose,
            believe,
            pause,
            plan,
            adopt,
            wait,
            restart,
            refuse,
            cut
        };
        const auto next = *rc::gen::weightedElement<action>({{10, claim},
                                                             {30, deliver},
                                                             {8, deliver_late},
                                                             {4, twice},
                                                             {3, lose},
                                                             {2, believe},
                                                             {1, pause},
                                                             {6, plan},
                                                             {6, adopt},
                                                             {10, wait},
                                                             {1, restart},
                                                             {3, refuse},
                                                             {1, cut}});
        if (next == claim) {
            if (keys.empty() || *rc::gen::inRange(0, 4) == 0) {
                keys.push_back(key_at(environment.wall(), keys.size()));
            }
            const std::size_t recent = std::min<std::size_t>(keys.size(), 4);
            environment.claim(number, keys[keys.size() - 1 - *rc::gen::inRange<std::size_t>(0, recent)]);
        } else if (next == deliver) {
            for (int delivered = 0; delivered < 4 && !wire.empty(); ++delivered) {
                environment.deliver(0, false);
            }
        } else if (next == deliver_late && !wire.empty()) {
            environment.deliver(index, false);
        } else if (next == twice && !wire.empty()) {
            environment.deliver(index, true);
        } else if (next == lose && !wire.empty()) {
            wire.erase(wire.begin() + static_cast<std::ptrdiff_t>(index));
        } else if (next == believe) {
            environment.believe(
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
        } else if (next == wait) {
            environment.advance(milliseconds(*rc::gen::inRange(1, 3000)));
            environment.catch_up(number);
            environment.tick(number);
        } else if (next == restart) {
            environment.restart_without_map(number);
        } else if (next == refuse) {
            environment.refuse_next = true;
        } else if (next == cut) {
            environment.cut(
                *rc::gen::container<std::vector<int>>(size, rc::gen::weightedElement<int>({{3, 0}, {1, 1}})));
        }
        for (const auto& [key, count] : environment.runs) {
            RC_ASSERT(count <= 1);
        }
        RC_ASSERT(!environment.ran_after_refusal);
    }
}
