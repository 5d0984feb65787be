#include "waxwingfall/store/store_client.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <optional>

#include "waxwingfall/link/http.h"

namespace waxwingfall {

namespace {

namespace http_status = platform::store_http_status;

/// Bounds a list whose pages never end.
constexpr std::size_t max_listed_values = 100'000;

store_status status_of(const http_response& response) {
    if (response.delivery_status == http_response::delivery::not_connected) {
        return store_status::not_reached;
    }
    if (response.delivery_status == http_response::delivery::no_response) {
        return store_status::unknown;
    }
    switch (response.status) {
    case http_status::ok:
        return store_status::ok;
    case http_status::absent:
        return store_status::absent;
    case http_status::revision_differs:
        return store_status::conflict;
    default:
        // Only a refusal proves that a write had no effect.
        return http_status::is_refusal(response.status) ? store_status::not_reached : store_status::unknown;
    }
}

/// Sends a request and passes its status and the HTTP response to `handle`.
exchange_handle call(const store_client& client, std::string_view name, const http_request& request,
                     milliseconds timeout, std::function<void(store_response, const http_response&)> handle) {
    return exchange(*client.loop, client.address, request, timeout,
                    [name, started = monotonic_now(), on_end = client.on_end,
                     handle = std::move(handle)](const http_response& response) {
                        store_response result;
                        result.status = status_of(response);
                        if (on_end) {
                            on_end({name, result.status, milliseconds(elapsed_ms(started, monotonic_now())),
                                    response.body.size()});
                        }
                        handle(std::move(result), response);
                    });
}

/// The result for a response that can't be decoded: it proves neither that a write took effect nor that it
/// did not.
store_response malformed_response() {
    store_response result;
    result.status = store_status::unknown;
    return result;
}

struct listing {
    store_client client;
    std::string prefix;
    store_callback done;
    std::vector<stored_value> values;
};

void list_page(const std::shared_ptr<listing>& state) {
    const std::string after = state->values.empty() ? std::string() : state->values.back().key;
    call(state->client, "list", platform::encode_list(state->prefix, after), state->client.timeout,
         [state](store_response result, const http_response& response) {
             if (result.status != store_status::ok) {
                 state->done(result);
                 return;
             }
             auto page = platform::decode_page(response.body);
             if (!page) {
                 state->done(malformed_response());
                 return;
             }
             const bool has_more =
                 page->has_more && !page->values.empty() && state->values.size() < max_listed_values;
             std::move(page->values.begin(), page->values.end(), std::back_inserter(state->values));
             if (has_more) {
                 list_page(state);
                 return;
             }
             result.values = std::move(state->values);
             state->done(result);
         });
}

/// Returns the last change of `key` among those that a watch returned, or nothing if there is none.
std::optional<stored_value> last_change(const stored_changes& changes, const std::string& key) {
    std::optional<stored_value> last;
    for (const stored_value& change : changes.values) {
        if (change.key == key) {
            last = change;
        }
    }
    return last;
}

/// Reads a key by listing it as a prefix: unlike the response for an absent key, a list response always
/// contains the store revision.
exchange_handle read_current(const store_client& client, const std::string& key, milliseconds timeout,
                             store_callback done) {
    return call(client, "list", platform::encode_list(key, {}), timeout,
                [key, done = std::move(done)](store_response result, const http_response& response) {
                    if (result.status != store_status::ok) {
                        done(result);
                        return;
                    }
                    const auto page = platform::decode_page(response.body);
                    if (!page) {
                        done(malformed_response());
                        return;
                    }
                    const auto found =
                        std::find_if(page->values.begin(), page->values.end(),
                                     [&](const stored_value& value) { return value.key == key; });
                    result.store_revision = page->store_revision;
                    result.status = found == page->values.end() ? store_status::absent : store_status::ok;
                    result.value = found == page->values.end() ? stored_value{key, {}, 0} : *found;
                    done(result);
                });
}

void write(const store_client& client, const store_write& request, store_callback done) {
    call(client, "write", platform::encode_write(request), client.timeout,
         [request, done = std::move(done)](store_response result, const http_response& response) {
             if (result.status == store_status::ok) {
                 const auto revision = platform::decode_written_revision(response.body);
                 if (!revision) {
                     done(malformed_response());
                     return;
                 }
                 result.value = {request.key, request.bytes, *revision};
             }
             done(result);
         });
}

} // namespace

std::string_view store_status_name(store_status status) {
    switch (status) {
    case store_status::ok:
        return "ok";
    case store_status::absent:
        return "absent";
    case store_status::conflict:
        return "conflict";
    case store_status::unchanged:
        return "unchanged";
    case store_status::not_reached:
        return "not-reached";
    case store_status::unknown:
        return "unknown";
    }
    return "unknown";
}

void read_value(const store_client& client, const std::string& key, store_callback done) {
    call(client, "read", platform::encode_read(key), client.timeout,
         [key, done = std::move(done)](store_response result, const http_response& response) {
             result.value.key = key;
             if (result.status == store_status::ok) {
                 auto value = platform::decode_value(response.body);
                 if (!value) {
                     done(malformed_response());
                     return;
                 }
                 result.value = std::move(*value);
             }
             done(result);
         });
}

void list_values(const store_client& client, const std::string& prefix, store_callback done) {
    list_page(std::make_shared<listing>(listing{client, prefix, std::move(done), {}}));
}

exchange_handle watch_value(const store_client& client, const std::string& key, std::uint64_t known_revision,
                            const watch_times& times, store_callback done) {
    if (known_revision == 0) {
        return read_current(client, key, times.response_timeout, std::move(done));
    }
    return call(client, "watch", platform::encode_watch(key, known_revision, times.wait),
                times.wait + times.response_timeout,
                [client, key, timeout = times.response_timeout,
                 done = std::move(done)](store_response result, const http_response& response) {
                    if (response.delivery_status == http_response::delivery::response_received &&
                        response.status == http_status::history_gone) {
                        read_current(client, key, timeout, done);
                        return;
                    }
                    if (result.status != store_status::ok) {
                        done(result);
                        return;
                    }
                    const auto changes = platform::decode_changes(response.body);
                    if (!changes) {
                        done(malformed_response());
                        return;
                    }
                    result.store_revision = changes->store_revision;
                    const auto change = last_change(*changes, key);
                    result.status = !change                 ? store_status::unchanged
                                    : change->revision == 0 ? store_status::absent
                                                            : store_status::ok;
                    result.value = change.value_or(stored_value{key, {}, 0});
                    done(result);
                });
}

void write_value(const store_client& client, const std::string& key, std::uint64_t expected_revision,
                 const std::string& bytes, const std::string& lease, store_callback done) {
    write(client, {key, bytes, lease, expected_revision}, std::move(done));
}

void overwrite_value(const store_client& client, const std::string& key, const std::string& bytes,
                     const std::string& lease, store_callback done) {
    write(client, {key, bytes, lease, std::nullopt}, std::move(done));
}

void grant_lease(const store_client& client, milliseconds lifetime, store_callback done) {
    call(client, "grant-lease", platform::encode_lease(lifetime), client.timeout,
         [done = std::move(done)](store_response result, const http_response& response) {
             if (result.status == store_status::ok) {
                 const auto lease = platform::decode_lease(response.body);
                 if (!lease) {
                     done(malformed_response());
                     return;
                 }
                 result.lease = *lease;
             }
             done(result);
         });
}

void renew_lease(const store_client& client, const std::string& lease, store_callback done) {
    call(client, "renew-lease", platform::encode_renewal(lease), client.timeout,
         [done = std::move(done)](const store_response& result, const http_response&) { done(result); });
}

void end_lease(const store_client& client, const std::string& lease, store_callback done) {
    call(client, "end-lease", platform::encode_lease_end(lease), client.timeout,
         [done = std::move(done)](const store_response& result, const http_response&) { done(result); });
}

} // namespace waxwingfall
