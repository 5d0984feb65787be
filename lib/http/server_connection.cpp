#include "server_connection.h"

#include <algorithm>

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "waxwingfall/link/socket_options.h"

namespace waxwingfall {

namespace {

/// Bytes that are read from a socket before they are parsed; more stay in the kernel.
constexpr std::size_t input_high_bytes = 16UL * 1024;

/// For which a connection is still read after its last response. A client that is still sending its request
/// would otherwise be told of a reset, possibly before it has read the response.
constexpr milliseconds linger_time{2000};
constexpr std::size_t max_linger_bytes = 4UL * 1024 * 1024;

/// Fewer bytes of a body are no progress: they would keep a request open at next to no cost for the client.
constexpr std::size_t progress_bytes = 1024;

bool has_unread_bytes(evutil_socket_t socket) {
    int available = 0;
    return ioctl(socket, FIONREAD, &available) == 0 && available > 0;
}

} // namespace

void server_connection::on_output_change(evbuffer* /*output*/, const evbuffer_cb_info* info, void* context) {
    auto& conn = *static_cast<server_connection*>(context);
    conn.written_ += info->n_deleted;
    if (info->n_deleted > 0 || info->orig_size == 0) {
        conn.last_written_ = monotonic_now();
    }
}

server_connection::server_connection(request_server& server, evutil_socket_t socket, time_point now)
    : server_(server), capacity_(server.capacity_), last_progress_(now), request_started_(now),
      last_written_(now) {
    stream_ = bufferevent_socket_new(server.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    wake_ = event_new(
        server.loop_.base(), -1, 0,
        [](evutil_socket_t, short, void* context) {
            const auto self = static_cast<server_connection*>(context)->shared_from_this();
            self->server_.loop_.run_guarded([&] { self->process(); });
        },
        this);
    evbuffer_add_cb(output(), on_output_change, this);
    const auto wake = [](bufferevent*, void* context) {
        const auto self = static_cast<server_connection*>(context)->shared_from_this();
        self->server_.loop_.run_guarded([&] { self->process(); });
    };
    bufferevent_setcb(
        stream_, wake, wake,
        [](bufferevent*, short what, void* context) {
            const auto self = static_cast<server_connection*>(context)->shared_from_this();
            self->server_.loop_.run_guarded([&] { self->handle_event(what); });
        },
        this);
    bufferevent_setwatermark(stream_, EV_READ, 0, input_high_bytes);
    bufferevent_setwatermark(stream_, EV_WRITE, output_low_bytes, 0);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    capacity_.connections_.push_back(this);
}

server_connection::~server_connection() {
    close(false);
}

bool server_connection::is_idle() const {
    return state_ == state::open && current_ == nullptr && exchanges_.empty() &&
           evbuffer_get_length(output()) == 0;
}

bool server_connection::may_be_closed(time_point now) const {
    const bool is_unused = is_idle() && now - last_progress_ >= server_.limits_.reuse_time;
    const bool has_only_current =
        exchanges_.empty() || (exchanges_.size() == 1 && exchanges_.front() == current_);
    return state_ == state::lingering || is_unused ||
           (is_unfinished() && has_only_current && evbuffer_get_length(output()) == 0);
}

bool server_connection::is_stalled(time_point now, milliseconds limit) const {
    return state_ == state::open && evbuffer_get_length(output()) > 0 && now - last_written_ >= limit;
}

bool server_connection::is_first(const server_exchange& exchange) const {
    return !exchanges_.empty() && exchanges_.front().get() == &exchange;
}

bool server_connection::is_last(const server_exchange& exchange) const {
    return !exchanges_.empty() && exchanges_.back().get() == &exchange;
}

bool server_connection::is_behind_uncertain(const server_exchange& exchange) const {
    const auto self = std::find_if(exchanges_.begin(), exchanges_.end(),
                                   [&](const auto& open) { return open.get() == &exchange; });
    return std::any_of(exchanges_.begin(), self, [](const auto& before) { return before->may_break_off_; });
}

bool server_connection::has_client_left() const {
    if (peer_closed_ || state_ != state::open) {
        return true;
    }
    // The end of the stream is reported as an event, but only after the bytes before it have been processed.
    if (is_closed_by_peer(bufferevent_getfd(stream_))) {
        return true;
    }
    if ((bufferevent_get_enabled(stream_) & EV_READ) != 0) {
        return false;
    }
    pollfd socket{bufferevent_getfd(stream_), POLLRDHUP, 0};
    return poll(&socket, 1, 0) > 0;
}

void server_connection::schedule() {
    if (state_ != state::closed) {
        event_active(wake_, EV_TIMEOUT, 0);
    }
}

void server_connection::process() {
    report_progress();
    if (state_ == state::lingering) {
        discard_input();
        return;
    }
    parse();
    close_when_done();
    update_reading();
    update_charge();
}

void server_connection::report_progress() {
    while (!unsent_.empty() && unsent_.front()->end_offset_ <= written_) {
        const auto sent = unsent_.front();
        unsent_.pop_front();
        last_progress_ = current_ == nullptr ? monotonic_now() : last_progress_;
        sent->report_sent();
    }
    if (state_ != state::open || exchanges_.empty()) {
        return;
    }
    const auto first = exchanges_.front();
    if (first->on_first_) {
        const auto action = std::exchange(first->on_first_, {});
        action();
    }
    if (state_ == state::open && first->on_drained_ && is_first(*first) &&
        evbuffer_get_length(output()) <= output_low_bytes) {
        const auto action = std::exchange(first->on_drained_, {});
        action();
    }
}

bool server_connection::can_parse() const {
    if (state_ != state::open || stops_reading_) {
        return false;
    }
    if (current_ != nullptr) {
        return !current_->is_deferred_ && !(awaits_turn_ && !exchanges_.empty());
    }
    const bool may_read_ahead = exchanges_.size() < server_.limits_.pipelined &&
                                capacity_.open_exchanges_ < 2 * capacity_.connection_limit_ &&
                                evbuffer_get_length(output()) < output_high_bytes;
    return exchanges_.empty() || may_read_ahead;
}

void server_connection::parse() {
    evbuffer* input = bufferevent_get_input(stream_);
    while (can_parse()) {
        if (awaits_turn_) {
            ask_for_body();
            continue;
        }
        if (evbuffer_get_length(input) == 0) {
            return;
        }
        if (current_ == nullptr) {
            begin_request();
        }
        evbuffer_iovec piece{};
        evbuffer_peek(input, -1, nullptr, &piece, 1);
        parse_piece({static_cast<const char*>(piece.iov_base), piece.iov_len});
        if (head_ready_ && !fault_) {
            examine_head();
        }
        if (unreported_bytes_ >= progress_bytes) {
            unreported_bytes_ = 0;
            last_progress_ = monotonic_now();
        }
        if (fault_) {
            refuse(*fault_);
        } else if (message_complete_) {
            finish_request();
        } else {
            update_charge();
        }
    }
}

void server_connection::ask_for_body() {
    awaits_turn_ = false;
    const auto asked = current_;
    exchanges_.push_back(asked);
    const server_decision decision =
        server_.callbacks_.on_head ? server_.callbacks_.on_head(asked) : server_decision::accept;
    if (decision == server_decision::defer && current_ == asked) {
        asked->is_deferred_ = true;
    } else if (decision == server_decision::accept) {
        asked->accept_body();
    }
}

void server_connection::continue_body(server_exchange& exchange) {
    if (current_.get() != &exchange || exchange.has_started_) {
        return;
    }
    exchange.is_deferred_ = false;
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    evbuffer_add(output(), interim.data(), interim.size());
    last_progress_ = monotonic_now();
    schedule();
}

void server_connection::finish_request() {
    const auto complete = std::move(current_);
    current_ = nullptr;
    complete->is_complete_ = true;
    if (exchanges_.empty() || exchanges_.back() != complete) {
        exchanges_.push_back(complete);
    }
    last_progress_ = monotonic_now();
    stops_reading_ = stops_reading_ || complete->wants_close_;
    server_.callbacks_.on_request(complete);
}

void server_connection::refuse(server_refusal reason) {
    const server_response response = server_.report(reason, current_.get());
    stops_reading_ = true;
    const auto refused = std::move(current_);
    current_ = nullptr;
    if (refused == nullptr || !has_begun_) {
        close_when_done();
        return;
    }
    refused->body_ = std::make_shared<message_body>(capacity_.count_);
    if (exchanges_.empty() || exchanges_.back() != refused) {
        exchanges_.push_back(refused);
    }
    refused->is_deferred_ = false;
    refused->wants_close_ = true;
    if (refused->has_started_) {
        refused->abort();
    } else {
        refused->reply(response);
    }
}

void server_connection::stop_after(const server_exchange& last) {
    stops_reading_ = true;
    const auto found = std::find_if(exchanges_.begin(), exchanges_.end(),
                                    [&](const auto& exchange) { return exchange.get() == &last; });
    current_ = nullptr;
    drop_exchanges(static_cast<std::size_t>(found - exchanges_.begin()) + 1);
}

void server_connection::drop_exchanges(std::size_t kept) {
    while (exchanges_.size() > kept) {
        const auto dropped = exchanges_.back();
        exchanges_.pop_back();
        dropped->detach();
    }
}

void server_connection::advance() {
    while (!exchanges_.empty() && exchanges_.front()->has_ended_) {
        const auto ended = exchanges_.front();
        exchanges_.pop_front();
        ended->end_offset_ = written_ + evbuffer_get_length(output());
        unsent_.push_back(ended);
        if (ended->wants_close_) {
            closes_ = true;
            stops_reading_ = true;
            resets_ = ended->is_aborted_ && ended->is_close_delimited_;
            drop_exchanges(0);
            break;
        }
        if (!exchanges_.empty() && exchanges_.front()->pending_ != nullptr) {
            evbuffer_add_buffer(output(), exchanges_.front()->pending_);
        }
    }
    schedule();
}

void server_connection::close_when_done() {
    if (state_ != state::open || current_ != nullptr || !exchanges_.empty()) {
        return;
    }
    const bool ends = closes_ || stops_reading_ || peer_closed_;
    if (!ends || evbuffer_get_length(output()) > 0) {
        return;
    }
    report_progress();
    if (resets_ || peer_closed_) {
        close(resets_);
    } else {
        linger();
    }
}

void server_connection::linger() {
    state_ = state::lingering;
    linger_until_ = monotonic_now() + linger_time;
    linger_bytes_ = max_linger_bytes;
    shutdown(bufferevent_getfd(stream_), SHUT_WR);
    bufferevent_enable(stream_, EV_READ);
    discard_input();
}

void server_connection::discard_input() {
    evbuffer* input = bufferevent_get_input(stream_);
    const std::size_t size = evbuffer_get_length(input);
    evbuffer_drain(input, size);
    linger_bytes_ -= std::min(linger_bytes_, size);
    if (linger_bytes_ == 0) {
        bufferevent_disable(stream_, EV_READ);
    }
}

void server_connection::update_reading() {
    if (state_ != state::open || peer_closed_) {
        return;
    }
    if (can_parse()) {
        bufferevent_enable(stream_, EV_READ);
    } else {
        bufferevent_disable(stream_, EV_READ);
    }
}

void server_connection::update_charge() {
    if (state_ == state::closed) {
        return;
    }
    std::size_t held = evbuffer_get_length(bufferevent_get_input(stream_)) + evbuffer_get_length(output()) +
                       field_.capacity() + value_.capacity();
    for (const auto& exchange : exchanges_) {
        held += exchange->pending_ == nullptr ? 0 : evbuffer_get_length(exchange->pending_);
    }
    capacity_.count_->used += held;
    capacity_.count_->used -= charge_;
    charge_ = held;
    if (capacity_.count_->used > capacity_.byte_limit_) {
        capacity_.make_room(monotonic_now());
    }
}

void server_connection::handle_event(short what) {
    if ((what & BEV_EVENT_EOF) == 0 || state_ == state::lingering) {
        close(false);
        return;
    }
    peer_closed_ = true;
    stops_reading_ = true;
    if (current_ != nullptr) {
        const auto dropped = std::move(current_);
        current_ = nullptr;
        std::erase(exchanges_, dropped);
        dropped->detach();
    }
    close_when_done();
}

void server_connection::check_timeouts(time_point now) {
    const server_limits& limits = server_.limits_;
    if (state_ == state::lingering) {
        if (now >= linger_until_) {
            close(false);
        }
        return;
    }
    if (is_stalled(now, limits.request_timeout)) {
        close_unread();
        return;
    }
    // After a pause of the process, bytes that arrived in time may still be unread.
    if (has_unread_bytes(bufferevent_getfd(stream_))) {
        return;
    }
    if (is_idle() && !peer_closed_ && now - last_progress_ >= limits.idle_timeout) {
        close(false);
        return;
    }
    if (!is_unfinished() || awaits_turn_) {
        return;
    }
    const bool is_late = in_head_ ? now - request_started_ >= limits.head_timeout
                                  : now - last_progress_ >= limits.request_timeout;
    if (is_late) {
        refuse(server_refusal::timed_out);
    }
}

void server_connection::close_unread() {
    server_.report(server_refusal::unread_response, nullptr);
    close(true);
}

void server_connection::close(bool reset) {
    if (state_ == state::closed) {
        return;
    }
    state_ = state::closed;
    if (reset) {
        const ::linger discard{1, 0};
        setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }
    // libevent would close the descriptor in a later iteration of the loop only. The listener accepts a whole
    // backlog in one, which then holds more descriptors than the limit allows.
    const evutil_socket_t socket = bufferevent_getfd(stream_);
    bufferevent_setfd(stream_, -1);
    evutil_closesocket(socket);
    bufferevent_free(stream_);
    event_free(wake_);
    stream_ = nullptr;
    capacity_.count_->used -= charge_;
    std::erase(capacity_.connections_, this);
    if (current_ != nullptr) {
        current_->detach();
        current_ = nullptr;
    }
    drop_exchanges(0);
    for (const auto& exchange : unsent_) {
        exchange->report_sent();
    }
    unsent_.clear();
    server_.remove(*this);
}

} // namespace waxwingfall
