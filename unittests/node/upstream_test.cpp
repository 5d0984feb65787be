#include <string>
#include <tuple>
#include <utility>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loopback.h"
#include "waxwingfall/node/upstream.h"

using namespace waxwingfall;
using waxwingfall::test::listen_on_loopback;

namespace {

/// A worker that takes each connection, reads what comes, answers with fixed bytes and closes.
class abrupt_worker {
public:
    /// With `resets` it ends each connection with a reset instead of an orderly close.
    abrupt_worker(const event_loop& loop, std::string answer, bool resets = false)
        : loop_(loop), answer_(std::move(answer)), resets_(resets) {
        std::tie(listener_, port_) = listen_on_loopback();
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
        if (resets_) {
            // Let the answer arrive before the reset, which would discard it.
            usleep(20'000);
            const linger at_once{1, 0};
            setsockopt(connection_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        }
        close(connection_);
    }

    const event_loop& loop_;
    std::string answer_;
    bool resets_ = false;
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
              {milliseconds(500), std::nullopt, milliseconds(0)}, callbacks);
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

TEST(Upstream, AnAnswerWithoutALengthIsWholeOnlyIfItsConnectionEndsInOrder) {
    event_loop loop;
    const abrupt_worker orderly(loop, "HTTP/1.1 200 OK\r\n\r\nall of it");
    EXPECT_EQ(send_one(loop, orderly.address()).end, upstream_end::complete);
    const abrupt_worker resetting(loop, "HTTP/1.1 200 OK\r\n\r\nperhaps all", true);
    EXPECT_EQ(send_one(loop, resetting.address()).end, upstream_end::lost);
}

TEST(Upstream, AWholeAnswerIsComplete) {
    event_loop loop;
    const abrupt_worker worker(loop, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nbody");
    const observed seen = send_one(loop, worker.address());
    EXPECT_EQ(seen.end, upstream_end::complete);
    EXPECT_EQ(seen.status, 201);
}

namespace {

/// A worker that keeps its connections and answers each request with the next of its texts.
class scripted_worker {
public:
    scripted_worker(const event_loop& loop, std::vector<std::string> answers)
        : loop_(loop), answers_(std::move(answers)) {
        std::tie(listener_, port_) = listen_on_loopback();
        accepting_ = loop_event::on_readable(loop, listener_, [this] { take(); });
    }
    ~scripted_worker() {
        for (const int connection : connections_) {
            close(connection);
        }
        close(listener_);
    }
    scripted_worker(const scripted_worker&) = delete;
    scripted_worker& operator=(const scripted_worker&) = delete;

    ip_address address() const { return {"127.0.0.1", port_}; }
    std::size_t connections() const { return connections_.size(); }

private:
    void take() {
        const int connection = accept(listener_, nullptr, nullptr);
        connections_.push_back(connection);
        readings_.push_back(
            loop_event::on_readable(loop_, connection, [this, connection] { serve(connection); }));
    }
    void serve(int connection) {
        char buffer[4096];
        if (recv(connection, buffer, sizeof(buffer), MSG_DONTWAIT) <= 0 || next_ == answers_.size()) {
            // Level-triggered: an ended connection would be reported again and again.
            shutdown(connection, SHUT_RDWR);
            return;
        }
        const std::string& text = answers_[next_++];
        send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    }

    const event_loop& loop_;
    std::vector<std::string> answers_;
    std::size_t next_ = 0;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::vector<int> connections_;
    std::vector<loop_event> readings_;
    loop_event accepting_;
};

std::string answer_text(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

struct echoed {
    std::string body;
    std::optional<upstream_end> end;
};

echoed send_with_id(event_loop& loop, upstream_pool& pool, const ip_address& address, const std::string& id) {
    echoed seen;
    upstream_callbacks callbacks;
    callbacks.on_headers = [](int, const std::vector<http_header>&) {};
    callbacks.on_data = [&](evbuffer* data) {
        std::string piece(evbuffer_get_length(data), '\0');
        evbuffer_remove(data, piece.data(), piece.size());
        seen.body += piece;
    };
    callbacks.on_end = [&](upstream_end end) { seen.end = end; };
    pool.send(address, {EVHTTP_REQ_GET, "/", {{"Host", "h"}, {"X-Id", id}}, {}},
              {milliseconds(200), http_header{"X-Id", id}, milliseconds(0)}, callbacks);
    loop.run_for(milliseconds(100));
    return seen;
}

} // namespace

// The worker answers after the first wait for its acknowledgement and before the second one ends.
TEST(Upstream, ASilentRequestIsWaitedForAsLongAsItsOwnerWants) {
    for (const bool waits_on : {true, false}) {
        event_loop loop;
        upstream_pool pool(loop, milliseconds(1000));
        const auto [listener, port] = listen_on_loopback();
        std::optional<upstream_end> ended;
        int asked = 0;
        upstream_callbacks callbacks;
        callbacks.on_headers = [](int, const std::vector<http_header>&) {};
        callbacks.on_data = [](evbuffer* data) { evbuffer_drain(data, evbuffer_get_length(data)); };
        callbacks.on_end = [&](upstream_end end) { ended = end; };
        callbacks.on_silence = [&] {
            ++asked;
            return milliseconds(waits_on ? 500 : 0);
        };
        pool.send({"127.0.0.1", port}, {EVHTTP_REQ_GET, "/", {{"Host", "h"}}, {}},
                  {milliseconds(1000), std::nullopt, milliseconds(30)}, callbacks);
        loop.run_for(milliseconds(100));
        EXPECT_EQ(asked, 1);
        EXPECT_EQ(ended, waits_on ? std::nullopt : std::optional(upstream_end::silent));
        const int connection = accept(listener, nullptr, nullptr);
        const std::string text = answer_text("a", "late");
        send(connection, text.data(), text.size(), MSG_NOSIGNAL);
        loop.run_for(milliseconds(50));
        EXPECT_EQ(ended, waits_on ? upstream_end::complete : upstream_end::silent);
        close(connection);
        close(listener);
    }
}

TEST(Upstream, AnAnswerToAnotherRequestIsSkipped) {
    event_loop loop;
    upstream_pool pool(loop, milliseconds(1000));
    const scripted_worker worker(
        loop, {answer_text("a", "first"), answer_text("a", "again") + answer_text("b", "own")});
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "a").body, "first");
    const echoed second = send_with_id(loop, pool, worker.address(), "b");
    EXPECT_EQ(second.body, "own");
    EXPECT_EQ(second.end, upstream_end::complete);
    EXPECT_EQ(worker.connections(), 1U);
}

TEST(Upstream, AConnectionWithBytesThatNobodyAskedForIsNotUsedAgain) {
    event_loop loop;
    upstream_pool pool(loop, milliseconds(1000));
    const scripted_worker worker(
        loop, {answer_text("a", "first") + answer_text("a", "extra"), answer_text("b", "own")});
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "a").body, "first");
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "b").body, "own");
    EXPECT_EQ(worker.connections(), 2U);
}

TEST(Upstream, AConnectionThatItsWorkerCallsShortLivedIsNotUsedAgain) {
    event_loop loop;
    upstream_pool pool(loop, milliseconds(1000));
    const std::string brief =
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n";
    const scripted_worker worker(loop, {brief, answer_text("b", "own")});
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "a").end, upstream_end::complete);
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "b").body, "own");
    EXPECT_EQ(worker.connections(), 2U);
}
