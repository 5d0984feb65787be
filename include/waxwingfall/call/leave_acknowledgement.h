#ifndef WAXWINGFALL_CALL_LEAVE_ACKNOWLEDGEMENT_H
#define WAXWINGFALL_CALL_LEAVE_ACKNOWLEDGEMENT_H

#include <cstdint>
#include <optional>
#include <vector>

#include "waxwingfall/contract/worker_report.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// A report of a leave that waits for its response.
struct pending_leave {
    std::uint64_t id = 0; ///< chosen by the caller
    left_worker left;
    time_point expires;
    auto operator<=>(const pending_leave&) const = default;
};

/// The leaves of the local worker, as far as they have to outlive this process. An acknowledgement binds the
/// later processes of the node, which know only what the platform's store holds. None is given before.
struct leave_acknowledgements {
    std::optional<left_worker> stored;   ///< the last leave that the store is known to hold
    std::optional<left_worker> unstored; ///< the newest leave, until it is stored
    std::vector<pending_leave> pending;
};

/// How reports end, by the ids of `pending_leave`.
struct leave_responses {
    std::vector<std::uint64_t> acknowledged;
    std::vector<std::uint64_t> refused; ///< their workers report again, and nothing has been promised
    auto operator<=>(const leave_responses&) const = default;
};

/// Adds a report of a leave. It is acknowledged at once if the store is known to hold the leave.
leave_responses add_leave(leave_acknowledgements& state, std::uint64_t id, const left_worker& left,
                          time_point now);

/// Records that the store holds a leave, and acknowledges the reports of it.
leave_responses record_stored_leave(leave_acknowledgements& state, const left_worker& left);

/// Refuses the reports whose leaves were not stored in time.
leave_responses expire_leaves(leave_acknowledgements& state, time_point now);

} // namespace waxwingfall

#endif
