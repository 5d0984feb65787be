#include "waxwingfall/proxy/upstream.h"

#include <algorithm>
#include <charconv>

#include <event2/bufferevent.h>

#include "upstream_connection.h"
#include "waxwingfall/http/server.h"
#include "waxwingfall/link/socket_options.h"
#include "waxwingfall/proxy/downstream.h"

namespace waxwingfall {

namespace {

constexpr std::uint32_t max_response_header_bytes = 64U * 1024;
constexpr std::int64_t ms_per_s = 1000;
constexpr unsigned first_failure_status = 400;

/// Bytes of interim responses and of responses to earlier requests that are skipped before the response to a
/// request; after more, the peer is broken. Responses of the known deployments have up to 1 MB.
constexpr std::size_t max_unrelated_bytes = 4UL * 1024 * 1024;

/// Subtracted from the idle timeout that the peer advertises: a request sent while the peer closes the
/// connection may be lost.
constexpr milliseconds idle_margin{1000};

/// Returns the idle timeout in a Keep-Alive header such as "timeout=5" less `idle_margin`, at most
/// `fallback`; `fallback` if the header gives none.
milliseconds advertised_idle(const std::vector<http_header>& headers, milliseconds fallback) {
    const std::string text = header_value(headers, "Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const auto at = text.find(name);
    if (at == std::string::npos) {
        return fallback;
    }
    std::int64_t seconds = 0;
    const char* start = text.data() + at + name.size();
    if (std::from_chars(start, text.data() + text.size(), seconds).ec != std::errc{}) {
        return fallback;
    }
    return std::min(fallback, std::max(milliseconds(0), milliseconds(seconds * ms_per_s) - idle_margin));
}

std::size_t body_size(const http_request& request, const upstream_options& options) {
    return request.body.size() + (options.body == nullptr ? 0 : options.body->size());
}

std::string request_head(const http_request& request, bool expects_continue) {
    std::string head = std::string(method_name(request.method)) + " " + request.path + " HTTP/1.1\r\n";
    for (const http_header& header : request.headers) {
        head += header.name + ": " + header.value + "\r\n";
    }
    return head + (expects_continue ? "Expect: 100-continue\r\n\r\n" : "\r\n");
}

} // namespace

/// A request whose response is not complete yet.
struct upstream_pool::active_request {
    std::uint64_t id = 0;
    http_request request;
    upstream_options options;
    loop_event acknowledgement_due;
    bool acknowledgement_reported = false;
    upstream_callbacks callbacks;
    std::shared_ptr<connection> conn;
    time_point sent_at;
    bool awaits_continue = false; ///< the body has not been sent
};

upstream_pool::upstream_pool(const event_loop& loop, milliseconds reuse_limit)
    : loop_(loop), reuse_limit_(reuse_limit) {
    allow_head_bytes(max_response_header_bytes);
}

upstream_pool::~upstream_pool() {
    while (!active_.empty()) {
        cancel(active_.begin()->first);
    }
}

std::shared_ptr<upstream_pool::connection> upstream_pool::acquire_connection(const ip_address& address,
                                                                             time_point now) {
    auto& connections = idle_[address];
    while (!connections.empty()) {
        std::shared_ptr<connection> last = connections.back();
        connections.pop_back();
        if (now - last->idle_since <= last->reuse_limit) {
            return last;
        }
        last->close();
    }
    auto new_connection = std::make_shared<connection>();
    new_connection->pool = this;
    new_connection->address = address;
    new_connection->body = evbuffer_new();
    http_parser_init(&new_connection->parser, HTTP_RESPONSE);
    new_connection->parser.data = new_connection.get();
    return new_connection;
}

std::uint64_t upstream_pool::send(const ip_address& address, const http_request& request,
                                  const upstream_options& options, upstream_callbacks callbacks) {
    const std::uint64_t id = next_id_++;
    auto new_request = std::make_unique<active_request>();
    new_request->id = id;
    new_request->request = request;
    new_request->options = options;
    new_request->callbacks = std::move(callbacks);
    new_request->sent_at = monotonic_now();
    new_request->awaits_continue =
        options.body_after_continue > 0 && body_size(request, options) > options.body_after_continue;
    new_request->conn = acquire_connection(address, new_request->sent_at);
    connection& conn = *new_request->conn;
    conn.current = id;
    conn.echo = options.echo;
    conn.signature = options.signature;
    conn.acknowledged = false;
    conn.may_continue = false;
    conn.has_received = false;
    conn.is_reused = conn.connected;
    conn.unrelated_bytes = 0;
    conn.is_head = request.method == EVHTTP_REQ_HEAD;
    conn.in_head = true;
    conn.at_line_start = false;
    conn.is_malformed = false;
    conn.headers_ready = false;
    conn.headers_delivered = false;
    conn.complete = false;
    active_request& started = *new_request;
    active_.emplace(id, std::move(new_request));
    if (conn.connected) {
        write_request(started);
    } else {
        connect(started);
    }
    return id;
}

void upstream_pool::connect(active_request& request) {
    connection& conn = *request.conn;
    conn.stream = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(conn.stream, on_readable, nullptr, on_event, &conn);
    const timeval limit = to_timeval(std::min(request.options.timeout, connect_timeout));
    bufferevent_set_timeouts(conn.stream, nullptr, &limit);
    const auto target = socket_address(conn.address);
    if (bufferevent_socket_connect(conn.stream, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) !=
        0) {
        const std::uint64_t id = request.id;
        failed_connects_.push_back(loop_event::after(loop_, milliseconds(0), [this, id] {
            if (const auto found = active_.find(id); found != active_.end()) {
                finish(*found->second, upstream_end::not_connected);
            }
        }));
        return;
    }
    set_stream_options(bufferevent_getfd(conn.stream), silence_limit::long_limit);
}

void upstream_pool::write_request(active_request& request) {
    connection& conn = *request.conn;
    const timeval limit = to_timeval(request.options.timeout);
    bufferevent_set_timeouts(conn.stream, &limit, &limit);
    bufferevent_enable(conn.stream, EV_READ | EV_WRITE);
    const std::string head = request_head(request.request, request.awaits_continue);
    bufferevent_write(conn.stream, head.data(), head.size());
    if (!request.awaits_continue) {
        write_body(request);
    }
    if (request.options.acknowledged_within.count() > 0) {
        await_acknowledgement(request, request.options.acknowledged_within);
    }
}

void upstream_pool::write_body(active_request& request) {
    request.awaits_continue = false;
    bufferevent_write(request.conn->stream, request.request.body.data(), request.request.body.size());
    if (request.options.body != nullptr) {
        add_body_reference(bufferevent_get_output(request.conn->stream), request.options.body);
        request.options.body.reset();
    }
    request.request = {};
}

bool upstream_pool::may_have_run(std::uint64_t id) const {
    const auto found = active_.find(id);
    return found == active_.end() || !found->second->awaits_continue;
}

void upstream_pool::await_acknowledgement(active_request& request, milliseconds wait) {
    const std::uint64_t id = request.id;
    request.acknowledgement_due = loop_event::after(loop_, wait, [this, id] { check_acknowledgement(id); });
}

void upstream_pool::check_acknowledgement(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found == active_.end() || found->second->conn->acknowledged) {
        return;
    }
    close_idle_if_silent(*found->second);
    if (found->second->awaits_continue) {
        finish(*found->second, upstream_end::body_not_sent);
        return;
    }
    // Copied because the callback may cancel the request, which destroys it.
    const auto on_overdue = found->second->callbacks.on_acknowledgement_overdue;
    const milliseconds extension = on_overdue ? on_overdue() : milliseconds(0);
    const auto still_waiting = active_.find(id);
    if (still_waiting == active_.end()) {
        return;
    }
    if (extension.count() > 0) {
        await_acknowledgement(*still_waiting->second, extension);
        return;
    }
    finish(*still_waiting->second, upstream_end::unacknowledged);
}

void upstream_pool::close_idle_if_silent(const active_request& overdue) {
    if (overdue.conn->is_reused && last_delivery_on_reused_ < overdue.sent_at) {
        for (auto& [address, connections] : idle_) {
            std::erase_if(connections, [&](const std::shared_ptr<connection>& idle) {
                return idle->idle_since <= overdue.sent_at;
            });
        }
    }
}

void upstream_pool::finish(active_request& request, upstream_end end) {
    const auto found = active_.find(request.id);
    const std::unique_ptr<active_request> ended = std::move(found->second);
    active_.erase(found);
    if (ended->awaits_continue && end != upstream_end::complete && end != upstream_end::not_connected) {
        end = upstream_end::body_not_sent;
    }
    connection& conn = *ended->conn;
    conn.current = 0;
    // If the response arrived before the full request was written, bytes of this request remain in the
    // output buffer, so the connection cannot be reused.
    const bool allows_reuse =
        ended->options.reuse_after_failure || conn.parser.status_code < first_failure_status;
    const bool is_reusable = end == upstream_end::complete && allows_reuse && conn.stream != nullptr &&
                             http_should_keep_alive(&conn.parser) != 0 &&
                             evbuffer_get_length(bufferevent_get_output(conn.stream)) == 0 &&
                             evbuffer_get_length(bufferevent_get_input(conn.stream)) == 0;
    conn.reuse_limit = advertised_idle(conn.headers, reuse_limit_);
    if (is_reusable && conn.reuse_limit.count() > 0) {
        keep_idle(ended->conn);
    } else {
        conn.close();
    }
    ended->callbacks.on_end(end);
}

void upstream_pool::keep_idle(const std::shared_ptr<connection>& conn) {
    http_parser_pause(&conn->parser, 0);
    http_parser_init(&conn->parser, HTTP_RESPONSE);
    conn->parser.data = conn.get();
    conn->headers.clear();
    evbuffer_drain(conn->body, evbuffer_get_length(conn->body));
    conn->idle_since = monotonic_now();
    bufferevent_set_timeouts(conn->stream, nullptr, nullptr);
    bufferevent_enable(conn->stream, EV_READ);
    idle_[conn->address].push_back(conn);
}

void upstream_pool::cancel(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    found->second->conn->current = 0;
    found->second->conn->close();
    active_.erase(found);
}

void upstream_pool::pause(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found != active_.end() && found->second->conn->stream != nullptr) {
        bufferevent_disable(found->second->conn->stream, EV_READ);
    }
}

void upstream_pool::resume(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found != active_.end() && found->second->conn->stream != nullptr) {
        bufferevent_enable(found->second->conn->stream, EV_READ);
    }
}

void upstream_pool::close_idle(time_point now) {
    for (auto& [address, connections] : idle_) {
        std::erase_if(connections, [&](const std::shared_ptr<connection>& idle) {
            return now - idle->idle_since > idle->reuse_limit;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    failed_connects_.clear();
}

std::size_t upstream_pool::open_connections() const {
    std::size_t open = active_.size();
    for (const auto& [address, connections] : idle_) {
        open += connections.size();
    }
    return open;
}

void upstream_pool::remove_idle(connection& broken) {
    broken.close();
    auto& connections = idle_[broken.address];
    std::erase_if(connections,
                  [&](const std::shared_ptr<connection>& idle) { return idle.get() == &broken; });
}

void upstream_pool::on_readable(bufferevent* stream, void* context) {
    const std::shared_ptr<connection> conn = static_cast<connection*>(context)->shared_from_this();
    upstream_pool& pool = *conn->pool;
    pool.loop_.run_guarded([&] { pool.receive(stream, conn); });
}

void upstream_pool::receive(bufferevent* stream, const std::shared_ptr<connection>& conn) {
    if (conn->current == 0) {
        // Data on an idle connection belongs to no request.
        remove_idle(*conn);
        return;
    }
    if (conn->is_reused) {
        last_delivery_on_reused_ = monotonic_now();
    }
    evbuffer* input = bufferevent_get_input(stream);
    conn->has_received = conn->has_received || evbuffer_get_length(input) > 0;
    while (!conn->complete && !conn->is_malformed && evbuffer_get_length(input) > 0) {
        evbuffer_iovec piece{};
        evbuffer_peek(input, -1, nullptr, &piece, 1);
        const std::size_t used =
            parse_response_bytes(*conn, {static_cast<const char*>(piece.iov_base), piece.iov_len});
        evbuffer_drain(input, used);
        conn->unrelated_bytes += conn->is_current_response ? 0 : used;
        conn->is_malformed = conn->is_malformed || conn->unrelated_bytes > max_unrelated_bytes;
    }
    deliver(*conn, conn->is_malformed);
}

void upstream_pool::deliver(connection& conn, bool is_malformed) {
    const std::uint64_t id = conn.current;
    const auto is_open = [&] { return active_.contains(id); };
    if (is_open() && conn.acknowledged && !active_.at(id)->acknowledgement_reported) {
        active_.at(id)->acknowledgement_reported = true;
        if (active_.at(id)->callbacks.on_acknowledged) {
            active_.at(id)->callbacks.on_acknowledged();
        }
    }
    if (is_open() && conn.may_continue && !conn.headers_ready && active_.at(id)->awaits_continue) {
        write_body(*active_.at(id));
    }
    if (is_open() && conn.headers_ready && !conn.headers_delivered) {
        conn.headers_delivered = true;
        active_.at(id)->callbacks.on_headers(static_cast<int>(conn.parser.status_code), conn.headers);
    }
    if (is_open() && evbuffer_get_length(conn.body) > 0) {
        active_.at(id)->callbacks.on_data(conn.body);
    }
    if (is_open() && conn.complete) {
        finish(*active_.at(id), upstream_end::complete);
    } else if (is_open() && is_malformed) {
        finish(*active_.at(id), upstream_end::lost);
    }
}

void upstream_pool::on_event(bufferevent* /*stream*/, short what, void* context) {
    const std::shared_ptr<connection> conn = static_cast<connection*>(context)->shared_from_this();
    upstream_pool& pool = *conn->pool;
    pool.loop_.run_guarded([&] { pool.handle_event(what, conn); });
}

void upstream_pool::handle_event(short what, const std::shared_ptr<connection>& conn) {
    if (conn->current == 0) {
        remove_idle(*conn);
        return;
    }
    active_request& request = *active_.at(conn->current);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        conn->connected = true;
        write_request(request);
        return;
    }
    if (!conn->connected) {
        finish(request, upstream_end::not_connected);
        return;
    }
    // A reset that was reported to a write of the request leaves a connection that reads as closed in order.
    const bool was_reset = (what & BEV_EVENT_ERROR) != 0 ||
                           evbuffer_get_length(bufferevent_get_output(conn->stream)) > 0 ||
                           is_reset(bufferevent_getfd(conn->stream));
    if ((what & BEV_EVENT_EOF) != 0 && !was_reset) {
        // A response without a length ends with its connection.
        http_parser_execute(&conn->parser, &response_parser_settings(), nullptr, 0);
        deliver(*conn, !conn->complete);
        return;
    }
    const bool is_unanswered = was_reset && !conn->is_reused && !conn->has_received;
    if (is_unanswered && (what & BEV_EVENT_TIMEOUT) == 0 && request.callbacks.on_reset_unanswered) {
        request.callbacks.on_reset_unanswered();
    }
    finish(request, upstream_end::lost);
}

} // namespace waxwingfall
