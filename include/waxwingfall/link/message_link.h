#ifndef WAXWINGFALL_LINK_MESSAGE_LINK_H
#define WAXWINGFALL_LINK_MESSAGE_LINK_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <zmq.hpp>

#include "waxwingfall/link/address.h"
#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/wire/wire.pb.h"

namespace waxwingfall {

/// Counts of a link, all since the start.
struct link_counts {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_dropped = 0; ///< the queue to the peer was full
    std::uint64_t frames_refused = 0; ///< did not parse
};

/// Messages between nodes: one socket that receives from all, and one for each peer that is sent to. A
/// message to a peer that can't be reached waits in a short queue and is dropped when that is full; every
/// protocol above bears loss, doubling and delay. Silent connections are noticed by heartbeats and replaced
/// within four seconds.
class message_link {
public:
    /// Binds `address` ("IP:PORT"); throws zmq::error_t if it can't be bound.
    message_link(const event_loop& loop, const std::string& address,
                 std::vector<address_translation> translations,
                 std::function<void(const wire::frame&)> on_frame);

    /// Sends a frame to the node that listens at `address`.
    void send(const std::string& address, const wire::frame& frame);

    /// Closes sockets to peers that nothing was sent to for `idle`.
    void close_idle(time_point now, milliseconds idle);

    const link_counts& counts() const { return counts_; }
    std::size_t open_peers() const { return peers_.size(); }

private:
    struct peer {
        zmq::socket_t socket;
        time_point last_used;
    };
    void receive_all();
    peer& connect(const std::string& address);

    zmq::context_t context_{1};
    zmq::socket_t inbox_;
    std::map<std::string, peer> peers_;
    std::vector<address_translation> translations_;
    std::function<void(const wire::frame&)> on_frame_;
    link_counts counts_;
    loop_event readable_;
    loop_event poll_;
};

} // namespace waxwingfall

#endif
