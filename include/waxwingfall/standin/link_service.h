#ifndef WAXWINGFALL_STANDIN_LINK_SERVICE_H
#define WAXWINGFALL_STANDIN_LINK_SERVICE_H

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/link/http.h"

namespace waxwingfall::standin {

/// Connections to `listen` are forwarded to `target`.
struct forwarding_rule {
    std::string link; ///< name of the link, for example "riga-a>riga-b"
    ip_address listen;
    ip_address target;
};

/// A TCP proxy that stands in for the network links between data centres. It delays each direction by a fixed
/// time. Faults are injected over HTTP at /control: the mode of a link is set to "pass", "cut" or "swallow",
/// and "silence" discards the traffic of the connections that are open now but not that of later ones.
class link_service {
public:
    link_service(const event_loop& loop, const ip_address& control, const std::vector<forwarding_rule>& rules,
                 milliseconds delay);
    ~link_service();
    link_service(const link_service&) = delete;
    link_service& operator=(const link_service&) = delete;

private:
    enum class mode : std::uint8_t {
        pass,       ///< forwards traffic
        disconnect, ///< closes open connections, and new ones at once; "cut" in requests
        blackhole   ///< discards data and does not pass on closes; "swallow" in requests
    };
    /// Data that is written to the target after the link delay.
    struct delayed_chunk {
        time_point due;
        std::string bytes;
    };
    struct connection;
    /// One direction of a proxied connection.
    struct flow {
        connection* owner = nullptr;
        bufferevent* from = nullptr;
        bufferevent* to = nullptr;
        std::deque<delayed_chunk> chunks;
    };
    struct connection {
        link_service* service = nullptr;
        std::string link;
        flow forward;
        flow backward;
        bool blackholed = false; ///< by "silence", whatever the mode of the link
        bool closing = false;
        time_point close_at;
    };
    struct listener {
        link_service* service = nullptr;
        forwarding_rule rule;
        evconnlistener* handle = nullptr;
    };

    void accept(const forwarding_rule& rule, int descriptor);
    void control(evhttp_request* request);
    void tick();
    mode mode_of(const std::string& link) const;
    static void on_read(bufferevent* from, void* context);
    static void on_event(bufferevent* from, short events, void* context);
    static void free_streams(const connection& closed);

    const event_loop& loop_;
    milliseconds delay_;
    std::map<std::string, mode> modes_;
    std::map<std::string, std::uint64_t> forwarded_bytes_; ///< by link name
    std::list<listener> listeners_;
    std::list<std::unique_ptr<connection>> connections_;
    http_server server_;
    loop_event ticker_;
};

} // namespace waxwingfall::standin

#endif
