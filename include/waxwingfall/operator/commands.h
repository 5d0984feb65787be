#ifndef WAXWINGFALL_OPERATOR_COMMANDS_H
#define WAXWINGFALL_OPERATOR_COMMANDS_H

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "waxwingfall/link/address.h"
#include "waxwingfall/support/error.h"
#include "waxwingfall/support/time.h"

namespace waxwingfall {

/// An error of a command with what an operator needs to know: the LEAF error object of all commands.
struct command_error {
    error_kind kind = error_kind::usage;
    std::string message;
};

/// What all commands share.
struct command_options {
    ip_address platform;
    bool json = false;
    std::string author;
    std::string operation;         ///< the id that makes a write recognisable; made at random by the program
    milliseconds patience{10'000}; ///< for which an unreachable platform is asked again
};

/// The settings of `promote`.
struct promote_options {
    std::string from;
    std::string to;
    std::uint64_t expected_version = 0; ///< the version of `from` that was reviewed
    milliseconds soak{5'000};           ///< for which it must have been in force everywhere
    double max_failed_percent = 1.0;    ///< of calls meanwhile
};

/// Checks a document; its faults are the LEAF error `fault_list`.
boost::leaf::result<void> run_check(const std::string& path, bool json, std::ostream& out);

/// Prints the difference between what is accepted and a document.
boost::leaf::result<void> run_plan(const command_options& options, const std::string& path,
                                   const std::string& environment, std::ostream& out);

/// Makes a document the accepted one. The same content makes no new version.
boost::leaf::result<void> run_apply(const command_options& options, const std::string& path,
                                    const std::string& environment, std::optional<std::uint64_t> expected,
                                    const std::string& source_revision, std::ostream& out);

/// Makes the reviewed version of one environment the accepted one of another.
boost::leaf::result<void> run_promote(const command_options& options, const promote_options& promotion,
                                      std::ostream& out);

/// Prints which version each data centre enforces, who lags, and who refuses it and why.
boost::leaf::result<void> run_status(const command_options& options, const std::string& environment,
                                     std::ostream& out);

/// Waits until every data centre that reports enforces at least a version on all its nodes.
boost::leaf::result<void> run_wait(const command_options& options, const std::string& environment,
                                   std::uint64_t version, milliseconds timeout, std::ostream& out);

/// Prints the accepted versions, the newest first.
boost::leaf::result<void> run_history(const command_options& options, const std::string& environment,
                                      std::ostream& out);

/// Prints the events of several processes' logs as one time line, in the order of their hybrid clocks.
boost::leaf::result<void> run_timeline(const std::vector<std::string>& paths, bool json, std::ostream& out);

/// Prints what the processes' logs say of one request: the decisions about it and about the calls that its
/// run made, and, between the first and the last of them, whatever changed the beliefs of the processes that
/// decided. Fails if no log names the request.
boost::leaf::result<void> run_trace(const std::string& request, const std::vector<std::string>& paths,
                                    bool json, std::ostream& out);

} // namespace waxwingfall

#endif
