#include "waxwingfall/call/response_decision.h"

namespace waxwingfall {

namespace {

constexpr int status_request_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
constexpr int status_deadline = 504;
constexpr int first_failure = 400;
constexpr int first_server_failure = 500;

} // namespace

bool promises_not_run(int status) {
    return status == status_request_timeout || status == status_misdirected ||
           status == status_too_many_requests || status == status_unavailable;
}

outcome stated_outcome(int status, bool has_not_run_header) {
    const bool states_not_run =
        status == status_misdirected || (status >= first_failure && has_not_run_header);
    return states_not_run ? outcome::not_run : outcome::done;
}

bool is_worker_failure(int status) {
    return promises_not_run(status) || (status >= first_server_failure && status != status_deadline);
}

response_action decide_response(const ran_response& response) {
    if (promises_not_run(response.status)) {
        return response_action::withhold;
    }
    const bool may_try_elsewhere = !response.runs_once && response.others_may_succeed;
    return may_try_elsewhere && is_worker_failure(response.status) ? response_action::try_elsewhere
                                                                   : response_action::forward;
}

} // namespace waxwingfall
