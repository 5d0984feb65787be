#ifndef WAXWINGFALL_NODE_RELOAD_H
#define WAXWINGFALL_NODE_RELOAD_H

#include <string>
#include <vector>

#include "waxwingfall/node/settings.h"

namespace waxwingfall {

/// What a changed settings file means for a running node.
struct reload_plan {
    node_settings merged;                    ///< what holds from now on
    std::vector<std::string> applied;        ///< keys that change at once
    std::vector<std::string> wait_for_start; ///< keys that changed and hold from the next start
    auto operator<=>(const reload_plan&) const = default;
};

/// Compares the settings that hold with those just read. Limits, budgets and the platform's address change at
/// once. The name, the addresses that are bound and the worker hold until the next start.
reload_plan plan_reload(const node_settings& current, const node_settings& fresh);

} // namespace waxwingfall

#endif
