#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

#include "waxwingfall/operator/commands.h"

using namespace waxwingfall;

namespace {

/// Two logs that cover one call: the log file of the client's node, and the log of the worker's node with the
/// line prefixes of a log collector. The first ends with a truncated line.
class sample_logs {
public:
    sample_logs() {
        const std::string path_prefix =
            testing::TempDir() + std::to_string(reinterpret_cast<std::uintptr_t>(this));
        paths_ = {path_prefix + "-a.log", path_prefix + "-b.log"};
        std::ofstream(paths_[0])
            << R"({"time":100,"clock":1,"process":"a","event":300,"name":"contract-enforced","version":"7"})"
            << "\n"
            << R"({"time":110,"clock":2,"process":"a","event":602,"name":"call-placed","request":"r1","endpoint":"b"})"
            << "\n"
            << R"({"time":111,"clock":3,"process":"a","event":602,"name":"call-placed","request":"r2","endpoint":"c"})"
            << "\n"
            << R"({"time":150,"clock":9,"process":"a","event":603,"name":"call-answered","request":"r1"})"
            << "\n"
            << R"({"time":160,"clock":12,"process":"a","half)";
        std::ofstream(paths_[1])
            << R"(   1.25 b {"time":112,"clock":4,"process":"b","event":604,"name":"request-admitted","request":"r1"})"
            << "\n"
            << R"(   1.26 b {"time":120,"clock":5,"process":"b","event":600,"name":"call-failed","request":"r1.9","reason":"overloaded"})"
            << "\n"
            << R"(   1.27 b {"time":121,"clock":6,"process":"b","event":203,"name":"member-died","member":"c"})"
            << "\n"
            << R"(   1.28 d {"time":122,"clock":7,"process":"d","event":203,"name":"member-died","member":"c"})"
            << "\n"
            << "built in 2 s\n";
    }
    ~sample_logs() {
        for (const std::string& path : paths_) {
            std::remove(path.c_str());
        }
    }
    sample_logs(const sample_logs&) = delete;
    sample_logs& operator=(const sample_logs&) = delete;

    const std::vector<std::string>& paths() const { return paths_; }

private:
    std::vector<std::string> paths_;
};

template <typename Run> std::string output_of(const Run& run) {
    std::ostringstream out;
    boost::leaf::try_handle_all([&] { return run(out); },
                                [&](const command_error& error) { out << "error: " << error.message; },
                                [&] { out << "unknown error"; });
    return out.str();
}

} // namespace

TEST(Trace, PrintsEventsOfRequestFromAllProcesses) {
    const sample_logs logs;
    EXPECT_EQ(output_of([&](std::ostream& out) { return run_trace("r1", logs.paths(), false, out); }),
              "+0 ms  a  call-placed  request=r1  endpoint=b\n"
              "+2 ms  b  request-admitted  request=r1\n"
              "+10 ms  b  call-failed  request=r1.9  reason=overloaded\n"
              "+11 ms  b  member-died  member=c\n"
              "+40 ms  a  call-answered  request=r1\n");
}

TEST(Trace, FailsForUnknownRequestOrUnreadableLog) {
    const sample_logs logs;
    EXPECT_EQ(output_of([&](std::ostream& out) { return run_trace("r", logs.paths(), false, out); }),
              "error: no log contains the request r");
    EXPECT_EQ(output_of([&](std::ostream& out) { return run_trace("r1", {"/nowhere"}, false, out); }),
              "error: /nowhere can't be read");
}

TEST(Timeline, OrdersEventsOfAllProcessesByClock) {
    const sample_logs logs;
    const std::string text =
        output_of([&](std::ostream& out) { return run_timeline(logs.paths(), false, out); });
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 8);
    EXPECT_LT(text.find("contract-enforced"), text.find("request-admitted"));
}
