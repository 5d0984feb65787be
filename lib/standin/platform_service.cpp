#include "waxwingfall/standin/platform_service.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include <nlohmann/json.hpp>

namespace waxwingfall::standin {

namespace {

constexpr milliseconds tick_period{5};
constexpr std::size_t page_items = 500;
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_compacted = 410;
constexpr int status_revision_mismatch = 412;

std::uint64_t parse_number(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void respond_json(evhttp_request* request, int status, const nlohmann::json& body) {
    send_response(request, status, body.dump(), {{"Content-Type", "application/json"}});
}

nlohmann::json make_item(const std::string& key, const std::string& value, std::uint64_t revision,
                         std::uint64_t created, std::uint64_t lease) {
    return {{"key", key}, {"value", value}, {"rev", revision}, {"created", created}, {"lease", lease}};
}

} // namespace

platform_service::platform_service(const event_loop& loop, const ip_address& address)
    : loop_(loop), server_(loop, address, [this](evhttp_request* request) { receive(request); }),
      ticker_(loop_event::every(loop, tick_period, [this] { tick(); })) {}

void platform_service::receive(evhttp_request* request) {
    if (request_path(request) == "/control") {
        control(request);
        return;
    }
    if (down_) {
        drop_connection(request);
        return;
    }
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* connection, void* self) {
            static_cast<platform_service*>(self)->on_connection_closed(connection);
        },
        this);
    if (silent_) {
        return;
    }
    if (response_delay_.count() > 0) {
        delayed_.push_back({request, monotonic_now() + response_delay_});
        return;
    }
    dispatch(request);
}

void platform_service::dispatch(evhttp_request* request) {
    const std::string path = request_path(request);
    if (path == "/kv-key") {
        read(request);
    } else if (path == "/kv-range") {
        list(request);
    } else if (path == "/kv-watch") {
        watch_changes(request);
    } else if (path == "/kv-txn") {
        write(request);
    } else if (path.starts_with("/kv-lease") || path.starts_with("/kv-keep/")) {
        change_lease(request);
    } else {
        send_response(request, 400, "{\"error\":\"unknown call\"}");
    }
}

void platform_service::read(evhttp_request* request) {
    counts_.reads += 1;
    const std::string key = query_value(request, "key");
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        respond_json(request, status_not_found, {{"as_of", revision_}});
        return;
    }
    counts_.bytes_out += found->second.value.size();
    auto item = make_item(found->first, found->second.value, found->second.revision, found->second.created,
                          found->second.lease);
    item["as_of"] = revision_;
    respond_json(request, status_ok, item);
}

void platform_service::list(evhttp_request* request) {
    counts_.reads += 1;
    const std::string prefix = query_value(request, "prefix");
    const std::string after = query_value(request, "after");
    nlohmann::json items = nlohmann::json::array();
    bool has_more = false;
    for (auto listed = after.empty() ? entries_.lower_bound(prefix) : entries_.upper_bound(after);
         listed != entries_.end() && listed->first.starts_with(prefix); ++listed) {
        if (items.size() == page_items) {
            has_more = true;
            break;
        }
        counts_.bytes_out += listed->second.value.size();
        items.push_back(make_item(listed->first, listed->second.value, listed->second.revision,
                                  listed->second.created, listed->second.lease));
    }
    respond_json(request, status_ok, {{"items", items}, {"has_more", has_more}, {"as_of", revision_}});
}

bool platform_service::respond_with_changes(const watch& pending) {
    nlohmann::json events = nlohmann::json::array();
    for (const change& changed : history_) {
        if (changed.revision <= pending.after || !changed.key.starts_with(pending.prefix)) {
            continue;
        }
        if (changed.new_entry) {
            counts_.bytes_out += changed.new_entry->value.size();
            events.push_back(make_item(changed.key, changed.new_entry->value, changed.revision,
                                       changed.new_entry->created, changed.new_entry->lease));
        } else {
            events.push_back({{"key", changed.key}, {"rev", changed.revision}, {"deleted", true}});
        }
    }
    if (events.empty()) {
        return false;
    }
    respond_json(pending.request, status_ok, {{"events", events}, {"as_of", revision_}});
    return true;
}

void platform_service::watch_changes(evhttp_request* request) {
    counts_.watches += 1;
    const std::uint64_t after = parse_number(query_value(request, "after"));
    if (after < compacted_revision_) {
        respond_json(request, status_compacted, nlohmann::json::object());
        return;
    }
    const milliseconds wait(static_cast<std::int64_t>(parse_number(query_value(request, "wait_ms"))));
    const watch pending{request, query_value(request, "prefix"), after, monotonic_now() + wait};
    if (!respond_with_changes(pending)) {
        watches_.push_back(pending);
    }
}

void platform_service::put_entry(const std::string& key, std::string value, std::uint64_t lease) {
    const auto previous = entries_.find(key);
    const std::uint64_t created = previous == entries_.end() ? revision_ : previous->second.created;
    const entry new_entry{std::move(value), revision_, created, lease};
    entries_.insert_or_assign(key, new_entry);
    history_.push_back({revision_, key, new_entry});
}

void platform_service::remove_entry(const std::string& key) {
    if (entries_.erase(key) > 0) {
        history_.push_back({revision_, key, std::nullopt});
    }
}

void platform_service::write(evhttp_request* request) {
    counts_.writes += 1;
    const auto body = nlohmann::json::parse(request_body(request), nullptr, false);
    if (!body.is_object()) {
        send_response(request, 400, "{\"error\":\"not an object\"}");
        return;
    }
    nlohmann::json current = nlohmann::json::array();
    bool matches = true;
    for (const auto& condition : body.value("expect_rev", nlohmann::json::array())) {
        const std::string key = condition.at("key");
        const auto found = entries_.find(key);
        const std::uint64_t revision = found == entries_.end() ? 0 : found->second.revision;
        matches = matches && revision == condition.at("rev").get<std::uint64_t>();
        current.push_back({{"key", key}, {"rev", revision}});
    }
    if (!matches) {
        respond_json(request, status_revision_mismatch, {{"items", current}});
        return;
    }
    const auto puts = body.value("puts", nlohmann::json::array());
    const bool leases_exist = std::all_of(puts.begin(), puts.end(), [&](const auto& put) {
        const std::uint64_t lease = put.value("lease", std::uint64_t{0});
        return lease == 0 || leases_.contains(lease);
    });
    if (!leases_exist) {
        respond_json(request, status_not_found, nlohmann::json::object());
        return;
    }
    ++revision_;
    for (const auto& put : puts) {
        put_entry(put.at("key"), put.at("value"), put.value("lease", std::uint64_t{0}));
    }
    for (const auto& key : body.value("remove", nlohmann::json::array())) {
        remove_entry(key);
    }
    if (responses_to_drop_ > 0) {
        responses_to_drop_ -= 1;
        drop_connection(request);
    } else {
        respond_json(request, status_ok, {{"rev", revision_}});
    }
    notify_watches();
}

void platform_service::change_lease(evhttp_request* request) {
    counts_.lease_calls += 1;
    const time_point now = monotonic_now();
    const std::string path = request_path(request);
    if (path == "/kv-lease") {
        const auto body = nlohmann::json::parse(request_body(request), nullptr, false);
        const std::string text = body.is_object() ? body.value("ttl_time", "") : "";
        const milliseconds lifetime(static_cast<std::int64_t>(parse_number(text)));
        leases_[next_lease_] = {lifetime, now + lifetime};
        respond_json(request, status_ok, {{"lease", next_lease_}, {"ttl_time", text}});
        ++next_lease_;
        return;
    }
    const std::uint64_t id = parse_number(path.substr(path.rfind('/') + 1));
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
        respond_json(request, status_not_found, nlohmann::json::object());
        return;
    }
    if (path.starts_with("/kv-lease-end/")) {
        leases_.erase(found);
        remove_leased_entries(id);
        respond_json(request, status_ok, nlohmann::json::object());
        return;
    }
    found->second.expires_at = now + found->second.lifetime;
    respond_json(request, status_ok, {{"ttl_time", std::to_string(found->second.lifetime.count()) + "ms"}});
}

void platform_service::remove_leased_entries(std::uint64_t lease) {
    std::vector<std::string> keys;
    for (const auto& [key, stored] : entries_) {
        if (stored.lease == lease) {
            keys.push_back(key);
        }
    }
    if (keys.empty()) {
        return;
    }
    ++revision_;
    for (const std::string& key : keys) {
        remove_entry(key);
    }
    notify_watches();
}

void platform_service::control(evhttp_request* request) {
    const std::string down = query_value(request, "down");
    const std::string slow = query_value(request, "slow_ms");
    const std::string lose = query_value(request, "lose_answers");
    if (!down.empty()) {
        down_ = down == "1";
    }
    if (const std::string silent = query_value(request, "silent"); !silent.empty()) {
        silent_ = silent == "1";
        // Responses to open calls are lost; their connections stay open.
        watches_.clear();
        delayed_.clear();
    }
    if (!slow.empty()) {
        response_delay_ = milliseconds(static_cast<std::int64_t>(parse_number(slow)));
    }
    if (!lose.empty()) {
        responses_to_drop_ = static_cast<int>(parse_number(lose));
    }
    if (!query_value(request, "save").empty()) {
        saved_entries_ = entries_;
    }
    if (!query_value(request, "restore").empty()) {
        entries_ = saved_entries_;
        history_.clear();
        compacted_revision_ = ++revision_;
    }
    if (!query_value(request, "compact").empty()) {
        history_.clear();
        compacted_revision_ = revision_ + 1;
    }
    while (down_ && !watches_.empty()) {
        evhttp_request* pending = watches_.front().request;
        watches_.pop_front();
        drop_connection(pending);
    }
    send_response(request, 200,
                  "{\"reads\":" + std::to_string(counts_.reads) + ",\"writes\":" +
                      std::to_string(counts_.writes) + ",\"watches\":" + std::to_string(counts_.watches) +
                      ",\"lease_calls\":" + std::to_string(counts_.lease_calls) +
                      ",\"waiting\":" + std::to_string(watches_.size()) +
                      ",\"bytes_out\":" + std::to_string(counts_.bytes_out) + "}\n");
}

void platform_service::notify_watches() {
    watches_.remove_if([this](const watch& pending) { return respond_with_changes(pending); });
}

void platform_service::tick() {
    const time_point now = monotonic_now();
    for (auto entry = delayed_.begin(); entry != delayed_.end();) {
        if (now < entry->due) {
            ++entry;
            continue;
        }
        evhttp_request* request = entry->request;
        entry = delayed_.erase(entry);
        dispatch(request);
    }
    for (auto entry = watches_.begin(); entry != watches_.end();) {
        if (now < entry->deadline) {
            ++entry;
            continue;
        }
        evhttp_request* request = entry->request;
        entry = watches_.erase(entry);
        respond_json(request, status_ok, {{"events", nlohmann::json::array()}, {"as_of", revision_}});
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [id, active_lease] : leases_) {
        if (now > active_lease.expires_at) {
            expired.push_back(id);
        }
    }
    for (const std::uint64_t id : expired) {
        leases_.erase(id);
        remove_leased_entries(id);
    }
}

void platform_service::on_connection_closed(evhttp_connection* connection) {
    const auto uses_connection = [&](const auto& entry) {
        return evhttp_request_get_connection(entry.request) == connection;
    };
    watches_.remove_if(uses_connection);
    delayed_.remove_if(uses_connection);
}

} // namespace waxwingfall::standin
