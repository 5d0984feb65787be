#include "waxwingfall/standin/link_service.h"

#include <charconv>
#include <stdexcept>

#include <arpa/inet.h>
#include <event2/buffer.h>

namespace waxwingfall::standin {

namespace {

constexpr milliseconds tick_period{1};

sockaddr_in socket_address(const ip_address& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

} // namespace

link_service::link_service(const event_loop& loop, const ip_address& control,
                           const std::vector<forwarding_rule>& rules, milliseconds delay)
    : loop_(loop), delay_(delay),
      server_(loop, control, [this](evhttp_request* request) { this->control(request); }),
      ticker_(loop_event::every(loop, tick_period, [this] { tick(); })) {
    for (const forwarding_rule& rule : rules) {
        listeners_.push_back({this, rule, nullptr});
        listener& added = listeners_.back();
        const sockaddr_in address = socket_address(rule.listen);
        added.handle = evconnlistener_new_bind(
            loop.base(),
            [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* context) {
                const auto* self = static_cast<listener*>(context);
                self->service->accept(self->rule, descriptor);
            },
            &added, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
            reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        if (added.handle == nullptr) {
            throw std::runtime_error("failed to listen on " + rule.listen.host + ":" +
                                     std::to_string(rule.listen.port));
        }
    }
}

link_service::~link_service() {
    for (const listener& rule_listener : listeners_) {
        if (rule_listener.handle != nullptr) {
            evconnlistener_free(rule_listener.handle);
        }
    }
    for (const auto& open_connection : connections_) {
        free_streams(*open_connection);
    }
}

link_service::mode link_service::mode_of(const std::string& link) const {
    const auto found = modes_.find(link);
    return found == modes_.end() ? mode::pass : found->second;
}

void link_service::accept(const forwarding_rule& rule, int descriptor) {
    if (mode_of(rule.link) == mode::disconnect) {
        evutil_closesocket(descriptor);
        return;
    }
    auto accepted = std::make_unique<connection>();
    accepted->service = this;
    accepted->link = rule.link;
    bufferevent* downstream = bufferevent_socket_new(loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    bufferevent* upstream = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    accepted->forward = {accepted.get(), downstream, upstream, {}};
    accepted->backward = {accepted.get(), upstream, downstream, {}};
    bufferevent_setcb(downstream, on_read, nullptr, on_event, &accepted->forward);
    bufferevent_setcb(upstream, on_read, nullptr, on_event, &accepted->backward);
    const sockaddr_in target = socket_address(rule.target);
    bufferevent_socket_connect(upstream, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    bufferevent_enable(downstream, EV_READ | EV_WRITE);
    bufferevent_enable(upstream, EV_READ | EV_WRITE);
    connections_.push_back(std::move(accepted));
}

void link_service::on_read(bufferevent* from, void* context) {
    auto* current = static_cast<flow*>(context);
    evbuffer* input = bufferevent_get_input(from);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    const connection& owner = *current->owner;
    if (owner.blackholed || owner.service->mode_of(owner.link) == mode::blackhole) {
        return;
    }
    owner.service->forwarded_bytes_[owner.link] += bytes.size();
    current->chunks.push_back({monotonic_now() + owner.service->delay_, std::move(bytes)});
}

void link_service::on_event(bufferevent* /*from*/, short events, void* context) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    connection& owner = *static_cast<flow*>(context)->owner;
    if (!owner.closing) {
        owner.closing = true;
        owner.close_at = monotonic_now() + owner.service->delay_ + milliseconds(1);
    }
}

void link_service::free_streams(const connection& closed) {
    bufferevent_free(closed.forward.from);
    bufferevent_free(closed.forward.to);
}

void link_service::tick() {
    const time_point now = monotonic_now();
    for (auto entry = connections_.begin(); entry != connections_.end();) {
        connection& open_connection = **entry;
        for (flow* current : {&open_connection.forward, &open_connection.backward}) {
            while (!current->chunks.empty() && current->chunks.front().due <= now) {
                bufferevent_write(current->to, current->chunks.front().bytes.data(),
                                  current->chunks.front().bytes.size());
                current->chunks.pop_front();
            }
        }
        const bool is_blackholed =
            open_connection.blackholed || mode_of(open_connection.link) == mode::blackhole;
        if (mode_of(open_connection.link) == mode::disconnect ||
            (open_connection.closing && now >= open_connection.close_at && !is_blackholed)) {
            free_streams(open_connection);
            entry = connections_.erase(entry);
        } else {
            ++entry;
        }
    }
}

void link_service::control(evhttp_request* request) {
    const std::string link = query_value(request, "link");
    const std::string requested_mode = query_value(request, "mode");
    const std::string delay = query_value(request, "delay_ms");
    if (!delay.empty()) {
        int value = 0;
        std::from_chars(delay.data(), delay.data() + delay.size(), value);
        delay_ = milliseconds(value);
    }
    for (const listener& rule_listener : listeners_) {
        const bool matches = link.empty() || rule_listener.rule.link.find(link) != std::string::npos;
        if (matches && !requested_mode.empty() && requested_mode != "silence") {
            modes_[rule_listener.rule.link] = requested_mode == "cut"       ? mode::disconnect
                                              : requested_mode == "swallow" ? mode::blackhole
                                                                            : mode::pass;
        }
    }
    if (requested_mode == "silence") {
        for (const auto& open_connection : connections_) {
            open_connection->blackholed |=
                link.empty() || open_connection->link.find(link) != std::string::npos;
        }
    }
    std::string body = "{";
    for (const auto& [name, bytes] : forwarded_bytes_) {
        body += (body.size() > 1 ? ",\"" : "\"") + name + "\":" + std::to_string(bytes);
    }
    send_response(request, 200, body + "}\n");
}

} // namespace waxwingfall::standin
