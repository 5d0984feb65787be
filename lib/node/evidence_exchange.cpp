#include "waxwingfall/node/evidence_exchange.h"

#include "waxwingfall/proxy/customer_headers.h"

namespace waxwingfall {

void evidence_exchange::tick(boot_time now) {
    node_.evidence.revoke = node_.settings.revoke;
    if (!needs_evidence(node_)) {
        return;
    }
    log_changes(now);
    const membership& nodes = node_.control.nodes;
    std::vector<member_id> bridges = bridges_of(nodes, node_.settings.data_centre);
    if (std::erase(bridges, nodes.self.id) > 0 && has_recent_evidence(node_.evidence, node_.version, now)) {
        return; // A bridge asks the other one only if its own reads fail.
    }
    if (const auto due = next_question(node_.evidence, bridges.size(), node_.version, now, node_.random)) {
        wire::frame frame;
        *frame.mutable_freshness_question() = due->question;
        send_all(node_, {{nodes.members.at(bridges[due->bridge]).control_address, std::move(frame)}});
    }
}

void evidence_exchange::log_changes(boot_time now) {
    const bool is_valid = is_verified(node_.evidence, node_.version, now);
    if (is_valid == was_valid_) {
        return;
    }
    was_valid_ = is_valid;
    const auto age = evidence_age(node_.evidence, node_.version, now);
    node_.log.write(is_valid ? event_id::evidence_renewed : event_id::evidence_expired, wall_now(),
                    {{"version", std::to_string(node_.version)},
                     {"age_ms", age ? std::to_string(age->count()) : "none"}});
}

} // namespace waxwingfall
