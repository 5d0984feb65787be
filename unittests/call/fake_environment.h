#ifndef WAXWINGFALL_UNITTESTS_CALL_FAKE_ENVIRONMENT_H
#define WAXWINGFALL_UNITTESTS_CALL_FAKE_ENVIRONMENT_H

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "waxwingfall/call/claimant.h"
#include "waxwingfall/call/ledger.h"
#include "waxwingfall/call/ledger_map.h"
#include "waxwingfall/support/digest.h"

namespace waxwingfall::test {

constexpr wall_ms wall_start = 1'800'000'000'000;

inline member make_member(int number) {
    member made;
    made.name = "n" + std::to_string(number);
    made.id = stable_hash(made.name);
    made.data_centre = "dc";
    made.control_address = made.name;
    made.inbound_address = made.name;
    made.slots = 1;
    made.incarnation = 1;
    return made;
}

/// One process of a small fake environment: what it knows of the others, its records, and its callers'
/// claims.
struct process {
    membership nodes;
    ledger records;
    claimant claims;
    bool up = true;
    bool paused = false;
    int side = 0; ///< of a cut inside the data centre
};

struct in_flight {
    int from = 0;
    outgoing message;
};

/// Processes that share one map, kept by an oracle of the platform. Messages are delivered, lost, doubled or
/// delayed by the test's choice; each grant is counted by key.
class fake_environment {
public:
    explicit fake_environment(int size) {
        for (int number = 0; number < size; ++number) {
            restart(number);
        }
        publish();
        // Long enough after the birth of the first zone that keys made now have a home.
        advance(milliseconds(10'000));
    }

    void restart(int number) {
        if (static_cast<std::size_t>(number) >= processes.size()) {
            processes.resize(static_cast<std::size_t>(number) + 1);
        }
        process fresh;
        fresh.nodes = start_membership({}, make_member(number), {}, now);
        fresh.records.policy.transfer_records = 1;
        fresh.records.life = ++lives;
        processes[static_cast<std::size_t>(number)] = fresh;
        for (std::size_t other = 0; other < processes.size(); ++other) {
            merge_members(processes[static_cast<std::size_t>(number)].nodes,
                          {make_member(static_cast<int>(other))}, "dc", now);
            merge_members(processes[other].nodes, {make_member(number)}, "dc", now);
        }
        adopt(number);
    }

    /// A new process under the same name that has joined and knows nothing yet.
    void restart_without_map(int number) {
        const ledger_map newest = map;
        map = {};
        restart(number);
        map = newest;
        fence_owner(at(number).records, now);
    }

    process& at(int number) { return processes[static_cast<std::size_t>(number)]; }

    /// The view of `observer` that `subject` is dead, or alive again under the next incarnation.
    void believe(int observer, int subject, member_state state) {
        if (observer == subject) {
            return;
        }
        membership& nodes = at(observer).nodes;
        member record = nodes.members.at(make_member(subject).id);
        if (state == member_state::alive) {
            record.incarnation += 1;
        }
        record.state = state;
        merge_members(nodes, {record}, "dc", now);
    }

    /// Plans the next map as the given process sees it, and writes it unless another was written meanwhile.
    void plan(int number) {
        if (!at(number).up) {
            return;
        }
        const auto next =
            plan_ledger_change(at(number).records.map.version == map.version ? map : at(number).records.map,
                               policy, at(number).nodes, now, wall());
        if (next && at(number).records.map.version == map.version) {
            map = *next;
            map_changed = now;
        }
    }

    /// Cuts some processes off from the rest; each side takes the other for dead once it has had time to
    /// notice.
    void cut(const std::vector<int>& sides) {
        for (std::size_t number = 0; number < processes.size(); ++number) {
            processes[number].side = sides[number];
        }
        cut_at = now;
        noticed = false;
    }

    /// What the other parts of a node see to within five seconds: news of maps from every node that can be
    /// reached, deaths on the other side of a cut, and returns after it has healed.
    void catch_up(int number) {
        constexpr milliseconds notice_time{5000};
        if (!noticed && now - cut_at > notice_time) {
            noticed = true;
            for (std::size_t observer = 0; observer < processes.size(); ++observer) {
                for (std::size_t subject = 0; subject < processes.size(); ++subject) {
                    const bool apart = processes[observer].side != processes[subject].side;
                    believe(static_cast<int>(observer), static_cast<int>(subject),
                            apart ? member_state::dead : member_state::alive);
                }
            }
        }
        if (now - map_changed > notice_time && !at(number).paused &&
            sees_majority(at(number).nodes, now, milliseconds(3600000))) {
            adopt(number);
        }
    }

    void publish() {
        advance(policy.stable_time + milliseconds(1));
        const auto first = plan_ledger_change({}, policy, at(0).nodes, now, wall());
        ASSERT_TRUE(first.has_value());
        map = *first;
        for (std::size_t number = 0; number < processes.size(); ++number) {
            adopt(static_cast<int>(number));
        }
    }

    void adopt(int number) {
        adopt_ledger_map(at(number).records, map, at(number).nodes.self.id, now, wall());
    }

    void claim(int number, const idempotency_key& key) {
        if (!at(number).up || at(number).paused) {
            return;
        }
        claimant_effects effects;
        const auto attempt = start_claim(at(number).claims, at(number).records.map, at(number).nodes, key,
                                         "f", now, random, effects);
        if (attempt) {
            attempt_key[*attempt] = key.bytes;
        }
        send(number, std::move(effects.messages));
    }

    void send(int from, std::vector<outgoing> messages) {
        for (outgoing& message : messages) {
            wire.push_back({from, std::move(message)});
        }
    }

    /// Delivers the message at `index`; it stays in flight if it is to be doubled.
    void deliver(std::size_t index, bool twice) {
        const in_flight taken = wire[index];
        if (!twice) {
            wire.erase(wire.begin() + static_cast<std::ptrdiff_t>(index));
        }
        for (std::size_t number = 0; number < processes.size(); ++number) {
            if (processes[number].nodes.self.control_address == taken.message.address) {
                receive(static_cast<int>(number), taken);
            }
        }
    }

    void receive(int number, const in_flight& taken) {
        process& receiver = at(number);
        if (!receiver.up || receiver.paused || receiver.side != at(taken.from).side) {
            return;
        }
        catch_up(number);
        const wire::frame& frame = taken.message.frame;
        const std::string reply_to = at(taken.from).nodes.self.control_address;
        if (frame.has_claim()) {
            send(number,
                 handle_claim(receiver.records, frame.claim(), reply_to, receiver.nodes, now, wall()));
        } else if (frame.has_replicate()) {
            send(number, handle_replicate(receiver.records, frame.replicate(), reply_to));
        } else if (frame.has_replicated()) {
            send(number, handle_replicated(receiver.records, frame.replicated()));
        } else if (frame.has_settle()) {
            send(number, handle_settle(receiver.records, frame.settle(), reply_to, receiver.nodes));
        } else if (frame.has_claim_answer()) {
            auto effects = handle_claim_answer(receiver.claims, frame.claim_answer(), receiver.records.map,
                                               receiver.nodes, now);
            send(number, std::move(effects.messages));
            for (const claim_result& result : effects.results) {
                if (result.verdict == claim_verdict::granted && refuse_next) {
                    refuse_next = false;
                    send(number, release_claim(receiver.claims, receiver.records.map, receiver.nodes,
                                               result.attempt, result.key, now)
                                     .messages);
                } else if (result.verdict == claim_verdict::granted) {
                    runs[attempt_key.at(result.attempt)] += 1;
                    ran_after_refusal |= told_unavailable.contains(result.attempt);
                    run_by.emplace_back(number, result);
                }
            }
        }
    }

    void tick(int number) {
        process& ticked = at(number);
        if (!ticked.up || ticked.paused) {
            return;
        }
        send(number, tick_ledger(ticked.records, ticked.nodes, now, wall()));
        auto effects = tick_claimant(ticked.claims, ticked.records.map, ticked.nodes, now);
        for (const claim_result& result : effects.results) {
            told_unavailable.insert(result.attempt);
        }
        send(number, std::move(effects.messages));
    }

    /// Delivers every message, and those that follow from them, in order.
    void deliver_all() {
        while (!wire.empty()) {
            deliver(0, false);
        }
    }

    /// Lets a new primary name its backup's process and hand its shard over, without loss and in no time.
    void hand_over(int number) {
        constexpr int rounds = 3;
        for (int round = 0; round < rounds; ++round) {
            tick(number);
            deliver_all();
        }
    }

    void advance(milliseconds by) { now += by; }
    wall_ms wall() const { return wall_start + static_cast<wall_ms>(elapsed_ms(time_point{}, now)); }

    /// Lets all messages through, without loss.
    void settle_down() {
        for (int round = 0; round < 40; ++round) {
            for (std::size_t number = 0; number < processes.size(); ++number) {
                tick(static_cast<int>(number));
            }
            deliver_all();
            advance(milliseconds(100));
        }
    }

    std::vector<process> processes;
    std::deque<in_flight> wire;
    ledger_map map;
    ledger_map_policy policy;
    time_point now{};
    random_source random{7};
    std::map<std::string, int> runs; ///< grants by key that were used
    std::set<std::uint64_t> told_unavailable;
    bool ran_after_refusal = false;
    std::uint64_t lives = 0;
    bool refuse_next = false; ///< the next granted request is refused by its worker's node, and handed back
    time_point map_changed{};
    time_point cut_at{};
    bool noticed = true;
    std::map<std::uint64_t, std::string> attempt_key;
    std::vector<std::pair<int, claim_result>> run_by;
};

inline idempotency_key key_at(wall_ms made, std::uint64_t number) {
    return *parse_idempotency_key(make_idempotency_key(made, number, number * 77));
}

/// The numbers of the processes that own a key's shard, and of one that does not.
struct roles {
    int primary = 0;
    int backup = 0;
    int other = 0;
};

inline roles roles_of(fake_environment& environment, const idempotency_key& key) {
    const auto home = home_of(environment.map, key);
    roles found;
    for (int number = 0; number < static_cast<int>(environment.processes.size()); ++number) {
        const member_id id = environment.at(number).nodes.self.id;
        if (id == home->owners.primary) {
            found.primary = number;
        } else if (id == home->owners.backup) {
            found.backup = number;
        } else {
            found.other = number;
        }
    }
    return found;
}

} // namespace waxwingfall::test

#endif
