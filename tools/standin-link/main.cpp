#include <csignal>
#include <fstream>
#include <iostream>

#include <docopt/docopt.h>

#include "waxwingfall/standin/link_service.h"

namespace {

constexpr const char* usage_text =
    R"(Proxies TCP connections in place of the links between data centres, for tests only.

Usage:
  standin-link ADDRESS FILE [--delay-ms MS]

ADDRESS serves /control. Each line of FILE holds the name of a link, the address to listen on and the target address.

Options:
  --delay-ms MS  One-way delay [default: 0].
)";

} // namespace

int main(int argc, char** argv) {
    using namespace waxwingfall;
    const auto args = docopt::docopt(usage_text, {argv + 1, argv + argc});
    const auto control = parse_address(args.at("ADDRESS").asString());
    std::ifstream file(args.at("FILE").asString());
    std::vector<standin::forwarding_rule> rules;
    std::string link;
    std::string listen;
    std::string target;
    while (file >> link >> listen >> target) {
        const auto from = parse_address(listen);
        const auto to = parse_address(target);
        if (from && to) {
            rules.push_back({link, *from, *to});
        }
    }
    if (!control) {
        std::cerr << usage_text;
        return 2;
    }
    event_loop loop;
    const standin::link_service service(loop, *control, rules, milliseconds(args.at("--delay-ms").asLong()));
    const auto on_term = loop_event::on_signal(loop, SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}
