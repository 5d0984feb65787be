#include "waxwingfall/call/return_watch.h"

namespace waxwingfall {

namespace {

/// Largest difference between the deadlines of two attempts of one client, which is due to the client's
/// rounding and to network jitter. In simulations they differed by 2 ms.
constexpr milliseconds deadline_tolerance{50};

bool is_same_deadline(time_point one, time_point other) {
    return one - other <= deadline_tolerance && other - one <= deadline_tolerance;
}

void evict_oldest(return_watch& watch) {
    const auto& [deadline, fingerprint] = watch.deadlines.front();
    const auto found = watch.unserved.find(fingerprint);
    if (found != watch.unserved.end() && found->second.deadline == deadline) {
        watch.unserved.erase(found);
    }
    watch.deadlines.pop_front();
}

} // namespace

void note_unserved(return_watch& watch, const std::string& fingerprint, const unserved_request& request,
                   time_point now) {
    while (!watch.deadlines.empty() &&
           (watch.deadlines.front().first < now || watch.deadlines.size() >= watch.limit)) {
        evict_oldest(watch);
    }
    watch.unserved.insert_or_assign(fingerprint, request);
    watch.deadlines.emplace_back(request.deadline, fingerprint);
}

time_point first_received(const return_watch& watch, const std::string& fingerprint, time_point deadline,
                          time_point now) {
    const auto found = watch.unserved.find(fingerprint);
    const bool is_client_retry =
        found != watch.unserved.end() && is_same_deadline(found->second.deadline, deadline);
    return is_client_retry ? found->second.first_received : now;
}

} // namespace waxwingfall
