#include <algorithm>

#include "call_state.h"
#include "waxwingfall/call/call_decisions.h"

namespace waxwingfall {

namespace {

/// Longest wait for a token of a request without a latency objective, and the part of the objective that
/// others may wait for.
constexpr milliseconds default_token_wait{50};
constexpr int objective_divisor = 5;

constexpr double ms_per_s = 1000;

/// A client honours a delay of up to a third of the time that it has left.
constexpr int honoured_divisor = 3;

} // namespace

void call_proxy::take_token(std::uint64_t id) {
    call& started = *calls_.at(id);
    started.customer_key = started.customer.empty() ? 0 : quota_key(started.customer);
    if (!node_.quota.customers.contains(started.customer_key)) {
        proceed(id);
        return;
    }
    const time_point now = monotonic_now();
    const milliseconds most = started.route->objective_ms == 0
                                  ? default_token_wait
                                  : milliseconds(started.route->objective_ms) / objective_divisor;
    quota_decision decision = request_token(node_.quota, started.customer_key, most, now);
    send_quota_messages(node_, std::move(decision.messages));
    if (decision.verdict == quota_verdict::run) {
        proceed(id);
    } else if (decision.verdict == quota_verdict::wait) {
        started.token_wait_ends = std::min(now + most, started.deadline);
        waiting_for_token_.push_back(id);
    } else {
        started.token_expected_in = decision.retry_after;
        fail(id, error_kind::quota_exceeded);
    }
}

void call_proxy::resume_waiting_for_token(time_point now) {
    std::vector<std::uint64_t> waiting;
    waiting.swap(waiting_for_token_);
    for (const std::uint64_t id : waiting) {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            continue;
        }
        call& open = *found->second;
        if (take_waiting_token(node_.quota, open.customer_key, now)) {
            open.token_wait_ends.reset();
            proceed(id);
            continue;
        }
        const time_point expected = expected_token_at(node_.quota, open.customer_key);
        if (now < *open.token_wait_ends && expected <= *open.token_wait_ends) {
            waiting_for_token_.push_back(id);
            continue;
        }
        open.token_wait_ends.reset();
        open.token_expected_in = stop_waiting(node_.quota, open.customer_key, true, now);
        fail(id, error_kind::quota_exceeded);
    }
}

void call_proxy::stop_waiting_for_token(call& removed) {
    if (removed.token_wait_ends) {
        removed.token_wait_ends.reset();
        stop_waiting(node_.quota, removed.customer_key, false, monotonic_now());
    }
}

double call_proxy::token_expected_s(const call& refused) {
    const time_point end = refused.client_deadline.value_or(refused.deadline);
    const auto usable = std::max<std::int64_t>(1, elapsed_ms(monotonic_now(), end) / honoured_divisor);
    return static_cast<double>(std::min(refused.token_expected_in.count(), usable)) / ms_per_s;
}

} // namespace waxwingfall
