#include <algorithm>
#include <fstream>
#include <set>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "waxwingfall/operator/commands.h"

namespace waxwingfall {

namespace {

using json = nlohmann::ordered_json;

/// A log line that holds an event.
struct log_line {
    std::uint64_t clock = 0;
    std::string text;
    json event;
};

/// Reads one log. An event starts at the first brace of its line, because a log collector may prefix lines
/// with a time or a process name. Lines that are not complete events are skipped, since a killed process may
/// leave a truncated line.
boost::leaf::result<void> read_log(const std::string& path, std::vector<log_line>& lines) {
    std::ifstream file(path);
    if (!file) {
        return boost::leaf::new_error(command_error{error_kind::file_unreadable, path + " can't be read"});
    }
    std::string line;
    while (std::getline(file, line)) {
        const auto brace = line.find('{');
        if (brace == std::string::npos) {
            continue;
        }
        line.erase(0, brace);
        json event = json::parse(line, nullptr, false);
        if (event.is_object() && event.contains("clock") && event["clock"].is_number_unsigned()) {
            lines.push_back({event["clock"].get<std::uint64_t>(), line, std::move(event)});
        }
    }
    return {};
}

/// Reads all events of the logs, ordered by their hybrid clocks.
boost::leaf::result<std::vector<log_line>> read_logs(const std::vector<std::string>& paths) {
    std::vector<log_line> lines;
    for (const std::string& path : paths) {
        BOOST_LEAF_CHECK(read_log(path, lines));
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const log_line& left, const log_line& right) { return left.clock < right.clock; });
    return lines;
}

std::string string_field(const json& event, const char* name) {
    const auto found = event.find(name);
    return found != event.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::string format_event(const json& event, std::uint64_t start_time) {
    const auto time = event.value("time", std::uint64_t{0});
    std::string text = "+" + std::to_string(time - std::min(time, start_time)) + " ms  " +
                       event.value("process", std::string("?")) + "  " +
                       event.value("name", std::string("?"));
    for (const auto& [key, value] : event.items()) {
        const bool is_common = key == "time" || key == "clock" || key == "process" || key == "event" ||
                               key == "name" || key == "level";
        if (!is_common) {
            text += "  " + key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

void print_lines(const std::vector<const log_line*>& lines, bool as_json_text, std::ostream& out) {
    const std::uint64_t first = lines.empty() ? 0 : lines.front()->event.value("time", std::uint64_t{0});
    for (const log_line* line : lines) {
        out << (as_json_text ? line->text : format_event(line->event, first)) << "\n";
    }
}

/// True if the event concerns the request or a downstream call made while it ran. The id of such a
/// call is the id of the request followed by a dot and a suffix.
bool concerns_request(const json& event, const std::string& request) {
    const std::string id = string_field(event, "request");
    return id == request || id.starts_with(request + ".");
}

} // namespace

boost::leaf::result<void> run_timeline(const std::vector<std::string>& paths, bool as_json_text,
                                       std::ostream& out) {
    BOOST_LEAF_AUTO(lines, read_logs(paths));
    std::vector<const log_line*> shown;
    shown.reserve(lines.size());
    for (const log_line& line : lines) {
        shown.push_back(&line);
    }
    print_lines(shown, as_json_text, out);
    return {};
}

boost::leaf::result<void> run_trace(const std::string& request, const std::vector<std::string>& paths,
                                    bool as_json_text, std::ostream& out) {
    BOOST_LEAF_AUTO(lines, read_logs(paths));
    const auto is_related = [&](const log_line& line) { return concerns_request(line.event, request); };
    const auto first = std::find_if(lines.begin(), lines.end(), is_related);
    if (first == lines.end()) {
        return boost::leaf::new_error(
            command_error{error_kind::file_unreadable, "no log contains the request " + request});
    }
    const auto last = std::find_if(lines.rbegin(), lines.rend(), is_related).base();
    std::set<std::string> processes;
    for (auto line = first; line != last; ++line) {
        if (is_related(*line)) {
            processes.insert(string_field(line->event, "process"));
            processes.insert(string_field(line->event, "endpoint"));
        }
    }
    std::vector<const log_line*> shown;
    for (auto line = first; line != last; ++line) {
        const bool is_state_change =
            !line->event.contains("request") && processes.contains(string_field(line->event, "process"));
        if (is_related(*line) || is_state_change) {
            shown.push_back(&*line);
        }
    }
    print_lines(shown, as_json_text, out);
    return {};
}

} // namespace waxwingfall
