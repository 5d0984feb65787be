#ifndef WAXWINGFALL_SUPPORT_ERROR_H
#define WAXWINGFALL_SUPPORT_ERROR_H

#include <compare>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingfall {

/// The closed list of everything that can go wrong. docs/errors.md holds one line for each, and a test
/// compares the two.
enum class error_kind {
    // Faults in a document or a settings file.
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
    // Operators' commands.
    usage,
    file_unreadable,
    version_conflict,
    not_promotable,
    wait_expired,
    platform_unavailable,
    platform_corrupt,
    // Callers' requests.
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
    crash_quarantined,
    worker_unreachable,
    worker_refused,
    worker_failed,
    worker_crashed,
    // Start-up.
    address_in_use,
};

/// What a caller may conclude about its request from an answer.
enum class outcome {
    not_applicable, ///< the error concerns no request of a caller
    done,           ///< the request ran and this is its answer
    not_run,        ///< the request was refused; no worker ran it and none will
    unknown,        ///< the request may have run; it will not be run again under the same key
};

/// One row of the table from error kind to answer.
struct error_answer {
    error_kind kind;
    std::string_view name; ///< stable text used in output, logs and headers
    int http_status;       ///< 0 if the kind is never an answer to a caller
    outcome result;        ///< what a caller may conclude
    int exit_code;         ///< of a command-line program
    std::string_view text; ///< one lower-case sentence for people
};

/// The whole table, one row for each kind, in the order of the enumeration.
std::span<const error_answer> error_table();

/// The row of `kind`.
const error_answer& answer_of(error_kind kind);

/// The stable name of `result`: "done", "not-run", "unknown" or "-".
std::string_view outcome_name(outcome result);

/// A place in a file; line and column count from 1, and 0 stands for the file as a whole.
struct source_place {
    std::string file;
    int line = 0;
    int column = 0;
    auto operator<=>(const source_place&) const = default;
};

/// One fault with the place that it was found at.
struct fault {
    error_kind kind = error_kind::syntax;
    source_place place;
    std::string message;
    auto operator<=>(const fault&) const = default;
};

/// All faults of one input, ordered by place. Carried by Boost.LEAF as one error object.
struct fault_list {
    std::vector<fault> faults;
};

/// Formats a fault as "FILE:LINE:COLUMN: kind: message"; line and column are left out if they are 0.
std::string to_string(const fault& value);

} // namespace waxwingfall

#endif
