#include "waxwingfall/node/platform_agent.h"

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "loopback.h"
#include "waxwingfall/link/http.h"

using namespace waxwingfall;

namespace {

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

/// A store that breaks the connection of the first watch.
class breaking_watch_store {
public:
    breaking_watch_store(const event_loop& loop, const ip_address& address)
        : server_(loop, address, [this](evhttp_request* request) { receive(request); }) {}

    /// Time from the broken watch to the next read of its key, or nothing if there was none.
    std::optional<milliseconds> pause() const {
        return next_at_ ? std::optional(milliseconds(elapsed_ms(*broken_at_, *next_at_))) : std::nullopt;
    }

    /// True if that read asked for the current value, not for all changes since the last read.
    bool next_reads_current() const { return next_path_ == "/kv-range"; }

private:
    void receive(evhttp_request* request) {
        const bool is_watch = request_path(request) == "/kv-watch";
        if (is_watch && !broken_at_) {
            broken_at_ = monotonic_now();
            drop_connection(request);
            return;
        }
        if (broken_at_ && !next_at_ && query_value(request, "prefix") == "op/config") {
            next_at_ = monotonic_now();
            next_path_ = request_path(request);
        }
        if (!is_watch) {
            send_response(request, 200, R"({"items":[],"has_more":false,"as_of":5})");
        }
    }

    std::optional<time_point> broken_at_;
    std::optional<time_point> next_at_;
    std::string next_path_;
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
    const ip_address address = test::unused_address();
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

// Guards against a late configuration: every node paused after its watch broke, while versions appeared.
TEST(PlatformAgent, BrokenWatchIsFollowedByAReadOfTheCurrentValueImmediately) {
    event_loop loop;
    const ip_address address = test::unused_address();
    const breaking_watch_store store(loop, address);
    node_settings settings = bridge_settings(address);
    settings.source = configuration_source::operator_key;
    event_log log("reader", "/dev/null");
    node_context context(loop, settings, log, 1);
    context.control.nodes.joined = true;
    platform_agent agent(context, [](const control_plane_effects&) {});
    const loop_event ticks =
        loop_event::every(loop, milliseconds(10), [&agent] { agent.tick(monotonic_now()); });
    loop.run_for(milliseconds(2000));
    ASSERT_TRUE(store.pause());
    EXPECT_LT(*store.pause(), milliseconds(100));
    EXPECT_TRUE(store.next_reads_current());
}
