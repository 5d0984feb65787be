#include <chrono>
#include <fstream>
#include <iostream>
#include <string>

#include "waxwingfall/cluster/control_plane.h"
#include "waxwingfall/proxy/node_context.h"
#include "waxwingfall/support/digest.h"

namespace {

using namespace waxwingfall;

constexpr int data_centres = 8;

member make_member(int number) {
    member result;
    result.name = "node-with-a-name-" + std::to_string(number);
    result.id = stable_hash(result.name);
    result.data_centre = "data-centre-" + std::to_string(number % data_centres);
    result.region = "region-" + std::to_string(number % 2);
    result.service = "service-" + std::to_string(number % 78);
    result.control_address = "10.0.0.1:" + std::to_string(10'000 + number);
    result.inbound_address = "10.0.0.1:" + std::to_string(20'000 + number);
    result.slots = 12;
    result.incarnation = 1'800'000'000'000;
    return result;
}

long resident_kb() {
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            long value = 0;
            status >> value;
            return value;
        }
    }
    return 0;
}

void print(const std::string& name, double value, const std::string& unit, int size) {
    std::cout << "measure=" << name << " value=" << value << " unit=" << unit << " members=" << size << "\n";
}

/// Returns the mean duration of one call of `action` in microseconds.
template <typename Action> double mean_us(int count, const Action& action) {
    const auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < count; ++index) {
        action();
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - start;
    return spent.count() / count;
}

/// Measures the control-plane and routing decisions on a table of `size` members in eight data centres.
void measure(int size) {
    const time_point start{};
    time_point now = start;
    random_source random(1);
    const long initial_kb = resident_kb();
    control_plane state =
        start_control_plane({}, "e", make_member(0), {}, {rejection_reason, make_delta, apply_delta}, now);
    routing_table routing;
    for (int number = 1; number < size; ++number) {
        merge_members(state.nodes, {make_member(number)}, "data-centre-1", now);
        update_endpoint(routing, make_member(number), now);
    }
    print("table_kb", static_cast<double>(resident_kb() - initial_kb), "KB", size);
    constexpr int rounds = 2000;
    print("tick_us",
          mean_us(rounds,
                  [&] {
                      now += milliseconds(50);
                      // No member acknowledges probes; open ones would expire and mark the members as
                      // suspect.
                      state.nodes.probes.clear();
                      tick_control_plane(state, now, random);
                  }),
          "us", size);
    wire::frame ping;
    ping.set_environment("e");
    ping.set_reply_to("10.0.0.1:1");
    ping.set_sender(make_member(8).id);
    ping.mutable_ping()->set_table_hash(state.nodes.table_hash);
    print("ping_us", mean_us(rounds, [&] { handle_frame(state, ping, now, random); }), "us", size);
    member changing = make_member(data_centres);
    print("member_change_us",
          mean_us(rounds,
                  [&] {
                      changing.incarnation += 1;
                      merge_members(state.nodes, {changing}, "data-centre-0", now);
                  }),
          "us", size);
    print("pick_us", mean_us(rounds, [&] { pick_endpoint(routing, "service-7", {}, now, random); }), "us",
          size);
    print("bridge_rank_us", mean_us(rounds, [&] { local_bridge_rank(state.nodes); }), "us", size);
}

} // namespace

int main() {
    for (const int size : {115, 920, 3680}) {
        measure(size);
    }
    return 0;
}
