#include "waxwingfall/call/crash_detector.h"

#include <utility>

namespace waxwingfall {

bool add_broken_request(crash_detector& state, std::uint64_t request) {
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
    finding.decided = std::exchange(state.broken, {});
    state.lost_probes = 0;
    return finding;
}

} // namespace waxwingfall
