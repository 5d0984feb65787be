#include "waxwingfall/platform/store_client.h"

#include <algorithm>
#include <charconv>

#include <event2/http.h>

#include "waxwingfall/link/http.h"

namespace waxwingfall {

namespace {

constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_absent = 404;
constexpr int status_conflict = 409;
constexpr milliseconds watch_margin{3000};

std::string encoded(const std::string& text) {
    char* raw = evhttp_uriencode(text.c_str(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string result = raw;
    free(raw);
    return result;
}

std::string header_value(const http_answer& answer, std::string_view name) {
    const auto found = std::find_if(answer.headers.begin(), answer.headers.end(),
                                    [&](const http_header& header) { return header.name == name; });
    return found == answer.headers.end() ? std::string() : found->value;
}

std::uint64_t number_in(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

store_status status_of(const http_answer& answer) {
    if (answer.how == http_answer::delivery::not_connected) {
        return store_status::not_reached;
    }
    if (answer.how == http_answer::delivery::lost) {
        return store_status::unknown;
    }
    switch (answer.status) {
    case status_ok:
        return store_status::ok;
    case status_no_content:
        return store_status::unchanged;
    case status_absent:
        return store_status::absent;
    case status_conflict:
        return store_status::conflict;
    default:
        return store_status::not_reached;
    }
}

/// Reads lines of "KEY-LENGTH REVISION VALUE-LENGTH" each followed by the key's and the value's bytes.
std::vector<stored_value> read_listing(std::string_view body) {
    std::vector<stored_value> found;
    while (true) {
        const auto end = body.find('\n');
        if (end == std::string_view::npos) {
            return found;
        }
        const std::string_view line = body.substr(0, end);
        const auto first = line.find(' ');
        const auto second = line.rfind(' ');
        if (first == std::string_view::npos || first == second) {
            return found;
        }
        const std::size_t key_size = number_in(line.substr(0, first));
        const std::size_t value_size = number_in(line.substr(second + 1));
        body.remove_prefix(end + 1);
        if (body.size() < key_size + value_size) {
            return found;
        }
        found.push_back({std::string(body.substr(0, key_size)),
                         std::string(body.substr(key_size, value_size)),
                         number_in(line.substr(first + 1, second - first - 1))});
        body.remove_prefix(key_size + value_size);
    }
}

void call(const store_client& client, const http_request& request, milliseconds timeout,
          const std::string& key, store_callback done) {
    exchange(*client.loop, client.address, request, timeout,
             [key, done = std::move(done)](const http_answer& answer) {
                 store_answer result;
                 result.status = status_of(answer);
                 result.value = {key, answer.body, number_in(header_value(answer, "X-Revision"))};
                 result.lease = header_value(answer, "X-Lease");
                 done(result);
             });
}

void put(const store_client& client, const std::string& key, const std::string& parameters,
         const std::string& bytes, const std::string& lease, store_callback done) {
    const std::string path =
        "/v1/kv?key=" + encoded(key) + parameters + (lease.empty() ? "" : "&lease=" + lease);
    call(client, {EVHTTP_REQ_PUT, path, {}, bytes}, client.timeout, key, std::move(done));
}

} // namespace

void read_value(const store_client& client, const std::string& key, store_callback done) {
    call(client, {EVHTTP_REQ_GET, "/v1/kv?key=" + encoded(key), {}, {}}, client.timeout, key,
         std::move(done));
}

void list_values(const store_client& client, const std::string& prefix, store_callback done) {
    const http_request request{EVHTTP_REQ_GET, "/v1/list?prefix=" + encoded(prefix), {}, {}};
    exchange(*client.loop, client.address, request, client.timeout,
             [done = std::move(done)](const http_answer& answer) {
                 store_answer result;
                 result.status = status_of(answer);
                 result.listed = read_listing(answer.body);
                 done(result);
             });
}

void watch_value(const store_client& client, const std::string& key, std::uint64_t known, milliseconds wait,
                 store_callback done) {
    const std::string path = "/v1/kv?key=" + encoded(key) + "&watch=" + std::to_string(known) +
                             "&wait_ms=" + std::to_string(wait.count());
    call(client, {EVHTTP_REQ_GET, path, {}, {}}, wait + watch_margin, key, std::move(done));
}

void write_value(const store_client& client, const std::string& key, std::uint64_t expected,
                 const std::string& bytes, const std::string& lease, store_callback done) {
    put(client, key, "&expect=" + std::to_string(expected), bytes, lease, std::move(done));
}

void overwrite_value(const store_client& client, const std::string& key, const std::string& bytes,
                     const std::string& lease, store_callback done) {
    put(client, key, "", bytes, lease, std::move(done));
}

void grant_lease(const store_client& client, milliseconds lifetime, store_callback done) {
    const std::string path = "/v1/lease?ttl_ms=" + std::to_string(lifetime.count());
    call(client, {EVHTTP_REQ_POST, path, {}, {}}, client.timeout, {}, std::move(done));
}

void renew_lease(const store_client& client, const std::string& lease, store_callback done) {
    call(client, {EVHTTP_REQ_POST, "/v1/lease/renew?lease=" + lease, {}, {}}, client.timeout, {},
         std::move(done));
}

} // namespace waxwingfall
