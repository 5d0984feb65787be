#include "waxwingfall/standin/load.h"

#include <algorithm>
#include <fstream>

#include <event2/buffer.h>
#include <nlohmann/json.hpp>

#include "waxwingfall/call/idempotency_key.h"
#include "waxwingfall/proxy/call_headers.h"
#include "waxwingfall/proxy/downstream.h"

namespace waxwingfall::standin {

namespace {

constexpr milliseconds tick_period{2};

struct response_state {
    int status = 0;
    std::string outcome;
    std::string reason;
    std::string body;
    time_point sent_at;
};

double percentile(const std::vector<double>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

lost_request make_lost_request(const client_request& request) {
    return {request.id,           request.last_outcome == client_outcome::done,
            request.attempts,     request.last_node,
            request.last_started, request.last_ended};
}

constexpr double ms_per_s = 1000.0;

nlohmann::ordered_json lost_request_json(const lost_request& lost) {
    return {{"id", lost.id},
            {"told", lost.reported_done ? "done" : "nothing"},
            {"sent", lost.attempts},
            {"node", to_string(lost.node)},
            {"from_s", static_cast<double>(lost.last_started.count()) / ms_per_s},
            {"to_s", static_cast<double>(lost.last_ended.count()) / ms_per_s}};
}

} // namespace

load_generator::load_generator(const event_loop& loop, const load_options& options,
                               std::function<void()> on_done)
    : loop_(loop), options_(options), on_done_(std::move(on_done)), pool_(loop, milliseconds(3000)),
      random_(options.seed), started_(monotonic_now()),
      ticker_(loop_event::every(loop, tick_period, [this] { tick(); })) {}

void load_generator::tick() {
    const time_point now = monotonic_now();
    const auto elapsed = std::min<std::int64_t>(elapsed_ms(started_, now), options_.duration.count());
    constexpr double thousand = 1000.0;
    const auto due = static_cast<std::uint64_t>(static_cast<double>(elapsed) * options_.rate / thousand);
    while (created_ < due) {
        auto new_request = std::make_unique<client_request>();
        new_request->is_post =
            random_below(random_, 1000) < static_cast<std::uint64_t>(options_.post_share * thousand);
        new_request->id = "r" + std::to_string(options_.seed) + "-" + std::to_string(created_++);
        new_request->key = make_idempotency_key(wall_now(), random_(), random_());
        open_requests_ += 1;
        requests_.push_back(std::move(new_request));
        send(*requests_.back());
    }
    std::vector<client_request*> ready;
    std::erase_if(retries_, [&](const auto& entry) {
        if (now < entry.first) {
            return false;
        }
        ready.push_back(entry.second);
        return true;
    });
    for (client_request* request : ready) {
        send(*request);
    }
    pool_.close_idle(now);
    if (elapsed >= options_.duration.count() && open_requests_ == 0) {
        on_done_();
    }
}

milliseconds load_generator::since_start() const {
    return std::chrono::duration_cast<milliseconds>(monotonic_now() - started_);
}

void load_generator::send(client_request& request) {
    request.attempts += 1;
    http_request message;
    message.method = request.is_post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    message.path = request.is_post ? options_.post_path : options_.get_path;
    const std::string attempt_id = request.id + "." + std::to_string(request.attempts);
    message.headers = {
        {"Host", options_.host}, {"X-Request-Id", request.id}, {platform::header::attempt_id, attempt_id}};
    if (request.is_post) {
        message.body = "{\"order\":\"" + request.id + "\"}";
        message.headers.push_back({"Idempotency-Key", request.key});
        message.headers.push_back({"Content-Length", std::to_string(message.body.size())});
    }
    const auto state = std::make_shared<response_state>();
    state->sent_at = monotonic_now();
    upstream_callbacks callbacks;
    callbacks.on_headers = [state](int status, const std::vector<http_header>& headers) {
        state->status = status;
        state->outcome = header_value(headers, call_header::outcome);
        state->reason = header_value(headers, call_header::reason);
    };
    callbacks.on_data = [state](evbuffer* data) {
        constexpr std::size_t max_body_bytes = 4096;
        if (state->body.size() < max_body_bytes) {
            std::string chunk(evbuffer_get_length(data), '\0');
            evbuffer_copyout(data, chunk.data(), chunk.size());
            state->body += chunk;
        }
        evbuffer_drain(data, evbuffer_get_length(data));
    };
    callbacks.on_end = [this, &request, state](upstream_end end) {
        if (end != upstream_end::complete) {
            const bool not_connected = end == upstream_end::not_connected;
            end_attempt(request, not_connected ? client_outcome::not_run : client_outcome::no_response,
                        not_connected ? "no-connection" : "lost");
            return;
        }
        if (state->outcome == "done" || options_.accept_any_response) {
            if (request.attempts == 1) {
                request.first_attempt_done = true;
                const auto latency =
                    std::chrono::duration<double, std::milli>(monotonic_now() - state->sent_at);
                request.latency_ms = latency.count();
            }
            const bool names_request = state->body.find("\"request\":") != std::string::npos;
            request.mismatched_response |=
                names_request && state->body.find("\"" + request.id + "\"") == std::string::npos;
            end_attempt(request, client_outcome::done, {});
            return;
        }
        end_attempt(request, state->outcome == "not-run" ? client_outcome::not_run : client_outcome::unknown,
                    state->reason);
    };
    request.last_node = options_.nodes[random_below(random_, options_.nodes.size())];
    request.last_started = since_start();
    pool_.send(request.last_node, message, {options_.timeout, std::nullopt, milliseconds(0)},
               std::move(callbacks));
}

void load_generator::end_attempt(client_request& request, client_outcome outcome, const std::string& reason) {
    request.last_outcome = outcome;
    request.last_reason = reason;
    request.last_ended = since_start();
    request.ever_unknown |= outcome == client_outcome::no_response || outcome == client_outcome::unknown;
    if (outcome == client_outcome::done || request.attempts >= options_.max_attempts) {
        open_requests_ -= 1;
        return;
    }
    if (outcome == client_outcome::not_run && options_.renew_keys && !request.ever_unknown) {
        request.key = make_idempotency_key(wall_now(), random_(), random_());
    }
    retries_.emplace_back(monotonic_now() + options_.retry_delay, &request);
}

load_report compare(const std::vector<std::unique_ptr<client_request>>& requests,
                    const std::vector<std::string>& run_logs) {
    std::map<std::string, std::uint64_t> started;
    for (const std::string& path : run_logs) {
        std::ifstream log(path);
        std::string id;
        std::string event;
        while (log >> id >> event) {
            started[id] += event == "started" ? 1 : 0;
        }
    }
    load_report report;
    std::vector<double> latencies;
    for (const auto& request : requests) {
        report.requests += 1;
        report.retries += request->attempts - 1;
        report.mismatched_responses += request->mismatched_response ? 1 : 0;
        const auto found = started.find(request->id);
        const std::uint64_t runs = found == started.end() ? 0 : found->second;
        report.run_twice += request->is_post && runs > 1 ? 1 : 0;
        if (request->first_attempt_done) {
            latencies.push_back(request->latency_ms);
        }
        if (request->last_outcome == client_outcome::done) {
            report.answered += 1;
            if (runs == 0) {
                report.lost_requests.push_back(make_lost_request(*request));
            }
            continue;
        }
        report.reasons[request->last_reason] += 1;
        if (request->ever_unknown) {
            report.unknown += request->last_outcome != client_outcome::no_response ? 1 : 0;
            report.no_response += request->last_outcome == client_outcome::no_response ? 1 : 0;
            if (request->last_outcome == client_outcome::no_response) {
                report.lost_requests.push_back(make_lost_request(*request));
            }
            continue;
        }
        report.refused += 1;
        report.refused_but_ran += runs > 0 ? 1 : 0;
    }
    report.lost = report.lost_requests.size();
    std::sort(latencies.begin(), latencies.end());
    report.p50_ms = percentile(latencies, 0.5);
    report.p99_ms = percentile(latencies, 0.99);
    report.p999_ms = percentile(latencies, 0.999);
    return report;
}

std::string to_json(const load_report& report) {
    nlohmann::ordered_json line;
    line["asked"] = report.requests;
    line["answered"] = report.answered;
    line["refused_not_run"] = report.refused;
    line["unknown"] = report.unknown;
    line["told_nothing"] = report.no_response;
    line["lost"] = report.lost;
    line["lost_requests"] = nlohmann::ordered_json::array();
    for (const lost_request& lost : report.lost_requests) {
        line["lost_requests"].push_back(lost_request_json(lost));
    }
    line["run_twice"] = report.run_twice;
    line["refused_but_ran"] = report.refused_but_ran;
    line["wrong_answers"] = report.mismatched_responses;
    line["resent"] = report.retries;
    line["p50_ms"] = report.p50_ms;
    line["p99_ms"] = report.p99_ms;
    line["p999_ms"] = report.p999_ms;
    line["reasons"] = report.reasons;
    return line.dump();
}

} // namespace waxwingfall::standin
