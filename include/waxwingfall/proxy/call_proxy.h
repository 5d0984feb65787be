#ifndef WAXWINGFALL_PROXY_CALL_PROXY_H
#define WAXWINGFALL_PROXY_CALL_PROXY_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/call/client_retry_tracker.h"
#include "waxwingfall/call/routing.h"
#include "waxwingfall/proxy/call_headers.h"
#include "waxwingfall/proxy/downstream.h"
#include "waxwingfall/proxy/node_context.h"
#include "waxwingfall/proxy/upstream.h"

namespace waxwingfall {

/// The outbound side of a node, which serves clients: finds the route, claims the idempotency key of a
/// non-idempotent request, picks a worker, retries where that is safe, and returns to each client either the
/// full response or an error that states whether the request may have run.
class call_proxy {
public:
    explicit call_proxy(node_context& node);
    ~call_proxy();
    call_proxy(const call_proxy&) = delete;
    call_proxy& operator=(const call_proxy&) = delete;

    /// Processes verdicts on claims: starts, replays or fails the calls that wait for them.
    void handle_claims(const claimant_effects& effects);

    /// Starts or refuses the calls that wait for a token of their customer, as far as that is decided.
    void resume_waiting_for_token(time_point now);

    std::size_t open_calls() const { return calls_.size(); }
    std::size_t open_connections() const { return workers_.open_connections(); }

    /// Prepares for the end of this process at `stops_at`: other nodes start the requests of open and later
    /// calls only if these are expected to end before.
    void plan_stop(time_point stops_at) { stops_at_ = stops_at; }

    /// Repeats to other nodes which requests have to end before this process does.
    void send_stop_notices(time_point now);

    /// Accepts no new connections. Requests on open ones are refused unless they end before the node stops.
    void stop_accepting();

    /// Sends the final response to each call that is still open: that it has not run where that is certain.
    void end_calls();

    /// Applies the limits of the active document.
    void apply_contract_limits();

private:
    struct call;
    void receive(std::shared_ptr<server_exchange> exchange);
    void start(std::uint64_t id);
    /// Decides about the key of a call, and so its priority, unless the contract that the node enforces has
    /// done so already, and checks that this contract is known to be recent. Called before each attempt.
    std::optional<error_kind> decide_credentials(call& decided);
    /// Takes a token of the customer's limit, waits for one, or refuses the call.
    void take_token(std::uint64_t id);
    /// Continues with a call that is within the limit of its customer.
    void proceed(std::uint64_t id);
    void stop_waiting_for_token(call& removed);
    /// Seconds until a refused call is expected to find a token, or as long as its client can wait.
    static double token_expected_s(const call& refused);
    void claim(std::uint64_t id);
    void start_next_attempt(std::uint64_t id);
    /// Time within which the worker has to end a call so that its response arrives before this process ends,
    /// 0 if it has passed. Nothing if the deadline of the call comes first or no shutdown is in progress.
    std::optional<milliseconds> time_until_forwarded_end(const call& placed, time_point now) const;
    std::optional<member_id> pick(const call& placed, time_point now);
    upstream_callbacks make_callbacks(std::uint64_t id, std::size_t attempt, time_point sent_at);
    void on_headers(std::uint64_t id, int status, const std::vector<http_header>& headers);
    void on_data(std::uint64_t id, evbuffer* data);
    void on_end(std::uint64_t id, upstream_end end);
    milliseconds on_acknowledgement_overdue(std::uint64_t id, std::size_t attempt, milliseconds waited);
    bool is_current(std::uint64_t id, std::size_t attempt) const;
    void on_silent_headers(std::uint64_t id, int status, const std::vector<http_header>& headers);
    bool resume_silent_attempt(call& waiting);
    /// Makes an attempt the current one, without anything that an earlier attempt left behind.
    void make_current(call& started, member_id endpoint, std::size_t attempt);
    /// Cancels the current attempt, if there is one, and records how it ended.
    void abandon_attempt(call& abandoned, attempt_result result);
    void on_refused(std::uint64_t id);
    void finish(std::uint64_t id);
    /// Ends a call with the error that `cause` amounts to after its attempts.
    void fail(std::uint64_t id, error_kind cause);
    void replay(std::uint64_t id, const ledger_record& record);
    void start_response(call& active);
    struct retry_budget& budget_of(const std::string& service);
    static std::string request_id(const call& logged);
    std::string endpoint_name(member_id id) const;
    void record_latency(const call& ended, outcome result);
    void record_unserved(const call& ended);
    double retry_after_s(const call& refused);
    std::optional<milliseconds> remaining_objective(const call& open, time_point now) const;
    void log_placement(const call& placed, time_point now);
    void log_response(const call& responded);
    void log_failure(const call& failed, error_kind kind, outcome result);
    void settle(call& settled, std::uint32_t state);
    void remove(std::uint64_t id);
    void sweep();
    /// Ends a call although its attempt, if there is one, has not ended.
    void give_up(std::uint64_t id, error_kind kind_if_not_run);
    /// True if a call may be retried after `reached_attempts` attempts that may have reached a worker. Spends
    /// a token of the retry budget if the retry needs one.
    bool may_retry(const call& failed, std::size_t reached_attempts, time_point now);
    bool has_attempts_left(const call& failed, std::size_t reached_attempts, time_point now) const;
    /// True if an attempt that its node has not acknowledged can be abandoned for another one.
    bool can_try_another_endpoint(const call& unacknowledged, time_point now);

    node_context& node_;
    upstream_pool workers_;
    std::map<std::uint64_t, std::unique_ptr<call>> calls_;
    std::map<std::uint64_t, std::uint64_t> calls_by_attempt_;
    std::vector<std::uint64_t> waiting_for_token_;       ///< calls in order of arrival
    std::map<std::string, struct retry_budget> budgets_; ///< by service name
    client_retry_tracker client_retries_;
    std::uint64_t next_id_ = 1;
    std::optional<time_point> stops_at_; ///< set during a shutdown
    bool accepts_connections_ = true;
    request_server server_;
    loop_event sweep_;
};

} // namespace waxwingfall

#endif
