#ifndef WAXWINGFALL_NODE_DOWNSTREAM_H
#define WAXWINGFALL_NODE_DOWNSTREAM_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <event2/buffer.h>

#include "waxwingfall/link/http.h"

namespace waxwingfall {

/// The answer to one request that this process received: whole, or in pieces with a bounded amount waiting to
/// be sent. Destroying it before `end` or `reply` closes the connection, so that an answer cut short never
/// looks whole.
class downstream {
public:
    explicit downstream(evhttp_request* request);
    ~downstream();
    downstream(const downstream&) = delete;
    downstream& operator=(const downstream&) = delete;

    /// Tells the other side, by an interim answer, that its request has been read.
    void acknowledge();

    /// Sends a whole answer.
    void reply(int status, std::string_view body, const std::vector<http_header>& headers);

    /// Starts an answer in pieces. With a Content-Length among the headers the pieces are sent as they are,
    /// else chunked.
    void begin(int status, const std::vector<http_header>& headers);

    /// Sends a piece; true if so much waits to be sent that the source should pause until `on_drained`.
    bool write(evbuffer* data, std::function<void()> on_drained);

    /// Ends an answer in pieces.
    void end();

    /// True if the other side has closed its connection.
    bool is_gone() const;

    bool has_begun() const { return begun_; }

private:
    void detach();

    evhttp_request* request_ = nullptr;
    bool begun_ = false;
    bool gone_ = false;
    std::function<void()> on_drained_;
};

/// The connection headers that one hop sets for itself; they are never passed on.
bool is_hop_header(std::string_view name);

/// Case-insensitive comparison of header names.
bool same_header(std::string_view left, std::string_view right);

/// The value of the first header called `name`, or an empty text.
std::string header_value(const std::vector<http_header>& headers, std::string_view name);

} // namespace waxwingfall

#endif
