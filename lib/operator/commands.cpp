#include "waxwingfall/operator/commands.h"

#include <algorithm>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "waxwingfall/contract/document.h"
#include "waxwingfall/contract/snapshot.h"
#include "waxwingfall/operator/store_session.h"
#include "waxwingfall/support/digest.h"
#include "waxwingfall/support/yaml_tree.h"

namespace waxwingfall {

namespace {

using json = nlohmann::ordered_json;

constexpr milliseconds poll_period{100};

boost::leaf::result<contract> load_document(const std::string& path) {
    const auto text = read_bounded_file(path);
    if (!text) {
        return boost::leaf::new_error(command_error{error_kind::file_unreadable, path + " can't be read"});
    }
    return parse_contract(*text, path);
}

boost::leaf::result<contract> load_accepted(store_session& session, const std::string& environment,
                                            const accepted_version& version) {
    if (version.id.version == 0) {
        return contract{};
    }
    BOOST_LEAF_AUTO(bytes, session.load_body(environment, version.id.digest));
    const auto content = decode_contract(bytes);
    if (!content || digest_of(bytes) != version.id.digest) {
        return boost::leaf::new_error(command_error{
            error_kind::platform_corrupt,
            "the content of the accepted version does not match its digest or can't be decoded"});
    }
    return *content;
}

std::string describe(const accepted_version& version) {
    std::string text = "version " + std::to_string(version.id.version) + " by " + version.author;
    if (!version.source_revision.empty()) {
        text += ", source " + version.source_revision;
    }
    if (!version.promoted_from.empty()) {
        text += ", promoted from " + version.promoted_from + " " + std::to_string(version.promoted_version);
    }
    return text;
}

json as_json(const accepted_version& version) {
    json value;
    value["version"] = version.id.version;
    value["digest"] = to_hex(version.id.digest);
    value["author"] = version.author;
    value["source_revision"] = version.source_revision;
    value["accepted_at_ms"] = version.accepted_at;
    value["promoted_from"] = version.promoted_from;
    value["promoted_version"] = version.promoted_version;
    return value;
}

boost::leaf::result<void> print_verdict(const proposal_verdict& verdict, const std::string& environment,
                                        bool as_json_text, std::ostream& out) {
    using action = proposal_verdict::action;
    if (verdict.decision == action::conflict) {
        return boost::leaf::new_error(
            command_error{error_kind::version_conflict,
                          environment + " is at " + describe(verdict.current) + "; nothing was changed"});
    }
    const bool unchanged = verdict.decision == action::unchanged;
    if (as_json_text) {
        json value = as_json(verdict.current);
        value["changed"] = !unchanged;
        out << value.dump() << "\n";
    } else {
        out << environment << ": " << (unchanged ? "unchanged, still " : "accepted ")
            << describe(verdict.current) << "\n";
    }
    return {};
}

json report_as_json(const wire::zone_report& report) {
    json value;
    value["data_centre"] = report.data_centre();
    value["version"] = report.version();
    value["nodes"] = report.nodes();
    value["enforcing"] = report.nodes_enforcing();
    value["lagging"] = std::vector<std::string>(report.lagging().begin(), report.lagging().end());
    value["rejections"] = json::array();
    for (const wire::rejection& rejection : report.rejections()) {
        value["rejections"].push_back(
            {{"node", rejection.node()}, {"version", rejection.version()}, {"reason", rejection.reason()}});
    }
    value["calls"] = report.calls();
    value["failed_calls"] = report.failed_calls();
    value["reported_at_ms"] = report.reported_at_ms();
    value["reporter"] = report.reporter();
    return value;
}

void print_report(const wire::zone_report& report, wall_ms now, std::ostream& out) {
    constexpr wall_ms stale_after_ms = 30'000;
    constexpr double ms_per_second = 1000.0;
    const wall_ms age = now > report.reported_at_ms() ? now - report.reported_at_ms() : 0;
    out << "  " << report.data_centre() << ": version " << report.version() << " on "
        << report.nodes_enforcing() << " of " << report.nodes() << " nodes, reported "
        << static_cast<double>(age) / ms_per_second << " s ago"
        << (age > stale_after_ms ? " (STALE: cut off from the platform, or stopped)" : "") << "\n";
    for (const std::string& name : report.lagging()) {
        out << "    lagging: " << name << "\n";
    }
    for (const wire::rejection& rejection : report.rejections()) {
        out << "    rejects version " << rejection.version() << ": " << rejection.node() << ": "
            << rejection.reason() << "\n";
    }
}

bool enforces_everywhere(const std::vector<wire::zone_report>& reports, std::uint64_t version) {
    return !reports.empty() &&
           std::all_of(reports.begin(), reports.end(), [&](const wire::zone_report& report) {
               return report.version() >= version && report.nodes() > 0 &&
                      report.nodes_enforcing() == report.nodes();
           });
}

} // namespace

boost::leaf::result<void> run_check(const std::string& path, bool as_json_text, std::ostream& out) {
    BOOST_LEAF_AUTO(content, load_document(path));
    const std::string bytes = encode_contract(content);
    if (as_json_text) {
        json value;
        value["ok"] = true;
        value["services"] = content.services.size();
        value["routes"] = content.routes.size();
        value["digest"] = to_hex(digest_of(bytes));
        out << value.dump() << "\n";
    } else {
        out << path << ": ok, " << content.services.size() << " services, " << content.routes.size()
            << " routes\n";
    }
    return {};
}

boost::leaf::result<void> run_plan(const command_options& options, const std::string& path,
                                   const std::string& environment, std::ostream& out) {
    BOOST_LEAF_AUTO(proposed, load_document(path));
    store_session session(options);
    BOOST_LEAF_AUTO(current, session.load_head(environment));
    const accepted_version accepted = newest(current.head);
    BOOST_LEAF_AUTO(accepted_content, load_accepted(session, environment, accepted));
    const auto lines = describe_difference(accepted_content, proposed);
    if (options.json) {
        json value;
        value["environment"] = environment;
        value["version"] = accepted.id.version;
        value["changes"] = lines;
        out << value.dump() << "\n";
        return {};
    }
    out << environment << " is at version " << accepted.id.version << "; " << lines.size() << " changes\n";
    for (const std::string& line : lines) {
        out << "  " << line << "\n";
    }
    return {};
}

boost::leaf::result<void> run_apply(const command_options& options, const std::string& path,
                                    const std::string& environment, std::optional<std::uint64_t> expected,
                                    const std::string& source_revision, std::ostream& out) {
    BOOST_LEAF_AUTO(content, load_document(path));
    const std::string bytes = encode_contract(content);
    if (bytes.size() > max_document_bytes) {
        return boost::leaf::new_error(
            command_error{error_kind::too_large, path + " is over one megabyte when encoded"});
    }
    store_session session(options);
    proposal proposed;
    proposed.operation = options.operation;
    proposed.author = options.author;
    proposed.source_revision = source_revision;
    proposed.digest = digest_of(bytes);
    proposed.expected_version = expected;
    // The body is written first, so that a head never refers to a missing body.
    BOOST_LEAF_CHECK(session.save_body(environment, proposed.digest, bytes));
    BOOST_LEAF_AUTO(verdict, session.propose(environment, proposed, bytes));
    return print_verdict(verdict, environment, options.json, out);
}

boost::leaf::result<void> run_promote(const command_options& options, const promote_options& promotion,
                                      std::ostream& out) {
    store_session session(options);
    BOOST_LEAF_AUTO(source, session.load_head(promotion.from));
    BOOST_LEAF_AUTO(reports, session.load_reports(promotion.from));
    const std::string blocking_reason =
        why_not_promotable(source.head, promotion.expected_version, reports, wall_now(), promotion.soak,
                           promotion.max_failed_percent);
    if (!blocking_reason.empty()) {
        return boost::leaf::new_error(
            command_error{error_kind::not_promotable, promotion.from + ": " + blocking_reason});
    }
    const accepted_version reviewed = newest(source.head);
    BOOST_LEAF_AUTO(bytes, session.load_body(promotion.from, reviewed.id.digest));
    if (digest_of(bytes) != reviewed.id.digest) {
        return boost::leaf::new_error(command_error{
            error_kind::platform_corrupt, "the content of the reviewed version does not match its digest"});
    }
    proposal proposed;
    proposed.operation = options.operation;
    proposed.author = options.author;
    proposed.source_revision = reviewed.source_revision;
    proposed.digest = reviewed.id.digest;
    proposed.promoted_from = promotion.from;
    proposed.promoted_version = reviewed.id.version;
    BOOST_LEAF_CHECK(session.save_body(promotion.to, proposed.digest, bytes));
    BOOST_LEAF_AUTO(verdict, session.propose(promotion.to, proposed, bytes));
    return print_verdict(verdict, promotion.to, options.json, out);
}

boost::leaf::result<void> run_digest_key(std::istream& in, std::ostream& out) {
    std::string key;
    std::getline(in, key);
    if (!key.empty() && key.back() == '\r') {
        key.pop_back();
    }
    if (key.empty() || key.find_first_of(" \t") != std::string::npos) {
        return boost::leaf::new_error(
            command_error{error_kind::usage, "the first line of the input must be a key without spaces"});
    }
    out << to_hex(digest_of(key)) << "\n";
    return {};
}

boost::leaf::result<void> run_status(const command_options& options, const std::string& environment,
                                     std::ostream& out) {
    store_session session(options);
    BOOST_LEAF_AUTO(current, session.load_head(environment));
    BOOST_LEAF_AUTO(reports, session.load_reports(environment));
    const accepted_version accepted = newest(current.head);
    if (options.json) {
        json value;
        value["environment"] = environment;
        value["accepted"] = as_json(accepted);
        value["data_centres"] = json::array();
        for (const wire::zone_report& report : reports) {
            value["data_centres"].push_back(report_as_json(report));
        }
        out << value.dump() << "\n";
        return {};
    }
    out << environment << ": accepted " << describe(accepted) << "\n";
    for (const wire::zone_report& report : reports) {
        print_report(report, wall_now(), out);
    }
    return {};
}

boost::leaf::result<void> run_wait(const command_options& options, const std::string& environment,
                                   std::uint64_t version, milliseconds timeout, std::ostream& out) {
    store_session session(options);
    const time_point deadline = monotonic_now() + timeout;
    while (true) {
        BOOST_LEAF_AUTO(reports, session.load_reports(environment));
        if (enforces_everywhere(reports, version)) {
            out << environment << ": version " << version << " is active in " << reports.size()
                << " data centres\n";
            return {};
        }
        if (monotonic_now() >= deadline) {
            return boost::leaf::new_error(
                command_error{error_kind::wait_expired, environment + " does not enforce version " +
                                                            std::to_string(version) + " everywhere after " +
                                                            std::to_string(timeout.count()) + " ms"});
        }
        session.pause(poll_period);
    }
}

boost::leaf::result<void> run_history(const command_options& options, const std::string& environment,
                                      std::ostream& out) {
    store_session session(options);
    BOOST_LEAF_AUTO(current, session.load_head(environment));
    json values = json::array();
    for (auto version = current.head.versions.rbegin(); version != current.head.versions.rend(); ++version) {
        values.push_back(as_json(*version));
        if (!options.json) {
            out << describe(*version) << ", digest " << to_hex(version->id.digest) << "\n";
        }
    }
    if (options.json) {
        out << values.dump() << "\n";
    }
    return {};
}

} // namespace waxwingfall
