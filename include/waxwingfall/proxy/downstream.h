#ifndef WAXWINGFALL_PROXY_DOWNSTREAM_H
#define WAXWINGFALL_PROXY_DOWNSTREAM_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <event2/buffer.h>

#include "waxwingfall/http/server.h"
#include "waxwingfall/link/http.h"

namespace waxwingfall {

/// Counts the responses that have ended and of which bytes still wait in this process for their connections.
/// A process that exits meanwhile truncates them.
class unsent_responses {
public:
    /// Counts a response, which is about to end, until its last byte has been written or its connection is
    /// closed.
    void track(server_exchange& response);

    std::size_t count() const { return *count_; }

private:
    std::shared_ptr<std::size_t> count_ = std::make_shared<std::size_t>(0);
};

/// The response to a request that this process received, sent at once or streamed with a bounded output
/// buffer. Destroying it before `end` or `reply` closes the connection, so that a truncated response never
/// looks complete.
class downstream {
public:
    /// `unsent` counts the response once it has ended.
    downstream(std::shared_ptr<server_exchange> exchange, unsent_responses& unsent);
    ~downstream();
    downstream(const downstream&) = delete;
    downstream& operator=(const downstream&) = delete;

    /// Sends an interim response, which notifies the peer that its request has been read.
    void acknowledge();

    /// Sends a full response.
    void reply(int status, std::string_view body, const std::vector<http_header>& headers);

    /// Starts a streamed response. It uses chunked encoding unless the headers contain a Content-Length.
    void begin(int status, const std::vector<http_header>& headers);

    /// Sends part of the body. Returns true if so much output is pending that the source should pause until
    /// `on_drained` is called.
    bool write(evbuffer* data, std::function<void()> on_drained);

    /// Ends a streamed response.
    void end();

    /// Closes the connection after this response if no other request was read behind it.
    void close_if_last() { exchange_->close_if_last(); }

    /// True if all responses before this one on its connection are complete.
    bool is_first() const { return exchange_->is_first(); }

    /// Declares that the response may be broken off after it has begun.
    void may_break_off() { exchange_->may_break_off(); }

    /// True if a response before this one on its connection may be broken off, which would drop this one.
    bool is_behind_uncertain() const { return exchange_->is_behind_uncertain(); }

    /// Calls `action` once when all responses before this one are complete; not if the connection is closed
    /// before.
    void when_first(std::function<void()> action) { exchange_->when_first(std::move(action)); }

    /// True if the peer has closed its connection, or the response will not be sent.
    bool is_disconnected() const;

    bool has_started() const { return exchange_->has_started(); }

private:
    std::shared_ptr<server_exchange> exchange_;
    unsent_responses& unsent_;
};

/// True for headers that apply to a single connection; they are never forwarded.
bool is_hop_by_hop_header(std::string_view name);

} // namespace waxwingfall

#endif
