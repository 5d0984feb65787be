#ifndef WAXWINGFALL_SUPPORT_ERROR_H
#define WAXWINGFALL_SUPPORT_ERROR_H

#include <compare>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingfall {

/// The closed list of error kinds. docs/errors.md documents each of them, and a test compares the two.
enum class error_kind {
    // Faults in a document or settings file.
    syntax,
    not_utf8,
    too_large,
    too_deep,
    alias_refused,
    duplicate_key,
    unknown_key,
    missing_key,
    wrong_type,
    out_of_range,
    dangling_reference,
    dependency_cycle,
    overlapping_route,
    // Operator commands.
    usage,
    file_unreadable,
    version_conflict,
    not_promotable,
    wait_expired,
    platform_unavailable,
    platform_corrupt,
    // Client requests.
    malformed_request,
    no_configuration,
    no_route,
    no_endpoint,
    overloaded,
    leaving,
    deadline_exceeded,
    missing_idempotency_key,
    bad_idempotency_key,
    idempotency_key_reused,
    key_expired,
    ledger_unavailable,
    request_in_progress,
    outcome_unknown,
    answer_not_kept,
    crash_suspected,
    crash_quarantined,
    worker_unreachable,
    worker_refused,
    worker_failed,
    worker_crashed,
    unknown_credential,
    quota_exceeded,
    configuration_unverified,
    body_too_large,
    head_too_large,
    request_timed_out,
    out_of_memory,
    // Start-up.
    address_in_use,
};

/// What a response tells the client about the execution of its request.
enum class outcome {
    not_applicable, ///< the error does not concern a client request
    done,           ///< the request ran; this is its response, unless that was not kept
    not_run,        ///< the request was refused; no worker ran it or will run it
    unknown,        ///< the request may have run; it will not be run again under the same key
};

/// Describes how an error kind is reported to clients and operators.
struct error_info {
    error_kind kind;
    std::string_view name; ///< stable name used in output, logs and headers
    int http_status;       ///< 0 if the kind is never sent as an HTTP response
    outcome result;        ///< what the client may conclude about its request
    int exit_code;         ///< of the command-line programs
    std::string_view text; ///< human-readable message, also sent in response bodies
};

/// Returns the descriptions of all error kinds, in the order of the enumeration.
std::span<const error_info> error_table();

/// Returns the description of `kind`.
const error_info& error_info_of(error_kind kind);

/// Returns the stable name of `result`: "done", "not-run", "unknown" or "-".
std::string_view outcome_name(outcome result);

/// A location in a file. Lines and columns are numbered from 1; 0 refers to the file as a whole.
struct source_location {
    std::string file;
    int line = 0;
    int column = 0;
    auto operator<=>(const source_location&) const = default;
};

/// One fault of an input and its location.
struct fault {
    error_kind kind = error_kind::syntax;
    source_location location;
    std::string message;
    auto operator<=>(const fault&) const = default;
};

/// All faults of one input, ordered by location. Carried by Boost.LEAF as one error object.
struct fault_list {
    std::vector<fault> faults;
};

/// Formats a fault as "FILE:LINE:COLUMN: kind: message"; omits line and column if they are 0.
std::string to_string(const fault& value);

} // namespace waxwingfall

#endif
