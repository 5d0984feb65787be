#include "waxwingfall/support/digest.h"

#include <array>
#include <charconv>

#include <openssl/sha.h>

namespace waxwingfall {

namespace {

constexpr std::size_t digest_bytes = 16;

std::array<unsigned char, SHA256_DIGEST_LENGTH> sha256(std::string_view content) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> full{};
    SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(), full.data());
    return full;
}

} // namespace

std::string digest_of(std::string_view content) {
    const auto full = sha256(content);
    return {full.begin(), full.begin() + digest_bytes};
}

std::uint64_t stable_hash(std::string_view content) {
    constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
    constexpr std::uint64_t fnv_prime = 0x100000001b3U;
    std::uint64_t hash = fnv_offset;
    for (const char character : content) {
        hash = (hash ^ static_cast<unsigned char>(character)) * fnv_prime;
    }
    return mix_hash(hash, content.size());
}

std::uint64_t mix_hash(std::uint64_t left, std::uint64_t right) {
    // Applies the finalizer of SplitMix64 to the combination of both values.
    std::uint64_t value = left + 0x9e3779b97f4a7c15U * (right + 1);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::string to_hex(std::string_view bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

std::optional<std::string> from_hex(std::string_view digits) {
    constexpr int base = 16;
    if (digits.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(digits.size() / 2);
    for (std::size_t position = 0; position < digits.size(); position += 2) {
        unsigned char byte = 0;
        const char* const end = digits.data() + position + 2;
        const auto parsed = std::from_chars(digits.data() + position, end, byte, base);
        if (parsed.ec != std::errc{} || parsed.ptr != end) {
            return std::nullopt;
        }
        bytes += static_cast<char>(byte);
    }
    return bytes;
}

} // namespace waxwingfall
