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
    std::uint32_t crashes_to_refuse = 2; ///< crashes of different workers while the request ran on each
    milliseconds retention{600000};      ///< of a crash record, from its last crash
    std::size_t max_fingerprints = 4096;
    auto operator<=>(const quarantine_policy&) const = default;
};

/// The workers that crashed while a request with one fingerprint ran on them.
struct crash_record {
    std::set<member_id> workers;
    time_point last_crash;
};

/// Requests that were running when a worker crashed. A harmless request that ran beside the cause is
/// involved in one crash; only the cause crashes one worker after another.
struct quarantine {
    quarantine_policy policy;
    std::map<std::string, crash_record> records; ///< by fingerprint
};

/// Records that `worker` crashed while a request ran on it. True if this was not known yet, so that it must
/// be broadcast.
bool record_crash(quarantine& state, const std::string& fingerprint, member_id worker, time_point now);

/// True if requests with this fingerprint are refused at `now`.
bool is_quarantined(const quarantine& state, const std::string& fingerprint, time_point now);

/// The number of workers that crashed under a fingerprint, 0 once the retention time has passed.
std::size_t crash_count(const quarantine& state, const std::string& fingerprint, time_point now);

} // namespace waxwingfall

#endif
