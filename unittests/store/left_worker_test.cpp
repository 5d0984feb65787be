#include "waxwingfall/store/left_worker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwingfall;

TEST(LeftWorker, EncodedRecordDecodesToItself) {
    const left_worker left{"i-1", 1796451736575};
    EXPECT_EQ(decode_left_worker(encode_left_worker(left)), left);
}

TEST(LeftWorker, RecordWithoutAWorkerIsNone) {
    EXPECT_FALSE(decode_left_worker(""));
    EXPECT_FALSE(decode_left_worker(encode_left_worker({"", 1})));
    EXPECT_FALSE(decode_left_worker(encode_left_worker({std::string(300, 'i'), 1})));
}

RC_GTEST_PROP(LeftWorker, ArbitraryBytesNameAWorkerOrNone, (const std::string& bytes)) {
    const auto left = decode_left_worker(bytes);
    RC_ASSERT((!left || !left->worker_id.empty()));
}
