#include "waxwingfall/standin/worker_service.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <unistd.h>

#include <event2/buffer.h>

#include "platform/call_wire.h"

namespace waxwingfall::standin {

namespace {

constexpr std::uint64_t piece_bytes = 64UL * 1024;
constexpr int cold_factor = 3;
constexpr milliseconds sweep_period{50};

std::uint64_t number_in(const std::string& text, std::uint64_t fallback) {
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

worker_service::worker_service(const event_loop& loop, const worker_options& options)
    : loop_(loop), options_(options), started_(monotonic_now()), run_log_(options.run_log, std::ios::app),
      server_(loop, options.address, [this](evhttp_request* request) { receive(request); }),
      sweep_(loop_event::every(loop, sweep_period, [this] { sweep(); })) {
    evhttp_set_allowed_methods(server_.raw(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                                  EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
                                                  EVHTTP_REQ_OPTIONS);
}

void worker_service::note(const std::string& id, const std::string& what) {
    run_log_ << id << " " << what << "\n" << std::flush;
}

void worker_service::receive(evhttp_request* request) {
    if (const std::string attempt = request_header(request, platform::header::attempt_id); !attempt.empty()) {
        evhttp_add_header(evhttp_request_get_output_headers(request), platform::header::attempt_id,
                          attempt.c_str());
    }
    const std::string path = request_path(request);
    if (path == "/health") {
        const bool ok = health_ == "ok" && !draining_;
        answer(request, ok ? 200 : 503, draining_ ? "draining" : health_);
        return;
    }
    if (path == "/control") {
        control(request);
        return;
    }
    if (draining_ || jobs_.size() >= options_.slots) {
        answer(request, 503, "shed\n", {{"X-Not-Run", "1"}});
        return;
    }
    const std::string deadline = request_header(request, "X-Deadline-Ms");
    if (!deadline.empty() && number_in(deadline, 0) < static_cast<std::uint64_t>(options_.run_time.count())) {
        answer(request, 503, "too late\n", {{"X-Not-Run", "1"}});
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
    cut_short_ += number_in(query_value(request, "cut_short"), 0);
    const std::string run = query_value(request, "run_ms");
    if (!run.empty()) {
        options_.run_time = milliseconds(static_cast<std::int64_t>(number_in(run, 0)));
    }
    answer(request, 200, "ok\n");
}

void worker_service::start(evhttp_request* request) {
    const std::uint64_t number = next_job_++;
    auto made = std::make_unique<job>();
    made->request = request;
    made->id = request_header(request, "X-Request-Id");
    made->bytes = number_in(query_value(request, "bytes"), 0);
    note(made->id, "started");
    if (!query_value(request, "crash").empty()) {
        note(made->id, "crashed");
        _exit(3);
    }
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* connection, void* self) {
            static_cast<worker_service*>(self)->drop_closed(connection);
        },
        this);
    const bool cold = monotonic_now() - started_ < options_.cold_time;
    const milliseconds asked(static_cast<std::int64_t>(
        number_in(query_value(request, "run_ms"), static_cast<std::uint64_t>(options_.run_time.count()))));
    made->timer =
        loop_event::after(loop_, cold ? asked * cold_factor : asked, [this, number] { complete(number); });
    jobs_.emplace(number, std::move(made));
}

void worker_service::complete(std::uint64_t number) {
    job& done = *jobs_.at(number);
    note(done.id, "ran");
    if (cut_short_ > 0) {
        cut_short_ -= 1;
        evhttp_request* request = done.request;
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Length", "1000");
        evhttp_send_reply_start(request, 200, "OK");
        evbuffer* half = evbuffer_new();
        evbuffer_add(half, std::string(500, 'x').data(), 500);
        evhttp_send_reply_chunk_with_cb(
            request, half, [](evhttp_connection* connection, void*) { evhttp_connection_free(connection); },
            nullptr);
        evbuffer_free(half);
        return;
    }
    if (done.bytes > 0) {
        evkeyvalq* headers = evhttp_request_get_output_headers(done.request);
        evhttp_add_header(headers, "Content-Length", std::to_string(done.bytes).c_str());
        evhttp_send_reply_start(done.request, 200, "OK");
        stream(number, done.bytes);
        return;
    }
    const std::string body = "{\"worker\":\"" + options_.name + "\",\"request\":\"" + done.id + "\"}\n";
    evhttp_request* request = done.request;
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
    jobs_.erase(number);
    answer(request, 200, body, {{"Content-Type", "application/json"}});
}

void worker_service::stream(std::uint64_t number, std::uint64_t left) {
    const auto found = jobs_.find(number);
    if (found == jobs_.end()) {
        return;
    }
    evhttp_request* request = found->second->request;
    if (left == 0) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
        jobs_.erase(found);
        evhttp_send_reply_end(request);
        return;
    }
    struct next_piece {
        worker_service* self;
        std::uint64_t number;
        std::uint64_t left;
    };
    const std::uint64_t size = std::min(left, piece_bytes);
    evbuffer* piece = evbuffer_new();
    evbuffer_add(piece, std::string(size, 'x').data(), size);
    evhttp_send_reply_chunk_with_cb(
        request, piece,
        [](evhttp_connection*, void* context) {
            const std::unique_ptr<next_piece> next(static_cast<next_piece*>(context));
            next->self->stream(next->number, next->left);
        },
        new next_piece{this, number, left - size});
    evbuffer_free(piece);
}

void worker_service::sweep() {
    std::vector<evhttp_connection*> closed;
    for (const auto& [number, open] : jobs_) {
        evhttp_connection* connection = evhttp_request_get_connection(open->request);
        if (connection != nullptr && is_closed_by_peer(connection)) {
            closed.push_back(connection);
        }
    }
    for (evhttp_connection* connection : closed) {
        evhttp_connection_free(connection);
    }
}

void worker_service::drop_closed(evhttp_connection* connection) {
    for (auto entry = jobs_.begin(); entry != jobs_.end(); ++entry) {
        if (evhttp_request_get_connection(entry->second->request) == connection ||
            evhttp_request_get_connection(entry->second->request) == nullptr) {
            note(entry->second->id, "cancelled");
            jobs_.erase(entry);
            return;
        }
    }
}

} // namespace waxwingfall::standin
