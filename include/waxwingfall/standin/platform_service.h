#ifndef WAXWINGFALL_STANDIN_PLATFORM_SERVICE_H
#define WAXWINGFALL_STANDIN_PLATFORM_SERVICE_H

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/link/http.h"

namespace waxwingfall::standin {

/// A stand-in for the platform's key-value service, for tests and demonstrations: one process, memory only,
/// in the form of platform/store_wire.h. It can be told over HTTP to be down, slow, to lose answers after a
/// write, to forget its history, or to go back to an earlier state.
class platform_service {
public:
    platform_service(const event_loop& loop, const ip_address& address);

private:
    struct entry {
        std::string value; ///< as it came, in base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<entry> written; ///< nothing if the key was removed
    };
    struct lease {
        milliseconds lifetime{};
        time_point lapses;
    };
    struct watch {
        evhttp_request* request = nullptr;
        std::string prefix;
        std::uint64_t after = 0;
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
    void watch_changes(evhttp_request* request);
    bool answer_changes(const watch& waiting);
    void set(const std::string& key, std::string value, std::uint64_t lease);
    void erase(const std::string& key);
    void end_leased(std::uint64_t lease);
    void wake_watches();
    void tick();
    void drop_closed(evhttp_connection* connection);

    const event_loop& loop_;
    std::map<std::string, entry> entries_;
    std::map<std::string, entry> saved_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<change> history_;
    std::uint64_t forgotten_ = 0; ///< changes up to this revision are no longer in the history
    std::list<watch> watches_;
    std::list<delayed> delayed_;
    std::uint64_t revision_ = 1;
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
