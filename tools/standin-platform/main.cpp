#include <csignal>
#include <iostream>

#include <docopt/docopt.h>

#include "waxwingfall/standin/platform_service.h"

namespace {

constexpr const char* usage_text =
    R"(An in-memory stand-in for the platform's key-value service, for tests only.

Usage:
  standin-platform ADDRESS
)";

} // namespace

int main(int argc, char** argv) {
    using namespace waxwingfall;
    const auto args = docopt::docopt(usage_text, {argv + 1, argv + argc});
    const auto address = parse_address(args.at("ADDRESS").asString());
    if (!address) {
        std::cerr << usage_text;
        return 2;
    }
    event_loop loop;
    const standin::platform_service service(loop, *address);
    const auto on_term = loop_event::on_signal(loop, SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}
