#include "waxwingfall/http/server.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

#include <netinet/in.h>
#include <sys/socket.h>

#include "server_connection.h"
#include "waxwingfall/link/socket_options.h"

namespace waxwingfall {

namespace {

/// How often timeouts are checked.
constexpr milliseconds sweep_period{100};

/// Pause after a failure to accept, such as a lack of file descriptors, which would be reported in a loop.
constexpr milliseconds accept_pause{100};

/// A response of which nothing has been read for this long may be given up for lack of memory or connections.
constexpr milliseconds stall_before_eviction{1000};

struct refusal_row {
    server_refusal reason;
    std::string_view name;
    int status;
};

constexpr std::array refusal_rows{
    refusal_row{server_refusal::malformed, "malformed", 400},
    refusal_row{server_refusal::head_too_large, "head-too-large", 431},
    refusal_row{server_refusal::body_too_large, "body-too-large", 413},
    refusal_row{server_refusal::timed_out, "timed-out", 408},
    refusal_row{server_refusal::out_of_memory, "out-of-memory", 503},
    refusal_row{server_refusal::too_many_connections, "too-many-connections", 503},
    refusal_row{server_refusal::unread_response, "unread-response", 503},
};

/// The connection for which `is_candidate` holds and that has made no progress for the longest time.
template <typename Candidate>
server_connection* find_oldest(const std::vector<server_connection*>& connections,
                               const Candidate& is_candidate) {
    server_connection* found = nullptr;
    for (server_connection* connection : connections) {
        if (is_candidate(*connection) &&
            (found == nullptr || connection->last_progress() < found->last_progress())) {
            found = connection;
        }
    }
    return found;
}

const refusal_row& row_of(server_refusal reason) {
    return *std::find_if(refusal_rows.begin(), refusal_rows.end(),
                         [&](const refusal_row& row) { return row.reason == reason; });
}

} // namespace

std::string_view refusal_name(server_refusal reason) {
    return row_of(reason).name;
}

void allow_head_bytes(std::uint32_t bytes) {
    static std::uint32_t allowed = 0;
    allowed = std::max(allowed, bytes);
    http_parser_set_max_header_size(allowed);
}

server_capacity::server_capacity(std::size_t buffered_bytes, std::size_t connections)
    : byte_limit_(buffered_bytes), connection_limit_(connections) {}

std::uint64_t server_capacity::refusals(server_refusal reason) const {
    const auto found = refusals_.find(reason);
    return found == refusals_.end() ? 0 : found->second;
}

void server_capacity::make_room(time_point now) {
    while (count_->used > byte_limit_) {
        if (server_connection* unfinished =
                find_oldest(connections_, [](const server_connection& one) { return one.is_unfinished(); })) {
            unfinished->refuse(server_refusal::out_of_memory);
            continue;
        }
        if (!close_unread(now)) {
            return;
        }
    }
}

bool server_capacity::close_unread(time_point now) {
    server_connection* found = find_oldest(connections_, [&](const server_connection& one) {
        return one.is_stalled(now, stall_before_eviction);
    });
    if (found != nullptr) {
        found->close_unread();
    }
    return found != nullptr;
}

bool server_capacity::close_one(time_point now) {
    server_connection* found =
        find_oldest(connections_, [&](const server_connection& one) { return one.may_be_closed(now); });
    if (found != nullptr) {
        found->close(false);
        return true;
    }
    return close_unread(now);
}

request_server::request_server(const event_loop& loop, const ip_address& address, server_capacity& capacity,
                               const server_limits& limits, server_callbacks callbacks)
    : loop_(loop), capacity_(capacity), limits_(limits), callbacks_(std::move(callbacks)) {
    set_limits(limits);
    const auto bound = socket_address(address);
    constexpr int default_backlog = -1;
    listener_ = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
            auto* server = static_cast<request_server*>(context);
            server->loop_.run_guarded([&] { server->accept(socket, monotonic_now()); });
        },
        this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, default_backlog,
        reinterpret_cast<const sockaddr*>(&bound), sizeof(bound));
    if (listener_ == nullptr) {
        throw std::runtime_error("can't bind " + address.host + ":" + std::to_string(address.port));
    }
    // Accepted connections inherit the option. An interim response would delay the final one until the peer
    // acknowledges it, which takes up to 40 ms.
    disable_send_delay(evconnlistener_get_fd(listener_));
    evconnlistener_set_error_cb(listener_, [](evconnlistener*, void* context) {
        auto* server = static_cast<request_server*>(context);
        server->loop_.run_guarded([&] { server->pause_accepting(); });
    });
    sweep_ = loop_event::every(loop, sweep_period, [this] { sweep(monotonic_now()); });
}

request_server::~request_server() {
    stop_accepting();
    while (!connections_.empty()) {
        const auto closed = connections_.begin()->second;
        closed->close(false);
    }
}

void request_server::stop_accepting() {
    resume_accepting_ = {};
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
        listener_ = nullptr;
    }
}

void request_server::set_limits(const server_limits& limits) {
    limits_ = limits;
    // The parser also counts the ends of lines, at most two bytes for each two of content.
    allow_head_bytes(static_cast<std::uint32_t>(2 * limits.header_bytes));
}

std::uint16_t request_server::port() const {
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

void request_server::accept(evutil_socket_t socket, time_point now) {
    if (capacity_.open_connections() >= capacity_.connection_limit_) {
        report(server_refusal::too_many_connections, nullptr);
        if (!capacity_.close_one(now)) {
            evutil_closesocket(socket);
            return;
        }
    }
    const auto accepted = std::make_shared<server_connection>(*this, socket, now);
    connections_.emplace(accepted.get(), accepted);
}

void request_server::pause_accepting() {
    capacity_.close_one(monotonic_now());
    evconnlistener_disable(listener_);
    resume_accepting_ = loop_event::after(loop_, accept_pause, [this] {
        if (listener_ != nullptr) {
            evconnlistener_enable(listener_);
        }
    });
}

server_response request_server::report(server_refusal reason, const server_exchange* request) {
    ++capacity_.refusals_[reason];
    return callbacks_.on_refusal ? callbacks_.on_refusal(reason, request)
                                 : server_response{row_of(reason).status, {}, {}};
}

void request_server::sweep(time_point now) {
    std::vector<std::shared_ptr<server_connection>> open;
    open.reserve(connections_.size());
    for (const auto& [key, connection] : connections_) {
        open.push_back(connection);
    }
    for (const auto& connection : open) {
        connection->check_timeouts(now);
    }
}

void request_server::remove(server_connection& closed) {
    connections_.erase(&closed);
}

} // namespace waxwingfall
