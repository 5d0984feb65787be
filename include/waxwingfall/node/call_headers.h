#ifndef WAXWINGFALL_NODE_CALL_HEADERS_H
#define WAXWINGFALL_NODE_CALL_HEADERS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "platform/call_wire.h"
#include "waxwingfall/link/http.h"
#include "waxwingfall/support/error.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Headers that callers and workers use; docs/calls.md describes each.
namespace call_header {
inline constexpr const char* idempotency_key = "Idempotency-Key";
inline constexpr const char* deadline_ms = platform::header::deadline_ms;
inline constexpr const char* retry_attempt =
    "X-Retry-Attempt"; ///< over 0 inside a call that is itself a retry
inline constexpr const char* not_run = platform::header::not_run;
inline constexpr const char* outcome = "X-Waxwingfall-Outcome"; ///< done, not-run or unknown
inline constexpr const char* reason = "X-Waxwingfall-Reason";   ///< the name of an error kind
inline constexpr const char* load = "X-Waxwingfall-Load"; ///< between nodes: running and waiting requests
inline constexpr const char* mean_run_ms =
    "X-Waxwingfall-Mean-Run-Ms"; ///< between nodes: how long the worker's runs take
inline constexpr const char* service = "X-Waxwingfall-Service"; ///< between nodes: that the call is placed at
inline constexpr const char* priority = "X-Waxwingfall-Priority"; ///< between nodes: that of the route
inline constexpr const char* goal_ms =
    "X-Waxwingfall-Goal-Ms"; ///< between nodes: what is left of the latency objective, 0 if it is missed
inline constexpr const char* large_answer = "X-Waxwingfall-Large-Answer"; ///< between nodes: of a download
inline constexpr const char* pause_ms =
    "X-Waxwingfall-Pause-Ms"; ///< between nodes: when a request like the refused one may be taken
inline constexpr const char* replayed = "X-Waxwingfall-Replayed"; ///< the answer of an earlier run
inline constexpr const char* version = "X-Waxwingfall-Version";   ///< the document that was in force
} // namespace call_header

/// A request as it was received, in the form in which it is sent on.
struct received_request {
    http_request request; ///< with the caller's headers but those of one hop and those that nodes set
    std::string method;
    std::string host;
    std::string path;        ///< without the query
    std::string fingerprint; ///< digest of method, path with query, and body
};

/// Reads a request that evhttp has received whole. Returns the kind of fault if it is malformed: no host, two
/// lengths, an unknown method, or a target that is no path.
std::optional<error_kind> read_request(evhttp_request* raw, received_request& out);

/// The deadline that a request carries, at most `limit` after `now`; a malformed value counts as none.
time_point read_deadline(const std::vector<http_header>& headers, milliseconds limit, time_point now);

/// How long the caller still waits, by its own word.
std::optional<milliseconds> read_patience(const std::vector<http_header>& headers);

/// Headers of an answer that this node gives itself.
std::vector<http_header> error_headers(error_kind kind, outcome result);

/// The body of such an answer: one line of JSON with outcome, kind and text.
std::string error_body(error_kind kind, outcome result);

/// Headers of a worker's answer that may be passed on, without those that nodes set.
std::vector<http_header> passable_headers(const std::vector<http_header>& headers);

/// The whole number that a header between nodes begins with; nothing if it has none.
std::optional<std::uint32_t> whole_number(std::string_view text);

/// Replaces or adds a header.
void set_header(std::vector<http_header>& headers, std::string_view name, std::string value);

} // namespace waxwingfall

#endif
