#ifndef WAXWINGFALL_PROXY_INBOUND_PROXY_H
#define WAXWINGFALL_PROXY_INBOUND_PROXY_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/call/admission.h"
#include "waxwingfall/call/crash_detector.h"
#include "waxwingfall/call/link_share.h"
#include "waxwingfall/call/pace.h"
#include "waxwingfall/call/return_schedule.h"
#include "waxwingfall/call/upload_budget.h"
#include "waxwingfall/proxy/call_headers.h"
#include "waxwingfall/proxy/downstream.h"
#include "waxwingfall/proxy/node_context.h"
#include "waxwingfall/proxy/upstream.h"
#include "waxwingfall/store/left_worker.h"

namespace waxwingfall {

/// The inbound proxy of a node: admits requests for the local worker, forwards them, and monitors the
/// worker's health. Each refusal by it proves that the request did not run.
class inbound_proxy {
public:
    explicit inbound_proxy(node_context& node);
    ~inbound_proxy();
    inbound_proxy(const inbound_proxy&) = delete;
    inbound_proxy& operator=(const inbound_proxy&) = delete;

    /// Number of running and queued requests.
    std::size_t open_requests() const { return requests_.size(); }

    /// Applies the limits of the active document.
    void apply_contract_limits();

    /// Prepares for the end of this process: requests that wait start only if they are expected to end by
    /// `ends_by`.
    void limit_requests(time_point ends_by) { ends_by_ = ends_by; }

    /// Refuses all new requests from now on.
    void stop_admitting() { admission_.leaving = true; }

    /// Applies the notice of a node that stops to its requests that wait here.
    void handle_stop_notice(const wire::stop_notice& notice, time_point now);

    /// Learns from the store of the leave that an earlier process of this node acknowledged, or that there is
    /// none.
    void restore_leave(const std::optional<left_worker>& left);

    /// Applies the service that the settings name; to be called after each reload.
    void apply_configured_service();

    /// Processes a heartbeat or a leave report of the worker.
    report_verdict handle_worker_report(const worker_report& report);

    double load() const { return load_of(admission_); }

    /// Number of requests that the worker may run at once.
    std::uint32_t worker_limit() const { return admission_.slots; }
    bool worker_is_healthy() const { return healthy_; }

private:
    struct request;
    server_callbacks make_callbacks();
    /// Decides on the head of an upload, whose body its sender holds back.
    server_decision receive_head(const std::shared_ptr<server_exchange>& exchange);
    void receive(const std::shared_ptr<server_exchange>& exchange);
    /// Adds a request of which the head has been received.
    std::uint64_t open_request(const std::shared_ptr<server_exchange>& exchange, time_point now);
    /// The upload that `exchange` belongs to; adds a request if there is none.
    std::uint64_t find_or_open_request(const std::shared_ptr<server_exchange>& exchange, time_point now);
    worker_outlook outlook_of_uploads(time_point now) const;
    /// Carries out decisions. The server itself requests the body of the upload whose head it asks about.
    void apply_upload_update(const upload_update& update, std::uint64_t being_decided = 0);
    /// Records the progress of bodies and decides on the uploads that wait.
    void process_bodies(time_point now);
    void schedule_uploads(time_point now);
    /// Adds to the headers of a refusal when a request like it may be sent again.
    void add_return_times(std::vector<http_header>& headers, const request& refused, time_point now);
    /// The queue entry of a request whose key has been checked, with its customer.
    const waiting_request& urgency_of_customer(request& arrived) const;
    void run(std::uint64_t id);
    void apply_queue_update(const queue_update& update);
    void on_headers(std::uint64_t id, int status, const std::vector<http_header>& headers);
    /// Reads what the worker says of itself in a response.
    void observe_worker(const request& answered, const std::vector<http_header>& headers);
    void observe_rate_limit(const std::vector<http_header>& headers);
    void apply_rate_limit(const std::string& source);
    /// Sets the slots of the admission to the pace of the worker, which starts anew with each worker.
    void apply_pace(time_point now);
    void record_pace(const request& ended, run_result result);
    void on_data(std::uint64_t id, evbuffer* data);
    void on_end(std::uint64_t id, upstream_end end);
    void refuse(std::uint64_t id, error_kind kind);
    void fail(std::uint64_t id, error_kind kind);
    void remove(std::uint64_t id);
    void log_admission(const request& admitted, admission_verdict verdict);
    void log_end(const request& ended, upstream_end end);
    void sweep();
    void probe_worker();
    void handle_probe(const http_response& response);
    void probe_for_crash();
    void handle_crash_probe(const http_response& response);
    void handle_sign_of_life(time_point sent_at);
    void end_broken_request(std::uint64_t id, bool crashed, time_point now);
    void set_health(bool healthy, const std::string& reason);
    void apply_admission_limits();
    void request_health(std::function<void(const http_response&)> done) const;
    void publish_state(bool healthy, std::uint32_t slots, const std::string& reason);
    void publish_worker(const std::string& reason);
    void log_report(const worker_report& report);
    /// Excludes a worker that has left and repeats its leave in the local record, for later processes.
    void exclude_worker(const left_worker& left, const std::string& source);
    void learn_leave_from_peers();
    /// True unless a shutdown here or at the node that sent the request would cut it off.
    bool may_start(const request& open, time_point now) const;
    /// Why a request that has not been sent to the worker can't be, or nothing if it can.
    std::optional<error_kind> refusal_of(const request& open, time_point now) const;
    /// The same, also for a request like those during which workers crashed. Decides again about the
    /// request's key if a newer contract is enforced by now.
    std::optional<error_kind> check_before_run(request& open, time_point now);
    std::string health_path() const;
    std::vector<http_header> with_load(std::vector<http_header> headers) const;

    node_context& node_;
    admission admission_;
    pace_state pace_;               ///< kept up to date with either setting, so that a reload can switch
    std::string paced_worker_;      ///< id of the worker that `pace_` belongs to
    std::uint64_t paced_start_ = 0; ///< incarnation of that worker
    std::string timed_service_;     ///< whose run times `admission_` holds
    link_share link_;
    return_schedule returns_; ///< of clients that a full queue refused
    upload_budget uploads_;
    std::map<const server_exchange*, std::uint64_t> upload_ids_; ///< of the uploads that are not complete
    loop_event next_upload_;
    std::deque<queue_update> pending_updates_; ///< admission decisions not carried out yet
    upstream_pool worker_;
    std::map<std::uint64_t, std::unique_ptr<request>> requests_;
    std::uint64_t next_id_ = 1;
    std::optional<time_point> ends_by_; ///< of the requests that start now; set during a shutdown
    bool healthy_ = true;
    bool worker_leaves_ = false;      ///< a worker that sends no heartbeats responded that it drains
    bool learned_from_peers_ = false; ///< of the previous process
    bool is_trial_running_ = false;   ///< of a request like those during which workers crashed
    std::uint32_t failed_probes_ = 0;
    crash_detector crashes_;
    std::map<std::uint64_t, std::string>
        broken_fingerprints_; ///< of the requests in `crashes_`, by request id
    loop_event next_crash_probe_;
    std::uint64_t crash_probe_series_ = 0; ///< probes of earlier series decide nothing
    request_server server_;
    loop_event sweep_;
    loop_event probe_;
};

} // namespace waxwingfall

#endif
