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

TEST(LogBudget, LimitsTheLineRateAndCountsSuppressedLines) {
    log_budget budget;
    int written = 0;
    for (int index = 0; index < 10'000; ++index) {
        written += try_acquire_line(budget, 1, rate, start + milliseconds(index)) ? 1 : 0;
    }
    EXPECT_GE(written, 100);
    EXPECT_LE(written, 105);
    EXPECT_EQ(collect_suppressed(budget, start + milliseconds(10'000)),
              (std::vector<suppressed_lines>{{1, static_cast<std::uint64_t>(10'000 - written)}}));
    EXPECT_TRUE(collect_suppressed(budget, start + milliseconds(20'000)).empty());
}

TEST(LogBudget, FloodOfOneKindDoesNotSuppressOtherKinds) {
    log_budget budget;
    for (int index = 0; index < 100; ++index) {
        try_acquire_line(budget, 1, rate, start);
    }
    EXPECT_TRUE(try_acquire_line(budget, 2, rate, start));
}

TEST(LogBudget, ReportsSuppressedLinesAtMostOncePerSecond) {
    log_budget budget;
    for (int index = 0; index < 10; ++index) {
        try_acquire_line(budget, 1, rate, start);
    }
    EXPECT_EQ(collect_suppressed(budget, start).size(), 1U);
    for (int index = 0; index < 10; ++index) {
        try_acquire_line(budget, 1, rate, start);
    }
    EXPECT_TRUE(collect_suppressed(budget, start + milliseconds(999)).empty());
    EXPECT_EQ(collect_suppressed(budget, start + milliseconds(1000)).size(), 1U);
}

TEST(EventLog, FullPipeDropsLinesWithoutBlocking) {
    int pipe_fds[2];
    ASSERT_EQ(pipe(pipe_fds), 0);
    const int saved_stdout = dup(STDOUT_FILENO);
    dup2(pipe_fds[1], STDOUT_FILENO);
    {
        event_log log("p", "");
        for (int index = 0; index < 5000; ++index) {
            log.write(event_id::member_joined, 1, {{"member", "a"}});
        }
        std::string output(1 << 20, '\0');
        const ssize_t first_size = read(pipe_fds[0], output.data(), output.size());
        ASSERT_GT(first_size, 0);
        log.write(event_id::member_joined, 1, {{"member", "last"}});
        const ssize_t second_size = read(pipe_fds[0], output.data(), output.size());
        output.resize(static_cast<std::size_t>(std::max<ssize_t>(second_size, 0)));
        EXPECT_NE(output.find("lines-suppressed"), std::string::npos) << output;
    }
    dup2(saved_stdout, STDOUT_FILENO);
    close(saved_stdout);
    close(pipe_fds[0]);
    close(pipe_fds[1]);
}
