#include "waxwingfall/call/quarantine.h"

#include <algorithm>

namespace waxwingfall {

namespace {

void evict_old(quarantine& state, time_point now) {
    std::erase_if(state.records,
                  [&](const auto& entry) { return now - entry.second.last_crash > state.policy.retention; });
    while (state.records.size() >= state.policy.max_fingerprints) {
        const auto oldest = std::min_element(state.records.begin(), state.records.end(),
                                             [](const auto& left, const auto& right) {
                                                 return left.second.last_crash < right.second.last_crash;
                                             });
        state.records.erase(oldest);
    }
}

} // namespace

bool record_crash(quarantine& state, const std::string& fingerprint, member_id worker, time_point now) {
    if (!state.records.contains(fingerprint)) {
        evict_old(state, now);
    }
    crash_record& record = state.records[fingerprint];
    record.last_crash = now;
    return record.workers.insert(worker).second;
}

bool is_quarantined(const quarantine& state, const std::string& fingerprint, time_point now) {
    return crash_count(state, fingerprint, now) >= state.policy.crashes_to_refuse;
}

std::size_t crash_count(const quarantine& state, const std::string& fingerprint, time_point now) {
    const auto known = state.records.find(fingerprint);
    const bool remembered =
        known != state.records.end() && now - known->second.last_crash <= state.policy.retention;
    return remembered ? known->second.workers.size() : 0;
}

} // namespace waxwingfall
