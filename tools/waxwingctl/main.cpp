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

constexpr const char* usage_text = R"(Operates the documents of waxwingfall's environments.

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
  waxwingctl --help

Options:
  --platform ADDRESS        IP:PORT of the platform's key-value service; WAXWINGFALL_PLATFORM by default.
  --environment E           The environment, for example trial or production.
  --expect VERSION          Refuse unless this version is in force.
  --source-revision ID      The revision of the document in version control.
  --from E                  The environment in which the version was tried.
  --to E                    The environment that it is promoted to.
  --soak-ms MS              How long it must have been in force everywhere [default: 5000].
  --max-failed-percent P    Failed calls that are borne meanwhile [default: 1].
  --version N               The version to wait for.
  --timeout S               Seconds to wait [default: 10].
  --patience S              Seconds for which an unreachable platform is asked again [default: 10].
  --format FORMAT           text or json [default: text].
  --help                    Show this text.
)";

using namespace waxwingfall;
using arguments = std::map<std::string, docopt::value>;

struct usage_error {};

std::string text_of(const arguments& given, const std::string& name) {
    const docopt::value& value = given.at(name);
    return value ? value.asString() : std::string();
}

std::uint64_t number_of(const arguments& given, const std::string& name) {
    const std::string text = text_of(given, name);
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        std::cerr << "waxwingctl: usage: " << name << " must be a whole number\n";
        throw usage_error{};
    }
    return number;
}

double share_of(const arguments& given, const std::string& name) {
    const std::string text = text_of(given, name);
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || value < 0 || value > 100) {
        std::cerr << "waxwingctl: usage: " << name << " must be a number from 0 to 100\n";
        throw usage_error{};
    }
    return value;
}

command_options read_options(const arguments& given) {
    command_options options;
    const std::string format = text_of(given, "--format");
    if (format != "text" && format != "json") {
        std::cerr << "waxwingctl: usage: --format must be text or json\n";
        throw usage_error{};
    }
    options.json = format == "json";
    options.patience = milliseconds(number_of(given, "--patience") * 1000);
    const char* user = std::getenv("USER");
    options.author = user == nullptr ? "unknown" : user;
    std::random_device device;
    const std::uint32_t words[] = {device(), device(), device(), device()};
    options.operation = to_hex({reinterpret_cast<const char*>(words), sizeof(words)});
    return options;
}

void read_platform(const arguments& given, command_options& options) {
    const char* from_environment = std::getenv("WAXWINGFALL_PLATFORM");
    std::string text = text_of(given, "--platform");
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

boost::leaf::result<void> run(const arguments& given) {
    command_options options = read_options(given);
    if (given.at("check").asBool()) {
        return run_check(given.at("FILE").asStringList().front(), options.json, std::cout);
    }
    if (given.at("timeline").asBool()) {
        return run_timeline(given.at("FILE").asStringList(), options.json, std::cout);
    }
    if (given.at("trace").asBool()) {
        return run_trace(text_of(given, "REQUEST"), given.at("FILE").asStringList(), options.json, std::cout);
    }
    read_platform(given, options);
    const std::string environment = text_of(given, "--environment");
    if (given.at("plan").asBool()) {
        return run_plan(options, given.at("FILE").asStringList().front(), environment, std::cout);
    }
    if (given.at("apply").asBool()) {
        const bool expects = !text_of(given, "--expect").empty();
        const auto expected = expects ? std::optional(number_of(given, "--expect")) : std::nullopt;
        return run_apply(options, given.at("FILE").asStringList().front(), environment, expected,
                         text_of(given, "--source-revision"), std::cout);
    }
    if (given.at("promote").asBool()) {
        const promote_options promotion{
            text_of(given, "--from"), text_of(given, "--to"), number_of(given, "--expect"),
            milliseconds(number_of(given, "--soak-ms")), share_of(given, "--max-failed-percent")};
        return run_promote(options, promotion, std::cout);
    }
    if (given.at("wait").asBool()) {
        return run_wait(options, environment, number_of(given, "--version"),
                        milliseconds(number_of(given, "--timeout") * 1000), std::cout);
    }
    return given.at("history").asBool() ? run_history(options, environment, std::cout)
                                        : run_status(options, environment, std::cout);
}

int run_to_exit_code(const arguments& given) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_CHECK(run(given));
            return 0;
        },
        [](const fault_list& list) {
            for (const fault& found : list.faults) {
                std::cerr << to_string(found) << "\n";
            }
            return answer_of(list.faults.front().kind).exit_code;
        },
        [](const command_error& error) {
            std::cerr << "waxwingctl: " << answer_of(error.kind).name << ": " << error.message << "\n";
            return answer_of(error.kind).exit_code;
        },
        [](error_kind kind) {
            std::cerr << "waxwingctl: " << answer_of(kind).name << ": " << answer_of(kind).text << "\n";
            return answer_of(kind).exit_code;
        },
        [] { return 1; });
}

} // namespace

int main(int argc, char** argv) {
    try {
        const auto given = docopt::docopt_parse(usage_text, {argv + 1, argv + argc}, true, false);
        return run_to_exit_code(given);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage_text;
        return 0;
    } catch (const usage_error&) {
        return answer_of(error_kind::usage).exit_code;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n" << usage_text;
        return answer_of(error_kind::usage).exit_code;
    }
}
