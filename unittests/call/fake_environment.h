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

constexpr wall_ms initial_wall_time = 1'800'000'000'000;

inline member make_member(int number) {
    member created;
    created.name = "n" + std::to_string(number);
    created.id = stable_hash(created.name);
    created.data_centre = "dc";
    created.control_address = created.name;
    created.inbound_address = created.name;
    created.slots = 1;
    created.incarnation = 1;
    return created;
}

/// One process of a small simulated environment: its membership table, its ledger, and its clients' claims.
struct process {
    membership nodes;
    ledger records;
    claimant claims;
    bool up = true;
    bool paused = false;
    int partition = 0; ///< side of a network partition within the data centre
};

struct in_flight_message {
    int from = 0;
    outgoing message;
};

/// Simulates processes that share one ledger map, which stands for the copy stored in the platform. The test
/// decides which messages are delivered, lost, duplicated or delayed. Used grants are counted by key.
class fake_environment {
public:
    explicit fake_environment(int size) {
        for (int number = 0; number < size; ++number) {
            restart(number);
        }
        publish();
        // Passes the initial activation delay of the data centre, so that keys created from now on have an
        // owning shard.
        advance(milliseconds(10'000));
    }

    void restart(int number) {
        if (static_cast<std::size_t>(number) >= processes.size()) {
            processes.resize(static_cast<std::size_t>(number) + 1);
        }
        process created;
        created.nodes = start_membership({}, make_member(number), {}, now);
        created.records.policy.transfer_batch_size = 1;
        created.records.process_incarnation = ++last_process_incarnation;
        processes[static_cast<std::size_t>(number)] = created;
        for (std::size_t other = 0; other < processes.size(); ++other) {
            merge_members(processes[static_cast<std::size_t>(number)].nodes,
                          {make_member(static_cast<int>(other))}, "dc", now);
            merge_members(processes[other].nodes, {make_member(number)}, "dc", now);
        }
        adopt(number);
    }

    /// Starts a new process under the same name that has joined but has no map yet, and fences it.
    void restart_without_map(int number) {
        const ledger_map newest = map;
        map = {};
        restart(number);
        map = newest;
        fence_owner(at(number).records, now);
    }

    process& at(int number) { return processes[static_cast<std::size_t>(number)]; }

    /// Makes `observer` see `subject` in the given state; `alive` comes with the next incarnation.
    void set_observed_state(int observer, int subject, member_state state) {
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

    /// Plans the next map from the view of the given process and stores it, unless that process holds an
    /// outdated map.
    void plan(int number) {
        if (!at(number).up) {
            return;
        }
        const auto next =
            plan_ledger_change(at(number).records.map.version == map.version ? map : at(number).records.map,
                               policy, at(number).nodes, now, wall_time());
        if (next && at(number).records.map.version == map.version) {
            map = *next;
            map_changed = now;
        }
    }

    /// Partitions the network: messages pass only between processes with the same number in `partitions`.
    /// Each side declares the other dead after the detection time.
    void set_partitions(const std::vector<int>& partitions) {
        for (std::size_t number = 0; number < processes.size(); ++number) {
            processes[number].partition = partitions[number];
        }
        partitioned_at = now;
        failures_detected = false;
    }

    /// Applies the changes that reach a node within five seconds by membership and distribution: map updates
    /// from reachable nodes, deaths on the other side of a partition, and recoveries after the partition has
    /// healed.
    void propagate_changes(int number) {
        constexpr milliseconds detection_time{5000};
        if (!failures_detected && now - partitioned_at > detection_time) {
            failures_detected = true;
            for (std::size_t observer = 0; observer < processes.size(); ++observer) {
                for (std::size_t subject = 0; subject < processes.size(); ++subject) {
                    const bool partitioned = processes[observer].partition != processes[subject].partition;
                    set_observed_state(static_cast<int>(observer), static_cast<int>(subject),
                                       partitioned ? member_state::dead : member_state::alive);
                }
            }
        }
        if (now - map_changed > detection_time && !at(number).paused &&
            sees_majority(at(number).nodes, now, milliseconds(3600000))) {
            adopt(number);
        }
    }

    void publish() {
        advance(policy.stable_time + milliseconds(1));
        const auto first = plan_ledger_change({}, policy, at(0).nodes, now, wall_time());
        ASSERT_TRUE(first.has_value());
        map = *first;
        for (std::size_t number = 0; number < processes.size(); ++number) {
            adopt(static_cast<int>(number));
        }
    }

    void adopt(int number) {
        adopt_ledger_map(at(number).records, map, at(number).nodes.self.id, now, wall_time());
    }

    void claim(int number, const idempotency_key& key) {
        if (!at(number).up || at(number).paused) {
            return;
        }
        claimant_effects effects;
        const auto attempt_id = start_claim(at(number).claims, at(number).records.map, at(number).nodes, key,
                                            "f", now, random, effects);
        if (attempt_id) {
            key_of_attempt[*attempt_id] = key.bytes;
        }
        send(number, std::move(effects.messages));
    }

    void send(int from, std::vector<outgoing> messages) {
        for (outgoing& message : messages) {
            network.push_back({from, std::move(message)});
        }
    }

    /// Delivers the message at `index`. With `duplicate` it also stays in flight, to be delivered again.
    void deliver(std::size_t index, bool duplicate) {
        const in_flight_message delivery = network[index];
        if (!duplicate) {
            network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
        }
        for (std::size_t number = 0; number < processes.size(); ++number) {
            if (processes[number].nodes.self.control_address == delivery.message.address) {
                receive(static_cast<int>(number), delivery);
            }
        }
    }

    void receive(int number, const in_flight_message& delivery) {
        process& receiver = at(number);
        if (!receiver.up || receiver.paused || receiver.partition != at(delivery.from).partition) {
            return;
        }
        propagate_changes(number);
        const wire::frame& frame = delivery.message.frame;
        const std::string reply_to = at(delivery.from).nodes.self.control_address;
        if (frame.has_claim()) {
            send(number,
                 handle_claim(receiver.records, frame.claim(), reply_to, receiver.nodes, now, wall_time()));
        } else if (frame.has_replicate()) {
            send(number, handle_replicate(receiver.records, frame.replicate(), reply_to));
        } else if (frame.has_replicated()) {
            send(number, handle_replicated(receiver.records, frame.replicated()));
        } else if (frame.has_settle()) {
            send(number, handle_settle(receiver.records, frame.settle(), reply_to, receiver.nodes));
        } else if (frame.has_claim_answer()) {
            auto effects = handle_claim_response(receiver.claims, frame.claim_answer(), receiver.records.map,
                                                 receiver.nodes, now);
            send(number, std::move(effects.messages));
            for (const claim_result& result : effects.results) {
                if (result.verdict == claim_verdict::granted && release_next_grant) {
                    release_next_grant = false;
                    send(number, release_claim(receiver.claims, receiver.records.map, receiver.nodes,
                                               result.attempt_id, result.key, now)
                                     .messages);
                } else if (result.verdict == claim_verdict::granted) {
                    executions[key_of_attempt.at(result.attempt_id)] += 1;
                    executed_after_refusal |= refused_attempts.contains(result.attempt_id);
                    granted_results.emplace_back(number, result);
                }
            }
        }
    }

    void tick(int number) {
        process& ticked = at(number);
        if (!ticked.up || ticked.paused) {
            return;
        }
        send(number, tick_ledger(ticked.records, ticked.nodes, now, wall_time()));
        auto effects = tick_claimant(ticked.claims, ticked.records.map, ticked.nodes, now);
        for (const claim_result& result : effects.results) {
            refused_attempts.insert(result.attempt_id);
        }
        send(number, std::move(effects.messages));
    }

    /// Delivers all messages in order, including those sent in response.
    void deliver_all() {
        while (!network.empty()) {
            deliver(0, false);
        }
    }

    /// Lets a new primary learn the process incarnation of its backup and transfer its shard, without loss or
    /// delay.
    void complete_transfers(int number) {
        constexpr int rounds = 3;
        for (int round = 0; round < rounds; ++round) {
            tick(number);
            deliver_all();
        }
    }

    void advance(milliseconds by) { now += by; }
    wall_ms wall_time() const {
        return initial_wall_time + static_cast<wall_ms>(elapsed_ms(time_point{}, now));
    }

    /// Runs all processes for four seconds, delivering every message.
    void run_without_loss() {
        for (int round = 0; round < 40; ++round) {
            for (std::size_t number = 0; number < processes.size(); ++number) {
                tick(static_cast<int>(number));
            }
            deliver_all();
            advance(milliseconds(100));
        }
    }

    std::vector<process> processes;
    std::deque<in_flight_message> network;
    ledger_map map;
    ledger_map_policy policy;
    time_point now{};
    random_source random{7};
    std::map<std::string, int> executions; ///< number of used grants by key
    std::set<std::uint64_t> refused_attempts;
    bool executed_after_refusal = false;
    std::uint64_t last_process_incarnation = 0;
    /// Releases the next grant, as if the worker's node had refused the request.
    bool release_next_grant = false;
    time_point map_changed{};
    time_point partitioned_at{};
    bool failures_detected = true;
    std::map<std::uint64_t, std::string> key_of_attempt;
    std::vector<std::pair<int, claim_result>> granted_results;
};

inline idempotency_key make_key(wall_ms created_at, std::uint64_t number) {
    return *parse_idempotency_key(make_idempotency_key(created_at, number, number * 77));
}

/// The numbers of the processes that own a key's shard, and of one that doesn't own it.
struct roles {
    int primary = 0;
    int backup = 0;
    int other = 0;
};

inline roles roles_of(fake_environment& environment, const idempotency_key& key) {
    const auto location = find_owning_shard(environment.map, key);
    roles found;
    for (int number = 0; number < static_cast<int>(environment.processes.size()); ++number) {
        const member_id id = environment.at(number).nodes.self.id;
        if (id == location->owners.primary) {
            found.primary = number;
        } else if (id == location->owners.backup) {
            found.backup = number;
        } else {
            found.other = number;
        }
    }
    return found;
}

} // namespace waxwingfall::test

#endif
