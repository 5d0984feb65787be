#ifndef WAXWINGFALL_LIB_MACHINE_UPSTREAM_CONNECTION_H
#define WAXWINGFALL_LIB_MACHINE_UPSTREAM_CONNECTION_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>

#include "waxwingfall/node/upstream.h"

namespace waxwingfall {

/// One connection with the state of the answer that it reads. The parser's callbacks only note what they met;
/// `deliver` hands it on once the parser has returned, because a receiver may end the request.
struct upstream_pool::connection : std::enable_shared_from_this<upstream_pool::connection> {
    upstream_pool* pool = nullptr;
    ip_address address;
    bufferevent* stream = nullptr;
    evbuffer* body = nullptr;
    http_parser parser{};
    std::uint64_t current = 0; ///< the request that it carries; 0 while it is idle
    bool connected = false;
    bool awaited = false; ///< the answer being read is that of `current`
    bool is_head = false; ///< the answer to a HEAD request has no body
    bool headers_ready = false;
    bool headers_given = false;
    bool complete = false;
    bool acknowledged = false; ///< an answer to the request has begun, be it an interim one
    std::string field;
    std::string value;
    bool in_value = false;
    std::vector<http_header> headers;
    std::optional<http_header> echo; ///< that an answer to `current` repeats
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

/// The callbacks by which a connection's parser notes the answer to the current request. Interim answers and
/// answers to earlier requests are passed over.
const http_parser_settings& answer_parser_settings();

} // namespace waxwingfall

#endif
