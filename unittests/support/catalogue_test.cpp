#include <set>
#include <string>

#include <gtest/gtest.h>

#include "unittests/doc_page.h"
#include "waxwingfall/support/error.h"
#include "waxwingfall/support/event_log.h"

using namespace waxwingfall;

namespace {

/// Returns the first cell of each table row in `page` of the docs directory.
std::set<std::string> first_cells(const std::string& page) {
    std::set<std::string> cells;
    for (const std::string& row : name_rows(page)) {
        cells.insert(row.substr(3, row.find('`', 3) - 3));
    }
    return cells;
}

} // namespace

TEST(Catalogue, EveryErrorKindIsDocumented) {
    std::set<std::string> names;
    for (const error_info& row : error_table()) {
        names.insert(std::string(row.name));
    }
    EXPECT_EQ(names, first_cells("errors.md"));
}

TEST(Catalogue, EveryEventIsDocumented) {
    std::set<std::string> rows;
    for (const event_row& row : event_catalogue()) {
        rows.insert(std::to_string(static_cast<int>(row.id)) + " " + std::string(row.name));
    }
    EXPECT_EQ(rows, first_cells("events.md"));
}

TEST(Errors, EveryHttpErrorHasAnOutcome) {
    for (const error_info& row : error_table()) {
        if (row.http_status == 0) {
            EXPECT_EQ(row.result == outcome::done, false) << row.name;
        } else {
            EXPECT_NE(row.result, outcome::not_applicable) << row.name;
        }
    }
}

TEST(Errors, FormatsFaultWithLocationAndKind) {
    const fault with_location{error_kind::unknown_key, {"a.yaml", 3, 7}, "key 'x'"};
    EXPECT_EQ(to_string(with_location), "a.yaml:3:7: unknown-key: key 'x'");
    const fault without_location{error_kind::too_large, {"a.yaml", 0, 0}, "too long"};
    EXPECT_EQ(to_string(without_location), "a.yaml: too-large: too long");
}
