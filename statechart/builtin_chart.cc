// Charts that are built into the library. The build embeds the text of each
// file of charts/; programs need no chart files at run time. The texts are
// parsed on first use.

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
    throw std::invalid_argument(
        fmt::format("no built-in chart is named {}", name));
  }
  return found->second;
}

}  // namespace clementine
