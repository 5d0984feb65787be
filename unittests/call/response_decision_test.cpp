#include "waxwingfall/call/response_decision.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwingfall/call/call_decisions.h"

using namespace waxwingfall;

namespace {

int any_status() {
    return *rc::gen::oneOf(rc::gen::element(408, 421, 429, 500, 503, 504), rc::gen::inRange(200, 600));
}

} // namespace

// Guards against a payment that is sent again because its worker answered 503 after it had run it.
RC_GTEST_PROP(ResponseDecision, NoForwardedStatusPromisesThatARequestThatRanDidNot, ()) {
    const ran_response response{any_status(), *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()};
    const response_action action = decide_response(response);
    RC_ASSERT(action != response_action::forward || !promises_not_run(response.status));
    RC_ASSERT(action != response_action::try_elsewhere || !response.runs_once);
    RC_ASSERT(action == response_action::forward || is_worker_failure(response.status));
}

TEST(ResponseDecision, FollowsItsTable) {
    for (const int status : {408, 421, 429, 503}) {
        EXPECT_EQ(decide_response({status, true, false}), response_action::withhold) << status;
        EXPECT_EQ(decide_response({status, false, true}), response_action::withhold) << status;
    }
    for (const int status : {500, 501, 502, 507}) {
        EXPECT_EQ(decide_response({status, false, true}), response_action::try_elsewhere) << status;
        EXPECT_EQ(decide_response({status, false, false}), response_action::forward) << status;
        EXPECT_EQ(decide_response({status, true, true}), response_action::forward) << status;
    }
    for (const int status : {200, 204, 301, 400, 404, 413, 504}) {
        EXPECT_EQ(decide_response({status, false, true}), response_action::forward) << status;
    }
}

// Guards against statuses that are taken for a statement of the worker.
TEST(ResponseDecision, OnlyTheHeaderAnd421StateThatARequestDidNotRun) {
    for (const int status : {400, 408, 429, 500, 503}) {
        EXPECT_EQ(stated_outcome(status, false), outcome::done) << status;
        EXPECT_EQ(stated_outcome(status, true), outcome::not_run) << status;
    }
    EXPECT_EQ(stated_outcome(421, false), outcome::not_run);
    EXPECT_EQ(stated_outcome(200, true), outcome::done);
}

// Guards against a refusal of a node that contradicts an earlier attempt of the same call.
TEST(ResponseDecision, NoErrorOfANodePromisesThatARequestThatMayHaveRunDidNot) {
    for (const error_info& row : error_table()) {
        if (row.result == outcome::unknown || row.result == outcome::done) {
            EXPECT_FALSE(promises_not_run(row.http_status)) << row.name;
        }
        EXPECT_FALSE(promises_not_run(error_info_of(final_kind(row.kind, true)).http_status)) << row.name;
    }
}
