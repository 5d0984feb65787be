#ifndef WAXWINGFALL_LIB_CONTRACT_RULES_H
#define WAXWINGFALL_LIB_CONTRACT_RULES_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfall/contract/document.h"

namespace waxwingfall {

/// A violation of a semantic rule: the index of the service, route or customer concerned, and the fault.
struct violation {
    enum class subject_kind { service, route, customer };
    subject_kind subject = subject_kind::service;
    std::size_t index = 0;
    error_kind kind = error_kind::out_of_range;
    std::string message;
};

/// Returns all violations of the semantic rules of a contract: undefined references, dependency cycles,
/// overlapping routes, keys that two customers share, invalid names, and values out of range.
std::vector<violation> find_violations(const contract& content);

inline constexpr std::uint32_t min_timeout_ms = 10;
inline constexpr std::uint32_t max_timeout_ms = 600'000;
inline constexpr std::uint32_t max_attempts_limit = 5;
inline constexpr std::uint32_t max_route_attempts = 16;
inline constexpr std::uint32_t max_retry_budget_percent = 100;
inline constexpr std::uint32_t max_in_flight = 10'000;
inline constexpr std::uint32_t max_queue = 10'000;

} // namespace waxwingfall

#endif
