#ifndef WAXWINGFALL_CALL_QUARANTINE_H
#define WAXWINGFALL_CALL_QUARANTINE_H

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "waxwingfall/cluster/member.h"
#include "waxwingfall/support/time.h"
#include "waxwingfall/wire/wire.pb.h"

namespace waxwingfall {

/// Settings of the quarantine of requests that crash workers.
struct quarantine_policy {
    std::uint32_t crashes_to_suspect = 2; ///< crashes of different workers while the request ran on each
    /// Delay of each trial after the crash that made the request suspect or that ended the trial before.
    /// Deployments allow three repetitions after the third crash.
    std::array<milliseconds, 3> trial_delays{milliseconds(0), milliseconds(15'000), milliseconds(60'000)};
    /// Time for which a trial without a result holds back the next one.
    milliseconds trial_timeout{3000};
    milliseconds retention{600'000}; ///< of a record, from its last crash
    std::size_t max_fingerprints = 4096;
    auto operator<=>(const quarantine_policy&) const = default;
};

/// What is known of the requests with one fingerprint. Times are those of the hybrid clock, which order a
/// completion after each crash that its node knew of.
struct crash_record {
    std::map<member_id, std::uint64_t> crashes; ///< since the last completion: the latest of each worker
    std::map<std::uint64_t, member_id>
        trials;                     ///< since the last completion: by their start, with their worker
    std::uint64_t completed_at = 0; ///< the last completion that followed a crash; 0 if none did
    time_point last_crash;          ///< when this node learned of it
    time_point last_trial;          ///< the same
};

/// Requests that were running when a worker crashed. Which of them caused the crash is not known, and a
/// popular one runs on most workers that crash. The cause crashes each worker that begins to run it, so it
/// never completes: a completion anywhere clears a request of all crashes before. A request that was
/// involved in crashes of two workers and has not completed since is suspect. Suspects run one at a time
/// over all nodes and one at a time at a worker, as trials. They are refused only after a trial whose worker
/// crashed, at first for some time, and after the last trial until the record expires.
struct quarantine {
    quarantine_policy policy;
    std::map<std::string, crash_record> records; ///< by fingerprint
};

/// Whether requests with a fingerprint may run.
enum class run_verdict : std::uint8_t {
    run,
    trial,          ///< as a trial, which must be recorded when it begins
    awaiting_trial, ///< not now: the result of a trial is awaited
    refuse          ///< not until the next trial is due, if there is another one
};

run_verdict run_verdict_of(const quarantine& state, const std::string& fingerprint, time_point now);

/// Records that `worker` crashed at `crashed_at` while it ran a request. True if this was news, which other
/// nodes must learn of.
bool record_crash(quarantine& state, const std::string& fingerprint, member_id worker,
                  std::uint64_t crashed_at, time_point now);

/// Records that a trial begins at `worker`.
void record_trial(quarantine& state, const std::string& fingerprint, member_id worker, std::uint64_t begun_at,
                  time_point now);

/// Records that a worker has responded to a request that it ran. True if this cleared the request of a
/// crash, which other nodes must learn of.
bool record_completion(quarantine& state, const std::string& fingerprint, std::uint64_t completed_at);

/// Encodes what is known about a fingerprint.
wire::crash_record encode_crash_record(const quarantine& state, const std::string& fingerprint);

/// Returns the records of all suspects, for a node that has just started and knows nothing.
std::vector<wire::crash_record> suspect_records(const quarantine& state, time_point now);

/// Adds what another node knows. True if something was new. The result does not depend on the order in which
/// messages arrive.
bool merge_crash_record(quarantine& state, const wire::crash_record& received, time_point now);

} // namespace waxwingfall

#endif
