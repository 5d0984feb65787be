#include <csignal>
#include <filesystem>
#include <iostream>
#include <random>
#include <vector>

#include <boost/leaf/handle_errors.hpp>
#include <docopt/docopt.h>

#include "waxwingfall/node/node.h"
#include "waxwingfall/support/yaml_tree.h"

namespace {

constexpr const char* usage_text = R"(Runs the waxwingfall node of one backend server.

Usage:
  waxwingfall [--check] [--first-start=BOOL] SETTINGS
  waxwingfall --help

Options:
  --check             Check the settings file and stop.
  --first-start=BOOL  "true" if all nodes of the environment start for the first time [default: false].
  --help              Show this text.
)";

using namespace waxwingfall;

/// How often the settings file is checked for changes, which may come without a signal.
constexpr milliseconds settings_poll_period{1000};

std::filesystem::file_time_type modified_at(const std::string& path) {
    std::error_code ignored; // Must not throw: the file may be missing while it is being replaced.
    return std::filesystem::last_write_time(path, ignored);
}

int run_node(node_settings settings, const std::string& path, std::filesystem::file_time_type last_modified) {
    event_log log(settings.name, settings.log_path);
    event_loop loop;
    try {
        node running(loop, settings, log, std::random_device()(), [&] { loop.stop(); });
        loop.on_exception([&](const std::string& what) { running.record_callback_failure(what); });
        const auto on_term = loop_event::on_signal(loop, SIGTERM, [&] { running.shut_down(); });
        const auto on_int = loop_event::on_signal(loop, SIGINT, [&] { running.shut_down(); });
        const auto on_hup = loop_event::on_signal(loop, SIGHUP, [&] { running.reload(path); });
        const auto on_poll = loop_event::every(loop, settings_poll_period, [&] {
            const auto modified = modified_at(path);
            if (modified != last_modified) {
                last_modified = modified;
                running.reload(path);
            }
        });
        loop.run();
    } catch (const std::exception& error) {
        std::cerr << "waxwingfall: " << error_info_of(error_kind::address_in_use).name << ": " << error.what()
                  << "\n";
        return error_info_of(error_kind::address_in_use).exit_code;
    }
    return 0;
}

int load_and_run(const std::string& path, bool check_only, bool is_first_start) {
    const auto last_modified = modified_at(path);
    const auto text = read_bounded_file(path);
    if (!text) {
        std::cerr << path << ": " << error_info_of(error_kind::file_unreadable).name
                  << ": the file can't be read\n";
        return error_info_of(error_kind::file_unreadable).exit_code;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(settings, parse_settings(*text, path));
            settings.is_first_start = is_first_start;
            return check_only ? 0 : run_node(settings, path, last_modified);
        },
        [](const fault_list& list) {
            for (const fault& found : list.faults) {
                std::cerr << to_string(found) << "\n";
            }
            return error_info_of(error_kind::syntax).exit_code;
        },
        [] { return 1; });
}

} // namespace

int main(int argc, char** argv) {
    // Until its handler is set, the signal would end the process. A change that it announces meanwhile is
    // found by the time of the file.
    std::signal(SIGHUP, SIG_IGN);
    try {
        const auto arguments = docopt::docopt_parse(usage_text, {argv + 1, argv + argc}, true, false);
        return load_and_run(arguments.at("SETTINGS").asString(), arguments.at("--check").asBool(),
                            arguments.at("--first-start").asString() == "true");
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage_text;
        return 0;
    } catch (const std::exception&) {
        std::cerr << usage_text;
        return error_info_of(error_kind::usage).exit_code;
    }
}
