#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_environment.h"

using namespace waxwingfall;
using namespace waxwingfall::test;

/// Applies random faults in random order, then runs without faults. Versions never decrease, only accepted
/// contents are enforced, and all nodes converge to the newest version.
RC_GTEST_PROP(Distribution, EnforcesOnlyAcceptedVersionsUnderFaultsAndThenConverges, ()) {
    const int size = *rc::gen::inRange(3, 13);
    fake_environment environment(size);
    environment.run_without_faults(10);
    const int steps = *rc::gen::inRange(20, 200);
    for (int step = 0; step < steps; ++step) {
        const int number = *rc::gen::inRange(0, size);
        auto& messages = environment.messages;
        const std::size_t index = messages.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, messages.size());
        fake_node& chosen = environment.nodes[static_cast<std::size_t>(number)];
        enum action {
            accept,
            read,
            read_old,
            deliver,
            deliver_late,
            duplicate,
            drop,
            kill,
            restart,
            pause,
            partition,
            outage,
            wait
        };
        const auto next = *rc::gen::weightedElement<action>({{3, accept},
                                                             {6, read},
                                                             {2, read_old},
                                                             {20, deliver},
                                                             {10, deliver_late},
                                                             {4, duplicate},
                                                             {4, drop},
                                                             {2, kill},
                                                             {3, restart},
                                                             {2, pause},
                                                             {1, partition},
                                                             {1, outage},
                                                             {12, wait}});
        if (next == accept) {
            environment.accept(std::string(1, *rc::gen::inRange('a', 'z')));
        } else if (next == read || next == read_old) {
            environment.read_platform(number, next == read ? 0 : *rc::gen::inRange<std::size_t>(0, 3));
        } else if (next == deliver) {
            for (int count = 0; count < 10 && !messages.empty(); ++count) {
                environment.deliver(0, false);
            }
        } else if ((next == deliver_late || next == duplicate) && !messages.empty()) {
            environment.deliver(index, next == duplicate);
        } else if (next == drop && !messages.empty()) {
            messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(index));
        } else if (next == kill) {
            chosen.up = false;
        } else if (next == restart) {
            environment.start(number);
        } else if (next == pause) {
            chosen.paused = !chosen.paused;
        } else if (next == partition) {
            environment.partitioned_data_centre = *rc::gen::element<std::string>("", "dc0", "dc1", "dc2");
        } else if (next == outage) {
            environment.platform_up = !environment.platform_up;
        } else if (next == wait) {
            environment.now += milliseconds(*rc::gen::inRange(1, 800));
            for (int ticked = 0; ticked < size; ++ticked) {
                environment.tick(ticked);
            }
        }
        RC_ASSERT(!environment.version_decreased);
        RC_ASSERT(!environment.enforced_unaccepted);
    }
    for (int number = 0; number < size; ++number) {
        if (!environment.nodes[static_cast<std::size_t>(number)].up) {
            environment.start(number);
        }
    }
    environment.accept("last");
    environment.run_without_faults(250);
    RC_ASSERT(!environment.version_decreased);
    RC_ASSERT(!environment.enforced_unaccepted);
    RC_ASSERT(lowest_version(environment) == environment.accepted.size());
}
