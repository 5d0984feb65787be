#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/call/crash_detector.h"
#include "waxwingfall/call/quarantine.h"

using namespace waxwingfall;

namespace {

constexpr time_point start{};

} // namespace

TEST(Quarantine, SuspectsRunOneAtATimeAndAreRefusedAfterAFailedTrial) {
    quarantine state;
    EXPECT_TRUE(record_crash(state, "f", 1, 10, start));
    EXPECT_FALSE(record_crash(state, "f", 1, 10, start));
    EXPECT_EQ(run_verdict_of(state, "f", start), run_verdict::run);
    EXPECT_TRUE(record_crash(state, "f", 2, 11, start));
    EXPECT_EQ(run_verdict_of(state, "f", start), run_verdict::trial);
    EXPECT_EQ(run_verdict_of(state, "other", start), run_verdict::run);
    record_trial(state, "f", 3, 12, start);
    EXPECT_EQ(run_verdict_of(state, "f", start), run_verdict::awaiting_trial);
    EXPECT_EQ(run_verdict_of(state, "f", start + state.policy.trial_timeout), run_verdict::trial);
    time_point now = start;
    std::uint64_t time = 13;
    for (std::size_t failed = 1; failed < state.policy.trial_delays.size(); ++failed) {
        EXPECT_TRUE(record_crash(state, "f", 3, time++, now));
        const milliseconds delay = state.policy.trial_delays.at(failed);
        EXPECT_EQ(run_verdict_of(state, "f", now + delay - milliseconds(1)), run_verdict::refuse);
        now += delay;
        EXPECT_EQ(run_verdict_of(state, "f", now), run_verdict::trial);
        record_trial(state, "f", 3, time++, now);
    }
    EXPECT_TRUE(record_crash(state, "f", 3, time++, now));
    EXPECT_EQ(run_verdict_of(state, "f", now + state.policy.retention), run_verdict::refuse);
    const time_point expired = now + state.policy.retention + milliseconds(1);
    EXPECT_EQ(run_verdict_of(state, "f", expired), run_verdict::run);
    EXPECT_TRUE(record_crash(state, "f", 4, time, expired));
    EXPECT_EQ(run_verdict_of(state, "f", expired), run_verdict::run) << "what has expired counts no more";
}

// Guards against a page that everybody reads being refused after workers crashed for another reason.
TEST(Quarantine, RequestThatCompletesBetweenCrashesIsNeverRefused) {
    quarantine state;
    std::uint64_t time = 1;
    for (member_id worker = 1; worker <= 4; ++worker) {
        EXPECT_TRUE(record_crash(state, "page", worker, time++, start));
        EXPECT_EQ(run_verdict_of(state, "page", start), run_verdict::run);
        EXPECT_TRUE(record_completion(state, "page", time++));
        EXPECT_FALSE(record_completion(state, "page", time++)) << "other nodes know it already";
    }
}

// Guards against refusals of a request of which two workers crashed at the same moment.
TEST(Quarantine, CompletedTrialEndsTheSuspicion) {
    quarantine state;
    record_crash(state, "page", 1, 10, start);
    record_crash(state, "page", 2, 11, start);
    record_trial(state, "page", 3, 12, start);
    EXPECT_TRUE(record_completion(state, "page", 13));
    EXPECT_EQ(run_verdict_of(state, "page", start), run_verdict::run);
    EXPECT_FALSE(record_crash(state, "page", 1, 10, start)) << "news of a crash before the completion";
    record_crash(state, "page", 2, 14, start);
    EXPECT_EQ(run_verdict_of(state, "page", start), run_verdict::run);
}

// Guards against a trial that counts as failed because another suspect crashed another worker.
TEST(Quarantine, CrashOfAnotherWorkerDoesNotEndATrial) {
    quarantine state;
    record_crash(state, "page", 1, 10, start);
    record_crash(state, "page", 2, 11, start);
    record_trial(state, "page", 3, 12, start);
    record_crash(state, "page", 4, 13, start);
    EXPECT_EQ(run_verdict_of(state, "page", start), run_verdict::awaiting_trial);
    record_crash(state, "page", 3, 14, start);
    EXPECT_EQ(run_verdict_of(state, "page", start), run_verdict::refuse);
}

// Guards against crashes that a machine with a fast clock reports and no completion clears.
TEST(Quarantine, CompletionClearsCrashesOfTheFuture) {
    quarantine state;
    record_crash(state, "page", 1, 1'000'000, start);
    record_crash(state, "page", 2, 11, start);
    EXPECT_TRUE(record_completion(state, "page", 12));
    EXPECT_EQ(run_verdict_of(state, "page", start), run_verdict::run);
}

// Guards against nodes that disagree for good since messages reached them in different orders.
RC_GTEST_PROP(Quarantine, RecordsDoNotDependOnTheOrderOfMessages, ()) {
    std::vector<wire::crash_record> messages(*rc::gen::inRange<std::size_t>(1, 6));
    for (wire::crash_record& message : messages) {
        message.set_fingerprint("f");
        for (int crash = *rc::gen::inRange(0, 3); crash > 0; --crash) {
            wire::crash& added = *message.add_crashes();
            added.set_worker(*rc::gen::inRange<member_id>(1, 4));
            added.set_crashed_at(*rc::gen::inRange<std::uint64_t>(1, 20));
        }
        if (*rc::gen::arbitrary<bool>()) {
            wire::trial& added = *message.add_trials();
            added.set_begun_at(*rc::gen::inRange<std::uint64_t>(1, 20));
            added.set_worker(added.begun_at() % 3 + 1);
        }
        message.set_completed_at(*rc::gen::inRange<std::uint64_t>(0, 20));
    }
    quarantine one;
    quarantine other;
    for (const wire::crash_record& message : messages) {
        merge_crash_record(one, message, start);
    }
    for (auto message = messages.rbegin(); message != messages.rend(); ++message) {
        merge_crash_record(other, *message, start);
    }
    const wire::crash_record known = encode_crash_record(one, "f");
    RC_ASSERT(known.SerializeAsString() == encode_crash_record(other, "f").SerializeAsString());
    RC_ASSERT(!merge_crash_record(other, known, start));
    RC_ASSERT(run_verdict_of(one, "f", start) == run_verdict_of(other, "f", start));
}

TEST(Quarantine, CallThatCrashedTwoWorkersIsNotRetried) {
    quarantine state;
    const time_point later = start + milliseconds(1);
    std::size_t attempts = 0;
    bool is_suspect = false;
    do {
        attempts += 1;
        record_crash(state, "f", attempts, attempts, start);
        is_suspect = run_verdict_of(state, "f", start) != run_verdict::run;
    } while (is_retry_allowed({attempts, 5, false, later, is_suspect}, start));
    EXPECT_EQ(attempts, 2U);
}

// Guards against evidence from a worker that ends as planned while it runs requests.
TEST(CrashDetector, EndOfAWorkerThatLeavesIsNoEvidence) {
    EXPECT_TRUE(is_crash_evidence(true, false));
    EXPECT_FALSE(is_crash_evidence(true, true));
    EXPECT_FALSE(is_crash_evidence(false, false));
}

TEST(CrashDetector, RefusedProbeProvesCrash) {
    crash_detector state;
    EXPECT_TRUE(add_broken_request(state, 7, time_point()));
    EXPECT_FALSE(add_broken_request(state, 8, time_point()));
    const crash_finding finding = apply_probe_result(state, probe_result::refused);
    EXPECT_TRUE(finding.crashed);
    EXPECT_EQ(finding.decided, (std::vector<std::uint64_t>{7, 8}));
    EXPECT_TRUE(add_broken_request(state, 9, time_point()));
}

TEST(CrashDetector, LostProbeIsRepeated) {
    crash_detector state;
    add_broken_request(state, 7, time_point());
    EXPECT_EQ(apply_probe_result(state, probe_result::lost),
              (crash_finding{false, {}, state.policy.probe_interval}));
    EXPECT_TRUE(apply_probe_result(state, probe_result::refused).crashed);
}

TEST(CrashDetector, UnresponsiveWorkerCountsAsCrashed) {
    crash_detector state;
    add_broken_request(state, 7, time_point());
    for (std::uint32_t probe = 1; probe < state.policy.max_lost_probes; ++probe) {
        EXPECT_TRUE(apply_probe_result(state, probe_result::lost).probe_after.has_value());
    }
    EXPECT_TRUE(apply_probe_result(state, probe_result::lost).crashed);
}

TEST(CrashDetector, ResponsiveWorkerDidNotCrash) {
    crash_detector state;
    add_broken_request(state, 7, time_point());
    EXPECT_EQ(apply_probe_result(state, probe_result::responded), (crash_finding{false, {7}, std::nullopt}));
}

// Guards against a crash verdict on a worker that is full: it resets new connections and probes, while the
// requests that it runs are answered.
TEST(CrashDetector, WorkerThatAnswersEarlierRequestsDidNotCrash) {
    crash_detector state;
    const time_point broken_at{milliseconds(1000)};
    EXPECT_TRUE(add_broken_request(state, 7, broken_at));
    EXPECT_FALSE(apply_probe_result(state, probe_result::lost).crashed);
    const crash_finding alive =
        apply_sign_of_life(state, broken_at - milliseconds(100), broken_at + milliseconds(30));
    EXPECT_FALSE(alive.crashed);
    EXPECT_EQ(alive.decided, std::vector<std::uint64_t>{7});
    EXPECT_TRUE(state.broken.empty());
}

// Guards against a verdict that is put off by each further reset of a full worker.
TEST(CrashDetector, LaterResetsDoNotKeepEarlierOnesUndecided) {
    crash_detector state;
    for (int index = 0; index < 10; ++index) {
        add_broken_request(state, static_cast<std::uint64_t>(index),
                           time_point(milliseconds(1000 + index * 10)));
    }
    const crash_finding alive =
        apply_sign_of_life(state, time_point(milliseconds(900)), time_point(milliseconds(1095)));
    EXPECT_EQ(alive.decided.size(), 8U);
    EXPECT_EQ(state.broken.size(), 2U);
}

// Guards against a crash that is missed because a response was still in a socket buffer, or because the
// worker has been restarted.
TEST(CrashDetector, LateReadAndSuccessorAreNoSignsOfLife) {
    crash_detector state;
    const time_point broken_at{milliseconds(1000)};
    EXPECT_TRUE(add_broken_request(state, 7, broken_at));
    EXPECT_TRUE(apply_sign_of_life(state, broken_at - milliseconds(100), broken_at + milliseconds(1))
                    .decided.empty());
    EXPECT_TRUE(apply_sign_of_life(state, broken_at + milliseconds(50), broken_at + milliseconds(90))
                    .decided.empty());
    EXPECT_TRUE(apply_probe_result(state, probe_result::refused).crashed);
}
