#ifndef WAXWINGFALL_LIB_CALL_QUOTA_INTERNAL_H
#define WAXWINGFALL_LIB_CALL_QUOTA_INTERNAL_H

#include <map>
#include <vector>

#include "waxwingfall/call/quota.h"

namespace waxwingfall {

inline constexpr double micro_per_token = 1e6;

/// Items for each receiver, before they become messages.
struct quota_outbox {
    std::map<member_id, std::vector<wire::quota_item>> requests;
    std::map<member_id, std::vector<wire::quota_item>> loans;
    std::map<member_id, std::vector<wire::quota_item>> grants;
    std::map<member_id, std::vector<wire::quota_item>> loan_grants;
};

/// Turns items into numbered messages. Messages of the node to itself are processed at once.
std::vector<quota_message> send_items(quota_state& state, quota_outbox items, time_point now);

/// Records the header of a message; false if it is a duplicate, out of order or of an earlier process. Sets
/// `addressed` if its tokens are meant for this process.
bool accept_header(quota_state& state, member_id from, const wire::quota_header& header, bool& addressed,
                   time_point now);

/// Seconds from `earlier` to `later`, at least 0.
double seconds_between(time_point earlier, time_point later);

/// Updates an average that decays over a second.
void decay(double& value, time_point& at, time_point now);

/// Updates the tokens that the node has minted for a customer.
void mint(const quota_state& state, customer_quota& customer, time_point now);

/// The node that the local node asks for tokens of a group, or 0 if there is none.
member_id holder_of(const quota_state& state, std::size_t zone, std::uint32_t group, time_point now);

/// Capacity of the local node's pool of a customer: its share of the limit by the nodes that report to it.
double pool_capacity(const quota_state& state, const customer_quota& customer, time_point now);

/// Adds tokens to the pool, up to its capacity.
void add_to_pool(const quota_state& state, customer_quota& customer, double tokens, time_point now);

/// Processes requests for tokens and grants at the holder.
void serve_items(quota_state& state, member_id from, const wire::quota_request& request, bool addressed,
                 quota_outbox& out, time_point now);
/// Stores granted or borrowed tokens.
void store_items(quota_state& state, const wire::quota_grant& grant, bool addressed, time_point now);

/// Requests loans for a pool, and what nodes mint, if they are needed and due.
void refill_pool(quota_state& state, std::uint64_t key, customer_quota& customer, quota_outbox& out,
                 time_point now);

} // namespace waxwingfall

#endif
