#include "waxwingfall/cluster/bridge_activation.h"

namespace waxwingfall {

namespace {

/// Long enough for several join attempts, whose backoff starts at 0.2 s and doubles. A fifth of the shortest
/// time within which a deployment has to serve again after the loss of all nodes (15 s).
constexpr milliseconds join_timeout{3000};

} // namespace

bool acts_as_bridge(const bridge_activation_inputs& inputs) {
    if (inputs.joined) {
        return true;
    }
    if (inputs.answered_polls == 0) {
        return false;
    }
    return !inputs.found_contacts || inputs.since_found >= join_timeout;
}

} // namespace waxwingfall
