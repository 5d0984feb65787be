#include "waxwingfall/support/event_log.h"

#include <algorithm>
#include <array>
#include <cassert>

#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

namespace waxwingfall {

namespace {

using enum event_id;

/// Rate limits for events that are logged for every request. A node in the known deployments handles about 30
/// requests per second, and twice as many in bursts. Failures have a higher limit, so that they are not
/// suppressed first.
constexpr line_rate request_rate{60, 120};
constexpr line_rate failure_rate{120, 600};

/// The limit of a worker changes a few times in a usual run time of its requests, mostly by one.
constexpr line_rate pace_rate{5, 30};

constexpr std::array catalogue{
    event_row{node_started, "node-started", "info"},
    event_row{node_leaving, "node-leaving", "info"},
    event_row{node_stopped, "node-stopped", "info"},
    event_row{process_paused, "process-paused", "warn"},
    event_row{lines_suppressed, "lines-suppressed", "warn"},
    event_row{settings_reloaded, "settings-reloaded", "info"},
    event_row{settings_refused, "settings-refused", "error"},
    event_row{node_withdrawn, "node-withdrawn", "info"},
    event_row{callback_failed, "callback-failed", "error", failure_rate},
    event_row{member_joined, "member-joined", "info"},
    event_row{member_suspected, "member-suspected", "warn"},
    event_row{member_left, "member-left", "info"},
    event_row{member_died, "member-died", "warn"},
    event_row{member_returned, "member-returned", "info"},
    event_row{name_taken, "name-taken", "error"},
    event_row{frame_refused, "frame-refused", "warn"},
    event_row{contract_enforced, "contract-enforced", "info"},
    event_row{contract_refused, "contract-refused", "error"},
    event_row{version_conflict, "version-conflict", "error"},
    event_row{platform_reachable, "platform-reachable", "info"},
    event_row{platform_unreachable, "platform-unreachable", "warn"},
    event_row{platform_went_back, "platform-went-back", "error"},
    event_row{reader_started, "reader-started", "info"},
    event_row{reader_stopped, "reader-stopped", "info"},
    event_row{platform_read, "platform-read", "info", failure_rate},
    event_row{platform_read_overdue, "platform-read-overdue", "warn", failure_rate},
    event_row{platform_entry_ignored, "platform-entry-ignored", "warn", failure_rate},
    event_row{ledger_map_adopted, "ledger-map-adopted", "info"},
    event_row{ledger_owner_replaced, "ledger-owner-replaced", "warn"},
    event_row{worker_crashed, "worker-crashed", "error"},
    event_row{request_quarantined, "request-quarantined", "error"},
    event_row{worker_health_changed, "worker-health-changed", "info"},
    event_row{worker_reported, "worker-reported", "info"},
    event_row{worker_report_ignored, "worker-report-ignored", "warn", failure_rate},
    event_row{worker_limit_changed, "worker-limit-changed", "info", failure_rate},
    event_row{worker_leave_restored, "worker-leave-restored", "info"},
    event_row{worker_leave_stored, "worker-leave-stored", "info"},
    event_row{worker_leave_unacknowledged, "worker-leave-unacknowledged", "warn", failure_rate},
    event_row{call_failed, "call-failed", "warn", failure_rate},
    event_row{request_refused, "request-refused", "info", failure_rate},
    event_row{call_placed, "call-placed", "info", request_rate},
    event_row{call_answered, "call-answered", "info", request_rate},
    event_row{request_admitted, "request-admitted", "info", request_rate},
    event_row{request_ended, "request-ended", "info", request_rate},
    event_row{client_refused, "client-refused", "warn", failure_rate},
    event_row{evidence_expired, "evidence-expired", "warn"},
    event_row{evidence_renewed, "evidence-renewed", "info"},
    event_row{worker_pace_changed, "worker-pace-changed", "info", pace_rate},
};

/// The number of lines dropped since the last report because standard output did not accept them. A global
/// variable, because the logging library owns the appender and has a single one per process.
std::uint64_t dropped_lines = 0;

std::uint64_t collect_dropped_lines() {
    return std::exchange(dropped_lines, 0);
}

/// Writes lines to standard output and drops them instead of blocking if its reader is slow.
class nonblocking_appender : public log4cxx::AppenderSkeleton {
public:
    const log4cxx::helpers::Class& getClass() const override { return getStaticClass(); }
    void close() override {}
    bool requiresLayout() const override { return false; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& /*pool*/) override {
        const std::string line = event->getRenderedMessage() + "\n";
        // A pipe that polls as writable accepts at least PIPE_BUF bytes without blocking.
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool is_writable =
            line.size() <= PIPE_BUF && poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (!is_writable || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++dropped_lines;
        }
    }
};

/// Formats a JSON string. Most texts need no escapes; quoting them directly is much cheaper than building a
/// value with the JSON library.
std::string json_text(std::string_view text) {
    const bool is_plain = std::all_of(text.begin(), text.end(), [](char character) {
        constexpr char first_printable = ' ';
        constexpr char last_ascii = '~';
        return character >= first_printable && character <= last_ascii && character != '"' &&
               character != '\\';
    });
    if (is_plain) {
        return "\"" + std::string(text) + "\"";
    }
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

const event_row& find_row(event_id id) {
    const auto found =
        std::find_if(catalogue.begin(), catalogue.end(), [id](const event_row& row) { return row.id == id; });
    assert(found != catalogue.end() && "event has no row in the catalogue");
    return *found;
}

log4cxx::LevelPtr level_of(const event_row& row) {
    if (row.level == "error") {
        return log4cxx::Level::getError();
    }
    return row.level == "warn" ? log4cxx::Level::getWarn() : log4cxx::Level::getInfo();
}

} // namespace

std::span<const event_row> event_catalogue() {
    return catalogue;
}

std::string format_event(const event_row& row, std::string_view process, wall_ms now, std::uint64_t clock,
                         const std::vector<event_field>& fields) {
    std::string line = "{\"time\":" + std::to_string(now) + ",\"clock\":" + std::to_string(clock) +
                       ",\"process\":" + json_text(process) +
                       ",\"event\":" + std::to_string(static_cast<int>(row.id)) +
                       ",\"name\":" + json_text(row.name) + ",\"level\":" + json_text(row.level);
    for (const event_field& field : fields) {
        line += "," + json_text(field.name) + ":" + json_text(field.value);
    }
    return line + "}";
}

event_log::event_log(std::string process, const std::string& path) : process_(std::move(process)) {
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    if (path.empty()) {
        root->addAppender(std::make_shared<nonblocking_appender>());
    } else {
        root->addAppender(std::make_shared<log4cxx::FileAppender>(layout, path, true));
    }
}

void event_log::write(event_id id, wall_ms now, const std::vector<event_field>& fields) {
    const event_row& row = find_row(id);
    const time_point monotonic_time = std::chrono::steady_clock::now();
    if (row.rate.burst > 0 &&
        !try_acquire_line(budget_, static_cast<std::uint16_t>(id), row.rate, monotonic_time)) {
        return;
    }
    write_line(row, now, fields);
    for (const suppressed_lines& suppressed : collect_suppressed(budget_, monotonic_time)) {
        write_line(find_row(lines_suppressed), now,
                   {{"of", std::string(find_row(static_cast<event_id>(suppressed.kind)).name)},
                    {"count", std::to_string(suppressed.count)}});
    }
    if (const std::uint64_t dropped = collect_dropped_lines(); dropped > 0) {
        write_line(find_row(lines_suppressed), now, {{"of", "all"}, {"count", std::to_string(dropped)}});
    }
}

void event_log::write_line(const event_row& row, wall_ms now, const std::vector<event_field>& fields) {
    const std::string line = format_event(row, process_, now, tick_clock(clock_, now), fields);
    // Cached, because looking up the logger costs as much as writing a line.
    static const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->log(level_of(row), line);
}

} // namespace waxwingfall
