#ifndef WAXWINGFALL_UNITTESTS_HTTP_SERVER_FIXTURE_H
#define WAXWINGFALL_UNITTESTS_HTTP_SERVER_FIXTURE_H

#include <cerrno>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "waxwingfall/http/server.h"
#include "waxwingfall/link/socket_options.h"

namespace waxwingfall::test {

/// A request server whose requests are kept for the test, or answered at once with their body.
class tested_server {
public:
    explicit tested_server(server_limits limits = {}, std::size_t bytes = 64UL << 20U,
                           std::size_t connections = 100)
        : capacity(bytes, connections),
          server(loop, {"127.0.0.1", 0}, capacity, limits,
                 {[this](std::shared_ptr<server_exchange> request) { receive(std::move(request)); },
                  [this](const std::shared_ptr<server_exchange>& request) {
                      asked = request;
                      return decision;
                  }}) {}

    /// Runs the loop until nothing is ready.
    void turn(milliseconds time = milliseconds(3)) {
        const auto end = std::chrono::steady_clock::now() + time;
        do {
            event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        } while (std::chrono::steady_clock::now() < end);
    }

    static std::string text_of(const server_exchange& request) {
        std::string text;
        request.body()->for_each_piece([&](std::string_view piece) { text += piece; });
        return text;
    }

    event_loop loop;
    server_capacity capacity;
    bool answers = false; ///< at once, with method, target and body
    std::vector<std::shared_ptr<server_exchange>> requests;
    std::vector<std::string> received; ///< method, target and body of each request
    std::shared_ptr<server_exchange> asked;
    server_decision decision = server_decision::accept;
    request_server server;

private:
    void receive(std::shared_ptr<server_exchange> request) {
        received.push_back(std::string(request->method()) + " " + request->target() + " " +
                           text_of(*request));
        if (answers) {
            request->reply({200, {}, received.back()});
        } else {
            requests.push_back(std::move(request));
        }
    }
};

/// A client's connection to a tested server.
class tested_client {
public:
    explicit tested_client(tested_server& server, int receive_buffer = 0)
        : server_(server), socket_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        if (receive_buffer > 0) {
            setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
        }
        // Small pieces arrive as separate segments, without waiting for acknowledgements.
        disable_send_delay(socket_);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.server.port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        static_cast<void>(connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
        server_.turn();
    }
    ~tested_client() { close(socket_); }
    tested_client(const tested_client&) = delete;
    tested_client& operator=(const tested_client&) = delete;

    /// Sends as much of `text` as the server reads; returns false if the connection breaks.
    bool send(std::string_view text, milliseconds settle = milliseconds(3)) {
        for (int idle = 0; !text.empty() && idle < 10'000;) {
            const ssize_t sent = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN) {
                return false;
            }
            idle = sent > 0 ? 0 : idle + 1;
            text.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(0, sent)));
            server_.turn(milliseconds(0));
        }
        server_.turn(settle);
        return text.empty();
    }

    /// Sends a short text without running the loop.
    void send_at_once(std::string_view text) const {
        static_cast<void>(::send(socket_, text.data(), text.size(), MSG_NOSIGNAL));
    }

    /// Everything that has arrived so far.
    const std::string& read() {
        server_.turn();
        std::string piece(65536, '\0');
        for (;;) {
            const ssize_t size = recv(socket_, piece.data(), piece.size(), 0);
            if (size <= 0) {
                reset_ = reset_ || (size < 0 && errno == ECONNRESET);
                closed_ = closed_ || (size == 0 && !reset_);
                return text_;
            }
            text_.append(piece, 0, static_cast<std::size_t>(size));
            server_.turn(milliseconds(1));
        }
    }

    /// True if the server has closed the connection in order.
    bool is_closed() {
        read();
        return closed_;
    }
    bool is_reset() {
        read();
        return reset_;
    }
    void finish_sending() {
        shutdown(socket_, SHUT_WR);
        server_.turn();
    }

private:
    tested_server& server_;
    int socket_;
    std::string text_;
    bool closed_ = false;
    bool reset_ = false;
};

inline std::size_t count_of(std::string_view text, std::string_view part) {
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace waxwingfall::test

#endif
