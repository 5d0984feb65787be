#ifndef WAXWINGFALL_NODE_PLATFORM_AGENT_H
#define WAXWINGFALL_NODE_PLATFORM_AGENT_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "waxwingfall/node/node_context.h"
#include "waxwingfall/store/head.h"
#include "waxwingfall/store/store_client.h"

namespace waxwingfall {

/// What the agent hands to the node: effects of content that it read.
using control_plane_effects_sink = std::function<void(control_plane_effects)>;

/// A node's dealings with the platform's key-value service. Every node looks for seeds until it has joined.
/// The two bridges of a data centre watch the head and the ledger map and keep a seed address under a lease;
/// the first of them also writes the data centre's report and plans the owners of its ledger shards. Nothing
/// depends on there being just two: a third one only costs calls.
class platform_agent {
public:
    platform_agent(node_context& node, control_plane_effects_sink sink);

    /// Does what is due.
    void tick(time_point now);

    /// Notes that reports of the data centre's nodes have changed.
    void note_reports() { report_due_ = true; }

    /// Uses the platform's address of the settings that hold now.
    void follow_settings() { client_.address = node_.settings.platform; }

    bool is_reachable() const { return reachable_; }

private:
    struct watch_state {
        milliseconds spacing{0}; ///< between the end of a watch and the next one
        bool waiting = false;
        std::uint64_t revision = 0;     ///< of the store, from which the next watch goes on
        std::uint64_t key_revision = 0; ///< of the key's last known change
        time_point next_try;
        milliseconds backoff{0};
    };

    void look_for_seeds(time_point now);
    void take_seeds(const store_answer& answer);
    void watch(watch_state& state, const std::string& key, time_point now,
               void (platform_agent::*take)(const store_answer&));
    void look_at_configuration(bool reads_for_others, time_point now);
    void take_head(const store_answer& answer);
    void take_configuration(const store_answer& answer);
    void fetch_body(const accepted_version& version);
    void take_ledger(const store_answer& answer);
    void keep_seed(std::size_t rank, time_point now);
    void write_seed(std::size_t rank);
    void plan_ledger(time_point now);
    void write_report(time_point now);
    void note_status(store_status status);
    std::string build_report(wall_ms now);

    node_context& node_;
    control_plane_effects_sink sink_;
    store_client client_;
    bool reachable_ = true;
    bool was_reader_ = false;
    watch_state head_;
    watch_state ledger_;
    std::uint64_t held_version_ = 0; ///< when last looked at
    time_point learned_at_;          ///< when that version was taken
    std::uint64_t seen_version_ = 0; ///< the newest that this node read from the operator's key itself
    time_point next_seed_look_;
    std::uint32_t seed_looks_ = 0;
    bool finds_others_ = false;                 ///< at the last look
    std::optional<time_point> others_found_at_; ///< for the first time
    bool seed_look_waiting_ = false;
    std::string lease_;
    std::size_t leased_rank_ = 0;
    bool lease_call_waiting_ = false;
    time_point next_renewal_;
    bool plan_waiting_ = false;
    time_point next_plan_;
    bool report_due_ = true;
    bool report_waiting_ = false;
    time_point next_report_;
    time_point last_report_;
    std::uint64_t enforced_version_ = 0; ///< that all nodes of the data centre were last seen to enforce
    wall_ms enforced_since_ = 0;
    std::uint64_t calls_then_ = 0;
    std::uint64_t failed_then_ = 0;
    std::uint64_t went_back_to_ = 0;
    loop_event delayed_fetch_;
};

} // namespace waxwingfall

#endif
