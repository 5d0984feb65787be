#include "waxwingfall/call/client_retry_tracker.h"

namespace waxwingfall {

namespace {

/// Largest difference between the deadlines of two attempts of one client, which is due to the client's
/// rounding and to network jitter. In simulations they differed by 2 ms.
constexpr milliseconds deadline_tolerance{50};

bool is_same_deadline(time_point one, time_point other) {
    return one - other <= deadline_tolerance && other - one <= deadline_tolerance;
}

void evict_oldest(client_retry_tracker& tracker) {
    const auto& [deadline, fingerprint] = tracker.deadlines.front();
    const auto found = tracker.unserved.find(fingerprint);
    if (found != tracker.unserved.end() && found->second.deadline == deadline) {
        tracker.unserved.erase(found);
    }
    tracker.deadlines.pop_front();
}

} // namespace

void track_unserved(client_retry_tracker& tracker, const std::string& fingerprint,
                    const unserved_request& request, time_point now) {
    while (!tracker.deadlines.empty() &&
           (tracker.deadlines.front().first < now || tracker.deadlines.size() >= tracker.limit)) {
        evict_oldest(tracker);
    }
    tracker.unserved.insert_or_assign(fingerprint, request);
    tracker.deadlines.emplace_back(request.deadline, fingerprint);
}

time_point first_received(const client_retry_tracker& tracker, const std::string& fingerprint,
                          time_point deadline, time_point now) {
    const auto found = tracker.unserved.find(fingerprint);
    const bool is_client_retry =
        found != tracker.unserved.end() && is_same_deadline(found->second.deadline, deadline);
    return is_client_retry ? found->second.first_received : now;
}

} // namespace waxwingfall
