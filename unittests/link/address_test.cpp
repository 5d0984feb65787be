#include <gtest/gtest.h>

#include "waxwingfall/link/address.h"

using namespace waxwingfall;

TEST(Address, ParsesNumericAddressAndPortOnly) {
    EXPECT_EQ(parse_address("127.0.0.1:80"), (ip_address{"127.0.0.1", 80}));
    for (const char* text :
         {"", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", "::1:80"}) {
        EXPECT_EQ(parse_address(text), std::nullopt) << text;
    }
}

TEST(Address, UsesFirstMatchingTranslation) {
    const std::vector<address_translation> translations{{"10.1.", "10.9."}, {"10.", "11."}};
    EXPECT_EQ(translate(translations, "10.1.2.3:4"), "10.9.2.3:4");
    EXPECT_EQ(translate(translations, "10.2.2.3:4"), "11.2.2.3:4");
    EXPECT_EQ(translate(translations, "192.0.2.1:4"), "192.0.2.1:4");
}
