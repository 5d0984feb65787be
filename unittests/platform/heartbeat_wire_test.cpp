#include "platform/heartbeat_wire.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwingfall;
using namespace waxwingfall::platform;

namespace {

const std::string valid_body =
    R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"riga-a","version":"v1","slots":12,)"
    R"("state":"ready","cold_left":"1.5s","sequence":4,"born":1771928695000})";

std::string replaced(const std::string& from, const std::string& to) {
    std::string body = valid_body;
    return body.replace(body.find(from), from.size(), to);
}

std::optional<worker_report> decoded(const std::string& body) {
    return decode_heartbeat({"i-1", false}, body);
}

} // namespace

TEST(HeartbeatWire, DecodesAllFieldsOfAHeartbeat) {
    const worker_report expected{"i-1", "huvo11a",           "10.128.0.9:8080",  "riga-a",
                                 12,    worker_state::ready, milliseconds(1500), 1771928695000,
                                 4};
    EXPECT_EQ(decoded(valid_body), expected);
    EXPECT_EQ(decoded(replaced("ready", "draining"))->state, worker_state::draining);
    EXPECT_EQ(decoded(replaced(R"("slots")", R"("unknown":[1],"slots")")), expected);
}

TEST(HeartbeatWire, RejectsMissingMistypedOrUnknownValues) {
    for (const char* field : {"service", "addr", "zone", "slots", "state", "cold_left", "sequence"}) {
        EXPECT_FALSE(decoded(replaced("\"" + std::string(field) + "\"", R"("other")"))) << field;
    }
    EXPECT_FALSE(decoded(replaced(R"("slots":12)", R"("slots":"12")")));
    EXPECT_FALSE(decoded(replaced(R"("slots":12)", R"("slots":-1)")));
    EXPECT_FALSE(decoded(replaced(R"("slots":12)", R"("slots":null)")));
    EXPECT_FALSE(decoded(replaced("ready", "resting")));
    EXPECT_FALSE(decoded(replaced("1.5s", "1.5")));
    EXPECT_FALSE(decoded(replaced(R"("sequence":4)", R"("sequence":4.5)")));
    EXPECT_FALSE(decoded(replaced("1771928695000", "1771928695000.5")));
    EXPECT_FALSE(decoded(replaced("1771928695000", R"("1771928695000")")));
    EXPECT_FALSE(decoded("[]"));
    EXPECT_FALSE(decoded(""));
}

// Guards against a report of another writer that ends a node or makes its worker's own reports outdated.
TEST(HeartbeatWire, RejectsValuesOutOfRange) {
    for (const char* address :
         {"10.128.0.9:99999", "10.128.0.9:0", "10.128.0.9:-1", "10.128.0.9",
          "10.128.0.9:808000000000000000000000000000000000000000000000000000000000000"}) {
        EXPECT_FALSE(decoded(replaced("10.128.0.9:8080", address))) << address;
    }
    EXPECT_FALSE(decoded(replaced("1771928695000", "18446744073709551615")));
    EXPECT_FALSE(decoded(replaced("1771928695000", "1e400")));
    EXPECT_FALSE(decoded(replaced(R"("sequence":4)", R"("sequence":18446744073709551615)")));
    EXPECT_FALSE(decoded(replaced(R"("slots":12)", R"("slots":1000001)")));
    EXPECT_FALSE(decoded(replaced("huvo11a", std::string(300, 'h'))));
    EXPECT_FALSE(decode_heartbeat({"i-1", true}, R"({"born":18446744073709551615})"));
    EXPECT_FALSE(decode_heartbeat_path("/instances/" + std::string(300, 'i') + "/heartbeat"));
}

TEST(HeartbeatWire, RejectsDeepNesting) {
    constexpr std::size_t depth = 1'000'000;
    EXPECT_FALSE(decoded(std::string(depth, '[')));
    EXPECT_FALSE(decoded(replaced("12", std::string(depth, '[') + std::string(depth, ']'))));
}

TEST(HeartbeatWire, DeregistrationNeedsNoBody) {
    EXPECT_EQ(decode_heartbeat({"i-1", true}, "")->state, worker_state::left);
    EXPECT_EQ(decode_heartbeat({"i-1", true}, R"({"born":7})")->incarnation, 7U);
    EXPECT_FALSE(decode_heartbeat({"i-1", true}, "\xff\xfe"));
    EXPECT_FALSE(decode_heartbeat({"i-1", true}, R"({"born":"soon"})"));
}

TEST(HeartbeatWire, DecodesRequestPaths) {
    EXPECT_EQ(decode_heartbeat_path("/instances/i-1/heartbeat"), (heartbeat_call{"i-1", false}));
    EXPECT_EQ(decode_heartbeat_path("/instances/i-1/deregister"), (heartbeat_call{"i-1", true}));
    for (const char* path : {"/", "/instances/", "/instances//heartbeat", "/instances/a/b/heartbeat",
                             "/instances/i-1", "/instances/i-1/other"}) {
        EXPECT_FALSE(decode_heartbeat_path(path)) << path;
    }
}

RC_GTEST_PROP(HeartbeatWire, ArbitraryBytesAreRejected, (const std::string& bytes)) {
    RC_ASSERT(!decoded(bytes));
}
