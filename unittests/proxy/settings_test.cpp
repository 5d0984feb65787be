#include <string>
#include <vector>

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

#include "waxwingfall/proxy/settings.h"

using namespace waxwingfall;

namespace {

const std::string valid_settings =
    "node: {name: n, data_centre: d, region: r, environment: e}\n"
    "listen: {calls: 127.0.0.1:1, inbound: 127.0.0.1:2, control: 127.0.0.1:3, admin: 127.0.0.1:4}\n"
    "worker: {service: s, address: 127.0.0.1:5, slots: 12}\n"
    "platform: 127.0.0.1:6\n";

std::vector<std::string> faults_of(const std::string& text) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<std::string>> {
            BOOST_LEAF_CHECK(parse_settings(text, "n.yaml"));
            return std::vector<std::string>{};
        },
        [](const fault_list& list) {
            std::vector<std::string> texts;
            for (const fault& found : list.faults) {
                texts.push_back(to_string(found));
            }
            return texts;
        },
        [] { return std::vector<std::string>{"?"}; });
}

} // namespace

TEST(Settings, AcceptsMinimalFile) {
    EXPECT_EQ(faults_of(valid_settings), std::vector<std::string>{});
}

TEST(Settings, FaultNamesFileLineAndKey) {
    EXPECT_EQ(
        faults_of(valid_settings + "limits: {max_body_bytes: 1}\n"),
        std::vector<std::string>{"n.yaml:5:26: out-of-range: 'max_body_bytes' must be from 1024 to 8388608"});
    EXPECT_EQ(faults_of(valid_settings + "peer: []\n").size(), 1U);
    EXPECT_EQ(faults_of(valid_settings + "peers: [localhost:1]\n").size(), 1U);
    EXPECT_EQ(faults_of(valid_settings + "policy: {prefer: speed}\n").size(), 1U);
    EXPECT_EQ(faults_of(valid_settings + "policy: {pace: fast}\n").size(), 1U);
    EXPECT_TRUE(faults_of(valid_settings + "policy: {pace: adaptive}\n").empty());
    EXPECT_EQ(faults_of("node: {}\n").size(), 7U);
}

// The platform may state a capacity as a decimal number, or not at all.
TEST(Settings, ReadsTheCapacityOfTheMachine) {
    const auto parsed = [](const std::string& limits) {
        return parse_settings(valid_settings + limits, "n.yaml").value();
    };
    EXPECT_EQ(parsed("limits: {memory_mb: \"160\", max_fds: \"4100\"}\n").memory_mb, 160U);
    EXPECT_EQ(parsed("limits: {memory_mb: \"160.0\", max_fds: \"4100\"}\n").max_fds, 4100U);
    EXPECT_EQ(parsed("limits: {memory_mb: \"\", max_fds: \"\"}\n").memory_mb, node_settings().memory_mb);
    EXPECT_EQ(parsed("limits: {link_mbps: \"10.5\"}\n").link_mbps, 10.5);
    EXPECT_EQ(parsed("limits: {link_mbps: \"\"}\n").link_mbps, 0);
    EXPECT_EQ(faults_of(valid_settings + "limits: {link_mbps: fast}\n").size(), 1U);
    EXPECT_EQ(
        faults_of(valid_settings + "limits: {max_fds: many}\n"),
        std::vector<std::string>{"n.yaml:5:19: out-of-range: 'max_fds' must be a number up to 10000000"});
}
