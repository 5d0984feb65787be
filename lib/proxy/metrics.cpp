#include "waxwingfall/proxy/metrics.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <string>

namespace waxwingfall {

namespace {

constexpr std::array catalogue{
    metric_descriptor{"call_seconds", "histogram", "kind,outcome", "calls of clients, from read to answered"},
    metric_descriptor{"run_seconds", "histogram", "end", "requests at the worker beside this node"},
    metric_descriptor{"refusals_total", "counter", "hop,reason",
                      "requests refused or failed here, by reason"},
    metric_descriptor{"store_calls_total", "counter", "call,result",
                      "calls to the platform's key-value service"},
    metric_descriptor{"store_call_seconds", "histogram", "call",
                      "calls to the platform's key-value service, watches included"},
    metric_descriptor{"store_bytes_total", "counter", "call", "bytes of responses to these calls"},
    metric_descriptor{"server_refusals_total", "counter", "port,reason",
                      "requests and connections that a port refused by itself"},
    metric_descriptor{"ignored_entries_total", "counter", "", "entries of the store that can't be read"},
    metric_descriptor{"callback_failures_total", "counter", "", "exceptions that left a callback"},
    metric_descriptor{"enforced_version", "gauge", "", "version of the document in force"},
    metric_descriptor{"newest_known_version", "gauge", "", "newest version that this node has heard of"},
    metric_descriptor{"version_conflicts_total", "counter", "",
                      "contents seen with a held version and another digest"},
    metric_descriptor{"bad_contents_total", "counter", "", "contents without the announced digest"},
    metric_descriptor{"members", "gauge", "", "nodes in the table, dead ones included"},
    metric_descriptor{"calls_received_total", "counter", "", "requests of clients"},
    metric_descriptor{"calls_answered_total", "counter", "", "requests answered by a worker"},
    metric_descriptor{"calls_not_run_total", "counter", "", "requests refused and not run"},
    metric_descriptor{"calls_unknown_total", "counter", "", "requests with an unknown outcome"},
    metric_descriptor{"calls_replayed_total", "counter", "", "answers given again from the ledger"},
    metric_descriptor{"tries_total", "counter", "", "tries at workers"},
    metric_descriptor{"retries_total", "counter", "", "tries after the first"},
    metric_descriptor{"retries_denied_total", "counter", "", "retries that the budget forbade"},
    metric_descriptor{"admitted_total", "counter", "", "requests passed to the worker"},
    metric_descriptor{"refused_by_gate_total", "counter", "", "requests refused beside the worker"},
    metric_descriptor{"callers_gone_total", "counter", "", "requests whose client closed its connection"},
    metric_descriptor{"quota_tokens_granted_total", "counter", "",
                      "tokens of customers' limits granted to nodes of the data centre"},
    metric_descriptor{"quota_tokens_lent_total", "counter", "",
                      "tokens of customers' limits lent to other data centres"},
    metric_descriptor{"quota_tokens_spent_total", "counter", "", "requests within a customer's limit"},
    metric_descriptor{"quota_refused_total", "counter", "", "requests beyond a customer's limit"},
    metric_descriptor{"quota_messages_total", "counter", "", "messages about customers' limits sent"},
    metric_descriptor{"worker_limit_per_s", "gauge", "",
                      "requests a second that the worker accepts; -1 if it states no limit"},
    metric_descriptor{"worker_pace_limit", "gauge", "", "requests that the worker may run at once"},
    metric_descriptor{"evidence_age_ms", "gauge", "",
                      "age of the evidence that the document in force is the newest; -1 without evidence"},
    metric_descriptor{"open_calls", "gauge", "", "requests of clients under way"},
    metric_descriptor{"open_requests", "gauge", "", "requests at the worker or waiting for it"},
    metric_descriptor{"open_connections", "gauge", "", "accepted connections of the ports for requests"},
    metric_descriptor{"request_bytes", "gauge", "", "bytes that requests and unsent responses occupy"},
    metric_descriptor{"control_frames_sent_total", "counter", "", "messages to other nodes"},
    metric_descriptor{"control_bytes_sent_total", "counter", "", "bytes of messages to other nodes"},
    metric_descriptor{"control_frames_received_total", "counter", "", "messages from other nodes"},
    metric_descriptor{"control_bytes_received_total", "counter", "", "bytes of messages from other nodes"},
    metric_descriptor{"control_frames_dropped_total", "counter", "", "messages dropped before a full queue"},
    metric_descriptor{"control_frames_refused_total", "counter", "", "messages that did not parse"},
    metric_descriptor{"control_frames_unaddressed_total", "counter", "",
                      "messages not sent, as their address could not be read"},
    metric_descriptor{"implausible_records_total", "counter", "",
                      "records of nodes that were ignored, as no node could refute them"},
    metric_descriptor{"control_peers", "gauge", "", "open sockets to other nodes"},
    metric_descriptor{"ledger_records", "gauge", "", "idempotency keys recorded here"},
    metric_descriptor{"ledger_answer_bytes", "gauge", "", "bytes of answers kept for them"},
};

/// Upper bounds in seconds, doubling from the time of one hop inside a data centre to the longest time that
/// clients wait.
const prometheus::Histogram::BucketBoundaries& latency_buckets() {
    static const prometheus::Histogram::BucketBoundaries bounds{0.005, 0.01, 0.02, 0.04, 0.08, 0.16,
                                                                0.32,  0.64, 1.28, 2.56, 5.12, 10.24};
    return bounds;
}

constexpr double ms_per_s = 1000.0;

double to_seconds(milliseconds time) {
    return static_cast<double>(time.count()) / ms_per_s;
}

template <typename Builder>
auto& build_family(Builder builder, std::string_view name, prometheus::Registry& registry) {
    return builder.Name("waxwingfall_" + std::string(name))
        .Help(std::string(find_metric(name).help))
        .Register(registry);
}

} // namespace

std::span<const metric_descriptor> metric_catalogue() {
    return catalogue;
}

const metric_descriptor& find_metric(std::string_view name) {
    const auto found = std::find_if(catalogue.begin(), catalogue.end(),
                                    [&](const metric_descriptor& metric) { return metric.name == name; });
    assert(found != catalogue.end() && "every metric has a catalogue entry");
    return *found;
}

node_metrics::node_metrics()
    : calls_(build_family(prometheus::BuildHistogram(), "call_seconds", registry_)),
      runs_(build_family(prometheus::BuildHistogram(), "run_seconds", registry_)),
      refusals_(build_family(prometheus::BuildCounter(), "refusals_total", registry_)),
      store_calls_(build_family(prometheus::BuildCounter(), "store_calls_total", registry_)),
      store_call_times_(build_family(prometheus::BuildHistogram(), "store_call_seconds", registry_)),
      store_bytes_(build_family(prometheus::BuildCounter(), "store_bytes_total", registry_)),
      server_refusals_(build_family(prometheus::BuildCounter(), "server_refusals_total", registry_)),
      ignored_entries_(build_family(prometheus::BuildCounter(), "ignored_entries_total", registry_).Add({})),
      callback_failures_(
          build_family(prometheus::BuildCounter(), "callback_failures_total", registry_).Add({})) {}

void node_metrics::record_ignored_entry() {
    ignored_entries_.Increment();
}

void node_metrics::record_server_refusal(std::string_view port, std::string_view reason) {
    server_refusals_.Add({{"port", std::string(port)}, {"reason", std::string(reason)}}).Increment();
}

void node_metrics::record_callback_failure() {
    callback_failures_.Increment();
}

void node_metrics::record_call(request_kind kind, outcome result, milliseconds age) {
    calls_
        .Add({{"kind", std::string(kind_name(kind))}, {"outcome", std::string(outcome_name(result))}},
             latency_buckets())
        .Observe(to_seconds(age));
}

void node_metrics::record_refusal(std::string_view hop, error_kind reason) {
    refusals_.Add({{"hop", std::string(hop)}, {"reason", std::string(error_info_of(reason).name)}})
        .Increment();
}

void node_metrics::record_run(std::string_view end, milliseconds duration) {
    runs_.Add({{"end", std::string(end)}}, latency_buckets()).Observe(to_seconds(duration));
}

void node_metrics::record_store_call(std::string_view call, std::string_view result, milliseconds duration,
                                     std::size_t bytes) {
    store_calls_.Add({{"call", std::string(call)}, {"result", std::string(result)}}).Increment();
    store_call_times_.Add({{"call", std::string(call)}}, latency_buckets()).Observe(to_seconds(duration));
    store_bytes_.Add({{"call", std::string(call)}}).Increment(static_cast<double>(bytes));
}

} // namespace waxwingfall
