#ifndef WAXWINGFALL_UNITTESTS_DOC_PAGE_H
#define WAXWINGFALL_UNITTESTS_DOC_PAGE_H

#include <sstream>
#include <string>
#include <vector>

#include "waxwingfall/support/yaml_tree.h"

namespace waxwingfall {

/// Returns the text of a file of the source tree, or an empty string if it can't be read.
inline std::string source_text(const std::string& path) {
    return read_bounded_file(std::string(WAXWINGFALL_SOURCE_DIR) + "/" + path).value_or("");
}

/// Returns the table rows of `page` of the docs directory whose first cell begins with a name in backticks.
inline std::vector<std::string> name_rows(const std::string& page) {
    std::vector<std::string> rows;
    std::istringstream lines(source_text("docs/" + page));
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("| `")) {
            rows.push_back(line);
        }
    }
    return rows;
}

} // namespace waxwingfall

#endif
