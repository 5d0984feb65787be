#ifndef WAXWINGFALL_STORE_STORE_CLIENT_H
#define WAXWINGFALL_STORE_STORE_CLIENT_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_wire.h"
#include "waxwingfall/link/address.h"
#include "waxwingfall/link/event_loop.h"

namespace waxwingfall {

/// The outcome of a call to the platform's key-value store.
enum class store_status {
    ok,
    absent,      ///< the key or the lease does not exist
    conflict,    ///< the key's revision differs from the expected one
    unchanged,   ///< a watch ended without a change of the key
    not_reached, ///< no connection, or the store refused the call; it had no effect
    unknown      ///< no readable response; a write may have taken effect
};

/// The response to a call.
struct store_response {
    store_status status = store_status::not_reached;
    stored_value value;               ///< of `read_value`, `watch_value` and writes
    std::vector<stored_value> values; ///< of `list_values`
    std::string lease;                ///< of `grant_lease`
    std::uint64_t store_revision = 0; ///< of `watch_value`: the revision after which the next watch starts
};

/// Returns the name of a status as used in metrics.
std::string_view store_status_name(store_status status);

using store_callback = std::function<void(const store_response&)>;

/// A call that has ended, as recorded in logs and metrics.
struct store_call_record {
    std::string_view call; ///< its name in metrics
    store_status status = store_status::not_reached;
    milliseconds duration{0};
    std::size_t response_bytes = 0; ///< of the body
};

/// Client of the platform's key-value store over HTTP; platform/store_wire.h defines the messages. Each call
/// uses its own connection, so that an unresponsive connection delays only that call, by its timeout.
struct store_client {
    const event_loop* loop = nullptr;
    ip_address address;
    milliseconds timeout{2000};
    /// Called at the end of each call; may be empty.
    std::function<void(const store_call_record& ended)> on_end{};
};

void read_value(const store_client& client, const std::string& key, store_callback done);

/// Reads all keys that start with `prefix`, page by page. The result is not an atomic snapshot.
void list_values(const store_client& client, const std::string& prefix, store_callback done);

/// Times of a watch.
struct watch_times {
    milliseconds wait{0};             ///< for a change, after which the store responds without one
    milliseconds response_timeout{0}; ///< from the end of the wait until the response begins
    auto operator<=>(const watch_times&) const = default;
};

/// Waits for a change of the key after the store revision `known_revision`. Reads the key instead, within
/// `response_timeout`, if `known_revision` is 0 or if the store no longer retains the history since that
/// revision. The result refers to the watch, or to the read if there is no watch.
exchange_handle watch_value(const store_client& client, const std::string& key, std::uint64_t known_revision,
                            const watch_times& times, store_callback done);

/// Writes the key if its revision is `expected_revision`. A key written with a lease is removed when the
/// lease expires.
void write_value(const store_client& client, const std::string& key, std::uint64_t expected_revision,
                 const std::string& bytes, const std::string& lease, store_callback done);

/// Writes the key regardless of its revision.
void overwrite_value(const store_client& client, const std::string& key, const std::string& bytes,
                     const std::string& lease, store_callback done);

void grant_lease(const store_client& client, milliseconds lifetime, store_callback done);
void renew_lease(const store_client& client, const std::string& lease, store_callback done);
void end_lease(const store_client& client, const std::string& lease, store_callback done);

} // namespace waxwingfall

#endif
