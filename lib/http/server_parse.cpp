#include <algorithm>
#include <array>

#include "server_connection.h"

namespace waxwingfall {

namespace {

server_connection& connection_of(http_parser* parser) {
    return *static_cast<server_connection*>(parser->data);
}

bool is_number(std::string_view text) {
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// Bytes that a stored header occupies, with the slack of the vector that holds it.
std::size_t occupied_bytes(const http_header& header) {
    return 2 * sizeof(http_header) + header.name.size() + header.value.size();
}

bool is_supported(unsigned method) {
    constexpr std::array methods{HTTP_GET,    HTTP_POST,    HTTP_HEAD, HTTP_PUT,
                                 HTTP_DELETE, HTTP_OPTIONS, HTTP_PATCH};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

} // namespace

const http_parser_settings& server_connection::parser_settings() {
    static const http_parser_settings settings = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_url = on_url;
        callbacks.on_header_field = on_field;
        callbacks.on_header_value = on_value;
        callbacks.on_headers_complete = on_headers_complete;
        callbacks.on_body = on_body;
        callbacks.on_message_complete = on_message_complete;
        return callbacks;
    }();
    return settings;
}

int server_connection::on_url(http_parser* parser, const char* at, std::size_t size) {
    server_connection& conn = connection_of(parser);
    conn.current_->target_.append(at, size);
    conn.current_->head_charge_ += size;
    conn.capacity_.count_->used += size;
    return 0;
}

int server_connection::on_field(http_parser* parser, const char* at, std::size_t size) {
    server_connection& conn = connection_of(parser);
    if (!conn.in_head_) {
        conn.trailer_bytes_ += size;
        return 0;
    }
    if (conn.in_value_) {
        conn.store_header();
    }
    conn.field_.append(at, size);
    return 0;
}

int server_connection::on_value(http_parser* parser, const char* at, std::size_t size) {
    server_connection& conn = connection_of(parser);
    if (!conn.in_head_) {
        conn.trailer_bytes_ += size;
        return 0;
    }
    conn.in_value_ = true;
    conn.value_.append(at, size);
    return 0;
}

int server_connection::on_headers_complete(http_parser* parser) {
    server_connection& conn = connection_of(parser);
    conn.store_header();
    conn.in_head_ = false;
    conn.head_ready_ = true;
    server_exchange& request = *conn.current_;
    request.method_ = http_method_str(static_cast<http_method>(parser->method));
    request.minor_version_ = parser->http_major == 1 ? parser->http_minor : 1;
    request.wants_close_ = http_should_keep_alive(parser) == 0;
    // Bytes behind a request that offers another protocol are requests of this one.
    parser->upgrade = 0;
    conn.fault_ = conn.fault_ ? conn.fault_ : conn.find_fault();
    return 0;
}

int server_connection::on_body(http_parser* parser, const char* at, std::size_t size) {
    server_connection& conn = connection_of(parser);
    if (conn.fault_) {
        return 0;
    }
    message_body& body = *conn.current_->body_;
    if (body.size() + size > conn.server_.limits_.body_bytes) {
        conn.fault_ = server_refusal::body_too_large;
        return 0;
    }
    const auto length = conn.current_->declared_length_;
    body.append({at, size}, length ? *length - body.size() : 0);
    conn.unreported_bytes_ += size;
    return 0;
}

int server_connection::on_message_complete(http_parser* parser) {
    connection_of(parser).message_complete_ = true;
    http_parser_pause(parser, 1);
    return 0;
}

void server_connection::store_header() {
    if (!field_.empty()) {
        current_->headers_.push_back({std::move(field_), std::move(value_)});
        const std::size_t occupied = occupied_bytes(current_->headers_.back());
        current_->head_charge_ += occupied;
        capacity_.count_->used += occupied;
    }
    field_.clear();
    value_.clear();
    in_value_ = false;
}

/// Two HTTP implementations that disagree about the length or the fields of a request split the same bytes
/// into different requests (request smuggling), so anything ambiguous is refused.
std::optional<server_refusal> server_connection::find_fault() const {
    const server_exchange& request = *current_;
    const std::vector<http_header>& headers = request.headers_;
    const std::size_t lengths = count_headers(headers, "Content-Length");
    const std::size_t encodings = count_headers(headers, "Transfer-Encoding");
    const bool is_valid =
        parser_.http_major == 1 && is_supported(parser_.method) && request.target_.starts_with('/') &&
        std::all_of(headers.begin(), headers.end(), is_valid_header) && count_headers(headers, "Host") == 1 &&
        lengths + encodings <= 1 && (lengths == 0 || is_number(request.header("Content-Length"))) &&
        (encodings == 0 || equal_ignoring_case(request.header("Transfer-Encoding"), "chunked"));
    return is_valid ? std::nullopt : std::optional(server_refusal::malformed);
}

void server_connection::begin_request() {
    current_ = std::make_shared<server_exchange>(capacity_, this);
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    field_.clear();
    value_.clear();
    in_value_ = false;
    in_head_ = true;
    at_line_start_ = false;
    has_begun_ = false;
    head_ready_ = false;
    message_complete_ = false;
    awaits_turn_ = false;
    fault_.reset();
    head_bytes_ = 0;
    trailer_bytes_ = 0;
    unreported_bytes_ = 0;
    request_started_ = monotonic_now();
    last_progress_ = request_started_;
}

/// Parses the start of `piece`: in a head at most one line, so that a folded line is noticed, which the
/// parser would join to the one before.
void server_connection::parse_piece(std::string_view piece) {
    const bool is_folded = at_line_start_ && (piece.front() == ' ' || piece.front() == '\t');
    if (in_head_ && is_folded) {
        fault_ = server_refusal::malformed;
        return;
    }
    const std::size_t line_end = in_head_ ? piece.find('\n') : std::string_view::npos;
    const bool has_line_end = line_end != std::string_view::npos;
    const std::size_t size = has_line_end ? line_end + 1 : piece.size();
    if (in_head_) {
        has_begun_ = has_begun_ || piece.substr(0, size).find_first_not_of("\r\n") != std::string_view::npos;
        const bool has_return = has_line_end && line_end > 0 && piece[line_end - 1] == '\r';
        head_bytes_ += size - (has_line_end ? 1 : 0) - (has_return ? 1 : 0);
        unreported_bytes_ += size;
        at_line_start_ = has_line_end && has_begun_;
        if (head_bytes_ > server_.limits_.header_bytes) {
            fault_ = server_refusal::head_too_large;
            return;
        }
    }
    const std::size_t used = http_parser_execute(&parser_, &parser_settings(), piece.data(), size);
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (!fault_ && error == HPE_HEADER_OVERFLOW) {
        fault_ = server_refusal::head_too_large;
    } else if (!fault_ && error != HPE_OK && error != HPE_PAUSED) {
        fault_ = server_refusal::malformed;
    }
    if (!fault_ && trailer_bytes_ > server_.limits_.header_bytes) {
        fault_ = server_refusal::head_too_large;
    }
    evbuffer_drain(bufferevent_get_input(stream_), used);
}

void server_connection::examine_head() {
    head_ready_ = false;
    server_exchange& request = *current_;
    const std::string length = request.header("Content-Length");
    if (!length.empty()) {
        request.declared_length_ = parser_.content_length;
        if (message_complete_ || length.find_first_not_of('0') == std::string::npos) {
            request.declared_length_ = 0;
        }
        if (*request.declared_length_ > server_.limits_.body_bytes) {
            fault_ = server_refusal::body_too_large;
            return;
        }
    }
    last_progress_ = monotonic_now();
    request.expects_continue_ = !message_complete_ && request.minor_version_ > 0 &&
                                equal_ignoring_case(request.header("Expect"), "100-continue");
    awaits_turn_ = request.expects_continue_;
}

} // namespace waxwingfall
