#include "waxwingfall/support/log_budget.h"

#include <string>
#include <unistd.h>

#include <gtest/gtest.h>

#include "waxwingfall/support/event_log.h"

using namespace waxwingfall;

namespace {

constexpr time_point start = time_point() + milliseconds(10'000);
constexpr line_rate rate{10, 5};

} // namespace

TEST(LogBudget, BoundsAFloodAndCountsWhatIsLeftOut) {
    log_budget budget;
    int written = 0;
    for (int index = 0; index < 10'000; ++index) {
        written += take_line(budget, 1, rate, start + milliseconds(index)) ? 1 : 0;
    }
    EXPECT_GE(written, 100);
    EXPECT_LE(written, 105);
    EXPECT_EQ(take_suppressed(budget, start + milliseconds(10'000)),
              (std::vector<suppressed_lines>{{1, static_cast<std::uint64_t>(10'000 - written)}}));
    EXPECT_TRUE(take_suppressed(budget, start + milliseconds(20'000)).empty());
}

TEST(LogBudget, AFloodOfOneKindLeavesRoomForTheOthers) {
    log_budget budget;
    for (int index = 0; index < 100; ++index) {
        take_line(budget, 1, rate, start);
    }
    EXPECT_TRUE(take_line(budget, 2, rate, start));
}

TEST(LogBudget, ReportsAtMostOnceASecond) {
    log_budget budget;
    for (int index = 0; index < 10; ++index) {
        take_line(budget, 1, rate, start);
    }
    EXPECT_EQ(take_suppressed(budget, start).size(), 1U);
    for (int index = 0; index < 10; ++index) {
        take_line(budget, 1, rate, start);
    }
    EXPECT_TRUE(take_suppressed(budget, start + milliseconds(999)).empty());
    EXPECT_EQ(take_suppressed(budget, start + milliseconds(1000)).size(), 1U);
}

TEST(EventLog, AFullPipeLosesLinesAndNeverBlocks) {
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    const int saved = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    {
        event_log log("p", "");
        for (int index = 0; index < 5000; ++index) {
            log.write(event_id::member_joined, 1, {{"member", "a"}});
        }
        std::string taken(1 << 20, '\0');
        const ssize_t size = read(ends[0], taken.data(), taken.size());
        ASSERT_GT(size, 0);
        log.write(event_id::member_joined, 1, {{"member", "last"}});
        const ssize_t rest = read(ends[0], taken.data(), taken.size());
        taken.resize(static_cast<std::size_t>(std::max<ssize_t>(rest, 0)));
        EXPECT_NE(taken.find("lines-suppressed"), std::string::npos) << taken;
    }
    dup2(saved, STDOUT_FILENO);
    close(saved);
    close(ends[0]);
    close(ends[1]);
}
