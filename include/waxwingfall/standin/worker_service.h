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

/// Settings of a stand-in for a backend server.
struct worker_options {
    std::string name;
    ip_address address;
    std::uint32_t slots = 12;
    milliseconds run_time{10}; ///< of a request on a warm worker
    milliseconds cold_time{0}; ///< after the start, for which requests take three times as long
    std::string run_log;       ///< a line for each request that ran: its key or number, and how it ended
};

/// A stand-in for a backend server: runs requests in a bounded number of slots, sheds load with a promise
/// that nothing ran, heeds deadlines and cancellation, and writes down each request that it ran. Paths under
/// /control change its behaviour: drain, lie about health, crash on a marked request, stall.
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
    void complete(std::uint64_t number);
    void stream(std::uint64_t number, std::uint64_t left);
    void note(const std::string& id, const std::string& what);
    void drop_closed(evhttp_connection* connection);
    void sweep();

    const event_loop& loop_;
    worker_options options_;
    time_point started_;
    std::map<std::uint64_t, std::unique_ptr<job>> jobs_;
    std::uint64_t next_job_ = 1;
    bool draining_ = false;
    std::string health_ = "ok";
    std::uint64_t cut_short_ = 0; ///< answers that are still to be cut after half of their body
    std::ofstream run_log_;
    http_server server_;
    loop_event sweep_;
};

} // namespace waxwingfall::standin

#endif
