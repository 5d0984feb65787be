#include "platform/store_wire.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/json_fields.h"

using namespace waxwingfall;
using namespace waxwingfall::platform;

TEST(StoreWire, DecodesValuesPagesChangesAndLeases) {
    EXPECT_EQ(
        decode_value(
            R"({"key":"my/leader","value":"bm9kZS0x","rev":412,"created":412,"lease":77120,"as_of":530})"),
        (stored_value{"my/leader", "node-1", 412}));
    const auto page = decode_page(R"({"items":[{"key":"a","value":"","rev":3}],"has_more":true,"as_of":9})");
    ASSERT_TRUE(page);
    EXPECT_EQ(page->values, (std::vector<stored_value>{{"a", "", 3}}));
    EXPECT_TRUE(page->has_more);
    EXPECT_EQ(page->store_revision, 9U);
    const auto changes = decode_changes(
        R"({"events":[{"key":"a","value":"bm8=","rev":4},{"key":"b","rev":5,"deleted":true}],"as_of":5})");
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->values, (std::vector<stored_value>{{"a", "no", 4}, {"b", "", 0}}));
    EXPECT_EQ(decode_written_revision(R"({"rev":412})"), 412U);
    EXPECT_EQ(decode_lease(R"({"lease":77120,"ttl_time":"3000ms"})"), "77120");
}

TEST(StoreWire, RejectsMalformedBodies) {
    EXPECT_FALSE(decode_value(R"({"key":"a","value":"bm9","rev":1})"));
    EXPECT_FALSE(decode_value(R"({"key":"a","value":"bm8=","rev":"1"})"));
    EXPECT_FALSE(decode_value(R"({"value":"bm8=","rev":1})"));
    EXPECT_FALSE(decode_page(R"({"items":[{"key":"a"}],"as_of":9})"));
    EXPECT_FALSE(decode_page(R"({"items":[]})"));
    EXPECT_FALSE(decode_page(R"({"items":{},"as_of":9})"));
    EXPECT_FALSE(decode_changes(R"({"events":[7],"as_of":9})"));
    EXPECT_FALSE(decode_written_revision("{}"));
    EXPECT_FALSE(decode_lease("no answer"));
}

TEST(StoreWire, EncodesWritesWatchesAndLeases) {
    const http_request write = encode_write({"a/b", "no", "77120", 4});
    EXPECT_EQ(write.path, "/kv-txn");
    const auto body = parse_object(write.body);
    ASSERT_TRUE(body);
    EXPECT_EQ(
        body->dump(),
        R"({"expect_rev":[{"key":"a/b","rev":4}],"puts":[{"key":"a/b","lease":77120,"value":"bm8="}],"remove":[]})");
    EXPECT_EQ(parse_object(encode_write({"a", "", "", std::nullopt}).body)->at("expect_rev").size(), 0U);
    EXPECT_EQ(encode_watch("op/config", 411, milliseconds(20000)).path,
              "/kv-watch?prefix=op%2Fconfig&after=411&wait_ms=20000");
    EXPECT_EQ(encode_lease(milliseconds(3000)).body, R"({"ttl_time":"3000ms"})");
    EXPECT_EQ(encode_renewal("7").path, "/kv-keep/7");
    EXPECT_EQ(encode_lease_end("7").method, EVHTTP_REQ_DELETE);
}

TEST(JsonFields, ParsesDurations) {
    EXPECT_EQ(parse_duration("1500ms"), milliseconds(1500));
    EXPECT_EQ(parse_duration("2.5s"), milliseconds(2500));
    EXPECT_EQ(parse_duration("0ms"), milliseconds(0));
    for (const char* text : {"", "ms", "5", "5m", "-1s", "1e99s", "nan s", "5 s"}) {
        EXPECT_FALSE(parse_duration(text)) << text;
    }
}

RC_GTEST_PROP(JsonFields, Base64RoundTrips, (const std::string& bytes)) {
    RC_ASSERT(decode_base64(encode_base64(bytes)) == bytes);
}
