#include "call_state.h"

namespace waxwingfall {

std::string call_proxy::request_id(const call& logged) {
    return header_value(logged.received.request.headers, platform::header::attempt_id);
}

std::string call_proxy::endpoint_name(member_id id) const {
    const auto entry = node_.control.nodes.members.find(id);
    return entry == node_.control.nodes.members.end() ? std::string() : entry->second.name;
}

void call_proxy::log_placement(const call& placed, time_point now) {
    const endpoint* picked = find_endpoint(node_.routing, placed.service->name, placed.endpoint);
    const bool is_reported = picked != nullptr && picked->reported_at != time_point();
    node_.log.write(
        event_id::call_placed, wall_now(),
        {{"request", request_id(placed)},
         {"endpoint", endpoint_name(placed.endpoint)},
         {"try", std::to_string(placed.attempted_endpoints.size())},
         {"load", is_reported ? std::to_string(static_cast<int>(picked->reported_load)) : "unknown"},
         {"load_age_ms", is_reported ? std::to_string(elapsed_ms(picked->reported_at, now)) : ""},
         {"version", std::to_string(placed.version)},
         {"nested", placed.credentials.is_nested ? "yes" : "no"}});
}

void call_proxy::log_response(const call& responded) {
    node_.log.write(event_id::call_answered, wall_now(),
                    {{"request", request_id(responded)},
                     {"endpoint", endpoint_name(responded.endpoint)},
                     {"status", std::to_string(responded.status)},
                     {"tries", std::to_string(responded.attempted_endpoints.size())},
                     {"version", std::to_string(responded.version)},
                     {"age_ms", std::to_string(elapsed_ms(responded.received_at, monotonic_now()))}});
}

void call_proxy::log_failure(const call& failed, error_kind kind, outcome result) {
    node_.log.write(event_id::call_failed, wall_now(),
                    {{"request", request_id(failed)},
                     {"route", failed.route == nullptr ? failed.received.host + failed.received.path
                                                       : failed.route->host + failed.route->prefix},
                     {"service", failed.service == nullptr ? std::string() : failed.service->name},
                     {"reason", std::string(error_info_of(kind).name)},
                     {"outcome", std::string(outcome_name(result))},
                     {"tries", std::to_string(failed.attempted_endpoints.size())},
                     {"worker_status", std::to_string(failed.withheld_status)},
                     {"version", std::to_string(failed.version)},
                     {"age_ms", std::to_string(elapsed_ms(failed.received_at, monotonic_now()))}});
}

} // namespace waxwingfall
