#ifndef WAXWINGFALL_PROXY_NODE_CONTEXT_H
#define WAXWINGFALL_PROXY_NODE_CONTEXT_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/call/claimant.h"
#include "waxwingfall/call/credentials.h"
#include "waxwingfall/call/ledger.h"
#include "waxwingfall/call/nested_calls.h"
#include "waxwingfall/call/quarantine.h"
#include "waxwingfall/call/quota.h"
#include "waxwingfall/call/routing.h"
#include "waxwingfall/call/worker_view.h"
#include "waxwingfall/cluster/control_plane.h"
#include "waxwingfall/cluster/freshness.h"
#include "waxwingfall/contract/document.h"
#include "waxwingfall/http/server.h"
#include "waxwingfall/link/event_loop.h"
#include "waxwingfall/link/message_link.h"
#include "waxwingfall/proxy/downstream.h"
#include "waxwingfall/proxy/metrics.h"
#include "waxwingfall/proxy/settings.h"
#include "waxwingfall/support/event_log.h"
#include "waxwingfall/support/random_source.h"

namespace waxwingfall {

/// Counters of the call path since the process started.
struct call_counts {
    std::uint64_t received = 0;
    std::uint64_t completed = 0; ///< with a worker's response, including a replayed one
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t retries_denied = 0; ///< because the retry budget was exhausted
    std::uint64_t replayed = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused_by_inbound_proxy = 0;
    std::uint64_t client_disconnected = 0;
    auto operator<=>(const call_counts&) const = default;
};

/// State shared by the components of one node. All of them run on the same event loop, so it needs no locks.
struct node_context {
    node_context(const event_loop& event_loop, const node_settings& node_settings, event_log& events,
                 std::uint64_t seed);

    const event_loop& loop;
    const node_settings& settings;
    event_log& log;
    random_source random;
    control_plane control;
    routing_table routing;
    ledger records;
    claimant claims;
    quarantine crashes;
    quota_state quota;                               ///< of the customers of the active contract
    running_requests running;                        ///< at the local worker
    worker_view worker;                              ///< used only if the worker sends heartbeats
    std::shared_ptr<const contract> active_contract; ///< null until a document is enforced
    std::uint64_t version = 0;                       ///< of the active contract
    credential_index credentials;                    ///< of the active contract
    freshness evidence;                              ///< of how recent the active contract is

    server_capacity capacity; ///< of the ports that carry requests
    unsent_responses unsent;  ///< to clients and to other nodes
    call_counts counts;
    node_metrics metrics;
    std::unique_ptr<message_link> link;
    bool shutting_down = false;
};

struct store_call_record;

/// Builds the local node's member record from its settings.
member make_local_member(const node_settings& settings);

/// Fills in the environment, sender, reply address and clock of each message and sends it.
void send_all(node_context& node, std::vector<outgoing> messages);

/// Sends messages about the limits of customers to nodes that are known.
void send_quota_messages(node_context& node, std::vector<quota_message> messages);

/// Counts a call to the platform's store that has ended.
void record_store_call(node_context& node, const store_call_record& ended);

/// Counts and logs an entry of the platform's store that can't be read.
void ignore_entry(node_context& node, const std::string& key, const std::string& reason);

/// Returns the present time of the hybrid clock.
std::uint64_t hybrid_now(node_context& node);

/// Records that a worker crashed while it ran a request. Like the functions below, gossips news to other
/// nodes and logs each change that concerns a suspect.
void report_crash(node_context& node, const std::string& fingerprint, member_id worker,
                  std::uint64_t crashed_at, time_point now);

/// Records that a suspect request begins to run at the local worker as a trial.
void report_trial(node_context& node, const std::string& fingerprint, time_point now);

/// Records that a worker has responded to a request that it ran.
void report_completion(node_context& node, const std::string& fingerprint, time_point now);

/// Adds what another node knows about the requests that were running when workers crashed.
void handle_crash_record(node_context& node, const wire::crash_record& received, time_point now);

/// Asks some nodes for the records of suspects, which earlier processes of this node knew. False if no other
/// node is known yet.
bool request_crash_records(node_context& node);

/// Sends the records of all suspects to the node that asked for them.
void send_suspect_records(node_context& node, const std::string& address, time_point now);

/// Returns why requests with this fingerprint are refused at `now`, or nothing if they may run.
std::optional<error_kind> crash_refusal(const quarantine& crashes, const std::string& fingerprint,
                                        time_point now);

} // namespace waxwingfall

#endif
