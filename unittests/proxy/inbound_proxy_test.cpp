#include "waxwingfall/proxy/inbound_proxy.h"

#include <string>
#include <utility>
#include <vector>

#include <event2/bufferevent.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include "unittests/loopback.h"
#include "waxwingfall/link/http.h"

using namespace waxwingfall;

namespace {

std::vector<http_header> leaving_headers() {
    return {{"Server-Leaving", "1"}};
}

node_settings make_settings(pace_rule pace) {
    node_settings settings;
    settings.pace = pace;
    settings.name = "node";
    settings.data_centre = "d";
    settings.environment = "e";
    settings.service = "s";
    settings.inbound = test::unused_address();
    settings.worker = test::unused_address();
    settings.heartbeats = test::unused_address();
    settings.drain = milliseconds(200);
    settings.is_first_start = true;
    return settings;
}

/// An inbound proxy whose worker has reported that it is ready, and a client.
class tested_proxy {
public:
    explicit tested_proxy(pace_rule pace = pace_rule::slots)
        : settings_(make_settings(pace)), log_("node", "/dev/null"), context_(loop_, settings_, log_, 1),
          proxy_(context_), clients_(loop_, milliseconds(1000)) {
        report_worker("one", "s", 1, 4);
    }

    void report_worker(const std::string& id, const std::string& service, std::uint64_t incarnation,
                       std::uint32_t slots) {
        worker_report report;
        report.worker_id = id;
        report.address = to_string(settings_.worker);
        report.service = service;
        report.slots = slots;
        report.sequence = 1;
        report.incarnation = incarnation;
        proxy_.handle_worker_report(report);
    }

    /// Sends a request for `service` through the proxy. `status` receives that of its response.
    void send(const std::string& service, int& status, const std::vector<http_header>& more_headers = {}) {
        upstream_callbacks callbacks;
        callbacks.on_headers = [&status](int received, const std::vector<http_header>&) {
            status = received;
        };
        callbacks.on_data = [](evbuffer* data) { evbuffer_drain(data, evbuffer_get_length(data)); };
        callbacks.on_end = [](upstream_end) {};
        upstream_options options;
        options.timeout = milliseconds(5000);
        std::vector<http_header> headers{{"Host", "h"}, {"X-Waxwingfall-Service", service}};
        headers.insert(headers.end(), more_headers.begin(), more_headers.end());
        clients_.send(settings_.inbound, {EVHTTP_REQ_GET, "/", headers, {}}, options, std::move(callbacks));
    }

    /// Delivers the notice of a node that stops.
    void notify_of_stop(const std::vector<std::string>& requests, milliseconds ends_in) {
        wire::stop_notice notice;
        notice.set_ends_in_ms(static_cast<std::uint64_t>(ends_in.count()));
        for (const std::string& request : requests) {
            notice.add_requests(request);
        }
        proxy_.handle_stop_notice(notice, monotonic_now());
    }

    /// Lets this node stop in `ends_in`.
    void limit_requests(milliseconds ends_in) { proxy_.limit_requests(monotonic_now() + ends_in); }

    /// Sends a request through the proxy and returns the status of its response.
    int status_of_request() {
        int status = 0;
        upstream_callbacks callbacks;
        callbacks.on_headers = [&](int received, const std::vector<http_header>&) { status = received; };
        callbacks.on_data = [](evbuffer* data) { evbuffer_drain(data, evbuffer_get_length(data)); };
        callbacks.on_end = [&](upstream_end) { loop_.stop(); };
        upstream_options options;
        options.timeout = milliseconds(1000);
        clients_.send(settings_.inbound, {EVHTTP_REQ_GET, "/", {{"Host", "h"}}, {}}, options,
                      std::move(callbacks));
        loop_.run_for(milliseconds(2000));
        return status;
    }

    /// Changes the setting as a reload does.
    void set_pace(pace_rule pace) { settings_.pace = pace; }
    std::uint32_t worker_limit() const { return proxy_.worker_limit(); }
    /// Sends a request; its reason for a refusal and the pause that it states are stored once they are known.
    void send_reading_reason(std::string& reason, std::string& pause_ms) {
        upstream_callbacks callbacks;
        callbacks.on_headers = [&](int, const std::vector<http_header>& headers) {
            reason = header_value(headers, call_header::reason);
            pause_ms = header_value(headers, call_header::pause_ms);
        };
        callbacks.on_data = [](evbuffer* data) { evbuffer_drain(data, evbuffer_get_length(data)); };
        callbacks.on_end = [](upstream_end) {};
        upstream_options options;
        options.timeout = milliseconds(5000);
        clients_.send(settings_.inbound, {EVHTTP_REQ_GET, "/", {{"Host", "h"}}, {}}, options,
                      std::move(callbacks));
    }

    membership& nodes() { return context_.control.nodes; }
    void wait(milliseconds time) { loop_.run_for(time); }
    const event_loop& loop() const { return loop_; }
    const ip_address& worker() const { return settings_.worker; }

private:
    event_loop loop_;
    node_settings settings_;
    event_log log_;
    node_context context_;
    inbound_proxy proxy_;
    upstream_pool clients_;
};

/// A worker that answers each request with the given headers.
class responding_worker {
public:
    responding_worker(const tested_proxy& proxy, std::vector<http_header> headers)
        : server_(proxy.loop(), proxy.worker(),
                  [this, headers = std::move(headers)](evhttp_request* request) {
                      ++runs_;
                      send_response(request, 200, "", headers);
                  }) {}
    int runs() const { return runs_; }

private:
    int runs_ = 0;
    http_server server_;
};

/// A worker that responds to a request when it is told to.
class slow_worker {
public:
    explicit slow_worker(const tested_proxy& proxy)
        : server_(proxy.loop(), proxy.worker(),
                  [this](evhttp_request* request) { open_.push_back(request); }) {}
    void respond_to_all() {
        for (evhttp_request* request : std::exchange(open_, {})) {
            send_response(request, 200, "", {{"X-Attempt-Id", request_header(request, "X-Attempt-Id")}});
        }
    }
    std::size_t open() const { return open_.size(); }

private:
    std::vector<evhttp_request*> open_;
    http_server server_;
};

/// A worker that writes the given bytes for each request and closes the connection. Health checks get no
/// response.
class breaking_worker {
public:
    breaking_worker(const tested_proxy& proxy, const std::string& bytes)
        : server_(proxy.loop(), proxy.worker(), [bytes](evhttp_request* request) {
              const auto socket = bufferevent_getfd(
                  evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
              send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
              drop_connection(request);
          }) {}

private:
    http_server server_;
};

} // namespace

// Guards against requests that reach a worker after it has said in a response, and not yet in a heartbeat,
// that it leaves.
TEST(InboundProxy, WorkerThatSaysItLeavesGetsNoRequestAfterTheDrainTime) {
    tested_proxy proxy;
    const responding_worker worker(proxy, leaving_headers());
    EXPECT_EQ(proxy.status_of_request(), 200);
    proxy.wait(milliseconds(250));
    EXPECT_EQ(proxy.status_of_request(), 503);
    EXPECT_EQ(worker.runs(), 1);
}

TEST(InboundProxy, WorkerIsAskedUntilTheDrainTimeHasPassed) {
    tested_proxy proxy;
    const responding_worker worker(proxy, leaving_headers());
    EXPECT_EQ(proxy.status_of_request(), 200);
    EXPECT_EQ(proxy.status_of_request(), 200);
}

TEST(InboundProxy, WorkerThatDoesNotLeaveIsAskedOn) {
    tested_proxy proxy;
    const responding_worker worker(proxy, {});
    EXPECT_EQ(proxy.status_of_request(), 200);
    proxy.wait(milliseconds(250));
    EXPECT_EQ(proxy.status_of_request(), 200);
    EXPECT_EQ(worker.runs(), 2);
}

// Guards against a 200 with an empty body for a worker that stopped in the middle of its response's head.
TEST(InboundProxy, ResponseThatEndsInItsHeadIsAFailure) {
    for (const std::string head : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Len",
                                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"}) {
        tested_proxy proxy;
        const breaking_worker worker(proxy, head);
        EXPECT_EQ(proxy.status_of_request(), 502) << head;
    }
}

namespace {

/// A proxy whose worker has one slot and runs a request, while another one waits.
struct occupied_proxy {
    occupied_proxy() : worker(proxy) {
        proxy.report_worker("two", "s", 2, 1);
        proxy.send("s", first, {{"X-Attempt-Id", "first"}});
        proxy.send("s", second, {{"X-Attempt-Id", "second"}});
        proxy.wait(milliseconds(100));
    }
    tested_proxy proxy;
    slow_worker worker;
    int first = 0;  ///< status of the response to the request that runs
    int second = 0; ///< and to the one that waits
};

} // namespace

// Guards against requests that waited for a silent worker and were run by the worker of another service that
// got its address.
TEST(InboundProxy, WaitingRequestIsNotRunByAWorkerOfAnotherService) {
    occupied_proxy node;
    ASSERT_EQ(node.worker.open(), 1U);
    node.proxy.report_worker("three", "t", 3, 1);
    node.proxy.wait(milliseconds(100));
    EXPECT_EQ(node.second, 503);
    node.worker.respond_to_all();
    node.proxy.wait(milliseconds(100));
    EXPECT_EQ(node.first, 200);
    EXPECT_EQ(node.worker.open(), 0U);
}

TEST(InboundProxy, WaitingRequestIsRunByASuccessorOfItsService) {
    occupied_proxy node;
    node.proxy.report_worker("three", "s", 3, 1);
    node.worker.respond_to_all();
    node.proxy.wait(milliseconds(100));
    node.worker.respond_to_all();
    node.proxy.wait(milliseconds(100));
    EXPECT_EQ(node.second, 200);
}

// Guards against a request that starts after the node that sent it has given it up: its client was told that
// it has not run.
TEST(InboundProxy, WaitingRequestOfANodeThatStopsIsRefusedAndNeverStarts) {
    occupied_proxy node;
    node.proxy.notify_of_stop({"first", "second"}, milliseconds(150));
    node.proxy.wait(milliseconds(50));
    EXPECT_EQ(node.second, 0) << "it can still end in time";
    node.proxy.wait(milliseconds(200));
    EXPECT_EQ(node.second, 503);
    EXPECT_EQ(node.first, 0) << "the worker is at work on it";
    node.worker.respond_to_all();
    node.proxy.wait(milliseconds(100));
    EXPECT_EQ(node.first, 200);
    EXPECT_EQ(node.worker.open(), 0U);
}

TEST(InboundProxy, StopOfANodeConcernsItsOwnRequestsOnly) {
    occupied_proxy node;
    node.proxy.notify_of_stop({"first", "other"}, milliseconds(0));
    node.proxy.wait(milliseconds(100));
    EXPECT_EQ(node.second, 0);
}

// Guards against a request that starts, or waits, although its run would be cut off.
TEST(InboundProxy, RequestOfANodeThatStopsIsRefusedAtOnceIfItCannotEndInTime) {
    occupied_proxy node;
    node.proxy.wait(milliseconds(300));
    node.worker.respond_to_all(); // after a run of 400 ms
    node.proxy.wait(milliseconds(50));
    int late = 0;
    node.proxy.send("s", late, {{"X-Attempt-Id", "late"}, {"X-Waxwingfall-Ends-In-Ms", "200"}});
    node.proxy.wait(milliseconds(50));
    EXPECT_EQ(late, 503);
    EXPECT_EQ(node.worker.open(), 1U);
}

// Guards against requests that wait beside a worker and whose connections close when this process ends.
TEST(InboundProxy, RequestsThatWaitAreRefusedBeforeThisNodeStops) {
    occupied_proxy node;
    node.proxy.limit_requests(milliseconds(50));
    node.proxy.wait(milliseconds(150));
    EXPECT_EQ(node.second, 503);
    EXPECT_EQ(node.first, 0);
    EXPECT_EQ(node.worker.open(), 1U);
}

// Guards against a leave that the peers of a node forget when it is killed twice in a row.
TEST(InboundProxy, LeaveThatPeersTellIsRepeatedInTheLocalRecord) {
    tested_proxy proxy;
    member previous = proxy.nodes().self;
    previous.incarnation -= 1;
    previous.left_worker = "zero";
    previous.left_worker_start = 7;
    proxy.nodes().previous_self = previous;
    proxy.wait(milliseconds(100));
    EXPECT_EQ(proxy.nodes().self.left_worker, "zero");
    EXPECT_EQ(proxy.nodes().self.left_worker_start, 7U);
}

// Guards against a pace that has an effect without its setting, and against one that a reload does not
// switch.
TEST(InboundProxy, PaceLimitsTheSlotsOnlyIfItIsSet) {
    tested_proxy proxy;
    slow_worker worker(proxy);
    int first = 0;
    int second = 0;
    proxy.send("s", first);
    proxy.send("s", second);
    proxy.wait(milliseconds(100));
    EXPECT_EQ(worker.open(), 2U);
    proxy.set_pace(pace_rule::adaptive);
    proxy.wait(milliseconds(100));
    EXPECT_EQ(proxy.worker_limit(), 1U) << "a quarter of four slots";
    proxy.set_pace(pace_rule::slots);
    proxy.wait(milliseconds(100));
    EXPECT_EQ(proxy.worker_limit(), 4U);
    worker.respond_to_all();
    proxy.wait(milliseconds(100));
    EXPECT_EQ(first, 200);
    EXPECT_EQ(second, 200);
}

// Guards against a limit that does not follow the runs of the worker, or that a restarted worker inherits.
TEST(InboundProxy, PaceRisesWithRunsAndStartsAnewWithEachWorker) {
    tested_proxy proxy(pace_rule::adaptive);
    slow_worker worker(proxy);
    int first = 0;
    int second = 0;
    proxy.send("s", first);
    proxy.send("s", second);
    proxy.wait(milliseconds(100));
    EXPECT_EQ(worker.open(), 1U) << "the other one waits";
    worker.respond_to_all();
    proxy.wait(milliseconds(100));
    worker.respond_to_all();
    proxy.wait(milliseconds(100));
    EXPECT_EQ(first, 200);
    EXPECT_EQ(second, 200);
    EXPECT_GT(proxy.worker_limit(), 1U);
    proxy.report_worker("one", "s", 2, 4);
    proxy.wait(milliseconds(100));
    EXPECT_EQ(proxy.worker_limit(), 1U);
}

namespace {

/// A worker that runs one request and resets all other connections, those of health checks as well.
class full_worker {
public:
    explicit full_worker(const tested_proxy& proxy)
        : server_(proxy.loop(), proxy.worker(), [this](evhttp_request* request) {
              if (running_ == nullptr) {
                  running_ = request;
                  return;
              }
              const auto socket = bufferevent_getfd(
                  evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
              const linger reset_on_close{1, 0};
              setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
              drop_connection(request);
          }) {}
    void respond() { send_response(running_, 200, ""); }

private:
    evhttp_request* running_ = nullptr;
    http_server server_;
};

} // namespace

// Guards against a crash verdict on a worker that resets connections because it is full: its request would be
// quarantined, and the endpoint ejected.
TEST(InboundProxy, ResetsOfAFullWorkerAreNoCrash) {
    tested_proxy proxy;
    full_worker worker(proxy);
    int first = 0;
    proxy.send("s", first);
    proxy.wait(milliseconds(50));
    std::string reason;
    std::string pause_ms;
    proxy.send_reading_reason(reason, pause_ms);
    proxy.wait(milliseconds(80));
    worker.respond();
    proxy.wait(milliseconds(100));
    EXPECT_EQ(first, 200);
    EXPECT_EQ(reason, "worker-failed");
    EXPECT_EQ(pause_ms, "100");
}
