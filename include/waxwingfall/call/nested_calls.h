#ifndef WAXWINGFALL_CALL_NESTED_CALLS_H
#define WAXWINGFALL_CALL_NESTED_CALLS_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace waxwingfall {

/// Priority of nested calls, the most urgent one. Answers the load under which chains of calls collapse: a
/// nested call that is refused fails the request that made it after most of its run, so that a service at its
/// capacity wastes the capacity of every service that calls it.
inline constexpr std::uint32_t nested_call_priority = 0;

/// Ids of the requests that the local worker runs, each with the number of its runs. Calls that the worker
/// makes on behalf of a request carry an id that extends the request's: the request's id, a dot, and a
/// suffix.
struct running_requests {
    std::map<std::string, std::size_t, std::less<>> runs;
    auto operator<=>(const running_requests&) const = default;
};

/// Records the start of a run. Requests without an id are not tracked, since no call can be matched to them.
void track_run(running_requests& running, const std::string& id);

/// Records the end of a run that `track_run` recorded.
void untrack_run(running_requests& running, const std::string& id);

/// True if an id extends that of a request that the local worker runs. Clients may choose such ids as well,
/// so this shows who may have sent a request, not who did.
bool extends_running_id(const running_requests& running, std::string_view id);

} // namespace waxwingfall

#endif
