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

/// A head with the store revision at which it was read, the expected revision of a compare-and-swap.
struct revisioned_head {
    environment_head head;
    std::uint64_t revision = 0;
    auto operator<=>(const revisioned_head&) const = default;
};

/// Blocking calls to the platform's key-value service, for command-line programs. Calls that did not
/// take effect or whose outcome is unknown are retried until the retry timeout expires.
class store_session {
public:
    explicit store_session(const command_options& options);

    boost::leaf::result<revisioned_head> load_head(const std::string& environment);

    /// The encoded contract with `digest`.
    boost::leaf::result<std::string> load_body(const std::string& environment, const std::string& digest);

    /// Writes a body under its digest. The content of a digest never changes, so repeating the write is safe.
    boost::leaf::result<void> save_body(const std::string& environment, const std::string& digest,
                                        const std::string& bytes);

    /// Writes a proposal to the head, or returns why it was not accepted. If the response to a write was
    /// lost, the head is reread to find out whether the write took effect before it is retried.
    ///
    /// \param bytes the content whose digest is `requested.digest`.
    boost::leaf::result<proposal_verdict> propose(const std::string& environment, const proposal& requested,
                                                  const std::string& bytes);

    boost::leaf::result<std::vector<wire::zone_report>> load_reports(const std::string& environment);

    /// Runs the event loop for `delay`.
    void pause(milliseconds delay);

private:
    /// Starts an asynchronous call that ends with the given callback.
    using async_call = std::function<void(store_callback)>;

    store_response call(const async_call& start);
    boost::leaf::result<store_response> call_with_retries(const async_call& start);

    event_loop loop_;
    store_client client_;
    milliseconds retry_timeout_;
};

} // namespace waxwingfall

#endif
