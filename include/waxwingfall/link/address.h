#ifndef WAXWINGFALL_LINK_ADDRESS_H
#define WAXWINGFALL_LINK_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingfall {

/// An IPv4 address and a TCP port. Host names are not resolved.
struct ip_address {
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const ip_address&) const = default;
};

/// Formats an address as "IP:PORT", the form that `parse_address` accepts.
std::string to_string(const ip_address& address);

/// A prefix rewrite for addresses of another data centre, for networks that translate addresses between data
/// centres: the prefix `from` is replaced by `to`.
struct address_translation {
    std::string from;
    std::string to;
    auto operator<=>(const address_translation&) const = default;
};

/// Applies the first translation whose prefix matches; returns `address` unchanged if none matches.
std::string translate(const std::vector<address_translation>& translations, const std::string& address);

/// Parses "IP:PORT" with a port from 1 to 65535. Returns std::nullopt for any other text.
std::optional<ip_address> parse_address(std::string_view text);

} // namespace waxwingfall

#endif
