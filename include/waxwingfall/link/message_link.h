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

/// Traffic counters of a link since the process started.
struct link_counts {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_dropped = 0;     ///< the send queue of the peer was full
    std::uint64_t frames_refused = 0;     ///< could not be parsed
    std::uint64_t frames_unaddressed = 0; ///< not sent, because no address could be read
};

/// Messaging between nodes over ZeroMQ: one pull socket that receives from all peers, and one push socket for
/// each peer. Messages to an unreachable peer wait in a bounded queue and are dropped when it is full; the
/// protocols above tolerate loss, duplication and delay. Heartbeats detect a silent connection, which is
/// replaced within four seconds.
class message_link {
public:
    /// Binds `address` ("IP:PORT"); throws zmq::error_t if it can't be bound.
    message_link(const event_loop& loop, const std::string& address,
                 std::vector<address_translation> translations,
                 std::function<void(const wire::frame&)> on_frame);

    /// Queues a frame for the node that listens on `address`. Does nothing if `address` is empty; only counts
    /// the frame if it is no address.
    void send(const std::string& address, const wire::frame& frame);

    /// Closes the sockets of peers to which nothing was sent for longer than `idle`.
    void close_idle(time_point now, milliseconds idle);

    const link_counts& counts() const { return counts_; }
    std::size_t open_peers() const { return peers_.size(); }

private:
    struct peer {
        zmq::socket_t socket;
        time_point last_used;
    };
    void receive_all();
    /// The socket for an address, or null if `address` is none.
    peer* connect(const std::string& address);

    zmq::context_t context_{1};
    zmq::socket_t receive_socket_;
    std::map<std::string, peer> peers_;
    std::vector<address_translation> translations_;
    std::function<void(const wire::frame&)> on_frame_;
    link_counts counts_;
    loop_event readable_event_;
    loop_event poll_timer_;
};

} // namespace waxwingfall

#endif
