#include "waxwingfall/node/leave_records.h"

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "platform/json_fields.h"
#include "unittests/loopback.h"
#include "waxwingfall/link/http.h"

using namespace waxwingfall;

namespace {

/// A store that grants leases, counts writes and serves one value, or responds to nothing.
class recording_store {
public:
    recording_store(const event_loop& loop, const ip_address& address)
        : server_(loop, address, [this](evhttp_request* request) { receive(request); }) {}

    bool silent = false;
    bool refuses = false;
    std::string item; ///< the response to reads; empty for an absent key
    std::vector<std::string> writes;

private:
    void receive(evhttp_request* request) {
        if (silent) {
            return;
        }
        const std::string path = request_path(request);
        if (refuses) {
            send_response(request, 503, "");
        } else if (path == "/kv-lease") {
            send_response(request, 200, R"({"lease":7,"ttl_time":"600s"})");
        } else if (path == "/kv-txn") {
            writes.push_back(request_body(request));
            send_response(request, 200, R"({"rev":5})");
        } else {
            send_response(request, item.empty() ? 404 : 200, item);
        }
    }

    http_server server_;
};

node_settings make_settings(const ip_address& store) {
    node_settings settings;
    settings.name = "node";
    settings.data_centre = "d";
    settings.environment = "e";
    settings.platform = store;
    settings.heartbeats = ip_address{"127.0.0.1", 1};
    return settings;
}

/// The records of a node that has just started.
class tested_records {
public:
    tested_records()
        : store_(loop_, address_), settings_(make_settings(address_)), log_("node", "/dev/null"),
          context_(loop_, settings_, log_, 1), records_(context_,
                                                        [this](const std::optional<left_worker>& left) {
                                                            context_.worker.leaves_known = true;
                                                            read_.push_back(left);
                                                        }),
          ticks_(loop_event::every(loop_, milliseconds(20), [this] { records_.tick(monotonic_now()); })) {}

    /// Writes a leave. `acknowledged_after` receives the time until its acknowledgement.
    void write(const left_worker& left, std::optional<milliseconds>& acknowledged_after) {
        records_.write(left, [this, &acknowledged_after, started = monotonic_now()] {
            writes_before_acknowledgement_ = store_.writes.size();
            acknowledged_after = milliseconds(elapsed_ms(started, monotonic_now()));
        });
    }

    recording_store& store() { return store_; }
    std::size_t writes_before_acknowledgement() const { return writes_before_acknowledgement_; }
    const std::vector<std::optional<left_worker>>& read() const { return read_; }
    void wait(milliseconds time) { loop_.run_for(time); }

private:
    event_loop loop_;
    ip_address address_ = test::unused_address();
    recording_store store_;
    node_settings settings_;
    event_log log_;
    node_context context_;
    std::vector<std::optional<left_worker>> read_;
    std::size_t writes_before_acknowledgement_ = 0;
    leave_records records_;
    loop_event ticks_;
};

} // namespace

// Guards against a leave that the kill of all nodes right after its acknowledgement undoes.
TEST(LeaveRecords, LeaveIsStoredBeforeItIsAcknowledged) {
    tested_records node;
    std::optional<milliseconds> acknowledged;
    node.write({"i-1", 100}, acknowledged);
    while (!acknowledged) {
        EXPECT_TRUE(node.store().writes.empty() || node.store().writes.size() == 1);
        node.wait(milliseconds(1));
    }
    EXPECT_EQ(node.store().writes.size(), 1U);
    EXPECT_EQ(node.writes_before_acknowledgement(), 1U);
    EXPECT_LT(*acknowledged, milliseconds(300));
}

TEST(LeaveRecords, StoreWithoutResponseDelaysAnAcknowledgementBriefly) {
    tested_records node;
    node.store().silent = true;
    std::optional<milliseconds> acknowledged;
    node.write({"i-1", 100}, acknowledged);
    node.wait(milliseconds(600));
    ASSERT_TRUE(acknowledged);
    EXPECT_GE(*acknowledged, milliseconds(350));
}

TEST(LeaveRecords, WriteThatFailedIsRepeated) {
    tested_records node;
    node.store().refuses = true;
    std::optional<milliseconds> acknowledged;
    node.write({"i-1", 100}, acknowledged);
    node.wait(milliseconds(500));
    EXPECT_TRUE(node.store().writes.empty());
    node.store().refuses = false;
    node.wait(milliseconds(2000));
    EXPECT_EQ(node.store().writes.size(), 1U);
}

TEST(LeaveRecords, LeaveThatIsStoredIsNotWrittenAgain) {
    tested_records node;
    std::optional<milliseconds> first;
    node.write({"i-1", 100}, first);
    node.wait(milliseconds(200));
    std::optional<milliseconds> second;
    node.write({"i-1", 100}, second);
    EXPECT_TRUE(second);
    node.wait(milliseconds(200));
    EXPECT_EQ(node.store().writes.size(), 1U);
}

TEST(LeaveRecords, NewProcessReadsTheLeaveOfAnEarlierOneUntilTheStoreResponds) {
    tested_records node;
    node.store().refuses = true;
    node.wait(milliseconds(200));
    EXPECT_TRUE(node.read().empty());
    node.store().item = R"({"key":"left/e/node","rev":5,"created":5,"lease":7,"value":"VALUE"})";
    const std::string value = platform::encode_base64(encode_left_worker({"i-1", 100}));
    node.store().item.replace(node.store().item.find("VALUE"), 5, value);
    node.store().refuses = false;
    node.wait(milliseconds(800));
    ASSERT_EQ(node.read().size(), 1U);
    EXPECT_EQ(node.read().front(), (left_worker{"i-1", 100}));
}

TEST(LeaveRecords, EntryOfAnotherWriterIsNoLeave) {
    tested_records node;
    node.store().item = R"({"key":"left/e/node","rev":5,"created":5,"lease":0,"value":"bm9uZQ=="})";
    node.wait(milliseconds(300));
    ASSERT_EQ(node.read().size(), 1U);
    EXPECT_FALSE(node.read().front());
}
