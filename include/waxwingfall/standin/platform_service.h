#ifndef WAXWINGFALL_STANDIN_PLATFORM_SERVICE_H
#define WAXWINGFALL_STANDIN_PLATFORM_SERVICE_H

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/link/http.h"

namespace waxwingfall::standin {

/// A stand-in for the platform's key-value service, for tests and demonstrations: one process, memory only.
/// It can be told over HTTP to be down, slow, to lose answers after a write, or to go back to an earlier
/// state.
class platform_service {
public:
    platform_service(const event_loop& loop, const ip_address& address);

private:
    struct entry {
        std::string bytes;
        std::uint64_t revision = 0;
        std::string lease;
    };
    struct lease {
        milliseconds lifetime{};
        time_point lapses;
    };
    struct watch {
        evhttp_request* request = nullptr;
        std::string key;
        std::uint64_t known = 0;
        time_point ends;
    };
    struct delayed {
        evhttp_request* request = nullptr;
        time_point due;
    };
    struct counts {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t watches = 0;
        std::uint64_t lease_calls = 0;
        std::uint64_t bytes_out = 0;
    };

    void receive(evhttp_request* request);
    void dispatch(evhttp_request* request);
    void read(evhttp_request* request);
    void write(evhttp_request* request);
    void list(evhttp_request* request);
    void change_lease(evhttp_request* request);
    void control(evhttp_request* request);
    void answer_value(evhttp_request* request, const std::string& key);
    void wake_watches(const std::string& key);
    void tick();
    void drop_closed(evhttp_connection* connection);

    const event_loop& loop_;
    std::map<std::string, entry> entries_;
    std::map<std::string, entry> saved_;
    std::map<std::string, lease> leases_;
    std::list<watch> watches_;
    std::list<delayed> delayed_;
    std::uint64_t revision_ = 0;
    std::uint64_t next_lease_ = 1;
    counts counts_;
    bool down_ = false;
    milliseconds slow_{0};
    int lose_answers_ = 0;
    http_server server_;
    loop_event ticker_;
};

} // namespace waxwingfall::standin

#endif
