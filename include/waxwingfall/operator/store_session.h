#ifndef WAXWINGFALL_OPERATOR_STORE_SESSION_H
#define WAXWINGFALL_OPERATOR_STORE_SESSION_H

#include <functional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/operator/commands.h"
#include "waxwingfall/store/head.h"
#include "waxwingfall/store/store_client.h"

namespace waxwingfall {

/// A head as it was read, with the revision that a compare-and-swap names.
struct read_head {
    environment_head head;
    std::uint64_t revision = 0;
    auto operator<=>(const read_head&) const = default;
};

/// Calls to the platform that wait for their answers, for programs that do one thing. Calls that did not take
/// effect are repeated until the patience is used up.
class store_session {
public:
    explicit store_session(const command_options& options);

    boost::leaf::result<read_head> load_head(const std::string& environment);

    /// The encoded contract with `digest`.
    boost::leaf::result<std::string> load_body(const std::string& environment, const std::string& digest);

    /// Writes a body under its digest. Bodies never change, so writing one twice does no harm.
    boost::leaf::result<void> save_body(const std::string& environment, const std::string& digest,
                                        const std::string& bytes);

    /// Gets a proposal accepted, or finds out why not. A write whose answer was lost is looked for before
    /// it is tried again.
    /// `bytes` are the content that the proposal's digest names.
    boost::leaf::result<proposal_verdict> propose(const std::string& environment, const proposal& wanted,
                                                  const std::string& bytes);

    boost::leaf::result<std::vector<wire::zone_report>> load_reports(const std::string& environment);

    /// Lets `delay` pass.
    void pause(milliseconds delay);

private:
    using starter = std::function<void(store_callback)>;
    store_answer call(const starter& start);
    boost::leaf::result<store_answer> call_patiently(const starter& start);

    event_loop loop_;
    store_client client_;
    milliseconds patience_;
};

} // namespace waxwingfall

#endif
