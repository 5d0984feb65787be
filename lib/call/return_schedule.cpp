#include "waxwingfall/call/return_schedule.h"

#include <algorithm>

namespace waxwingfall {

namespace {

/// Share of the capacity that returning clients are scheduled to use. An overload ends with demand below the
/// capacity; 0.8 of it leaves a fifth.
constexpr double returning_share = 0.2;

} // namespace

milliseconds schedule_return(return_schedule& schedule, milliseconds room_in,
                             std::chrono::duration<double, std::milli> service_interval, time_point now) {
    const auto spacing = std::chrono::duration_cast<time_point::duration>(service_interval / returning_share);
    const time_point stated = std::max(schedule.next + spacing, now + room_in);
    schedule.next = std::min(stated, now + std::max(room_in, max_return_delay));
    return std::chrono::ceil<milliseconds>(schedule.next - now);
}

} // namespace waxwingfall
