#ifndef WAXWINGFALL_STANDIN_LOAD_H
#define WAXWINGFALL_STANDIN_LOAD_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/node/upstream.h"
#include "waxwingfall/support/random_source.h"

namespace waxwingfall::standin {

/// Settings of a load.
struct load_options {
    std::vector<ip_address> nodes;
    double rate = 100; ///< new requests a second
    milliseconds duration{5000};
    double post_share = 0.3; ///< of requests that are non-idempotent
    std::string host;
    std::string get_path;
    std::string post_path;
    std::uint32_t sends = 8; ///< of one request by its caller, the first included
    milliseconds resend_pause{250};
    milliseconds timeout{5000}; ///< for one answer
    std::uint64_t seed = 1;
    bool any_answer = false; ///< count any answer as done: straight to workers, for a baseline
    bool fresh_keys = false; ///< resend a request that was refused as not run under a new key
};

/// What a caller was told in the end.
enum class told : std::uint8_t { nothing, done, not_run, unknown };

/// One request of a caller, over all times that it was sent.
struct caller_request {
    std::string id;
    std::string key;
    bool is_post = false;
    told last = told::nothing;
    bool ever_unknown = false; ///< one sending ended unknown or without an answer
    std::uint32_t sent = 0;
    bool wrong_answer = false; ///< an answer to another request
    std::string last_reason;
    double latency_ms = 0; ///< of the first sending, if it was answered
    bool first_answered = false;
    ip_address last_node;         ///< that the last sending went to
    milliseconds last_sent{0};    ///< when it began, since the start of the load
    milliseconds last_settled{0}; ///< when it ended
};

/// A request whose caller was told nothing, or was told of an answer that no worker gave.
struct lost_request {
    std::string id;
    bool told_done = false; ///< but no worker ran it
    std::uint32_t sent = 0;
    ip_address node;           ///< that the last sending went to
    milliseconds last_sent{0}; ///< since the start of the load
    milliseconds last_settled{0};
};

/// The comparison of what callers were told with what workers ran.
struct load_report {
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t told_nothing = 0;
    std::uint64_t lost = 0; ///< told done, and no worker ran it; or told nothing
    std::vector<lost_request> lost_requests;
    std::uint64_t run_twice = 0;       ///< non-idempotent, and started more than once
    std::uint64_t refused_but_ran = 0; ///< told not run, and a worker started it
    std::uint64_t wrong_answers = 0;
    std::uint64_t resent = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    std::map<std::string, std::uint64_t> reasons; ///< of requests that were not answered
};

/// Sends requests at a fixed rate whatever the answers, as many independent callers do, and repeats those
/// whose outcome is open, under the same key, through other nodes.
class load {
public:
    load(const event_loop& loop, const load_options& options, std::function<void()> on_done);

    const std::vector<std::unique_ptr<caller_request>>& requests() const { return requests_; }

private:
    void tick();
    milliseconds since_start() const;
    void send(caller_request& request);
    void settle(caller_request& request, told what, const std::string& reason);

    const event_loop& loop_;
    load_options options_;
    std::function<void()> on_done_;
    upstream_pool pool_;
    random_source random_;
    time_point started_;
    std::uint64_t created_ = 0;
    std::uint64_t open_ = 0;
    std::vector<std::unique_ptr<caller_request>> requests_;
    std::vector<std::pair<time_point, caller_request*>> resends_;
    loop_event ticker_;
};

/// Compares the callers' requests with the workers' run logs.
load_report compare(const std::vector<std::unique_ptr<caller_request>>& requests,
                    const std::vector<std::string>& run_logs);

/// The report as one line of JSON.
std::string to_json(const load_report& report);

} // namespace waxwingfall::standin

#endif
