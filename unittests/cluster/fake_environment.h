#ifndef WAXWINGFALL_UNITTESTS_CLUSTER_FAKE_ENVIRONMENT_H
#define WAXWINGFALL_UNITTESTS_CLUSTER_FAKE_ENVIRONMENT_H

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "waxwingfall/cluster/control_plane.h"
#include "waxwingfall/support/digest.h"

namespace waxwingfall::test {

constexpr const char* unsupported_text = "refuse-me";

/// Contents are plain strings here; a delta is the string that is appended.
inline content_rules text_rules(bool is_old_release) {
    content_rules rules;
    rules.validation_error = [is_old_release](std::string_view bytes) {
        return std::string(is_old_release && bytes.find(unsupported_text) != std::string_view::npos
                               ? "unsupported content"
                               : "");
    };
    rules.make_delta = [](std::string_view base, std::string_view target) {
        const bool grows = target.starts_with(base);
        return grows ? std::optional(std::string(target.substr(base.size()))) : std::nullopt;
    };
    rules.apply_delta = [](std::string_view base, std::string_view delta) {
        return std::optional(std::string(base) + std::string(delta));
    };
    return rules;
}

inline member make_member(int number, const std::string& data_centre) {
    member result;
    result.name = "n" + std::to_string(number);
    result.id = stable_hash(result.name);
    result.data_centre = data_centre;
    result.region = "r";
    result.service = "s";
    result.control_address = result.name;
    result.inbound_address = result.name;
    result.slots = 1;
    return result;
}

struct fake_node {
    control_plane state;
    bool up = true;
    bool paused = false;
    std::uint64_t highest_enforced = 0; ///< by the current process
};

struct in_flight {
    int from = 0;
    std::string to;
    wire::frame frame;
};

/// Nodes of three data centres, their messages in flight, and the list of accepted contents, which serves
/// both as the platform's head and as the test oracle.
class fake_environment {
public:
    explicit fake_environment(int size) {
        for (int number = 0; number < size; ++number) {
            nodes.emplace_back();
            start(number);
        }
    }

    std::string data_centre_of_number(int number) const { return "dc" + std::to_string(number % 3); }

    void start(int number) {
        member self = make_member(number, data_centre_of_number(number));
        self.incarnation = 1 + static_cast<std::uint64_t>(elapsed_ms(time_point{}, now));
        std::vector<std::string> contacts;
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            contacts.push_back("n" + std::to_string(other));
        }
        control_plane_policy policy;
        nodes[static_cast<std::size_t>(number)] = {
            start_control_plane(policy, "e", self, contacts, text_rules(number == old_release_node), now),
            true, false, 0};
    }

    bool is_partitioned(int from, int to) const {
        const std::string source = data_centre_of_number(from);
        return source != data_centre_of_number(to) &&
               (source == partitioned_data_centre || data_centre_of_number(to) == partitioned_data_centre);
    }

    void send(int from, control_plane_effects effects) {
        check(from);
        for (outgoing& message : effects.messages) {
            message.frame.set_environment("e");
            message.frame.set_reply_to("n" + std::to_string(from));
            message.frame.set_sender(nodes[static_cast<std::size_t>(from)].state.nodes.self.id);
            messages.push_back({from, message.address, message.frame});
        }
    }

    void deliver(std::size_t index, bool duplicate) {
        const in_flight message = messages[index];
        if (!duplicate) {
            messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(index));
        }
        const int to = std::stoi(message.to.substr(1));
        fake_node& receiver = nodes[static_cast<std::size_t>(to)];
        if (receiver.up && !receiver.paused && !is_partitioned(message.from, to)) {
            send(to, handle_frame(receiver.state, message.frame, now, random));
        }
    }

    void tick(int number) {
        fake_node& node = nodes[static_cast<std::size_t>(number)];
        if (node.up && !node.paused) {
            send(number, tick_control_plane(node.state, now, random));
        }
    }

    /// Accepts the latest content with `addition` appended to it.
    void accept(const std::string& addition) {
        const std::string bytes = (accepted.empty() ? "" : accepted.back().bytes) + addition;
        accepted.push_back({{accepted.size() + 1, digest_of(bytes)}, bytes});
    }

    /// Lets a bridge read the platform; `age` counts the versions by which the response is out of date.
    void read_platform(int number, std::size_t age) {
        fake_node& reader = nodes[static_cast<std::size_t>(number)];
        const bool can_read = reader.up && !reader.paused && platform_up && accepted.size() > age;
        if (can_read && local_bridge_rank(reader.state.nodes)) {
            send(number, apply_platform_contract(reader.state, accepted[accepted.size() - 1 - age], now));
        }
    }

    /// Records violations of the invariants: versions never decrease within a process, only complete accepted
    /// contents are enforced, and the old release enforces no unsupported content.
    void check(int number) {
        fake_node& checked = nodes[static_cast<std::size_t>(number)];
        const versioned_content& enforced = checked.state.contracts.enforced;
        version_decreased |= enforced.id.version < checked.highest_enforced;
        checked.highest_enforced = std::max(checked.highest_enforced, enforced.id.version);
        if (enforced.id.version > 0) {
            const bool version_exists = enforced.id.version <= accepted.size();
            enforced_unaccepted |=
                !version_exists || accepted[enforced.id.version - 1].bytes != enforced.bytes;
        }
        if (number == old_release_node) {
            enforced_unsupported |= enforced.bytes.find(unsupported_text) != std::string::npos;
        }
    }

    /// Ends pauses, the partition and the platform outage, and simulates `rounds` rounds of 100 ms, each
    /// until no message is in flight.
    void run_without_faults(int rounds) {
        partitioned_data_centre.clear();
        platform_up = true;
        for (fake_node& node : nodes) {
            node.paused = false;
        }
        for (int round = 0; round < rounds; ++round) {
            now += milliseconds(100);
            for (std::size_t number = 0; number < nodes.size(); ++number) {
                tick(static_cast<int>(number));
                read_platform(static_cast<int>(number), 0);
            }
            for (int limit = 0; limit < 20'000 && !messages.empty(); ++limit) {
                deliver(0, false);
            }
        }
    }

    std::vector<fake_node> nodes;
    std::deque<in_flight> messages;
    std::vector<versioned_content> accepted;
    std::string partitioned_data_centre;
    bool platform_up = true;
    int old_release_node = -1;
    bool version_decreased = false;
    bool enforced_unaccepted = false;
    bool enforced_unsupported = false;
    time_point now{};
    random_source random{11};
};

inline std::uint64_t lowest_version(const fake_environment& environment) {
    std::uint64_t lowest = ~std::uint64_t{0};
    for (const fake_node& node : environment.nodes) {
        if (node.up) {
            lowest = std::min(lowest, node.state.contracts.enforced.id.version);
        }
    }
    return lowest;
}

} // namespace waxwingfall::test

#endif
