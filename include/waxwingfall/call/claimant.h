#ifndef WAXWINGFALL_CALL_CLAIMANT_H
#define WAXWINGFALL_CALL_CLAIMANT_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/call/ledger.h"
#include "waxwingfall/call/ledger_map.h"
#include "waxwingfall/support/random_source.h"

namespace waxwingfall {

/// Settings of a node that requests claims for its clients.
struct claimant_policy {
    milliseconds claim_timeout{1000};      ///< after which the request is refused and will not run
    milliseconds settle_retry_period{500}; ///< between attempts to send a settlement
    std::uint32_t max_settle_attempts = 60;
    auto operator<=>(const claimant_policy&) const = default;
};

/// A claim that waits for its verdict.
struct pending_claim {
    std::uint64_t attempt_id = 0;
    std::string key;
    time_point sent; ///< `time_point::max()` once the claim is abandoned
};

/// The outcome of an attempt that the shard's primary hasn't acknowledged yet.
struct pending_settlement {
    std::uint32_t shard = 0;
    wire::record settled;
    time_point next_attempt_at;
    std::uint32_t attempts = 0;
};

/// The claims and settlements that a node has in progress for its clients, by attempt id.
struct claimant {
    claimant_policy policy;
    std::map<std::uint64_t, pending_claim> pending_claims;
    std::map<std::uint64_t, std::uint32_t> shard_by_attempt; ///< of pending claims and unsettled grants
    std::map<std::uint64_t, pending_settlement> pending_settlements;
};

/// The verdict on a claim, for the request that waits for it.
struct claim_result {
    std::uint64_t attempt_id = 0;
    claim_verdict verdict = claim_verdict::unavailable;
    std::string key;
    ledger_record existing;
    auto operator<=>(const claim_result&) const = default;
};

/// Messages to send, and verdicts for requests that wait for them.
struct claimant_effects {
    std::vector<outgoing> messages;
    std::vector<claim_result> results;
};

/// Sends a claim to the primary of the key's shard. Returns the attempt id, or nothing if the key has no
/// owning shard or its primary is not a known member.
std::optional<std::uint64_t> start_claim(claimant& state, const ledger_map& map, const membership& nodes,
                                         const idempotency_key& key, const std::string& fingerprint,
                                         time_point now, random_source& random, claimant_effects& effects);

/// Processes a verdict or the acknowledgement of a settlement. A grant that arrives after the claim timeout
/// is released, since its request was refused and will not run.
claimant_effects handle_claim_response(claimant& state, const wire::claim_answer& response,
                                       const ledger_map& map, const membership& nodes, time_point now);

/// Sends the outcome of a granted attempt to the primary of the key's shard; `tick_claimant` repeats it until
/// it is acknowledged.
claimant_effects settle_claim(claimant& state, const ledger_map& map, const membership& nodes,
                              wire::record settled, time_point now);

/// Releases a granted claim whose request will not run.
claimant_effects release_claim(claimant& state, const ledger_map& map, const membership& nodes,
                               std::uint64_t attempt_id, const std::string& key, time_point now);

/// Abandons claims that exceed the claim timeout, and repeats unacknowledged settlements up to the maximum
/// number of attempts.
claimant_effects tick_claimant(claimant& state, const ledger_map& map, const membership& nodes,
                               time_point now);

} // namespace waxwingfall

#endif
