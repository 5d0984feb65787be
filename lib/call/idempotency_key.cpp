#include "waxwingfall/call/idempotency_key.h"

#include <array>
#include <cstdint>

#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

constexpr std::size_t key_size = 16;
constexpr std::size_t text_length = 36;
constexpr std::size_t time_bytes = 6;

int hex_value(char digit) {
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

bool is_hyphen_position(std::size_t index) {
    return index == 8 || index == 13 || index == 18 || index == 23;
}

} // namespace

std::optional<idempotency_key> parse_idempotency_key(std::string_view text) {
    if (text.size() != text_length) {
        return std::nullopt;
    }
    idempotency_key key;
    int high_nibble = -1;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (is_hyphen_position(index)) {
            if (text[index] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int value = hex_value(text[index]);
        if (value < 0) {
            return std::nullopt;
        }
        if (high_nibble < 0) {
            high_nibble = value;
        } else {
            key.bytes += static_cast<char>(high_nibble * 16 + value);
            high_nibble = -1;
        }
    }
    const auto byte = [&](std::size_t index) { return static_cast<unsigned char>(key.bytes[index]); };
    const bool is_version_7 = (byte(6) >> 4U) == 7;
    const bool is_rfc_variant = (byte(8) >> 6U) == 2;
    if (!is_version_7 || !is_rfc_variant) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < time_bytes; ++index) {
        key.created_at = (key.created_at << 8U) | byte(index);
    }
    return key;
}

std::string make_idempotency_key(wall_ms created_at, std::uint64_t random_high, std::uint64_t random_low) {
    std::array<unsigned char, key_size> bytes{};
    for (std::size_t index = 0; index < time_bytes; ++index) {
        bytes.at(index) = static_cast<unsigned char>(created_at >> (8 * (time_bytes - 1 - index)));
    }
    bytes[6] = static_cast<unsigned char>(0x70U | (random_high & 0x0fU));
    bytes[7] = static_cast<unsigned char>(random_high >> 8U);
    for (std::size_t index = 8; index < key_size; ++index) {
        bytes.at(index) = static_cast<unsigned char>(random_low >> (8 * (index - 8)));
    }
    bytes[8] = static_cast<unsigned char>(0x80U | (bytes[8] & 0x3fU));
    const std::string digits = to_hex({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    return digits.substr(0, 8) + "-" + digits.substr(8, 4) + "-" + digits.substr(12, 4) + "-" +
           digits.substr(16, 4) + "-" + digits.substr(20);
}

} // namespace waxwingfall
