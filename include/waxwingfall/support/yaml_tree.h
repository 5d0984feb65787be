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

/// The maximum size of a document or settings file, which is the platform's limit on the size of a value.
constexpr std::size_t max_document_bytes = 1'000'000;

struct yaml_entry;

/// A node of a YAML tree with its location. `kind` determines which of `scalar`, `items` and `entries` is
/// used.
struct yaml_value {
    enum class shape { null, scalar, sequence, map };
    shape kind = shape::null;
    int line = 0;
    int column = 0;
    std::string scalar;
    std::vector<yaml_value> items;
    std::vector<yaml_entry> entries;
};

/// A key of a map with its value and the location of the key.
struct yaml_entry {
    std::string key;
    int line = 0;
    int column = 0;
    yaml_value value;
};

/// Parses `text` into a tree. Invalid syntax, invalid UTF-8, input over one megabyte, anchors and aliases,
/// duplicate keys and nesting over 32 levels are appended to `faults` with `file` as the file name. More
/// than one document in a file is a syntax fault. Returns an empty tree if the text does not parse or exceeds
/// a limit, otherwise the full tree, in which aliases are null.
yaml_value parse_yaml(std::string_view text, const std::string& file, std::vector<fault>& faults);

/// Reads typed values from a tree and collects all faults it finds.
class yaml_reader {
public:
    yaml_reader(std::string file, std::vector<fault>& faults) : file_(std::move(file)), faults_(&faults) {}

    /// Appends a fault at the location of `value`.
    void report(error_kind kind, const yaml_value& value, std::string message);

    /// Returns the value of `key`, or null if `map` is not a map or lacks the key. A missing required key is
    /// a fault.
    const yaml_value* child(const yaml_value& map, std::string_view key, bool required);

    /// Returns true if `value` is a map; otherwise reports a fault that refers to it as `subject`. Also
    /// reports each key that is not in `allowed_keys`.
    bool expect_map(const yaml_value& value, std::string_view subject,
                    const std::vector<std::string_view>& allowed_keys);

    /// Returns the string value of `key`, or `fallback` if it is absent or invalid. An empty string is a
    /// fault.
    std::string text(const yaml_value& map, std::string_view key, bool required, std::string fallback = {});

    /// Returns the integer value of `key`, which must be from `low` to `high`, or `fallback` if it is absent
    /// or invalid. Without a `fallback` the key is required, and `low` is returned in its place.
    std::uint32_t number(const yaml_value& map, std::string_view key, std::uint32_t low, std::uint32_t high,
                         std::optional<std::uint32_t> fallback);

    /// Returns the decimal value of `key`, which must be from 0 to `high`, or 0 if it is absent or invalid.
    double decimal(const yaml_value& map, std::string_view key, double high);

    /// Returns the Boolean value of `key`, or `fallback` if it is absent or invalid.
    bool flag(const yaml_value& map, std::string_view key, bool fallback);

    /// Returns the non-empty strings of the list `key` with their locations; empty if it is absent.
    std::vector<yaml_value> texts(const yaml_value& map, std::string_view key);

private:
    std::string file_;
    std::vector<fault>* faults_;
};

/// Reads a file up to `max_document_bytes` + 1 bytes, so that the parser rejects a longer one. Returns
/// nothing if the file can't be read.
std::optional<std::string> read_bounded_file(const std::string& path);

} // namespace waxwingfall

#endif
