#ifndef WAXWINGFALL_PROXY_UPSTREAM_H
#define WAXWINGFALL_PROXY_UPSTREAM_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <event2/buffer.h>

#include "waxwingfall/http/message_body.h"
#include "waxwingfall/link/http.h"

namespace waxwingfall {

/// How a request to a worker or to the worker's node ended.
enum class upstream_end : std::uint8_t {
    complete,       ///< the full response has arrived
    not_connected,  ///< no connection could be established; nothing was sent
    unacknowledged, ///< the peer did not acknowledge the request in time; it may still have received it
    /// The request ended before `100 Continue`, for any reason; its body was not sent, so it has not run.
    body_not_sent,
    lost ///< the connection broke or timed out; the request may have been received
};

/// How a request is sent.
struct upstream_options {
    milliseconds timeout{0};             ///< for each read from and write to the peer
    std::optional<http_header> echo;     ///< a response belongs to the request only if it repeats this header
    milliseconds acknowledged_within{0}; ///< for an interim response; 0 if none is expected
    /// False closes the connection after a failure response: without `echo`, a peer that writes it again
    /// can't be told from one that fails the next request.
    bool reuse_after_failure = true;
    /// Sent behind the request's own body, by reference. Null if there is none.
    std::shared_ptr<const message_body> body{};
    /// The head of a request whose body is larger than this number of bytes is sent with `Expect:
    /// 100-continue`, and the body after `100 Continue`. A final response before that ends the request. 0
    /// sends all bodies at once.
    std::size_t body_after_continue = 0;
    std::string signature{}; ///< header without which a success is malformed; empty if none is
};

/// Callbacks for the events of a request, in this order: headers at most once, data any number of times, end
/// once.
struct upstream_callbacks {
    std::function<void(int status, const std::vector<http_header>& headers)> on_headers;
    std::function<void(evbuffer* data)> on_data;
    std::function<void(upstream_end end)> on_end;
    /// Called at most once, when the peer acknowledges the request, by an interim or the final response.
    std::function<void()> on_acknowledged{};
    /// Called when an acknowledgement is overdue. Returns how much longer to wait for it, or 0 to end the
    /// request as unacknowledged. If not set, the first overdue acknowledgement ends the request.
    std::function<milliseconds()> on_acknowledgement_overdue{};
    /// Called just before the end of a lost request if its connection was new and was reset before any byte
    /// of a response: the peer may be full. It may have received the request.
    std::function<void()> on_reset_unanswered{};
};

/// A pool of client connections to workers and nodes. Each connection carries one request at a time. One that
/// was idle for longer than the reuse limit is closed instead of reused, because a middlebox may have dropped
/// its state. All idle connections are closed if reused ones seem to have gone silent: an acknowledgement on
/// one is overdue, and none has delivered anything since that request was sent.
class upstream_pool {
public:
    upstream_pool(const event_loop& loop, milliseconds reuse_limit);
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// Sends a request and returns its id. The pool never resends a request.
    std::uint64_t send(const ip_address& address, const http_request& request,
                       const upstream_options& options, upstream_callbacks callbacks);

    /// False if the request can't have run, because its body has not been sent.
    bool may_have_run(std::uint64_t id) const;

    /// Ends a request without further callbacks and closes its connection.
    void cancel(std::uint64_t id);

    /// Pauses and resumes reading the response, for backpressure from a slow receiver.
    void pause(std::uint64_t id);
    void resume(std::uint64_t id);

    /// Closes connections that were idle for longer than their reuse limit.
    void close_idle(time_point now);

    std::size_t open_connections() const;

    /// Timeout for establishing a connection; nothing has been sent when it expires. Connecting between data
    /// centres takes 7 ms. TCP retransmits a lost SYN only after a second, too late for most requests.
    static constexpr milliseconds connect_timeout{400};

    struct connection;

private:
    struct active_request;

    std::shared_ptr<connection> acquire_connection(const ip_address& address, time_point now);
    void connect(active_request& request);
    void write_request(active_request& request);
    void write_body(active_request& request);
    void await_acknowledgement(active_request& request, milliseconds wait);
    void check_acknowledgement(std::uint64_t id);
    void finish(active_request& request, upstream_end end);
    void keep_idle(const std::shared_ptr<connection>& conn);
    void remove_idle(connection& broken);
    void close_idle_if_silent(const active_request& overdue);
    void deliver(connection& conn, bool is_malformed);
    void receive(bufferevent* stream, const std::shared_ptr<connection>& conn);
    void handle_event(short what, const std::shared_ptr<connection>& conn);
    static void on_readable(bufferevent* stream, void* context);
    static void on_event(bufferevent* stream, short what, void* context);

    const event_loop& loop_;
    milliseconds reuse_limit_;
    std::map<ip_address, std::vector<std::shared_ptr<connection>>> idle_;
    std::map<std::uint64_t, std::unique_ptr<active_request>> active_;
    std::vector<loop_event> failed_connects_;
    std::uint64_t next_id_ = 1;
    time_point last_delivery_on_reused_; ///< of anything, on a connection that was idle before
};

} // namespace waxwingfall

#endif
