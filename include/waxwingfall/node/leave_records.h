#ifndef WAXWINGFALL_NODE_LEAVE_RECORDS_H
#define WAXWINGFALL_NODE_LEAVE_RECORDS_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "waxwingfall/call/leave_acknowledgement.h"
#include "waxwingfall/proxy/node_context.h"
#include "waxwingfall/store/left_worker.h"
#include "waxwingfall/store/store_client.h"

namespace waxwingfall {

/// Keeps the last leave of the local worker that this node has acknowledged in the platform's store, where it
/// outlives the processes of all nodes. A new process reads it before it uses a worker whose heartbeat may be
/// older than a leave.
class leave_records {
public:
    /// Called with the leave that an earlier process recorded, or with nothing if there is none.
    using handler = std::function<void(const std::optional<left_worker>&)>;

    /// Responds to the report of a leave: acknowledges it if it is stored.
    using responder = std::function<void(bool is_stored)>;

    leave_records(node_context& node, handler on_read);

    /// Starts the read or write that is due, and ends reports that have waited too long.
    void tick(time_point now);

    /// Records a leave. Calls `respond_to_worker` once it is stored, or with false if that takes longer than
    /// its worker waits. A write that fails is repeated until the leave is stored, or until a newer one
    /// replaces it.
    void write(const left_worker& left, responder respond_to_worker);

    /// Applies the platform address of the current settings, for example after a reload.
    void update_platform_address() { client_.address = node_.settings.platform; }

private:
    void read();
    void start_write_if_due(time_point now);
    void write_unstored(const std::string& lease);
    void finish_write(const left_worker& left, const store_response& response);
    /// Reads what the store holds after a write found another revision than it expected.
    void resolve_conflict(const left_worker& left);
    void retry_write();
    void record_stored(const left_worker& left);
    void respond(const leave_responses& responses);
    void log_leave(event_id event, const left_worker& left);

    node_context& node_;
    handler on_read_;
    store_client client_;
    std::string key_;
    bool read_pending_ = false;
    time_point next_read_;
    leave_acknowledgements leaves_;
    std::map<std::uint64_t, std::pair<left_worker, responder>> responders_; ///< of the pending reports
    std::uint64_t next_id_ = 1;
    /// Of the key, as last seen. A write expects it, so that one that the store executes late, also one of an
    /// earlier process, can't replace a newer leave.
    std::uint64_t revision_ = 0;
    bool write_pending_ = false;
    time_point next_write_;
};

} // namespace waxwingfall

#endif
