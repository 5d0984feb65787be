#ifndef WAXWINGFALL_STORE_LEFT_WORKER_H
#define WAXWINGFALL_STORE_LEFT_WORKER_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingfall {

/// A worker whose leave a node has acknowledged.
struct left_worker {
    std::string worker_id;
    std::uint64_t incarnation = 0; ///< start time of the worker in Unix milliseconds; 0 if unknown
    auto operator<=>(const left_worker&) const = default;
};

/// The key under which a node records the last leave that it has acknowledged.
std::string left_worker_key(const std::string& environment, const std::string& node);

/// Conversions to and from the stored form. Decoding returns nothing for bytes that are no such record.
std::string encode_left_worker(const left_worker& left);
std::optional<left_worker> decode_left_worker(std::string_view bytes);

} // namespace waxwingfall

#endif
