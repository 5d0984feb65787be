#include "waxwingfall/call/idempotency_key.h"

#include <array>
#include <cstdint>

#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

constexpr std::size_t key_bytes = 16;
constexpr std::size_t text_length = 36;
constexpr std::size_t time_bytes = 6;

int hex_value(char letter) {
    if (letter >= '0' && letter <= '9') {
        return letter - '0';
    }
    if (letter >= 'a' && letter <= 'f') {
        return letter - 'a' + 10;
    }
    if (letter >= 'A' && letter <= 'F') {
        return letter - 'A' + 10;
    }
    return -1;
}

bool is_hyphen_place(std::size_t index) {
    return index == 8 || index == 13 || index == 18 || index == 23;
}

} // namespace

std::optional<idempotency_key> parse_idempotency_key(std::string_view text) {
    if (text.size() != text_length) {
        return std::nullopt;
    }
    idempotency_key key;
    int high = -1;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (is_hyphen_place(index)) {
            if (text[index] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int value = hex_value(text[index]);
        if (value < 0) {
            return std::nullopt;
        }
        if (high < 0) {
            high = value;
        } else {
            key.bytes += static_cast<char>(high * 16 + value);
            high = -1;
        }
    }
    const auto byte = [&](std::size_t index) { return static_cast<unsigned char>(key.bytes[index]); };
    const bool version_is_7 = (byte(6) >> 4U) == 7;
    const bool variant_is_right = (byte(8) >> 6U) == 2;
    if (!version_is_7 || !variant_is_right) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < time_bytes; ++index) {
        key.made = (key.made << 8U) | byte(index);
    }
    return key;
}

std::string make_idempotency_key(wall_ms made, std::uint64_t random_high, std::uint64_t random_low) {
    std::array<unsigned char, key_bytes> bytes{};
    for (std::size_t index = 0; index < time_bytes; ++index) {
        bytes.at(index) = static_cast<unsigned char>(made >> (8 * (time_bytes - 1 - index)));
    }
    bytes[6] = static_cast<unsigned char>(0x70U | (random_high & 0x0fU));
    bytes[7] = static_cast<unsigned char>(random_high >> 8U);
    for (std::size_t index = 8; index < key_bytes; ++index) {
        bytes.at(index) = static_cast<unsigned char>(random_low >> (8 * (index - 8)));
    }
    bytes[8] = static_cast<unsigned char>(0x80U | (bytes[8] & 0x3fU));
    const std::string digits = to_hex({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    return digits.substr(0, 8) + "-" + digits.substr(8, 4) + "-" + digits.substr(12, 4) + "-" +
           digits.substr(16, 4) + "-" + digits.substr(20);
}

} // namespace waxwingfall
