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

/// The two nodes that keep the records of one shard. A claim is granted only when both have recorded it, so
/// neither can grant alone, and either alone knows every grant.
struct shard_owners {
    member_id primary = 0;
    member_id backup = 0;
    std::uint64_t epoch = 0; ///< grows with every change of owners
    auto operator<=>(const shard_owners&) const = default;
};

/// The shards that live in one data centre.
struct ledger_zone {
    std::string data_centre;
    wall_ms born =
        0; ///< only keys made later have their home here, so that adding a data centre moves no older key
    std::vector<shard_owners> shards;
    auto operator<=>(const ledger_zone&) const = default;
};

/// Who keeps the record of which idempotency key. Kept in the platform, moved by compare-and-swap, and spread
/// like a document; nodes only ever move to higher versions.
struct ledger_map {
    std::uint64_t version = 0;
    std::vector<ledger_zone> zones; ///< only ever appended to
    auto operator<=>(const ledger_map&) const = default;
};

/// Settings of the planning of owners.
struct ledger_map_policy {
    std::uint32_t shards_per_zone = 8;
    milliseconds takeover_delay{
        10000};                     ///< both owners must be dead for so long before strangers replace them
    milliseconds stable_time{2000}; ///< the data centre's nodes must be known for so long before it is added
    milliseconds zone_activation{
        30000}; ///< between adding a further data centre and the first key that lives there
    milliseconds birth_delay{5000}; ///< the same while no key has a home yet
    milliseconds majority_window{3600000};
    auto operator<=>(const ledger_map_policy&) const = default;
};

/// The place of a shard: zone and shard number as one index.
struct shard_place {
    std::uint32_t index = 0;
    std::string data_centre;
    shard_owners owners;
    auto operator<=>(const shard_place&) const = default;
};

/// The shard that `key` lives in, or nothing if no data centre was born before the key was made.
std::optional<shard_place> home_of(const ledger_map& map, const idempotency_key& key);

/// The next map, if the owners of this data centre's shards should change: a lost or leaving owner is
/// replaced, the survivor becoming primary. Strangers replace both owners only if both have long been dead
/// and this node sees a majority of its data centre; they will doubt every older key.
std::optional<ledger_map> plan_ledger_change(const ledger_map& map, const ledger_map_policy& policy,
                                             const membership& nodes, time_point now, wall_ms wall_now);

/// True if `id` owns no shard, so that it may leave without a loss of records.
bool owns_nothing(const ledger_map& map, member_id id);

/// Conversions to and from the stored form. Damaged bytes read as nothing.
std::string encode_ledger_map(const ledger_map& map);
std::optional<ledger_map> decode_ledger_map(std::string_view bytes);

} // namespace waxwingfall

#endif
