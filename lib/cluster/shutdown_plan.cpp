#include "waxwingfall/cluster/shutdown_plan.h"

namespace waxwingfall {

namespace {

/// Between the notification of other nodes and the end of the notice period. An update reaches all nodes of a
/// deployment in 0.1 s, and nodes with a tenth of a core process it up to 0.7 s later.
constexpr milliseconds withdrawal_lead_time{1000};

/// From a request's deadline until its response is written.
constexpr milliseconds response_margin{200};

/// For the final responses to open calls to be written before the process ends.
constexpr milliseconds final_response_time{200};

/// Until a node with a tenth of a core has processed a message, and its response has arrived.
constexpr milliseconds refusal_lag{700};

} // namespace

shutdown_plan plan_shutdown(const shutdown_inputs& inputs) {
    shutdown_plan plan;
    plan.withdrawn = inputs.since_signal + withdrawal_lead_time >= inputs.notice_period;
    plan.refuses_requests = inputs.since_signal >= inputs.notice_period;
    const bool is_done = inputs.is_idle && inputs.handed_over;
    plan.ends_calls = plan.refuses_requests && inputs.since_signal + final_response_time >= inputs.timeout;
    plan.stops = plan.refuses_requests && (is_done || inputs.since_signal > inputs.timeout);
    return plan;
}

bool ends_before_shutdown(time_point deadline, time_point stops_at) {
    return deadline + response_margin + final_response_time <= stops_at;
}

time_point local_requests_end(time_point stops_at) {
    return stops_at - final_response_time;
}

time_point forwarded_requests_end(time_point stops_at) {
    return local_requests_end(stops_at) - refusal_lag;
}

bool may_start_before_shutdown(const unstarted_request& request, std::optional<time_point> ends_by,
                               time_point now) {
    return !ends_by || request.deadline <= *ends_by || now + request.expected_run < *ends_by;
}

} // namespace waxwingfall
