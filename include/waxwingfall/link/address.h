#ifndef WAXWINGFALL_LINK_ADDRESS_H
#define WAXWINGFALL_LINK_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingfall {

/// An IPv4 address and a TCP port. Names are never looked up.
struct ip_address {
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const ip_address&) const = default;
};

/// Reads "IP:PORT" with a port from 1 to 65535. Returns nothing for anything else.
std::optional<ip_address> parse_address(std::string_view text);

} // namespace waxwingfall

#endif
