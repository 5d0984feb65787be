#ifndef WAXWINGFALL_LIB_HTTP_SERVER_CONNECTION_H
#define WAXWINGFALL_LIB_HTTP_SERVER_CONNECTION_H

#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <http_parser.h>

#include "waxwingfall/http/server.h"

namespace waxwingfall {

/// Bytes of responses that may be pending on a connection before its sources are paused and no further
/// request is read from it.
inline constexpr std::size_t output_high_bytes = 256UL * 1024;
/// Pending bytes below which a paused source continues.
inline constexpr std::size_t output_low_bytes = 64UL * 1024;
/// Bytes of a response that may be pending while responses before it are incomplete.
inline constexpr std::size_t waiting_high_bytes = 64UL * 1024;

/// An accepted connection: parses requests, keeps their exchanges in order and writes the responses. The
/// parser's callbacks only record what they parsed; `parse` acts on it after the parser has returned.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(request_server& server, evutil_socket_t socket, time_point now);
    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// True if the connection carries no request and no response.
    bool is_idle() const;
    /// True if a request has been received in part and its rest is awaited.
    bool is_unfinished() const { return current_ != nullptr && !current_->is_deferred_; }
    /// True if closing it for lack of room affects no complete request.
    bool may_be_closed(time_point now) const;
    /// True if pending output has not been read for `limit`.
    bool is_stalled(time_point now, milliseconds limit) const;
    time_point last_progress() const { return last_progress_; }

    /// Refuses the request being received and closes the connection after the responses.
    void refuse(server_refusal reason);

    /// Applies the timeouts of the server.
    void check_timeouts(time_point now);

    /// Closes the connection because its client does not read.
    void close_unread();

    /// Closes the connection at once. A reset discards what the client has not received.
    void close(bool reset);

    // For exchanges.
    bool is_first(const server_exchange& exchange) const;
    bool is_last(const server_exchange& exchange) const;
    bool is_behind_uncertain(const server_exchange& exchange) const;
    evbuffer* output() const { return bufferevent_get_output(stream_); }
    bool has_client_left() const;
    /// Reads no more requests and drops those behind `last`.
    void stop_after(const server_exchange& last);
    /// Removes ended exchanges from the front and lets the next one write.
    void advance();
    void continue_body(server_exchange& exchange);
    /// Charges the budget with the bytes that the connection holds, then makes room if it is exceeded.
    void update_charge();
    /// Runs `process` from the event loop.
    void schedule();

private:
    enum class state : std::uint8_t { open, lingering, closed };

    static const http_parser_settings& parser_settings();
    static void on_output_change(evbuffer* output, const evbuffer_cb_info* info, void* context);
    static int on_url(http_parser* parser, const char* at, std::size_t size);
    static int on_field(http_parser* parser, const char* at, std::size_t size);
    static int on_value(http_parser* parser, const char* at, std::size_t size);
    static int on_headers_complete(http_parser* parser);
    static int on_body(http_parser* parser, const char* at, std::size_t size);
    static int on_message_complete(http_parser* parser);

    void process();
    void parse();
    bool can_parse() const;
    void begin_request();
    void parse_piece(std::string_view piece);
    void store_header();
    std::optional<server_refusal> find_fault() const;
    void examine_head();
    void ask_for_body();
    void finish_request();
    void report_progress();
    void close_when_done();
    void linger();
    void discard_input();
    void update_reading();
    void handle_event(short what);
    void drop_exchanges(std::size_t kept);

    request_server& server_;
    server_capacity& capacity_;
    bufferevent* stream_ = nullptr;
    event* wake_ = nullptr;
    state state_ = state::open;
    http_parser parser_{};
    std::shared_ptr<server_exchange> current_;               ///< the request being received
    std::deque<std::shared_ptr<server_exchange>> exchanges_; ///< whose responses have not ended, in order
    std::deque<std::shared_ptr<server_exchange>> unsent_;    ///< ended, but not written completely
    std::string field_;
    std::string value_;
    bool in_value_ = false;
    bool in_head_ = true;
    bool at_line_start_ = false;
    bool has_begun_ = false; ///< more than empty lines has been received of the current request
    bool head_ready_ = false;
    bool message_complete_ = false;
    bool awaits_turn_ = false; ///< its body is asked for when the responses before it are complete
    std::optional<server_refusal> fault_;
    std::size_t head_bytes_ = 0;
    std::size_t trailer_bytes_ = 0;
    std::size_t unreported_bytes_ = 0; ///< received since the last progress
    bool stops_reading_ = false;       ///< no further request is read
    bool closes_ = false;              ///< when all output has been written
    bool resets_ = false;              ///< instead of an orderly close
    bool peer_closed_ = false;
    std::size_t charge_ = 0;
    std::uint64_t written_ = 0;  ///< bytes that have left the output buffer
    time_point last_progress_;   ///< of the client in sending requests
    time_point request_started_; ///< when the first byte of the current request arrived
    time_point last_written_;    ///< when output was last written, or was empty
    time_point linger_until_;
    std::size_t linger_bytes_ = 0; ///< that may still be discarded
};

} // namespace waxwingfall

#endif
