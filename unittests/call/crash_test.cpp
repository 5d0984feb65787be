#include <gtest/gtest.h>

#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/call/crash_detector.h"
#include "waxwingfall/call/quarantine.h"

using namespace waxwingfall;

namespace {

constexpr time_point start{};

} // namespace

TEST(Quarantine, RequiresCrashesOfTwoWorkersAndExpires) {
    quarantine state;
    EXPECT_TRUE(record_crash(state, "f", 1, start));
    EXPECT_FALSE(record_crash(state, "f", 1, start));
    EXPECT_FALSE(is_quarantined(state, "f", start));
    EXPECT_TRUE(record_crash(state, "f", 2, start));
    EXPECT_TRUE(is_quarantined(state, "f", start));
    EXPECT_FALSE(is_quarantined(state, "innocent", start));
    EXPECT_FALSE(is_quarantined(state, "f", start + state.policy.retention + milliseconds(1)));
}

TEST(Quarantine, CallThatCrashedTwoWorkersIsNotRetried) {
    quarantine state;
    const time_point later = start + milliseconds(1);
    std::size_t attempts = 0;
    do {
        attempts += 1;
        record_crash(state, "f", attempts, start);
    } while (is_retry_allowed({attempts, 5, false, later, is_quarantined(state, "f", start)}, start));
    EXPECT_EQ(attempts, 2U);
}

TEST(CrashDetector, RefusedProbeProvesCrash) {
    crash_detector state;
    EXPECT_TRUE(add_broken_request(state, 7));
    EXPECT_FALSE(add_broken_request(state, 8));
    const crash_finding finding = apply_probe_result(state, probe_result::refused);
    EXPECT_TRUE(finding.crashed);
    EXPECT_EQ(finding.decided, (std::vector<std::uint64_t>{7, 8}));
    EXPECT_TRUE(add_broken_request(state, 9));
}

TEST(CrashDetector, LostProbeIsRepeated) {
    crash_detector state;
    add_broken_request(state, 7);
    EXPECT_EQ(apply_probe_result(state, probe_result::lost),
              (crash_finding{false, {}, state.policy.probe_interval}));
    EXPECT_TRUE(apply_probe_result(state, probe_result::refused).crashed);
}

TEST(CrashDetector, UnresponsiveWorkerCountsAsCrashed) {
    crash_detector state;
    add_broken_request(state, 7);
    for (std::uint32_t probe = 1; probe < state.policy.max_lost_probes; ++probe) {
        EXPECT_TRUE(apply_probe_result(state, probe_result::lost).probe_after.has_value());
    }
    EXPECT_TRUE(apply_probe_result(state, probe_result::lost).crashed);
}

TEST(CrashDetector, ResponsiveWorkerDidNotCrash) {
    crash_detector state;
    add_broken_request(state, 7);
    EXPECT_EQ(apply_probe_result(state, probe_result::responded), (crash_finding{false, {7}, std::nullopt}));
}
