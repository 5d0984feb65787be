#ifndef WAXWINGFALL_CALL_LEDGER_H
#define WAXWINGFALL_CALL_LEDGER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/call/ledger_map.h"
#include "waxwingfall/cluster/membership.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// What is recorded of the request with a key.
enum class record_state : std::uint8_t {
    claimed, ///< granted to one attempt, which may be running it
    done,    ///< ran, and this is its answer
    unknown, ///< may have run; nobody will find out
};

/// The record of one idempotency key.
struct ledger_record {
    std::string key;         ///< 16 raw bytes
    std::string fingerprint; ///< digest of the request, so that a key is not used for two
    std::uint64_t attempt = 0;
    record_state state = record_state::claimed;
    std::uint32_t status = 0;
    std::string content_type;
    std::string answer;
    bool answer_kept = true;
    auto operator<=>(const ledger_record&) const = default;
};

/// The answer of a shard's primary to a claim.
enum class claim_verdict : std::uint8_t {
    granted,     ///< the claimant, and nobody else ever, may run the request
    running,     ///< another attempt holds the claim
    done,        ///< it ran; the record carries the answer
    unknown,     ///< it may have run
    key_reused,  ///< the key belongs to another request
    expired,     ///< the key is older than records are kept
    doubtful,    ///< records from the time of the key may be lost
    unavailable, ///< not the owner, not ready, fenced, or full: nothing was granted
    settled,     ///< the acknowledgement of a settled record
};

/// Limits of the records that one node keeps.
struct ledger_policy {
    milliseconds retention{600000};       ///< age up to which a key is accepted
    milliseconds retention_margin{60000}; ///< for which records are kept beyond that
    milliseconds clock_ahead{2000};       ///< how far a caller's clock may run ahead
    milliseconds grant_timeout{400};      ///< for the backup's acknowledgement
    /// After a takeover without records, for which keys are still doubted: over `clock_ahead`, and over the
    /// time in which the predecessors learn of their end.
    milliseconds amnesia_margin{15000};
    milliseconds majority_window{3600000}; ///< for which lost nodes count against a majority
    /// After a start or a pause, for which a node neither grants nor vouches for others: over the time in
    /// which every node that is not cut off from the majority learns of a new map.
    milliseconds fence_time{10000};
    milliseconds transfer_period{500}; ///< between tries to hand a shard to its new backup
    std::size_t max_records = 40'000;
    std::size_t max_answer_bytes = 4096; ///< a longer answer is not kept
    std::size_t max_all_answer_bytes = 4'000'000;
    std::size_t transfer_records = 500; ///< in one message
    auto operator<=>(const ledger_policy&) const = default;
};

/// A claim that the backup has yet to record.
struct pending_grant {
    std::string key;
    std::uint64_t attempt = 0;
    std::string reply_to;
    time_point sent;
};

/// One shard that this node owns, or owned.
struct ledger_shard {
    shard_owners owners;
    bool is_primary = false;
    bool complete = false;      ///< this node holds every record that was ever granted and is kept
    bool ready = false;         ///< the primary's backup is complete too
    wall_ms amnesia_before = 0; ///< keys made earlier may have been granted by owners whose records are lost
    std::map<std::string, ledger_record> records;
    std::map<std::uint64_t, pending_grant> grants; ///< by sequence
    std::uint64_t next_sequence = 1;
    std::uint64_t partner_life = 0;      ///< of the backup's process, as it last named it
    std::uint64_t transfer_sequence = 0; ///< whose acknowledgement makes the shard ready
    std::uint64_t transfer_expected = 0; ///< the next part that a backup expects, or 0
    time_point next_transfer;
};

/// The records of idempotency keys that one node keeps, for the shards that it owns.
struct ledger {
    ledger_policy policy;
    ledger_map map;
    std::map<std::uint32_t, ledger_shard> shards;
    /// Tells this process from others under its name: a transfer that was meant for an earlier one, and comes
    /// late, lacks what was granted since.
    std::uint64_t life = 0;
    bool fenced =
        false; ///< after a start or a pause, until the fence time is over and a peer confirms the map
    time_point fenced_since;
    std::size_t answer_bytes = 0;
    std::size_t record_count = 0;
};

/// Takes in a map. Shards that this node newly owns as primary are handed to their backups before any claim
/// is granted. A primary that lacks its predecessors' records doubts every key made before.
void adopt_ledger_map(ledger& state, const ledger_map& map, member_id self, time_point now, wall_ms wall_now);

/// Stops granting and vouching until `confirm_owner` ends it. For a process that starts, which may have
/// forgotten that it refused an older epoch, and for one that finds that it was paused.
void fence_owner(ledger& state, time_point now);

/// Ends the fence, if a peer that answered a probe sent after the fence time knows no newer map.
void confirm_owner(ledger& state, std::uint64_t peer_version, time_point now);

/// Answers a claim, or asks the backup to record it first.
std::vector<outgoing> handle_claim(ledger& state, const wire::claim& claim, const std::string& reply_to,
                                   const membership& nodes, time_point now, wall_ms wall_now);

/// Records what the primary granted, unless a newer epoch is known here.
std::vector<outgoing> handle_replicate(ledger& state, const wire::replicate& message,
                                       const std::string& reply_to);

/// Grants what the backup has recorded.
std::vector<outgoing> handle_replicated(ledger& state, const wire::replicated& message);

/// Takes in how an attempt ended. A release takes the record away: the attempt vouches that nothing ran.
std::vector<outgoing> handle_settle(ledger& state, const wire::settle& message, const std::string& reply_to,
                                    const membership& nodes);

/// Gives up grants that the backup does not acknowledge, hands shards over, and forgets expired records.
std::vector<outgoing> tick_ledger(ledger& state, const membership& nodes, time_point now, wall_ms wall_now);

/// The message form of a record; state 3 stands for a release.
wire::record to_wire(const ledger_record& value);
ledger_record from_wire(const wire::record& value);
inline constexpr std::uint32_t released_state = 3;

} // namespace waxwingfall

#endif
