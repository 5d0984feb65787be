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
                           const std::vector<forwarding>& forwardings, milliseconds delay)
    : loop_(loop), delay_(delay),
      server_(loop, control, [this](evhttp_request* request) { this->control(request); }),
      ticker_(loop_event::every(loop, tick_period, [this] { tick(); })) {
    for (const forwarding& where : forwardings) {
        listeners_.push_back({this, where, nullptr});
        listener& added = listeners_.back();
        const sockaddr_in address = socket_address(where.listen);
        added.handle = evconnlistener_new_bind(
            loop.base(),
            [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* context) {
                const auto* self = static_cast<listener*>(context);
                self->service->accept(self->where, descriptor);
            },
            &added, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
            reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        if (added.handle == nullptr) {
            throw std::runtime_error("can't bind " + where.listen.host + ":" +
                                     std::to_string(where.listen.port));
        }
    }
}

link_service::~link_service() {
    for (const listener& each : listeners_) {
        if (each.handle != nullptr) {
            evconnlistener_free(each.handle);
        }
    }
    for (const auto& each : connections_) {
        release(*each);
    }
}

link_service::mode link_service::mode_of(const std::string& link) const {
    const auto found = modes_.find(link);
    return found == modes_.end() ? mode::pass : found->second;
}

void link_service::accept(const forwarding& where, int descriptor) {
    if (mode_of(where.link) == mode::cut) {
        evutil_closesocket(descriptor);
        return;
    }
    auto made = std::make_unique<connection>();
    made->service = this;
    made->link = where.link;
    bufferevent* near = bufferevent_socket_new(loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    bufferevent* far = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    made->forward = {made.get(), near, far, {}};
    made->backward = {made.get(), far, near, {}};
    bufferevent_setcb(near, on_read, nullptr, on_event, &made->forward);
    bufferevent_setcb(far, on_read, nullptr, on_event, &made->backward);
    const sockaddr_in target = socket_address(where.target);
    bufferevent_socket_connect(far, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    bufferevent_enable(near, EV_READ | EV_WRITE);
    bufferevent_enable(far, EV_READ | EV_WRITE);
    connections_.push_back(std::move(made));
}

void link_service::on_read(bufferevent* from, void* context) {
    auto* half = static_cast<side*>(context);
    evbuffer* input = bufferevent_get_input(from);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    const connection& owner = *half->owner;
    if (owner.silent || owner.service->mode_of(owner.link) == mode::swallow) {
        return;
    }
    owner.service->bytes_[owner.link] += bytes.size();
    half->pieces.push_back({monotonic_now() + owner.service->delay_, std::move(bytes)});
}

void link_service::on_event(bufferevent* /*from*/, short what, void* context) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    connection& owner = *static_cast<side*>(context)->owner;
    if (!owner.closing) {
        owner.closing = true;
        owner.close_due = monotonic_now() + owner.service->delay_ + milliseconds(1);
    }
}

void link_service::release(const connection& closed) {
    bufferevent_free(closed.forward.from);
    bufferevent_free(closed.forward.to);
}

void link_service::tick() {
    const time_point now = monotonic_now();
    for (auto entry = connections_.begin(); entry != connections_.end();) {
        connection& each = **entry;
        for (side* half : {&each.forward, &each.backward}) {
            while (!half->pieces.empty() && half->pieces.front().due <= now) {
                bufferevent_write(half->to, half->pieces.front().bytes.data(),
                                  half->pieces.front().bytes.size());
                half->pieces.pop_front();
            }
        }
        const bool swallowed = each.silent || mode_of(each.link) == mode::swallow;
        if (mode_of(each.link) == mode::cut || (each.closing && now >= each.close_due && !swallowed)) {
            release(each);
            entry = connections_.erase(entry);
        } else {
            ++entry;
        }
    }
}

void link_service::control(evhttp_request* request) {
    const std::string link = query_value(request, "link");
    const std::string wanted = query_value(request, "mode");
    const std::string delay = query_value(request, "delay_ms");
    if (!delay.empty()) {
        int value = 0;
        std::from_chars(delay.data(), delay.data() + delay.size(), value);
        delay_ = milliseconds(value);
    }
    for (const listener& each : listeners_) {
        const bool concerned = link.empty() || each.where.link.find(link) != std::string::npos;
        if (concerned && !wanted.empty() && wanted != "silence") {
            modes_[each.where.link] = wanted == "cut"       ? mode::cut
                                      : wanted == "swallow" ? mode::swallow
                                                            : mode::pass;
        }
    }
    if (wanted == "silence") {
        for (const auto& each : connections_) {
            each->silent |= link.empty() || each->link.find(link) != std::string::npos;
        }
    }
    std::string body = "{";
    for (const auto& [name, bytes] : bytes_) {
        body += (body.size() > 1 ? ",\"" : "\"") + name + "\":" + std::to_string(bytes);
    }
    answer(request, 200, body + "}\n");
}

} // namespace waxwingfall::standin
