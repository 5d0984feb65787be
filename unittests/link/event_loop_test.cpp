#include "waxwingfall/link/event_loop.h"

#include <stdexcept>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace waxwingfall;

// Guards against a process that an odd entry of another writer ends: nothing caught the exception of a
// callback.
TEST(EventLoop, ExceptionOfACallbackIsHandledAndTheLoopContinues) {
    event_loop loop;
    std::vector<std::string> failures;
    loop.on_exception([&](const std::string& what) { failures.push_back(what); });
    int later_calls = 0;
    const loop_event failing =
        loop_event::after(loop, milliseconds(1), [] { throw std::runtime_error("odd entry"); });
    const loop_event later = loop_event::after(loop, milliseconds(20), [&] { ++later_calls; });
    loop.run_for(milliseconds(50));
    EXPECT_EQ(failures, std::vector<std::string>{"odd entry"});
    EXPECT_EQ(later_calls, 1);
}

TEST(EventLoop, ExceptionWithoutAHandlerReachesTheCaller) {
    event_loop loop;
    const loop_event failing =
        loop_event::after(loop, milliseconds(1), [] { throw std::runtime_error("odd entry"); });
    EXPECT_THROW(loop.run_for(milliseconds(50)), std::runtime_error);
}
