#include "waxwingfall/link/message_link.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unittests/loopback.h"

using namespace waxwingfall;

// Guards against a node that ends because a peer or the store names a text that is no address.
TEST(MessageLink, FrameForATextThatIsNoAddressIsCountedAndNotSent) {
    event_loop loop;
    message_link link(loop, to_string(test::unused_address()), {}, [](const wire::frame&) {});
    wire::frame frame;
    frame.mutable_ping()->set_sequence(1);
    std::uint64_t unaddressed = 0;
    for (const std::string& text :
         {std::string("{\"addr\":7}"), std::string("127.0.0.1"), std::string("127.0.0.1:99999"),
          std::string("127.0.0.1:0"), std::string("127.0.0.1:-1"), std::string("host.example:80"),
          std::string("*:*"), std::string("127.0.0.1:80\0", 13), std::string(200'000, '[')}) {
        EXPECT_NO_THROW(link.send(text, frame)) << text.substr(0, 40);
        EXPECT_EQ(link.counts().frames_unaddressed, ++unaddressed) << text.substr(0, 40);
    }
    EXPECT_EQ(link.open_peers(), 0U);
}

RC_GTEST_PROP(MessageLink, ArbitraryAddressesNeverThrow, (const std::string& text)) {
    static event_loop loop;
    static message_link link(loop, to_string(test::unused_address()), {}, [](const wire::frame&) {});
    wire::frame frame;
    frame.mutable_ping()->set_sequence(1);
    link.send(text, frame);
}
