#include "waxwingfall/node/metrics.h"

#include <fstream>
#include <set>
#include <string>

#include <gtest/gtest.h>
#include <prometheus/text_serializer.h>

using namespace waxwingfall;

TEST(Metrics, DocumentationMatchesCatalogue) {
    std::set<std::string> rows;
    for (const metric_descriptor& row : metric_catalogue()) {
        rows.insert("waxwingfall_" + std::string(row.name) + "` | " + std::string(row.type));
    }
    std::ifstream page(std::string(WAXWINGFALL_SOURCE_DIR) + "/docs/metrics.md");
    std::set<std::string> documented;
    std::string line;
    while (std::getline(page, line)) {
        if (line.starts_with("| `")) {
            documented.insert(line.substr(3, line.find(" |", line.find("| ", 3)) - 3));
        }
    }
    EXPECT_EQ(documented, rows);
}

TEST(Metrics, CountsSeriesByLabels) {
    node_metrics metrics;
    metrics.record_call(request_kind::idempotent, outcome::done, milliseconds(300));
    metrics.record_call(request_kind::idempotent, outcome::done, milliseconds(3000));
    metrics.record_refusal("worker", error_kind::overloaded);
    metrics.record_store_call("watch", "ok");
    metrics.record_run("complete", milliseconds(20));
    const std::string text = prometheus::TextSerializer().Serialize(metrics.collect());
    const std::string labels = R"(kind="idempotent",outcome="done")";
    EXPECT_NE(text.find("waxwingfall_call_seconds_count{" + labels + "} 2"), std::string::npos) << text;
    EXPECT_NE(text.find("waxwingfall_call_seconds_bucket{" + labels + ",le=\"0.32\"} 1"), std::string::npos);
    EXPECT_NE(text.find(R"(waxwingfall_refusals_total{hop="worker",reason="overloaded"} 1)"),
              std::string::npos);
    EXPECT_NE(text.find(R"(waxwingfall_store_calls_total{call="watch",result="ok"} 1)"), std::string::npos);
    EXPECT_NE(text.find(R"(waxwingfall_run_seconds_sum{end="complete"} 0.02)"), std::string::npos);
}
