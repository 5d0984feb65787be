#ifndef WAXWINGFALL_NODE_PLATFORM_AGENT_H
#define WAXWINGFALL_NODE_PLATFORM_AGENT_H

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "waxwingfall/cluster/poll_schedule.h"
#include "waxwingfall/proxy/node_context.h"
#include "waxwingfall/store/head.h"
#include "waxwingfall/store/store_client.h"

namespace waxwingfall {

/// Receives the control-plane effects of content that the agent read from the platform.
using control_plane_effects_sink = std::function<void(control_plane_effects)>;

/// A node's client of the platform's key-value service.
///
/// Every node polls for seed addresses until it has joined; bridges keep polling, to find nodes that formed a
/// separate group. The two bridges of a data centre watch the head and the ledger map and keep a seed address
/// under a lease; the bridge of rank 0 also writes the data centre's report and plans the owners of its
/// ledger shards. Correctness does not depend on there being exactly two bridges: a third one only adds
/// calls to the platform.
///
/// If the settings take the configuration from the operator's key, every node polls that key, and the bridges
/// only keep their seed addresses.
class platform_agent {
public:
    platform_agent(node_context& node, control_plane_effects_sink sink);

    /// Starts the polls, watches and writes that are due.
    void tick(time_point now);

    /// Schedules a new report of the data centre, because the state of one of its nodes has changed.
    void mark_report_due() { report_due_ = true; }

    /// Applies the platform address of the current settings, for example after a reload.
    void update_platform_address() { client_.address = node_.settings.platform; }

    bool is_reachable() const { return reachable_; }

private:
    /// Processes the value of a key. Returns the version of the configuration that it holds, or nothing if it
    /// holds none or can't be read.
    using value_handler = std::optional<std::uint64_t> (platform_agent::*)(const store_response&);
    /// A call to the store as evidence of the newest version.
    struct read_start {
        boot_time at;
        std::optional<std::uint64_t> version; ///< newest one as of the revision that a watch starts from
    };

    struct watch_state {
        milliseconds interval{0}; ///< from the end of a watch to the start of the next one
        bool reads_for_others = true;
        exchange_handle call; ///< the last read or watch
        std::uint64_t call_number = 0;
        open_read open; ///< that call, while it is pending
        /// Earlier ones whose responses were overdue and may still come, the oldest first.
        std::deque<exchange_handle> late;
        bool pending = false;
        std::uint64_t revision = 0;           ///< store revision from which the next watch resumes
        std::uint64_t key_revision = 0;       ///< revision of the last known change of the key
        std::optional<std::uint64_t> version; ///< of the configuration as of `revision`, if it is known
        time_point next_attempt;
        std::uint32_t failures = 0; ///< reads in a row without a response
    };

    void poll_seeds(time_point now);
    void handle_seeds(const store_response& response);
    void watch(watch_state& state, const std::string& key, time_point now, value_handler handler);
    void poll_configuration(bool reads_for_others, time_point now);
    /// Counts a read as failed. Returns the pause until the next one, which reads the current value.
    milliseconds count_failure(watch_state& state, bool reads_for_others, time_point now);
    /// Counts an open read whose response is overdue as failed, so that the next one starts.
    void check_overdue(watch_state& state, const std::string& key, const poll_inputs& inputs, time_point now);
    void finish_read(watch_state& state, const std::string& key, const store_response& response,
                     value_handler handler, const read_start& start);
    /// Processes a response that is on time or late: the value, if there is one, and what the response proves
    /// of the newest version. Returns that version, or nothing if the response proves none.
    std::optional<std::uint64_t> handle_response(const store_response& response, value_handler handler,
                                                 const read_start& start);
    /// Reads the configuration key if the node needs evidence that its version is the newest one, and its
    /// reads and the bridges give none.
    void read_for_evidence();
    /// Logs the last call, a read of `key`, and the pause until the next one if it failed.
    void log_read(const std::string& key, store_status status, milliseconds pause);
    std::optional<std::uint64_t> handle_head(const store_response& response);
    std::optional<std::uint64_t> handle_configuration(const store_response& response);
    void fetch_body(const accepted_version& version);
    std::optional<std::uint64_t> handle_ledger_map(const store_response& response);
    void maintain_seed(std::size_t rank, time_point now);
    void write_seed(std::size_t rank);
    void plan_ledger_map(time_point now);
    void write_report(time_point now);
    void update_reachability(store_status status);
    std::string build_report(wall_ms now);

    node_context& node_;
    control_plane_effects_sink sink_;
    store_client client_;
    store_call_record last_call_; ///< that ended, of any kind
    bool reachable_ = true;
    bool was_active_bridge_ = false; ///< acted as a bridge at the last tick
    watch_state head_;
    watch_state ledger_;
    watch_state evidence_;                ///< of the reads for evidence: their revision, version and call
    std::uint64_t last_held_version_ = 0; ///< as of the last tick
    time_point learned_at_;               ///< when that version was applied
    std::uint64_t polled_version_ = 0; ///< newest version that this node itself read from the operator's key
    time_point next_seed_poll_;
    std::uint32_t seed_polls_ = 0;                    ///< polls that got a response
    bool found_others_ = false;                       ///< the last poll listed seeds of unknown nodes
    std::optional<time_point> first_found_others_at_; ///< time of the first such poll
    bool seed_poll_pending_ = false;
    std::string lease_;
    std::size_t leased_rank_ = 0;
    bool lease_call_pending_ = false;
    time_point next_renewal_;
    bool ledger_write_pending_ = false;
    time_point next_ledger_plan_;
    bool report_due_ = true;
    bool report_pending_ = false;
    time_point next_report_;
    time_point last_report_;
    std::uint64_t enforced_version_ = 0; ///< that all nodes of the data centre enforce; 0 if they differ
    wall_ms enforced_since_ = 0;
    std::uint64_t calls_at_enforcement_ = 0;
    std::uint64_t failed_calls_at_enforcement_ = 0;
    std::uint64_t logged_older_version_ = 0; ///< last platform version below the held one that was logged
    loop_event delayed_fetch_;
};

} // namespace waxwingfall

#endif
