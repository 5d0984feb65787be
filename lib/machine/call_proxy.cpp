#include "waxwingfall/machine/call_proxy.h"

#include <algorithm>
#include <charconv>

#include "waxwingfall/call/call_decisions.h"
#include "waxwingfall/call/placement.h"
#include "waxwingfall/contract/snapshot.h"

namespace waxwingfall {

namespace {

constexpr milliseconds sweep_period{20};
constexpr milliseconds connection_reuse{5000};
constexpr std::size_t kept_answer_bytes = 4096;
constexpr int status_unavailable = 503;
constexpr int first_server_error = 500;

/// What a worker answers whose deadline has passed; a retry would come too late as well.
constexpr int status_worker_deadline = 504;

/// Answers up to this size are passed on only when they are whole. Larger ones are streamed in bounded
/// memory.
constexpr std::size_t held_answer_bytes = 64UL * 1024;

/// Added to the wait for a worker's node, so that its own answer to a missed deadline arrives first.
constexpr milliseconds deadline_margin{50};

/// For a worker's node to say that it has read a request. Round trips take 8 ms at most; a node with a fifth
/// of a core needs some 50 ms to come to a request under load.
constexpr milliseconds hop_acknowledgement{400};

std::optional<double> number_in(const std::vector<http_header>& headers, const char* name) {
    const std::string text = header_value(headers, name);
    int value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return text.empty() || result.ec != std::errc{} ? std::nullopt : std::optional<double>(value);
}

/// The error kind that a worker's node names as the reason of its refusal.
error_kind reason_in(const std::vector<http_header>& headers) {
    const std::string name = header_value(headers, call_header::reason);
    for (const error_answer& row : error_table()) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return error_kind::overloaded;
}

} // namespace

struct call_proxy::call {
    received_request received;
    std::unique_ptr<downstream> caller;
    std::shared_ptr<const contract> under; ///< the document in force when the call arrived
    std::uint64_t version = 0;
    const route_contract* route = nullptr;
    const service_contract* service = nullptr;
    bool non_idempotent = false;
    bool inside_retry = false;
    std::uint32_t max_attempts = 1;
    std::size_t reached = 0;    ///< tries that may have reached a worker
    bool may_have_run = false;  ///< at one of them
    bool worker_failed = false; ///< by its own answer
    bool held_back = false;     ///< the worker failed the request, and another may do better
    bool begun = false;         ///< the answer is on its way to the caller
    std::vector<http_header> answer_headers;
    std::string held_body; ///< of an answer that is not on its way yet
    time_point received_at;
    time_point deadline;
    std::optional<idempotency_key> key;
    std::uint64_t attempt = 0; ///< of the claim; 0 without one
    bool has_key = false;
    bool granted = false;     ///< the claim is held and not settled yet
    bool was_granted = false; ///< so no earlier sending under the same key ran
    std::vector<member_id> tried;
    member_id endpoint = 0;
    std::uint64_t upstream = 0;
    bool trying = false;
    bool refused = false; ///< the worker's node refused this try
    bool crashed = false; ///< the worker's node saw the worker crash under this try
    error_kind refusal = error_kind::overloaded;
    endpoint_report report;
    int status = 0;
    std::string content_type;
    std::string answer_copy;
    bool answer_too_long = false;
};

call_proxy::call_proxy(node_context& node)
    : node_(node), workers_(node.loop, connection_reuse),
      server_(node.loop, node.settings.calls, [this](evhttp_request* raw) { receive(raw); }),
      sweep_(loop_event::every(node.loop, sweep_period, [this] { sweep(); })) {
    evhttp* raw = server_.raw();
    evhttp_set_max_body_size(raw, node.settings.max_body_bytes);
    evhttp_set_max_headers_size(raw, node.settings.max_header_bytes);
    evhttp_set_allowed_methods(raw, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    constexpr std::int64_t thousand = 1000;
    const timeval limit{node.settings.caller_timeout.count() / thousand,
                        (node.settings.caller_timeout.count() % thousand) * thousand};
    evhttp_set_timeout_tv(raw, &limit);
}

call_proxy::~call_proxy() = default;

void call_proxy::follow_contract() {
    const caller_limits& limits = node_.in_force->limits;
    if (limits.idle_timeout_ms == 0) {
        return;
    }
    // Longer than promised: a request that crosses the close of its connection has to be sent again.
    constexpr std::int64_t margin = 5;
    constexpr std::int64_t thousand = 1000;
    const std::int64_t ms = limits.idle_timeout_ms + limits.idle_timeout_ms / margin;
    const timeval limit{ms / thousand, (ms % thousand) * thousand};
    evhttp_set_timeout_tv(server_.raw(), &limit);
}

void call_proxy::receive(evhttp_request* raw) {
    const std::uint64_t id = next_id_++;
    node_.counts.received += 1;
    auto made = std::make_unique<call>();
    made->received_at = monotonic_now();
    made->caller = std::make_unique<downstream>(raw);
    const auto fault = read_request(raw, made->received);
    const bool is_read = made->received.method == "GET" || made->received.method == "HEAD";
    made->has_key =
        !is_read && !header_value(made->received.request.headers, call_header::idempotency_key).empty();
    calls_.emplace(id, std::move(made));
    if (fault) {
        fail(id, *fault);
        return;
    }
    start(id);
}

void call_proxy::start(std::uint64_t id) {
    call& started = *calls_.at(id);
    const time_point now = monotonic_now();
    if (!node_.in_force) {
        fail(id, error_kind::no_configuration);
        return;
    }
    // The call keeps the document that it started under, so a change never applies to half of it.
    started.under = node_.in_force;
    started.version = node_.version;
    started.route = match_route(*started.under, started.received.host, started.received.path);
    if (started.route == nullptr) {
        fail(id, error_kind::no_route);
        return;
    }
    started.service = find_service(*started.under, choose_service(*started.route, node_.random));
    const std::uint32_t limit =
        started.route->timeout_ms != 0 ? started.route->timeout_ms : started.service->timeout_ms;
    started.deadline = read_deadline(started.received.request.headers, milliseconds(limit), now);
    const std::string retry = header_value(started.received.request.headers, call_header::retry_attempt);
    started.inside_retry = !retry.empty() && retry != "0";
    started.non_idempotent = runs_once(*started.route, started.received.method);
    started.max_attempts =
        started.route->max_attempts != 0 ? started.route->max_attempts : started.service->max_attempts;
    if (now >= started.deadline) {
        fail(id, error_kind::deadline_exceeded);
        return;
    }
    if (is_quarantined(node_.crashes, started.received.fingerprint, now)) {
        fail(id, error_kind::crash_quarantined);
        return;
    }
    earn_retry(budget_of(started.service->name),
               std::min(started.service->retry_budget_percent, node_.settings.retry_share_percent));
    if (needs_key(*started.route, started.received.method)) {
        claim(id);
    } else {
        try_next(id);
    }
}

void call_proxy::claim(std::uint64_t id) {
    call& started = *calls_.at(id);
    const std::string text = header_value(started.received.request.headers, call_header::idempotency_key);
    if (text.empty()) {
        fail(id, error_kind::missing_idempotency_key);
        return;
    }
    started.key = parse_idempotency_key(text);
    const auto ahead = static_cast<wall_ms>(node_.records.policy.clock_ahead.count());
    if (!started.key || started.key->made > wall_now() + ahead) {
        fail(id, error_kind::bad_idempotency_key);
        return;
    }
    claimant_effects effects;
    const auto attempt = start_claim(node_.claims, node_.records.map, node_.control.nodes, *started.key,
                                     started.received.fingerprint, monotonic_now(), node_.random, effects);
    if (!attempt) {
        fail(id, error_kind::ledger_unavailable);
        return;
    }
    started.attempt = *attempt;
    call_of_attempt_[*attempt] = id;
    send_all(node_, std::move(effects.messages));
}

void call_proxy::handle_claims(const claimant_effects& effects) {
    for (const claim_result& result : effects.results) {
        const auto found = call_of_attempt_.find(result.attempt);
        if (found == call_of_attempt_.end()) {
            if (result.verdict == claim_verdict::granted) {
                // The caller left before the grant came; nothing was sent.
                send_all(node_, release_claim(node_.claims, node_.records.map, node_.control.nodes,
                                              result.attempt, result.key, monotonic_now())
                                    .messages);
            }
            continue;
        }
        const std::uint64_t id = found->second;
        call_of_attempt_.erase(found);
        if (result.verdict == claim_verdict::granted) {
            calls_.at(id)->granted = true;
            calls_.at(id)->was_granted = true;
            try_next(id);
        } else if (result.verdict == claim_verdict::done) {
            replay(id, result.existing);
        } else {
            fail(id, refusal_of(result.verdict));
        }
    }
}

void call_proxy::replay(std::uint64_t id, const ledger_record& record) {
    call& repeated = *calls_.at(id);
    node_.counts.replayed += 1;
    if (!record.answer_kept) {
        fail(id, error_kind::answer_not_kept);
        return;
    }
    std::vector<http_header> headers{{call_header::outcome, std::string(outcome_name(outcome::done))},
                                     {call_header::replayed, "true"}};
    if (!record.content_type.empty()) {
        headers.push_back({"Content-Type", record.content_type});
    }
    repeated.caller->reply(static_cast<int>(record.status), record.answer, headers);
    node_.counts.answered += 1;
    remove(id);
}

void call_proxy::try_next(std::uint64_t id) {
    call& tried = *calls_.at(id);
    const time_point now = monotonic_now();
    const std::string& service = tried.service->name;
    if (now >= tried.deadline) {
        fail(id, tried.tried.empty() ? error_kind::deadline_exceeded
                                     : final_kind(tried.refusal, tried.may_have_run));
        return;
    }
    const auto endpoint = pick(tried, now);
    if (!endpoint) {
        fail(id,
             tried.tried.empty() ? error_kind::no_endpoint : final_kind(tried.refusal, tried.may_have_run));
        return;
    }
    tried.endpoint = *endpoint;
    tried.refused = false;
    tried.crashed = false;
    tried.held_back = false;
    tried.worker_failed = false;
    tried.trying = true;
    tried.report = {};
    const bool is_retry = !tried.tried.empty();
    tried.tried.push_back(*endpoint);
    log_placement(tried, now);
    node_.counts.tries += 1;
    node_.counts.retries += is_retry ? 1 : 0;
    begin_try(node_.routing, service, *endpoint);
    http_request sent = tried.received.request;
    const auto left = std::max<std::int64_t>(1, elapsed_ms(now, tried.deadline));
    set_header(sent.headers, call_header::deadline_ms, std::to_string(left));
    set_header(sent.headers, platform::header::caller_service, node_.settings.service);
    set_header(sent.headers, call_header::service, service);
    set_header(sent.headers, call_header::priority, std::to_string(tried.route->priority));
    if (tried.route->goal_ms != 0) {
        const auto goal_left = elapsed_ms(now, tried.received_at + milliseconds(tried.route->goal_ms));
        set_header(sent.headers, call_header::goal_ms, std::to_string(std::max<std::int64_t>(0, goal_left)));
    }
    if (is_retry || tried.inside_retry) {
        set_header(sent.headers, call_header::retry_attempt, std::to_string(tried.tried.size()));
    }
    upstream_callbacks callbacks;
    callbacks.on_headers = [this, id](int status, const std::vector<http_header>& headers) {
        on_headers(id, status, headers);
    };
    callbacks.on_data = [this, id](evbuffer* data) { on_data(id, data); };
    callbacks.on_end = [this, id](upstream_end end) { on_end(id, end); };
    const std::string reached =
        translate(node_.settings.translations, endpoint_address(node_.routing, service, *endpoint));
    const auto address = parse_address(reached);
    upstream_options options;
    options.timeout = milliseconds(left) + deadline_margin;
    options.acknowledged_within = hop_acknowledgement;
    tried.upstream = workers_.send(address.value_or(ip_address{}), sent, options, std::move(callbacks));
}

std::optional<member_id> call_proxy::pick(const call& placed, time_point now) {
    const std::string& service = placed.service->name;
    if (node_.routing.policy.rule != pick_rule::expected_finish) {
        return pick_endpoint(node_.routing, service, placed.tried, now, node_.random);
    }
    const placement_question question{service, placed.tried, placed.route->priority,
                                      placed.route->kind == request_kind::download};
    return place_call(node_.routing, question, now, node_.random);
}

void call_proxy::on_headers(std::uint64_t id, int status, const std::vector<http_header>& headers) {
    call& answered = *calls_.at(id);
    answered.report = {number_in(headers, call_header::load), number_in(headers, call_header::mean_run_ms),
                       answered.route->priority, std::nullopt};
    if (const auto pause = number_in(headers, call_header::pause_ms)) {
        answered.report.pause = milliseconds(static_cast<std::int64_t>(*pause));
    }
    const std::string result = header_value(headers, call_header::outcome);
    if (result != outcome_name(outcome::done)) {
        // Held back: another try may still give the caller a real answer.
        answered.refused = result == outcome_name(outcome::not_run);
        answered.refusal = reason_in(headers);
        answered.crashed = answered.refusal == error_kind::worker_crashed;
        answered.status = 0;
        return;
    }
    answered.worker_failed = status >= first_server_error && status != status_worker_deadline;
    const bool is_worth_it = answered.worker_failed && !answered.non_idempotent &&
                             others_do_better(node_.routing, answered.service->name, answered.endpoint);
    if (is_worth_it && may_retry(answered, answered.reached + 1, monotonic_now())) {
        answered.held_back = true;
        answered.status = 0;
        return;
    }
    answered.status = status;
    answered.content_type = header_value(headers, "Content-Type");
    auto passed = passable_headers(headers);
    if (node_.leaving) {
        passed.push_back({"Connection", "close"});
    }
    passed.push_back({call_header::outcome, std::string(outcome_name(outcome::done))});
    passed.push_back({call_header::version, std::to_string(answered.version)});
    answered.answer_headers = std::move(passed);
    answered.held_body.clear();
    if (answered.non_idempotent) {
        begin_answer(answered);
    }
}

void call_proxy::begin_answer(call& answered) {
    answered.begun = true;
    answered.caller->begin(answered.status, answered.answer_headers);
    if (!answered.held_body.empty()) {
        evbuffer* held = evbuffer_new();
        evbuffer_add(held, answered.held_body.data(), answered.held_body.size());
        answered.caller->write(held, {});
        evbuffer_free(held);
        answered.held_body.clear();
    }
}

void call_proxy::on_data(std::uint64_t id, evbuffer* data) {
    call& answered = *calls_.at(id);
    if (answered.status == 0) {
        evbuffer_drain(data, evbuffer_get_length(data));
        return;
    }
    if (answered.granted && !answered.answer_too_long) {
        const std::size_t size = evbuffer_get_length(data);
        answered.answer_too_long = answered.answer_copy.size() + size > kept_answer_bytes;
        if (answered.answer_too_long) {
            answered.answer_copy.clear();
        } else {
            std::string piece(size, '\0');
            evbuffer_copyout(data, piece.data(), size);
            answered.answer_copy += piece;
        }
    }
    if (!answered.begun) {
        // Held until it is whole: if the worker breaks off, another can still answer.
        std::string piece(evbuffer_get_length(data), '\0');
        evbuffer_remove(data, piece.data(), piece.size());
        answered.held_body += piece;
        if (answered.held_body.size() > held_answer_bytes) {
            begin_answer(answered);
        }
        return;
    }
    const std::uint64_t upstream = answered.upstream;
    if (answered.caller->write(data, [this, upstream] { workers_.resume(upstream); })) {
        workers_.pause(upstream);
    }
}

void call_proxy::on_end(std::uint64_t id, upstream_end end) {
    call& ended = *calls_.at(id);
    const time_point now = monotonic_now();
    ended.trying = false;
    const bool answered = end == upstream_end::complete && ended.status != 0;
    const bool refused = end == upstream_end::complete && ended.refused;
    const bool unreachable = end == upstream_end::not_connected || end == upstream_end::silent;
    const bool served = answered && !ended.worker_failed;
    const try_result result = served        ? try_result::answered
                              : refused     ? try_result::refused
                              : unreachable ? try_result::unreachable
                                            : try_result::failed;
    end_try(node_.routing, ended.service->name, ended.endpoint, result, ended.report, now);
    if (ended.crashed) {
        spread_crash(node_, ended.received.fingerprint, ended.endpoint, now);
    }
    if (answered) {
        finish(id);
        return;
    }
    if (end == upstream_end::not_connected) {
        ended.refused = true;
        ended.refusal = error_kind::worker_unreachable;
    }
    const bool by_node = ended.refused && ended.refusal != error_kind::worker_refused;
    ended.reached += by_node ? 0 : 1;
    if (ended.refused) {
        on_refused(id);
        return;
    }
    if (ended.held_back) {
        // The budget was asked when the answer was held back.
        ended.may_have_run = true;
        ended.refusal = error_kind::worker_failed;
        try_next(id);
        return;
    }
    if (ended.caller->has_begun() || ended.non_idempotent) {
        // A second run could double what the first one did.
        fail(id, error_kind::outcome_unknown);
        return;
    }
    ended.may_have_run = true;
    ended.refusal = error_kind::worker_failed;
    if (may_retry(ended, ended.reached, now)) {
        try_next(id);
    } else {
        fail(id, error_kind::worker_failed);
    }
}

void call_proxy::on_refused(std::uint64_t id) {
    call& refused = *calls_.at(id);
    if (is_worth_a_retry(refused.refusal) && may_retry(refused, refused.reached, monotonic_now())) {
        try_next(id);
    } else {
        fail(id, final_kind(refused.refusal, refused.may_have_run));
    }
}

bool call_proxy::may_retry(call& failed, std::size_t reached, time_point now) {
    const retry_question question{reached, failed.max_attempts, failed.inside_retry, failed.deadline,
                                  is_quarantined(node_.crashes, failed.received.fingerprint, now)};
    if (!may_try_again(question, now)) {
        return false;
    }
    // A try that no worker has seen is no repetition, whatever follows it.
    if (reached == 0 || !node_.settings.retry_budget || spend_retry(budget_of(failed.service->name))) {
        return true;
    }
    node_.counts.retries_denied += 1;
    return false;
}

retry_budget& call_proxy::budget_of(const std::string& service) {
    const auto known = budgets_.find(service);
    if (known != budgets_.end()) {
        return known->second;
    }
    const auto& members = node_.control.nodes.members;
    const auto nodes = std::count_if(members.begin(), members.end(), [](const auto& entry) {
        return entry.second.state != member_state::dead;
    });
    return budgets_
        .emplace(service, share_of_slack(node_.settings.retry_slack, static_cast<std::size_t>(nodes)))
        .first->second;
}

void call_proxy::settle(call& settled, std::uint32_t state) {
    if (!settled.granted) {
        return;
    }
    settled.granted = false;
    wire::record record;
    record.set_key(settled.key->bytes);
    record.set_fingerprint(settled.received.fingerprint);
    record.set_attempt(settled.attempt);
    record.set_state(state);
    record.set_status(static_cast<std::uint32_t>(settled.status));
    record.set_content_type(settled.content_type);
    record.set_answer(settled.answer_copy);
    record.set_answer_dropped(settled.answer_too_long);
    send_all(node_, settle_claim(node_.claims, node_.records.map, node_.control.nodes, std::move(record),
                                 monotonic_now())
                        .messages);
}

void call_proxy::finish(std::uint64_t id) {
    call& finished = *calls_.at(id);
    settle(finished, static_cast<std::uint32_t>(record_state::done));
    if (!finished.begun) {
        begin_answer(finished);
    }
    finished.caller->end();
    log_answer(finished);
    node_.counts.answered += 1;
    node_.control.calls += 1;
    remove(id);
}

void call_proxy::fail(std::uint64_t id, error_kind kind) {
    call& failed = *calls_.at(id);
    const error_answer& row = answer_of(kind);
    const outcome result = outcome_of(kind, failed.has_key, failed.was_granted);
    log_failure(failed, kind, result);
    settle(failed, row.result == outcome::not_run ? released_state
                                                  : static_cast<std::uint32_t>(record_state::unknown));
    node_.counts.not_run += result == outcome::not_run ? 1 : 0;
    node_.counts.unknown += result == outcome::unknown ? 1 : 0;
    node_.control.calls += 1;
    const bool is_callers_fault = row.http_status >= 400 && row.http_status < 500;
    node_.control.failed_calls += is_callers_fault ? 0 : 1;
    // After the first piece, destroying the answer breaks the connection, so that it never looks whole.
    if (!failed.caller->has_begun()) {
        auto headers = error_headers(kind, result);
        if (node_.leaving) {
            headers.push_back({"Connection", "close"});
        }
        if (row.http_status == status_unavailable && result == outcome::not_run) {
            headers.push_back({platform::header::retry_after,
                               std::to_string(retry_after_s(milliseconds(0), node_.random))});
        }
        if (kind == error_kind::malformed_request && !node_.leaving) {
            headers.push_back({"Connection", "close"});
        }
        failed.caller->reply(row.http_status, error_body(kind, result), headers);
    }
    remove(id);
}

std::string call_proxy::request_id(const call& of) {
    return header_value(of.received.request.headers, platform::header::attempt_id);
}

std::string call_proxy::endpoint_name(member_id id) const {
    const auto known = node_.control.nodes.members.find(id);
    return known == node_.control.nodes.members.end() ? std::string() : known->second.name;
}

void call_proxy::log_placement(const call& placed, time_point now) {
    const endpoint* picked = find_endpoint(node_.routing, placed.service->name, placed.endpoint);
    const bool is_reported = picked != nullptr && picked->reported_at != time_point();
    node_.log.write(
        event_id::call_placed, wall_now(),
        {{"request", request_id(placed)},
         {"endpoint", endpoint_name(placed.endpoint)},
         {"try", std::to_string(placed.tried.size())},
         {"load", is_reported ? std::to_string(static_cast<int>(picked->reported_load)) : "unknown"},
         {"load_age_ms", is_reported ? std::to_string(elapsed_ms(picked->reported_at, now)) : ""},
         {"version", std::to_string(placed.version)}});
}

void call_proxy::log_answer(const call& answered) {
    node_.log.write(event_id::call_answered, wall_now(),
                    {{"request", request_id(answered)},
                     {"endpoint", endpoint_name(answered.endpoint)},
                     {"status", std::to_string(answered.status)},
                     {"tries", std::to_string(answered.tried.size())},
                     {"version", std::to_string(answered.version)},
                     {"age_ms", std::to_string(elapsed_ms(answered.received_at, monotonic_now()))}});
}

void call_proxy::log_failure(const call& failed, error_kind kind, outcome result) {
    node_.log.write(event_id::call_failed, wall_now(),
                    {{"request", request_id(failed)},
                     {"route", failed.route == nullptr ? failed.received.host + failed.received.path
                                                       : failed.route->host + failed.route->prefix},
                     {"service", failed.service == nullptr ? std::string() : failed.service->name},
                     {"reason", std::string(answer_of(kind).name)},
                     {"outcome", std::string(outcome_name(result))},
                     {"tries", std::to_string(failed.tried.size())},
                     {"version", std::to_string(failed.version)},
                     {"age_ms", std::to_string(elapsed_ms(failed.received_at, monotonic_now()))}});
}

void call_proxy::remove(std::uint64_t id) {
    const auto found = calls_.find(id);
    const std::unique_ptr<call> removed = std::move(found->second);
    calls_.erase(found);
    call_of_attempt_.erase(removed->attempt);
    if (removed->trying) {
        workers_.cancel(removed->upstream);
        end_try(node_.routing, removed->service->name, removed->endpoint, try_result::cancelled, {},
                monotonic_now());
    }
}

void call_proxy::sweep() {
    const time_point now = monotonic_now();
    std::vector<std::uint64_t> gone;
    std::vector<std::uint64_t> late;
    for (const auto& [id, open] : calls_) {
        // A non-idempotent request that may be running is let run to its end: its caller will ask for the
        // outcome.
        if (!open->granted && open->caller->is_gone()) {
            gone.push_back(id);
        } else if (now >= open->deadline + deadline_margin) {
            late.push_back(id);
        }
    }
    for (const std::uint64_t id : gone) {
        node_.counts.caller_gone += 1;
        remove(id);
    }
    for (const std::uint64_t id : late) {
        call& expired = *calls_.at(id);
        if (expired.trying) {
            expired.trying = false;
            workers_.cancel(expired.upstream);
            end_try(node_.routing, expired.service->name, expired.endpoint, try_result::failed, {}, now);
            fail(id, error_kind::outcome_unknown);
            continue;
        }
        fail(id, error_kind::deadline_exceeded);
    }
    workers_.close_idle(now);
}

} // namespace waxwingfall
