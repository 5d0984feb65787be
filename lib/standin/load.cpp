#include "waxwingfall/standin/load.h"

#include <algorithm>
#include <fstream>

#include <event2/buffer.h>
#include <nlohmann/json.hpp>

#include "waxwingfall/call/idempotency_key.h"
#include "waxwingfall/node/call_headers.h"
#include "waxwingfall/node/downstream.h"

namespace waxwingfall::standin {

namespace {

constexpr milliseconds tick_period{2};

struct answer_state {
    int status = 0;
    std::string outcome;
    std::string reason;
    std::string body;
    time_point sent;
};

double percentile(const std::vector<double>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

lost_request lost_of(const caller_request& request) {
    return {request.id,        request.last == told::done, request.sent,
            request.last_node, request.last_sent,          request.last_settled};
}

constexpr double ms_per_s = 1000.0;

nlohmann::ordered_json to_entry(const lost_request& lost) {
    return {{"id", lost.id},
            {"told", lost.told_done ? "done" : "nothing"},
            {"sent", lost.sent},
            {"node", to_string(lost.node)},
            {"from_s", static_cast<double>(lost.last_sent.count()) / ms_per_s},
            {"to_s", static_cast<double>(lost.last_settled.count()) / ms_per_s}};
}

} // namespace

load::load(const event_loop& loop, const load_options& options, std::function<void()> on_done)
    : loop_(loop), options_(options), on_done_(std::move(on_done)), pool_(loop, milliseconds(3000)),
      random_(options.seed), started_(monotonic_now()),
      ticker_(loop_event::every(loop, tick_period, [this] { tick(); })) {}

void load::tick() {
    const time_point now = monotonic_now();
    const auto elapsed = std::min<std::int64_t>(elapsed_ms(started_, now), options_.duration.count());
    constexpr double thousand = 1000.0;
    const auto due = static_cast<std::uint64_t>(static_cast<double>(elapsed) * options_.rate / thousand);
    while (created_ < due) {
        auto made = std::make_unique<caller_request>();
        made->is_post =
            random_below(random_, 1000) < static_cast<std::uint64_t>(options_.post_share * thousand);
        made->id = "r" + std::to_string(options_.seed) + "-" + std::to_string(created_++);
        made->key = make_idempotency_key(wall_now(), random_(), random_());
        open_ += 1;
        requests_.push_back(std::move(made));
        send(*requests_.back());
    }
    std::vector<caller_request*> ready;
    std::erase_if(resends_, [&](const auto& entry) {
        if (now < entry.first) {
            return false;
        }
        ready.push_back(entry.second);
        return true;
    });
    for (caller_request* request : ready) {
        send(*request);
    }
    pool_.close_idle(now);
    if (elapsed >= options_.duration.count() && open_ == 0) {
        on_done_();
    }
}

milliseconds load::since_start() const {
    return std::chrono::duration_cast<milliseconds>(monotonic_now() - started_);
}

void load::send(caller_request& request) {
    request.sent += 1;
    http_request sent;
    sent.method = request.is_post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    sent.path = request.is_post ? options_.post_path : options_.get_path;
    const std::string attempt = request.id + "." + std::to_string(request.sent);
    sent.headers = {
        {"Host", options_.host}, {"X-Request-Id", request.id}, {platform::header::attempt_id, attempt}};
    if (request.is_post) {
        sent.body = "{\"order\":\"" + request.id + "\"}";
        sent.headers.push_back({"Idempotency-Key", request.key});
        sent.headers.push_back({"Content-Length", std::to_string(sent.body.size())});
    }
    const auto state = std::make_shared<answer_state>();
    state->sent = monotonic_now();
    upstream_callbacks callbacks;
    callbacks.on_headers = [state](int status, const std::vector<http_header>& headers) {
        state->status = status;
        state->outcome = header_value(headers, call_header::outcome);
        state->reason = header_value(headers, call_header::reason);
    };
    callbacks.on_data = [state](evbuffer* data) {
        constexpr std::size_t kept = 4096;
        if (state->body.size() < kept) {
            std::string piece(evbuffer_get_length(data), '\0');
            evbuffer_copyout(data, piece.data(), piece.size());
            state->body += piece;
        }
        evbuffer_drain(data, evbuffer_get_length(data));
    };
    callbacks.on_end = [this, &request, state](upstream_end end) {
        if (end != upstream_end::complete) {
            const bool never_sent = end == upstream_end::not_connected;
            settle(request, never_sent ? told::not_run : told::nothing,
                   never_sent ? "no-connection" : "lost");
            return;
        }
        if (state->outcome == "done" || options_.any_answer) {
            if (request.sent == 1) {
                request.first_answered = true;
                const auto spent = std::chrono::duration<double, std::milli>(monotonic_now() - state->sent);
                request.latency_ms = spent.count();
            }
            const bool names_request = state->body.find("\"request\":") != std::string::npos;
            request.wrong_answer |=
                names_request && state->body.find("\"" + request.id + "\"") == std::string::npos;
            settle(request, told::done, {});
            return;
        }
        settle(request, state->outcome == "not-run" ? told::not_run : told::unknown, state->reason);
    };
    request.last_node = options_.nodes[random_below(random_, options_.nodes.size())];
    request.last_sent = since_start();
    pool_.send(request.last_node, sent, {options_.timeout, std::nullopt, milliseconds(0)},
               std::move(callbacks));
}

void load::settle(caller_request& request, told what, const std::string& reason) {
    request.last = what;
    request.last_reason = reason;
    request.last_settled = since_start();
    request.ever_unknown |= what == told::nothing || what == told::unknown;
    if (what == told::done || request.sent >= options_.sends) {
        open_ -= 1;
        return;
    }
    if (what == told::not_run && options_.fresh_keys && !request.ever_unknown) {
        request.key = make_idempotency_key(wall_now(), random_(), random_());
    }
    resends_.emplace_back(monotonic_now() + options_.resend_pause, &request);
}

load_report compare(const std::vector<std::unique_ptr<caller_request>>& requests,
                    const std::vector<std::string>& run_logs) {
    std::map<std::string, std::uint64_t> started;
    for (const std::string& path : run_logs) {
        std::ifstream log(path);
        std::string id;
        std::string what;
        while (log >> id >> what) {
            started[id] += what == "started" ? 1 : 0;
        }
    }
    load_report report;
    std::vector<double> latencies;
    for (const auto& request : requests) {
        report.asked += 1;
        report.resent += request->sent - 1;
        report.wrong_answers += request->wrong_answer ? 1 : 0;
        const auto found = started.find(request->id);
        const std::uint64_t runs = found == started.end() ? 0 : found->second;
        report.run_twice += request->is_post && runs > 1 ? 1 : 0;
        if (request->first_answered) {
            latencies.push_back(request->latency_ms);
        }
        if (request->last == told::done) {
            report.answered += 1;
            if (runs == 0) {
                report.lost_requests.push_back(lost_of(*request));
            }
            continue;
        }
        report.reasons[request->last_reason] += 1;
        if (request->ever_unknown) {
            report.unknown += request->last != told::nothing ? 1 : 0;
            report.told_nothing += request->last == told::nothing ? 1 : 0;
            if (request->last == told::nothing) {
                report.lost_requests.push_back(lost_of(*request));
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
    line["asked"] = report.asked;
    line["answered"] = report.answered;
    line["refused_not_run"] = report.refused;
    line["unknown"] = report.unknown;
    line["told_nothing"] = report.told_nothing;
    line["lost"] = report.lost;
    line["lost_requests"] = nlohmann::ordered_json::array();
    for (const lost_request& lost : report.lost_requests) {
        line["lost_requests"].push_back(to_entry(lost));
    }
    line["run_twice"] = report.run_twice;
    line["refused_but_ran"] = report.refused_but_ran;
    line["wrong_answers"] = report.wrong_answers;
    line["resent"] = report.resent;
    line["p50_ms"] = report.p50_ms;
    line["p99_ms"] = report.p99_ms;
    line["p999_ms"] = report.p999_ms;
    line["reasons"] = report.reasons;
    return line.dump();
}

} // namespace waxwingfall::standin
