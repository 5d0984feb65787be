#ifndef WAXWINGFALL_LIB_MACHINE_CALL_STATE_H
#define WAXWINGFALL_LIB_MACHINE_CALL_STATE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/node/call_proxy.h"

namespace waxwingfall {

/// Added to the wait for a worker's node, so that its own answer to a missed deadline arrives first.
inline constexpr milliseconds deadline_margin{50};

/// A call from its arrival to its end: what the caller sent, the rules that it started under, and the try
/// that runs now.
struct call_proxy::call {
    received_request received;
    std::unique_ptr<downstream> caller;
    std::shared_ptr<const contract> under; ///< the document in force when the call arrived
    std::uint64_t version = 0;
    const route_contract* route = nullptr;
    const service_contract* service = nullptr;
    bool non_idempotent = false;
    bool inside_retry = false;
    std::uint32_t max_attempts = 1;
    std::size_t reached = 0;    ///< tries that may have reached a worker
    bool may_have_run = false;  ///< at one of them
    bool worker_failed = false; ///< by its own answer
    bool held_back = false;     ///< the worker failed the request, and another may do better
    bool begun = false;         ///< the answer is on its way to the caller
    std::vector<http_header> answer_headers;
    std::string held_body; ///< of an answer that is not on its way yet
    time_point received_at;
    time_point first_received;             ///< by the client's first attempt, as far as this node knows
    std::optional<time_point> given_up_at; ///< when the client stops waiting, if it said so
    time_point deadline;
    std::optional<idempotency_key> key;
    std::uint64_t attempt = 0; ///< of the claim; 0 without one
    bool has_key = false;
    bool granted = false;     ///< the claim is held and not settled yet
    bool was_granted = false; ///< so no earlier sending under the same key ran
    std::vector<member_id> tried;
    member_id endpoint = 0;
    std::uint64_t upstream = 0;
    bool trying = false;
    bool refused = false;   ///< the worker's node refused this try
    bool past_goal = false; ///< when this try began
    bool crashed = false;   ///< the worker's node saw the worker crash under this try
    error_kind refusal = error_kind::overloaded;
    endpoint_report report;
    int status = 0;
    std::string content_type;
    std::string answer_copy;
    bool answer_too_long = false;
};

} // namespace waxwingfall

#endif
