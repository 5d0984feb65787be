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

/// The recorded state of the request with an idempotency key.
enum class record_state : std::uint8_t {
    claimed, ///< granted to one attempt, which may be running
    done,    ///< completed; the record holds its response
    unknown, ///< may have run; the outcome can't be determined any more
};

/// The record of one idempotency key.
struct ledger_record {
    std::string key;         ///< 16 raw bytes
    std::string fingerprint; ///< digest of the request, to detect a key reused for another request
    std::uint64_t attempt_id = 0;
    record_state state = record_state::claimed;
    std::uint32_t status = 0;
    std::string content_type;
    std::string response;
    bool response_kept = true;
    auto operator<=>(const ledger_record&) const = default;
};

/// The reply of a shard's primary to a claim or settlement.
enum class claim_verdict : std::uint8_t {
    granted,      ///< this attempt may run the request; no other one ever may
    running,      ///< another attempt holds the claim
    done,         ///< the request completed; the record holds its response
    unknown,      ///< the request may have run
    key_reused,   ///< the key belongs to another request
    expired,      ///< the key is older than the retention
    records_lost, ///< records of keys this old may have been lost at a takeover
    unavailable,  ///< not granted: not the primary, not ready, fenced, in a minority, full, or no reply
    settled,      ///< acknowledges a settlement
};

/// Limits and timeouts of the ledger of one node.
struct ledger_policy {
    milliseconds retention{600000};       ///< greatest age of an accepted key
    milliseconds retention_margin{60000}; ///< added to the retention of records
    milliseconds max_clock_skew{2000};    ///< how far a client's clock may run ahead
    milliseconds grant_timeout{400};      ///< for the backup's acknowledgement of a claim
    /// After a takeover without records, keys are refused if created up to this long after it. Exceeds
    /// `max_clock_skew` and the time within which the previous owners learn that they were replaced.
    milliseconds records_lost_margin{15000};
    milliseconds majority_window{3600000}; ///< how long lost nodes still count against a majority
    /// After a start or a pause, a node neither grants claims nor acknowledges those of other nodes for this
    /// long. Exceeds the time within which every node that can reach the majority learns of a new map.
    milliseconds fence_duration{10000};
    milliseconds transfer_period{500}; ///< between attempts to transfer a shard to its new backup
    std::size_t max_records = 40'000;
    std::size_t max_response_bytes = 4096; ///< a longer response is not kept
    std::size_t max_total_response_bytes = 4'000'000;
    std::size_t transfer_batch_size = 500; ///< records in one message of a transfer
    auto operator<=>(const ledger_policy&) const = default;
};

/// A claim that waits for the backup's acknowledgement.
struct pending_grant {
    std::string key;
    std::uint64_t attempt_id = 0;
    std::string reply_to;
    time_point sent;
};

/// One shard that this node owns or has owned.
struct ledger_shard {
    shard_owners owners;
    bool is_primary = false;
    bool complete = false; ///< this node holds the record of every grant that is still to be kept
    bool ready = false;    ///< on the primary: the backup is complete too
    /// Keys created earlier may have been granted by owners whose records are lost.
    wall_ms records_lost_before = 0;
    std::map<std::string, ledger_record> records;
    std::map<std::uint64_t, pending_grant> grants; ///< by sequence number of the replicate message
    std::uint64_t next_sequence = 1;
    std::uint64_t backup_incarnation = 0; ///< process incarnation that the backup last reported, or 0
    /// The last part of the latest transfer; its acknowledgement makes the shard ready.
    std::uint64_t transfer_sequence = 0;
    std::uint64_t expected_transfer_sequence = 0; ///< on the backup: the next part of the transfer, or 0
    time_point next_transfer;
};

/// The records of idempotency keys for the shards that this node owns.
struct ledger {
    ledger_policy policy;
    ledger_map map;
    std::map<std::uint32_t, ledger_shard> shards;
    /// Identifies this process among all that have run under the same node name. A late transfer addressed to
    /// an earlier process lacks the claims granted since.
    std::uint64_t process_incarnation = 0;
    /// Set at a start or after a pause, until the fence duration has passed and a peer has confirmed the map.
    bool fenced = false;
    time_point fenced_since;
    std::size_t response_bytes = 0;
    std::size_t record_count = 0;
};

/// Applies a map, unless it is no newer than the current one. Before this node grants a claim as a shard's
/// new primary, it transfers the shard's records to the backup. A primary that lacks the previous owners'
/// records refuses every key created before the takeover.
void adopt_ledger_map(ledger& state, const ledger_map& map, member_id self, time_point now, wall_ms wall_now);

/// Stops granting and acknowledging claims until `confirm_owner` ends it. Called when a process starts, since
/// it no longer knows which epochs it has refused, and when it detects that it was paused.
void fence_owner(ledger& state, time_point now);

/// Ends the fence if its duration has passed and a peer that replied to a probe has no newer map.
void confirm_owner(ledger& state, std::uint64_t peer_version, time_point now);

/// Replies to a claim, or first sends it to the backup to be recorded.
std::vector<outgoing> handle_claim(ledger& state, const wire::claim& claim, const std::string& reply_to,
                                   const membership& nodes, time_point now, wall_ms wall_now);

/// Records the primary's claims, settlements or transferred records on the backup, unless this node is
/// fenced, is the primary itself, or knows a newer epoch.
std::vector<outgoing> handle_replicate(ledger& state, const wire::replicate& message,
                                       const std::string& reply_to);

/// Grants a claim that the backup has acknowledged.
std::vector<outgoing> handle_replicated(ledger& state, const wire::replicated& message);

/// Records the outcome of an attempt. A release erases the record, as the attempt guarantees that the request
/// didn't run.
std::vector<outgoing> handle_settle(ledger& state, const wire::settle& message, const std::string& reply_to,
                                    const membership& nodes);

/// Drops claims that the backup hasn't acknowledged in time, transfers shards to new backups, and erases
/// expired records.
std::vector<outgoing> tick_ledger(ledger& state, const membership& nodes, time_point now, wall_ms wall_now);

/// Conversions to and from the wire form. There, the state `released_state` stands for a release.
wire::record to_wire(const ledger_record& value);
ledger_record from_wire(const wire::record& value);
inline constexpr std::uint32_t released_state = 3;

} // namespace waxwingfall

#endif
