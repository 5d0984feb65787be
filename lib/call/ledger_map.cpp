#include "waxwingfall/call/ledger_map.h"

#include <algorithm>

#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

enum class owner_state { serving, leaving, uncertain, lost };

owner_state state_of(const membership& nodes, member_id id, const std::string& data_centre) {
    const auto known = nodes.members.find(id);
    if (id == 0 || known == nodes.members.end() || known->second.data_centre != data_centre) {
        return owner_state::lost;
    }
    switch (known->second.state) {
    case member_state::alive:
        return owner_state::serving;
    case member_state::leaving:
        return owner_state::leaving;
    case member_state::suspect:
        return owner_state::uncertain;
    case member_state::dead:
        return owner_state::lost;
    }
    return owner_state::uncertain;
}

std::vector<member_id> alive_in(const membership& nodes, const std::string& data_centre) {
    std::vector<member_id> found;
    for (const auto& [id, record] : nodes.members) {
        if (record.data_centre == data_centre && record.state == member_state::alive) {
            found.push_back(id);
        }
    }
    return found;
}

std::vector<member_id> best_owners(const membership& nodes, const std::string& data_centre,
                                   std::size_t shard) {
    return rendezvous_top(alive_in(nodes, data_centre), data_centre + "#" + std::to_string(shard), 3);
}

/// The best owner that is not `other`, or 0 if there is none.
member_id replacement(const membership& nodes, const std::string& data_centre, std::size_t shard,
                      member_id other) {
    for (const member_id candidate : best_owners(nodes, data_centre, shard)) {
        if (candidate != other) {
            return candidate;
        }
    }
    return 0;
}

bool long_dead(const membership& nodes, member_id id, time_point now, milliseconds delay) {
    const auto since = nodes.state_since.find(id);
    return since == nodes.state_since.end() || now - since->second > delay;
}

std::optional<shard_owners> plan_shard(const shard_owners& owners, const std::string& data_centre,
                                       std::size_t shard, const ledger_map_policy& policy,
                                       const membership& nodes, time_point now) {
    const owner_state primary = state_of(nodes, owners.primary, data_centre);
    const owner_state backup = state_of(nodes, owners.backup, data_centre);
    const bool primary_goes = primary == owner_state::lost || primary == owner_state::leaving;
    const bool backup_goes = backup == owner_state::lost || backup == owner_state::leaving;
    shard_owners next = owners;
    next.epoch += 1;
    if (!primary_goes && !backup_goes) {
        return std::nullopt;
    }
    if (primary == owner_state::lost && backup == owner_state::lost) {
        const auto fresh = best_owners(nodes, data_centre, shard);
        const bool certain = long_dead(nodes, owners.primary, now, policy.takeover_delay) &&
                             long_dead(nodes, owners.backup, now, policy.takeover_delay);
        if (fresh.size() < 2 || !certain || !sees_majority(nodes, now, policy.majority_window)) {
            return std::nullopt;
        }
        next.primary = fresh[0];
        next.backup = fresh[1];
        return next;
    }
    // The survivor knows every grant, so it becomes the primary. A leaving owner can still hand over.
    const bool keep_primary = primary != owner_state::lost && (!primary_goes || backup == owner_state::lost);
    next.primary = keep_primary ? owners.primary : owners.backup;
    next.backup = replacement(nodes, data_centre, shard, next.primary);
    if (next.backup == 0 || (next.primary == owners.primary && next.backup == owners.backup)) {
        return std::nullopt;
    }
    return next;
}

std::optional<ledger_zone> plan_zone(const ledger_map& map, const ledger_map_policy& policy,
                                     const membership& nodes, time_point now, wall_ms wall_now) {
    const std::string& data_centre = nodes.self.data_centre;
    const auto alive = alive_in(nodes, data_centre);
    const bool stable = std::all_of(alive.begin(), alive.end(), [&](member_id id) {
        return now - nodes.state_since.at(id) > policy.stable_time;
    });
    if (alive.size() < 2 || !stable) {
        return std::nullopt;
    }
    ledger_zone zone;
    zone.data_centre = data_centre;
    // While no key has a home yet, the first data centres may start at once.
    const bool anything_lives = std::any_of(map.zones.begin(), map.zones.end(),
                                            [&](const ledger_zone& other) { return other.born <= wall_now; });
    zone.born = wall_now + static_cast<wall_ms>(anything_lives ? policy.zone_activation.count()
                                                               : policy.birth_delay.count());
    for (std::uint32_t shard = 0; shard < policy.shards_per_zone; ++shard) {
        const auto owners = best_owners(nodes, data_centre, shard);
        zone.shards.push_back({owners[0], owners[1], 1});
    }
    return zone;
}

} // namespace

std::optional<shard_place> home_of(const ledger_map& map, const idempotency_key& key) {
    const std::uint64_t hash = stable_hash(key.bytes);
    const ledger_zone* best = nullptr;
    std::uint64_t best_weight = 0;
    std::uint32_t first_index = 0;
    std::uint32_t best_first = 0;
    for (const ledger_zone& zone : map.zones) {
        const std::uint64_t weight = mix_hash(stable_hash(zone.data_centre), hash);
        if (zone.born <= key.made && !zone.shards.empty() && (best == nullptr || weight > best_weight)) {
            best = &zone;
            best_weight = weight;
            best_first = first_index;
        }
        first_index += static_cast<std::uint32_t>(zone.shards.size());
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto shard = static_cast<std::uint32_t>(hash % best->shards.size());
    return shard_place{best_first + shard, best->data_centre, best->shards[shard]};
}

std::optional<ledger_map> plan_ledger_change(const ledger_map& map, const ledger_map_policy& policy,
                                             const membership& nodes, time_point now, wall_ms wall_now) {
    ledger_map next = map;
    next.version += 1;
    const std::string& data_centre = nodes.self.data_centre;
    const auto own = std::find_if(next.zones.begin(), next.zones.end(),
                                  [&](const ledger_zone& zone) { return zone.data_centre == data_centre; });
    if (own == next.zones.end()) {
        auto zone = plan_zone(map, policy, nodes, now, wall_now);
        if (!zone) {
            return std::nullopt;
        }
        next.zones.push_back(std::move(*zone));
        return next;
    }
    bool changed = false;
    for (std::size_t shard = 0; shard < own->shards.size(); ++shard) {
        const auto owners = plan_shard(own->shards[shard], data_centre, shard, policy, nodes, now);
        if (owners) {
            own->shards[shard] = *owners;
            changed = true;
        }
    }
    return changed ? std::optional(next) : std::nullopt;
}

bool owns_nothing(const ledger_map& map, member_id id) {
    return std::all_of(map.zones.begin(), map.zones.end(), [&](const ledger_zone& zone) {
        return std::all_of(zone.shards.begin(), zone.shards.end(), [&](const shard_owners& owners) {
            return owners.primary != id && owners.backup != id;
        });
    });
}

std::string encode_ledger_map(const ledger_map& map) {
    wire::ledger_map out;
    out.set_version(map.version);
    for (const ledger_zone& zone : map.zones) {
        wire::ledger_zone& written = *out.add_zones();
        written.set_data_centre(zone.data_centre);
        written.set_born_ms(zone.born);
        for (const shard_owners& owners : zone.shards) {
            wire::shard_owners& shard = *written.add_shards();
            shard.set_primary(owners.primary);
            shard.set_backup(owners.backup);
            shard.set_epoch(owners.epoch);
        }
    }
    return out.SerializeAsString();
}

std::optional<ledger_map> decode_ledger_map(std::string_view bytes) {
    wire::ledger_map in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    ledger_map map;
    map.version = in.version();
    for (const wire::ledger_zone& written : in.zones()) {
        ledger_zone zone{written.data_centre(), written.born_ms(), {}};
        for (const wire::shard_owners& shard : written.shards()) {
            zone.shards.push_back({shard.primary(), shard.backup(), shard.epoch()});
        }
        map.zones.push_back(std::move(zone));
    }
    return map;
}

} // namespace waxwingfall
