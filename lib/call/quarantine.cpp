#include "waxwingfall/call/quarantine.h"

#include <algorithm>

namespace waxwingfall {

namespace {

void forget_old(quarantine& state, time_point now) {
    std::erase_if(state.suspects,
                  [&](const auto& entry) { return now - entry.second.last > state.policy.memory; });
    while (state.suspects.size() >= state.policy.max_fingerprints) {
        const auto oldest = std::min_element(
            state.suspects.begin(), state.suspects.end(),
            [](const auto& left, const auto& right) { return left.second.last < right.second.last; });
        state.suspects.erase(oldest);
    }
}

} // namespace

bool note_crash(quarantine& state, const std::string& fingerprint, member_id worker, time_point now) {
    if (!state.suspects.contains(fingerprint)) {
        forget_old(state, now);
    }
    crash_record& record = state.suspects[fingerprint];
    record.last = now;
    return record.workers.insert(worker).second;
}

bool is_quarantined(const quarantine& state, const std::string& fingerprint, time_point now) {
    return crashes_of(state, fingerprint, now) >= state.policy.crashes_to_refuse;
}

std::size_t crashes_of(const quarantine& state, const std::string& fingerprint, time_point now) {
    const auto known = state.suspects.find(fingerprint);
    const bool remembered = known != state.suspects.end() && now - known->second.last <= state.policy.memory;
    return remembered ? known->second.workers.size() : 0;
}

} // namespace waxwingfall
