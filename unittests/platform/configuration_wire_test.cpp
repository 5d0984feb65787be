#include "platform/configuration_wire.h"

#include <string>

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/contract/snapshot.h"
#include "waxwingfall/support/digest.h"

using namespace waxwingfall;
using namespace waxwingfall::platform;

namespace {

const std::string valid_text =
    R"({"version":"r7","routes":{"columns":["name","host","prefix","kind","timeout","goal","priority","service",)"
    R"("attempts","split"],"rows":[["r-1","b.example","/p/","non_idempotent","1500ms","0.8s",1,"one",2,null],)"
    R"(["r-2","a.example","/l/","idempotent",null,"600ms",2,null,2,)"
    R"([{"service":"two","weight":10},{"service":"one","weight":90}]]]},)"
    R"("services":{"columns":["name","health","max_conns","protocol","tls"],)"
    R"("rows":[["two","/ok",110,"h1",false],["one","/health",110,"h1",false]]},)"
    R"("limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}})";

std::optional<accepted_configuration> decoded(const std::string& text) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<accepted_configuration>> {
            BOOST_LEAF_AUTO(value, decode_configuration(text));
            return std::optional(value);
        },
        [](const fault_list& list) {
            EXPECT_FALSE(list.faults.empty());
            return std::optional<accepted_configuration>();
        },
        [] {
            ADD_FAILURE() << "the error carries no faults";
            return std::optional<accepted_configuration>();
        });
}

std::string replaced(const std::string& from, const std::string& to) {
    std::string text = valid_text;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(ConfigurationWire, DecodesRoutesServicesAndLimits) {
    const auto read = decoded(valid_text);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->version, 7U);
    ASSERT_EQ(read->content.routes.size(), 2U);
    const route_contract& split = read->content.routes.at(0);
    EXPECT_EQ(split.host, "a.example");
    EXPECT_EQ(split.kind, request_kind::idempotent);
    EXPECT_EQ(split.timeout_ms, 0U);
    EXPECT_EQ(split.split, (std::vector<weighted_service>{{"one", 90}, {"two", 10}}));
    EXPECT_TRUE(split.service.empty());
    const route_contract& non_idempotent = read->content.routes.at(1);
    EXPECT_EQ(non_idempotent.kind, request_kind::non_idempotent);
    EXPECT_EQ(non_idempotent.timeout_ms, 1500U);
    EXPECT_EQ(non_idempotent.objective_ms, 800U);
    EXPECT_EQ(non_idempotent.priority, 1U);
    EXPECT_EQ(non_idempotent.max_attempts, 2U);
    EXPECT_EQ(non_idempotent.service, "one");
    EXPECT_EQ(read->content.services.at(1).health_path, "/ok");
    EXPECT_EQ(read->content.services.at(1).max_connections, 110U);
    EXPECT_EQ(read->content.limits, (client_limits{16384, 67108864, 3000, 15000}));
}

TEST(ConfigurationWire, DecodedConfigurationIsEnforceableAndSurvivesEncoding) {
    const contract content = decoded(valid_text)->content;
    EXPECT_EQ(rejection_reason(encode_contract(content)), "");
    EXPECT_EQ(decode_contract(encode_contract(content)), content);
}

namespace {

/// The valid configuration with customers, one for each of `rows`, and a public route.
std::string with_customers(const std::string& rows) {
    const std::string table =
        R"("tenants":{"columns":["name","keys","priority","rate_per_s","burst"],"rows":[)" + rows +
        R"(]},"limits")";
    std::string text = replaced("\"limits\"", table);
    const std::string columns = R"("attempts","split"])";
    text.replace(text.find(columns), columns.size(), R"("attempts","public"])");
    const std::string split = R"([{"service":"two","weight":10},{"service":"one","weight":90}])";
    text.replace(text.find(split), split.size(), "true");
    text.replace(text.find("600ms\",2,null"), 13, "600ms\",2,\"one\"");
    return text;
}

} // namespace

TEST(ConfigurationWire, DecodesCustomersWithDigestsOfTheirKeys) {
    const auto read = decoded(with_customers(R"(["b",["k1","k2"],0,454,7.5],["a",["k3"],null,null,null])"));
    ASSERT_TRUE(read);
    ASSERT_EQ(customers_of(read->content).size(), 2U);
    const customer_contract& unlimited = customers_of(read->content)[0];
    EXPECT_EQ(unlimited, (customer_contract{"a", {digest_of("k3")}, std::nullopt, 0, 0}));
    const customer_contract& limited = customers_of(read->content)[1];
    EXPECT_EQ(limited.key_digests.size(), 2U);
    EXPECT_EQ(limited.priority, 0U);
    EXPECT_EQ(limited.rate_per_s, 454);
    EXPECT_EQ(limited.burst, 7.5);
    EXPECT_TRUE(read->content.routes[0].is_public);
    EXPECT_FALSE(read->content.routes[1].is_public);
    EXPECT_EQ(decode_contract(encode_contract(read->content)), read->content);
    EXPECT_EQ(encode_contract(read->content).find("k1"), std::string::npos) << "contains a key";
}

// Guards against a configuration whose last customer was removed being taken for one without customers.
TEST(ConfigurationWire, EmptyTableOfCustomersIsNotTheAbsenceOfOne) {
    const auto empty = decoded(with_customers(""));
    const auto absent = decoded(valid_text);
    const auto null = decoded(replaced("\"limits\"", "\"tenants\":null,\"limits\""));
    ASSERT_TRUE(empty && absent && null);
    EXPECT_EQ(empty->content.customers, std::vector<customer_contract>());
    EXPECT_FALSE(absent->content.customers);
    EXPECT_FALSE(null->content.customers);
    EXPECT_EQ(decode_contract(encode_contract(empty->content)), empty->content);
}

TEST(ConfigurationWire, RejectsInvalidCustomers) {
    for (const char* rows :
         {R"(["a",["k1"],0,1,1],["b",["k1"],0,1,1])", R"(["a",["k1"],0,1,1],["a",["k2"],0,1,1])",
          R"(["a",["k1"],0,-1,1])", R"(["a",["k1"],0,1,"2"])", R"(["a","k1",0,1,1])", R"(["a",[7],0,1,1])",
          R"(["",["k1"],0,1,1])", R"([null,["k1"],0,1,1])"}) {
        EXPECT_FALSE(decoded(with_customers(rows))) << rows;
    }
}

TEST(ConfigurationWire, UnknownRequestKindIsNonIdempotent) {
    const auto read = decoded(replaced(R"("idempotent")", R"("streamed")"));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->content.routes.at(0).kind, request_kind::non_idempotent);
}

TEST(ConfigurationWire, RejectsMalformedConfigurations) {
    EXPECT_FALSE(decoded(""));
    EXPECT_FALSE(decoded("[]"));
    EXPECT_FALSE(decoded(replaced("r7", "7")));
    EXPECT_FALSE(decoded(replaced("r7", "r0")));
    EXPECT_FALSE(decoded(replaced("r7", "r7x")));
    EXPECT_FALSE(decoded(replaced("1500ms", "1500")));
    EXPECT_FALSE(decoded(replaced("1500ms", "soon")));
    EXPECT_FALSE(decoded(replaced(R"("/p/")", "7")));
    EXPECT_FALSE(decoded(replaced(R"("weight":90)", R"("weight":-90)")));
    EXPECT_FALSE(decoded(replaced(R"(,2,null],)", R"(,2],)")));
    EXPECT_FALSE(decoded(replaced(R"("rows":[["two")", R"("rows":[["three")")));
    EXPECT_FALSE(decoded(replaced(R"("columns":["name","host")", R"("columns":["name","hosts")")));
}

RC_GTEST_PROP(ConfigurationWire, ArbitraryBytesAreRejected, (const std::string& bytes)) {
    RC_ASSERT(!decoded(bytes));
}

RC_GTEST_PROP(ConfigurationWire, CorruptedConfigurationIsRejectedOrEnforceable, ()) {
    std::string text = valid_text;
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    text[position] = static_cast<char>(*rc::gen::inRange(32, 127));
    const auto read = decoded(text);
    const bool is_rejected = !read;
    RC_ASSERT((is_rejected || rejection_reason(encode_contract(read->content)).empty()));
}

TEST(ConfigurationWire, RejectsDurationsOverTheRange) {
    EXPECT_FALSE(decoded(replaced("1500ms", "4294967296ms")));
    EXPECT_TRUE(decoded(replaced("1500ms", "60s")));
}

// Guards against an entry of another writer that ends a node.
RC_GTEST_PROP(ConfigurationWire, DamagedTextIsRejectedOrRead, ()) {
    std::string text = valid_text;
    const int edits = *rc::gen::inRange(1, 6);
    for (int edit = 0; edit < edits; ++edit) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto count = *rc::gen::inRange<std::size_t>(0, 8);
        text.replace(at, count,
                     *rc::gen::element<std::string>("", "[", "{\"a\":", "-1", "1e400", "18446744073709551616",
                                                    "null", "\xff", std::string(1, '\0'), "[[[[[[", "\""));
    }
    const auto parsed = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(decode_configuration(text));
            return true;
        },
        [] { return false; });
    RC_TAG(parsed ? "read" : "rejected");
}

TEST(ConfigurationWire, RejectsDeepNesting) {
    constexpr std::size_t depth = 1'000'000;
    EXPECT_FALSE(decoded(replaced("null", std::string(depth, '[') + std::string(depth, ']'))));
    EXPECT_FALSE(decoded(std::string(depth, '{')));
}
