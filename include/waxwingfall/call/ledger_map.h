#ifndef WAXWINGFALL_CALL_LEDGER_MAP_H
#define WAXWINGFALL_CALL_LEDGER_MAP_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfall/call/idempotency_key.h"
#include "waxwingfall/cluster/membership.h"

namespace waxwingfall {

/// The two nodes that keep the records of one shard. A claim is granted only once both have recorded it, so
/// neither can grant alone, and each of them has a record of every grant.
struct shard_owners {
    member_id primary = 0;
    member_id backup = 0;
    std::uint64_t epoch = 0; ///< incremented at every change of owners
    auto operator<=>(const shard_owners&) const = default;
};

/// The shards of one data centre.
struct ledger_data_centre {
    std::string data_centre;
    /// Only keys created at or after this time belong to its shards, so that adding a data centre doesn't
    /// move existing keys.
    wall_ms active_from = 0;
    std::vector<shard_owners> shards;
    auto operator<=>(const ledger_data_centre&) const = default;
};

/// Maps idempotency keys to shards and shards to their owners. It is stored in the platform, updated by
/// compare-and-swap, and distributed like a document; nodes adopt only higher versions.
struct ledger_map {
    std::uint64_t version = 0;
    std::vector<ledger_data_centre> data_centres; ///< append-only, since shard indexes run over all of them
    auto operator<=>(const ledger_map&) const = default;
};

/// Settings for planning the owners of shards.
struct ledger_map_policy {
    std::uint32_t shards_per_data_centre = 8;
    /// Both owners must have been dead this long before non-owners replace them.
    milliseconds takeover_delay{10000};
    /// The alive nodes of a data centre must have been in that state this long before it is added.
    milliseconds stable_time{2000};
    /// Time between adding a further data centre and the creation of the first key that belongs to it.
    milliseconds activation_delay{30000};
    /// The same while no data centre is active yet.
    milliseconds initial_activation_delay{5000};
    milliseconds majority_window{3600000};
    auto operator<=>(const ledger_map_policy&) const = default;
};

/// A shard with its data centre and owners.
struct shard_location {
    std::uint32_t index = 0; ///< over the shards of all data centres
    std::string data_centre;
    shard_owners owners;
    auto operator<=>(const shard_location&) const = default;
};

/// Returns the shard that `key` belongs to, or nothing if no data centre was active when the key was created.
std::optional<shard_location> find_owning_shard(const ledger_map& map, const idempotency_key& key);

/// Returns the next map if the local data centre has to be added or the owners of its shards should change. A
/// lost or leaving owner is replaced, and the remaining one becomes the primary. Non-owners replace both
/// owners only if both have been dead longer than the takeover delay and this node sees a majority of its
/// data centre; the new owners refuse every older key.
std::optional<ledger_map> plan_ledger_change(const ledger_map& map, const ledger_map_policy& policy,
                                             const membership& nodes, time_point now, wall_ms wall_now);

/// Returns true if `id` owns no shard, so that it can shut down without losing records.
bool owns_no_shard(const ledger_map& map, member_id id);

/// Conversions to and from the stored form. Bytes that don't parse decode to nothing.
std::string encode_ledger_map(const ledger_map& map);
std::optional<ledger_map> decode_ledger_map(std::string_view bytes);

} // namespace waxwingfall

#endif
