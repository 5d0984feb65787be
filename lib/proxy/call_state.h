#ifndef WAXWINGFALL_LIB_PROXY_CALL_STATE_H
#define WAXWINGFALL_LIB_PROXY_CALL_STATE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/call/response_decision.h"
#include "waxwingfall/proxy/call_proxy.h"
#include "waxwingfall/proxy/customer_headers.h"

namespace waxwingfall {

/// Added to the timeout of a request to the worker's node, so that the deadline error of that node arrives
/// before this node times out.
inline constexpr milliseconds deadline_margin{50};

/// An attempt that its node has not acknowledged in time. It is awaited beside the next attempt, since a node
/// that is only slow may run it; the first response of a worker wins.
struct silent_attempt {
    std::size_t attempt = 0; ///< its number
    member_id endpoint = 0;
    std::uint64_t upstream = 0;
    bool refused = false; ///< a response other than a worker's success has arrived
};

/// State of a call from its arrival to its end: the client's request, the document that applies to it, and
/// the current attempt.
struct call_proxy::call {
    received_request received;
    std::unique_ptr<downstream> client;
    std::string client_service;               ///< that ran on this machine when the call arrived
    std::shared_ptr<const contract> document; ///< active when the call arrived
    std::uint64_t version = 0;
    const route_contract* route = nullptr;
    const service_contract* service = nullptr;
    bool non_idempotent = false;
    bool inside_retry = false;
    std::uint32_t priority = 0; ///< of the customer or the route, or that of nested calls
    request_credentials credentials;
    std::string customer;                      ///< name; empty if there is none
    std::uint64_t customer_key = 0;            ///< in the state of the limits
    std::optional<time_point> token_wait_ends; ///< set while the call waits for a token of its customer
    milliseconds token_expected_in{0};         ///< of a call that is refused for lack of one
    std::uint32_t max_attempts = 1;
    std::size_t reached_attempts = 0;                  ///< attempts that may have reached a worker
    bool may_have_run = false;                         ///< at one of those workers
    bool worker_failed = false;                        ///< see `is_worker_failure`
    response_action action = response_action::forward; ///< about the response of the current attempt
    int withheld_status = 0;       ///< of the last response that was not forwarded; 0 if there is none
    bool response_started = false; ///< the response to the client has been started
    std::vector<http_header> response_headers;
    std::string buffered_body; ///< of a response that has not been started yet
    time_point received_at;
    time_point first_received; ///< when the client first sent the request, as far as this node knows
    std::optional<time_point> client_deadline; ///< when the client stops waiting, if it sent a timeout
    time_point deadline;
    std::optional<idempotency_key> key;
    std::uint64_t attempt_id = 0; ///< of the claim; 0 if there is none
    bool has_key = false;         ///< an idempotency key was sent, and the method is not GET or HEAD
    bool granted = false;         ///< the claim is granted and not settled yet
    bool was_granted = false;     ///< the claim was granted, so no earlier request with the same key ran
    std::vector<member_id> attempted_endpoints;
    member_id endpoint = 0;  ///< of the current attempt, like the members below
    std::size_t attempt = 0; ///< its number, from 1
    std::uint64_t upstream = 0;
    bool attempt_in_progress = false;
    std::optional<silent_attempt> silent; ///< beside the current attempt
    bool refused = false;                 ///< the worker's node refused the current attempt
    bool past_objective = false;          ///< at the start of the current attempt
    bool crashed = false;         ///< the worker's node saw the worker crash during the current attempt
    std::uint64_t crashed_at = 0; ///< when, by the hybrid clock of that node; 0 if it did not say
    error_kind refusal = error_kind::overloaded;
    endpoint_report report;
    std::optional<milliseconds> room_in; ///< the shortest that a refusal of this call stated
    int status = 0;                      ///< of the response to forward; 0 if there is none yet
    std::string content_type;
    std::string response_copy;      ///< for the ledger
    bool response_too_long = false; ///< for the ledger
};

} // namespace waxwingfall

#endif
