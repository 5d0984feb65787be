#include <algorithm>
#include <charconv>
#include <ctime>

#include "server_connection.h"

namespace waxwingfall {

namespace {

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int first_final_status = 200;

std::string_view reason_phrase(int status) {
    const std::string_view phrase = http_status_str(static_cast<http_status>(status));
    return phrase.starts_with('<') ? std::string_view("Unknown") : phrase;
}

std::string date_value() {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::string text(32, '\0');
    text.resize(std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts));
    return text;
}

void add_text(evbuffer* out, std::string_view text) {
    evbuffer_add(out, text.data(), text.size());
}

std::optional<std::uint64_t> read_length(const std::vector<http_header>& headers) {
    const http_header* length = find_header(headers, "Content-Length");
    std::uint64_t value = 0;
    if (length == nullptr) {
        return std::nullopt;
    }
    const char* end = length->value.data() + length->value.size();
    const auto read = std::from_chars(length->value.data(), end, value);
    return read.ec == std::errc{} && read.ptr == end ? std::optional(value) : std::nullopt;
}

} // namespace

server_exchange::server_exchange(server_capacity& capacity, server_connection* connection)
    : capacity_(capacity), connection_(connection), body_(std::make_shared<message_body>(capacity.count_)) {
    ++capacity_.open_exchanges_;
}

server_exchange::~server_exchange() {
    --capacity_.open_exchanges_;
    capacity_.count_->used -= head_charge_;
    if (pending_ != nullptr) {
        evbuffer_free(pending_);
    }
}

std::string server_exchange::header(std::string_view name) const {
    return header_value(headers_, name);
}

bool server_exchange::is_disconnected() const {
    return connection_ == nullptr || has_ended_ || connection_->has_client_left();
}

bool server_exchange::is_first() const {
    return connection_ != nullptr && connection_->is_first(*this);
}

bool server_exchange::is_behind_uncertain() const {
    return connection_ != nullptr && connection_->is_behind_uncertain(*this);
}

void server_exchange::when_first(std::function<void()> action) {
    on_first_ = std::move(action);
    if (is_first()) {
        connection_->schedule();
    }
}

void server_exchange::accept_body() {
    if (connection_ != nullptr) {
        connection_->continue_body(*this);
    }
}

void server_exchange::send_interim(int status) {
    if (!is_first() || has_started_ || minor_version_ == 0) {
        return;
    }
    add_text(connection_->output(),
             "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason_phrase(status)) + "\r\n\r\n");
}

evbuffer* server_exchange::sink() {
    if (connection_->is_first(*this)) {
        return connection_->output();
    }
    if (pending_ == nullptr) {
        pending_ = evbuffer_new();
    }
    return pending_;
}

void server_exchange::start_response(int status, const std::vector<http_header>& headers,
                                     bool has_full_body) {
    has_started_ = true;
    if (connection_ == nullptr || has_ended_) {
        return;
    }
    has_no_body_ = method_ == "HEAD" || status == status_no_content || status == status_not_modified ||
                   status < first_final_status;
    remaining_ = read_length(headers);
    const bool is_delimited = has_no_body_ || remaining_ || has_full_body;
    is_chunked_ = !is_delimited && minor_version_ > 0;
    is_close_delimited_ = !is_delimited && minor_version_ == 0;
    const http_header* connection = find_header(headers, "Connection");
    // The rest of a request that was not received completely can't be told from the next request.
    wants_close_ = wants_close_ || !is_complete_ || is_close_delimited_ ||
                   (connection != nullptr && equal_ignoring_case(connection->value, "close")) ||
                   (close_if_last_ && connection_->is_last(*this));
    std::string head = "HTTP/1." + std::to_string(minor_version_ > 0 ? 1 : 0) + " " + std::to_string(status) +
                       " " + std::string(reason_phrase(status)) + "\r\n";
    for (const http_header& header : headers) {
        if (!equal_ignoring_case(header.name, "Connection") &&
            !equal_ignoring_case(header.name, "Transfer-Encoding")) {
            head += header.name + ": " + header.value + "\r\n";
        }
    }
    if (find_header(headers, "Date") == nullptr) {
        head += "Date: " + date_value() + "\r\n";
    }
    head += is_chunked_ ? "Transfer-Encoding: chunked\r\n" : "";
    head += wants_close_          ? "Connection: close\r\n\r\n"
            : minor_version_ == 0 ? "Connection: keep-alive\r\n\r\n"
                                  : "\r\n";
    add_text(sink(), head);
    if (wants_close_) {
        connection_->stop_after(*this);
    }
}

void server_exchange::reply(const server_response& response) {
    if (has_started_ || has_ended_) {
        return;
    }
    std::vector<http_header> headers = response.headers;
    std::erase_if(headers, [](const http_header& header) {
        return equal_ignoring_case(header.name, "Content-Length");
    });
    if (response.status != status_no_content && response.status != status_not_modified) {
        headers.push_back({"Content-Length", std::to_string(response.body.size())});
    }
    start_response(response.status, headers, true);
    if (connection_ != nullptr && !has_no_body_) {
        add_text(sink(), response.body);
    }
    remaining_.reset();
    end();
}

void server_exchange::begin(int status, const std::vector<http_header>& headers) {
    if (!has_started_ && !has_ended_) {
        start_response(status, headers, false);
    }
}

void server_exchange::append_body(evbuffer* data) {
    const std::size_t size = evbuffer_get_length(data);
    if (has_no_body_ || size == 0) {
        evbuffer_drain(data, size);
        return;
    }
    if (remaining_ && size > *remaining_) {
        evbuffer_drain(data, size);
        abort();
        return;
    }
    evbuffer* out = sink();
    if (remaining_) {
        *remaining_ -= size;
    }
    if (is_chunked_) {
        evbuffer_add_printf(out, "%zx\r\n", size);
    }
    evbuffer_add_buffer(out, data);
    if (is_chunked_) {
        add_text(out, "\r\n");
    }
}

bool server_exchange::write(evbuffer* data, std::function<void()> on_drained) {
    if (connection_ == nullptr || has_ended_ || !has_started_) {
        evbuffer_drain(data, evbuffer_get_length(data));
        return false;
    }
    append_body(data);
    if (connection_ != nullptr) {
        connection_->update_charge();
    }
    if (connection_ == nullptr || has_ended_) {
        return false;
    }
    const bool is_full = evbuffer_get_length(sink()) > (is_first() ? output_high_bytes : waiting_high_bytes);
    on_drained_ = is_full ? std::move(on_drained) : std::function<void()>();
    return is_full;
}

void server_exchange::end() {
    if (has_ended_) {
        return;
    }
    if (!has_no_body_ && remaining_.value_or(0) > 0) {
        abort();
        return;
    }
    has_ended_ = true;
    on_drained_ = {};
    if (connection_ == nullptr) {
        report_sent();
        return;
    }
    if (is_chunked_) {
        add_text(sink(), "0\r\n\r\n");
    }
    server_connection& connection = *connection_;
    connection.advance();
    connection.update_charge();
}

void server_exchange::abort() {
    if (has_ended_) {
        return;
    }
    has_ended_ = true;
    is_aborted_ = true;
    wants_close_ = true;
    on_drained_ = {};
    if (connection_ == nullptr) {
        report_sent();
        return;
    }
    connection_->stop_after(*this);
    connection_->advance();
}

void server_exchange::detach() {
    connection_ = nullptr;
    on_first_ = {};
    on_drained_ = {};
    if (pending_ != nullptr) {
        evbuffer_free(pending_);
        pending_ = nullptr;
    }
    if (has_ended_) {
        report_sent();
    }
}

void server_exchange::report_sent() {
    connection_ = nullptr;
    if (on_sent_) {
        const auto action = std::exchange(on_sent_, {});
        action();
    }
}

} // namespace waxwingfall
