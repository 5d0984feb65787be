#ifndef WAXWINGFALL_STANDIN_WORKER_SERVICE_H
#define WAXWINGFALL_STANDIN_WORKER_SERVICE_H

#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <string>

#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/link/http.h"
#include "waxwingfall/support/random_source.h"

namespace waxwingfall::standin {

/// Settings of a stand-in backend server.
struct worker_options {
    std::string name;
    ip_address address;
    std::uint32_t slots = 12;
    milliseconds run_time{10};   ///< per request, after the warm-up
    milliseconds warmup_time{0}; ///< after the start, in which requests take three times as long
    std::string run_log; ///< path of the log of requests: one line with request id and event per event
};

/// A stand-in backend server. It runs requests in a bounded number of slots, rejects excess requests with the
/// header X-Not-Run, observes deadlines and cancellation, and logs each request that it runs. Query
/// parameters of /control drain it, set the health status that it reports, truncate responses, set the run
/// time and the rate limit that it states, which it does not enforce; a request with the query parameter
/// `crash` ends the process, one with `headers` is answered with the headers that it arrived with, and one
/// with `status` is answered with that status after it has run.
class worker_service {
public:
    worker_service(const event_loop& loop, const worker_options& options);

private:
    struct job {
        evhttp_request* request = nullptr;
        std::string id;
        std::uint64_t bytes = 0;
        loop_event timer;
    };

    void receive(evhttp_request* request);
    void control(evhttp_request* request);
    void start(evhttp_request* request);
    void complete(std::uint64_t job_id);
    void stream(std::uint64_t job_id, std::uint64_t remaining);
    void log_run(const std::string& id, const std::string& event);
    void on_connection_closed(evhttp_connection* connection);
    void close_disconnected();

    const event_loop& loop_;
    worker_options options_;
    time_point started_;
    std::map<std::uint64_t, std::unique_ptr<job>> jobs_;
    std::uint64_t next_job_ = 1;
    bool draining_ = false;
    std::string health_ = "ok";
    std::string rate_limit_; ///< stated in all responses, in requests a second; empty for none
    std::uint64_t responses_to_truncate_ = 0; ///< next responses that end after half of their body
    std::ofstream run_log_;
    http_server server_;
    loop_event disconnect_check_;
};

} // namespace waxwingfall::standin

#endif
