#ifndef WAXWINGFALL_PLATFORM_HEAD_H
#define WAXWINGFALL_PLATFORM_HEAD_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include "waxwingfall/contract/snapshot.h"
#include "waxwingfall/support/error.h"
#include "waxwingfall/support/time.h"
#include "waxwingfall/wire/wire.pb.h"

namespace waxwingfall {

/// One accepted version of an environment.
struct accepted_version {
    version_mark mark;
    std::string operation; ///< made by the writer, so that it knows its own write again
    std::string author;
    std::string source_revision;
    wall_ms accepted_at = 0;
    std::string promoted_from;          ///< the environment that it was promoted from, or empty
    std::uint64_t promoted_version = 0; ///< its version there
    auto operator<=>(const accepted_version&) const = default;
};

/// The accepted versions of an environment, the newest last; moved by compare-and-swap as one value. Short
/// content travels with it, so that whoever learns of a version has its content too: the platform may be gone
/// a moment later.
struct environment_head {
    std::vector<accepted_version> versions;
    std::string
        content_base;    ///< digest of the content that `content` is a delta against; empty if it is whole
    std::string content; ///< empty if it is too long to travel here
    auto operator<=>(const environment_head&) const = default;
};

/// What an operator asks to be accepted.
struct proposal {
    std::string operation;
    std::string author;
    std::string source_revision;
    std::string digest;
    std::optional<std::uint64_t> expected_version; ///< the version that the operator looked at
    std::string promoted_from;
    std::uint64_t promoted_version = 0;
    auto operator<=>(const proposal&) const = default;
};

/// What is to be done with a proposal, given the head as it was read.
struct proposal_verdict {
    enum class action {
        write,     ///< write `next` with compare-and-swap
        unchanged, ///< the content is in force already; nothing is written
        own_write, ///< an earlier try of the same operation took effect
        conflict   ///< another version than the expected one is in force
    };
    action what = action::conflict;
    environment_head next;
    accepted_version current; ///< the version in force after this, or the one that beat the proposal
    auto operator<=>(const proposal_verdict&) const = default;
};

/// Decides on a proposal. The operation's id is looked for first, so that a write whose answer was lost is
/// recognised and never done twice, also after later versions.
proposal_verdict judge_proposal(const environment_head& head, const proposal& wanted, wall_ms now);

/// Why `version` of an environment may not be promoted, or an empty text. It behaved well if every data
/// centre that reports enforces it on all of its nodes, none refused it, it has been so for `soak`, reports
/// are fresh, and at most `max_failed_percent` of the calls since failed.
std::string why_not_promotable(const environment_head& head, std::uint64_t version,
                               const std::vector<wire::zone_report>& reports, wall_ms now, milliseconds soak,
                               double max_failed_percent);

/// Puts the newest content into the head, as a delta against `base` (with its digest) or whole, if it is
/// short enough.
void attach_content(environment_head& head, const std::string& base_digest, const std::string& base,
                    const std::string& bytes);

/// The newest content as far as it travels with the head: `held` is what the reader has. Nothing if it has to
/// be read.
std::optional<std::string> attached_content(const environment_head& head, const std::string& held_digest,
                                            const std::string& held);

/// The newest accepted version, or one with version 0 if there is none.
accepted_version newest(const environment_head& head);

/// Conversions to and from the stored form; damaged bytes are the LEAF error platform_corrupt.
std::string encode_head(const environment_head& head);
boost::leaf::result<environment_head> decode_head(std::string_view bytes);

/// The keys of the platform's service that an environment uses.
std::string head_key(const std::string& environment);
std::string body_key(const std::string& environment, const std::string& digest);
std::string ledger_key(const std::string& environment);
std::string seed_prefix(const std::string& environment);
std::string seed_key(const std::string& environment, const std::string& data_centre, std::size_t rank);
std::string report_prefix(const std::string& environment);
std::string report_key(const std::string& environment, const std::string& data_centre);

} // namespace waxwingfall

#endif
