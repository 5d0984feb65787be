#ifndef WAXWINGFALL_PROXY_METRICS_H
#define WAXWINGFALL_PROXY_METRICS_H

#include <span>
#include <string_view>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "waxwingfall/contract/document.h"
#include "waxwingfall/support/error.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Describes one metric of a node. Its exported name has the prefix "waxwingfall_".
struct metric_descriptor {
    std::string_view name;
    std::string_view type;   ///< "gauge", "counter" or "histogram"
    std::string_view labels; ///< label names, separated by commas
    std::string_view help;
};

/// All metrics of a node, in the order of docs/metrics.md.
std::span<const metric_descriptor> metric_catalogue();

/// Finds the descriptor of a metric. The name must be in the catalogue.
const metric_descriptor& find_metric(std::string_view name);

/// Counters and latency histograms with labels. Every label has a closed set of values, so the number of
/// series stays at a few dozen, however many routes and clients there are.
class node_metrics {
public:
    node_metrics();

    /// Records the outcome of a client's call that ended `age` after it was read.
    void record_call(request_kind kind, outcome result, milliseconds age);

    /// Records a request that the inbound proxy refused (`hop` "worker"), or a call that was refused or
    /// failed at the client's node (`hop` "client").
    void record_refusal(std::string_view hop, error_kind reason);

    /// Records the end of a request at the worker after `duration`; `end` is "complete", "not-connected" or
    /// "lost".
    void record_run(std::string_view end, milliseconds duration);

    /// Records the result of a call to the platform's key-value service, which took `duration` and returned
    /// a body of `bytes`.
    void record_store_call(std::string_view call, std::string_view result, milliseconds duration,
                           std::size_t bytes);

    std::vector<prometheus::MetricFamily> collect() const { return registry_.Collect(); }

    /// Counts an entry of the store that can't be read.
    void record_ignored_entry();

    /// Counts a request or connection that the server of `port` refused by itself.
    void record_server_refusal(std::string_view port, std::string_view reason);

    /// Counts an exception that left a callback.
    void record_callback_failure();

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Histogram>& calls_;
    prometheus::Family<prometheus::Histogram>& runs_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& store_calls_;
    prometheus::Family<prometheus::Histogram>& store_call_times_;
    prometheus::Family<prometheus::Counter>& store_bytes_;
    prometheus::Family<prometheus::Counter>& server_refusals_;
    prometheus::Counter& ignored_entries_;
    prometheus::Counter& callback_failures_;
};

} // namespace waxwingfall

#endif
