#include <deque>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/support/digest.h"
#include "waxwingfall/zone/zone.h"

using namespace waxwingfall;

namespace {

constexpr const char* bad_word = "refuse-me";

/// Contents are plain texts here: a delta is the text that is appended.
content_rules text_rules(bool is_old_program) {
    content_rules rules;
    rules.why_refused = [is_old_program](std::string_view bytes) {
        return std::string(is_old_program && bytes.find(bad_word) != std::string_view::npos ? "not known here"
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

member make_member(int number, const std::string& data_centre) {
    member made;
    made.name = "n" + std::to_string(number);
    made.id = stable_hash(made.name);
    made.data_centre = data_centre;
    made.region = "r";
    made.service = "s";
    made.control_address = made.name;
    made.inbound_address = made.name;
    made.slots = 1;
    return made;
}

struct fake_node {
    zone state;
    bool up = true;
    bool paused = false;
    std::uint64_t highest_enforced = 0; ///< of this process
};

struct in_flight {
    int from = 0;
    std::string to;
    wire::frame frame;
};

/// Nodes of three data centres, their messages, and the platform's head as an oracle: the list of accepted
/// contents.
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
        std::vector<std::string> hints;
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            hints.push_back("n" + std::to_string(other));
        }
        zone_policy policy;
        nodes[static_cast<std::size_t>(number)] = {
            start_zone(policy, "e", self, hints, text_rules(number == old_program), now), true, false, 0};
    }

    bool is_cut(int from, int to) const {
        const std::string one = data_centre_of_number(from);
        return one != data_centre_of_number(to) && (one == cut_off || data_centre_of_number(to) == cut_off);
    }

    void send(int from, zone_effects effects) {
        check(from);
        for (outgoing& message : effects.messages) {
            message.frame.set_environment("e");
            message.frame.set_reply_to("n" + std::to_string(from));
            message.frame.set_sender(nodes[static_cast<std::size_t>(from)].state.nodes.self.id);
            wire.push_back({from, message.address, message.frame});
        }
    }

    void deliver(std::size_t index, bool twice) {
        const in_flight taken = wire[index];
        if (!twice) {
            wire.erase(wire.begin() + static_cast<std::ptrdiff_t>(index));
        }
        const int to = std::stoi(taken.to.substr(1));
        fake_node& receiver = nodes[static_cast<std::size_t>(to)];
        if (receiver.up && !receiver.paused && !is_cut(taken.from, to)) {
            send(to, handle_frame(receiver.state, taken.frame, now, random));
        }
    }

    void tick(int number) {
        fake_node& ticked = nodes[static_cast<std::size_t>(number)];
        if (ticked.up && !ticked.paused) {
            send(number, tick_zone(ticked.state, now, random));
        }
    }

    /// Accepts new content; the oracle keeps it.
    void accept(const std::string& addition) {
        const std::string bytes = (accepted.empty() ? "" : accepted.back().bytes) + addition;
        accepted.push_back({{accepted.size() + 1, digest_of(bytes)}, bytes});
    }

    /// A bridge reads the platform, perhaps an old answer of it.
    void read_platform(int number, std::size_t age) {
        fake_node& reader = nodes[static_cast<std::size_t>(number)];
        const bool can_read = reader.up && !reader.paused && platform_up && accepted.size() > age;
        if (can_read && own_bridge_rank(reader.state.nodes)) {
            send(number, take_platform_contract(reader.state, accepted[accepted.size() - 1 - age], now));
        }
    }

    /// What must hold at every moment: no way back within a process, and only accepted contents, whole.
    void check(int number) {
        fake_node& checked = nodes[static_cast<std::size_t>(number)];
        const marked_content& enforced = checked.state.contracts.enforced;
        went_back |= enforced.mark.version < checked.highest_enforced;
        checked.highest_enforced = std::max(checked.highest_enforced, enforced.mark.version);
        if (enforced.mark.version > 0) {
            const bool known = enforced.mark.version <= accepted.size();
            not_accepted |= !known || accepted[enforced.mark.version - 1].bytes != enforced.bytes;
        }
        if (number == old_program) {
            enforced_bad |= enforced.bytes.find(bad_word) != std::string::npos;
        }
    }

    /// Lets time pass without faults until all is quiet.
    void heal(int rounds) {
        cut_off.clear();
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
            for (int limit = 0; limit < 20'000 && !wire.empty(); ++limit) {
                deliver(0, false);
            }
        }
    }

    std::vector<fake_node> nodes;
    std::deque<in_flight> wire;
    std::vector<marked_content> accepted;
    std::string cut_off;
    bool platform_up = true;
    int old_program = -1;
    bool went_back = false;
    bool not_accepted = false;
    bool enforced_bad = false;
    time_point now{};
    random_source random{11};
};

std::uint64_t lowest_version(const fake_environment& environment) {
    std::uint64_t lowest = ~std::uint64_t{0};
    for (const fake_node& node : environment.nodes) {
        if (node.up) {
            lowest = std::min(lowest, node.state.contracts.enforced.mark.version);
        }
    }
    return lowest;
}

} // namespace

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

/// Faults of every kind in any order; then quiet. Nothing goes back, only accepted contents are in force, and
/// all nodes end with the newest.
RC_GTEST_PROP(Distribution, HoldsUnderFaultsAndConvergesAfterThem, ()) {
    const int size = *rc::gen::inRange(3, 13);
    fake_environment environment(size);
    environment.heal(10);
    const int steps = *rc::gen::inRange(20, 200);
    for (int step = 0; step < steps; ++step) {
        const int number = *rc::gen::inRange(0, size);
        auto& wire = environment.wire;
        const std::size_t index = wire.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, wire.size());
        fake_node& chosen = environment.nodes[static_cast<std::size_t>(number)];
        enum action {
            accept,
            read,
            read_old,
            deliver,
            deliver_late,
            twice,
            lose,
            kill,
            restart,
            pause,
            cut,
            outage,
            wait
        };
        const auto next = *rc::gen::weightedElement<action>({{3, accept},
                                                             {6, read},
                                                             {2, read_old},
                                                             {20, deliver},
                                                             {10, deliver_late},
                                                             {4, twice},
                                                             {4, lose},
                                                             {2, kill},
                                                             {3, restart},
                                                             {2, pause},
                                                             {1, cut},
                                                             {1, outage},
                                                             {12, wait}});
        if (next == accept) {
            environment.accept(std::string(1, *rc::gen::inRange('a', 'z')));
        } else if (next == read || next == read_old) {
            environment.read_platform(number, next == read ? 0 : *rc::gen::inRange<std::size_t>(0, 3));
        } else if (next == deliver) {
            for (int count = 0; count < 10 && !wire.empty(); ++count) {
                environment.deliver(0, false);
            }
        } else if ((next == deliver_late || next == twice) && !wire.empty()) {
            environment.deliver(index, next == twice);
        } else if (next == lose && !wire.empty()) {
            wire.erase(wire.begin() + static_cast<std::ptrdiff_t>(index));
        } else if (next == kill) {
            chosen.up = false;
        } else if (next == restart) {
            environment.start(number);
        } else if (next == pause) {
            chosen.paused = !chosen.paused;
        } else if (next == cut) {
            environment.cut_off = *rc::gen::element<std::string>("", "dc0", "dc1", "dc2");
        } else if (next == outage) {
            environment.platform_up = !environment.platform_up;
        } else if (next == wait) {
            environment.now += milliseconds(*rc::gen::inRange(1, 800));
            for (int each = 0; each < size; ++each) {
                environment.tick(each);
            }
        }
        RC_ASSERT(!environment.went_back);
        RC_ASSERT(!environment.not_accepted);
    }
    for (int number = 0; number < size; ++number) {
        if (!environment.nodes[static_cast<std::size_t>(number)].up) {
            environment.start(number);
        }
    }
    environment.accept("last");
    environment.heal(250);
    RC_ASSERT(!environment.went_back);
    RC_ASSERT(!environment.not_accepted);
    RC_ASSERT(lowest_version(environment) == environment.accepted.size());
}
