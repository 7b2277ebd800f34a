#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "net/net.h"

namespace clementine {
namespace {

double Reported(const Metrics& metrics, const std::string& line) {
  std::string text = metrics.Render();
  std::size_t at = text.find(line + " ");
  REQUIRE(at != std::string::npos);
  return std::stod(text.substr(at + line.size() + 1));
}

}  // namespace

// Guards against estimates that are far off, both for few and for many samples.
TEST_CASE("metrics report quantiles") {
  for (int count : {1, 2, 20, 32, 33, 1000, 100'000}) {
    Metrics metrics;
    Metrics::Distribution* gaps = metrics.Find("gap", "class=\"x\"");
    std::uint32_t state = 1;
    std::vector<double> values;
    for (int i = 0; i < count; ++i) {
      state = state * 1664525 + 1013904223;
      values.push_back((state >> 8) / 16777216.0);
      Metrics::Observe(gaps, values.back(), TimePoint{});
    }
    std::sort(values.begin(), values.end());
    for (const char* quantile : {"0.5", "0.95", "0.99"}) {
      double exact =
          values[static_cast<std::size_t>(std::stod(quantile) * (count - 1))];
      double reported =
          Reported(metrics, std::string("gap{class=\"x\",quantile=\"") +
                                quantile + "\"}");
      INFO(count << " samples, quantile " << quantile);
      CHECK(reported == doctest::Approx(exact).epsilon(0.15));
    }
    CHECK(Reported(metrics, "gap_count{class=\"x\"}") == count);
  }
}

// Guards against a peak that is reported long after it has passed.
TEST_CASE("metrics forget samples of earlier windows") {
  Metrics metrics;
  Metrics::Distribution* gaps = metrics.Find("gap", "");
  for (int minute = 0; minute < 3; ++minute) {
    for (int i = 0; i < 100; ++i) {
      Metrics::Observe(gaps, minute == 0 ? 9.0 : 1.0,
                       TimePoint{} + std::chrono::minutes(minute));
    }
  }
  CHECK(Reported(metrics, "gap{quantile=\"0.99\"}") == 1.0);
  CHECK(Reported(metrics, "gap_sum") == 1100.0);
}

// Guards against text that Prometheus rejects: one TYPE line for each name.
TEST_CASE("metrics are grouped by name") {
  Metrics metrics;
  metrics.Add("requests_total", "class=\"a\"");
  metrics.Add("requests_total", "class=\"b\"", 2);
  metrics.Set("open", "", 1.5);
  CHECK(metrics.Render() ==
        "# TYPE requests_total counter\n"
        "requests_total{class=\"a\"} 1\n"
        "requests_total{class=\"b\"} 2\n"
        "# TYPE open gauge\n"
        "open 1.5\n");
}

}  // namespace clementine
