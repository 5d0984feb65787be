#include "waxwingfall/node/inbound_proxy.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

#include "loopback.h"
#include "waxwingfall/link/http.h"

using namespace waxwingfall;

namespace {

std::vector<http_header> leaving_headers() {
    return {{"Server-Leaving", "1"}};
}

ip_address unused_address() {
    const auto [listener, port] = test::listen_on_loopback();
    close(listener);
    return {"127.0.0.1", port};
}

/// An inbound proxy and its worker, which answers each request with the given headers.
class proxied_worker {
public:
    explicit proxied_worker(std::vector<http_header> headers)
        : headers_(std::move(headers)), settings_(make_settings()), log_("node", "/dev/null"),
          context_(loop_, settings_, log_, 1), proxy_(context_),
          worker_(loop_, settings_.worker,
                  [this](evhttp_request* request) {
                      ++runs_;
                      send_response(request, 200, "", headers_);
                  }),
          clients_(loop_, milliseconds(1000)) {
        worker_report report;
        report.worker_id = "one";
        report.address = to_string(settings_.worker);
        report.service = "s";
        report.slots = 4;
        report.sequence = 1;
        report.incarnation = 1;
        proxy_.handle_worker_report(report);
    }

    /// Sends a request through the proxy and returns the status of its response.
    int status_of_request() {
        int status = 0;
        upstream_callbacks callbacks;
        callbacks.on_headers = [&](int received, const std::vector<http_header>&) { status = received; };
        callbacks.on_data = [](evbuffer* data) { evbuffer_drain(data, evbuffer_get_length(data)); };
        callbacks.on_end = [&](upstream_end) { loop_.stop(); };
        clients_.send(settings_.inbound, {EVHTTP_REQ_GET, "/", {{"Host", "h"}}, {}},
                      {milliseconds(500), {}, milliseconds(0)}, std::move(callbacks));
        loop_.run_for(milliseconds(1000));
        return status;
    }

    void wait(milliseconds time) { loop_.run_for(time); }
    int runs() const { return runs_; }
    const node_context& context() const { return context_; }
    inbound_proxy& proxy() { return proxy_; }

private:
    static node_settings make_settings() {
        node_settings settings;
        settings.name = "node";
        settings.data_centre = "d";
        settings.environment = "e";
        settings.service = "s";
        settings.inbound = unused_address();
        settings.worker = unused_address();
        settings.heartbeats = unused_address();
        settings.drain = milliseconds(200);
        return settings;
    }

    std::vector<http_header> headers_;
    event_loop loop_;
    node_settings settings_;
    event_log log_;
    node_context context_;
    inbound_proxy proxy_;
    http_server worker_;
    upstream_pool clients_;
    int runs_ = 0;
};

} // namespace

// Guards against requests that reach a worker after it has said in a response, and not yet in a heartbeat,
// that it leaves.
TEST(InboundProxy, WorkerThatSaysItLeavesGetsNoRequestAfterTheDrainTime) {
    proxied_worker worker(leaving_headers());
    EXPECT_EQ(worker.status_of_request(), 200);
    worker.wait(milliseconds(250));
    EXPECT_EQ(worker.status_of_request(), 503);
    EXPECT_EQ(worker.runs(), 1);
}

TEST(InboundProxy, WorkerIsAskedUntilTheDrainTimeHasPassed) {
    proxied_worker worker(leaving_headers());
    EXPECT_EQ(worker.status_of_request(), 200);
    EXPECT_EQ(worker.status_of_request(), 200);
}

TEST(InboundProxy, WorkerThatDoesNotLeaveIsAskedOn) {
    proxied_worker worker(std::vector<http_header>{});
    EXPECT_EQ(worker.status_of_request(), 200);
    worker.wait(milliseconds(250));
    EXPECT_EQ(worker.status_of_request(), 200);
    EXPECT_EQ(worker.runs(), 2);
}
