#include "waxwingfall/node/platform_agent.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

#include "loopback.h"
#include "waxwingfall/link/http.h"

using namespace waxwingfall;

namespace {

/// Returns a loopback port that nothing listens on.
std::uint16_t unused_port() {
    const auto [listener, port] = test::listen_on_loopback();
    close(listener);
    return port;
}

/// A store without keys that accepts watches and never responds to them.
class blocking_watch_store {
public:
    blocking_watch_store(const event_loop& loop, const ip_address& address)
        : server_(loop, address, [this](evhttp_request* request) { receive(request); }) {}

    const std::vector<std::string>& watched() const { return watched_; }

private:
    void receive(evhttp_request* request) {
        if (request_path(request) == "/kv-watch") {
            watched_.push_back(query_value(request, "prefix"));
            return;
        }
        send_response(request, 200, R"({"items":[],"has_more":false,"as_of":5})");
    }

    std::vector<std::string> watched_;
    http_server server_;
};

node_settings bridge_settings(const ip_address& store) {
    node_settings settings;
    settings.name = "reader";
    settings.data_centre = "d";
    settings.environment = "e";
    settings.platform = store;
    return settings;
}

} // namespace

// Guards against a missed version. When a bridge started its next watch only at its next tick, up to 50 ms
// later, all six bridges missed a version that was accepted 22 ms after the previous one, because the store
// failed right after it.
TEST(PlatformAgent, BridgeRestartsWatchImmediatelyAfterReadingHead) {
    event_loop loop;
    const ip_address address{"127.0.0.1", unused_port()};
    const blocking_watch_store store(loop, address);
    const node_settings settings = bridge_settings(address);
    event_log log("reader", "/dev/null");
    node_context context(loop, settings, log, 1);
    context.control.nodes.joined = true;
    platform_agent agent(context, [](const control_plane_effects&) {});
    agent.tick(monotonic_now());
    loop.run_for(milliseconds(300));
    EXPECT_EQ(store.watched(), (std::vector<std::string>{head_key("e"), ledger_key("e")}));
}
