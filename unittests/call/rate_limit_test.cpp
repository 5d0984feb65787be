#include "waxwingfall/call/rate_limit.h"

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/call/admission.h"
#include "waxwingfall/call/routing.h"
#include "waxwingfall/call/worker_view.h"
#include "waxwingfall/support/random_source.h"

using namespace waxwingfall;

namespace {

constexpr time_point start{};
constexpr milliseconds window{4000};
constexpr milliseconds step{5};

/// Largest number of requests that a worker may get in a window, by the users' bound.
double allowed(double per_s) {
    constexpr double overage = 1.5;
    constexpr double slack = 5;
    return overage * per_s * 4 + slack;
}

/// Counts starts, and the most of them in a window so far.
class start_counter {
public:
    void count(time_point now) {
        starts_.push_back(now);
        while (now - starts_.front() > window) {
            starts_.pop_front();
        }
        most_ = std::max(most_, starts_.size());
        ++total_;
    }
    std::size_t most() const { return most_; }
    std::size_t total() const { return total_; }

private:
    std::deque<time_point> starts_;
    std::size_t most_ = 0;
    std::size_t total_ = 0;
};

} // namespace

RC_GTEST_PROP(RateLimit, NoWindowHasMoreStartsThanAllowedWhateverArrives, ()) {
    const double per_s = *rc::gen::inRange(0, 600) / 10.0;
    random_source random(*rc::gen::arbitrary<std::uint32_t>());
    rate_limit limit;
    set_rate(limit, per_s, start);
    start_counter counter;
    for (milliseconds at{0}; at < milliseconds(12'000); at += step) {
        const std::uint64_t arrivals = random_below(random, 4) == 0 ? random_below(random, 6) : 0;
        for (std::uint64_t arrival = 0; arrival < arrivals; ++arrival) {
            if (spend_token(limit, start + at)) {
                counter.count(start + at);
            }
        }
    }
    RC_ASSERT(static_cast<double>(counter.most()) <= allowed(per_s));
}

// A bucket that starts anew must not add a second burst to the one that its earlier process has let through.
TEST(RateLimit, RestartOfTheNodeKeepsTheBound) {
    constexpr double per_s = 10;
    rate_limit limit;
    set_rate(limit, per_s, start);
    start_counter counter;
    constexpr milliseconds restart_period{500};
    for (milliseconds at{0}; at < milliseconds(20'000); at += step) {
        if (at.count() % restart_period.count() == 0) {
            limit = {};
            set_rate(limit, per_s, start + at);
        }
        if (spend_token(limit, start + at)) {
            counter.count(start + at);
        }
    }
    EXPECT_LE(static_cast<double>(counter.most()), allowed(per_s));
}

TEST(RateLimit, IsUsedUpUnderLoad) {
    constexpr double per_s = 30;
    rate_limit limit;
    set_rate(limit, per_s, start);
    start_counter counter;
    constexpr milliseconds length{20'000};
    for (milliseconds at{0}; at < length; at += step) {
        if (spend_token(limit, start + at)) {
            counter.count(start + at);
        }
    }
    EXPECT_GE(static_cast<double>(counter.total()), 0.98 * per_s * 20);
}

// A worker that takes nothing is still asked: only its next response can lift the limit.
TEST(RateLimit, LimitOfZeroStillLetsARequestThrough) {
    rate_limit limit;
    set_rate(limit, 0, start);
    EXPECT_FALSE(spend_token(limit, start));
    EXPECT_TRUE(spend_token(limit, start + milliseconds(2000)));
}

TEST(RateLimit, EndsWithTheStatement) {
    rate_limit limit;
    set_rate(limit, 1, start);
    EXPECT_FALSE(spend_token(limit, start));
    set_rate(limit, std::nullopt, start);
    EXPECT_TRUE(spend_token(limit, start));
    EXPECT_EQ(time_until_tokens(limit, 100, start), milliseconds(0));
}

// Load: 60 requests a second at a worker that takes 20, with 12 slots and runs of 100 ms.
TEST(RateLimit, RequestsBeyondTheLimitAreRefusedAtOnceAndTheOthersAreServedInTime) {
    admission state;
    state.slots = 12;
    state.queue_limit = 48;
    state.mean_run_ms = 100;
    set_rate(state.limit, 20, start);
    start_counter counter;
    std::map<std::uint64_t, time_point> arrived;
    std::multimap<time_point, std::uint64_t> running;
    constexpr milliseconds objective{600};
    constexpr milliseconds run{100};
    milliseconds longest_wait{0};
    const auto run_all = [&](const std::vector<std::uint64_t>& ids, time_point now) {
        for (const std::uint64_t id : ids) {
            counter.count(now);
            running.emplace(now + run, id);
            longest_wait = std::max(longest_wait, milliseconds(elapsed_ms(arrived.at(id), now)));
        }
    };
    std::uint64_t next = 1;
    int refused = 0;
    int late_refusals = 0;
    for (time_point now = start; now < start + milliseconds(20'000); now += step) {
        while (!running.empty() && running.begin()->first <= now) {
            running.erase(running.begin());
            run_all(release_slot(state, run, now).run, now);
        }
        if (elapsed_ms(start, now) % 50 == 0) {
            for (int arrival = 0; arrival < 3; ++arrival) {
                const std::uint64_t id = next++;
                arrived[id] = now;
                const waiting_request request{id, now + milliseconds(2500), 0, now + objective};
                const auto verdict = admit(state, request, now);
                refused += verdict == admission_verdict::refuse_overloaded ? 1 : 0;
                if (verdict == admission_verdict::run) {
                    run_all({id}, now);
                }
            }
        }
        const queue_update update = process_queue(state, now);
        late_refusals += static_cast<int>(update.expired.size());
        run_all(update.run, now);
    }
    EXPECT_LE(static_cast<double>(counter.most()), allowed(20));
    EXPECT_GE(counter.total(), 390U);
    EXPECT_LE(longest_wait + run, objective + step);
    EXPECT_GE(refused, 700);
    EXPECT_EQ(late_refusals, 0);
}

TEST(RateLimit, ReportedLoadCountsTheSlotsThatTheLimitLeaves) {
    admission state;
    state.slots = 12;
    state.running = 2;
    state.mean_run_ms = 200;
    EXPECT_EQ(reported_load(state), 2);
    set_rate(state.limit, 10, start);
    EXPECT_EQ(reported_load(state), 12);
}

// The node beside the worker has restarted: the first request of a node that was told tells it.
TEST(RateLimit, IsRelayedUntilTheWorkerRespondsToTheNewProcess) {
    worker_view view;
    EXPECT_TRUE(record_relayed_limit(view, 10));
    EXPECT_FALSE(record_relayed_limit(view, 10));
    EXPECT_EQ(view.rate_limit, 10);
    EXPECT_TRUE(record_stated_limit(view, std::nullopt));
    EXPECT_FALSE(record_relayed_limit(view, 10));
    EXPECT_EQ(view.rate_limit, std::nullopt);
}

TEST(RateLimit, OfAnEarlierWorkerDoesNotApplyToTheNextOne) {
    worker_view view;
    view.address = "10.0.0.1:80";
    worker_report report;
    report.worker_id = "one";
    report.address = view.address;
    report.incarnation = 1;
    report.sequence = 1;
    update_worker_view(view, report, start);
    record_stated_limit(view, 10);
    report.worker_id = "two";
    report.incarnation = 2;
    update_worker_view(view, report, start);
    EXPECT_EQ(view.rate_limit, std::nullopt);
    EXPECT_FALSE(view.has_stated_limit);
}

TEST(RateLimit, IsKnownWhileTheNodeBesideTheWorkerRestarts) {
    routing_table table;
    record_rate_limit(table, 7, 10, start);
    member leaving;
    leaving.id = 7;
    leaving.state = member_state::leaving;
    update_endpoint(table, leaving, start);
    EXPECT_EQ(known_rate_limit(table, 7, start + milliseconds(10'000)), 10);
    EXPECT_EQ(known_rate_limit(table, 7, start + milliseconds(40'000)), std::nullopt);
    record_rate_limit(table, 7, std::nullopt, start);
    EXPECT_EQ(known_rate_limit(table, 7, start), std::nullopt);
}
