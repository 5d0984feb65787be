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

proposal propose(const std::string& operation, const std::string& digest) {
    proposal made;
    made.operation = operation;
    made.digest = digest;
    return made;
}

wire::zone_report good_report(std::uint64_t version) {
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

std::string objection(const wire::zone_report& report) {
    const environment_head head = judge_proposal({}, propose("a", "one"), 1).next;
    return why_not_promotable(head, 1, {report}, 101'000, milliseconds(5000), 1.0);
}

} // namespace

TEST(Head, AWriteIsKnownAgainAlsoAfterLaterVersions) {
    environment_head head = judge_proposal({}, propose("mine", "one"), 1).next;
    head = judge_proposal(head, propose("theirs", "two"), 2).next;
    const auto again = judge_proposal(head, propose("mine", "one"), 3);
    EXPECT_EQ(again.what, action::own_write);
    EXPECT_EQ(again.current.mark.version, 1U);
}

TEST(Head, SameContentMakesNoVersionAndAnotherVersionConflicts) {
    const environment_head head = judge_proposal({}, propose("a", "one"), 1).next;
    EXPECT_EQ(judge_proposal(head, propose("b", "one"), 2).what, action::unchanged);
    proposal late = propose("c", "two");
    late.expected_version = 0;
    const auto verdict = judge_proposal(head, late, 2);
    EXPECT_EQ(verdict.what, action::conflict);
    EXPECT_EQ(verdict.current.mark.version, 1U);
}

TEST(Head, DamagedBytesAreAnError) {
    const bool accepted = boost::leaf::try_handle_all(
        []() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(decode_head("\xff\xff\xff"));
            return true;
        },
        [] { return false; });
    EXPECT_FALSE(accepted);
}

TEST(Head, ShortContentTravelsAndIsCheckedAgainstItsDigest) {
    environment_head head;
    contract content;
    const std::string before = encode_contract(content);
    content.services.push_back({"a", 2000, 2, 10, 0, 24, {}});
    const std::string after = encode_contract(content);
    head.versions.push_back({{1, digest_of(after)}, "a", "", "", 0, "", 0});
    attach_content(head, "", "", after);
    EXPECT_EQ(attached_content(head, "", ""), after);
    attach_content(head, digest_of(before), before, after);
    EXPECT_EQ(attached_content(head, digest_of(before), before), after);
    head.content = "damaged";
    EXPECT_EQ(attached_content(head, digest_of(before), before), std::nullopt);
    attach_content(head, "", "", std::string(70'000, 'x'));
    EXPECT_EQ(attached_content(head, "", ""), std::nullopt);
}

TEST(Promotion, NeedsGoodBehaviourEverywhere) {
    EXPECT_EQ(objection(good_report(1)), "");
    wire::zone_report report = good_report(1);
    report.set_nodes_enforcing(2);
    EXPECT_NE(objection(report), "");
    report = good_report(2);
    EXPECT_NE(objection(report), "");
    report = good_report(1);
    report.set_failed_calls(11);
    EXPECT_NE(objection(report), "");
    report = good_report(1);
    report.set_all_enforced_since_ms(99'000);
    EXPECT_NE(objection(report), "");
    report = good_report(1);
    report.set_reported_at_ms(10'000);
    EXPECT_NE(objection(report), "");
    report = good_report(1);
    report.add_rejections()->set_reason("old program");
    EXPECT_NE(objection(report).find("old program"), std::string::npos);
    const environment_head head = judge_proposal({}, propose("a", "one"), 1).next;
    EXPECT_NE(why_not_promotable(head, 2, {good_report(2)}, 101'000, milliseconds(0), 1.0), "");
    EXPECT_NE(why_not_promotable(head, 1, {}, 101'000, milliseconds(0), 1.0), "");
}

/// Operators who read old heads and whose answers are lost: each operation is accepted at most once, and
/// versions count up without a gap.
RC_GTEST_PROP(Head, RacingOperatorsAreSerialised, ()) {
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
        const auto [seen, seen_revision] = read[operator_number];
        const std::string operation =
            std::to_string(operator_number) + "-" + std::to_string(*rc::gen::inRange(0, 3));
        const auto verdict = judge_proposal(seen, propose(operation, "digest of " + operation), 1);
        if (verdict.what == action::write && seen_revision == revision) {
            stored = verdict.next;
            revision += 1;
            accepted[operation] += 1;
            RC_ASSERT(newest(stored).mark.version == revision);
        }
        RC_ASSERT(accepted[operation] <= 1);
    }
}
