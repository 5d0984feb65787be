#ifndef WAXWINGFALL_CALL_UPLOAD_BUDGET_H
#define WAXWINGFALL_CALL_UPLOAD_BUDGET_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "waxwingfall/call/admission.h"
#include "waxwingfall/call/return_schedule.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Request bodies above this size, in bytes, are sent between nodes only after `100 Continue`. A body of this
/// size takes 13 ms on a link of 10 Mbit/s; smaller ones are not worth a round trip.
inline constexpr std::size_t large_body_bytes = 16UL * 1024;

/// A request whose body has not been requested from its sender yet.
struct upload {
    waiting_request urgency;
    std::size_t bytes = 0; ///< of its body
    auto operator<=>(const upload&) const = default;
};

/// An upload whose body is on its way.
struct upload_transfer {
    upload started;
    std::size_t bytes_left = 0;
    time_point last_progress; ///< when bytes arrived last, or when the body was requested
    auto operator<=>(const upload_transfer&) const = default;
};

/// Request bodies on one node's link. Addresses a service whose links all carry more bodies than they can:
/// without a limit every body is late, and small messages wait behind hundreds of milliseconds of them.
/// Bodies are requested at a rate below the link's capacity, few at a time; the others wait as heads, the
/// most urgent first, and those that can't end in time are refused.
struct upload_budget {
    double bytes_per_s = 0; ///< for bodies; 0 if not limited
    std::vector<upload_transfer> transferring;
    std::vector<upload> waiting; ///< by priority, those within their objective first, then by end
    time_point next_start;       ///< earliest request of the next body
    return_schedule returns;     ///< of refused clients
};

/// The budget of a link of `link_mbps` megabits a second; no limit if that is 0.
upload_budget budget_of_link(double link_mbps);

/// What to do about uploads now, by request id.
struct upload_update {
    std::vector<std::uint64_t> accepted; ///< request their bodies
    std::vector<std::uint64_t> refused;  ///< they would end too late; they are no longer in the budget
    std::vector<std::uint64_t> stalled;  ///< close their connections; they are no longer in the budget
    auto operator<=>(const upload_update&) const = default;
};

/// Adds an upload and decides on all. The new one waits if the update does not name it.
upload_update add_upload(upload_budget& state, const upload& arrived, const worker_outlook& worker,
                         time_point now);

/// Decides on all uploads; to be called at `next_upload_start`, after `remove_upload` and periodically.
upload_update process_uploads(upload_budget& state, const worker_outlook& worker, time_point now);

/// When the next waiting upload may start at the earliest, or nothing if none waits or those that transfer
/// have to progress first.
std::optional<time_point> next_upload_start(const upload_budget& state, time_point now);

/// Records that bytes of a body arrived, of which `bytes_left` are still missing.
void record_upload_progress(upload_budget& state, std::uint64_t id, std::size_t bytes_left, time_point now);

/// Removes an upload that is complete, or whose sender has gone.
void remove_upload(upload_budget& state, std::uint64_t id);

/// Time until the link has carried all bodies that transfer or wait.
milliseconds link_backlog(const upload_budget& state);

/// After a refusal: when an upload like it may be admitted at the earliest.
milliseconds upload_room_in(const upload_budget& state, const upload& refused, const worker_outlook& worker,
                            time_point now);

/// After a refusal: when its client may return. Clients that were refused before it return earlier.
milliseconds schedule_upload_return(upload_budget& state, const upload& refused, const worker_outlook& worker,
                                    time_point now);

} // namespace waxwingfall

#endif
