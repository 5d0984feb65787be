#include <deque>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "waxwingfall/call/quarantine.h"
#include "waxwingfall/support/random_source.h"

using namespace waxwingfall;

namespace {

constexpr milliseconds step{10};
constexpr milliseconds gossip_delay{30};
constexpr milliseconds run_time{200};
constexpr std::size_t node_count = 20;
constexpr const char* harmful = "harmful";

/// Nodes with a worker each, which exchange crash records. Requests go to random workers that are up. A
/// harmful one crashes its worker when it begins; a worker is back after a while.
class simulated_mesh {
public:
    explicit simulated_mesh(std::uint64_t seed) : random_(seed), nodes_(node_count) {}

    time_point now() const { return now_; }
    std::size_t harmful_runs = 0;
    time_point third_crash = time_point::max();
    std::size_t late_harmful_runs = 0; ///< later than `stable` after the third crash
    std::size_t served = 0;
    std::size_t refused = 0; ///< harmless requests for good
    std::size_t delayed = 0; ///< harmless requests while a trial was awaited

    void send(const std::string& fingerprint) {
        const std::size_t client = random_below(random_, node_count);
        std::size_t worker = random_below(random_, node_count);
        while (nodes_[worker].up_at > now_) {
            worker = (worker + 1) % node_count;
        }
        run_verdict verdict = run_verdict_of(nodes_[client].known, fingerprint, now_);
        if (verdict == run_verdict::run || verdict == run_verdict::trial) {
            verdict = run_verdict_of(nodes_[worker].known, fingerprint, now_);
        }
        if (verdict == run_verdict::awaiting_trial || verdict == run_verdict::refuse) {
            if (fingerprint != harmful) {
                (verdict == run_verdict::refuse ? refused : delayed) += 1;
            }
            return;
        }
        if (verdict == run_verdict::trial) {
            if (nodes_[worker].trial_ends > now_) {
                delayed += fingerprint == harmful ? 0 : 1;
                return;
            }
            nodes_[worker].trial_ends = now_ + run_time;
            record_trial(nodes_[worker].known, fingerprint, worker + 1, ++clock_, now_);
            share(worker, fingerprint);
        }
        if (fingerprint == harmful) {
            harmful_runs += 1;
            late_harmful_runs += third_crash != time_point::max() && now_ > third_crash + stable ? 1 : 0;
            third_crash = harmful_runs == 3 ? now_ : third_crash;
            nodes_[worker].running.push_back({fingerprint, now_});
            crash(worker, milliseconds(4500));
            return;
        }
        nodes_[worker].running.push_back({fingerprint, now_ + run_time});
    }

    void crash(std::size_t worker, milliseconds down) {
        nodes_[worker].up_at = now_ + down;
        for (const run& ended : nodes_[worker].running) {
            if (record_crash(nodes_[worker].known, ended.fingerprint, worker + 1, ++clock_, now_)) {
                share(worker, ended.fingerprint);
            }
        }
        nodes_[worker].running.clear();
    }

    void crash_any(milliseconds down) { crash(random_below(random_, node_count), down); }

    /// A new process of the node, which knows nothing and asks another node.
    void restart(std::size_t index) {
        nodes_[index].known = {};
        for (wire::crash_record& record : suspect_records(nodes_[(index + 1) % node_count].known, now_)) {
            gossip_.push_back({now_ + gossip_delay, std::move(record)});
        }
    }

    void advance() {
        now_ += step;
        for (std::size_t index = 0; index < node_count; ++index) {
            auto& running = nodes_[index].running;
            while (!running.empty() && running.front().ends_at <= now_) {
                served += 1;
                if (record_completion(nodes_[index].known, running.front().fingerprint, ++clock_)) {
                    share(index, running.front().fingerprint);
                }
                running.pop_front();
            }
        }
        while (!gossip_.empty() && gossip_.front().arrives_at <= now_) {
            const message delivered = std::move(gossip_.front());
            gossip_.pop_front();
            for (std::size_t index = 0; index < node_count; ++index) {
                if (merge_crash_record(nodes_[index].known, delivered.record, now_)) {
                    share(index, delivered.record.fingerprint());
                }
            }
        }
    }

    random_source& random() { return random_; }

private:
    static constexpr milliseconds stable{3000};

    struct run {
        std::string fingerprint;
        time_point ends_at;
    };
    struct node {
        quarantine known;
        std::deque<run> running;
        time_point up_at;
        time_point trial_ends;
    };
    struct message {
        time_point arrives_at;
        wire::crash_record record;
    };

    void share(std::size_t sender, const std::string& fingerprint) {
        gossip_.push_back({now_ + gossip_delay, encode_crash_record(nodes_[sender].known, fingerprint)});
    }

    random_source random_;
    time_point now_{milliseconds(1'000'000)};
    std::uint64_t clock_ = 0;
    std::vector<node> nodes_;
    std::deque<message> gossip_;
};

} // namespace

// Guards against a bad request that takes down the page that everybody reads, and against one that crashes
// workers again and again beside load and restarts of nodes.
TEST(QuarantineUnderLoad, HarmfulRequestStopsAndPopularOnesAreServed) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        simulated_mesh mesh(seed);
        constexpr int steps = 12'000;
        std::size_t sent = 0;
        for (int index = 0; index < steps; ++index) {
            mesh.send("page");
            sent += 1;
            if (index % 50 == 0) {
                mesh.send("rare");
                sent += 1;
            }
            if (index > 500 && index % 40 == 0) {
                mesh.send(harmful);
            }
            if (index % 1000 == 999) {
                mesh.crash_any(milliseconds(4500));
            }
            if (index > 6000 && index % 300 == 0) {
                mesh.restart(static_cast<std::size_t>(index / 300) % node_count);
            }
            mesh.advance();
        }
        EXPECT_LE(mesh.late_harmful_runs, 3U) << seed;
        EXPECT_GE(mesh.harmful_runs, 3U) << seed;
        EXPECT_LE(mesh.refused, 5 + sent / 500) << seed;
        EXPECT_GE(mesh.served, sent * 99 / 100) << seed;
    }
}

// Guards against refusals for good after ordinary crashes, one after the other.
TEST(QuarantineUnderLoad, OrdinaryCrashesRefuseNothing) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        simulated_mesh mesh(seed);
        for (int index = 0; index < 6000; ++index) {
            if (index % 2 == 0) {
                mesh.send("page");
            }
            mesh.send("page-" + std::to_string(random_below(mesh.random(), 50)));
            if (index % 200 == 199) {
                mesh.crash_any(milliseconds(1500));
            }
            mesh.advance();
        }
        EXPECT_EQ(mesh.refused, 0U) << seed;
        EXPECT_LE(mesh.delayed, 60U) << seed;
    }
}
