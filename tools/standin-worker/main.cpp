#include <csignal>
#include <iostream>

#include <docopt/docopt.h>

#include "waxwingfall/standin/worker_service.h"

namespace {

constexpr const char* usage_text = R"(A stand-in backend server, for tests only.

Usage:
  standin-worker NAME ADDRESS LOG [--slots N] [--run-ms MS] [--cold-ms MS]

Options:
  --slots N    Maximum number of requests to run at the same time [default: 12].
  --run-ms MS  Run time of a request [default: 10].
  --cold-ms MS Warm-up time after the start, in which requests take three times as long [default: 0].
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
    standin::worker_options options;
    options.name = args.at("NAME").asString();
    options.address = *address;
    options.run_log = args.at("LOG").asString();
    options.slots = static_cast<std::uint32_t>(args.at("--slots").asLong());
    options.run_time = milliseconds(args.at("--run-ms").asLong());
    options.warmup_time = milliseconds(args.at("--cold-ms").asLong());
    event_loop loop;
    const standin::worker_service service(loop, options);
    const auto on_term = loop_event::on_signal(loop, SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}
