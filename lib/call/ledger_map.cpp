#include "waxwingfall/call/ledger_map.h"

#include <algorithm>

#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

enum class owner_state { serving, leaving, suspect, lost };

owner_state owner_state_of(const membership& nodes, member_id id, const std::string& data_centre) {
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
        return owner_state::suspect;
    case member_state::dead:
        return owner_state::lost;
    }
    return owner_state::suspect;
}

std::vector<member_id> alive_in(const membership& nodes, const std::string& data_centre) {
    std::vector<member_id> ids;
    for (const auto& [id, record] : nodes.members) {
        if (record.data_centre == data_centre && record.state == member_state::alive) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<member_id> best_owners(const membership& nodes, const std::string& data_centre,
                                   std::size_t shard) {
    return rendezvous_top(alive_in(nodes, data_centre), data_centre + "#" + std::to_string(shard), 3);
}

/// Returns the highest-ranked candidate other than `other`, or 0 if there is none.
member_id replacement(const membership& nodes, const std::string& data_centre, std::size_t shard,
                      member_id other) {
    for (const member_id candidate : best_owners(nodes, data_centre, shard)) {
        if (candidate != other) {
            return candidate;
        }
    }
    return 0;
}

bool dead_longer_than(const membership& nodes, member_id id, time_point now, milliseconds delay) {
    const auto since = nodes.state_since.find(id);
    return since == nodes.state_since.end() || now - since->second > delay;
}

std::optional<shard_owners> plan_shard(const shard_owners& owners, const std::string& data_centre,
                                       std::size_t shard, const ledger_map_policy& policy,
                                       const membership& nodes, time_point now) {
    const owner_state primary = owner_state_of(nodes, owners.primary, data_centre);
    const owner_state backup = owner_state_of(nodes, owners.backup, data_centre);
    const bool replace_primary = primary == owner_state::lost || primary == owner_state::leaving;
    const bool replace_backup = backup == owner_state::lost || backup == owner_state::leaving;
    shard_owners next = owners;
    next.epoch += 1;
    if (!replace_primary && !replace_backup) {
        return std::nullopt;
    }
    if (primary == owner_state::lost && backup == owner_state::lost) {
        const auto candidates = best_owners(nodes, data_centre, shard);
        const bool takeover_due = dead_longer_than(nodes, owners.primary, now, policy.takeover_delay) &&
                                  dead_longer_than(nodes, owners.backup, now, policy.takeover_delay);
        if (candidates.size() < 2 || !takeover_due || !sees_majority(nodes, now, policy.majority_window)) {
            return std::nullopt;
        }
        next.primary = candidates[0];
        next.backup = candidates[1];
        return next;
    }
    // The surviving owner has a record of every grant, so it becomes the primary. A leaving owner can still
    // transfer its records.
    const bool keep_primary =
        primary != owner_state::lost && (!replace_primary || backup == owner_state::lost);
    next.primary = keep_primary ? owners.primary : owners.backup;
    next.backup = replacement(nodes, data_centre, shard, next.primary);
    if (next.backup == 0 || (next.primary == owners.primary && next.backup == owners.backup)) {
        return std::nullopt;
    }
    return next;
}

std::optional<ledger_data_centre> plan_data_centre(const ledger_map& map, const ledger_map_policy& policy,
                                                   const membership& nodes, time_point now,
                                                   wall_ms wall_now) {
    const std::string& data_centre = nodes.self.data_centre;
    const auto alive = alive_in(nodes, data_centre);
    const bool stable = std::all_of(alive.begin(), alive.end(), [&](member_id id) {
        return now - nodes.state_since.at(id) > policy.stable_time;
    });
    if (alive.size() < 2 || !stable) {
        return std::nullopt;
    }
    ledger_data_centre entry;
    entry.data_centre = data_centre;
    // While no data centre is active, no key has an owning shard yet, so the first ones may become active
    // early.
    const bool any_active =
        std::any_of(map.data_centres.begin(), map.data_centres.end(),
                    [&](const ledger_data_centre& other) { return other.active_from <= wall_now; });
    entry.active_from = wall_now + static_cast<wall_ms>(any_active ? policy.activation_delay.count()
                                                                   : policy.initial_activation_delay.count());
    for (std::uint32_t shard = 0; shard < policy.shards_per_data_centre; ++shard) {
        const auto owners = best_owners(nodes, data_centre, shard);
        entry.shards.push_back({owners[0], owners[1], 1});
    }
    return entry;
}

} // namespace

std::optional<shard_location> find_owning_shard(const ledger_map& map, const idempotency_key& key) {
    const std::uint64_t hash = stable_hash(key.bytes);
    const ledger_data_centre* best = nullptr;
    std::uint64_t best_weight = 0;
    std::uint32_t first_index = 0;
    std::uint32_t best_first = 0;
    for (const ledger_data_centre& entry : map.data_centres) {
        const std::uint64_t weight = mix_hash(stable_hash(entry.data_centre), hash);
        if (entry.active_from <= key.created_at && !entry.shards.empty() &&
            (best == nullptr || weight > best_weight)) {
            best = &entry;
            best_weight = weight;
            best_first = first_index;
        }
        first_index += static_cast<std::uint32_t>(entry.shards.size());
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto shard = static_cast<std::uint32_t>(hash % best->shards.size());
    return shard_location{best_first + shard, best->data_centre, best->shards[shard]};
}

std::optional<ledger_map> plan_ledger_change(const ledger_map& map, const ledger_map_policy& policy,
                                             const membership& nodes, time_point now, wall_ms wall_now) {
    ledger_map next = map;
    next.version += 1;
    const std::string& data_centre = nodes.self.data_centre;
    const auto local =
        std::find_if(next.data_centres.begin(), next.data_centres.end(),
                     [&](const ledger_data_centre& entry) { return entry.data_centre == data_centre; });
    if (local == next.data_centres.end()) {
        auto entry = plan_data_centre(map, policy, nodes, now, wall_now);
        if (!entry) {
            return std::nullopt;
        }
        next.data_centres.push_back(std::move(*entry));
        return next;
    }
    bool changed = false;
    for (std::size_t shard = 0; shard < local->shards.size(); ++shard) {
        const auto owners = plan_shard(local->shards[shard], data_centre, shard, policy, nodes, now);
        if (owners) {
            local->shards[shard] = *owners;
            changed = true;
        }
    }
    return changed ? std::optional(next) : std::nullopt;
}

bool owns_no_shard(const ledger_map& map, member_id id) {
    return std::all_of(
        map.data_centres.begin(), map.data_centres.end(), [&](const ledger_data_centre& entry) {
            return std::all_of(entry.shards.begin(), entry.shards.end(), [&](const shard_owners& owners) {
                return owners.primary != id && owners.backup != id;
            });
        });
}

std::string encode_ledger_map(const ledger_map& map) {
    wire::ledger_map out;
    out.set_version(map.version);
    for (const ledger_data_centre& entry : map.data_centres) {
        wire::ledger_zone& out_entry = *out.add_zones();
        out_entry.set_data_centre(entry.data_centre);
        out_entry.set_born_ms(entry.active_from);
        for (const shard_owners& owners : entry.shards) {
            wire::shard_owners& shard = *out_entry.add_shards();
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
    for (const wire::ledger_zone& in_entry : in.zones()) {
        ledger_data_centre entry{in_entry.data_centre(), in_entry.born_ms(), {}};
        if (in_entry.shards().empty()) {
            return std::nullopt;
        }
        for (const wire::shard_owners& shard : in_entry.shards()) {
            entry.shards.push_back({shard.primary(), shard.backup(), shard.epoch()});
        }
        map.data_centres.push_back(std::move(entry));
    }
    return map;
}

} // namespace waxwingfall
