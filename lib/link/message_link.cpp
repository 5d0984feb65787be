#include "waxwingfall/link/message_link.h"

namespace waxwingfall {

namespace {

constexpr int max_frame_bytes = 4 * 1024 * 1024;
constexpr int heartbeat_interval_ms = 1500;
constexpr int heartbeat_timeout_ms = 2500;
constexpr int send_queue_frames = 256;
constexpr int receive_queue_frames = 4096;
constexpr int reconnect_first_ms = 100;
constexpr int reconnect_limit_ms = 2000;
constexpr int frames_per_wake = 512;
constexpr milliseconds poll_period{100};

template <typename Socket> void set_common_options(Socket& socket) {
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(max_frame_bytes));
}

} // namespace

message_link::message_link(const event_loop& loop, const std::string& address,
                           std::vector<address_translation> translations,
                           std::function<void(const wire::frame&)> on_frame)
    : inbox_(context_, zmq::socket_type::pull), translations_(std::move(translations)),
      on_frame_(std::move(on_frame)) {
    set_common_options(inbox_);
    inbox_.set(zmq::sockopt::rcvhwm, receive_queue_frames);
    inbox_.bind("tcp://" + address);
    readable_ = loop_event::on_readable(loop, inbox_.get(zmq::sockopt::fd), [this] { receive_all(); });
    // The descriptor is edge-triggered, and a burst is cut after a bounded number of frames: the rest waits
    // here if no further edge comes.
    poll_ = loop_event::every(loop, poll_period, [this] { receive_all(); });
}

void message_link::receive_all() {
    for (int taken = 0; taken < frames_per_wake; ++taken) {
        zmq::message_t message;
        if (!inbox_.recv(message, zmq::recv_flags::dontwait)) {
            return;
        }
        counts_.frames_received += 1;
        counts_.bytes_received += message.size();
        wire::frame frame;
        if (!frame.ParseFromArray(message.data(), static_cast<int>(message.size())) ||
            frame.body_case() == wire::frame::BODY_NOT_SET) {
            counts_.frames_refused += 1;
            continue;
        }
        on_frame_(frame);
    }
}

message_link::peer& message_link::connect(const std::string& address) {
    const auto known = peers_.find(address);
    if (known != peers_.end()) {
        return known->second;
    }
    zmq::socket_t socket(context_, zmq::socket_type::push);
    set_common_options(socket);
    socket.set(zmq::sockopt::sndhwm, send_queue_frames);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_first_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_limit_ms);
    socket.connect("tcp://" + translate(translations_, address));
    return peers_.emplace(address, peer{std::move(socket), {}}).first->second;
}

void message_link::send(const std::string& address, const wire::frame& frame) {
    if (address.empty()) {
        return;
    }
    peer& target = connect(address);
    target.last_used = monotonic_now();
    const std::string bytes = frame.SerializeAsString();
    if (!target.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
        counts_.frames_dropped += 1;
        return;
    }
    counts_.frames_sent += 1;
    counts_.bytes_sent += bytes.size();
}

void message_link::close_idle(time_point now, milliseconds idle) {
    std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.last_used > idle; });
}

} // namespace waxwingfall
