#ifndef WAXWINGFALL_NODE_UPSTREAM_H
#define WAXWINGFALL_NODE_UPSTREAM_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <event2/buffer.h>

#include "waxwingfall/link/http.h"

namespace waxwingfall {

/// How a request to a worker, or to the node beside it, ended.
enum class upstream_end : std::uint8_t {
    complete,      ///< the whole answer has come
    not_connected, ///< no connection could be made; nothing was sent
    silent, ///< the other side did not say in time that it has the request; it may have it all the same
    lost    ///< the connection broke or timed out; the request may have been received
};

/// How a request is sent.
struct upstream_options {
    milliseconds timeout{0};             ///< for each wait for the other side
    std::optional<http_header> echo;     ///< an answer belongs to the request only if it repeats this header
    milliseconds acknowledged_within{0}; ///< for an interim answer; 0 if none is expected
};

/// What the owner of a request learns of it, in this order: headers once, data any number of times, end once.
struct upstream_callbacks {
    std::function<void(int status, const std::vector<http_header>& headers)> on_headers;
    std::function<void(evbuffer* data)> on_data;
    std::function<void(upstream_end end)> on_end;
    /// Asked when an acknowledgement is overdue: how much longer to wait for it, 0 to end the request as
    /// silent. Without it, the first overdue acknowledgement ends the request.
    std::function<milliseconds()> on_silence{};
};

/// A pool of connections to the places that requests are sent on to. Each carries one request at a time, and
/// one that lay idle for long is not used again: something between the two ends may have lost track of it.
class upstream_pool {
public:
    upstream_pool(const event_loop& loop, milliseconds reuse_limit);
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// Sends a request and returns its number. Nothing is ever sent again.
    std::uint64_t send(const ip_address& address, const http_request& request,
                       const upstream_options& options, upstream_callbacks callbacks);

    /// Ends a request without further callbacks and closes its connection.
    void cancel(std::uint64_t id);

    /// Stops and starts reading the answer, for a receiver that can't keep up.
    void pause(std::uint64_t id);
    void resume(std::uint64_t id);

    /// Closes connections that lay idle for longer than the reuse limit.
    void close_idle(time_point now);

    std::size_t open_connections() const;

    /// Wait for a connection to stand, after which nothing was sent. Connections between data centres take 7
    /// ms, and a lost opening packet is sent again after a second, too late for most requests.
    static constexpr milliseconds connect_timeout{400};

    struct connection;

private:
    struct active;

    std::shared_ptr<connection> take_connection(const ip_address& address, time_point now);
    void connect(active& request);
    void write_request(active& request);
    void await_acknowledgement(active& request, milliseconds wait);
    void check_silence(std::uint64_t id);
    void finish(active& request, upstream_end end);
    void keep(const std::shared_ptr<connection>& carrier);
    void forget_idle(const connection& broken);
    void deliver(connection& reader, bool is_malformed);
    static void on_readable(bufferevent* stream, void* context);
    static void on_event(bufferevent* stream, short what, void* context);

    const event_loop& loop_;
    milliseconds reuse_limit_;
    std::map<ip_address, std::vector<std::shared_ptr<connection>>> idle_;
    std::map<std::uint64_t, std::unique_ptr<active>> active_;
    std::vector<loop_event> failed_starts_;
    std::uint64_t next_id_ = 1;
};

} // namespace waxwingfall

#endif
