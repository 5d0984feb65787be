#ifndef WAXWINGFALL_CALL_QUARANTINE_H
#define WAXWINGFALL_CALL_QUARANTINE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "waxwingfall/cluster/member.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// Settings of the quarantine of requests that crash workers.
struct quarantine_policy {
    std::uint32_t crashes_to_refuse = 2; ///< of different workers, while the request ran on each
    milliseconds memory{600000};         ///< for which a request's crashes are remembered
    std::size_t max_fingerprints = 4096;
    auto operator<=>(const quarantine_policy&) const = default;
};

/// The workers that crashed while a request with one fingerprint ran on them.
struct crash_record {
    std::set<member_id> workers;
    time_point last;
};

/// What is known of requests that were running when a worker crashed. An innocent request that shared a
/// worker with the cause is in one crash; only the cause follows from worker to worker.
struct quarantine {
    quarantine_policy policy;
    std::map<std::string, crash_record> suspects; ///< by fingerprint
};

/// Notes that `worker` crashed while a request ran on it. True if that was not known yet, so that it is to be
/// passed on.
bool note_crash(quarantine& state, const std::string& fingerprint, member_id worker, time_point now);

/// True if requests with this fingerprint are refused at `now`.
bool is_quarantined(const quarantine& state, const std::string& fingerprint, time_point now);

/// How many workers crashed under a fingerprint that is remembered.
std::size_t crashes_of(const quarantine& state, const std::string& fingerprint, time_point now);

} // namespace waxwingfall

#endif
