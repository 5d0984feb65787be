#ifndef WAXWINGFALL_PLATFORM_STORE_CLIENT_H
#define WAXWINGFALL_PLATFORM_STORE_CLIENT_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_wire.h"
#include "waxwingfall/link/address.h"
#include "waxwingfall/link/event_loop.h"

namespace waxwingfall {

/// How a call to the platform's key-value service ended.
enum class store_status {
    ok,
    absent,      ///< the key or the lease does not exist
    conflict,    ///< the key has another revision than the expected one
    unchanged,   ///< a watch ended without a change
    not_reached, ///< nothing was sent, or the service refused; nothing took effect
    unknown      ///< no answer came; a write may have taken effect
};

/// The answer to a call.
struct store_answer {
    store_status status = store_status::not_reached;
    stored_value value;               ///< of `read`, `watch` and `write`
    std::vector<stored_value> listed; ///< of `list`
    std::string lease;                ///< of `grant_lease`
    std::uint64_t store_revision = 0; ///< of `watch`: where the next watch begins
};

/// The name of a status in metrics.
std::string_view store_status_name(store_status status);

using store_callback = std::function<void(const store_answer&)>;

/// Calls to the platform's key-value service over HTTP, in the form of platform/store_wire.h. Each call
/// has its own connection, so that one gone silent costs one call's timeout.
struct store_client {
    const event_loop* loop = nullptr;
    ip_address address;
    milliseconds timeout{2000};
    /// Told of the end of each call, by the call's name; may be empty.
    std::function<void(std::string_view call, store_status status)> on_end{};
};

void read_value(const store_client& client, const std::string& key, store_callback done);

/// Reads all keys that start with `prefix`.
void list_values(const store_client& client, const std::string& prefix, store_callback done);

/// Waits up to `wait` for a change of the key after the service's revision `known`. Reads the key instead if
/// `known` is 0 or if the service has forgotten its history since.
void watch_value(const store_client& client, const std::string& key, std::uint64_t known, milliseconds wait,
                 store_callback done);

/// Writes the key if its revision is `expected`. With a lease, the key disappears when the lease lapses.
void write_value(const store_client& client, const std::string& key, std::uint64_t expected,
                 const std::string& bytes, const std::string& lease, store_callback done);

/// Writes the key whatever its revision.
void overwrite_value(const store_client& client, const std::string& key, const std::string& bytes,
                     const std::string& lease, store_callback done);

void grant_lease(const store_client& client, milliseconds lifetime, store_callback done);
void renew_lease(const store_client& client, const std::string& lease, store_callback done);
void end_lease(const store_client& client, const std::string& lease, store_callback done);

} // namespace waxwingfall

#endif
