#include "waxwingfall/link/message_link.h"

#include <string>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace waxwingfall;

namespace {

std::string unused_address() {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
    close(probe);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

} // namespace

// Guards against a node that ends because a peer or the store names a text that is no address.
TEST(MessageLink, FrameForATextThatIsNoAddressIsCountedAndNotSent) {
    event_loop loop;
    message_link link(loop, unused_address(), {}, [](const wire::frame&) {});
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
    static message_link link(loop, unused_address(), {}, [](const wire::frame&) {});
    wire::frame frame;
    frame.mutable_ping()->set_sequence(1);
    link.send(text, frame);
}
