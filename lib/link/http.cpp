#include "waxwingfall/link/http.h"

#include "waxwingfall/link/socket_options.h"

#include <stdexcept>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace waxwingfall {

namespace {

constexpr std::int64_t max_body_bytes = 4L * 1024 * 1024;
constexpr std::int64_t max_header_bytes = 16L * 1024;

struct pending_exchange {
    evhttp_connection* connection = nullptr;
    std::function<void(const http_response&)> done;
    bool connected = false;
};

std::string buffer_text(evbuffer* buffer) {
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, text.data(), text.size());
    return text;
}

void on_error(evhttp_request_error /*error*/, void* context) {
    // libevent calls this only once the connection is established, so the server may have received the
    // request.
    static_cast<pending_exchange*>(context)->connected = true;
}

void on_done(evhttp_request* request, void* context) {
    const std::unique_ptr<pending_exchange> pending(static_cast<pending_exchange*>(context));
    http_response result;
    const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (status != 0) {
        result.delivery_status = http_response::delivery::response_received;
        result.status = status;
        const evkeyvalq* headers = evhttp_request_get_input_headers(request);
        for (const evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
            result.headers.push_back({header->key, header->value});
        }
        result.body = buffer_text(evhttp_request_get_input_buffer(request));
    } else {
        const bool may_have_been_sent = request == nullptr || pending->connected;
        result.delivery_status = may_have_been_sent ? http_response::delivery::no_response
                                                    : http_response::delivery::not_connected;
    }
    // A connection must not be freed inside its own callback.
    event_base_once(
        evhttp_connection_get_base(pending->connection), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* connection) {
            evhttp_connection_free(static_cast<evhttp_connection*>(connection));
        },
        pending->connection, nullptr);
    pending->done(result);
}

} // namespace

void exchange(const event_loop& loop, const ip_address& address, const http_request& request,
              milliseconds timeout, std::function<void(const http_response&)> done) {
    auto* pending = new pending_exchange;
    pending->done = std::move(done);
    pending->connection =
        evhttp_connection_base_new(loop.base(), nullptr, address.host.c_str(), address.port);
    const timeval limit = to_timeval(timeout);
    evhttp_connection_set_timeout_tv(pending->connection, &limit);
    evhttp_connection_set_max_body_size(pending->connection, max_body_bytes);
    evhttp_connection_set_max_headers_size(pending->connection, max_header_bytes);
    evhttp_request* raw = evhttp_request_new(on_done, pending);
    evhttp_request_set_error_cb(raw, on_error);
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
        event_base_once(
            loop.base(), -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* context) {
                const std::unique_ptr<pending_exchange> failed(static_cast<pending_exchange*>(context));
                evhttp_connection_free(failed->connection);
                failed->done({});
            },
            pending, nullptr);
        return;
    }
    set_stream_options(bufferevent_getfd(evhttp_connection_get_bufferevent(pending->connection)),
                       silence_limit::short_limit);
}

http_server::http_server(const event_loop& loop, const ip_address& address, handler on_request)
    : http_(evhttp_new(loop.base())), on_request_(std::move(on_request)) {
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
            static_cast<http_server*>(context)->on_request_(request);
        },
        this);
}

void http_server::stop_accepting() {
    if (socket_ != nullptr) {
        evhttp_del_accept_socket(http_.get(), socket_);
        socket_ = nullptr;
    }
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
    char byte = 0;
    const ssize_t received = recv(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), &byte, 1,
                                  MSG_PEEK | MSG_DONTWAIT);
    const bool is_broken = received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    return received == 0 || is_broken;
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
