#include "waxwingfall/support/error.h"

#include <array>
#include <cassert>

namespace waxwingfall {

namespace {

using enum error_kind;

constexpr int exit_input = 1;
constexpr int exit_usage = 2;
constexpr int exit_conflict = 3;
constexpr int exit_refused = 4;
constexpr int exit_unavailable = 5;
constexpr int exit_expired = 6;

constexpr std::array table{
    error_info{syntax, "syntax", 0, outcome::not_applicable, exit_input, "the file is not well-formed YAML"},
    error_info{not_utf8, "not-utf8", 0, outcome::not_applicable, exit_input, "the file is not UTF-8 text"},
    error_info{too_large, "too-large", 0, outcome::not_applicable, exit_input,
               "the file is over one megabyte"},
    error_info{too_deep, "too-deep", 0, outcome::not_applicable, exit_input, "values are nested too deeply"},
    error_info{alias_refused, "alias-refused", 0, outcome::not_applicable, exit_input,
               "YAML anchors and aliases are not accepted"},
    error_info{duplicate_key, "duplicate-key", 0, outcome::not_applicable, exit_input,
               "a key is defined more than once"},
    error_info{unknown_key, "unknown-key", 0, outcome::not_applicable, exit_input,
               "the key is not allowed here"},
    error_info{missing_key, "missing-key", 0, outcome::not_applicable, exit_input,
               "a required key is absent"},
    error_info{wrong_type, "wrong-type", 0, outcome::not_applicable, exit_input,
               "the value has the wrong type"},
    error_info{out_of_range, "out-of-range", 0, outcome::not_applicable, exit_input,
               "the value is out of range"},
    error_info{dangling_reference, "dangling-reference", 0, outcome::not_applicable, exit_input,
               "a name refers to nothing in the same document"},
    error_info{dependency_cycle, "dependency-cycle", 0, outcome::not_applicable, exit_input,
               "services depend on each other in a cycle"},
    error_info{overlapping_route, "overlapping-route", 0, outcome::not_applicable, exit_input,
               "two routes match the same requests"},
    error_info{usage, "usage", 0, outcome::not_applicable, exit_usage, "the command line is invalid"},
    error_info{file_unreadable, "file-unreadable", 0, outcome::not_applicable, exit_input,
               "the file can't be read"},
    error_info{version_conflict, "version-conflict", 0, outcome::not_applicable, exit_conflict,
               "another version was accepted first"},
    error_info{not_promotable, "not-promotable", 0, outcome::not_applicable, exit_refused,
               "the version does not meet the conditions for promotion from its environment"},
    error_info{wait_expired, "wait-expired", 0, outcome::not_applicable, exit_expired,
               "the version is not active everywhere yet"},
    error_info{platform_unavailable, "platform-unavailable", 0, outcome::not_applicable, exit_unavailable,
               "the platform's key-value service does not respond"},
    error_info{platform_corrupt, "platform-corrupt", 0, outcome::not_applicable, exit_unavailable,
               "a value in the platform's key-value service is corrupt"},
    error_info{malformed_request, "malformed-request", 400, outcome::not_run, exit_input,
               "the request is malformed"},
    error_info{no_configuration, "no-configuration", 503, outcome::not_run, exit_unavailable,
               "this node has no accepted document yet"},
    error_info{no_route, "no-route", 404, outcome::not_run, exit_input, "no route matches the request"},
    error_info{no_endpoint, "no-endpoint", 503, outcome::not_run, exit_unavailable,
               "no worker of the service accepts work"},
    error_info{overloaded, "overloaded", 503, outcome::not_run, exit_unavailable,
               "the service is overloaded"},
    error_info{leaving, "leaving", 503, outcome::not_run, exit_unavailable, "the worker is shutting down"},
    error_info{deadline_exceeded, "deadline-exceeded", 504, outcome::not_run, exit_expired,
               "the request can't finish before its deadline"},
    error_info{missing_idempotency_key, "missing-idempotency-key", 400, outcome::not_run, exit_input,
               "the route needs an Idempotency-Key header"},
    error_info{bad_idempotency_key, "bad-idempotency-key", 400, outcome::not_run, exit_input,
               "the Idempotency-Key is not a UUID of version 7 with a plausible time"},
    error_info{idempotency_key_reused, "idempotency-key-reused", 422, outcome::not_run, exit_input,
               "the Idempotency-Key belongs to a different request"},
    error_info{key_expired, "key-expired", 409, outcome::unknown, exit_expired,
               "the Idempotency-Key is older than the records that are kept"},
    error_info{ledger_unavailable, "ledger-unavailable", 503, outcome::not_run, exit_unavailable,
               "the record of Idempotency-Keys is out of reach"},
    error_info{request_in_progress, "request-in-progress", 409, outcome::unknown, exit_refused,
               "the request with this Idempotency-Key is still running"},
    error_info{outcome_unknown, "outcome-unknown", 504, outcome::unknown, exit_refused,
               "the request may have run and will not be run again"},
    error_info{answer_not_kept, "answer-not-kept", 409, outcome::done, exit_refused,
               "the request ran once, and its answer was too large to keep"},
    error_info{crash_suspected, "crash-suspected", 503, outcome::not_run, exit_unavailable,
               "a request like this one runs on trial, since workers crashed under such requests"},
    error_info{crash_quarantined, "crash-quarantined", 422, outcome::not_run, exit_refused,
               "requests like this one crashed workers"},
    error_info{worker_unreachable, "worker-unreachable", 503, outcome::not_run, exit_unavailable,
               "the worker can't be reached"},
    error_info{worker_refused, "worker-refused", 503, outcome::not_run, exit_unavailable,
               "the worker refused the request"},
    error_info{worker_failed, "worker-failed", 502, outcome::unknown, exit_unavailable,
               "the worker failed while it ran the request"},
    error_info{worker_crashed, "worker-crashed", 502, outcome::unknown, exit_unavailable,
               "the worker crashed while it ran the request"},
    error_info{unknown_credential, "unknown-credential", 401, outcome::not_run, exit_input,
               "the request has no key of a customer"},
    error_info{quota_exceeded, "quota-exceeded", 429, outcome::not_run, exit_refused,
               "the customer's rate limit is exceeded"},
    error_info{configuration_unverified, "configuration-unverified", 503, outcome::not_run, exit_unavailable,
               "this node can't verify that the customer's key is still valid"},
    error_info{body_too_large, "body-too-large", 413, outcome::not_run, exit_input,
               "the body of the request is over the limit"},
    error_info{head_too_large, "head-too-large", 431, outcome::not_run, exit_input,
               "the headers of the request are over the limit"},
    error_info{request_timed_out, "request-timed-out", 408, outcome::not_run, exit_expired,
               "the request was not received completely in time"},
    error_info{out_of_memory, "out-of-memory", 503, outcome::not_run, exit_unavailable,
               "this node holds as many bytes of requests as it may"},
    error_info{address_in_use, "address-in-use", 0, outcome::not_applicable, exit_unavailable,
               "a listening address can't be bound"},
};

constexpr bool rows_are_in_order() {
    for (std::size_t index = 0; index < table.size(); ++index) {
        if (static_cast<std::size_t>(table.at(index).kind) != index) {
            return false;
        }
    }
    return true;
}
static_assert(rows_are_in_order(),
              "the table must have one row per error kind, in the order of the enumeration");

} // namespace

std::span<const error_info> error_table() {
    return table;
}

const error_info& error_info_of(error_kind kind) {
    const auto index = static_cast<std::size_t>(kind);
    assert(index < table.size() && "error kind has no row in the table");
    return table.at(index);
}

std::string_view outcome_name(outcome result) {
    switch (result) {
    case outcome::not_applicable:
        return "-";
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        return "unknown";
    }
    return "-";
}

std::string to_string(const fault& value) {
    std::string text = value.location.file;
    if (value.location.line > 0) {
        text += ":" + std::to_string(value.location.line) + ":" + std::to_string(value.location.column);
    }
    text += ": ";
    text += error_info_of(value.kind).name;
    text += ": ";
    text += value.message;
    return text;
}

} // namespace waxwingfall
