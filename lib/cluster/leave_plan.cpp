#include "waxwingfall/cluster/leave_plan.h"

namespace waxwingfall {

namespace {

/// Between the word to other nodes and the end of the notice. News takes 0.1 s to all nodes of a deployment,
/// and nodes with a tenth of a core come to it up to 0.7 s later.
constexpr milliseconds withdrawal{1000};

} // namespace

leave_plan plan_leave(const leave_question& question) {
    leave_plan plan;
    plan.withdrawn = question.since + withdrawal >= question.notice;
    plan.closed = question.since >= question.notice;
    const bool is_done = question.is_idle && question.handed_over;
    plan.stops = plan.closed && (is_done || question.since > question.limit);
    return plan;
}

} // namespace waxwingfall
