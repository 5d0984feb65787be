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
    bool loses_responses = false; ///< of writes, which take effect
    int conflicts = 0;            ///< writes that are refused because the revision differs
    std::string item;             ///< the response to reads; empty for an absent key
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
            const bool conflicts_now = conflicts > 0;
            conflicts -= conflicts_now ? 1 : 0;
            if (!loses_responses) {
                send_response(request, conflicts_now ? 412 : 200, conflicts_now ? "{}" : R"({"rev":5})");
            }
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

struct report_response {
    bool is_acknowledged = false;
    milliseconds after{0};
};

/// A worker gives a report up after this time.
constexpr milliseconds worker_patience{1000};

std::string item_of(const left_worker& left) {
    return R"({"key":"left/e/node","rev":5,"created":5,"lease":7,"value":")" +
           platform::encode_base64(encode_left_worker(left)) + "\"}";
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

    /// Writes a leave. `response` receives how and when its report is answered.
    void write(const left_worker& left, std::optional<report_response>& response) {
        records_.write(left, [this, &response, started = monotonic_now()](bool is_stored) {
            writes_before_acknowledgement_ = store_.writes.size();
            response = {is_stored, milliseconds(elapsed_ms(started, monotonic_now()))};
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
    std::optional<report_response> response;
    node.write({"i-1", 100}, response);
    while (!response) {
        EXPECT_TRUE(node.store().writes.empty() || node.store().writes.size() == 1);
        node.wait(milliseconds(1));
    }
    EXPECT_TRUE(response->is_acknowledged);
    EXPECT_EQ(node.store().writes.size(), 1U);
    EXPECT_EQ(node.writes_before_acknowledgement(), 1U);
    EXPECT_LT(response->after, milliseconds(300));
}

// Guards against a leave that is acknowledged while no later process can learn of it.
TEST(LeaveRecords, LeaveIsNotAcknowledgedWhileTheStoreIsSilent) {
    tested_records node;
    node.store().silent = true;
    std::optional<report_response> first;
    node.write({"i-1", 100}, first);
    node.wait(worker_patience);
    ASSERT_TRUE(first);
    EXPECT_FALSE(first->is_acknowledged);
    EXPECT_LT(first->after, worker_patience);
    node.store().silent = false;
    std::optional<report_response> repeated;
    constexpr int most_reports = 6;
    for (int sent = 0; sent < most_reports && !(repeated && repeated->is_acknowledged); ++sent) {
        node.write({"i-1", 100}, repeated);
        node.wait(worker_patience);
        ASSERT_TRUE(repeated);
    }
    EXPECT_TRUE(repeated->is_acknowledged);
    EXPECT_EQ(node.writes_before_acknowledgement(), 1U);
    EXPECT_EQ(node.store().writes.size(), 1U);
}

// Guards against an acknowledgement of the repeated report while the first one still waits for the store.
TEST(LeaveRecords, RepeatedLeaveIsNotAcknowledgedBeforeItIsStored) {
    tested_records node;
    node.store().refuses = true;
    std::optional<report_response> first;
    node.write({"i-1", 100}, first);
    node.wait(worker_patience);
    std::optional<report_response> repeated;
    node.write({"i-1", 100}, repeated);
    node.wait(worker_patience);
    ASSERT_TRUE(first && repeated);
    EXPECT_FALSE(first->is_acknowledged);
    EXPECT_FALSE(repeated->is_acknowledged);
}

TEST(LeaveRecords, WriteThatFailedIsRepeated) {
    tested_records node;
    node.store().refuses = true;
    std::optional<report_response> response;
    node.write({"i-1", 100}, response);
    node.wait(milliseconds(500));
    EXPECT_TRUE(node.store().writes.empty());
    node.store().refuses = false;
    node.wait(milliseconds(2000));
    EXPECT_EQ(node.store().writes.size(), 1U);
}

TEST(LeaveRecords, LeaveThatIsStoredIsNotWrittenAgain) {
    tested_records node;
    std::optional<report_response> first;
    node.write({"i-1", 100}, first);
    node.wait(milliseconds(200));
    std::optional<report_response> second;
    node.write({"i-1", 100}, second);
    EXPECT_TRUE(second && second->is_acknowledged);
    node.wait(milliseconds(200));
    EXPECT_EQ(node.store().writes.size(), 1U);
}

TEST(LeaveRecords, WriteWhoseResponseWasLostCountsOnceItIsRead) {
    tested_records node;
    node.store().loses_responses = true;
    std::optional<report_response> response;
    node.write({"i-1", 100}, response);
    node.wait(milliseconds(200));
    ASSERT_EQ(node.store().writes.size(), 1U);
    node.store().loses_responses = false;
    node.store().conflicts = 1;
    node.store().item = item_of({"i-1", 100});
    node.wait(milliseconds(4000));
    EXPECT_EQ(node.store().writes.size(), 2U);
    node.write({"i-1", 100}, response);
    EXPECT_TRUE(response && response->is_acknowledged);
}

// Guards against a write that the store executes late and that replaces the leave of a later worker.
TEST(LeaveRecords, WriteExpectsTheRevisionThatWasReadLast) {
    tested_records node;
    node.store().conflicts = 1;
    node.store().item = item_of({"i-0", 50});
    std::optional<report_response> response;
    node.write({"i-1", 100}, response);
    node.wait(milliseconds(500));
    ASSERT_EQ(node.store().writes.size(), 2U);
    EXPECT_NE(node.store().writes.back().find(R"("rev":5)"), std::string::npos);
    EXPECT_TRUE(response && response->is_acknowledged);
}

TEST(LeaveRecords, NewProcessReadsTheLeaveOfAnEarlierOneUntilTheStoreResponds) {
    tested_records node;
    node.store().refuses = true;
    node.wait(milliseconds(200));
    EXPECT_TRUE(node.read().empty());
    node.store().item = item_of({"i-1", 100});
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
