#ifndef WAXWINGFALL_MACHINE_UPSTREAM_H
#define WAXWINGFALL_MACHINE_UPSTREAM_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <event2/buffer.h>

#include "waxwingfall/link/http.h"

namespace waxwingfall {

/// How a request to a worker, or to the node beside it, ended.
enum class upstream_end : std::uint8_t {
    complete,      ///< the whole answer has come
    not_connected, ///< no connection could be made; nothing was sent
    lost           ///< the connection broke or timed out; the request may have been received
};

/// What the owner of a request learns of it, in this order: headers once, data any number of times, end once.
struct upstream_callbacks {
    std::function<void(int status, const std::vector<http_header>& headers)> on_headers;
    std::function<void(evbuffer* data)> on_data;
    std::function<void(upstream_end end)> on_end;
};

/// A pool of connections to the places that requests are sent on to. Each carries one request at a time, and
/// one that lay idle for long is not used again: something between the two ends may have lost track of it.
class upstream_pool {
public:
    upstream_pool(const event_loop& loop, milliseconds reuse_limit);
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// Sends a request and returns its number. The timeout covers each wait for the other side. Nothing is
    /// ever sent again.
    std::uint64_t send(const ip_address& address, const http_request& request, milliseconds timeout,
                       upstream_callbacks callbacks);

    /// Ends a request without further callbacks and closes its connection.
    void cancel(std::uint64_t id);

    /// Stops and starts reading the answer, for a receiver that can't keep up.
    void pause(std::uint64_t id);
    void resume(std::uint64_t id);

    /// Closes connections that lay idle for longer than the reuse limit.
    void close_idle(time_point now);

    std::size_t open_connections() const { return open_; }

private:
    struct active;
    struct idle_connection {
        evhttp_connection* connection = nullptr;
        time_point since;
    };

    evhttp_connection* take_connection(const ip_address& address);
    void finish(active& request, upstream_end end);
    void discard(evhttp_connection* connection);
    void bury(std::unique_ptr<active> ended);
    static int on_headers(evhttp_request* raw, void* context);
    static void on_chunk(evhttp_request* raw, void* context);
    static void on_error(evhttp_request_error error, void* context);
    static void on_done(evhttp_request* raw, void* context);

    const event_loop& loop_;
    milliseconds reuse_limit_;
    std::map<ip_address, std::vector<idle_connection>> idle_;
    std::map<std::uint64_t, std::unique_ptr<active>> active_;
    std::uint64_t next_id_ = 1;
    std::size_t open_ = 0;
};

} // namespace waxwingfall

#endif
