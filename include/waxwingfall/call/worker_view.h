#ifndef WAXWINGFALL_CALL_WORKER_VIEW_H
#define WAXWINGFALL_CALL_WORKER_VIEW_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "waxwingfall/contract/worker_report.h"
#include "waxwingfall/support/error.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// What a node knows of its worker, from heartbeats and from the state of its connections.
struct worker_view {
    std::string address;            ///< of the worker; reports from other addresses are rejected
    std::string configured_service; ///< that the settings name
    bool configured_later = false;  ///< the settings have named it since the current worker's first report
    std::string worker_id;          ///< empty until the worker has sent a report
    std::optional<worker_report> latest_report;
    /// Workers whose leave an earlier process of this node acknowledged, with their incarnation, 0 if
    /// unknown.
    std::map<std::string, std::uint64_t> left_workers;
    bool leaves_known = true;      ///< false in a new process until it has learned of such leaves
    time_point reports_trusted_at; ///< while they are unknown: a heartbeat that arrives later is not older
    std::optional<worker_report> deferred_report; ///< the latest one that may be older than such a leave
    std::set<std::string> replaced_ids;           ///< of workers that were replaced at this address
    bool reachable = false;                       ///< false after a refused connection, until the next report
    bool leaving = false;                         ///< it reported that it drains or leaves
    time_point leaving_since;
    time_point last_report_at;
    /// Requests a second that it accepts from all nodes together; unset if it states no limit.
    std::optional<double> rate_limit;
    bool has_stated_limit = false; ///< a response to this process stated the limit, or that there is none
};

/// How a report was handled.
enum class report_verdict : std::uint8_t {
    applied,
    outdated, ///< sent before one that was applied, by the same worker or by one that it replaced
    deferred, ///< may be older than a leave that is not known yet; applied once the leaves are known
    foreign   ///< from a worker at another address
};

/// Applies a report. Reports of an earlier incarnation and late ones of this incarnation change nothing.
report_verdict update_worker_view(worker_view& view, const worker_report& report, time_point now);

/// Records the service that the settings name, at the start and after each reload.
void configure_service(worker_view& view, const std::string& service);

/// Returns the service that runs on the node's machine. While a worker is there, its own report says so,
/// since the settings state what the operator has planned, maybe for its successor. Once it has left or can't
/// be reached, the settings do if they have named another service since the worker came.
const std::string& local_service(const worker_view& view);

/// Marks the leaves that earlier processes of this node acknowledged as unknown. Until they are known, or
/// until no heartbeat from before the start of this process can arrive any more, workers are not used.
void await_leaves(worker_view& view, time_point now);

/// Marks the leaves of earlier processes as known, after `record_leave` for each of them. Applies the report
/// that was deferred, and returns it if it took effect.
std::optional<worker_report> apply_deferred_report(worker_view& view, time_point now);

/// Restores a leave that an earlier process of this node acknowledged: the worker is not used again, however
/// late its heartbeats arrive.
void record_leave(worker_view& view, const std::string& worker_id, std::uint64_t incarnation);

/// Returns the leave that an acknowledgement of `report` would promise to later processes of this node, or
/// nothing if there is none: the report is no leave, or it is one of a worker that another has replaced. To
/// be asked after `update_worker_view`, also about reports that it found outdated, which may repeat a leave.
std::optional<left_worker> find_leave(const worker_view& view, const worker_report& report);

/// Records that the worker says in a response that it leaves. True if it had not said so before.
bool record_leaving(worker_view& view, time_point now);

/// Records that nothing listens at the worker's address.
void mark_unreachable(worker_view& view);

/// Records the limit that a response of the worker states, or that it states none. True if it is a new one.
bool record_stated_limit(worker_view& view, std::optional<double> per_s);

/// Takes over a limit that the worker stated to another node. Only this node sees all requests, but its
/// earlier process may have received the responses. Has no effect once the worker has responded to this
/// process; true if the limit is a new one.
bool record_relayed_limit(worker_view& view, double per_s);

/// True if new requests may be sent to the worker.
bool accepts_requests(const worker_view& view);

/// True if a request that arrives may run although the worker is leaving: nodes that have not learned of this
/// yet send it requests for up to `drain` after the leave was reported.
bool may_admit(const worker_view& view, milliseconds drain, time_point now);

/// Returns why a request for `service` can't be sent to the worker at `now`, or nothing if it can. An empty
/// `service` stands for any. To be asked when a request arrives and again when it leaves a queue: its worker
/// may have left meanwhile, and a worker of another service may have got its address.
std::optional<error_kind> find_refusal(const worker_view& view, const std::string& service,
                                       milliseconds drain, time_point now);

} // namespace waxwingfall

#endif
