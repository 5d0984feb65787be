#include <iostream>
#include <sstream>

#include <docopt/docopt.h>

#include "waxwingfall/standin/load.h"

namespace {

constexpr const char* usage_text =
    R"(Callers for tests: sends requests and compares what they were told with what workers ran.

Usage:
  standin-load LOG... [options]

Options:
  --nodes LIST        Addresses of nodes, separated by commas.
  --rate R            New requests a second [default: 100].
  --seconds S         How long [default: 5].
  --post-share P      Share of non-idempotent requests, 0 to 1 [default: 0.3].
  --host H            [default: rezervacijas.example]
  --get-path P        [default: /katalogs]
  --post-path P       [default: /rezervet]
  --sends N           Times that a caller sends a request at most [default: 8].
  --timeout-ms MS     For one answer [default: 5000].
  --seed N            [default: 1]
  --any-answer        Count every answer as done, for a baseline straight to workers.
  --fresh-keys        Resend what was not run under a new key.
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
    const auto given = docopt::docopt(usage_text, {argv + 1, argv + argc});
    constexpr double thousand = 1000.0;
    standin::load_options options;
    options.nodes = read_nodes(given.at("--nodes") ? given.at("--nodes").asString() : "");
    options.rate = std::stod(given.at("--rate").asString());
    options.duration =
        milliseconds(static_cast<std::int64_t>(std::stod(given.at("--seconds").asString()) * thousand));
    options.post_share = std::stod(given.at("--post-share").asString());
    options.host = given.at("--host").asString();
    options.get_path = given.at("--get-path").asString();
    options.post_path = given.at("--post-path").asString();
    options.sends = static_cast<std::uint32_t>(given.at("--sends").asLong());
    options.timeout = milliseconds(given.at("--timeout-ms").asLong());
    options.seed = static_cast<std::uint64_t>(given.at("--seed").asLong());
    options.any_answer = given.at("--any-answer").asBool();
    options.fresh_keys = given.at("--fresh-keys").asBool();
    if (options.nodes.empty()) {
        std::cerr << usage_text;
        return 2;
    }
    event_loop loop;
    standin::load load(loop, options, [&] { loop.stop(); });
    loop.run();
    const auto report = standin::compare(load.requests(), given.at("LOG").asStringList());
    std::cout << standin::to_json(report) << "\n";
    return report.lost + report.run_twice + report.refused_but_ran + report.wrong_answers == 0 ? 0 : 1;
}
