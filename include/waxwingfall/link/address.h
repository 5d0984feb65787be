#ifndef WAXWINGFALL_LINK_ADDRESS_H
#define WAXWINGFALL_LINK_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingfall {

/// An IPv4 address and a TCP port. Names are never looked up.
struct ip_address {
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const ip_address&) const = default;
};

/// "HOST:PORT", as `parse_address` reads it.
std::string to_string(const ip_address& address);

/// How addresses of another data centre are reached from this one, where they are translated on the way: an
/// address that starts with `from` starts with `to` instead.
struct address_translation {
    std::string from;
    std::string to;
    auto operator<=>(const address_translation&) const = default;
};

/// The address to use for `address`, by the first translation that applies.
std::string translate(const std::vector<address_translation>& translations, const std::string& address);

/// Reads "IP:PORT" with a port from 1 to 65535. Returns nothing for anything else.
std::optional<ip_address> parse_address(std::string_view text);

} // namespace waxwingfall

#endif
