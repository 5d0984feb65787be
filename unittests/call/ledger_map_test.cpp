#include "waxwingfall/call/ledger_map.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwingfall;

// Guards against a division by zero: keys are placed by their hash modulo the number of shards.
TEST(LedgerMap, DataCentreWithoutShardsIsRejected) {
    ledger_map map;
    map.version = 1;
    map.data_centres.push_back({"here", 1000, {}});
    EXPECT_FALSE(decode_ledger_map(encode_ledger_map(map)));
    map.data_centres.front().shards.push_back({1, 2, 3});
    EXPECT_TRUE(decode_ledger_map(encode_ledger_map(map)));
}

RC_GTEST_PROP(LedgerMap, ArbitraryBytesAreRejectedOrReadWhole, (const std::string& bytes)) {
    const auto map = decode_ledger_map(bytes);
    RC_ASSERT((!map || decode_ledger_map(encode_ledger_map(*map)) == map));
}
