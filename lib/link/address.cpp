#include "waxwingfall/link/address.h"

#include <charconv>

#include <arpa/inet.h>

namespace waxwingfall {

std::string translate(const std::vector<address_translation>& translations, const std::string& address) {
    for (const address_translation& translation : translations) {
        if (address.starts_with(translation.from)) {
            return translation.to + address.substr(translation.from.size());
        }
    }
    return address;
}

std::optional<ip_address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    ip_address address;
    address.host = std::string(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    const auto result = std::from_chars(port.data(), port.data() + port.size(), address.port);
    in_addr parsed{};
    const bool port_is_valid =
        result.ec == std::errc{} && result.ptr == port.data() + port.size() && address.port > 0;
    if (!port_is_valid || inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    return address;
}

std::string to_string(const ip_address& address) {
    return address.host + ":" + std::to_string(address.port);
}

} // namespace waxwingfall
