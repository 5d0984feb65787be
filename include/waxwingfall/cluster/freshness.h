#ifndef WAXWINGFALL_CLUSTER_FRESHNESS_H
#define WAXWINGFALL_CLUSTER_FRESHNESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/support/random_source.h"
#include "waxwingfall/support/time.h"
#include "waxwingfall/wire/wire.pb.h"

namespace waxwingfall {

/// Shows that no configuration newer than `version` existed at `time`, by the clock of this machine.
struct freshness_evidence {
    std::uint64_t version = 0;
    boot_time time;
    auto operator<=>(const freshness_evidence&) const = default;
};

/// What a node knows of how recent its configuration is. With a bound on the time until a removed key is
/// refused (`revoke`), a node serves requests with keys only while it holds recent evidence.
///
/// Load that this answers: a node that is partitioned, paused or slow still serves its clients under the last
/// configuration that it got, for as long as nothing tells it otherwise.
struct freshness {
    struct question {
        std::uint64_t sequence = 0; ///< a random number, so that no answer to an earlier process matches
        boot_time sent_at;
        auto operator<=>(const question&) const = default;
    };
    milliseconds revoke{0}; ///< 0 if keys need no evidence
    /// Ascending by version and by time: older evidence is kept while it is for an older version, because a
    /// node that does not enforce the newer version yet needs it.
    std::vector<freshness_evidence> evidence;
    /// The newest version of which evidence was recorded, and when. Evidence for an older version with a
    /// later time comes from a store that lost that version, and does not count for nodes that lack the
    /// version.
    freshness_evidence newest_seen;
    std::vector<question> open_questions; ///< oldest first
    std::size_t next_bridge = 0;          ///< rank of the bridge that gets the next question
    bool is_answered = true;              ///< the last question was answered
    boot_time next_question_at;
    boot_time next_read_at;
    std::uint32_t failed_reads = 0; ///< in a row
    bool is_reading = false;
    auto operator<=>(const freshness&) const = default;
};

/// Returns the state of a node that has just started, without evidence. Its first read of its own waits for a
/// short random time, within which a bridge may answer.
freshness start_freshness(milliseconds revoke, boot_time now, random_source& random);

/// Records that a read of the store that started at `start` showed `version` to be the newest one.
void record_read(freshness& state, boot_time start, std::uint64_t version, boot_time now);

/// Records a bridge's answer. It is dated from the moment at which the question was sent, minus the age that
/// the bridge states, so that delays in either direction only make it older. Answers without an open question
/// are ignored.
void record_peer(freshness& state, const wire::freshness_answer& answer, boot_time now);

/// Returns the answer to a question of another node, from this node's most recent evidence.
wire::freshness_answer answer_question(const freshness& state, const wire::freshness_question& asked,
                                       boot_time now);

/// Returns the age of the most recent evidence for the enforced version, or nothing if there is none.
/// Evidence for a newer version does not count: that version may have removed keys.
std::optional<milliseconds> evidence_age(const freshness& state, std::uint64_t enforced, boot_time now);

/// True if keys may be used under the enforced version: no bound is set, or evidence for that version is
/// younger than `revoke` minus `verification_margin`.
bool is_verified(const freshness& state, std::uint64_t enforced, boot_time now);

/// True if evidence is so recent that the node needs no read of its own.
bool has_recent_evidence(const freshness& state, std::uint64_t enforced, boot_time now);

/// Part of `revoke` that remains between the age up to which evidence is used and the bound. Covers the time
/// from the check until the request is sent, and clocks that run at rates which differ by up to some percent.
milliseconds verification_margin(milliseconds revoke);

/// A question that is due, and the rank of the bridge that it goes to.
struct due_question {
    std::size_t bridge = 0;
    wire::freshness_question question;
};

/// Returns the question to send now, if one is due and there are bridges to ask: about once a second, more
/// often without valid evidence. If the last one was not answered, the next bridge is asked.
std::optional<due_question> next_question(freshness& state, std::size_t bridges, std::uint64_t enforced,
                                          boot_time now, random_source& random);

/// Returns true if the node should read the store itself now, and counts that read as started: evidence is so
/// old that neither bridge can have answered, and no read of this kind is open or was given up a moment ago.
bool start_own_read(freshness& state, std::uint64_t enforced, boot_time now);

/// Records the end of that read. After a failure the next one follows after a pause that doubles.
void end_own_read(freshness& state, bool succeeded, boot_time now, random_source& random);

} // namespace waxwingfall

#endif
