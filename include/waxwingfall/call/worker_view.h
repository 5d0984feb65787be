#ifndef WAXWINGFALL_CALL_WORKER_VIEW_H
#define WAXWINGFALL_CALL_WORKER_VIEW_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "waxwingfall/contract/worker_report.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// What the node beside a worker knows of it, from its heartbeats and from what its connections showed.
struct worker_view {
    std::string address;   ///< of the worker; reports of others are not taken
    std::string worker_id; ///< empty until the worker has said who it is
    std::optional<worker_report> newest;
    std::string left_id; ///< of the last worker that left, as the node's last process told the others
    std::uint64_t left_start = 0;     ///< its incarnation; 0 if it is not known
    std::set<std::string> former_ids; ///< of workers that were replaced at this address
    bool reachable = false;           ///< false after a refused connection, until it is heard of again
    bool leaving = false;             ///< it said that it drains or leaves
    time_point leaving_since;
    time_point last_heard;
};

/// What became of a report.
enum class report_verdict : std::uint8_t {
    taken,
    outdated, ///< sent before one that was taken, by the same worker or by one that it replaced
    foreign   ///< of a worker at another address
};

/// Takes in a report. Those of an earlier incarnation, or late ones of this one, change nothing.
report_verdict take_report(worker_view& view, const worker_report& report, time_point now);

/// Takes over what the node's last process acknowledged: a worker that left is not used again, however late
/// its heartbeats come.
void remember_leave(worker_view& view, const std::string& worker_id, std::uint64_t incarnation);

/// Notes that nothing listens at the worker's address.
void note_unreachable(worker_view& view);

/// True if requests may be placed at the worker.
bool takes_work(const worker_view& view);

/// True if requests that arrive all the same may still run: those of nodes that have not heard of the
/// worker's leaving yet, until `drain` after it was acknowledged.
bool may_run(const worker_view& view, milliseconds drain, time_point now);

} // namespace waxwingfall

#endif
