#ifndef WAXWINGFALL_SUPPORT_YAML_TREE_H
#define WAXWINGFALL_SUPPORT_YAML_TREE_H

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfall/support/error.h"

namespace waxwingfall {

/// The largest document or settings file that is read, in bytes: the platform's limit on a value.
constexpr std::size_t max_document_bytes = 1'000'000;

struct yaml_entry;

/// One value of a YAML file with its place. Exactly one of `scalar`, `items` and `entries` is in use.
struct yaml_value {
    enum class shape { null, scalar, sequence, map };
    shape kind = shape::null;
    int line = 0;
    int column = 0;
    std::string scalar;
    std::vector<yaml_value> items;
    std::vector<yaml_entry> entries;
};

/// One key of a map with its value and the place of the key.
struct yaml_entry {
    std::string key;
    int line = 0;
    int column = 0;
    yaml_value value;
};

/// Parses `text` into a tree. Faults of form (syntax, not UTF-8, over one megabyte, anchors and aliases,
/// duplicate keys, nesting over 32 levels) are appended to `faults` with `file` as their file; the tree then
/// holds what could be read. A file with more than one document is a syntax fault.
yaml_value parse_yaml(std::string_view text, const std::string& file, std::vector<fault>& faults);

/// Reads maps and scalars out of a tree and collects every fault on the way.
class yaml_reader {
public:
    yaml_reader(std::string file, std::vector<fault>& faults) : file_(std::move(file)), faults_(&faults) {}

    /// Appends a fault at the place of `value`.
    void report(error_kind kind, const yaml_value& value, std::string message);

    /// The value under `key`, or nothing if `map` is no map or lacks it; a missing required key is a fault.
    const yaml_value* child(const yaml_value& map, std::string_view key, bool required);

    /// Checks that `value` is a map whose keys are all in `known`; other keys are faults that name the known
    /// ones.
    bool expect_map(const yaml_value& value, std::string_view what,
                    const std::vector<std::string_view>& known);

    /// The text under `key`; `fallback` if it is absent and not required. Empty text is a fault.
    std::string text(const yaml_value& map, std::string_view key, bool required, std::string fallback = {});

    /// The whole number under `key`, which must lie from `low` to `high`; `fallback` if it is absent.
    std::uint32_t number(const yaml_value& map, std::string_view key, std::uint32_t low, std::uint32_t high,
                         std::optional<std::uint32_t> fallback);

    /// The truth value under `key`; `fallback` if it is absent.
    bool flag(const yaml_value& map, std::string_view key, bool fallback);

    /// The sequence of texts under `key` with their places; empty if it is absent.
    std::vector<yaml_value> texts(const yaml_value& map, std::string_view key);

private:
    std::string file_;
    std::vector<fault>* faults_;
};

/// Reads a whole file of at most one megabyte and a byte; a longer one is cut there, so that the parser
/// refuses it. Returns nothing if the file can't be read.
std::optional<std::string> read_bounded_file(const std::string& path);

} // namespace waxwingfall

#endif
