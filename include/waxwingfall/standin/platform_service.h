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

/// An in-memory stand-in for the platform's key-value service, for tests and demonstrations. It implements
/// the protocol of platform/store_wire.h in a single process. Faults are injected over HTTP at /control:
/// dropped connections, delayed or no responses, responses lost after a write, compaction of the history, and
/// a rollback to a saved state.
class platform_service {
public:
    platform_service(const event_loop& loop, const ip_address& address);

private:
    struct entry {
        std::string value; ///< base64, as received
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<entry> new_entry; ///< empty if the key was removed
    };
    struct lease {
        milliseconds lifetime{};
        time_point expires_at;
    };
    struct watch {
        evhttp_request* request = nullptr;
        std::string prefix;
        std::uint64_t after = 0;
        time_point deadline;
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
    bool respond_with_changes(const watch& pending);
    void put_entry(const std::string& key, std::string value, std::uint64_t lease);
    void remove_entry(const std::string& key);
    void remove_leased_entries(std::uint64_t lease);
    void notify_watches();
    void tick();
    void on_connection_closed(evhttp_connection* connection);

    const event_loop& loop_;
    std::map<std::string, entry> entries_;
    std::map<std::string, entry> saved_entries_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<change> history_;
    std::uint64_t compacted_revision_ = 0; ///< watches after an earlier revision get status 410
    std::list<watch> watches_;
    std::list<delayed> delayed_;
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 1;
    counts counts_;
    bool down_ = false;
    bool silent_ = false; ///< calls get no response, and their connections stay open
    milliseconds response_delay_{0};
    int responses_to_drop_ = 0; ///< after the write was applied
    http_server server_;
    loop_event ticker_;
};

} // namespace waxwingfall::standin

#endif
