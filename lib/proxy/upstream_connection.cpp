#include "upstream_connection.h"

#include <algorithm>

#include "waxwingfall/proxy/downstream.h"

namespace waxwingfall {

namespace {

constexpr unsigned first_final_status = 200;
constexpr unsigned first_redirection_status = 300;
constexpr int status_continue = 100;
constexpr int status_switching_protocols = 101;
constexpr unsigned http_major_version = 1;

upstream_pool::connection& connection_of(http_parser* parser) {
    return *static_cast<upstream_pool::connection*>(parser->data);
}

/// True if the body is delimited by what the parser knows: a request without TE allows no other transfer
/// coding than a single `chunked`. The parser would take any other body for one that ends with its
/// connection.
bool has_known_transfer_coding(const std::vector<http_header>& headers) {
    const std::size_t count = count_headers(headers, "Transfer-Encoding");
    return count == 0 ||
           (count == 1 && equal_ignoring_case(find_header(headers, "Transfer-Encoding")->value, "chunked"));
}

/// True if a successful response carries the signature of the worker, where it must.
bool is_signed_if_needed(const upstream_pool::connection& conn) {
    const bool is_success =
        conn.parser.status_code >= first_final_status && conn.parser.status_code < first_redirection_status;
    return conn.signature.empty() || !is_success || !header_value(conn.headers, conn.signature).empty();
}

/// True if the head that has been parsed is one of a response to a plain HTTP/1 request. The parser accepts
/// more than that.
bool is_valid_head(const http_parser& parser, const std::vector<http_header>& headers) {
    const int status = static_cast<int>(parser.status_code);
    return parser.http_major == http_major_version && is_valid_status(status) &&
           status != status_switching_protocols &&
           std::all_of(headers.begin(), headers.end(), is_valid_header) && has_known_transfer_coding(headers);
}

int on_begin(http_parser* parser) {
    upstream_pool::connection& conn = connection_of(parser);
    conn.headers.clear();
    conn.field.clear();
    conn.value.clear();
    conn.in_value = false;
    conn.is_current_response = false;
    return 0;
}

int on_field(http_parser* parser, const char* at, std::size_t size) {
    upstream_pool::connection& conn = connection_of(parser);
    if (conn.in_value) {
        conn.store_header();
    }
    conn.field.append(at, size);
    return 0;
}

int on_value(http_parser* parser, const char* at, std::size_t size) {
    upstream_pool::connection& conn = connection_of(parser);
    conn.in_value = true;
    conn.value.append(at, size);
    return 0;
}

int on_headers_complete(http_parser* parser) {
    upstream_pool::connection& conn = connection_of(parser);
    conn.store_header();
    conn.in_head = false;
    conn.is_malformed = !is_valid_head(*parser, conn.headers);
    if (conn.is_malformed) {
        return 0;
    }
    const bool is_final = parser->status_code >= first_final_status;
    // A response to an earlier request may still arrive; the echoed header distinguishes them.
    const bool matches_request =
        !conn.echo || header_value(conn.headers, conn.echo->name) == conn.echo->value;
    conn.is_malformed = is_final && matches_request && !is_signed_if_needed(conn);
    conn.is_current_response = is_final && matches_request && !conn.is_malformed;
    conn.headers_ready = conn.is_current_response;
    conn.acknowledged = conn.acknowledged || matches_request || !is_final;
    conn.may_continue = conn.may_continue || parser->status_code == status_continue;
    return conn.is_head ? 1 : 0;
}

int on_body(http_parser* parser, const char* at, std::size_t size) {
    upstream_pool::connection& conn = connection_of(parser);
    if (conn.is_current_response) {
        evbuffer_add(conn.body, at, size);
    }
    return 0;
}

int on_message_complete(http_parser* parser) {
    upstream_pool::connection& conn = connection_of(parser);
    conn.in_head = true;
    conn.at_line_start = false;
    if (conn.is_current_response) {
        conn.complete = true;
        http_parser_pause(parser, 1);
    }
    return 0;
}

} // namespace

const http_parser_settings& response_parser_settings() {
    static const http_parser_settings settings = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = on_begin;
        callbacks.on_header_field = on_field;
        callbacks.on_header_value = on_value;
        callbacks.on_headers_complete = on_headers_complete;
        callbacks.on_body = on_body;
        callbacks.on_message_complete = on_message_complete;
        return callbacks;
    }();
    return settings;
}

std::size_t parse_response_bytes(upstream_pool::connection& conn, std::string_view piece) {
    const bool is_folded = conn.at_line_start && (piece.front() == ' ' || piece.front() == '\t');
    if (conn.in_head && is_folded) {
        conn.is_malformed = true;
        return 0;
    }
    const std::size_t line_end = conn.in_head ? piece.find('\n') : std::string_view::npos;
    const std::size_t size = line_end == std::string_view::npos ? piece.size() : line_end + 1;
    // Set before parsing, because the end of a message resets it.
    conn.at_line_start = conn.in_head && line_end != std::string_view::npos;
    const std::size_t used =
        http_parser_execute(&conn.parser, &response_parser_settings(), piece.data(), size);
    const http_errno error = HTTP_PARSER_ERRNO(&conn.parser);
    conn.is_malformed = conn.is_malformed || (error != HPE_OK && error != HPE_PAUSED);
    return used;
}

} // namespace waxwingfall
