#include <algorithm>

#include "inbound_request.h"
#include "waxwingfall/call/nested_calls.h"
#include "waxwingfall/proxy/server_setup.h"

namespace waxwingfall {

namespace {

constexpr milliseconds max_call_duration{600'000};

/// Reads priority and remaining latency objective from the headers set by the client's node.
waiting_request read_urgency(const server_exchange& exchange, std::uint64_t id, time_point deadline,
                             time_point now) {
    const auto number = [&](const char* name) { return leading_number(exchange.header(name)); };
    const auto objective_ms = number(call_header::objective_ms);
    return make_waiting_request(id, deadline, number(call_header::priority).value_or(nested_call_priority),
                                objective_ms ? std::optional(milliseconds(*objective_ms)) : std::nullopt,
                                number(call_header::client_retry).value_or(0) != 0, now);
}

} // namespace

server_callbacks inbound_proxy::make_callbacks() {
    server_callbacks callbacks = make_server_callbacks(
        node_, "inbound", [this](const std::shared_ptr<server_exchange>& exchange) { receive(exchange); });
    callbacks.on_head = [this](const std::shared_ptr<server_exchange>& exchange) {
        return receive_head(exchange);
    };
    return callbacks;
}

std::uint64_t inbound_proxy::open_request(const std::shared_ptr<server_exchange>& exchange, time_point now) {
    const std::uint64_t id = next_id_++;
    auto opened = std::make_unique<request>();
    opened->client = std::make_unique<downstream>(exchange, node_.unsent);
    opened->service = exchange->header(call_header::service);
    opened->credentials = read_credentials([&](const char* name) { return exchange->header(name); });
    opened->deadline = read_deadline(exchange->headers(), max_call_duration, now);
    opened->started_at = now;
    opened->urgency = read_urgency(*exchange, id, opened->deadline, now);
    opened->request_id = exchange->header(platform::header::attempt_id);
    if (const auto ends_in = leading_number(exchange->header(call_header::ends_in_ms))) {
        opened->ends_by = now + milliseconds(*ends_in);
        opened->urgency = end_by(opened->urgency, *opened->ends_by);
    }
    requests_.emplace(id, std::move(opened));
    return id;
}

std::uint64_t inbound_proxy::find_or_open_request(const std::shared_ptr<server_exchange>& exchange,
                                                  time_point now) {
    const auto upload = upload_ids_.find(exchange.get());
    if (upload == upload_ids_.end()) {
        return open_request(exchange, now);
    }
    const std::uint64_t id = upload->second;
    upload_ids_.erase(upload);
    requests_.at(id)->arriving.reset();
    remove_upload(uploads_, id);
    schedule_uploads(now);
    return id;
}

server_decision inbound_proxy::receive_head(const std::shared_ptr<server_exchange>& exchange) {
    const std::uint64_t bytes = exchange->declared_length().value_or(0);
    if (uploads_.bytes_per_s <= 0 || bytes <= large_body_bytes) {
        return server_decision::accept;
    }
    const time_point now = monotonic_now();
    const std::uint64_t id = open_request(exchange, now);
    request& opened = *requests_.at(id);
    opened.arriving = exchange;
    upload_ids_.emplace(exchange.get(), id);
    apply_admission_limits();
    // The interim response tells the sender that its head has been read, however long the body has to wait.
    opened.client->acknowledge();
    if (const auto refusal = admission_.leaving ? error_kind::leaving : refusal_of(opened, now)) {
        refuse(id, *refusal);
        return server_decision::answered;
    }
    const worker_outlook outlook = outlook_of(admission_, opened.urgency.priority, now);
    const upload arrived{opened.urgency, static_cast<std::size_t>(bytes)};
    apply_upload_update(add_upload(uploads_, arrived, outlook, now), id);
    schedule_uploads(now);
    const auto kept = requests_.find(id);
    if (kept == requests_.end()) {
        return server_decision::answered;
    }
    return kept->second->is_body_requested ? server_decision::accept : server_decision::defer;
}

worker_outlook inbound_proxy::outlook_of_uploads(time_point now) const {
    const std::uint32_t priority =
        uploads_.waiting.empty() ? nested_call_priority : uploads_.waiting.front().urgency.priority;
    return outlook_of(admission_, priority, now);
}

void inbound_proxy::apply_upload_update(const upload_update& update, std::uint64_t being_decided) {
    for (const std::uint64_t id : update.accepted) {
        const auto found = requests_.find(id);
        if (found == requests_.end()) {
            continue;
        }
        found->second->is_body_requested = true;
        if (id != being_decided) {
            found->second->arriving->accept_body();
        }
    }
    for (const std::uint64_t id : update.refused) {
        if (requests_.contains(id)) {
            refuse(id, error_kind::overloaded);
        }
    }
    for (const std::uint64_t id : update.stalled) {
        if (requests_.contains(id)) {
            remove(id);
        }
    }
}

void inbound_proxy::process_bodies(time_point now) {
    for (const auto& [exchange, id] : upload_ids_) {
        const std::uint64_t bytes = exchange->declared_length().value_or(0);
        const std::uint64_t received = exchange->body()->size();
        if (requests_.at(id)->is_body_requested) {
            record_upload_progress(uploads_, id, static_cast<std::size_t>(bytes - std::min(bytes, received)),
                                   now);
        }
    }
    if (!upload_ids_.empty()) {
        apply_upload_update(process_uploads(uploads_, outlook_of_uploads(now), now));
        schedule_uploads(now);
    }
}

void inbound_proxy::schedule_uploads(time_point now) {
    const auto next = next_upload_start(uploads_, now);
    if (!next) {
        next_upload_ = {};
        return;
    }
    const milliseconds wait(std::max<std::int64_t>(0, elapsed_ms(now, *next)));
    next_upload_ = loop_event::after(node_.loop, wait, [this] { process_bodies(monotonic_now()); });
}

void inbound_proxy::add_return_times(std::vector<http_header>& headers, const request& refused,
                                     time_point now) {
    milliseconds pause{0};
    milliseconds room_in{0};
    if (refused.arriving != nullptr && !refused.is_body_requested) {
        const upload by_link{refused.urgency,
                             static_cast<std::size_t>(refused.arriving->declared_length().value_or(0))};
        const worker_outlook outlook = outlook_of(admission_, refused.urgency.priority, now);
        pause = upload_room_in(uploads_, by_link, outlook, now);
        room_in = schedule_upload_return(uploads_, by_link, outlook, now);
        set_header(headers, call_header::link_backlog_ms, std::to_string(link_backlog(uploads_).count()));
    } else {
        const std::chrono::duration<double, std::milli> service_interval(admission_.mean_run_ms /
                                                                         std::max(1U, admission_.slots));
        pause = expected_lateness(admission_, refused.urgency, now);
        room_in = schedule_return(returns_, pause, service_interval, now);
    }
    headers.push_back({call_header::pause_ms, std::to_string(pause.count())});
    headers.push_back({call_header::room_ms, std::to_string(room_in.count())});
}

} // namespace waxwingfall
