#include <string>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "waxwingfall/machine/upstream.h"

using namespace waxwingfall;

namespace {

/// A worker that takes each connection, reads what comes, answers with fixed bytes and closes.
class abrupt_worker {
public:
    abrupt_worker(const event_loop& loop, std::string answer) : loop_(loop), answer_(std::move(answer)) {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        listen(listener_, 16);
        socklen_t size = sizeof(address);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        accepting_ = loop_event::on_readable(loop, listener_, [this] { serve(); });
    }
    ~abrupt_worker() { close(listener_); }
    abrupt_worker(const abrupt_worker&) = delete;
    abrupt_worker& operator=(const abrupt_worker&) = delete;

    ip_address address() const { return {"127.0.0.1", port_}; }
    int requests() const { return requests_; }

private:
    void serve() {
        // Client and worker share one thread, so nothing here may wait.
        connection_ = accept(listener_, nullptr, nullptr);
        reading_ = loop_event::on_readable(loop_, connection_, [this] { respond(); });
    }

    void respond() {
        char buffer[4096];
        const auto size = recv(connection_, buffer, sizeof(buffer), MSG_DONTWAIT);
        const std::string got(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
        requests_ += got.find("POST") == std::string::npos ? 0 : 1;
        send(connection_, answer_.data(), answer_.size(), MSG_NOSIGNAL);
        reading_ = {};
        close(connection_);
    }

    const event_loop& loop_;
    std::string answer_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    int requests_ = 0;
    int connection_ = -1;
    loop_event accepting_;
    loop_event reading_;
};

struct observed {
    upstream_end end = upstream_end::complete;
    int ends = 0;
    int status = 0;
};

observed send_one(event_loop& loop, const ip_address& address) {
    upstream_pool pool(loop, milliseconds(1000));
    observed seen;
    upstream_callbacks callbacks;
    callbacks.on_headers = [&](int status, const std::vector<http_header>&) { seen.status = status; };
    callbacks.on_data = [](evbuffer* data) { evbuffer_drain(data, evbuffer_get_length(data)); };
    callbacks.on_end = [&](upstream_end end) {
        seen.end = end;
        seen.ends += 1;
    };
    pool.send(address, {EVHTTP_REQ_POST, "/pay", {{"Host", "h"}, {"Content-Length", "1"}}, "x"},
              milliseconds(500), callbacks);
    loop.run_for(milliseconds(300));
    return seen;
}

} // namespace

TEST(Upstream, ARequestWhoseBytesWereWrittenIsNeverSentAgain) {
    event_loop loop;
    const abrupt_worker worker(loop, "");
    const observed seen = send_one(loop, worker.address());
    EXPECT_EQ(seen.end, upstream_end::lost);
    EXPECT_EQ(seen.ends, 1);
    EXPECT_EQ(worker.requests(), 1);
}

TEST(Upstream, ARefusedConnectionSentNothing) {
    event_loop loop;
    ip_address closed;
    {
        const abrupt_worker worker(loop, "");
        closed = worker.address();
    }
    const observed seen = send_one(loop, closed);
    EXPECT_EQ(seen.end, upstream_end::not_connected);
    EXPECT_EQ(seen.ends, 1);
}

TEST(Upstream, AnAnswerCutShortIsLost) {
    event_loop loop;
    const abrupt_worker worker(loop, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    const observed seen = send_one(loop, worker.address());
    EXPECT_EQ(seen.end, upstream_end::lost);
    EXPECT_EQ(worker.requests(), 1);
}

TEST(Upstream, AnAnswerWithoutALengthIsLost) {
    event_loop loop;
    const abrupt_worker worker(loop, "HTTP/1.1 200 OK\r\n\r\nperhaps all");
    EXPECT_EQ(send_one(loop, worker.address()).end, upstream_end::lost);
}

TEST(Upstream, AWholeAnswerIsComplete) {
    event_loop loop;
    const abrupt_worker worker(loop, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nbody");
    const observed seen = send_one(loop, worker.address());
    EXPECT_EQ(seen.end, upstream_end::complete);
    EXPECT_EQ(seen.status, 201);
}
