#include "waxwingfall/call/crash_detector.h"

#include <algorithm>
#include <utility>

namespace waxwingfall {

bool add_broken_request(crash_detector& state, std::uint64_t request, time_point now) {
    state.broken_at.push_back(now);
    state.broken.push_back(request);
    return state.broken.size() == 1;
}

crash_finding apply_probe_result(crash_detector& state, probe_result result) {
    crash_finding finding;
    if (state.broken.empty()) {
        return finding;
    }
    if (result == probe_result::lost && ++state.lost_probes < state.policy.max_lost_probes) {
        finding.probe_after = state.policy.probe_interval;
        return finding;
    }
    finding.crashed = result != probe_result::responded;
    state.broken_at.clear();
    finding.decided = std::exchange(state.broken, {});
    state.lost_probes = 0;
    return finding;
}

bool is_crash_evidence(bool crashed, bool leaving) {
    return crashed && !leaving;
}

crash_finding apply_sign_of_life(crash_detector& state, time_point sent_at, time_point now) {
    crash_finding finding;
    const auto undecided = std::find_if(state.broken_at.begin(), state.broken_at.end(), [&](time_point at) {
        return sent_at >= at || now - at < state.policy.settle_time;
    });
    const auto decided = undecided - state.broken_at.begin();
    if (decided == 0) {
        return finding;
    }
    finding.decided.assign(state.broken.begin(), state.broken.begin() + decided);
    state.broken.erase(state.broken.begin(), state.broken.begin() + decided);
    state.broken_at.erase(state.broken_at.begin(), undecided);
    state.lost_probes = 0;
    return finding;
}

} // namespace waxwingfall
