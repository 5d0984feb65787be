#include "waxwingfall/support/event_log.h"

#include <algorithm>
#include <array>
#include <cassert>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

namespace waxwingfall {

namespace {

using enum event_id;

constexpr std::array catalogue{
    event_row{node_started, "node-started", "info"},
    event_row{node_leaving, "node-leaving", "info"},
    event_row{node_stopped, "node-stopped", "info"},
    event_row{process_paused, "process-paused", "warn"},
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
    event_row{ledger_map_adopted, "ledger-map-adopted", "info"},
    event_row{ledger_owner_replaced, "ledger-owner-replaced", "warn"},
    event_row{worker_crashed, "worker-crashed", "error"},
    event_row{request_quarantined, "request-quarantined", "error"},
    event_row{worker_health_changed, "worker-health-changed", "info"},
    event_row{worker_reported, "worker-reported", "info"},
    event_row{worker_report_ignored, "worker-report-ignored", "warn"},
    event_row{call_failed, "call-failed", "warn"},
    event_row{request_refused, "request-refused", "info"},
};

const event_row& row_of(event_id id) {
    const auto found =
        std::find_if(catalogue.begin(), catalogue.end(), [id](const event_row& row) { return row.id == id; });
    assert(found != catalogue.end() && "each event has its row");
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
    nlohmann::ordered_json line;
    line["time"] = now;
    line["clock"] = clock;
    line["process"] = process;
    line["event"] = static_cast<int>(row.id);
    line["name"] = row.name;
    line["level"] = row.level;
    for (const event_field& field : fields) {
        line[field.name] = field.value;
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

event_log::event_log(std::string process, const std::string& path) : process_(std::move(process)) {
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    if (path.empty()) {
        const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout);
        console->setTarget("System.out");
        log4cxx::helpers::Pool pool;
        console->activateOptions(pool);
        root->addAppender(console);
    } else {
        root->addAppender(std::make_shared<log4cxx::FileAppender>(layout, path, true));
    }
}

void event_log::write(event_id id, wall_ms now, const std::vector<event_field>& fields) {
    const event_row& row = row_of(id);
    const std::string line = format_event(row, process_, now, tick_clock(clock_, now), fields);
    log4cxx::Logger::getRootLogger()->log(level_of(row), line);
}

} // namespace waxwingfall
