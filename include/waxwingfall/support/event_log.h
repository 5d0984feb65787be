#ifndef WAXWINGFALL_SUPPORT_EVENT_LOG_H
#define WAXWINGFALL_SUPPORT_EVENT_LOG_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfall/support/hybrid_clock.h"
#include "waxwingfall/support/log_budget.h"

namespace waxwingfall {

/// The numbered events of the log. docs/events.md documents each of them, and a test compares the two.
enum class event_id : std::uint16_t {
    node_started = 100,
    node_leaving = 101,
    node_stopped = 102,
    process_paused = 103,
    lines_suppressed = 104,
    settings_reloaded = 105,
    settings_refused = 106,
    node_withdrawn = 107,
    callback_failed = 108,
    member_joined = 200,
    member_suspected = 201,
    member_left = 202,
    member_died = 203,
    member_returned = 204,
    name_taken = 205,
    frame_refused = 206,
    contract_enforced = 300,
    contract_refused = 301,
    version_conflict = 302,
    platform_reachable = 310,
    platform_unreachable = 311,
    platform_went_back = 312,
    reader_started = 313,
    reader_stopped = 314,
    platform_read = 315,
    platform_read_overdue = 316,
    platform_entry_ignored = 317,
    ledger_map_adopted = 400,
    ledger_owner_replaced = 401,
    worker_crashed = 500,
    request_quarantined = 501,
    worker_health_changed = 502,
    worker_reported = 503,
    worker_report_ignored = 504,
    worker_limit_changed = 505,
    worker_leave_restored = 506,
    worker_leave_stored = 507,
    worker_leave_unacknowledged = 508,
    call_failed = 600,
    request_refused = 601,
    call_placed = 602,
    call_answered = 603,
    request_admitted = 604,
    request_ended = 605,
    client_refused = 610,
    evidence_expired = 620,
    evidence_renewed = 621,
    worker_pace_changed = 650,
};

/// Describes one event of the catalogue.
struct event_row {
    event_id id;
    std::string_view name;
    std::string_view level; ///< "info", "warn" or "error"
    line_rate rate{};       ///< limit on the lines written; 0 for no limit
};

/// Returns all events in the order of their numbers.
std::span<const event_row> event_catalogue();

/// A named value of an event.
struct event_field {
    std::string name;
    std::string value;
    auto operator<=>(const event_field&) const = default;
};

/// Writes events as one JSON object per line: {"time":MS,"clock":N,"process":"...","event":N,"name":"...",
/// "level":"...", then the fields as strings}. Lines go to standard output, or to `path` if it is not empty.
/// Events that are logged for every request are rate-limited. Lines that are suppressed by a limit, or
/// dropped because standard output is blocked, are counted and reported in a later event.
class event_log {
public:
    event_log(std::string process, const std::string& path);

    /// Writes one event at wall-clock time `now`.
    void write(event_id id, wall_ms now, const std::vector<event_field>& fields);

    /// Returns the clock that orders the events of this process relative to those of other processes.
    hybrid_clock& clock() { return clock_; }

private:
    std::string process_;
    void write_line(const event_row& row, wall_ms now, const std::vector<event_field>& fields);

    hybrid_clock clock_;
    log_budget budget_;
};

/// Formats the line that `event_log` writes for an event.
std::string format_event(const event_row& row, std::string_view process, wall_ms now, std::uint64_t clock,
                         const std::vector<event_field>& fields);

} // namespace waxwingfall

#endif
