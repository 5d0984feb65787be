#ifndef WAXWINGFALL_NODE_METRICS_H
#define WAXWINGFALL_NODE_METRICS_H

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

/// One metric of a node. Its name on the page has the prefix "waxwingfall_".
struct metric_row {
    std::string_view name;
    std::string_view type;   ///< "gauge", "counter" or "histogram"
    std::string_view labels; ///< their names, with a comma between
    std::string_view help;
};

/// All metrics of a node, in the order of docs/metrics.md.
std::span<const metric_row> metric_catalogue();

/// The row of a metric; the name must be in the catalogue.
const metric_row& metric_named(std::string_view name);

/// Counters and latency histograms that have labels. Every label takes its values from a closed list, so
/// that a node has a few dozen series however many routes and clients there are.
class node_metrics {
public:
    node_metrics();

    /// Notes how a call of a client ended, `age` after it was read.
    void note_call(request_kind kind, outcome result, milliseconds age);

    /// Notes that the gate refused a request, or that a call was refused or failed at the client's node
    /// (`hop` "worker" or "client").
    void note_refusal(std::string_view hop, error_kind reason);

    /// Notes that a request left the worker after `ran`; `end` is "complete", "not-connected" or "lost".
    void note_run(std::string_view end, milliseconds ran);

    /// Notes the end of a call to the platform's key-value service.
    void note_store_call(std::string_view call, std::string_view result);

    std::vector<prometheus::MetricFamily> collect() const { return registry_.Collect(); }

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Histogram>& calls_;
    prometheus::Family<prometheus::Histogram>& runs_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& store_calls_;
};

} // namespace waxwingfall

#endif
