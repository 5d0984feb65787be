#include <string>
#include <thread>
#include <tuple>
#include <utility>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "unittests/loopback.h"
#include "waxwingfall/proxy/upstream.h"

using namespace waxwingfall;
using waxwingfall::test::listen_on_loopback;

namespace {

/// A worker that accepts each connection, reads once, responds with fixed bytes and closes.
class one_shot_worker {
public:
    /// If `resets` is set, it resets each connection instead of closing it in order.
    one_shot_worker(const event_loop& loop, std::string response, bool resets = false)
        : loop_(loop), response_(std::move(response)), resets_(resets) {
        std::tie(listener_, port_) = listen_on_loopback();
        accepting_ = loop_event::on_readable(loop, listener_, [this] { serve(); });
    }
    ~one_shot_worker() { close(listener_); }
    one_shot_worker(const one_shot_worker&) = delete;
    one_shot_worker& operator=(const one_shot_worker&) = delete;

    ip_address address() const { return {"127.0.0.1", port_}; }
    int requests() const { return requests_; }

private:
    void serve() {
        // Client and worker share one thread, so this must not block.
        connection_ = accept(listener_, nullptr, nullptr);
        reading_ = loop_event::on_readable(loop_, connection_, [this] { respond(); });
    }

    void respond() {
        char buffer[4096];
        const auto size = recv(connection_, buffer, sizeof(buffer), MSG_DONTWAIT);
        const std::string received(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
        requests_ += received.find("POST") == std::string::npos ? 0 : 1;
        send(connection_, response_.data(), response_.size(), MSG_NOSIGNAL);
        reading_ = {};
        if (resets_) {
            // Let the response arrive first; the reset would discard it.
            usleep(20'000);
            const linger reset_on_close{1, 0};
            setsockopt(connection_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
        }
        close(connection_);
    }

    const event_loop& loop_;
    std::string response_;
    bool resets_ = false;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    int requests_ = 0;
    int connection_ = -1;
    loop_event accepting_;
    loop_event reading_;
};

struct send_result {
    upstream_end end = upstream_end::complete;
    int ends = 0;
    int status = 0;
};

/// For which a request that has to end is waited for.
constexpr milliseconds max_lateness{5000};

send_result send_one(event_loop& loop, const ip_address& address, milliseconds wait = milliseconds(300),
                     const std::string& body = "x", const std::string& signature = "") {
    upstream_pool pool(loop, milliseconds(1000));
    send_result result;
    upstream_callbacks callbacks;
    callbacks.on_headers = [&](int status, const std::vector<http_header>&) { result.status = status; };
    callbacks.on_data = [](evbuffer* data) { evbuffer_drain(data, evbuffer_get_length(data)); };
    callbacks.on_end = [&](upstream_end end) {
        result.end = end;
        result.ends += 1;
    };
    upstream_options options;
    options.timeout = milliseconds(5000);
    options.signature = signature;
    pool.send(
        address,
        {EVHTTP_REQ_POST, "/pay", {{"Host", "h"}, {"Content-Length", std::to_string(body.size())}}, body},
        options, callbacks);
    loop.run_for(wait);
    // A request that has not ended yet is late only because this machine is busy.
    for (milliseconds late{0}; result.ends == 0 && late < max_lateness; late += wait) {
        loop.run_for(wait);
    }
    return result;
}

} // namespace

TEST(Upstream, WrittenRequestIsNotResent) {
    event_loop loop;
    const one_shot_worker worker(loop, "");
    const send_result result = send_one(loop, worker.address());
    EXPECT_EQ(result.end, upstream_end::lost);
    EXPECT_EQ(result.ends, 1);
    EXPECT_EQ(worker.requests(), 1);
}

TEST(Upstream, RefusedConnectionIsReportedAsNotConnected) {
    event_loop loop;
    ip_address closed;
    {
        const one_shot_worker worker(loop, "");
        closed = worker.address();
    }
    const send_result result = send_one(loop, closed);
    EXPECT_EQ(result.end, upstream_end::not_connected);
    EXPECT_EQ(result.ends, 1);
}

TEST(Upstream, TruncatedResponseIsReportedAsLost) {
    event_loop loop;
    const one_shot_worker worker(loop, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    const send_result result = send_one(loop, worker.address());
    EXPECT_EQ(result.end, upstream_end::lost);
    EXPECT_EQ(worker.requests(), 1);
}

// Guards against a response that looks whole although its worker stopped in the middle of its head.
TEST(Upstream, ResponseThatEndsInItsHeadIsReportedAsLost) {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\n";
    for (const bool resets : {false, true}) {
        for (std::size_t size = 0; size < head.size(); ++size) {
            event_loop loop;
            const one_shot_worker worker(loop, head.substr(0, size), resets);
            const send_result result = send_one(loop, worker.address(), milliseconds(60));
            EXPECT_EQ(result.end, upstream_end::lost) << size;
            EXPECT_EQ(result.status, 0) << size;
        }
    }
}

TEST(Upstream, ResponseWithoutLengthIsCompleteOnlyAfterOrderlyClose) {
    event_loop loop;
    const one_shot_worker orderly(loop, "HTTP/1.1 200 OK\r\n\r\nall of it");
    EXPECT_EQ(send_one(loop, orderly.address()).end, upstream_end::complete);
    const one_shot_worker resetting(loop, "HTTP/1.1 200 OK\r\n\r\nperhaps all", true);
    EXPECT_EQ(send_one(loop, resetting.address()).end, upstream_end::lost);
}

// Guards against a part of a response that passes for the whole one: the reset that ended it is reported to
// the write of the request body, after which the connection reads as closed in order.
TEST(Upstream, ResponseWithoutLengthThatIsResetDuringTheUploadIsReportedAsLost) {
    constexpr std::size_t upload_bytes = 4UL * 1024 * 1024;
    for (int moment = 0; moment < 60; ++moment) {
        const auto [listener, port] = listen_on_loopback();
        std::thread worker([listener = listener, moment] {
            const int connection = accept(listener, nullptr, nullptr);
            std::string buffer(4096, '\0');
            recv(connection, buffer.data(), buffer.size(), 0);
            const std::string part = "HTTP/1.1 200 OK\r\n\r\npart of the body";
            send(connection, part.data(), part.size(), MSG_NOSIGNAL);
            usleep(static_cast<useconds_t>(moment) * 50);
            const linger reset_on_close{1, 0};
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
            close(connection);
            close(listener);
        });
        event_loop loop;
        const send_result result =
            send_one(loop, {"127.0.0.1", port}, milliseconds(30), std::string(upload_bytes, 'x'));
        worker.join();
        EXPECT_EQ(result.end, upstream_end::lost)
            << "reset " << moment * 50 << " microseconds after the part";
        EXPECT_EQ(result.ends, 1);
    }
}

// Guards against heads that are no HTTP response but reach the client as one, with a changed field or body.
// Guards against a body with its chunk framing, which a client gets as a complete response.
TEST(Upstream, UnknownTransferCodingIsReportedAsLost) {
    const auto end_of = [](const std::string& coding) {
        event_loop loop;
        const one_shot_worker worker(loop, "HTTP/1.1 200 OK\r\n" + coding + "\r\n4\r\nbody\r\n0\r\n\r\n");
        return send_one(loop, worker.address(), milliseconds(60)).end;
    };
    EXPECT_EQ(end_of("Transfer-Encoding: chunked\r\n"), upstream_end::complete);
    EXPECT_EQ(end_of("transfer-encoding: Chunked\r\n"), upstream_end::complete);
    for (const char* other : {"chunkee", "identity", "gzip, chunked", "chunked, chunked", ""}) {
        EXPECT_EQ(end_of(std::string("Transfer-Encoding: ") + other + "\r\n"), upstream_end::lost) << other;
    }
    EXPECT_EQ(end_of("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), upstream_end::lost);
}

// Guards against a success without the worker's signature, because a byte of its name was spoiled.
TEST(Upstream, SuccessWithoutSignatureIsReportedAsLost) {
    const auto end_of = [](const std::string& head, const std::string& signature) {
        event_loop loop;
        const one_shot_worker worker(loop, head + "Content-Length: 4\r\n\r\nbody");
        return send_one(loop, worker.address(), milliseconds(60), "x", signature).end;
    };
    EXPECT_EQ(end_of("HTTP/1.1 200 OK\r\nX-Seal: 1\r\n", "X-Seal"), upstream_end::complete);
    EXPECT_EQ(end_of("HTTP/1.1 200 OK\r\nX-Sebl: 1\r\n", "X-Seal"), upstream_end::lost);
    EXPECT_EQ(end_of("HTTP/1.1 200 OK\r\nX-Seal:\r\n", "X-Seal"), upstream_end::lost);
    EXPECT_EQ(end_of("HTTP/1.1 500 Failed\r\n", "X-Seal"), upstream_end::complete);
    EXPECT_EQ(end_of("HTTP/1.1 200 OK\r\n", ""), upstream_end::complete);
}

TEST(Upstream, MalformedHeadIsReportedAsLost) {
    const std::vector<std::string> heads{"HTTP/1.1 000 Nothing\r\n",
                                         "HTTP/1.1 099 Low\r\n",
                                         "HTTP/1.1 20 Short\r\n",
                                         "HTTP/1.1 600 High\r\n",
                                         "HTTP/1.1 999 High\r\n",
                                         "HTTP/1.1 2000 Long\r\n",
                                         "HTTP/1.1 101 Switching Protocols\r\n",
                                         "HTTP/2.0 200 OK\r\n",
                                         "HTTP/1.1 200 OK\r\nX Id: a\r\n",
                                         "HTTP/1.1 200 OK\r\nX-Id : a\r\n",
                                         "HTTP/1.1 200 OK\r\n X-Id: a\r\n",
                                         "HTTP/1.1 200 OK\r\nX-Id: a\r\n folded\r\n",
                                         "HTTP/1.1 200 OK\r\nX-Id: a\r\n\tfolded\r\n",
                                         "HTTP/1.1 200 OK\r\nX\x01Id: a\r\n",
                                         "HTTP/1.1 200 OK\r\nX\x7fId: a\r\n",
                                         "HTTP/1.1 200 OK\r\nX\tId: a\r\n",
                                         "HTTP/1.1 200 OK\r\n: a\r\n",
                                         "HTTP/1.1 200 OK\r\nX(Id): a\r\n",
                                         "HTTP/1.1 200 OK\r\nX-Id: a\x01\r\n",
                                         "HTTP/1.1 200 OK\r\nX-Id: a\x7f\r\n",
                                         "HTTP/1.1 200 OK\r\nno field\r\n"};
    for (const std::string& head : heads) {
        event_loop loop;
        const one_shot_worker worker(loop, head + "Content-Length: 4\r\n\r\nbody");
        const send_result result = send_one(loop, worker.address(), milliseconds(60));
        EXPECT_EQ(result.end, upstream_end::lost) << head;
        EXPECT_EQ(result.status, 0) << head;
    }
}

TEST(Upstream, HeadWithUnusualButValidFieldsIsComplete) {
    event_loop loop;
    const one_shot_worker worker(loop, "HTTP/1.1 599 X\r\nx!#$%&'*+-.^_`|~9:\t a\tb \xe9 \r\nEmpty:\r\n"
                                       "Content-Length: 4\r\n\r\nbody");
    const send_result result = send_one(loop, worker.address());
    EXPECT_EQ(result.end, upstream_end::complete);
    EXPECT_EQ(result.status, 599);
}

TEST(Upstream, FullResponseIsReportedAsComplete) {
    event_loop loop;
    const one_shot_worker worker(loop, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nbody");
    const send_result result = send_one(loop, worker.address());
    EXPECT_EQ(result.end, upstream_end::complete);
    EXPECT_EQ(result.status, 201);
}

namespace {

/// A worker that keeps its connections open and sends the next of its responses for each request.
class scripted_worker {
public:
    scripted_worker(const event_loop& loop, std::vector<std::string> responses)
        : loop_(loop), responses_(std::move(responses)) {
        std::tie(listener_, port_) = listen_on_loopback();
        accepting_ = loop_event::on_readable(loop, listener_, [this] { accept_connection(); });
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
    void accept_connection() {
        const int connection = accept(listener_, nullptr, nullptr);
        connections_.push_back(connection);
        readings_.push_back(
            loop_event::on_readable(loop_, connection, [this, connection] { serve(connection); }));
    }
    void serve(int connection) {
        char buffer[4096];
        if (recv(connection, buffer, sizeof(buffer), MSG_DONTWAIT) <= 0 || next_ == responses_.size()) {
            // The event is level-triggered: a closed connection would be reported repeatedly.
            shutdown(connection, SHUT_RDWR);
            return;
        }
        const std::string& response = responses_[next_++];
        send(connection, response.data(), response.size(), MSG_NOSIGNAL);
    }

    const event_loop& loop_;
    std::vector<std::string> responses_;
    std::size_t next_ = 0;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::vector<int> connections_;
    std::vector<loop_event> readings_;
    loop_event accepting_;
};

std::string response_text(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

struct echoed_result {
    int status = 0;
    std::string body;
    std::optional<upstream_end> end;
};

/// Sends a request; without an id, responses need not repeat any.
echoed_result send_with_id(event_loop& loop, upstream_pool& pool, const ip_address& address,
                           const std::string& id) {
    echoed_result result;
    upstream_callbacks callbacks;
    callbacks.on_headers = [&](int status, const std::vector<http_header>&) { result.status = status; };
    callbacks.on_data = [&](evbuffer* data) {
        std::string piece(evbuffer_get_length(data), '\0');
        evbuffer_remove(data, piece.data(), piece.size());
        result.body += piece;
    };
    callbacks.on_end = [&](upstream_end end) { result.end = end; };
    upstream_options options;
    options.timeout = milliseconds(200);
    options.reuse_after_failure = !id.empty();
    if (!id.empty()) {
        options.echo = http_header{"X-Id", id};
    }
    pool.send(address, {EVHTTP_REQ_GET, "/", {{"Host", "h"}, {"X-Id", id}}, {}}, options, callbacks);
    loop.run_for(milliseconds(100));
    return result;
}

} // namespace

// The worker responds after the first acknowledgement timeout and before the extended one.
TEST(Upstream, OverdueAcknowledgementIsAwaitedAsLongAsCallbackAllows) {
    for (const bool extends_wait : {true, false}) {
        event_loop loop;
        upstream_pool pool(loop, milliseconds(1000));
        const auto [listener, port] = listen_on_loopback();
        std::optional<upstream_end> ended;
        int overdue_callbacks = 0;
        upstream_callbacks callbacks;
        callbacks.on_headers = [](int, const std::vector<http_header>&) {};
        callbacks.on_data = [](evbuffer* data) { evbuffer_drain(data, evbuffer_get_length(data)); };
        callbacks.on_end = [&](upstream_end end) { ended = end; };
        callbacks.on_acknowledgement_overdue = [&] {
            ++overdue_callbacks;
            return milliseconds(extends_wait ? 500 : 0);
        };
        pool.send({"127.0.0.1", port}, {EVHTTP_REQ_GET, "/", {{"Host", "h"}}, {}},
                  {milliseconds(1000), std::nullopt, milliseconds(30)}, callbacks);
        loop.run_for(milliseconds(100));
        EXPECT_EQ(overdue_callbacks, 1);
        EXPECT_EQ(ended, extends_wait ? std::nullopt : std::optional(upstream_end::unacknowledged));
        const int connection = accept(listener, nullptr, nullptr);
        const std::string response = response_text("a", "late");
        send(connection, response.data(), response.size(), MSG_NOSIGNAL);
        loop.run_for(milliseconds(50));
        EXPECT_EQ(ended, extends_wait ? upstream_end::complete : upstream_end::unacknowledged);
        close(connection);
        close(listener);
    }
}

TEST(Upstream, ResponseToAnotherRequestIsSkipped) {
    event_loop loop;
    upstream_pool pool(loop, milliseconds(1000));
    const scripted_worker worker(
        loop, {response_text("a", "first"), response_text("a", "again") + response_text("b", "own")});
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "a").body, "first");
    const echoed_result second = send_with_id(loop, pool, worker.address(), "b");
    EXPECT_EQ(second.body, "own");
    EXPECT_EQ(second.end, upstream_end::complete);
    EXPECT_EQ(worker.connections(), 1U);
}

namespace {

const std::string refusal_text = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against a false "not run": a worker writes an earlier refusal again on a kept connection.
TEST(Upstream, RepeatedRefusalIsNotTheResponseToTheNextRequest) {
    event_loop loop;
    upstream_pool pool(loop, milliseconds(1000));
    std::string refusal = refusal_text;
    refusal.insert(refusal.find("X-Not-Run"), "X-Id: a\r\n");
    const scripted_worker worker(loop, {refusal, refusal + response_text("b", "own")});
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "a").status, 503);
    const echoed_result second = send_with_id(loop, pool, worker.address(), "b");
    EXPECT_EQ(std::pair(second.status, second.body), std::pair(200, std::string("own")));
    EXPECT_EQ(worker.connections(), 1U);
}

// The same for workers that repeat no id: such a refusal can only be told by its connection.
TEST(Upstream, ConnectionOfARefusalWithoutIdIsNotReused) {
    event_loop loop;
    upstream_pool pool(loop, milliseconds(1000));
    const scripted_worker worker(loop, {refusal_text, refusal_text + response_text("b", "own")});
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "").status, 503);
    send_with_id(loop, pool, worker.address(), "");
    EXPECT_EQ(worker.connections(), 2U);
}

TEST(Upstream, ConnectionWithUnsolicitedBytesIsNotReused) {
    event_loop loop;
    upstream_pool pool(loop, milliseconds(1000));
    const scripted_worker worker(
        loop, {response_text("a", "first") + response_text("a", "extra"), response_text("b", "own")});
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "a").body, "first");
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "b").body, "own");
    EXPECT_EQ(worker.connections(), 2U);
}

TEST(Upstream, ConnectionWithShortKeepAliveTimeoutIsNotReused) {
    event_loop loop;
    upstream_pool pool(loop, milliseconds(1000));
    const std::string brief =
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n";
    const scripted_worker worker(loop, {brief, response_text("b", "own")});
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "a").end, upstream_end::complete);
    EXPECT_EQ(send_with_id(loop, pool, worker.address(), "b").body, "own");
    EXPECT_EQ(worker.connections(), 2U);
}

namespace {

/// Opens one connection to each address and leaves it idle.
void open_connections(event_loop& loop, upstream_pool& pool, const std::vector<ip_address>& addresses) {
    for (const ip_address& address : addresses) {
        send_with_id(loop, pool, address, "a");
    }
}

/// Sends a request whose acknowledgement is due after 30 ms.
void start_awaited(upstream_pool& pool, const ip_address& address) {
    upstream_callbacks callbacks;
    callbacks.on_headers = [](int, const std::vector<http_header>&) {};
    callbacks.on_data = [](evbuffer* data) { evbuffer_drain(data, evbuffer_get_length(data)); };
    callbacks.on_end = [](upstream_end) {};
    pool.send(address, {EVHTTP_REQ_GET, "/", {{"Host", "h"}}, {}}, {milliseconds(500), {}, milliseconds(30)},
              callbacks);
}

} // namespace

// Guards against requests sent into connections that have all gone silent, one after the other.
TEST(Upstream, OverdueAcknowledgementClosesIdleConnectionsThatMayBeSilentToo) {
    event_loop loop;
    upstream_pool pool(loop, milliseconds(2000));
    const scripted_worker one(loop, {response_text("a", "first"), ""});
    const scripted_worker other(loop, {response_text("a", "first"), response_text("b", "second")});
    open_connections(loop, pool, {one.address(), other.address()});
    start_awaited(pool, one.address());
    loop.run_for(milliseconds(100));
    EXPECT_EQ(send_with_id(loop, pool, other.address(), "b").body, "second");
    EXPECT_EQ(other.connections(), 2U);
}

TEST(Upstream, OverdueAcknowledgementOfOnePeerLeavesTheConnectionsOfOthersOpen) {
    event_loop loop;
    upstream_pool pool(loop, milliseconds(2000));
    const scripted_worker slow(loop, {response_text("a", "first"), ""});
    const scripted_worker other(
        loop, {response_text("a", "first"), response_text("a", "second"), response_text("b", "third")});
    open_connections(loop, pool, {slow.address(), other.address()});
    start_awaited(pool, slow.address());
    EXPECT_EQ(send_with_id(loop, pool, other.address(), "a").body, "second");
    EXPECT_EQ(send_with_id(loop, pool, other.address(), "b").body, "third");
    EXPECT_EQ(other.connections(), 1U);
}
