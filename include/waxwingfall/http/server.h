#ifndef WAXWINGFALL_HTTP_SERVER_H
#define WAXWINGFALL_HTTP_SERVER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <event2/buffer.h>
#include <event2/listener.h>

#include "waxwingfall/http/message_body.h"
#include "waxwingfall/link/address.h"
#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/link/http.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Limits of one request server. Those of memory and connections are in `server_capacity`.
struct server_limits {
    std::size_t header_bytes = 16'384; ///< of a head, without its line ends
    std::uint64_t body_bytes = 1'048'576;
    std::size_t pipelined = 16;           ///< requests of one connection that are open at the same time
    milliseconds head_timeout{10'000};    ///< from the first byte of a request to the end of its head
    milliseconds request_timeout{10'000}; ///< without progress of a body, or of a response's receiver
    milliseconds idle_timeout{10'000};    ///< of a connection between requests
    /// For which an idle connection is not closed in favour of a new one. A client that uses it at that
    /// moment could not tell whether its request has run.
    milliseconds reuse_time{0};
    auto operator<=>(const server_limits&) const = default;
};

/// Why a server refused a request or closed a connection by itself.
enum class server_refusal : std::uint8_t {
    malformed,            ///< 400
    head_too_large,       ///< 431
    body_too_large,       ///< 413
    timed_out,            ///< 408: incomplete for too long
    out_of_memory,        ///< 503, or closed: the budget of bytes is exhausted
    too_many_connections, ///< closed without a response
    unread_response       ///< closed: the client does not read
};

/// The name of a refusal in metrics and logs, for example "body-too-large".
std::string_view refusal_name(server_refusal reason);

/// A response that is sent at once.
struct server_response {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
};

class server_connection;

/// What all request servers of a process share: the budget of bytes and the limit on connections. When one is
/// exceeded, the connection that has made no progress for the longest time gives way, of whichever server.
class server_capacity {
public:
    /// `buffered_bytes` bounds the bytes of requests and unsent responses, `connections` the accepted
    /// connections. As many requests may be open in addition to the first one of each connection.
    server_capacity(std::size_t buffered_bytes, std::size_t connections);

    std::size_t buffered_bytes() const { return count_->used; }
    std::size_t byte_limit() const { return byte_limit_; }
    std::size_t open_connections() const { return connections_.size(); }
    std::size_t open_exchanges() const { return open_exchanges_; }

    /// Number of refusals of a kind since the start.
    std::uint64_t refusals(server_refusal reason) const;

private:
    friend class server_connection;
    friend class server_exchange;
    friend class request_server;
    /// Refuses unfinished requests until the budget suffices.
    void make_room(time_point now);
    /// Closes a connection that is idle or unfinished, or else one whose client does not read. Returns false
    /// if there is none.
    bool close_one(time_point now);
    /// Closes a connection whose client has read nothing for a while. Returns false if there is none.
    bool close_unread(time_point now);

    std::shared_ptr<byte_count> count_ = std::make_shared<byte_count>();
    std::size_t byte_limit_;
    std::size_t connection_limit_;
    std::size_t open_exchanges_ = 0;
    std::vector<server_connection*> connections_;
    std::map<server_refusal, std::uint64_t> refusals_;
};

/// One request with its response. Held by its connection and by the application; it may outlive the
/// connection. Responses are sent in the order of the requests of a connection.
class server_exchange : public std::enable_shared_from_this<server_exchange> {
public:
    server_exchange(server_capacity& capacity, server_connection* connection);
    ~server_exchange();
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;

    std::string_view method() const { return method_; }
    const std::string& target() const { return target_; }
    /// The minor version of HTTP/1.
    unsigned minor_version() const { return minor_version_; }
    /// In the order of their arrival, with hop-by-hop headers.
    const std::vector<http_header>& headers() const { return headers_; }
    /// The value of the first header of this name, or an empty string.
    std::string header(std::string_view name) const;
    /// The Content-Length, if the request states one.
    std::optional<std::uint64_t> declared_length() const { return declared_length_; }
    /// What has been received of the body; the whole of it from `on_request` on. Never null.
    std::shared_ptr<const message_body> body() const { return body_; }

    /// After `server_decision::defer`: sends 100 Continue and receives the body. The server calls
    /// `on_request` when it is complete.
    void accept_body();

    /// Sends an interim response such as 102, if the request is the first of its connection and its final
    /// response has not been started.
    void send_interim(int status);

    /// Sends a full response.
    void reply(const server_response& response);

    /// Starts a streamed response, with the length in a Content-Length header, or else chunked; for HTTP/1.0
    /// it ends with the connection.
    void begin(int status, const std::vector<http_header>& headers);

    /// Sends part of the body, which is removed from `data`. Returns true if so much is pending that the
    /// source should pause until `on_drained` is called.
    bool write(evbuffer* data, std::function<void()> on_drained);

    /// Ends a streamed response. If it is shorter than its Content-Length, it is aborted.
    void end();

    /// Ends the request without a response, or a response that has begun as an incomplete one: the connection
    /// is closed after the responses before it. Has no effect after the end of a response.
    void abort();

    /// Closes the connection after this response if no other request was read behind it.
    void close_if_last() { close_if_last_ = true; }

    /// Declares that the response may be broken off after it has begun, which closes the connection and drops
    /// the responses behind it.
    void may_break_off() { may_break_off_ = true; }

    /// True if a response before this one on the connection may be broken off.
    bool is_behind_uncertain() const;

    /// True if the client has closed its connection or sent the end of its stream, or if the request was
    /// dropped: refused before it was complete, or behind a response that closes the connection.
    bool is_disconnected() const;

    /// True if all responses before this one on the connection are complete.
    bool is_first() const;

    /// Calls `action` once, from the event loop, when the request has become the first of its connection.
    void when_first(std::function<void()> action);

    /// Calls `action` once when the last byte of the response has been written to the socket or the
    /// connection is closed. To be set before the end of the response.
    void when_sent(std::function<void()> action) { on_sent_ = std::move(action); }

    /// True if the head of the request has been received.
    bool has_head() const { return !method_.empty(); }
    /// True if the response can still be sent or continued.
    bool is_open() const { return connection_ != nullptr && !has_ended_; }
    bool has_started() const { return has_started_; }
    bool has_ended() const { return has_ended_; }

private:
    friend class server_connection;
    friend class server_capacity;
    friend class request_server;
    void start_response(int status, const std::vector<http_header>& headers, bool has_full_body);
    void append_body(evbuffer* data);
    void detach();
    void report_sent();
    evbuffer* sink();

    server_capacity& capacity_;
    server_connection* connection_; ///< null once the connection is closed or the request dropped
    std::string method_;
    std::string target_;
    unsigned minor_version_ = 1;
    std::vector<http_header> headers_;
    std::optional<std::uint64_t> declared_length_;
    std::shared_ptr<message_body> body_;
    std::size_t head_charge_ = 0;
    bool expects_continue_ = false;
    bool is_deferred_ = false;
    bool is_complete_ = false; ///< the request was received completely
    bool wants_close_ = false; ///< the connection ends after this response
    bool close_if_last_ = false;
    bool may_break_off_ = false;
    bool has_started_ = false;
    bool has_ended_ = false;
    bool is_aborted_ = false;
    bool is_chunked_ = false;
    bool is_close_delimited_ = false;
    bool has_no_body_ = false;
    std::optional<std::uint64_t> remaining_; ///< of the response's Content-Length
    evbuffer* pending_ = nullptr;            ///< of a response that is not the first yet
    std::uint64_t end_offset_ = 0;           ///< of the response in the output of the connection
    std::function<void()> on_drained_;
    std::function<void()> on_first_;
    std::function<void()> on_sent_;
};

/// What happens to a request that waits for 100 Continue.
enum class server_decision : std::uint8_t {
    accept,  ///< the server sends 100 Continue and receives the body
    defer,   ///< the application calls `accept_body` or responds later
    answered ///< the application has sent its final response
};

/// Callbacks of a request server.
struct server_callbacks {
    /// Called with each complete request.
    std::function<void(std::shared_ptr<server_exchange>)> on_request;
    /// Called with the head of a request with `Expect: 100-continue` when it is the first of its connection.
    /// If not set, all bodies are accepted.
    std::function<server_decision(const std::shared_ptr<server_exchange>&)> on_head{};
    /// The response to a request that the server refuses; called for each refusal, also for those that get no
    /// response. If not set, the response has an empty body.
    /// The request is null if none was being received; its head may be incomplete.
    std::function<server_response(server_refusal, const server_exchange* request)> on_refusal{};
};

/// An HTTP/1.1 server for requests that are forwarded: bodies are held once and passed on by reference, all
/// buffers are bounded, and requests that a client pipelines are processed concurrently.
class request_server {
public:
    /// Binds `address`. Throws std::runtime_error with the address in its text if that fails. `capacity`
    /// outlives the server.
    request_server(const event_loop& loop, const ip_address& address, server_capacity& capacity,
                   const server_limits& limits, server_callbacks callbacks);
    ~request_server();
    request_server(const request_server&) = delete;
    request_server& operator=(const request_server&) = delete;

    /// Stops accepting connections. Open connections are still served.
    void stop_accepting();

    /// Replaces the limits, also for open connections.
    void set_limits(const server_limits& limits);
    const server_limits& limits() const { return limits_; }

    /// The port that is bound.
    std::uint16_t port() const;

private:
    friend class server_connection;
    friend class server_exchange;
    void accept(evutil_socket_t socket, time_point now);
    void pause_accepting();
    /// Counts a refusal and returns the response to it.
    server_response report(server_refusal reason, const server_exchange* request);
    void sweep(time_point now);
    void remove(server_connection& closed);

    const event_loop& loop_;
    server_capacity& capacity_;
    server_limits limits_;
    server_callbacks callbacks_;
    evconnlistener* listener_ = nullptr;
    std::map<server_connection*, std::shared_ptr<server_connection>> connections_;
    loop_event sweep_;
    loop_event resume_accepting_;
};

/// Raises the limit that http_parser applies to the heads of all messages of the process to `bytes`.
void allow_head_bytes(std::uint32_t bytes);

} // namespace waxwingfall

#endif
