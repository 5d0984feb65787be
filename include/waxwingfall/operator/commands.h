#ifndef WAXWINGFALL_OPERATOR_COMMANDS_H
#define WAXWINGFALL_OPERATOR_COMMANDS_H

#include <cstdint>
#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "waxwingfall/link/address.h"
#include "waxwingfall/support/error.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// An error of a command with a message for the operator. All commands report it as a LEAF error object.
struct command_error {
    error_kind kind = error_kind::usage;
    std::string message;
};

/// Options common to all commands that access the platform.
struct command_options {
    ip_address platform;
    bool json = false;
    std::string author;
    std::string operation; ///< random id of this invocation; identifies its own write when the head is reread
    milliseconds retry_timeout{10'000}; ///< how long calls to an unreachable platform are retried
};

/// Options of `promote`.
struct promote_options {
    std::string from;                   ///< source environment
    std::string to;                     ///< target environment
    std::uint64_t expected_version = 0; ///< the version of `from` that was reviewed
    milliseconds soak{5'000};           ///< how long all nodes must have enforced it
    double max_failed_percent = 1.0;    ///< largest percentage of failed calls during that time
};

/// Validates a document. Its faults are reported as the LEAF error `fault_list`.
boost::leaf::result<void> run_check(const std::string& path, bool json, std::ostream& out);

/// Prints the difference between the accepted version and a document.
boost::leaf::result<void> run_plan(const command_options& options, const std::string& path,
                                   const std::string& environment, std::ostream& out);

/// Makes a document the accepted version. Unchanged content creates no new version.
boost::leaf::result<void> run_apply(const command_options& options, const std::string& path,
                                    const std::string& environment, std::optional<std::uint64_t> expected,
                                    const std::string& source_revision, std::ostream& out);

/// Makes the reviewed version of one environment the accepted version of another.
boost::leaf::result<void> run_promote(const command_options& options, const promote_options& promotion,
                                      std::ostream& out);

/// Prints which version each data centre enforces, and which nodes lag behind or reject a version and why.
boost::leaf::result<void> run_status(const command_options& options, const std::string& environment,
                                     std::ostream& out);

/// Waits until every reporting data centre enforces `version` or a later one on all its nodes.
boost::leaf::result<void> run_wait(const command_options& options, const std::string& environment,
                                   std::uint64_t version, milliseconds timeout, std::ostream& out);

/// Prints the accepted versions, newest first.
boost::leaf::result<void> run_history(const command_options& options, const std::string& environment,
                                      std::ostream& out);

/// Merges the events of the logs of several processes into one timeline, ordered by their hybrid clocks.
boost::leaf::result<void> run_timeline(const std::vector<std::string>& paths, bool json, std::ostream& out);

/// Prints the logged events of one request: the decisions about it and about the downstream calls made while
/// it ran, and, between the first and the last of them, the events that changed the state on which the
/// deciding processes based their decisions. Fails if no log contains the request.
boost::leaf::result<void> run_trace(const std::string& request, const std::vector<std::string>& paths,
                                    bool json, std::ostream& out);

/// Reads a customer's key from the first line of `in` and prints the digest by which documents name it. The
/// key is neither an argument nor an option, so that it appears in no list of processes and no shell history.
boost::leaf::result<void> run_digest_key(std::istream& in, std::ostream& out);

} // namespace waxwingfall

#endif
