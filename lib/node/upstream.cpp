#include "waxwingfall/node/upstream.h"

#include <algorithm>
#include <charconv>

#include <event2/bufferevent.h>

#include "upstream_connection.h"
#include "waxwingfall/link/socket_options.h"
#include "waxwingfall/node/downstream.h"

namespace waxwingfall {

namespace {

constexpr std::uint32_t max_answer_headers = 64U * 1024;
constexpr std::int64_t ms_per_s = 1000;

/// Taken off the idle time that the other side promises: a request that crosses the close may be lost.
constexpr milliseconds idle_margin{1000};

/// The idle time in a Keep-Alive header such as "timeout=5", or `fallback`.
milliseconds promised_idle(const std::vector<http_header>& headers, milliseconds fallback) {
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

std::string request_head(const http_request& request) {
    std::string head = std::string(method_name(request.method)) + " " + request.path + " HTTP/1.1\r\n";
    for (const http_header& header : request.headers) {
        head += header.name + ": " + header.value + "\r\n";
    }
    return head + "\r\n";
}

} // namespace

/// A request that waits for its answer.
struct upstream_pool::active {
    std::uint64_t id = 0;
    http_request request;
    upstream_options options;
    loop_event acknowledgement_due;
    upstream_callbacks callbacks;
    std::shared_ptr<connection> carrier;
};

upstream_pool::upstream_pool(const event_loop& loop, milliseconds reuse_limit)
    : loop_(loop), reuse_limit_(reuse_limit) {
    http_parser_set_max_header_size(max_answer_headers);
}

upstream_pool::~upstream_pool() {
    while (!active_.empty()) {
        cancel(active_.begin()->first);
    }
}

std::shared_ptr<upstream_pool::connection> upstream_pool::take_connection(const ip_address& address,
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
    auto made = std::make_shared<connection>();
    made->pool = this;
    made->address = address;
    made->body = evbuffer_new();
    http_parser_init(&made->parser, HTTP_RESPONSE);
    made->parser.data = made.get();
    return made;
}

std::uint64_t upstream_pool::send(const ip_address& address, const http_request& request,
                                  const upstream_options& options, upstream_callbacks callbacks) {
    const std::uint64_t id = next_id_++;
    auto made = std::make_unique<active>();
    made->id = id;
    made->request = request;
    made->options = options;
    made->callbacks = std::move(callbacks);
    made->carrier = take_connection(address, monotonic_now());
    connection& carrier = *made->carrier;
    carrier.current = id;
    carrier.echo = options.echo;
    carrier.acknowledged = false;
    carrier.is_head = request.method == EVHTTP_REQ_HEAD;
    carrier.headers_ready = false;
    carrier.headers_given = false;
    carrier.complete = false;
    active& started = *made;
    active_.emplace(id, std::move(made));
    if (carrier.connected) {
        write_request(started);
    } else {
        connect(started);
    }
    return id;
}

void upstream_pool::connect(active& request) {
    connection& carrier = *request.carrier;
    carrier.stream =
        bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(carrier.stream, on_readable, nullptr, on_event, &carrier);
    const timeval limit = to_timeval(std::min(request.options.timeout, connect_timeout));
    bufferevent_set_timeouts(carrier.stream, nullptr, &limit);
    const auto target = socket_address(carrier.address);
    if (bufferevent_socket_connect(carrier.stream, reinterpret_cast<const sockaddr*>(&target),
                                   sizeof(target)) != 0) {
        const std::uint64_t id = request.id;
        failed_starts_.push_back(loop_event::after(loop_, milliseconds(0), [this, id] {
            if (const auto found = active_.find(id); found != active_.end()) {
                finish(*found->second, upstream_end::not_connected);
            }
        }));
        return;
    }
    set_stream_options(bufferevent_getfd(carrier.stream));
}

void upstream_pool::write_request(active& request) {
    connection& carrier = *request.carrier;
    const timeval limit = to_timeval(request.options.timeout);
    bufferevent_set_timeouts(carrier.stream, &limit, &limit);
    bufferevent_enable(carrier.stream, EV_READ | EV_WRITE);
    const std::string head = request_head(request.request);
    bufferevent_write(carrier.stream, head.data(), head.size());
    bufferevent_write(carrier.stream, request.request.body.data(), request.request.body.size());
    request.request = {};
    if (request.options.acknowledged_within.count() > 0) {
        await_acknowledgement(request, request.options.acknowledged_within);
    }
}

void upstream_pool::await_acknowledgement(active& request, milliseconds wait) {
    const std::uint64_t id = request.id;
    request.acknowledgement_due = loop_event::after(loop_, wait, [this, id] { check_silence(id); });
}

void upstream_pool::check_silence(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found == active_.end() || found->second->carrier->acknowledged) {
        return;
    }
    active& silent = *found->second;
    const milliseconds more = silent.callbacks.on_silence ? silent.callbacks.on_silence() : milliseconds(0);
    if (more.count() > 0) {
        await_acknowledgement(silent, more);
        return;
    }
    finish(silent, upstream_end::silent);
}

void upstream_pool::finish(active& request, upstream_end end) {
    const auto found = active_.find(request.id);
    const std::unique_ptr<active> ended = std::move(found->second);
    active_.erase(found);
    connection& carrier = *ended->carrier;
    carrier.current = 0;
    // An answer that came before the whole request was written leaves bytes behind that belong to no request.
    const bool is_clean = end == upstream_end::complete && carrier.stream != nullptr &&
                          http_should_keep_alive(&carrier.parser) != 0 &&
                          evbuffer_get_length(bufferevent_get_output(carrier.stream)) == 0 &&
                          evbuffer_get_length(bufferevent_get_input(carrier.stream)) == 0;
    carrier.reuse_limit = promised_idle(carrier.headers, reuse_limit_);
    if (is_clean && carrier.reuse_limit.count() > 0) {
        keep(ended->carrier);
    } else {
        carrier.close();
    }
    ended->callbacks.on_end(end);
}

void upstream_pool::keep(const std::shared_ptr<connection>& carrier) {
    http_parser_pause(&carrier->parser, 0);
    http_parser_init(&carrier->parser, HTTP_RESPONSE);
    carrier->parser.data = carrier.get();
    carrier->headers.clear();
    evbuffer_drain(carrier->body, evbuffer_get_length(carrier->body));
    carrier->idle_since = monotonic_now();
    bufferevent_set_timeouts(carrier->stream, nullptr, nullptr);
    bufferevent_enable(carrier->stream, EV_READ);
    idle_[carrier->address].push_back(carrier);
}

void upstream_pool::cancel(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    found->second->carrier->current = 0;
    found->second->carrier->close();
    active_.erase(found);
}

void upstream_pool::pause(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found != active_.end() && found->second->carrier->stream != nullptr) {
        bufferevent_disable(found->second->carrier->stream, EV_READ);
    }
}

void upstream_pool::resume(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found != active_.end() && found->second->carrier->stream != nullptr) {
        bufferevent_enable(found->second->carrier->stream, EV_READ);
    }
}

void upstream_pool::close_idle(time_point now) {
    for (auto& [address, connections] : idle_) {
        std::erase_if(connections, [&](const std::shared_ptr<connection>& idle) {
            return now - idle->idle_since > idle->reuse_limit;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    failed_starts_.clear();
}

std::size_t upstream_pool::open_connections() const {
    std::size_t open = active_.size();
    for (const auto& [address, connections] : idle_) {
        open += connections.size();
    }
    return open;
}

void upstream_pool::forget_idle(const connection& broken) {
    auto& connections = idle_[broken.address];
    std::erase_if(connections,
                  [&](const std::shared_ptr<connection>& idle) { return idle.get() == &broken; });
}

void upstream_pool::on_readable(bufferevent* stream, void* context) {
    const std::shared_ptr<connection> reader = static_cast<connection*>(context)->shared_from_this();
    upstream_pool& pool = *reader->pool;
    if (reader->current == 0) {
        // Bytes that nobody asked for.
        reader->close();
        pool.forget_idle(*reader);
        return;
    }
    evbuffer* input = bufferevent_get_input(stream);
    bool is_malformed = false;
    while (!reader->complete && !is_malformed && evbuffer_get_length(input) > 0) {
        evbuffer_iovec piece{};
        evbuffer_peek(input, -1, nullptr, &piece, 1);
        const std::size_t used = http_parser_execute(&reader->parser, &answer_parser_settings(),
                                                     static_cast<const char*>(piece.iov_base), piece.iov_len);
        const http_errno error = HTTP_PARSER_ERRNO(&reader->parser);
        evbuffer_drain(input, used);
        is_malformed = error != HPE_OK && error != HPE_PAUSED;
    }
    pool.deliver(*reader, is_malformed);
}

void upstream_pool::deliver(connection& reader, bool is_malformed) {
    const std::uint64_t id = reader.current;
    const auto is_open = [&] { return active_.contains(id); };
    if (is_open() && reader.headers_ready && !reader.headers_given) {
        reader.headers_given = true;
        active_.at(id)->callbacks.on_headers(static_cast<int>(reader.parser.status_code), reader.headers);
    }
    if (is_open() && evbuffer_get_length(reader.body) > 0) {
        active_.at(id)->callbacks.on_data(reader.body);
    }
    if (is_open() && reader.complete) {
        finish(*active_.at(id), upstream_end::complete);
    } else if (is_open() && is_malformed) {
        finish(*active_.at(id), upstream_end::lost);
    }
}

void upstream_pool::on_event(bufferevent* /*stream*/, short what, void* context) {
    const std::shared_ptr<connection> reader = static_cast<connection*>(context)->shared_from_this();
    upstream_pool& pool = *reader->pool;
    if (reader->current == 0) {
        reader->close();
        pool.forget_idle(*reader);
        return;
    }
    active& request = *pool.active_.at(reader->current);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        reader->connected = true;
        pool.write_request(request);
        return;
    }
    if (!reader->connected) {
        pool.finish(request, upstream_end::not_connected);
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0) {
        // The end of a connection is the end of an answer without a length.
        http_parser_execute(&reader->parser, &answer_parser_settings(), nullptr, 0);
        pool.deliver(*reader, !reader->complete);
        return;
    }
    pool.finish(request, upstream_end::lost);
}

} // namespace waxwingfall
