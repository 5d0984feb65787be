#include "waxwingfall/cluster/membership.h"

#include <cstdint>

#include <gtest/gtest.h>

using namespace waxwingfall;

namespace {

constexpr time_point start{};

member record_of(member_id id, std::uint64_t incarnation) {
    member record;
    record.id = id;
    record.data_centre = "here";
    record.incarnation = incarnation;
    return record;
}

} // namespace

// Guards against a record that no node could refute: the incarnation above the highest one is the lowest.
TEST(Membership, RecordWithAnImplausibleIncarnationIsIgnored) {
    membership nodes = start_membership({}, record_of(1, 100), {}, start);
    for (const member_id id : {1, 2}) {
        merge_members(nodes, {record_of(id, UINT64_MAX)}, "here", start);
    }
    EXPECT_EQ(nodes.self.incarnation, 100U);
    EXPECT_FALSE(nodes.members.contains(2));
    EXPECT_EQ(nodes.implausible_records, 2U);
}
