#include "waxwingfall/call/link_share.h"

#include <gtest/gtest.h>

using namespace waxwingfall;

namespace {

constexpr time_point start{};
constexpr std::size_t catalogue_bytes = 90'000;

} // namespace

// Twenty downloads a second on a link of 8.4 megabits, which can carry 11.7 of them and nothing else.
TEST(LinkShare, DownloadsBeyondShareAreRefused) {
    link_share share = share_of_link(8.4);
    constexpr int seconds = 60;
    std::size_t sent = 0;
    for (int ms = 0; ms < seconds * 1000; ms += 50) {
        if (admit_large_response(share, start + milliseconds(ms))) {
            settle_large_response(share, catalogue_bytes);
            sent += catalogue_bytes;
        }
    }
    constexpr double link_bytes = 8.4 * 125'000 * seconds;
    EXPECT_LT(static_cast<double>(sent), 0.65 * link_bytes);
    EXPECT_GT(static_cast<double>(sent), 0.55 * link_bytes);
}

TEST(LinkShare, ReservationIsReturnedIfRequestDidNotRun) {
    link_share share = share_of_link(8.4);
    for (int index = 0; index < 1000; ++index) {
        EXPECT_TRUE(admit_large_response(share, start));
        settle_large_response(share, 0);
    }
}

TEST(LinkShare, LinkOfUnknownSizeIsNotLimited) {
    link_share share = share_of_link(0);
    for (int index = 0; index < 1000; ++index) {
        EXPECT_TRUE(admit_large_response(share, start));
    }
}
