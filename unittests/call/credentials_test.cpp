#include "waxwingfall/call/credentials.h"

#include <malloc.h>

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/support/digest.h"

using namespace waxwingfall;

namespace {

contract two_customers() {
    contract content;
    content.customers =
        std::vector<customer_contract>{{"a", {digest_of("key-a"), digest_of("key-a2")}, 3, 0, 0},
                                       {"b", {digest_of("key-b")}, std::nullopt, 0, 0}};
    return content;
}

route_contract route(bool is_public) {
    route_contract result;
    result.is_public = is_public;
    return result;
}

presented_credential key(std::string_view text) {
    return {credential_form::key, digest_of_key(text)};
}

const presented_credential no_credential;
const presented_credential invalid_credential{credential_form::invalid, {}};

} // namespace

// Guards against requests that run without a known key, and against a lookup that names another customer.
TEST(Credentials, NamesTheCustomerOfTheKey) {
    const credential_index index = make_credential_index(two_customers());
    for (const auto& [text, name] : {std::pair("key-a", "a"), {"key-a2", "a"}, {"key-b", "b"}}) {
        for (const bool is_public : {false, true}) {
            const authorization decided = authorize(index, route(is_public), key(text), false);
            EXPECT_FALSE(decided.refusal);
            ASSERT_NE(decided.customer, nullptr);
            EXPECT_EQ(decided.customer->name, name);
        }
    }
    EXPECT_EQ(authorize(index, route(false), key("key-a"), false).customer->priority, 3U);
    for (const auto& presented : {key("key-c"), no_credential, invalid_credential}) {
        EXPECT_EQ(authorize(index, route(false), presented, false).refusal, error_kind::unknown_credential);
        EXPECT_EQ(authorize(index, route(true), presented, false), authorization());
    }
    EXPECT_EQ(authorize(index, route(false), no_credential, true), (authorization{{}, nullptr, true}));
}

// Guards against withdrawn keys that run, and limits that are evaded, under an id that looks nested.
RC_GTEST_PROP(Credentials, TheIdOfARequestAdmitsNothingThatPresentsACredential, ()) {
    contract content = two_customers();
    if (*rc::gen::arbitrary<bool>()) {
        content.customers->clear();
    }
    const credential_index index = make_credential_index(content);
    const auto presented =
        *rc::gen::element(key("key-a"), key("key-b"), key("withdrawn"), invalid_credential);
    const route_contract requested = route(*rc::gen::arbitrary<bool>());
    const authorization extending = authorize(index, requested, presented, true);
    RC_ASSERT(extending == authorize(index, requested, presented, false));
    RC_ASSERT(!extending.is_nested);
}

// Guards against refusals in deployments that have no customers.
TEST(Credentials, AreNotRequiredWithoutCustomers) {
    const credential_index index = make_credential_index(contract());
    EXPECT_FALSE(requires_keys(index));
    EXPECT_EQ(authorize(index, route(false), no_credential, false), authorization());
    EXPECT_EQ(authorize(index, route(false), key("key-a"), false), authorization());
    EXPECT_TRUE(authorize(index, route(false), no_credential, true).is_nested);
}

// Guards against a system that is open to everybody once its last customer has been removed.
TEST(Credentials, AreRequiredWithAnEmptyTableOfCustomers) {
    contract content;
    content.customers.emplace();
    const credential_index index = make_credential_index(content);
    EXPECT_TRUE(requires_keys(index));
    for (const auto& presented : {key("key-a"), no_credential, invalid_credential}) {
        EXPECT_EQ(authorize(index, route(false), presented, false).refusal, error_kind::unknown_credential);
        EXPECT_EQ(authorize(index, route(true), presented, false), authorization());
    }
    EXPECT_EQ(authorize(index, route(false), no_credential, true), (authorization{{}, nullptr, true}));
}

// Guards against a customer without keys being taken for a contract without customers, which would admit all.
TEST(Credentials, AreRequiredIfNoCustomerHasAKey) {
    contract content;
    content.customers = std::vector<customer_contract>{{"a", {}, std::nullopt, 0, 0}};
    const credential_index index = make_credential_index(content);
    EXPECT_EQ(authorize(index, route(false), key(""), false).refusal, error_kind::unknown_credential);
}

// Guards against headers that this node and another reader would understand in different ways.
TEST(Credentials, ReadBearerKeysOnly) {
    EXPECT_EQ(bearer_key("Bearer k1"), "k1");
    EXPECT_EQ(bearer_key("bEARER   k1 "), "k1");
    for (const char* other :
         {"", "Bearer", "Bearer ", "Basic k1", "Bearerk1", "Bearer k1 k2", "k1", " Bearer k1"}) {
        EXPECT_EQ(bearer_key(other), "") << other;
    }
}

// Guards against a credential of another form being taken for none.
TEST(Credentials, OfOtherFormsAreInvalid) {
    EXPECT_EQ(read_credential({}), no_credential);
    EXPECT_EQ(read_credential({"Bearer k1"}), key("k1"));
    for (const std::vector<std::string_view>& values : {std::vector<std::string_view>{""},
                                                        {"Basic k1"},
                                                        {"Bearer"},
                                                        {"Bearer k1", "Bearer k1"},
                                                        {"", ""}}) {
        EXPECT_EQ(read_credential(values), invalid_credential) << values.front();
    }
}

RC_GTEST_PROP(Credentials, DigestsSurviveTheirTextForm, (const std::string& key)) {
    const key_digest digest = digest_of_key(key);
    RC_ASSERT(parse_key_digest(format_key_digest(digest)) == digest);
    RC_ASSERT(!parse_key_digest(format_key_digest(digest).substr(2)));
    RC_ASSERT(!parse_key_digest("zz" + format_key_digest(digest).substr(2)));
}

// Guards against an index that a node on a machine of 160 MB can't hold, beside the contract that it enforces
// and the one that it is about to enforce. The bound is a sixteenth of the machine.
TEST(Credentials, IndexOfManyKeysFitsSmallMachines) {
    constexpr std::size_t customers = 10'000;
    constexpr std::size_t keys_per_customer = 10;
    constexpr std::size_t limit_bytes = 10'000'000;
    contract content;
    auto& table = content.customers.emplace();
    for (std::size_t number = 0; number < customers; ++number) {
        customer_contract customer{"customer-" + std::to_string(number), {}, std::nullopt, 0, 0};
        for (std::size_t key = 0; key < keys_per_customer; ++key) {
            customer.key_digests.push_back(digest_of(customer.name + "/" + std::to_string(key)));
        }
        table.push_back(std::move(customer));
    }
    const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    const credential_index index = make_credential_index(content);
    const std::size_t used = mallinfo2().uordblks + mallinfo2().hblkhd - before;
    RecordProperty("index_bytes", std::to_string(used));
    std::printf("index of %zu customers and %zu keys: %zu bytes\n", customers, customers * keys_per_customer,
                used);
    EXPECT_EQ(index.customers_by_key.size(), customers * keys_per_customer);
    EXPECT_LT(used, limit_bytes);
    std::size_t largest_bucket = 0;
    for (std::size_t bucket = 0; bucket < index.customers_by_key.bucket_count(); ++bucket) {
        largest_bucket = std::max(largest_bucket, index.customers_by_key.bucket_size(bucket));
    }
    // With uniform hashes and at most one entry per bucket on average, 12 in one has a probability below
    // 1e-3.
    EXPECT_LE(largest_bucket, 12U);
}
