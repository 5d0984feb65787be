#ifndef WAXWINGFALL_NODE_NODE_H
#define WAXWINGFALL_NODE_NODE_H

#include <cstdint>
#include <functional>
#include <memory>

#include "waxwingfall/node/admin.h"
#include "waxwingfall/node/call_proxy.h"
#include "waxwingfall/node/local_ports.h"
#include "waxwingfall/node/node_context.h"
#include "waxwingfall/node/platform_agent.h"
#include "waxwingfall/node/worker_gate.h"

namespace waxwingfall {

/// One node: the parts wired together on one loop.
class node {
public:
    /// Binds all addresses; throws if one can't be bound.
    node(const event_loop& loop, node_settings& settings, event_log& log, std::uint64_t seed,
         std::function<void()> on_stopped);

    /// Begins a graceful shutdown: the others are told, work in flight ends, the ledger's shards are handed
    /// over, and `on_stopped` is called.
    void leave();

    /// Reads the settings file again, on a signal or because it changed, and applies what may change in a
    /// running node. A file with faults changes nothing.
    void reload(const std::string& path);

private:
    void handle(const wire::frame& frame);
    void handle_call_frame(const wire::frame& frame, time_point now);
    void apply(control_plane_effects effects);
    void enforce();
    void adopt_ledger();
    void note_change(const member_change& change, time_point now);
    void note_pause(time_point now);
    void tick();
    void review_leaving(time_point now);

    node_settings& settings_;
    node_context context_;
    std::function<void()> on_stopped_;
    call_proxy proxy_;
    worker_gate gate_;
    platform_agent platform_;
    admin_server admin_;
    local_ports local_;
    time_point last_tick_;
    time_point next_housekeeping_;
    time_point leave_started_;
    std::uint64_t frames_refused_ = 0;
    std::uint64_t name_conflicts_ = 0;
    loop_event ticker_;
};

} // namespace waxwingfall

#endif
