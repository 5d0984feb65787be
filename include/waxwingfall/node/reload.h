#ifndef WAXWINGFALL_NODE_RELOAD_H
#define WAXWINGFALL_NODE_RELOAD_H

#include <string>
#include <vector>

#include "waxwingfall/proxy/settings.h"

namespace waxwingfall {

/// The effect of a changed settings file on a running node.
struct reload_plan {
    node_settings merged;                   ///< the settings to use from now on
    std::vector<std::string> applied;       ///< changed keys that take effect immediately
    std::vector<std::string> needs_restart; ///< changed keys that take effect at the next start
    auto operator<=>(const reload_plan&) const = default;
};

/// Compares the current settings with those just read. The worker's service, the drain and shutdown times,
/// the retry limits, the pace and the platform address take effect immediately, all else at the next start.
/// Each changed setting is named in one of the two lists.
reload_plan plan_reload(const node_settings& current, const node_settings& updated);

} // namespace waxwingfall

#endif
