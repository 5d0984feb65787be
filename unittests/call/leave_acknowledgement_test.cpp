#include "waxwingfall/call/leave_acknowledgement.h"

#include <gtest/gtest.h>

using namespace waxwingfall;

namespace {

constexpr time_point start{};
constexpr milliseconds worker_patience{1000};
const left_worker first{"i-1", 100};
const left_worker next{"i-2", 200};

} // namespace

// Guards against an acknowledgement that no later process of the node knows of.
TEST(LeaveAcknowledgement, NoReportIsAcknowledgedBeforeItsLeaveIsStored) {
    leave_acknowledgements state;
    EXPECT_EQ(add_leave(state, 1, first, start), leave_responses());
    EXPECT_EQ(add_leave(state, 2, first, start + milliseconds(10)), leave_responses());
    EXPECT_EQ(record_stored_leave(state, next), leave_responses());
    EXPECT_EQ(record_stored_leave(state, first), (leave_responses{{1, 2}, {}}));
    EXPECT_EQ(add_leave(state, 3, first, start + milliseconds(20)), (leave_responses{{3}, {}}));
    EXPECT_FALSE(state.unstored);
}

TEST(LeaveAcknowledgement, ReportIsRefusedBeforeItsWorkerGivesItUp) {
    leave_acknowledgements state;
    add_leave(state, 1, first, start);
    EXPECT_EQ(expire_leaves(state, start + milliseconds(500)), leave_responses());
    EXPECT_EQ(expire_leaves(state, start + worker_patience - milliseconds(100)), (leave_responses{{}, {1}}));
    EXPECT_EQ(state.unstored, first);
    EXPECT_EQ(record_stored_leave(state, first), leave_responses());
}

TEST(LeaveAcknowledgement, LeaveOfTheNextWorkerIsStoredInItsOwnRight) {
    leave_acknowledgements state;
    add_leave(state, 1, first, start);
    record_stored_leave(state, first);
    EXPECT_EQ(add_leave(state, 2, next, start), leave_responses());
    EXPECT_EQ(state.unstored, next);
    EXPECT_EQ(record_stored_leave(state, next), (leave_responses{{2}, {}}));
}
