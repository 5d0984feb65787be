#include "waxwingfall/machine/upstream.h"

#include <algorithm>

#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace waxwingfall {

namespace {

constexpr std::int64_t max_answer_headers = 64L * 1024;

std::vector<http_header> copy_headers(const evkeyvalq* from) {
    std::vector<http_header> headers;
    for (const evkeyval* header = from->tqh_first; header != nullptr; header = header->next.tqe_next) {
        headers.push_back({header->key, header->value});
    }
    return headers;
}

/// True if the end of the answer can be told from a connection that broke.
bool length_is_known(evhttp_request* raw) {
    const int status = evhttp_request_get_response_code(raw);
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
    return status == no_content || status == not_modified ||
           evhttp_request_get_command(raw) == EVHTTP_REQ_HEAD ||
           evhttp_find_header(headers, "Content-Length") != nullptr ||
           evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

void free_later(event_base* base, evhttp_connection* connection) {
    // A connection may not be freed inside its own callback.
    event_base_once(
        base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* context) {
            evhttp_connection_free(static_cast<evhttp_connection*>(context));
        },
        connection, nullptr);
}

} // namespace

struct upstream_pool::active {
    upstream_pool* pool = nullptr;
    std::uint64_t id = 0;
    ip_address address;
    evhttp_connection* connection = nullptr;
    evhttp_request* raw = nullptr;
    upstream_callbacks callbacks;
    bool failed_after_connect = false;
    bool length_unknown = false;
};

upstream_pool::upstream_pool(const event_loop& loop, milliseconds reuse_limit)
    : loop_(loop), reuse_limit_(reuse_limit) {}

upstream_pool::~upstream_pool() {
    while (!active_.empty()) {
        cancel(active_.begin()->first);
    }
    for (auto& [address, connections] : idle_) {
        for (const idle_connection& idle : connections) {
            evhttp_connection_free(idle.connection);
        }
    }
}

evhttp_connection* upstream_pool::take_connection(const ip_address& address) {
    auto& connections = idle_[address];
    const time_point now = monotonic_now();
    while (!connections.empty()) {
        const idle_connection last = connections.back();
        connections.pop_back();
        if (now - last.since <= reuse_limit_) {
            return last.connection;
        }
        discard(last.connection);
    }
    evhttp_connection* made =
        evhttp_connection_base_new(loop_.base(), nullptr, address.host.c_str(), address.port);
    evhttp_connection_set_max_headers_size(made, max_answer_headers);
    open_ += 1;
    return made;
}

void upstream_pool::discard(evhttp_connection* connection) {
    open_ -= 1;
    free_later(loop_.base(), connection);
}

std::uint64_t upstream_pool::send(const ip_address& address, const http_request& request,
                                  milliseconds timeout, upstream_callbacks callbacks) {
    const std::uint64_t id = next_id_++;
    auto made = std::make_unique<active>();
    made->pool = this;
    made->id = id;
    made->address = address;
    made->connection = take_connection(address);
    made->callbacks = std::move(callbacks);
    constexpr std::int64_t thousand = 1000;
    const timeval limit{timeout.count() / thousand, (timeout.count() % thousand) * thousand};
    evhttp_connection_set_timeout_tv(made->connection, &limit);
    made->raw = evhttp_request_new(on_done, made.get());
    evhttp_request_set_header_cb(made->raw, on_headers);
    evhttp_request_set_chunked_cb(made->raw, on_chunk);
    evhttp_request_set_error_cb(made->raw, on_error);
    evkeyvalq* headers = evhttp_request_get_output_headers(made->raw);
    for (const http_header& header : request.headers) {
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    if (!request.body.empty()) {
        evbuffer_add(evhttp_request_get_output_buffer(made->raw), request.body.data(), request.body.size());
    }
    active* started = made.get();
    active_.emplace(id, std::move(made));
    if (evhttp_make_request(started->connection, started->raw, request.method, request.path.c_str()) != 0) {
        event_base_once(
            loop_.base(), -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* context) {
                auto* failed = static_cast<active*>(context);
                failed->pool->finish(*failed, upstream_end::not_connected);
            },
            started, nullptr);
    }
    return id;
}

void upstream_pool::finish(active& request, upstream_end end) {
    const auto found = active_.find(request.id);
    const std::unique_ptr<active> ended = std::move(found->second);
    active_.erase(found);
    if (end == upstream_end::complete) {
        idle_[ended->address].push_back({ended->connection, monotonic_now()});
    } else {
        discard(ended->connection);
    }
    ended->callbacks.on_end(end);
}

void upstream_pool::cancel(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    std::unique_ptr<active> ended = std::move(found->second);
    active_.erase(found);
    // The request may be inside one of its own callbacks; its connection frees it a little later.
    evhttp_request_set_chunked_cb(ended->raw, nullptr);
    evhttp_request_set_header_cb(ended->raw, nullptr);
    evhttp_request_set_error_cb(ended->raw, nullptr);
    ended->raw->cb = [](evhttp_request*, void*) {};
    discard(ended->connection);
    bury(std::move(ended));
}

void upstream_pool::bury(std::unique_ptr<active> ended) {
    // Its callbacks may be running; they go with the next turn of the loop.
    event_base_once(
        loop_.base(), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* context) { delete static_cast<active*>(context); }, ended.release(),
        nullptr);
}

void upstream_pool::pause(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found != active_.end()) {
        bufferevent_disable(evhttp_connection_get_bufferevent(found->second->connection), EV_READ);
    }
}

void upstream_pool::resume(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found != active_.end()) {
        bufferevent_enable(evhttp_connection_get_bufferevent(found->second->connection), EV_READ);
    }
}

void upstream_pool::close_idle(time_point now) {
    for (auto& [address, connections] : idle_) {
        std::erase_if(connections, [&](const idle_connection& idle) {
            const bool old = now - idle.since > reuse_limit_;
            if (old) {
                discard(idle.connection);
            }
            return old;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

int upstream_pool::on_headers(evhttp_request* raw, void* context) {
    auto* request = static_cast<active*>(context);
    if (!length_is_known(raw)) {
        request->length_unknown = true;
        return -1;
    }
    request->callbacks.on_headers(evhttp_request_get_response_code(raw),
                                  copy_headers(evhttp_request_get_input_headers(raw)));
    return 0;
}

void upstream_pool::on_chunk(evhttp_request* raw, void* context) {
    static_cast<active*>(context)->callbacks.on_data(evhttp_request_get_input_buffer(raw));
}

void upstream_pool::on_error(evhttp_request_error /*error*/, void* context) {
    // Not called for a connection that was never made.
    static_cast<active*>(context)->failed_after_connect = true;
}

void upstream_pool::on_done(evhttp_request* raw, void* context) {
    auto* request = static_cast<active*>(context);
    const bool answered = raw != nullptr && evhttp_request_get_response_code(raw) != 0;
    if (answered && !request->failed_after_connect && !request->length_unknown) {
        request->pool->finish(*request, upstream_end::complete);
        return;
    }
    const bool sent = raw == nullptr || answered || request->failed_after_connect || request->length_unknown;
    request->pool->finish(*request, sent ? upstream_end::lost : upstream_end::not_connected);
}

} // namespace waxwingfall
