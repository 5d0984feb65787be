#ifndef WAXWINGFALL_LIB_PROXY_UPSTREAM_CONNECTION_H
#define WAXWINGFALL_LIB_PROXY_UPSTREAM_CONNECTION_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>

#include "waxwingfall/proxy/upstream.h"

namespace waxwingfall {

/// A connection with the parse state of its current response. The parser's callbacks only record what they
/// parsed. `deliver` invokes the user's callbacks after the parser has returned, because those may end the
/// request.
struct upstream_pool::connection : std::enable_shared_from_this<upstream_pool::connection> {
    upstream_pool* pool = nullptr;
    ip_address address;
    bufferevent* stream = nullptr;
    evbuffer* body = nullptr;
    http_parser parser{};
    std::uint64_t current = 0; ///< id of the request that it carries; 0 while idle
    bool connected = false;
    bool is_reused = false;           ///< it was idle before it carried `current`
    bool is_current_response = false; ///< the response being parsed is the final one to `current`
    bool is_head = false;             ///< the response to a HEAD request has no body
    bool in_head = true;              ///< bytes that arrive belong to the head of a response
    bool at_line_start = false;       ///< the last byte of the head that was parsed ended a line
    bool is_malformed = false;        ///< the head being parsed is that of no valid response
    bool headers_ready = false;
    bool headers_delivered = false;
    bool complete = false;
    std::size_t unrelated_bytes = 0; ///< received for `current` before the response to it
    bool acknowledged = false;       ///< response headers for the request have arrived, interim or final
    bool has_received = false;       ///< any byte for `current`
    bool may_continue = false;       ///< `100 Continue` has arrived for `current`
    std::string field;
    std::string value;
    bool in_value = false;
    std::vector<http_header> headers;
    std::optional<http_header> echo; ///< header that a response to `current` repeats
    std::string signature;           ///< header that a success must carry; empty if there is none
    milliseconds reuse_limit{0};
    time_point idle_since;

    connection() = default;
    ~connection() {
        if (stream != nullptr) {
            bufferevent_free(stream);
        }
        evbuffer_free(body);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void close() {
        if (stream != nullptr) {
            bufferevent_free(stream);
            stream = nullptr;
        }
    }
    void store_header() {
        if (!field.empty()) {
            headers.push_back({std::move(field), std::move(value)});
        }
        field.clear();
        value.clear();
        in_value = false;
    }
};

/// Returns the parser callbacks that record the response to the current request. Interim responses and
/// responses to earlier requests are skipped.
const http_parser_settings& response_parser_settings();

/// Parses the start of `piece` and returns the number of bytes used: in a head at most one line, so that a
/// folded line is noticed, which the parser would join to the one before. Sets `is_malformed`.
std::size_t parse_response_bytes(upstream_pool::connection& conn, std::string_view piece);

} // namespace waxwingfall

#endif
