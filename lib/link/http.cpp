#include "waxwingfall/link/http.h"

#include "waxwingfall/link/socket_options.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace waxwingfall {

namespace {

constexpr std::int64_t max_body_bytes = 4L * 1024 * 1024;
constexpr std::int64_t max_header_bytes = 16L * 1024;

/// Longest pause between two parts of a response's body.
constexpr milliseconds max_body_pause{1000};
/// A body of the maximum size takes 4.8 s on a link of 7 Mbit/s, the slowest of the supported ones.
constexpr milliseconds max_body_time{6000};

std::string buffer_text(evbuffer* buffer) {
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, text.data(), text.size());
    return text;
}

} // namespace

struct pending_exchange {
    const event_loop* loop = nullptr;
    evhttp_connection* connection = nullptr;
    std::function<void(const http_response&)> done;
    bool connected = false;
    bool has_head = false;
    loop_event deadline;
    std::shared_ptr<pending_exchange> self; ///< keeps the exchange until it has ended
};

namespace {

void on_error(evhttp_request_error /*error*/, void* context) {
    // libevent calls this only once the connection is established, so the server may have received the
    // request.
    static_cast<pending_exchange*>(context)->connected = true;
}

void end_exchange(pending_exchange& pending, const http_response& result) {
    const auto ended = std::move(pending.self);
    ended->deadline = {};
    ended->loop->run_guarded([&] { ended->done(result); });
}

http_response failed_response(bool may_have_been_sent) {
    http_response result;
    result.delivery_status =
        may_have_been_sent ? http_response::delivery::no_response : http_response::delivery::not_connected;
    return result;
}

void on_done(evhttp_request* request, void* context) {
    auto& pending = *static_cast<pending_exchange*>(context);
    // A connection must not be freed inside its own callback.
    event_base_once(
        evhttp_connection_get_base(pending.connection), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* connection) {
            evhttp_connection_free(static_cast<evhttp_connection*>(connection));
        },
        pending.connection, nullptr);
    const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (status == 0) {
        end_exchange(pending, failed_response(request == nullptr || pending.connected));
        return;
    }
    http_response result;
    result.delivery_status = http_response::delivery::response_received;
    result.status = status;
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
        result.headers.push_back({header->key, header->value});
    }
    if (!is_valid_status(status) ||
        !std::all_of(result.headers.begin(), result.headers.end(), is_valid_header)) {
        end_exchange(pending, failed_response(true));
        return;
    }
    result.body = buffer_text(evhttp_request_get_input_buffer(request));
    end_exchange(pending, result);
}

bool is_connected(evhttp_connection* connection) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    return getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
}

/// Ends the exchange after `limit`. libevent's own timeout starts again with each byte.
void set_deadline(pending_exchange& pending, milliseconds limit) {
    pending.deadline = loop_event::after(*pending.loop, limit, [&pending] {
        const bool may_have_been_sent = is_connected(pending.connection);
        // Frees the request as well, without calling `on_done`.
        evhttp_connection_free(pending.connection);
        end_exchange(pending, failed_response(may_have_been_sent));
    });
}

int on_head(evhttp_request* request, void* context) {
    auto& pending = *static_cast<pending_exchange*>(context);
    pending.has_head = true;
    evhttp_connection* connection = evhttp_request_get_connection(request);
    const timeval pause = to_timeval(max_body_pause);
    evhttp_connection_set_timeout_tv(connection, &pause);
    set_deadline(pending, max_body_time);
    return 0;
}

} // namespace

bool exchange_handle::is_receiving() const {
    const auto pending = pending_.lock();
    return pending && pending->self && pending->has_head;
}

void exchange_handle::cancel() {
    const auto pending = pending_.lock();
    if (!pending || !pending->self) {
        return;
    }
    pending->deadline = {};
    evhttp_connection_free(pending->connection);
    pending->self.reset();
}

exchange_handle exchange(const event_loop& loop, const ip_address& address, const http_request& request,
                         milliseconds timeout, std::function<void(const http_response&)> done) {
    const auto pending = std::make_shared<pending_exchange>();
    pending->self = pending;
    pending->loop = &loop;
    pending->done = std::move(done);
    pending->connection =
        evhttp_connection_base_new(loop.base(), nullptr, address.host.c_str(), address.port);
    const timeval limit = to_timeval(timeout);
    evhttp_connection_set_timeout_tv(pending->connection, &limit);
    evhttp_connection_set_max_body_size(pending->connection, max_body_bytes);
    evhttp_connection_set_max_headers_size(pending->connection, max_header_bytes);
    evhttp_request* raw = evhttp_request_new(on_done, pending.get());
    evhttp_request_set_error_cb(raw, on_error);
    evhttp_request_set_header_cb(raw, on_head);
    evkeyvalq* headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Host", address.host.c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const http_header& header : request.headers) {
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    if (!request.body.empty()) {
        evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(), request.body.size());
    }
    if (evhttp_make_request(pending->connection, raw, request.method, request.path.c_str()) != 0) {
        // libevent calls no callback for a connection attempt that failed to start.
        pending->deadline = loop_event::after(loop, milliseconds(0), [failed = pending.get()] {
            evhttp_connection_free(failed->connection);
            end_exchange(*failed, failed_response(false));
        });
        return exchange_handle(pending);
    }
    set_stream_options(bufferevent_getfd(evhttp_connection_get_bufferevent(pending->connection)),
                       silence_limit::short_limit);
    set_deadline(*pending, timeout);
    return exchange_handle(pending);
}

http_server::http_server(const event_loop& loop, const ip_address& address, handler on_request)
    : loop_(loop), http_(evhttp_new(loop.base())), on_request_(std::move(on_request)) {
    evhttp_set_max_body_size(http_.get(), max_body_bytes);
    evhttp_set_max_headers_size(http_.get(), max_header_bytes);
    socket_ = evhttp_bind_socket_with_handle(http_.get(), address.host.c_str(), address.port);
    if (socket_ == nullptr) {
        throw std::runtime_error("can't bind " + address.host + ":" + std::to_string(address.port));
    }
    // Accepted connections inherit the option. An interim response would delay the final one until the peer
    // acknowledges it, which takes up to 40 ms.
    disable_send_delay(evhttp_bound_socket_get_fd(socket_));
    evhttp_set_gencb(
        http_.get(),
        [](evhttp_request* request, void* context) {
            const auto* server = static_cast<http_server*>(context);
            server->loop_.run_guarded([&] { server->on_request_(request); });
        },
        this);
}

void http_server::stop_accepting() {
    if (socket_ != nullptr) {
        evhttp_del_accept_socket(http_.get(), socket_);
        socket_ = nullptr;
    }
}

bool equal_ignoring_case(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           evutil_ascii_strncasecmp(left.data(), right.data(), left.size()) == 0;
}

const http_header* find_header(const std::vector<http_header>& headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const http_header& header) {
        return equal_ignoring_case(header.name, name);
    });
    return found == headers.end() ? nullptr : &*found;
}

std::string header_value(const std::vector<http_header>& headers, std::string_view name) {
    const http_header* found = find_header(headers, name);
    return found == nullptr ? std::string() : found->value;
}

std::size_t count_headers(const std::vector<http_header>& headers, std::string_view name) {
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [&](const http_header& header) { return equal_ignoring_case(header.name, name); }));
}

bool is_valid_header(const http_header& header) {
    constexpr std::string_view token_symbols = "!#$%&'*+-.^_`|~";
    const auto is_token = [&](unsigned char byte) {
        return std::isalnum(byte) != 0 ||
               token_symbols.find(static_cast<char>(byte)) != std::string_view::npos;
    };
    const auto is_text = [](unsigned char byte) { return byte == '\t' || std::iscntrl(byte) == 0; };
    return !header.name.empty() && std::all_of(header.name.begin(), header.name.end(), is_token) &&
           std::all_of(header.value.begin(), header.value.end(), is_text);
}

bool is_valid_status(int status) {
    constexpr int first = 100;
    constexpr int last = 599;
    return status >= first && status <= last;
}

void send_response(evhttp_request* request, int status, std::string_view body,
                   const std::vector<http_header>& headers) {
    evkeyvalq* out = evhttp_request_get_output_headers(request);
    for (const http_header& header : headers) {
        evhttp_add_header(out, header.name.c_str(), header.value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

std::string request_header(evhttp_request* request, const char* name) {
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string request_body(evhttp_request* request) {
    return buffer_text(evhttp_request_get_input_buffer(request));
}

std::string query_value(evhttp_request* request, const char* name) {
    const char* query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    if (query == nullptr) {
        return {};
    }
    evkeyvalq values{};
    if (evhttp_parse_query_str(query, &values) != 0) {
        return {};
    }
    const char* value = evhttp_find_header(&values, name);
    std::string result = value == nullptr ? "" : value;
    evhttp_clear_headers(&values);
    return result;
}

std::string request_path(evhttp_request* request) {
    const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    return path == nullptr ? std::string() : std::string(path);
}

void drop_connection(evhttp_request* request) {
    evhttp_connection_free(evhttp_request_get_connection(request));
}

bool is_closed_by_peer(evhttp_connection* connection) {
    return is_closed_by_peer(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
}

std::string_view method_name(evhttp_cmd_type method) {
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

} // namespace waxwingfall
