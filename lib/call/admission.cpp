#include "waxwingfall/call/admission.h"

#include <algorithm>

namespace waxwingfall {

namespace {

constexpr double mean_weight = 0.1;

/// How long the last request of the queue would wait, by the mean of past runs.
milliseconds expected_wait(const admission& state) {
    const double rounds = static_cast<double>(state.waiting.size() + 1) / std::max(1U, state.slots);
    return milliseconds(static_cast<std::int64_t>(rounds * state.mean_run_ms));
}

} // namespace

admission_verdict admit(admission& state, const waiting_request& request, time_point now) {
    if (state.leaving) {
        return admission_verdict::refuse_leaving;
    }
    if (now >= request.deadline) {
        return admission_verdict::refuse_deadline;
    }
    if (state.running < state.slots && state.waiting.empty()) {
        state.running += 1;
        return admission_verdict::run;
    }
    if (state.waiting.size() >= state.queue_limit) {
        return admission_verdict::refuse_overloaded;
    }
    const auto run = milliseconds(static_cast<std::int64_t>(state.mean_run_ms));
    if (now + expected_wait(state) + run > request.deadline) {
        return admission_verdict::refuse_overloaded;
    }
    state.waiting.push_back(request);
    return admission_verdict::wait;
}

admission_turn release_slot(admission& state, milliseconds ran, time_point now) {
    state.running -= std::min(state.running, 1U);
    const auto sample = static_cast<double>(ran.count());
    state.mean_run_ms =
        state.mean_run_ms == 0 ? sample : state.mean_run_ms * (1 - mean_weight) + sample * mean_weight;
    return review_queue(state, now);
}

admission_turn review_queue(admission& state, time_point now) {
    admission_turn turn;
    std::erase_if(state.waiting, [&](const waiting_request& request) {
        if (now < request.deadline) {
            return false;
        }
        turn.expired.push_back(request.id);
        return true;
    });
    while (state.running < state.slots && !state.waiting.empty()) {
        turn.run.push_back(state.waiting.front().id);
        state.waiting.pop_front();
        state.running += 1;
    }
    return turn;
}

bool abandon(admission& state, std::uint64_t id) {
    return std::erase_if(state.waiting, [&](const waiting_request& request) { return request.id == id; }) > 0;
}

double load_of(const admission& state) {
    return static_cast<double>(state.running) + static_cast<double>(state.waiting.size());
}

} // namespace waxwingfall
