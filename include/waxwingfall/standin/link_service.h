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

/// One forwarded address: connections to `listen` are carried on to `target`.
struct forwarding {
    std::string link; ///< the name of the link, for example "riga-a>riga-b"
    ip_address listen;
    ip_address target;
};

/// A stand-in for the links between data centres: carries TCP connections with a delay each way, and can be
/// told over HTTP to cut a link, to swallow all that passes, or to silence the connections that are open now.
class link_service {
public:
    link_service(const event_loop& loop, const ip_address& control,
                 const std::vector<forwarding>& forwardings, milliseconds delay);
    ~link_service();
    link_service(const link_service&) = delete;
    link_service& operator=(const link_service&) = delete;

private:
    enum class mode : std::uint8_t { pass, cut, swallow };
    struct piece {
        time_point due;
        std::string bytes;
    };
    struct connection;
    struct side {
        connection* owner = nullptr;
        bufferevent* from = nullptr;
        bufferevent* to = nullptr;
        std::deque<piece> pieces;
    };
    struct connection {
        link_service* service = nullptr;
        std::string link;
        side forward;
        side backward;
        bool silent = false;
        bool closing = false;
        time_point close_due;
    };
    struct listener {
        link_service* service = nullptr;
        forwarding where;
        evconnlistener* handle = nullptr;
    };

    void accept(const forwarding& where, int descriptor);
    void control(evhttp_request* request);
    void tick();
    mode mode_of(const std::string& link) const;
    static void on_read(bufferevent* from, void* context);
    static void on_event(bufferevent* from, short what, void* context);
    static void release(const connection& closed);

    const event_loop& loop_;
    milliseconds delay_;
    std::map<std::string, mode> modes_;
    std::map<std::string, std::uint64_t> bytes_; ///< carried, by link
    std::list<listener> listeners_;
    std::list<std::unique_ptr<connection>> connections_;
    http_server server_;
    loop_event ticker_;
};

} // namespace waxwingfall::standin

#endif
