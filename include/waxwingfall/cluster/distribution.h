#ifndef WAXWINGFALL_CLUSTER_DISTRIBUTION_H
#define WAXWINGFALL_CLUSTER_DISTRIBUTION_H

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/cluster/member.h"
#include "waxwingfall/contract/snapshot.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// How content of one kind is checked and shortened. The functions are pure.
struct content_rules {
    /// The reason why content may not be enforced, or an empty text.
    std::function<std::string(std::string_view)> why_refused;
    /// A delta between two contents, or nothing if there is none.
    std::function<std::optional<std::string>(std::string_view, std::string_view)> make_delta;
    /// The content that a delta leads to, or nothing.
    std::function<std::optional<std::string>(std::string_view, std::string_view)> apply_delta;
};

/// Settings of distribution.
struct distribution_policy {
    milliseconds pull_timeout{400}; ///< until another source is asked
    milliseconds settle_time{
        300};               ///< after a start, for which answers are collected before anything is enforced
    bool use_deltas = true; ///< off sends whole content, the baseline of the measurements
    bool eager = true; ///< send content with the news instead of only its mark: fewer round trips, more bytes
    std::size_t kept_contents = 4; ///< as bases for deltas
    std::size_t kept_bytes = 2'000'000;
    auto operator<=>(const distribution_policy&) const = default;
};

/// Content under its mark.
struct marked_content {
    version_mark mark;
    std::string bytes;
    auto operator<=>(const marked_content&) const = default;
};

/// Content that this node refused whole, and why.
struct refused_content {
    version_mark mark;
    std::string reason;
    auto operator<=>(const refused_content&) const = default;
};

/// A pull that waits for content.
struct pending_pull {
    version_mark want;
    time_point sent;
    bool whole = false;
};

/// The delta by which the held content came, to be passed on as it is: making it anew costs more than all
/// else.
struct received_delta {
    std::string base_digest;
    std::string bytes;
    auto operator<=>(const received_delta&) const = default;
};

/// What a node holds of one kind of versioned content: the part in force, the newest part that it can hand on
/// (which it may have refused), and what it is fetching. `enforced` and `held` only ever move to higher
/// versions.
struct distribution {
    distribution_policy policy;
    content_rules rules;
    bool is_ledger = false; ///< marks this kind's messages
    marked_content enforced;
    marked_content held;
    std::optional<received_delta> held_by;
    std::optional<refused_content> refused;
    version_mark newest_known;
    std::deque<marked_content> former;
    std::optional<pending_pull> pull;
    std::deque<std::string> sources; ///< addresses that announced `newest_known`, the latest first
    time_point settled_at;
    std::uint64_t conflicts = 0;    ///< marks seen with a held version and another digest
    std::uint64_t bad_contents = 0; ///< contents that did not have the announced digest
};

/// What a step asks for. `spread` holds marks or contents for every neighbour; the caller knows who they are.
struct distribution_effects {
    std::vector<outgoing> messages;
    bool spread = false;   ///< tell the neighbours of the newest held mark
    bool enforced = false; ///< `enforced` has moved
    bool refused = false;  ///< content was refused whole
    bool conflict = false; ///< two contents under one version were seen
};

/// A node's empty state at its start. Nothing is enforced before `now` plus the settle time.
distribution start_distribution(const distribution_policy& policy, content_rules rules, bool is_ledger,
                                time_point now);

/// Takes in the news that `mark` exists and can be had at `source`; an empty source means the platform, whose
/// reader fetches the content itself.
distribution_effects learn_mark(distribution& state, const version_mark& mark, const std::string& source,
                                time_point now);

/// Answers a pull with a delta against the puller's base, or with the whole if that is shorter or the base is
/// not kept.
distribution_effects handle_pull(const distribution& state, const wire::pull& pull,
                                 const std::string& reply_to);

/// Takes in content from a peer: applies a delta, checks digest and rules, then enforces or refuses it whole.
distribution_effects handle_content(distribution& state, const wire::content& content,
                                    const std::string& source, time_point now);

/// Takes in whole content that was read from the platform.
distribution_effects take_content(distribution& state, const marked_content& content, time_point now);

/// Asks another source if a pull has waited too long, and enforces what was held back at the start.
distribution_effects tick_distribution(distribution& state, time_point now);

/// The message that tells a neighbour of the newest held content. With the eager policy it carries the delta
/// from the content held before, if that is at most `eager_bytes` long.
wire::frame spread_message(const distribution& state);

/// Conversions of marks to and from the message form.
wire::mark to_wire(const version_mark& mark);
version_mark from_wire(const wire::mark& mark);

} // namespace waxwingfall

#endif
