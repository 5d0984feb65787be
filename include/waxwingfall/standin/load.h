#ifndef WAXWINGFALL_STANDIN_LOAD_H
#define WAXWINGFALL_STANDIN_LOAD_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/proxy/upstream.h"
#include "waxwingfall/support/random_source.h"

namespace waxwingfall::standin {

/// Settings of a load generator.
struct load_options {
    std::vector<ip_address> nodes;
    double rate = 100; ///< new requests per second
    milliseconds duration{5000};
    double post_share = 0.3; ///< share of non-idempotent requests
    std::string host;
    std::string get_path;
    std::string post_path;
    std::uint32_t max_attempts = 8; ///< per request, including the first
    milliseconds retry_delay{250};
    milliseconds timeout{5000}; ///< per attempt
    std::uint64_t seed = 1;
    bool accept_any_response = false; ///< count any response as done, for a baseline without nodes
    bool renew_keys = false; ///< retry a request that was refused as not run with a new idempotency key
};

/// Outcome of a request as its client sees it. `no_response` means that the connection broke or timed out
/// after the request was sent.
enum class client_outcome : std::uint8_t { no_response, done, not_run, unknown };

/// One request of a client with all its attempts.
struct client_request {
    std::string id;
    std::string key;
    bool is_post = false;
    client_outcome last_outcome = client_outcome::no_response;
    bool ever_unknown = false; ///< an attempt ended as unknown or without a response
    std::uint32_t attempts = 0;
    bool mismatched_response = false; ///< a response belonged to another request
    std::string last_reason;
    double latency_ms = 0; ///< of the first attempt, if it was done
    bool first_attempt_done = false;
    ip_address last_node;         ///< target of the last attempt
    milliseconds last_started{0}; ///< start of the last attempt, since the start of the load
    milliseconds last_ended{0};   ///< end of the last attempt, since the start of the load
};

/// A request whose client got no response, or got a response although no worker ran the request.
struct lost_request {
    std::string id;
    bool reported_done = false; ///< the client got a response, but no worker ran the request
    std::uint32_t attempts = 0;
    ip_address node;              ///< target of the last attempt
    milliseconds last_started{0}; ///< since the start of the load
    milliseconds last_ended{0};
};

/// Comparison of the outcomes that clients saw with the requests that workers ran.
struct load_report {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; ///< done
    std::uint64_t refused = 0;  ///< not run in any attempt
    std::uint64_t unknown = 0;
    std::uint64_t no_response = 0;
    std::uint64_t lost = 0; ///< reported as done but never run, or without a response
    std::vector<lost_request> lost_requests;
    std::uint64_t run_twice = 0;       ///< non-idempotent requests that were started more than once
    std::uint64_t refused_but_ran = 0; ///< reported as not run, but started by a worker
    std::uint64_t mismatched_responses = 0;
    std::uint64_t retries = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    std::map<std::string, std::uint64_t> reasons; ///< last reasons of the requests that were not done
};

/// An open-loop load generator: it sends requests at a fixed rate that does not depend on the responses, as
/// many independent clients do. A request that is not done is retried through a random node with the same
/// idempotency key (but see `load_options::renew_keys`), up to the maximum number of attempts.
class load_generator {
public:
    load_generator(const event_loop& loop, const load_options& options, std::function<void()> on_done);

    const std::vector<std::unique_ptr<client_request>>& requests() const { return requests_; }

private:
    void tick();
    milliseconds since_start() const;
    void send(client_request& request);
    void end_attempt(client_request& request, client_outcome outcome, const std::string& reason);

    const event_loop& loop_;
    load_options options_;
    std::function<void()> on_done_;
    upstream_pool pool_;
    random_source random_;
    time_point started_;
    std::uint64_t created_ = 0;
    std::uint64_t open_requests_ = 0;
    std::vector<std::unique_ptr<client_request>> requests_;
    std::vector<std::pair<time_point, client_request*>> retries_;
    loop_event ticker_;
};

/// Compares the clients' requests with the workers' run logs.
load_report compare(const std::vector<std::unique_ptr<client_request>>& requests,
                    const std::vector<std::string>& run_logs);

/// Returns the report as one line of JSON.
std::string to_json(const load_report& report);

} // namespace waxwingfall::standin

#endif
