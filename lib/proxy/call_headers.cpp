#include "waxwingfall/proxy/call_headers.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>

#include "waxwingfall/proxy/downstream.h"
#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

constexpr std::string_view reserved_prefix = "X-Waxwingfall-";

bool is_reserved_header(std::string_view name) {
    return name.size() >= reserved_prefix.size() &&
           equal_ignoring_case(name.substr(0, reserved_prefix.size()), reserved_prefix);
}

evhttp_cmd_type method_of(std::string_view name) {
    constexpr std::array methods{EVHTTP_REQ_GET,    EVHTTP_REQ_POST,    EVHTTP_REQ_HEAD, EVHTTP_REQ_PUT,
                                 EVHTTP_REQ_DELETE, EVHTTP_REQ_OPTIONS, EVHTTP_REQ_PATCH};
    const auto* found = std::find_if(methods.begin(), methods.end(),
                                     [&](evhttp_cmd_type method) { return method_name(method) == name; });
    assert(found != methods.end() && "the server refuses other methods");
    return *found;
}

bool is_bodiless(const evhttp_cmd_type method) {
    return method == EVHTTP_REQ_GET || method == EVHTTP_REQ_HEAD || method == EVHTTP_REQ_OPTIONS;
}

} // namespace

received_request read_request(const server_exchange& exchange) {
    received_request out;
    out.method = exchange.method();
    out.host = exchange.header("Host");
    out.path = exchange.target().substr(0, exchange.target().find('?'));
    out.body = exchange.body();
    out.request.method = method_of(out.method);
    out.request.path = exchange.target();
    for (const http_header& header : exchange.headers()) {
        if (!is_hop_by_hop_header(header.name) && !is_reserved_header(header.name) &&
            !equal_ignoring_case(header.name, "Content-Length")) {
            out.request.headers.push_back(header);
        }
    }
    if (out.body->size() > 0 || !is_bodiless(out.request.method)) {
        out.request.headers.push_back({"Content-Length", std::to_string(out.body->size())});
    }
    digest_builder digest;
    digest.add(out.method + " " + out.request.path + "\n");
    out.body->for_each_piece([&](std::string_view piece) { digest.add(piece); });
    out.fingerprint = digest.finish();
    return out;
}

error_kind kind_of(server_refusal reason) {
    switch (reason) {
    case server_refusal::malformed:
        return error_kind::malformed_request;
    case server_refusal::head_too_large:
        return error_kind::head_too_large;
    case server_refusal::body_too_large:
        return error_kind::body_too_large;
    case server_refusal::timed_out:
        return error_kind::request_timed_out;
    case server_refusal::out_of_memory:
    case server_refusal::too_many_connections:
    case server_refusal::unread_response:
        return error_kind::out_of_memory;
    }
    return error_kind::out_of_memory;
}

bool has_idempotency_key(std::string_view method, const std::vector<http_header>& headers) {
    return method != "GET" && method != "HEAD" &&
           !header_value(headers, call_header::idempotency_key).empty();
}

std::optional<milliseconds> read_remaining_timeout(const std::vector<http_header>& headers) {
    const std::string text = header_value(headers, call_header::deadline_ms);
    std::int64_t remaining_ms = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), remaining_ms);
    const bool is_valid =
        !text.empty() && result.ec == std::errc{} && result.ptr == text.data() + text.size();
    return is_valid ? std::optional(milliseconds(std::max<std::int64_t>(remaining_ms, 0))) : std::nullopt;
}

time_point read_deadline(const std::vector<http_header>& headers, milliseconds limit, time_point now) {
    return now + std::min(limit, read_remaining_timeout(headers).value_or(limit));
}

std::vector<http_header> error_headers(error_kind kind, outcome result) {
    const error_info& row = error_info_of(kind);
    return {{"Content-Type", "application/json"},
            {call_header::outcome, std::string(outcome_name(result))},
            {call_header::reason, std::string(row.name)}};
}

std::string error_body(error_kind kind, outcome result) {
    const error_info& row = error_info_of(kind);
    return "{\"outcome\":\"" + std::string(outcome_name(result)) + "\",\"reason\":\"" +
           std::string(row.name) + "\",\"text\":\"" + std::string(row.text) + "\"}\n";
}

std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers) {
    std::vector<http_header> forwarded;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(forwarded),
                 [](const http_header& header) {
                     return !is_hop_by_hop_header(header.name) && !is_reserved_header(header.name);
                 });
    return forwarded;
}

std::optional<std::uint32_t> leading_number(std::string_view text) {
    std::uint32_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    return read.ec == std::errc{} ? std::optional(value) : std::nullopt;
}

std::uint64_t parse_whole_number(std::string_view text) {
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? value : 0;
}

void set_header(std::vector<http_header>& headers, std::string_view name, std::string value) {
    std::erase_if(headers, [&](const http_header& header) { return equal_ignoring_case(header.name, name); });
    headers.push_back({std::string(name), std::move(value)});
}

} // namespace waxwingfall
