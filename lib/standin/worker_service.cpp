#include "waxwingfall/standin/worker_service.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "platform/call_wire.h"

namespace waxwingfall::standin {

namespace {

constexpr std::uint64_t chunk_bytes = 64UL * 1024;
constexpr int warmup_factor = 3;
constexpr milliseconds disconnect_check_period{50};

std::uint64_t parse_number(const std::string& text, std::uint64_t fallback) {
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Returns the headers of a request, one per line.
std::string received_headers(evhttp_request* request) {
    std::string text;
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
        text += std::string(header->key) + ": " + header->value + "\n";
    }
    return text;
}

} // namespace

worker_service::worker_service(const event_loop& loop, const worker_options& options)
    : loop_(loop), options_(options), started_(monotonic_now()), run_log_(options.run_log, std::ios::app),
      server_(loop, options.address, [this](evhttp_request* request) { receive(request); }),
      disconnect_check_(loop_event::every(loop, disconnect_check_period, [this] { close_disconnected(); })) {
    evhttp_set_allowed_methods(server_.raw(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                                  EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
                                                  EVHTTP_REQ_OPTIONS);
}

void worker_service::log_run(const std::string& id, const std::string& event) {
    run_log_ << id << " " << event << "\n" << std::flush;
}

void worker_service::receive(evhttp_request* request) {
    if (const std::string attempt_id = request_header(request, platform::header::attempt_id);
        !attempt_id.empty()) {
        evhttp_add_header(evhttp_request_get_output_headers(request), platform::header::attempt_id,
                          attempt_id.c_str());
    }
    if (!rate_limit_.empty()) {
        evhttp_add_header(evhttp_request_get_output_headers(request), platform::header::rate_limit,
                          rate_limit_.c_str());
    }
    const std::string path = request_path(request);
    if (path == "/health") {
        const bool ok = health_ == "ok" && !draining_;
        send_response(request, ok ? 200 : 503, draining_ ? "draining" : health_);
        return;
    }
    if (path == "/control") {
        control(request);
        return;
    }
    if (draining_ || jobs_.size() >= options_.slots) {
        send_response(request, 503, "shed\n", {{"X-Not-Run", "1"}});
        return;
    }
    const std::string deadline = request_header(request, "X-Deadline-Ms");
    if (!deadline.empty() &&
        parse_number(deadline, 0) < static_cast<std::uint64_t>(options_.run_time.count())) {
        send_response(request, 503, "too late\n", {{"X-Not-Run", "1"}});
        return;
    }
    start(request);
}

void worker_service::control(evhttp_request* request) {
    const std::string health = query_value(request, "health");
    if (!health.empty()) {
        health_ = health;
    }
    const std::string drain = query_value(request, "drain");
    if (!drain.empty()) {
        draining_ = drain == "1";
    }
    responses_to_truncate_ += parse_number(query_value(request, "cut_short"), 0);
    const std::string limit = query_value(request, "rate_limit");
    if (!limit.empty()) {
        rate_limit_ = limit == "none" ? "" : limit;
    }
    const std::string run = query_value(request, "run_ms");
    if (!run.empty()) {
        options_.run_time = milliseconds(static_cast<std::int64_t>(parse_number(run, 0)));
    }
    send_response(request, 200, "ok\n");
}

void worker_service::start(evhttp_request* request) {
    const std::uint64_t job_id = next_job_++;
    auto new_job = std::make_unique<job>();
    new_job->request = request;
    new_job->id = request_header(request, "X-Request-Id");
    new_job->bytes = parse_number(query_value(request, "bytes"), 0);
    log_run(new_job->id, "started");
    if (!query_value(request, "crash").empty()) {
        log_run(new_job->id, "crashed");
        _exit(3);
    }
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* connection, void* self) {
            static_cast<worker_service*>(self)->on_connection_closed(connection);
        },
        this);
    const bool warming_up = monotonic_now() - started_ < options_.warmup_time;
    const milliseconds duration(static_cast<std::int64_t>(
        parse_number(query_value(request, "run_ms"), static_cast<std::uint64_t>(options_.run_time.count()))));
    new_job->timer = loop_event::after(loop_, warming_up ? duration * warmup_factor : duration,
                                       [this, job_id] { complete(job_id); });
    jobs_.emplace(job_id, std::move(new_job));
}

void worker_service::complete(std::uint64_t job_id) {
    job& finished = *jobs_.at(job_id);
    log_run(finished.id, "ran");
    if (responses_to_truncate_ > 0) {
        responses_to_truncate_ -= 1;
        evhttp_request* request = finished.request;
        const std::uint64_t length = finished.bytes > 0 ? finished.bytes : 1000;
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Length",
                          std::to_string(length).c_str());
        evhttp_send_reply_start(request, 200, "OK");
        evbuffer* partial_body = evbuffer_new();
        const std::string half(length / 2, 'x');
        evbuffer_add(partial_body, half.data(), half.size());
        evhttp_send_reply_chunk_with_cb(
            request, partial_body,
            [](evhttp_connection* connection, void*) { evhttp_connection_free(connection); }, nullptr);
        evbuffer_free(partial_body);
        return;
    }
    if (finished.bytes > 0) {
        evkeyvalq* headers = evhttp_request_get_output_headers(finished.request);
        evhttp_add_header(headers, "Content-Length", std::to_string(finished.bytes).c_str());
        evhttp_send_reply_start(finished.request, 200, "OK");
        stream(job_id, finished.bytes);
        return;
    }
    evhttp_request* request = finished.request;
    const std::string body =
        query_value(request, "headers").empty()
            ? "{\"worker\":\"" + options_.name + "\",\"request\":\"" + finished.id + "\"}\n"
            : received_headers(request);
    const auto status = parse_number(query_value(request, "status"), 200);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
    jobs_.erase(job_id);
    send_response(request, static_cast<int>(status), body, {{"Content-Type", "application/json"}});
}

void worker_service::stream(std::uint64_t job_id, std::uint64_t remaining) {
    const auto found = jobs_.find(job_id);
    if (found == jobs_.end()) {
        return;
    }
    evhttp_request* request = found->second->request;
    if (remaining == 0) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
        jobs_.erase(found);
        evhttp_send_reply_end(request);
        return;
    }
    struct next_chunk {
        worker_service* self;
        std::uint64_t job_id;
        std::uint64_t remaining;
    };
    const std::uint64_t size = std::min(remaining, chunk_bytes);
    evbuffer* chunk = evbuffer_new();
    evbuffer_add(chunk, std::string(size, 'x').data(), size);
    evhttp_send_reply_chunk_with_cb(
        request, chunk,
        [](evhttp_connection*, void* context) {
            const std::unique_ptr<next_chunk> next(static_cast<next_chunk*>(context));
            next->self->stream(next->job_id, next->remaining);
        },
        new next_chunk{this, job_id, remaining - size});
    evbuffer_free(chunk);
}

void worker_service::close_disconnected() {
    std::vector<evhttp_connection*> closed;
    for (const auto& [job_id, open] : jobs_) {
        evhttp_connection* connection = evhttp_request_get_connection(open->request);
        if (connection != nullptr && is_closed_by_peer(connection)) {
            closed.push_back(connection);
        }
    }
    for (evhttp_connection* connection : closed) {
        evhttp_connection_free(connection);
    }
}

void worker_service::on_connection_closed(evhttp_connection* connection) {
    for (auto entry = jobs_.begin(); entry != jobs_.end(); ++entry) {
        if (evhttp_request_get_connection(entry->second->request) == connection ||
            evhttp_request_get_connection(entry->second->request) == nullptr) {
            log_run(entry->second->id, "cancelled");
            jobs_.erase(entry);
            return;
        }
    }
}

} // namespace waxwingfall::standin
