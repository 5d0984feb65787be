#include "waxwingfall/call/nested_calls.h"

namespace waxwingfall {

namespace {

constexpr char id_separator = '.';

} // namespace

void track_run(running_requests& running, const std::string& id) {
    if (!id.empty()) {
        running.runs[id] += 1;
    }
}

void untrack_run(running_requests& running, const std::string& id) {
    const auto found = running.runs.find(id);
    if (found == running.runs.end()) {
        return;
    }
    found->second -= 1;
    if (found->second == 0) {
        running.runs.erase(found);
    }
}

bool extends_running_id(const running_requests& running, std::string_view id) {
    // The id of a request that is itself nested contains separators, so each of them may end the parent's id.
    for (auto end = id.find(id_separator); end != std::string_view::npos;
         end = id.find(id_separator, end + 1)) {
        if (running.runs.contains(id.substr(0, end))) {
            return true;
        }
    }
    return false;
}

} // namespace waxwingfall
