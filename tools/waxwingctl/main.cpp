#include <charconv>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>

#include <boost/leaf/handle_errors.hpp>
#include <docopt/docopt.h>

#include "waxwingfall/operator/commands.h"
#include "waxwingfall/support/digest.h"

namespace {

constexpr const char* usage_text = R"(Manages the configuration documents of waxwingfall environments.

Usage:
  waxwingctl check FILE [options]
  waxwingctl plan FILE --environment E [options]
  waxwingctl apply FILE --environment E [--expect VERSION] [--source-revision ID] [options]
  waxwingctl promote --from E --to E --expect VERSION [--soak-ms MS] [--max-failed-percent P] [options]
  waxwingctl status --environment E [options]
  waxwingctl wait --environment E --version N [--timeout S] [options]
  waxwingctl history --environment E [options]
  waxwingctl timeline FILE... [options]
  waxwingctl trace REQUEST FILE... [options]
  waxwingctl digest-key
  waxwingctl --help

Options:
  --platform ADDRESS        IP:PORT of the platform's key-value service; WAXWINGFALL_PLATFORM by default.
  --environment E           The environment, for example trial or production.
  --expect VERSION          Fail unless this version is the accepted one.
  --source-revision ID      The revision of the document in version control.
  --from E                  The environment to promote the version from.
  --to E                    The environment to promote the version to.
  --soak-ms MS              How long all nodes must have enforced the version [default: 5000].
  --max-failed-percent P    Largest tolerated percentage of failed calls during that time [default: 1].
  --version N               The version to wait for.
  --timeout S               Seconds to wait [default: 10].
  --patience S              Seconds for which an unreachable platform is asked again [default: 10].
  --format FORMAT           text or json [default: text].
  --help                    Show this text.
)";

using namespace waxwingfall;
using arguments = std::map<std::string, docopt::value>;

struct usage_error {};

std::string text_of(const arguments& args, const std::string& name) {
    const docopt::value& value = args.at(name);
    return value ? value.asString() : std::string();
}

std::uint64_t integer_of(const arguments& args, const std::string& name) {
    const std::string text = text_of(args, name);
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        std::cerr << "waxwingctl: usage: " << name << " must be a whole number\n";
        throw usage_error{};
    }
    return number;
}

double percentage_of(const arguments& args, const std::string& name) {
    const std::string text = text_of(args, name);
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || value < 0 || value > 100) {
        std::cerr << "waxwingctl: usage: " << name << " must be a number from 0 to 100\n";
        throw usage_error{};
    }
    return value;
}

command_options read_options(const arguments& args) {
    command_options options;
    const std::string format = text_of(args, "--format");
    if (format != "text" && format != "json") {
        std::cerr << "waxwingctl: usage: --format must be text or json\n";
        throw usage_error{};
    }
    options.json = format == "json";
    options.retry_timeout = milliseconds(integer_of(args, "--patience") * 1000);
    const char* user = std::getenv("USER");
    options.author = user == nullptr ? "unknown" : user;
    std::random_device device;
    const std::uint32_t words[] = {device(), device(), device(), device()};
    options.operation = to_hex({reinterpret_cast<const char*>(words), sizeof(words)});
    return options;
}

void read_platform(const arguments& args, command_options& options) {
    const char* from_environment = std::getenv("WAXWINGFALL_PLATFORM");
    std::string text = text_of(args, "--platform");
    if (text.empty() && from_environment != nullptr) {
        text = from_environment;
    }
    const auto address = parse_address(text);
    if (!address) {
        std::cerr << "waxwingctl: usage: --platform must be IP:PORT\n";
        throw usage_error{};
    }
    options.platform = *address;
}

boost::leaf::result<void> run(const arguments& args) {
    if (args.at("digest-key").asBool()) {
        return run_digest_key(std::cin, std::cout);
    }
    command_options options = read_options(args);
    if (args.at("check").asBool()) {
        return run_check(args.at("FILE").asStringList().front(), options.json, std::cout);
    }
    if (args.at("timeline").asBool()) {
        return run_timeline(args.at("FILE").asStringList(), options.json, std::cout);
    }
    if (args.at("trace").asBool()) {
        return run_trace(text_of(args, "REQUEST"), args.at("FILE").asStringList(), options.json, std::cout);
    }
    read_platform(args, options);
    const std::string environment = text_of(args, "--environment");
    if (args.at("plan").asBool()) {
        return run_plan(options, args.at("FILE").asStringList().front(), environment, std::cout);
    }
    if (args.at("apply").asBool()) {
        const bool has_expected_version = !text_of(args, "--expect").empty();
        const auto expected =
            has_expected_version ? std::optional(integer_of(args, "--expect")) : std::nullopt;
        return run_apply(options, args.at("FILE").asStringList().front(), environment, expected,
                         text_of(args, "--source-revision"), std::cout);
    }
    if (args.at("promote").asBool()) {
        const promote_options promotion{
            text_of(args, "--from"), text_of(args, "--to"), integer_of(args, "--expect"),
            milliseconds(integer_of(args, "--soak-ms")), percentage_of(args, "--max-failed-percent")};
        return run_promote(options, promotion, std::cout);
    }
    if (args.at("wait").asBool()) {
        return run_wait(options, environment, integer_of(args, "--version"),
                        milliseconds(integer_of(args, "--timeout") * 1000), std::cout);
    }
    return args.at("history").asBool() ? run_history(options, environment, std::cout)
                                       : run_status(options, environment, std::cout);
}

int run_to_exit_code(const arguments& args) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_CHECK(run(args));
            return 0;
        },
        [](const fault_list& list) {
            for (const fault& found : list.faults) {
                std::cerr << to_string(found) << "\n";
            }
            return error_info_of(list.faults.front().kind).exit_code;
        },
        [](const command_error& error) {
            std::cerr << "waxwingctl: " << error_info_of(error.kind).name << ": " << error.message << "\n";
            return error_info_of(error.kind).exit_code;
        },
        [](error_kind kind) {
            std::cerr << "waxwingctl: " << error_info_of(kind).name << ": " << error_info_of(kind).text
                      << "\n";
            return error_info_of(kind).exit_code;
        },
        [] { return 1; });
}

} // namespace

int main(int argc, char** argv) {
    try {
        const auto args = docopt::docopt_parse(usage_text, {argv + 1, argv + argc}, true, false);
        return run_to_exit_code(args);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage_text;
        return 0;
    } catch (const usage_error&) {
        return error_info_of(error_kind::usage).exit_code;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n" << usage_text;
        return error_info_of(error_kind::usage).exit_code;
    }
}
