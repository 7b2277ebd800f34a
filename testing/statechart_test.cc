#include "statechart/statechart.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <stdexcept>
#include <string>

using clementine::BuiltinChart;
using clementine::ChartMachine;
using clementine::ParseChart;

namespace {

const char kValid[] =
    "chart door\n"
    "initial shut  # comment\n"
    "state shut open\n"
    "final gone\n"
    "event push remove\n"
    "on shut push -> open\n"
    "on shut remove -> ignore\n"
    "on open push -> shut\n"
    "on open remove -> gone\n";

// Returns the findings of kValid with `from` replaced by `to`.
std::string FindingsAfterReplacing(const std::string& from,
                                   const std::string& to) {
  std::string text = kValid;
  std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  text.replace(at, from.size(), to);
  std::string all;
  for (const auto& finding : ParseChart({"c", text}).findings) {
    all += clementine::FormatFinding(finding) + "\n";
  }
  return all;
}

}  // namespace

// Guards against an invalid chart file and against a chart that the build does
// not embed.
TEST_CASE("each file of charts/ is valid and built into the library") {
  int count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(
           std::string(CLEMENTINE_SOURCE_DIR) + "/charts")) {
    std::ifstream stream(entry.path());
    std::string text(std::istreambuf_iterator<char>(stream), {});
    auto result = ParseChart({entry.path().string(), text});
    for (const auto& finding : result.findings) {
      FAIL_CHECK(clementine::FormatFinding(finding));
    }
    CHECK(result.chart.name == entry.path().stem().string());
    CHECK(BuiltinChart(result.chart.name).transitions ==
          result.chart.transitions);
    ++count;
  }
  CHECK(count >= 5);
  CHECK_THROWS_AS(BuiltinChart("absent"), std::invalid_argument);
}

// Guards against an error in a chart that the parser does not report.
TEST_CASE("each kind of error in a chart is reported") {
  CHECK(FindingsAfterReplacing("chart door", "chart door") == "");
  CHECK(FindingsAfterReplacing("chart door\n", "") == "c: no 'chart' line\n");
  CHECK(FindingsAfterReplacing("initial shut", "#") ==
        "c: no 'initial' line\n");
  CHECK(FindingsAfterReplacing("initial shut", "initial shun") ==
        "c:2: unknown state 'shun' (did you mean 'shut'?)\n");
  CHECK(FindingsAfterReplacing("initial shut", "initial gone") ==
        "c:2: the initial state is final\n");
  CHECK(FindingsAfterReplacing("initial shut", "initial shut open") ==
        "c: no 'initial' line\nc:2: expected 'initial NAME'\n");
  CHECK(FindingsAfterReplacing("state shut", "stat shut")
            .find("c:3: unknown line 'stat' (did you mean 'state'?)") !=
        std::string::npos);
  CHECK(FindingsAfterReplacing("state shut open", "state shut open open") ==
        "c:3: 'open' is declared twice\n");
  CHECK(FindingsAfterReplacing("event push", "event push ignore") ==
        "c:5: 'ignore' is not a valid name\n");
  CHECK(FindingsAfterReplacing("on shut remove -> ignore\n", "") ==
        "c:3: state shut has no transition for event remove\n");
  CHECK(FindingsAfterReplacing("on shut remove -> ignore",
                               "on shut remove -> shot") ==
        "c:3: state shut has no transition for event remove\n"
        "c:7: unknown state 'shot' (did you mean 'shut'?)\n");
  CHECK(FindingsAfterReplacing("on shut remove ->", "on shut remove") ==
        "c:3: state shut has no transition for event remove\n"
        "c:7: expected 'on STATE EVENT -> STATE' or '-> ignore'\n");
  CHECK(FindingsAfterReplacing(
            "on open remove -> gone\n",
            "on open remove -> gone\non open remove -> shut\n") ==
        "c:10: duplicate transition for open remove\n");
  CHECK(FindingsAfterReplacing(
            "on open remove -> gone\n",
            "on open remove -> gone\non gone push -> shut\n") ==
        "c:10: final state gone has a transition\n");
  CHECK(FindingsAfterReplacing("final gone", "final gone lost") ==
        "c:4: state lost can't be reached from shut\n");
  CHECK(FindingsAfterReplacing("on open remove -> gone",
                               "on open remove -> ignore") ==
        "c:5: event remove changes no state\n");
  CHECK(FindingsAfterReplacing(
            "on shut push -> open\non shut remove -> ignore",
            "on shut push -> ignore\non shut remove -> ignore") ==
        "c:3: state open can't be reached from shut\n"
        "c:3: state shut has no path to another state\n"
        "c:4: state gone can't be reached from shut\n");
  CHECK(FindingsAfterReplacing(
            "state shut open\n",
            "state shut open\nstate stuck jam\n"
            "on stuck push -> jam\non stuck remove -> jam\n"
            "on jam push -> stuck\non jam remove -> stuck\n") ==
        "c:4: state jam can't be reached from shut\n"
        "c:4: state stuck can't be reached from shut\n"
        "c:4: state stuck has no path to a final state\n"
        "c:4: state jam has no path to a final state\n");
  std::string unreachable_final =
      FindingsAfterReplacing("on shut remove -> ignore\n",
                             "on shut remove -> stuck\nstate stuck jam\n"
                             "on stuck push -> jam\non stuck remove -> jam\n"
                             "on jam push -> stuck\non jam remove -> stuck\n");
  CHECK(unreachable_final ==
        "c:8: state stuck has no path to a final state\n"
        "c:8: state jam has no path to a final state\n");
}

// Guards against a crash of the parser or the machine on a malformed chart.
TEST_CASE("random mutations of a chart never crash the parser") {
  std::mt19937_64 random(7);
  for (int round = 0; round < 2'000; ++round) {
    std::string text = kValid;
    for (int i = 0; i < 8; ++i) {
      std::size_t at = random() % text.size();
      if (random() % 2 == 0) {
        text[at] = static_cast<char>(random() % 128);
      } else {
        text.erase(at, random() % 6);
      }
    }
    auto result = ParseChart({"c", text});
    if (result.findings.empty()) ChartMachine(&result.chart).Apply("push");
  }
  auto large = ParseChart({"c", std::string(100'000, 'x')});
  CHECK(large.findings.size() == 1);
}

// Guards against a state change that the chart does not declare.
TEST_CASE("a machine makes only the transitions of its chart") {
  ChartMachine lease(&BuiltinChart("lease"));
  CHECK(lease.state() == "candidate");
  CHECK_FALSE(lease.Apply("expired"));
  CHECK(lease.Apply("granted"));
  CHECK_FALSE(lease.Apply("granted"));
  CHECK(lease.Apply("stop"));
  CHECK_FALSE(lease.IsFinished());
  CHECK(lease.Apply("orders_settled"));
  CHECK(lease.IsFinished());
  CHECK_THROWS_AS(lease.Apply("unheard"), std::invalid_argument);
}
