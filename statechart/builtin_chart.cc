// The build embeds every file of charts/ as text, so that a program needs no
// files beside it. Texts are parsed on first use.

#include <stdexcept>

#include "fmt/format.h"
#include "statechart/statechart.h"

namespace clementine {
namespace {

constexpr struct {
  const char* file;
  const char* text;
} kChartFiles[] = {
#include "builtin_charts.inc"
};

std::map<std::string, Chart> ParseAll() {
  std::map<std::string, Chart> charts;
  for (const auto& [file, text] : kChartFiles) {
    ChartResult result = ParseChart({file, text});
    if (!result.findings.empty()) {
      throw std::logic_error(FormatFinding(result.findings.front()));
    }
    charts[result.chart.name] = std::move(result.chart);
  }
  return charts;
}

}  // namespace

const Chart& BuiltinChart(const std::string& name) {
  static const std::map<std::string, Chart> charts = ParseAll();
  auto found = charts.find(name);
  if (found == charts.end()) {
    throw std::invalid_argument(fmt::format("no chart {}", name));
  }
  return found->second;
}

}  // namespace clementine
