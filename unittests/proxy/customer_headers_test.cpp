#include "waxwingfall/proxy/customer_headers.h"

#include <map>
#include <string>

#include <gtest/gtest.h>

#include "unittests/loopback.h"
#include "waxwingfall/support/digest.h"

using namespace waxwingfall;

namespace {

using headers = std::vector<http_header>;

contract keyed_contract(const std::vector<std::pair<std::string, std::string>>& names_and_keys) {
    contract content;
    content.services.push_back({.name = "s", .depends_on = {}});
    content.routes.push_back({.host = "h", .prefix = "/", .service = "s", .non_idempotent_methods = {}});
    content.routes.push_back(
        {.host = "h", .prefix = "/open", .service = "s", .non_idempotent_methods = {}, .is_public = true});
    for (const auto& [name, key] : names_and_keys) {
        if (!content.customers) {
            content.customers.emplace();
        }
        content.customers->push_back({name, {digest_of(key)}, std::nullopt, 0, 0});
    }
    return content;
}

/// A contract with a table of customers that is empty.
contract customerless_contract() {
    contract content = keyed_contract({});
    content.customers.emplace();
    return content;
}

/// A node that enforces contracts without a network.
class tested_node {
public:
    tested_node() : log_("node", "/dev/null"), context_(loop_, settings_, log_, 1) {}

    void enforce(std::uint64_t version, const contract& content) {
        context_.active_contract = std::make_shared<const contract>(content);
        context_.credentials = make_credential_index(content);
        context_.version = version;
    }

    const node_context& context() const { return context_; }
    freshness& evidence() { return context_.evidence; }
    const route_contract& route(std::size_t index) const { return context_.active_contract->routes[index]; }

private:
    static node_settings make_settings() {
        node_settings settings;
        settings.name = "node";
        settings.is_first_start = true;
        return settings;
    }

    event_loop loop_;
    node_settings settings_ = make_settings();
    event_log log_;
    node_context context_;
};

std::optional<error_kind> relay(const tested_node& receiver, const headers& sent,
                                const request_credentials& sender, headers& delivered) {
    headers between = sent;
    add_credentials(between, sender);
    request_credentials read =
        read_credentials([&](const char* name) { return header_value(between, name); });
    received_request request;
    request.host = "h";
    request.path = "/x";
    request.request.headers = sent;
    const auto refusal = reauthorize_request(receiver.context(), request, read);
    delivered = request.request.headers;
    return refusal;
}

} // namespace

// Guards against a key that reaches a worker and against a customer's name that a client made up, also in
// the spellings that some workers take for the same header.
TEST(CustomerHeaders, ReplaceTheKeyByTheCustomer) {
    tested_node node;
    node.enforce(1, keyed_contract({{"a", "ka"}}));
    headers sent{{"authorization", "bearer ka"}, {"x-tenant", "b"}, {"X_Tenant", "b"}, {"Accept", "*/*"}};
    request_credentials credentials;
    EXPECT_FALSE(authorize_request(node.context(), node.route(0), sent, credentials));
    EXPECT_EQ(sent, (headers{{"Accept", "*/*"}, {"X-Tenant", "a"}}));
    add_credentials(sent, credentials);
    for (const http_header& header : sent) {
        EXPECT_EQ(header.value.find("ka"), std::string::npos) << header.name;
    }
}

// Guards against a route or a key that is public being served on behalf of a customer that the client names.
TEST(CustomerHeaders, OfPublicAndNestedRequestsNameNoMadeUpCustomer) {
    tested_node node;
    node.enforce(1, keyed_contract({{"a", "ka"}}));
    headers sent{{"X-Tenant", "a"}, {"Authorization", "Bearer unknown"}};
    request_credentials credentials;
    EXPECT_FALSE(authorize_request(node.context(), node.route(1), sent, credentials));
    EXPECT_EQ(sent, headers());
    sent = {{"X-Tenant", "a"}};
    request_credentials nested;
    nested.extends_running_id = true;
    EXPECT_FALSE(authorize_request(node.context(), node.route(0), sent, nested));
    EXPECT_TRUE(nested.is_nested);
    EXPECT_EQ(sent, headers());
}

// Guards against a withdrawn key that runs under an id that looks nested, at either node.
TEST(CustomerHeaders, OfRequestsWithCredentialsAreNeverThoseOfNestedCalls) {
    const headers withdrawn{{"Authorization", "Bearer withdrawn"}};
    tested_node node;
    node.enforce(2, keyed_contract({{"a", "ka"}}));
    tested_node older;
    older.enforce(1, keyed_contract({}));
    for (const headers& original : {withdrawn,
                                    {{"Authorization", "Basic ka"}},
                                    {{"Authorization", ""}},
                                    {{"Authorization", "Bearer ka"}, {"authorization", "Bearer ka"}}}) {
        headers sent = original;
        request_credentials credentials;
        credentials.extends_running_id = true;
        EXPECT_EQ(authorize_request(node.context(), node.route(0), sent, credentials),
                  error_kind::unknown_credential);
        EXPECT_FALSE(credentials.is_nested);
        sent = original;
        request_credentials undecided;
        undecided.extends_running_id = true;
        ASSERT_FALSE(authorize_request(older.context(), older.route(0), sent, undecided));
        headers delivered;
        EXPECT_EQ(relay(node, sent, undecided, delivered), error_kind::unknown_credential);
    }
    headers sent{{"Authorization", "Bearer ka"}};
    request_credentials credentials;
    credentials.extends_running_id = true;
    ASSERT_FALSE(authorize_request(node.context(), node.route(0), sent, credentials));
    EXPECT_EQ(header_value(sent, "X-Tenant"), "a") << "it counts towards the limit of its customer";
    tested_node newer;
    newer.enforce(3, keyed_contract({{"b", "kb"}}));
    headers delivered;
    EXPECT_EQ(relay(newer, sent, credentials, delivered), error_kind::unknown_credential);
}

// Guards against two readers of one request that choose different keys.
TEST(CustomerHeaders, TwoKeysAreNone) {
    tested_node node;
    node.enforce(1, keyed_contract({{"a", "ka"}}));
    headers sent{{"Authorization", "Bearer ka"}, {"Authorization", "Bearer ka"}};
    request_credentials credentials;
    EXPECT_EQ(authorize_request(node.context(), node.route(0), sent, credentials),
              error_kind::unknown_credential);
}

// Guards against changed requests in deployments without customers.
TEST(CustomerHeaders, StayWithoutCustomers) {
    tested_node node;
    node.enforce(1, keyed_contract({}));
    const headers original{{"Authorization", "Bearer ka"}, {"X-Tenant", "b"}};
    headers sent = original;
    request_credentials credentials;
    EXPECT_FALSE(authorize_request(node.context(), node.route(0), sent, credentials));
    EXPECT_EQ(sent, original);
}

// Guards against requests that run, with the client's own headers, once the last customer has been removed.
TEST(CustomerHeaders, AnEmptyTableOfCustomersAdmitsNoKey) {
    tested_node node;
    node.enforce(1, keyed_contract({{"a", "ka"}}));
    headers sent{{"Authorization", "Bearer ka"}, {"X-Tenant", "b"}};
    const headers original = sent;
    request_credentials waiting;
    ASSERT_FALSE(authorize_request(node.context(), node.route(0), sent, waiting));
    node.enforce(2, customerless_contract());
    EXPECT_EQ(authorize_request(node.context(), node.route(0), sent, waiting),
              error_kind::unknown_credential);
    EXPECT_EQ(sent, headers()) << "a request that waits names its customer no more";
    for (const std::size_t route : {0U, 1U}) {
        headers arrived = original;
        request_credentials credentials;
        EXPECT_EQ(authorize_request(node.context(), node.route(route), arrived, credentials),
                  route == 0 ? std::optional(error_kind::unknown_credential) : std::nullopt);
        EXPECT_EQ(arrived, headers());
    }
    node.evidence().revoke = milliseconds(5000);
    EXPECT_TRUE(needs_evidence(node.context()));
    node.enforce(3, keyed_contract({{"c", "ka"}}));
    headers returned = original;
    request_credentials credentials;
    EXPECT_FALSE(authorize_request(node.context(), node.route(0), returned, credentials));
    EXPECT_EQ(returned, (headers{{"X-Tenant", "c"}}));
}

// The same at the worker's node, for senders that enforce an older contract.
TEST(CustomerHeaders, AnEmptyTableOfCustomersIsEnforcedForOlderSenders) {
    tested_node receiver;
    receiver.enforce(3, customerless_contract());
    for (const auto& older : {keyed_contract({{"a", "ka"}}), keyed_contract({})}) {
        tested_node sender;
        sender.enforce(2, older);
        headers sent{{"Authorization", "Bearer ka"}, {"X-Tenant", "a"}};
        request_credentials credentials;
        ASSERT_FALSE(authorize_request(sender.context(), sender.route(0), sent, credentials));
        headers delivered;
        EXPECT_EQ(relay(receiver, sent, credentials, delivered), error_kind::unknown_credential);
        EXPECT_EQ(delivered, headers());
    }
}

// Guards against a removed or moved key that is used until all nodes enforce the new contract, and against
// an older contract of the worker's node overruling the newer one of the client's node.
TEST(CustomerHeaders, TheNewerContractDecides) {
    tested_node sender;
    sender.enforce(2, keyed_contract({{"a", "ka"}}));
    headers sent{{"Authorization", "Bearer ka"}};
    request_credentials credentials;
    ASSERT_FALSE(authorize_request(sender.context(), sender.route(0), sent, credentials));
    tested_node receiver;
    headers delivered;
    receiver.enforce(1, keyed_contract({{"z", "kz"}}));
    EXPECT_FALSE(relay(receiver, sent, credentials, delivered));
    EXPECT_EQ(delivered, (headers{{"X-Tenant", "a"}}));
    receiver.enforce(3, keyed_contract({{"z", "kz"}}));
    EXPECT_EQ(relay(receiver, sent, credentials, delivered), error_kind::unknown_credential);
    receiver.enforce(3, keyed_contract({{"b", "ka"}}));
    EXPECT_FALSE(relay(receiver, sent, credentials, delivered));
    EXPECT_EQ(delivered, (headers{{"X-Tenant", "b"}}));
}

// Guards against a key that a node with an older contract, which has no customers, passes on to the worker.
TEST(CustomerHeaders, TheFirstContractWithCustomersDecidesAboutForwardedKeys) {
    tested_node sender;
    sender.enforce(1, keyed_contract({}));
    tested_node receiver;
    receiver.enforce(2, keyed_contract({{"a", "ka"}}));
    headers delivered;
    for (const auto& [key, refusal] : {std::pair("Bearer ka", std::optional<error_kind>()),
                                       {"Bearer kx", error_kind::unknown_credential}}) {
        headers sent{{"Authorization", key}, {"X-Tenant", "b"}};
        request_credentials credentials;
        ASSERT_FALSE(authorize_request(sender.context(), sender.route(0), sent, credentials));
        EXPECT_EQ(relay(receiver, sent, credentials, delivered), refusal);
        EXPECT_TRUE(header_value(delivered, "Authorization").empty());
        EXPECT_EQ(header_value(delivered, "X-Tenant"), refusal ? "" : "a");
    }
    headers sent;
    request_credentials nested;
    nested.extends_running_id = true;
    ASSERT_FALSE(authorize_request(sender.context(), sender.route(0), sent, nested));
    EXPECT_FALSE(relay(receiver, sent, nested, delivered));
}

// Guards against a second attempt with a key that was removed after the first one.
TEST(CustomerHeaders, AreDecidedAgainForALaterAttempt) {
    tested_node node;
    node.enforce(1, keyed_contract({{"a", "ka"}}));
    headers sent{{"Authorization", "Bearer ka"}};
    request_credentials credentials;
    ASSERT_FALSE(authorize_request(node.context(), node.route(0), sent, credentials));
    node.enforce(2, keyed_contract({{"b", "ka"}}));
    EXPECT_FALSE(authorize_request(node.context(), node.route(0), sent, credentials));
    EXPECT_EQ(sent, (headers{{"X-Tenant", "b"}}));
    node.enforce(3, keyed_contract({{"b", "kb"}}));
    EXPECT_EQ(authorize_request(node.context(), node.route(0), sent, credentials),
              error_kind::unknown_credential);
}

// Guards against keys that are used without evidence, and against refusals of requests that use none.
TEST(CustomerHeaders, KeysNeedEvidenceUnderABound) {
    tested_node node;
    node.enforce(1, keyed_contract({{"a", "ka"}}));
    request_credentials keyed;
    keyed.presented = {credential_form::key, digest_of_key("ka")};
    const boot_time now = boottime_now();
    EXPECT_FALSE(check_evidence(node.context(), keyed, now)) << "no bound is set";
    node.evidence().revoke = milliseconds(5000);
    EXPECT_EQ(check_evidence(node.context(), keyed, now), error_kind::configuration_unverified);
    request_credentials public_with_key = keyed;
    public_with_key.is_public = true;
    request_credentials nested;
    nested.extends_running_id = nested.is_nested = true;
    for (request_credentials exempt : {request_credentials(), public_with_key, nested}) {
        EXPECT_FALSE(check_evidence(node.context(), exempt, now));
    }
    keyed.extends_running_id = true;
    EXPECT_EQ(check_evidence(node.context(), keyed, now), error_kind::configuration_unverified);
    keyed.extends_running_id = false;
    record_read(node.evidence(), now, 1, now);
    EXPECT_FALSE(check_evidence(node.context(), keyed, now));
    EXPECT_EQ(check_evidence(node.context(), keyed, now + milliseconds(5000)),
              error_kind::configuration_unverified);
    keyed.is_public = true;
    EXPECT_FALSE(check_evidence(node.context(), keyed, now));
    headers verified{{"X-Tenant", "a"}};
    add_credentials(verified, keyed);
    EXPECT_EQ(header_value(verified, "X-Tenant"), "a");
    EXPECT_FALSE(check_evidence(node.context(), keyed, now + milliseconds(5000)));
    headers unverified{{"X-Tenant", "a"}};
    add_credentials(unverified, keyed);
    EXPECT_EQ(header_value(unverified, "X-Tenant"), "") << "a public request, not one of the customer";
    node.enforce(2, keyed_contract({}));
    keyed.is_public = false;
    EXPECT_FALSE(check_evidence(node.context(), keyed, now + milliseconds(5000))) << "no keys are required";
}

// Guards against a request that is admitted while its evidence is valid and sent without its customer once
// the evidence has expired.
TEST(CustomerHeaders, EvidenceIsDecidedOnceForEachAttempt) {
    tested_node node;
    node.enforce(1, keyed_contract({{"a", "ka"}}));
    node.evidence().revoke = milliseconds(5000);
    const boot_time now = boottime_now();
    record_read(node.evidence(), now, 1, now);
    headers sent{{"Authorization", "Bearer ka"}};
    request_credentials credentials;
    ASSERT_FALSE(authorize_request(node.context(), node.route(0), sent, credentials));
    boot_time last_valid = now;
    while (!check_evidence(node.context(), credentials, last_valid + milliseconds(1))) {
        last_valid += milliseconds(1);
    }
    ASSERT_FALSE(check_evidence(node.context(), credentials, last_valid));
    headers forwarded = sent;
    add_credentials(forwarded, credentials);
    EXPECT_EQ(header_value(forwarded, "X-Tenant"), "a");
    EXPECT_TRUE(check_evidence(node.context(), credentials, last_valid + milliseconds(1)));
    forwarded = sent;
    add_credentials(forwarded, credentials);
    EXPECT_EQ(header_value(forwarded, "X-Tenant"), "") << "a refused request names nobody";
}
