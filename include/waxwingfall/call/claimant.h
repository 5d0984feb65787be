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

/// Settings of the node that asks for claims.
struct claimant_policy {
    milliseconds claim_timeout{1000}; ///< after which the request is refused as not run
    milliseconds settle_period{500};  ///< between tries to settle
    std::uint32_t settle_tries = 60;
    auto operator<=>(const claimant_policy&) const = default;
};

/// A claim that waits for its verdict.
struct waiting_claim {
    std::uint64_t attempt = 0;
    std::string key;
    time_point sent;
};

/// How an attempt ended, until the shard's primary has acknowledged it.
struct open_settlement {
    std::uint32_t shard = 0;
    wire::record settled;
    time_point next_try;
    std::uint32_t tries = 0;
};

/// The claims and settlements that a node has under way for its callers.
struct claimant {
    claimant_policy policy;
    std::map<std::uint64_t, waiting_claim> waiting;
    std::map<std::uint64_t, std::uint32_t> shard_of; ///< of granted attempts
    std::map<std::uint64_t, open_settlement> settling;
};

/// The verdict on a claim, for the request that waits for it.
struct claim_result {
    std::uint64_t attempt = 0;
    claim_verdict verdict = claim_verdict::unavailable;
    std::string key;
    ledger_record existing;
    auto operator<=>(const claim_result&) const = default;
};

/// Messages to send and verdicts that have been reached.
struct claimant_effects {
    std::vector<outgoing> messages;
    std::vector<claim_result> results;
};

/// Asks the key's home for a claim. Returns the attempt's number, or nothing if the key has no home that is
/// known here.
std::optional<std::uint64_t> start_claim(claimant& state, const ledger_map& map, const membership& nodes,
                                         const idempotency_key& key, const std::string& fingerprint,
                                         time_point now, random_source& random, claimant_effects& effects);

/// Takes in a verdict. One that comes too late is handed back: its request was refused and will not run.
claimant_effects handle_claim_answer(claimant& state, const wire::claim_answer& answer, const ledger_map& map,
                                     const membership& nodes, time_point now);

/// Tells the key's home how a granted attempt ended, until that is acknowledged.
claimant_effects settle_claim(claimant& state, const ledger_map& map, const membership& nodes,
                              wire::record settled, time_point now);

/// Hands back a granted claim whose request will not run.
claimant_effects release_claim(claimant& state, const ledger_map& map, const membership& nodes,
                               std::uint64_t attempt, const std::string& key, time_point now);

/// Gives up claims that wait too long, and repeats settlements.
claimant_effects tick_claimant(claimant& state, const ledger_map& map, const membership& nodes,
                               time_point now);

} // namespace waxwingfall

#endif
