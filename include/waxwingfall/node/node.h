#ifndef WAXWINGFALL_NODE_NODE_H
#define WAXWINGFALL_NODE_NODE_H

#include <cstdint>
#include <functional>
#include <memory>

#include "waxwingfall/node/admin.h"
#include "waxwingfall/node/evidence_exchange.h"
#include "waxwingfall/node/leave_records.h"
#include "waxwingfall/node/local_ports.h"
#include "waxwingfall/node/platform_agent.h"
#include "waxwingfall/node/quota_agent.h"
#include "waxwingfall/proxy/call_proxy.h"
#include "waxwingfall/proxy/inbound_proxy.h"
#include "waxwingfall/proxy/node_context.h"

namespace waxwingfall {

/// One waxwingfall node: creates the components and connects them on one event loop.
class node {
public:
    /// Binds all listening addresses. Throws if one cannot be bound.
    node(const event_loop& loop, node_settings& settings, event_log& log, std::uint64_t seed,
         std::function<void()> on_stopped);

    /// Starts a graceful shutdown: notifies the other nodes, completes the requests in flight, hands over the
    /// ledger shards and calls `on_stopped`, at the latest after the shutdown timeout. Has no effect if a
    /// shutdown is in progress.
    void shut_down();

    /// Counts and logs an exception that left a callback of the event loop. The node continues.
    void record_callback_failure(const std::string& what);

    /// Reads the settings file again, after a signal or a change of the file, and applies the settings that
    /// may change in a running node. An invalid file changes nothing.
    void reload(const std::string& path);

private:
    void handle(const wire::frame& frame);
    void handle_call_frame(const wire::frame& frame, time_point now);
    /// Carries out effects; `source` names in logs where an enforced document came from.
    void apply(control_plane_effects effects, const std::string& source);
    void enforce_contract(const std::string& source);
    void adopt_ledger();
    void handle_member_change(const member_change& change, time_point now);
    void detect_pause(time_point now);
    void tick();
    void advance_shutdown(time_point now);

    node_settings& settings_;
    node_context context_;
    std::function<void()> on_stopped_;
    call_proxy call_proxy_;
    inbound_proxy inbound_proxy_;
    quota_agent quota_;
    platform_agent platform_;
    leave_records leaves_;
    admin_server admin_;
    evidence_exchange evidence_;
    local_ports local_ports_;
    time_point last_tick_;
    std::uint32_t crash_requests_left_ = 3; ///< questions of this process about requests that crash workers
    time_point next_crash_request_;
    time_point next_housekeeping_;
    time_point shutdown_started_;
    time_point next_stop_notice_;
    std::uint64_t frames_refused_ = 0;
    std::uint64_t name_conflicts_ = 0;
    loop_event ticker_;
};

} // namespace waxwingfall

#endif
