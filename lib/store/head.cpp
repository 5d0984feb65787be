#include "waxwingfall/store/head.h"

#include <algorithm>

#include <boost/leaf/error.hpp>

#include "waxwingfall/support/digest.h"

namespace waxwingfall {

namespace {

/// Number of versions that the head retains: enough for the `history` command and to recognise an operation
/// whose response was lost many versions ago.
constexpr std::size_t max_head_versions = 32;

/// Older reports do not describe the current state of a data centre.
constexpr wall_ms max_report_age_ms = 30'000;

accepted_version make_version(const environment_head& head, const proposal& proposed, wall_ms now) {
    accepted_version accepted;
    accepted.id = {newest(head).id.version + 1, proposed.digest};
    accepted.operation = proposed.operation;
    accepted.author = proposed.author;
    accepted.source_revision = proposed.source_revision;
    accepted.accepted_at = now;
    accepted.promoted_from = proposed.promoted_from;
    accepted.promoted_version = proposed.promoted_version;
    return accepted;
}

std::string why_report_blocks(const wire::zone_report& report, std::uint64_t version, wall_ms now,
                              milliseconds soak, double max_failed_percent) {
    const std::string where = "data centre " + report.data_centre() + " ";
    if (report.reported_at_ms() + max_report_age_ms < now) {
        return where + "has not reported for " + std::to_string((now - report.reported_at_ms()) / 1000) +
               " s";
    }
    if (report.rejections_size() > 0) {
        const wire::rejection& first = report.rejections(0);
        return where + "node " + first.node() + " refused it: " + first.reason();
    }
    if (report.version() != version || report.nodes_enforcing() < report.nodes()) {
        return where + "enforces it on " +
               std::to_string(report.version() == version ? report.nodes_enforcing() : 0) + " of " +
               std::to_string(report.nodes()) + " nodes";
    }
    const wall_ms since = report.all_enforced_since_ms();
    if (since == 0 || since + static_cast<wall_ms>(soak.count()) > now) {
        return where + "has enforced it for less than " + std::to_string(soak.count()) + " ms";
    }
    constexpr double percent = 100.0;
    if (static_cast<double>(report.failed_calls()) * percent >
        max_failed_percent * static_cast<double>(report.calls())) {
        return where + "failed " + std::to_string(report.failed_calls()) + " of " +
               std::to_string(report.calls()) + " calls";
    }
    return {};
}

} // namespace

proposal_verdict evaluate_proposal(const environment_head& head, const proposal& proposed, wall_ms now) {
    const auto accepted =
        std::find_if(head.versions.begin(), head.versions.end(), [&](const accepted_version& version) {
            return version.operation == proposed.operation;
        });
    if (accepted != head.versions.end()) {
        return {proposal_verdict::action::already_accepted, {}, *accepted};
    }
    const accepted_version current = newest(head);
    if (proposed.expected_version && *proposed.expected_version != current.id.version) {
        return {proposal_verdict::action::conflict, {}, current};
    }
    if (current.id.version != 0 && current.id.digest == proposed.digest) {
        return {proposal_verdict::action::unchanged, {}, current};
    }
    proposal_verdict verdict{proposal_verdict::action::write, head, make_version(head, proposed, now)};
    verdict.next.versions.push_back(verdict.current);
    if (verdict.next.versions.size() > max_head_versions) {
        verdict.next.versions.erase(verdict.next.versions.begin());
    }
    return verdict;
}

std::string why_not_promotable(const environment_head& head, std::uint64_t version,
                               const std::vector<wire::zone_report>& reports, wall_ms now, milliseconds soak,
                               double max_failed_percent) {
    const accepted_version current = newest(head);
    if (current.id.version != version) {
        return "version " + std::to_string(version) + " is not active; version " +
               std::to_string(current.id.version) + " is";
    }
    if (reports.empty()) {
        return "no data centre reports that it enforces version " + std::to_string(version);
    }
    for (const wire::zone_report& report : reports) {
        if (auto reason = why_report_blocks(report, version, now, soak, max_failed_percent);
            !reason.empty()) {
            return reason;
        }
    }
    return {};
}

void embed_content(environment_head& head, const std::string& base_digest, const std::string& base,
                   const std::string& bytes) {
    constexpr std::size_t max_embedded_bytes = 65'536;
    const auto delta = base_digest.empty() ? std::nullopt : make_delta(base, bytes);
    head.content_base.clear();
    head.content.clear();
    if (delta && delta->size() < bytes.size() && delta->size() <= max_embedded_bytes) {
        head.content_base = base_digest;
        head.content = *delta;
    } else if (bytes.size() <= max_embedded_bytes) {
        head.content = bytes;
    }
}

std::optional<std::string> embedded_content(const environment_head& head, const std::string& local_digest,
                                            const std::string& local) {
    const std::string digest = newest(head).id.digest;
    std::optional<std::string> bytes = head.content;
    if (!head.content_base.empty()) {
        bytes = head.content_base == local_digest ? apply_delta(local, head.content) : std::nullopt;
    }
    return bytes && digest_of(*bytes) == digest ? bytes : std::nullopt;
}

accepted_version newest(const environment_head& head) {
    return head.versions.empty() ? accepted_version{} : head.versions.back();
}

std::string encode_head(const environment_head& head) {
    wire::head out;
    for (const accepted_version& version : head.versions) {
        wire::head_entry& entry = *out.add_entries();
        entry.set_version(version.id.version);
        entry.set_digest(version.id.digest);
        entry.set_operation(version.operation);
        entry.set_author(version.author);
        entry.set_source_revision(version.source_revision);
        entry.set_accepted_at_ms(version.accepted_at);
        entry.set_promoted_from(version.promoted_from);
        entry.set_promoted_version(version.promoted_version);
    }
    out.set_content_base(head.content_base);
    out.set_content(head.content);
    return out.SerializeAsString();
}

boost::leaf::result<environment_head> decode_head(std::string_view bytes) {
    wire::head in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return boost::leaf::new_error(error_kind::platform_corrupt);
    }
    environment_head head;
    head.content_base = in.content_base();
    head.content = in.content();
    for (const wire::head_entry& entry : in.entries()) {
        head.versions.push_back({{entry.version(), entry.digest()},
                                 entry.operation(),
                                 entry.author(),
                                 entry.source_revision(),
                                 entry.accepted_at_ms(),
                                 entry.promoted_from(),
                                 entry.promoted_version()});
    }
    const auto is_not_ascending = [](const accepted_version& left, const accepted_version& right) {
        return left.id.version >= right.id.version;
    };
    if (std::adjacent_find(head.versions.begin(), head.versions.end(), is_not_ascending) !=
        head.versions.end()) {
        return boost::leaf::new_error(error_kind::platform_corrupt);
    }
    return head;
}

std::string head_key(const std::string& environment) {
    return "contract/" + environment + "/head";
}

std::string body_key(const std::string& environment, const std::string& digest) {
    return "contract/" + environment + "/body/" + to_hex(digest);
}

std::string ledger_key(const std::string& environment) {
    return "ledger/" + environment;
}

std::string seed_prefix(const std::string& environment) {
    return "seed/" + environment + "/";
}

std::string seed_key(const std::string& environment, const std::string& data_centre, std::size_t rank) {
    return seed_prefix(environment) + data_centre + "/" + std::to_string(rank);
}

std::string report_prefix(const std::string& environment) {
    return "report/" + environment + "/";
}

std::string report_key(const std::string& environment, const std::string& data_centre) {
    return report_prefix(environment) + data_centre;
}

} // namespace waxwingfall
