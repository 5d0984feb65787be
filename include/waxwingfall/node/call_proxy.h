#ifndef WAXWINGFALL_NODE_CALL_PROXY_H
#define WAXWINGFALL_NODE_CALL_PROXY_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfall/call/return_watch.h"
#include "waxwingfall/call/routing.h"
#include "waxwingfall/node/call_headers.h"
#include "waxwingfall/node/downstream.h"
#include "waxwingfall/node/node_context.h"
#include "waxwingfall/node/upstream.h"

namespace waxwingfall {

/// The side of a node that callers talk to: finds the route, claims the idempotency key of a non-idempotent
/// request, picks a worker, tries again where that is safe, and gives each caller the whole answer or an
/// honest outcome.
class call_proxy {
public:
    explicit call_proxy(node_context& node);
    ~call_proxy();
    call_proxy(const call_proxy&) = delete;
    call_proxy& operator=(const call_proxy&) = delete;

    /// Takes in the verdicts that the node's claims have reached.
    void handle_claims(const claimant_effects& effects);

    std::size_t open_calls() const { return calls_.size(); }
    std::size_t open_connections() const { return workers_.open_connections(); }
    void stop_accepting() { server_.stop_accepting(); }

    /// Applies the limits of the document in force to new connections.
    void follow_contract();

private:
    struct call;
    void receive(evhttp_request* raw);
    void start(std::uint64_t id);
    void claim(std::uint64_t id);
    void try_next(std::uint64_t id);
    std::optional<member_id> pick(const call& placed, time_point now);
    void on_headers(std::uint64_t id, int status, const std::vector<http_header>& headers);
    void on_data(std::uint64_t id, evbuffer* data);
    void on_end(std::uint64_t id, upstream_end end);
    void on_refused(std::uint64_t id);
    void finish(std::uint64_t id);
    void fail(std::uint64_t id, error_kind kind);
    void replay(std::uint64_t id, const ledger_record& record);
    void begin_answer(call& answered);
    struct retry_budget& budget_of(const std::string& service);
    static std::string request_id(const call& of);
    std::string endpoint_name(member_id id) const;
    void note_latency(const call& ended, outcome result);
    void note_unserved(const call& ended);
    double retry_after_s(const call& refused);
    std::optional<milliseconds> goal_left(const call& open, time_point now) const;
    void log_placement(const call& placed, time_point now);
    void log_answer(const call& answered);
    void log_failure(const call& failed, error_kind kind, outcome result);
    void settle(call& settled, std::uint32_t state);
    void remove(std::uint64_t id);
    void sweep();
    /// True if a call may be tried again after `reached` tries that may have reached a worker; takes that
    /// from the budget.
    bool may_retry(const call& failed, std::size_t reached, time_point now);
    bool has_tries_left(const call& failed, std::size_t reached, time_point now) const;
    /// True if a try whose node is silent can be given up for another one.
    bool another_may_follow(const call& silent, time_point now);

    node_context& node_;
    upstream_pool workers_;
    std::map<std::uint64_t, std::unique_ptr<call>> calls_;
    std::map<std::uint64_t, std::uint64_t> call_of_attempt_;
    std::map<std::string, struct retry_budget> budgets_; ///< by service
    return_watch returns_;
    std::uint64_t next_id_ = 1;
    http_server server_;
    loop_event sweep_;
};

} // namespace waxwingfall

#endif
