#include <iostream>
#include <sstream>

#include <docopt/docopt.h>

#include "waxwingfall/standin/load.h"

namespace {

constexpr const char* usage_text =
    R"(Generates load for tests and compares what clients were told with what workers ran.

Usage:
  standin-load LOG... [options]

Options:
  --nodes LIST        Comma-separated addresses of nodes.
  --rate R            New requests per second [default: 100].
  --seconds S         Duration of the load [default: 5].
  --post-share P      Share of non-idempotent requests, 0 to 1 [default: 0.3].
  --host H            [default: rezervacijas.example]
  --get-path P        [default: /katalogs]
  --post-path P       [default: /rezervet]
  --sends N           Maximum number of attempts per request [default: 8].
  --timeout-ms MS     Timeout of one attempt [default: 5000].
  --seed N            [default: 1]
  --any-answer        Count any answer as done, for a baseline without nodes.
  --fresh-keys        Retry requests that were not run with a new idempotency key.
)";

std::vector<waxwingfall::ip_address> read_nodes(const std::string& text) {
    std::vector<waxwingfall::ip_address> nodes;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        if (const auto address = waxwingfall::parse_address(item)) {
            nodes.push_back(*address);
        }
    }
    return nodes;
}

} // namespace

int main(int argc, char** argv) {
    using namespace waxwingfall;
    const auto args = docopt::docopt(usage_text, {argv + 1, argv + argc});
    constexpr double ms_per_s = 1000.0;
    standin::load_options options;
    options.nodes = read_nodes(args.at("--nodes") ? args.at("--nodes").asString() : "");
    options.rate = std::stod(args.at("--rate").asString());
    options.duration =
        milliseconds(static_cast<std::int64_t>(std::stod(args.at("--seconds").asString()) * ms_per_s));
    options.post_share = std::stod(args.at("--post-share").asString());
    options.host = args.at("--host").asString();
    options.get_path = args.at("--get-path").asString();
    options.post_path = args.at("--post-path").asString();
    options.max_attempts = static_cast<std::uint32_t>(args.at("--sends").asLong());
    options.timeout = milliseconds(args.at("--timeout-ms").asLong());
    options.seed = static_cast<std::uint64_t>(args.at("--seed").asLong());
    options.accept_any_response = args.at("--any-answer").asBool();
    options.renew_keys = args.at("--fresh-keys").asBool();
    if (options.nodes.empty()) {
        std::cerr << usage_text;
        return 2;
    }
    event_loop loop;
    standin::load_generator generator(loop, options, [&] { loop.stop(); });
    loop.run();
    const auto report = standin::compare(generator.requests(), args.at("LOG").asStringList());
    std::cout << standin::to_json(report) << "\n";
    return report.lost + report.run_twice + report.refused_but_ran + report.mismatched_responses == 0 ? 0 : 1;
}
