#ifndef WAXWINGFALL_STORE_LEFT_WORKER_H
#define WAXWINGFALL_STORE_LEFT_WORKER_H

#include <optional>
#include <string>
#include <string_view>

#include "waxwingfall/contract/worker_report.h"

namespace waxwingfall {

/// The key under which a node records the last leave that it has acknowledged.
std::string left_worker_key(const std::string& environment, const std::string& node);

/// Conversions to and from the stored form. Decoding returns nothing for bytes that are no such record.
std::string encode_left_worker(const left_worker& left);
std::optional<left_worker> decode_left_worker(std::string_view bytes);

} // namespace waxwingfall

#endif
