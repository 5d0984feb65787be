#include "waxwingfall/cluster/shutdown_plan.h"

namespace waxwingfall {

namespace {

/// Between the notification of other nodes and the end of the notice period. An update reaches all nodes of a
/// deployment in 0.1 s, and nodes with a tenth of a core process it up to 0.7 s later.
constexpr milliseconds withdrawal_lead_time{1000};

/// From a request's deadline until its response is written.
constexpr milliseconds response_margin{200};

} // namespace

shutdown_plan plan_shutdown(const shutdown_inputs& inputs) {
    shutdown_plan plan;
    plan.withdrawn = inputs.since_signal + withdrawal_lead_time >= inputs.notice_period;
    plan.refuses_requests = inputs.since_signal >= inputs.notice_period;
    const bool is_done = inputs.is_idle && inputs.handed_over;
    plan.stops = plan.refuses_requests && (is_done || inputs.since_signal > inputs.timeout);
    return plan;
}

bool ends_before_shutdown(time_point deadline, time_point stops_at) {
    return deadline + response_margin <= stops_at;
}

} // namespace waxwingfall
