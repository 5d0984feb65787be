#include "waxwingfall/cluster/seed_plan.h"

namespace waxwingfall {

namespace {

/// Several attempts to join, with their backoff of 0.2 s that doubles; a fifth of the shortest time in which
/// a deployment has to serve again after the loss of all nodes (15 s).
constexpr milliseconds join_patience{3000};

} // namespace

bool acts_as_bridge(const seed_question& question) {
    if (question.joined) {
        return true;
    }
    if (question.looks == 0) {
        return false;
    }
    return !question.found_others || question.since_found >= join_patience;
}

} // namespace waxwingfall
