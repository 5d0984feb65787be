#include "waxwingfall/support/yaml_tree.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace waxwingfall {

namespace {

constexpr std::size_t max_depth = 32;

/// Thrown to stop parsing early when the input exceeds a limit.
struct limit_exceeded {};

/// Returns the offset of the first byte of the first invalid UTF-8 sequence, if there is one.
std::optional<std::size_t> first_invalid_utf8(std::string_view text) {
    std::size_t index = 0;
    while (index < text.size()) {
        const auto lead = static_cast<unsigned char>(text[index]);
        std::size_t length = 1;
        std::uint32_t code = lead;
        if (lead >= 0xf0 && lead < 0xf8) {
            length = 4;
            code = lead & 0x07U;
        } else if (lead >= 0xe0 && lead < 0xf0) {
            length = 3;
            code = lead & 0x0fU;
        } else if (lead >= 0xc0 && lead < 0xe0) {
            length = 2;
            code = lead & 0x1fU;
        } else if (lead >= 0x80) {
            return index;
        }
        if (index + length > text.size()) {
            return index;
        }
        for (std::size_t next = 1; next < length; ++next) {
            const auto byte = static_cast<unsigned char>(text[index + next]);
            if ((byte & 0xc0U) != 0x80) {
                return index;
            }
            code = (code << 6U) | (byte & 0x3fU);
        }
        constexpr std::uint32_t min_code[] = {0, 0, 0x80, 0x800, 0x10000};
        const bool is_surrogate = code >= 0xd800 && code <= 0xdfff;
        if (code < min_code[length] || code > 0x10ffff || is_surrogate) {
            return index;
        }
        index += length;
    }
    return std::nullopt;
}

/// Builds the tree from the events of yaml-cpp. Events carry source locations, and aliases are not expanded,
/// so a small document can't grow to an excessive size.
class tree_builder : public YAML::EventHandler {
public:
    tree_builder(std::string file, std::vector<fault>& faults) : file_(std::move(file)), faults_(faults) {}

    yaml_value take_root() { return std::move(root_); }

    void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
        reject_anchor(mark, anchor);
        add_value(make_value(yaml_value::shape::null, mark));
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
        add_fault(error_kind::alias_refused, mark, "aliases are not supported");
        add_value(make_value(yaml_value::shape::null, mark));
    }

    void OnScalar(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                  const std::string& text) override {
        reject_anchor(mark, anchor);
        yaml_value value = make_value(yaml_value::shape::scalar, mark);
        value.scalar = text;
        add_value(std::move(value));
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override {
        open(yaml_value::shape::sequence, mark, anchor);
    }
    void OnSequenceEnd() override { close(); }

    void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override {
        open(yaml_value::shape::map, mark, anchor);
    }
    void OnMapEnd() override { close(); }

private:
    struct frame {
        yaml_value value;
        bool expects_key = true;
        yaml_entry pending;
    };

    static yaml_value make_value(yaml_value::shape kind, const YAML::Mark& mark) {
        yaml_value value;
        value.kind = kind;
        value.line = mark.line + 1;
        value.column = mark.column + 1;
        return value;
    }

    void add_fault(error_kind kind, const YAML::Mark& mark, std::string message) {
        faults_.push_back({kind, {file_, mark.line + 1, mark.column + 1}, std::move(message)});
    }

    void reject_anchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
        if (anchor != YAML::NullAnchor) {
            add_fault(error_kind::alias_refused, mark, "anchors are not supported");
        }
    }

    void open(yaml_value::shape kind, const YAML::Mark& mark, YAML::anchor_t anchor) {
        reject_anchor(mark, anchor);
        if (stack_.size() >= max_depth) {
            add_fault(error_kind::too_deep, mark,
                      "values are nested over " + std::to_string(max_depth) + " levels");
            throw limit_exceeded{};
        }
        stack_.push_back({make_value(kind, mark), true, {}});
    }

    void close() {
        yaml_value value = std::move(stack_.back().value);
        stack_.pop_back();
        add_value(std::move(value));
    }

    void add_value(yaml_value value) {
        if (stack_.empty()) {
            root_ = std::move(value);
            return;
        }
        frame& top = stack_.back();
        if (top.value.kind == yaml_value::shape::sequence) {
            top.value.items.push_back(std::move(value));
            return;
        }
        if (top.expects_key) {
            start_entry(top, value);
            return;
        }
        top.pending.value = std::move(value);
        top.value.entries.push_back(std::move(top.pending));
        top.expects_key = true;
    }

    void start_entry(frame& top, const yaml_value& key) {
        top.expects_key = false;
        top.pending = {key.scalar, key.line, key.column, {}};
        const source_location location{file_, key.line, key.column};
        if (key.kind != yaml_value::shape::scalar) {
            faults_.push_back({error_kind::wrong_type, location, "a key must be text"});
            return;
        }
        const auto existing = std::find_if(top.value.entries.begin(), top.value.entries.end(),
                                           [&](const yaml_entry& entry) { return entry.key == key.scalar; });
        if (existing != top.value.entries.end()) {
            faults_.push_back(
                {error_kind::duplicate_key, location,
                 "key '" + key.scalar + "' is already defined in line " + std::to_string(existing->line)});
        }
    }

    std::string file_;
    std::vector<fault>& faults_;
    std::vector<frame> stack_;
    yaml_value root_;
};

std::string join_names(const std::vector<std::string_view>& names) {
    std::string text;
    for (const auto name : names) {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text;
}

} // namespace

yaml_value parse_yaml(std::string_view text, const std::string& file, std::vector<fault>& faults) {
    if (text.size() > max_document_bytes) {
        faults.push_back({error_kind::too_large,
                          {file, 0, 0},
                          "the file is over " + std::to_string(max_document_bytes) + " bytes"});
        return {};
    }
    if (const auto offset = first_invalid_utf8(text)) {
        const auto before = text.substr(0, *offset);
        const auto line_start = before.rfind('\n') == std::string_view::npos ? 0 : before.rfind('\n') + 1;
        const int line = static_cast<int>(std::count(before.begin(), before.end(), '\n')) + 1;
        faults.push_back({error_kind::not_utf8,
                          {file, line, static_cast<int>(*offset - line_start) + 1},
                          "invalid UTF-8"});
        return {};
    }
    tree_builder builder(file, faults);
    try {
        std::istringstream stream{std::string(text)};
        YAML::Parser parser(stream);
        parser.HandleNextDocument(builder);
        yaml_value root = builder.take_root();
        tree_builder rest(file, faults);
        if (parser.HandleNextDocument(rest)) {
            faults.push_back({error_kind::syntax, {file, 0, 0}, "the file contains more than one document"});
        }
        return root;
    } catch (const limit_exceeded&) {
        return {};
    } catch (const YAML::Exception& error) {
        faults.push_back({error_kind::syntax, {file, error.mark.line + 1, error.mark.column + 1}, error.msg});
        return {};
    }
}

void yaml_reader::report(error_kind kind, const yaml_value& value, std::string message) {
    faults_->push_back({kind, {file_, value.line, value.column}, std::move(message)});
}

const yaml_value* yaml_reader::child(const yaml_value& map, std::string_view key, bool required) {
    for (const yaml_entry& entry : map.entries) {
        if (entry.key == key) {
            return &entry.value;
        }
    }
    if (required && map.kind == yaml_value::shape::map) {
        report(error_kind::missing_key, map, "key '" + std::string(key) + "' is missing");
    }
    return nullptr;
}

bool yaml_reader::expect_map(const yaml_value& value, std::string_view subject,
                             const std::vector<std::string_view>& allowed_keys) {
    if (value.kind != yaml_value::shape::map) {
        report(error_kind::wrong_type, value, std::string(subject) + " must be a map");
        return false;
    }
    for (const yaml_entry& entry : value.entries) {
        if (std::find(allowed_keys.begin(), allowed_keys.end(), entry.key) == allowed_keys.end()) {
            faults_->push_back({error_kind::unknown_key,
                                {file_, entry.line, entry.column},
                                "key '" + entry.key + "' is not one of: " + join_names(allowed_keys)});
        }
    }
    return true;
}

std::string yaml_reader::text(const yaml_value& map, std::string_view key, bool required,
                              std::string fallback) {
    const yaml_value* value = child(map, key, required);
    if (value == nullptr) {
        return fallback;
    }
    if (value->kind != yaml_value::shape::scalar || value->scalar.empty()) {
        report(error_kind::wrong_type, *value, "'" + std::string(key) + "' must be non-empty text");
        return fallback;
    }
    return value->scalar;
}

std::uint32_t yaml_reader::number(const yaml_value& map, std::string_view key, std::uint32_t low,
                                  std::uint32_t high, std::optional<std::uint32_t> fallback) {
    const yaml_value* value = child(map, key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(low);
    }
    std::int64_t parsed = 0;
    const char* const end = value->scalar.data() + value->scalar.size();
    const auto result = std::from_chars(value->scalar.data(), end, parsed);
    const bool is_integer =
        value->kind == yaml_value::shape::scalar && result.ptr == end && !value->scalar.empty();
    if (!is_integer || (result.ec != std::errc{} && result.ec != std::errc::result_out_of_range)) {
        report(error_kind::wrong_type, *value, "'" + std::string(key) + "' must be a whole number");
        return fallback.value_or(low);
    }
    if (result.ec == std::errc::result_out_of_range || parsed < low || parsed > high) {
        report(error_kind::out_of_range, *value,
               "'" + std::string(key) + "' must be from " + std::to_string(low) + " to " +
                   std::to_string(high));
        return fallback.value_or(low);
    }
    return static_cast<std::uint32_t>(parsed);
}

double yaml_reader::decimal(const yaml_value& map, std::string_view key, double high) {
    const yaml_value* value = child(map, key, false);
    if (value == nullptr) {
        return 0;
    }
    double parsed = 0;
    const char* const end = value->scalar.data() + value->scalar.size();
    const auto result = std::from_chars(value->scalar.data(), end, parsed);
    const bool is_number = value->kind == yaml_value::shape::scalar && result.ec == std::errc{} &&
                           result.ptr == end && std::isfinite(parsed);
    if (!is_number) {
        report(error_kind::wrong_type, *value, "'" + std::string(key) + "' must be a number");
        return 0;
    }
    if (parsed < 0 || parsed > high) {
        report(error_kind::out_of_range, *value,
               "'" + std::string(key) + "' must be from 0 to " +
                   std::to_string(static_cast<std::uint64_t>(high)));
        return 0;
    }
    return parsed;
}

bool yaml_reader::flag(const yaml_value& map, std::string_view key, bool fallback) {
    const yaml_value* value = child(map, key, false);
    if (value == nullptr) {
        return fallback;
    }
    if (value->scalar != "true" && value->scalar != "false") {
        report(error_kind::wrong_type, *value, "'" + std::string(key) + "' must be true or false");
        return fallback;
    }
    return value->scalar == "true";
}

std::vector<yaml_value> yaml_reader::texts(const yaml_value& map, std::string_view key) {
    const yaml_value* value = child(map, key, false);
    if (value == nullptr) {
        return {};
    }
    if (value->kind != yaml_value::shape::sequence) {
        report(error_kind::wrong_type, *value, "'" + std::string(key) + "' must be a list of strings");
        return {};
    }
    std::vector<yaml_value> strings;
    for (const yaml_value& item : value->items) {
        if (item.kind != yaml_value::shape::scalar || item.scalar.empty()) {
            report(error_kind::wrong_type, item,
                   "each item of '" + std::string(key) + "' must be non-empty text");
            continue;
        }
        strings.push_back(item);
    }
    return strings;
}

std::optional<std::string> read_bounded_file(const std::string& path) {
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    std::string text(max_document_bytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad()) {
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

} // namespace waxwingfall
