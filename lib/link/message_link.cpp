#include "waxwingfall/link/message_link.h"

namespace waxwingfall {

namespace {

constexpr int max_frame_bytes = 4 * 1024 * 1024;
/// A silent connection is replaced after the sum of both, before its node would be declared dead.
constexpr int heartbeat_interval_ms = 700;
constexpr int heartbeat_timeout_ms = 1300;
constexpr int send_queue_frames = 256;
constexpr int receive_queue_frames = 4096;
constexpr int reconnect_initial_ms = 100;
constexpr int reconnect_max_ms = 2000;
constexpr int max_frames_per_wakeup = 512;
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
    : receive_socket_(context_, zmq::socket_type::pull), translations_(std::move(translations)),
      on_frame_(std::move(on_frame)) {
    set_common_options(receive_socket_);
    receive_socket_.set(zmq::sockopt::rcvhwm, receive_queue_frames);
    receive_socket_.bind("tcp://" + address);
    readable_event_ =
        loop_event::on_readable(loop, receive_socket_.get(zmq::sockopt::fd), [this] { receive_all(); });
    // The descriptor is edge-triggered and receive_all() handles a bounded number of frames per wakeup. The
    // timer picks up the remaining frames of a burst if no further edge occurs.
    poll_timer_ = loop_event::every(loop, poll_period, [this] { receive_all(); });
}

void message_link::receive_all() {
    for (int count = 0; count < max_frames_per_wakeup; ++count) {
        zmq::message_t message;
        if (!receive_socket_.recv(message, zmq::recv_flags::dontwait)) {
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

message_link::peer* message_link::connect(const std::string& address) {
    const auto existing = peers_.find(address);
    if (existing != peers_.end()) {
        return &existing->second;
    }
    const auto target = parse_address(translate(translations_, address));
    if (!target) {
        return nullptr;
    }
    zmq::socket_t socket(context_, zmq::socket_type::push);
    set_common_options(socket);
    socket.set(zmq::sockopt::sndhwm, send_queue_frames);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_initial_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
    socket.connect("tcp://" + to_string(*target));
    return &peers_.emplace(address, peer{std::move(socket), {}}).first->second;
}

void message_link::send(const std::string& address, const wire::frame& frame) {
    if (address.empty()) {
        return;
    }
    peer* receiver = connect(address);
    if (receiver == nullptr) {
        counts_.frames_unaddressed += 1;
        return;
    }
    receiver->last_used = monotonic_now();
    const std::string bytes = frame.SerializeAsString();
    if (!receiver->socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
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
