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

/// Validation and delta encoding of one kind of content. The functions are pure.
struct content_rules {
    /// Returns the reason why the content can't be enforced, or an empty string if it can.
    std::function<std::string(std::string_view)> validation_error;
    /// Returns a delta from the first content to the second, or nothing if none can be made.
    std::function<std::optional<std::string>(std::string_view, std::string_view)> make_delta;
    /// Applies the second argument, a delta, to its base, or returns nothing if it doesn't apply.
    std::function<std::optional<std::string>(std::string_view, std::string_view)> apply_delta;
};

/// Settings of content distribution.
struct distribution_policy {
    milliseconds pull_timeout{400}; ///< of a pull, before another source is asked
    milliseconds settle_time{300};  ///< after a start, during which content is collected and none is enforced
    bool use_deltas = true;         ///< false sends full contents only, as a baseline for measurements
    bool eager = true; ///< broadcast small deltas instead of version ids only: fewer round trips, more bytes
    std::size_t kept_contents = 4;      ///< earlier contents kept as bases for deltas
    std::size_t kept_bytes = 2'000'000; ///< limit of their total size
    auto operator<=>(const distribution_policy&) const = default;
};

/// Content with its version id.
struct versioned_content {
    version_id id;
    std::string bytes;
    auto operator<=>(const versioned_content&) const = default;
};

/// The version id of a content that this node refused to enforce, and the reason.
struct refused_content {
    version_id id;
    std::string reason;
    auto operator<=>(const refused_content&) const = default;
};

/// A pull that waits for its content.
struct pending_pull {
    version_id want;
    time_point sent;
    bool full = false;
};

/// The delta from which the held content was built. It is forwarded unchanged, because computing a delta is
/// the most expensive step of distribution.
struct received_delta {
    std::string base_digest;
    std::string bytes;
    auto operator<=>(const received_delta&) const = default;
};

/// A node's state for one kind of versioned content: the enforced content, the newest content that it can
/// send to peers (which it may have refused itself), and the version that it is fetching. `enforced` and
/// `held` only ever move to higher versions.
struct distribution {
    distribution_policy policy;
    content_rules rules;
    bool is_ledger = false; ///< value of the `ledger` field in this kind's messages
    versioned_content enforced;
    versioned_content held;
    std::optional<received_delta> held_delta;
    std::optional<refused_content> refused;
    version_id newest_known;
    std::deque<versioned_content> previous_contents;
    std::optional<pending_pull> pull;
    /// Addresses that announced `newest_known`; the next pull goes to the first.
    std::deque<std::string> sources;
    time_point settled_at;
    std::uint64_t conflicts = 0;    ///< version ids seen with the held version and another digest
    std::uint64_t bad_contents = 0; ///< contents whose digest differed from the announced one
};

/// What the caller has to do after a step. The caller selects the neighbours that a broadcast goes to.
struct distribution_effects {
    std::vector<outgoing> messages;
    bool broadcast = false; ///< send `broadcast_message` to the neighbours
    bool enforced = false;  ///< `enforced` has changed
    bool refused = false;   ///< content was refused
    bool conflict = false;  ///< two digests were seen under one version
};

/// Returns the empty state of a node that starts at `now`. Nothing is enforced before `now` plus the settle
/// time.
distribution start_distribution(const distribution_policy& policy, content_rules rules, bool is_ledger,
                                time_point now);

/// Records that version `id` exists and can be pulled from `source`, and pulls it if it is newer. An empty
/// source means the platform, whose reader fetches the content itself.
distribution_effects learn_version(distribution& state, const version_id& id, const std::string& source,
                                   time_point now);

/// Responds to a pull with a delta against the requested base, or with the full content if the delta is not
/// shorter or can't be made. Sends nothing if this node holds no version as new as the requested one.
distribution_effects handle_pull(const distribution& state, const wire::pull& pull,
                                 const std::string& reply_to);

/// Handles content from a peer: applies the delta if it is one, checks digest and rules, and enforces or
/// refuses the content as a unit. If the delta can't be applied or the digest differs, the content is pulled.
distribution_effects handle_content(distribution& state, const wire::content& content,
                                    const std::string& source, time_point now);

/// Applies full content, for example from the platform: checks digest and rules, and enforces or refuses it
/// as a unit.
distribution_effects apply_content(distribution& state, const versioned_content& content, time_point now);

/// Pulls from another source if a pull has timed out, and enforces the held content once the settle time is
/// over.
distribution_effects tick_distribution(distribution& state, time_point now);

/// Returns the message that announces the held content to a neighbour. With the eager policy it carries the
/// delta from the previously held content, if that is at most `max_eager_delta_bytes` long.
wire::frame broadcast_message(const distribution& state);

/// Convert version ids to and from the wire format.
wire::mark to_wire(const version_id& id);
version_id from_wire(const wire::mark& id);

} // namespace waxwingfall

#endif
