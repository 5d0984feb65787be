#include <algorithm>
#include <fstream>
#include <set>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "waxwingfall/operator/commands.h"

namespace waxwingfall {

namespace {

using json = nlohmann::ordered_json;

struct timed_line {
    std::uint64_t clock = 0;
    std::string text;
    json event;
};

/// Reads one log. An event begins at the first brace of its line, because a collector may have put a time or
/// a name before it. Other lines are left out, since a killed process may leave half a line.
boost::leaf::result<void> read_log(const std::string& path, std::vector<timed_line>& lines) {
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

/// All events of the logs in the order of their hybrid clocks.
boost::leaf::result<std::vector<timed_line>> read_logs(const std::vector<std::string>& paths) {
    std::vector<timed_line> lines;
    for (const std::string& path : paths) {
        BOOST_LEAF_CHECK(read_log(path, lines));
    }
    std::stable_sort(lines.begin(), lines.end(), [](const timed_line& left, const timed_line& right) {
        return left.clock < right.clock;
    });
    return lines;
}

std::string text_of(const json& event, const char* name) {
    const auto found = event.find(name);
    return found != event.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::string readable_event(const json& event, std::uint64_t first_time) {
    const auto time = event.value("time", std::uint64_t{0});
    std::string text = "+" + std::to_string(time - std::min(time, first_time)) + " ms  " +
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

void print_lines(const std::vector<const timed_line*>& lines, bool as_json_text, std::ostream& out) {
    const std::uint64_t first = lines.empty() ? 0 : lines.front()->event.value("time", std::uint64_t{0});
    for (const timed_line* line : lines) {
        out << (as_json_text ? line->text : readable_event(line->event, first)) << "\n";
    }
}

/// True if the event concerns the request, or a call that its run made: their ids begin with its own.
bool concerns(const json& event, const std::string& request) {
    const std::string id = text_of(event, "request");
    return id == request || id.starts_with(request + ".");
}

} // namespace

boost::leaf::result<void> run_timeline(const std::vector<std::string>& paths, bool as_json_text,
                                       std::ostream& out) {
    BOOST_LEAF_AUTO(lines, read_logs(paths));
    std::vector<const timed_line*> shown;
    shown.reserve(lines.size());
    for (const timed_line& line : lines) {
        shown.push_back(&line);
    }
    print_lines(shown, as_json_text, out);
    return {};
}

boost::leaf::result<void> run_trace(const std::string& request, const std::vector<std::string>& paths,
                                    bool as_json_text, std::ostream& out) {
    BOOST_LEAF_AUTO(lines, read_logs(paths));
    const auto is_own = [&](const timed_line& line) { return concerns(line.event, request); };
    const auto first = std::find_if(lines.begin(), lines.end(), is_own);
    if (first == lines.end()) {
        return boost::leaf::new_error(
            command_error{error_kind::file_unreadable, "no log names the request " + request});
    }
    const auto last = std::find_if(lines.rbegin(), lines.rend(), is_own).base();
    std::set<std::string> processes;
    for (auto line = first; line != last; ++line) {
        if (is_own(*line)) {
            processes.insert(text_of(line->event, "process"));
            processes.insert(text_of(line->event, "endpoint"));
        }
    }
    std::vector<const timed_line*> shown;
    for (auto line = first; line != last; ++line) {
        const bool changes_belief =
            !line->event.contains("request") && processes.contains(text_of(line->event, "process"));
        if (is_own(*line) || changes_belief) {
            shown.push_back(&*line);
        }
    }
    print_lines(shown, as_json_text, out);
    return {};
}

} // namespace waxwingfall
