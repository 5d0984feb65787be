#ifndef WAXWINGFALL_CLUSTER_LOOK_PLAN_H
#define WAXWINGFALL_CLUSTER_LOOK_PLAN_H

#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// What bears on when a node looks for itself whether the platform holds a newer configuration.
struct look_question {
    bool reads_for_others = false;  ///< it is a bridge: its peers learn of versions through it
    time_point spacing_ends;        ///< after its last look
    time_point learned;             ///< when it last took a newer version, from whatever source
    bool was_told_by_peers = false; ///< of a version that is newer than the one it saw itself
    auto operator<=>(const look_question&) const = default;
};

/// When to look, and how.
struct look_plan {
    time_point at;
    /// Reads what is in force now; a watch would return every version since the last look.
    bool reads_current = false;
    auto operator<=>(const look_plan&) const = default;
};

/// Plans a node's next look. Answers storms of large configurations: each look brings whole contents over a
/// small link, while peers pass on deltas. As long as peers keep telling of newer versions, a node that
/// nobody depends on does not look; `longest_look_wait` after they stop at the latest, it does.
look_plan plan_look(const look_question& question);

/// Mean time between the end of a look and the next one.
milliseconds look_spacing(bool reads_for_others);

/// The longest time between a version that peers do not pass on and the look that finds it.
milliseconds longest_look_wait();

} // namespace waxwingfall

#endif
