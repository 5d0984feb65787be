#include "platform/call_wire.h"

#include <gtest/gtest.h>

using namespace waxwingfall;

TEST(CallWire, DecodesRateLimits) {
    EXPECT_EQ(platform::decode_rate_limit("31.2"), 31.2);
    EXPECT_EQ(platform::decode_rate_limit("10"), 10.0);
    EXPECT_EQ(platform::decode_rate_limit("0"), 0.0);
    for (const char* text : {"", "-1", "ten", "10/s", "inf", "nan", "1e999"}) {
        EXPECT_EQ(platform::decode_rate_limit(text), std::nullopt) << text;
    }
}
