#include "waxwingfall/proxy/downstream.h"

#include <algorithm>
#include <array>

namespace waxwingfall {

void unsent_responses::track(server_exchange& response) {
    ++*count_;
    response.when_sent([count = count_] { --*count; });
}

downstream::downstream(std::shared_ptr<server_exchange> exchange, unsent_responses& unsent)
    : exchange_(std::move(exchange)), unsent_(unsent) {}

downstream::~downstream() {
    exchange_->abort();
}

void downstream::acknowledge() {
    constexpr int status_processing = 102;
    exchange_->send_interim(status_processing);
}

void downstream::reply(int status, std::string_view body, const std::vector<http_header>& headers) {
    if (exchange_->is_open()) {
        unsent_.track(*exchange_);
        exchange_->reply({status, headers, std::string(body)});
    }
}

void downstream::begin(int status, const std::vector<http_header>& headers) {
    exchange_->begin(status, headers);
}

bool downstream::write(evbuffer* data, std::function<void()> on_drained) {
    return exchange_->write(data, std::move(on_drained));
}

void downstream::end() {
    if (exchange_->is_open()) {
        unsent_.track(*exchange_);
        exchange_->end();
    }
}

bool downstream::is_disconnected() const {
    return exchange_->is_disconnected();
}

bool is_hop_by_hop_header(std::string_view name) {
    constexpr std::array hop_headers{std::string_view("Connection"),        std::string_view("Keep-Alive"),
                                     std::string_view("Transfer-Encoding"), std::string_view("TE"),
                                     std::string_view("Trailer"),           std::string_view("Upgrade"),
                                     std::string_view("Proxy-Connection"),  std::string_view("Expect")};
    return std::any_of(hop_headers.begin(), hop_headers.end(),
                       [&](std::string_view hop) { return equal_ignoring_case(hop, name); });
}

} // namespace waxwingfall
