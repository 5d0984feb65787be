#include <map>
#include <string>
#include <vector>

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/store/head.h"
#include "waxwingfall/support/digest.h"

using namespace waxwingfall;
using action = proposal_verdict::action;

namespace {

proposal make_proposal(const std::string& operation, const std::string& digest) {
    proposal result;
    result.operation = operation;
    result.digest = digest;
    return result;
}

wire::zone_report healthy_report(std::uint64_t version) {
    wire::zone_report report;
    report.set_data_centre("riga-a");
    report.set_version(version);
    report.set_nodes(3);
    report.set_nodes_enforcing(3);
    report.set_reported_at_ms(100'000);
    report.set_all_enforced_since_ms(90'000);
    report.set_calls(1000);
    return report;
}

std::string promotion_blocker(const wire::zone_report& report) {
    const environment_head head = evaluate_proposal({}, make_proposal("a", "one"), 1).next;
    return why_not_promotable(head, 1, {report}, 101'000, milliseconds(5000), 1.0);
}

} // namespace

TEST(Head, RepeatedOperationIsRecognisedAfterLaterVersions) {
    environment_head head = evaluate_proposal({}, make_proposal("mine", "one"), 1).next;
    head = evaluate_proposal(head, make_proposal("theirs", "two"), 2).next;
    const auto repeated = evaluate_proposal(head, make_proposal("mine", "one"), 3);
    EXPECT_EQ(repeated.decision, action::already_accepted);
    EXPECT_EQ(repeated.current.id.version, 1U);
}

TEST(Head, SameContentAddsNoVersionAndUnexpectedVersionConflicts) {
    const environment_head head = evaluate_proposal({}, make_proposal("a", "one"), 1).next;
    EXPECT_EQ(evaluate_proposal(head, make_proposal("b", "one"), 2).decision, action::unchanged);
    proposal stale = make_proposal("c", "two");
    stale.expected_version = 0;
    const auto verdict = evaluate_proposal(head, stale, 2);
    EXPECT_EQ(verdict.decision, action::conflict);
    EXPECT_EQ(verdict.current.id.version, 1U);
}

TEST(Head, DecodingMalformedBytesFails) {
    const bool accepted = boost::leaf::try_handle_all(
        []() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(decode_head("\xff\xff\xff"));
            return true;
        },
        [] { return false; });
    EXPECT_FALSE(accepted);
}

TEST(Head, ShortContentIsEmbeddedAndVerifiedByDigest) {
    environment_head head;
    contract content;
    const std::string before = encode_contract(content);
    content.services.push_back({"a", 2000, 2, 10, 0, 24, {}});
    const std::string after = encode_contract(content);
    head.versions.push_back({{1, digest_of(after)}, "a", "", "", 0, "", 0});
    embed_content(head, "", "", after);
    EXPECT_EQ(embedded_content(head, "", ""), after);
    embed_content(head, digest_of(before), before, after);
    EXPECT_EQ(embedded_content(head, digest_of(before), before), after);
    head.content = "damaged";
    EXPECT_EQ(embedded_content(head, digest_of(before), before), std::nullopt);
    embed_content(head, "", "", std::string(70'000, 'x'));
    EXPECT_EQ(embedded_content(head, "", ""), std::nullopt);
}

TEST(Promotion, RequiresHealthyReportsFromEveryDataCentre) {
    EXPECT_EQ(promotion_blocker(healthy_report(1)), "");
    wire::zone_report report = healthy_report(1);
    report.set_nodes_enforcing(2);
    EXPECT_NE(promotion_blocker(report), "");
    report = healthy_report(2);
    EXPECT_NE(promotion_blocker(report), "");
    report = healthy_report(1);
    report.set_failed_calls(11);
    EXPECT_NE(promotion_blocker(report), "");
    report = healthy_report(1);
    report.set_all_enforced_since_ms(99'000);
    EXPECT_NE(promotion_blocker(report), "");
    report = healthy_report(1);
    report.set_reported_at_ms(10'000);
    EXPECT_NE(promotion_blocker(report), "");
    report = healthy_report(1);
    report.add_rejections()->set_reason("old program");
    EXPECT_NE(promotion_blocker(report).find("old program"), std::string::npos);
    const environment_head head = evaluate_proposal({}, make_proposal("a", "one"), 1).next;
    EXPECT_NE(why_not_promotable(head, 2, {healthy_report(2)}, 101'000, milliseconds(0), 1.0), "");
    EXPECT_NE(why_not_promotable(head, 1, {}, 101'000, milliseconds(0), 1.0), "");
}

/// Several operators propose changes based on stale heads and retry operations whose responses were
/// lost. Each operation must be accepted at most once, and version numbers must increase without gaps.
RC_GTEST_PROP(Head, ConcurrentProposalsAreSerialised, ()) {
    environment_head stored;
    std::uint64_t revision = 0;
    std::map<int, std::pair<environment_head, std::uint64_t>> read;
    std::map<std::string, int> accepted;
    const int steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step) {
        const int operator_number = *rc::gen::inRange(0, 3);
        if (*rc::gen::arbitrary<bool>()) {
            read[operator_number] = {stored, revision};
            continue;
        }
        const auto [read_head, read_revision] = read[operator_number];
        const std::string operation =
            std::to_string(operator_number) + "-" + std::to_string(*rc::gen::inRange(0, 3));
        const auto verdict =
            evaluate_proposal(read_head, make_proposal(operation, "digest of " + operation), 1);
        if (verdict.decision == action::write && read_revision == revision) {
            stored = verdict.next;
            revision += 1;
            accepted[operation] += 1;
            RC_ASSERT(newest(stored).id.version == revision);
        }
        RC_ASSERT(accepted[operation] <= 1);
    }
}
