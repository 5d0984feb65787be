#ifndef WAXWINGFALL_CLUSTER_LEAVE_PLAN_H
#define WAXWINGFALL_CLUSTER_LEAVE_PLAN_H

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// What bears on the steps of a graceful shutdown.
struct leave_question {
    milliseconds since{0};  ///< the node was told to stop
    milliseconds notice{0}; ///< for which the node still takes requests
    milliseconds limit{0};  ///< after which it stops, whatever is still running
    bool is_idle = false;   ///< nothing runs or waits
    bool handed_over = false;
    auto operator<=>(const leave_question&) const = default;
};

/// The steps that are due.
struct leave_plan {
    bool withdrawn = false; ///< other nodes are told to send nothing more
    bool closed = false;    ///< new requests are refused
    bool stops = false;
    auto operator<=>(const leave_plan&) const = default;
};

/// Plans a graceful shutdown. Clients go on asking the node until the balancer has noticed, so it stays for
/// the whole notice. Answers rolling restarts of many nodes under load: for most of that time the worker
/// beside it could go on working, so other nodes are told only as long before the end as their requests
/// under way need.
leave_plan plan_leave(const leave_question& question);

} // namespace waxwingfall

#endif
