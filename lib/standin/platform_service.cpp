#include "waxwingfall/standin/platform_service.h"

#include <algorithm>
#include <charconv>

namespace waxwingfall::standin {

namespace {

constexpr milliseconds tick_period{5};
constexpr std::size_t max_value_bytes = 1'000'000;

std::uint64_t number_in(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
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
            static_cast<platform_service*>(self)->drop_closed(connection);
        },
        this);
    if (slow_.count() > 0) {
        delayed_.push_back({request, monotonic_now() + slow_});
        return;
    }
    dispatch(request);
}

void platform_service::dispatch(evhttp_request* request) {
    const std::string path = request_path(request);
    const evhttp_cmd_type method = evhttp_request_get_command(request);
    if (path == "/v1/kv" && method == EVHTTP_REQ_GET) {
        read(request);
    } else if (path == "/v1/kv" && method == EVHTTP_REQ_PUT) {
        write(request);
    } else if (path == "/v1/list") {
        list(request);
    } else if (path.starts_with("/v1/lease")) {
        change_lease(request);
    } else {
        answer(request, 400, "unknown call\n");
    }
}

void platform_service::answer_value(evhttp_request* request, const std::string& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        answer(request, 404, "", {{"X-Revision", "0"}});
        return;
    }
    counts_.bytes_out += found->second.bytes.size();
    answer(request, 200, found->second.bytes, {{"X-Revision", std::to_string(found->second.revision)}});
}

void platform_service::read(evhttp_request* request) {
    const std::string key = query_value(request, "key");
    const std::string watched = query_value(request, "watch");
    if (watched.empty()) {
        counts_.reads += 1;
        answer_value(request, key);
        return;
    }
    counts_.watches += 1;
    const std::uint64_t known = number_in(watched);
    const auto found = entries_.find(key);
    const std::uint64_t current = found == entries_.end() ? 0 : found->second.revision;
    if (current != known) {
        answer_value(request, key);
        return;
    }
    const milliseconds wait(static_cast<std::int64_t>(number_in(query_value(request, "wait_ms"))));
    watches_.push_back({request, key, known, monotonic_now() + wait});
}

void platform_service::write(evhttp_request* request) {
    counts_.writes += 1;
    const std::string key = query_value(request, "key");
    const std::string expected = query_value(request, "expect");
    const std::string lease_id = query_value(request, "lease");
    const auto found = entries_.find(key);
    const std::uint64_t current = found == entries_.end() ? 0 : found->second.revision;
    if (!lease_id.empty() && !leases_.contains(lease_id)) {
        answer(request, 404, "");
        return;
    }
    if (!expected.empty() && number_in(expected) != current) {
        answer(request, 409, "", {{"X-Revision", std::to_string(current)}});
        return;
    }
    const std::string bytes = request_body(request);
    if (bytes.size() > max_value_bytes) {
        answer(request, 413, "");
        return;
    }
    entries_[key] = {bytes, ++revision_, lease_id};
    if (lose_answers_ > 0) {
        lose_answers_ -= 1;
        drop_connection(request);
    } else {
        answer(request, 200, "", {{"X-Revision", std::to_string(revision_)}});
    }
    wake_watches(key);
}

void platform_service::list(evhttp_request* request) {
    counts_.reads += 1;
    const std::string prefix = query_value(request, "prefix");
    std::string body;
    for (auto found = entries_.lower_bound(prefix);
         found != entries_.end() && found->first.starts_with(prefix); ++found) {
        body += std::to_string(found->first.size()) + " " + std::to_string(found->second.revision) + " " +
                std::to_string(found->second.bytes.size()) + "\n" + found->first + found->second.bytes;
    }
    counts_.bytes_out += body.size();
    answer(request, 200, body);
}

void platform_service::change_lease(evhttp_request* request) {
    counts_.lease_calls += 1;
    const time_point now = monotonic_now();
    if (request_path(request) == "/v1/lease") {
        const milliseconds lifetime(static_cast<std::int64_t>(number_in(query_value(request, "ttl_ms"))));
        const std::string id = std::to_string(next_lease_++);
        leases_[id] = {lifetime, now + lifetime};
        answer(request, 200, "", {{"X-Lease", id}});
        return;
    }
    const auto found = leases_.find(query_value(request, "lease"));
    if (found == leases_.end()) {
        answer(request, 404, "");
        return;
    }
    found->second.lapses = now + found->second.lifetime;
    answer(request, 200, "", {{"X-Lease", found->first}});
}

void platform_service::control(evhttp_request* request) {
    const std::string down = query_value(request, "down");
    const std::string slow = query_value(request, "slow_ms");
    const std::string lose = query_value(request, "lose_answers");
    if (!down.empty()) {
        down_ = down == "1";
    }
    if (!slow.empty()) {
        slow_ = milliseconds(static_cast<std::int64_t>(number_in(slow)));
    }
    if (!lose.empty()) {
        lose_answers_ = static_cast<int>(number_in(lose));
    }
    if (!query_value(request, "save").empty()) {
        saved_ = entries_;
    }
    if (!query_value(request, "restore").empty()) {
        entries_ = saved_;
    }
    while (down_ && !watches_.empty()) {
        evhttp_request* waiting = watches_.front().request;
        watches_.pop_front();
        drop_connection(waiting);
    }
    answer(request, 200,
           "{\"reads\":" + std::to_string(counts_.reads) + ",\"writes\":" + std::to_string(counts_.writes) +
               ",\"watches\":" + std::to_string(counts_.watches) + ",\"lease_calls\":" +
               std::to_string(counts_.lease_calls) + ",\"waiting\":" + std::to_string(watches_.size()) +
               ",\"bytes_out\":" + std::to_string(counts_.bytes_out) + "}\n");
}

void platform_service::wake_watches(const std::string& key) {
    for (auto entry = watches_.begin(); entry != watches_.end();) {
        if (entry->key != key) {
            ++entry;
            continue;
        }
        evhttp_request* request = entry->request;
        entry = watches_.erase(entry);
        answer_value(request, key);
    }
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
        if (now < entry->ends) {
            ++entry;
            continue;
        }
        evhttp_request* request = entry->request;
        entry = watches_.erase(entry);
        answer(request, 204, "");
    }
    std::erase_if(leases_, [&](const auto& entry) { return now > entry.second.lapses; });
    std::erase_if(entries_, [&](const auto& entry) {
        return !entry.second.lease.empty() && !leases_.contains(entry.second.lease);
    });
}

void platform_service::drop_closed(evhttp_connection* connection) {
    const auto of_connection = [&](const auto& entry) {
        return evhttp_request_get_connection(entry.request) == connection;
    };
    watches_.remove_if(of_connection);
    delayed_.remove_if(of_connection);
}

} // namespace waxwingfall::standin
