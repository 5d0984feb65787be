#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "waxwingfall/call/rate_limit.h"
#include "waxwingfall/support/random_source.h"

using namespace waxwingfall;

// Compares ways to share a worker's rate limit among the nodes that call it. docs/design/rate-limits.md holds
// the figures.
namespace {

constexpr time_point start{};
constexpr milliseconds window{4000};
constexpr milliseconds length{60'000};
constexpr milliseconds report_delay{60}; ///< from the node beside the worker back to the client's node
constexpr double per_s = 30;
constexpr double allowed = 1.5 * per_s * 4 + 5;
constexpr double ms_per_s = 1000;

enum class design { by_membership, by_demand, beside_worker };

struct outcome_of_design {
    std::size_t most_in_window = 0;
    double used = 0; ///< share of the limit that was used although more was demanded
};

/// A rate that a node learns of later than it was worked out.
struct delayed_rate {
    time_point at;
    double per_s;
};

/// Simulates nodes whose demand is twice the limit, half of it at a tenth of the nodes, which are others
/// every ten seconds. At 30 s a third of the nodes restart and know only themselves for two seconds.
outcome_of_design simulate(design kind, std::size_t nodes, std::uint64_t seed) {
    random_source random(seed);
    std::vector<rate_limit> buckets(nodes);
    for (rate_limit& bucket : buckets) {
        set_rate(bucket, per_s / static_cast<double>(nodes), start);
    }
    rate_limit shared;
    set_rate(shared, per_s, start);
    std::vector<double> demand(nodes, 0); ///< seen by the node beside the worker, decaying over a second
    std::multimap<time_point, std::pair<std::size_t, double>> reports;
    std::deque<time_point> starts;
    std::size_t total = 0;
    outcome_of_design result;
    const std::size_t busy_nodes = std::max<std::size_t>(1, nodes / 10);
    for (milliseconds at{0}; at < length; at += milliseconds(1)) {
        const time_point now = start + at;
        for (; !reports.empty() && reports.begin()->first <= now; reports.erase(reports.begin())) {
            set_rate(buckets[reports.begin()->second.first], reports.begin()->second.second, now);
        }
        const bool restarts = at == milliseconds(30'000);
        const bool knows_all = at == milliseconds(32'000);
        for (std::size_t node = 0; node < nodes / 3 && (restarts || knows_all); ++node) {
            if (kind == design::by_membership) {
                buckets[node] = restarts ? rate_limit{} : buckets[node];
                set_rate(buckets[node], restarts ? per_s : per_s / static_cast<double>(nodes), now);
            } else if (kind == design::by_demand && restarts) {
                buckets[node] = {};
                set_rate(buckets[node], per_s / static_cast<double>(nodes), now);
            }
        }
        for (double& share : demand) {
            share *= 1 - 1 / ms_per_s;
        }
        if (static_cast<double>(random_below(random, 1000)) >= 2 * per_s) {
            continue;
        }
        const std::size_t first_busy = static_cast<std::size_t>(at.count() / 10'000) * busy_nodes % nodes;
        const std::size_t node = random_below(random, 2) == 0
                                     ? (first_busy + random_below(random, busy_nodes)) % nodes
                                     : random_below(random, nodes);
        const bool runs = spend_token(kind == design::beside_worker ? shared : buckets[node], now);
        demand[node] += 1;
        if (kind == design::by_demand) {
            double sum = 0;
            for (const double share : demand) {
                sum += share;
            }
            reports.emplace(now + report_delay, std::pair(node, per_s * demand[node] / sum));
        }
        if (!runs) {
            continue;
        }
        ++total;
        starts.push_back(now);
        while (now - starts.front() > window) {
            starts.pop_front();
        }
        result.most_in_window = std::max(result.most_in_window, starts.size());
    }
    result.used = static_cast<double>(total) / (per_s * static_cast<double>(length.count()) / ms_per_s);
    return result;
}

} // namespace

TEST(LimitDesigns, BucketBesideTheWorkerKeepsAndUsesTheLimitAtAnySize) {
    for (const std::size_t nodes : {9U, 88U, 920U}) {
        for (const auto& [kind, name] : {std::pair(design::by_membership, "shares by membership"),
                                         std::pair(design::by_demand, "shares by demand"),
                                         std::pair(design::beside_worker, "bucket beside the worker")}) {
            std::size_t most = 0;
            double used = 0;
            constexpr std::uint64_t seeds = 5;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const outcome_of_design result = simulate(kind, nodes, seed);
                most = std::max(most, result.most_in_window);
                used += result.used / seeds;
            }
            std::printf("%3zu nodes, %-25s at most %3zu in 4 s (%3.0f allowed), %4.2f of the limit used\n",
                        nodes, name, most, allowed, used);
            if (kind == design::beside_worker) {
                EXPECT_LE(static_cast<double>(most), allowed);
                EXPECT_GE(used, 0.95);
            }
        }
    }
}
