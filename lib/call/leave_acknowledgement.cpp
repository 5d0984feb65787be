#include "waxwingfall/call/leave_acknowledgement.h"

namespace waxwingfall {

namespace {

/// A worker gives a report up after a second.
constexpr milliseconds max_response_delay{800};

} // namespace

leave_responses add_leave(leave_acknowledgements& state, std::uint64_t id, const left_worker& left,
                          time_point now) {
    if (state.stored == left) {
        return {{id}, {}};
    }
    state.unstored = left;
    state.pending.push_back({id, left, now + max_response_delay});
    return {};
}

leave_responses record_stored_leave(leave_acknowledgements& state, const left_worker& left) {
    state.stored = left;
    if (state.unstored == left) {
        state.unstored.reset();
    }
    leave_responses responses;
    std::erase_if(state.pending, [&](const pending_leave& waiting) {
        if (waiting.left != left) {
            return false;
        }
        responses.acknowledged.push_back(waiting.id);
        return true;
    });
    return responses;
}

leave_responses expire_leaves(leave_acknowledgements& state, time_point now) {
    leave_responses responses;
    std::erase_if(state.pending, [&](const pending_leave& waiting) {
        if (now < waiting.expires) {
            return false;
        }
        responses.refused.push_back(waiting.id);
        return true;
    });
    return responses;
}

} // namespace waxwingfall
