#include "waxwingfall/cluster/member.h"

#include <algorithm>
#include <tuple>

#include "waxwingfall/support/digest.h"

namespace waxwingfall {

bool supersedes(const member& candidate, const member& known) {
    return std::tie(candidate.incarnation, candidate.state) > std::tie(known.incarnation, known.state);
}

wire::member to_wire(const member& value) {
    wire::member out;
    out.set_id(value.id);
    out.set_name(value.name);
    out.set_data_centre(value.data_centre);
    out.set_region(value.region);
    out.set_service(value.service);
    out.set_control_address(value.control_address);
    out.set_inbound_address(value.inbound_address);
    out.set_slots(value.slots);
    out.set_incarnation(value.incarnation);
    out.set_state(static_cast<std::uint32_t>(value.state));
    out.set_left_worker(value.left_worker);
    out.set_left_worker_start(value.left_worker_start);
    return out;
}

member from_wire(const wire::member& value) {
    const auto highest = static_cast<std::uint32_t>(member_state::dead);
    member in;
    in.id = value.id();
    in.name = value.name();
    in.data_centre = value.data_centre();
    in.region = value.region();
    in.service = value.service();
    in.control_address = value.control_address();
    in.inbound_address = value.inbound_address();
    in.slots = value.slots();
    in.incarnation = value.incarnation();
    in.state = static_cast<member_state>(std::min(value.state(), highest));
    in.left_worker = value.left_worker();
    in.left_worker_start = value.left_worker_start();
    return in;
}

std::vector<member_id> rendezvous_top(std::vector<member_id> candidates, std::string_view topic,
                                      std::size_t count) {
    const std::uint64_t salt = stable_hash(topic);
    const auto weight = [salt](member_id id) { return mix_hash(id, salt); };
    const std::size_t kept = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                      candidates.end(),
                      [&](member_id left, member_id right) { return weight(left) > weight(right); });
    candidates.resize(kept);
    return candidates;
}

} // namespace waxwingfall
