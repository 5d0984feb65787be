#ifndef WAXWINGFALL_STORE_HEAD_H
#define WAXWINGFALL_STORE_HEAD_H

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

/// An accepted version of an environment's contract.
struct accepted_version {
    version_id id;
    std::string operation; ///< id chosen by the writer, by which it recognises its write when it retries
    std::string author;
    std::string source_revision;
    wall_ms accepted_at = 0;
    std::string promoted_from;          ///< source environment of a promotion, or empty
    std::uint64_t promoted_version = 0; ///< version in the source environment
    auto operator<=>(const accepted_version&) const = default;
};

/// The accepted versions of an environment, the newest last. Stored as one value that is updated by
/// compare-and-swap. Short content is embedded, so that a reader that learns of a version also has its
/// content: the platform may become unreachable before a second read.
struct environment_head {
    std::vector<accepted_version> versions;
    std::string content_base; ///< digest of the delta base of `content`; empty if `content` is complete
    std::string content;      ///< empty if it is too long to be embedded
    auto operator<=>(const environment_head&) const = default;
};

/// A version that an operator submits for acceptance.
struct proposal {
    std::string operation;
    std::string author;
    std::string source_revision;
    std::string digest;
    std::optional<std::uint64_t> expected_version; ///< active version that the operator based it on
    std::string promoted_from;
    std::uint64_t promoted_version = 0;
    auto operator<=>(const proposal&) const = default;
};

/// The decision on a proposal, given the head as it was read.
struct proposal_verdict {
    enum class action {
        write,            ///< write `next` with compare-and-swap
        unchanged,        ///< the content is already active; nothing is written
        already_accepted, ///< an earlier attempt of the same operation took effect
        conflict          ///< a version other than the expected one is active
    };
    action decision = action::conflict;
    environment_head next;
    accepted_version current; ///< the new version, the earlier one of the same operation, or the active one
    auto operator<=>(const proposal_verdict&) const = default;
};

/// Decides on a proposal. Looks for the operation id first, so that a write whose response was lost is
/// recognised and not repeated, even after later versions were accepted.
proposal_verdict evaluate_proposal(const environment_head& head, const proposal& proposed, wall_ms now);

/// Returns why `version` of an environment may not be promoted, or an empty string if it may. A version is
/// promotable if it is active, and every reporting data centre has a recent report, has enforced the version
/// on all of its nodes for at least `soak` without a rejection, and at most `max_failed_percent` of its calls
/// since then failed.
std::string why_not_promotable(const environment_head& head, std::uint64_t version,
                               const std::vector<wire::zone_report>& reports, wall_ms now, milliseconds soak,
                               double max_failed_percent);

/// Embeds the newest content `bytes` in the head if it is short enough, either as a delta against `base`,
/// whose digest is `base_digest`, or complete.
void embed_content(environment_head& head, const std::string& base_digest, const std::string& base,
                   const std::string& bytes);

/// Returns the newest content if it can be restored from the head and the reader's content `local`. Otherwise
/// returns nothing, and the content has to be read from the store.
std::optional<std::string> embedded_content(const environment_head& head, const std::string& local_digest,
                                            const std::string& local);

/// Returns the newest accepted version, or one with version number 0 if there is none.
accepted_version newest(const environment_head& head);

/// Conversions to and from the stored form. Malformed bytes yield the LEAF error platform_corrupt.
std::string encode_head(const environment_head& head);
boost::leaf::result<environment_head> decode_head(std::string_view bytes);

/// The keys of an environment in the platform's key-value store. Seed keys hold the addresses of a data
/// centre's bridges for joining nodes, report keys the state of a data centre.
std::string head_key(const std::string& environment);
std::string body_key(const std::string& environment, const std::string& digest);
std::string ledger_key(const std::string& environment);
std::string seed_prefix(const std::string& environment);
std::string seed_key(const std::string& environment, const std::string& data_centre, std::size_t rank);
std::string report_prefix(const std::string& environment);
std::string report_key(const std::string& environment, const std::string& data_centre);

} // namespace waxwingfall

#endif
