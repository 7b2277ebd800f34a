// Reads a chart line by line, then checks the whole. Lines are recorded for
// every name, so that a finding about a missing transition points at the state
// that lacks it.

#include <algorithm>
#include <set>
#include <sstream>

#include "config/ini_file.h"
#include "fmt/format.h"
#include "statechart/statechart.h"

namespace clementine {
namespace {

constexpr std::size_t kMaxChartBytes = 65'536;
/// States, and events, of one chart. Bounds the table of transitions.
constexpr std::size_t kMaxNames = 64;
constexpr char kIgnore[] = "ignore";

using Words = std::vector<std::string>;

bool IsChartName(const std::string& word) {
  return !word.empty() && std::all_of(word.begin(), word.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
  });
}

class ChartParser {
 public:
  explicit ChartParser(const SourceFile& file)
      : m_file(file), m_findings(file.name) {}

  ChartResult Run() {
    if (m_file.text.size() > kMaxChartBytes) {
      m_findings.Add(
          0, fmt::format("file has more than {} bytes", kMaxChartBytes));
    } else {
      ReadLines();
      ResolveTransitions();
      CheckInitial();
      CheckTotal();
      CheckUsed();
      // A path can be judged only if all its parts are known.
      if (m_findings.empty()) CheckPaths();
    }
    return {std::move(m_chart), m_findings.Take()};
  }

 private:
  struct Transition {
    Words words;  // on STATE EVENT -> TARGET
    int line = 0;
  };

  void Report(int line, std::string message) {
    m_findings.Add(line, std::move(message));
  }

  void ReadLines() {
    std::istringstream text(m_file.text);
    int number = 0;
    for (std::string line; std::getline(text, line);) {
      ++number;
      std::istringstream stream(line.substr(0, line.find('#')));
      Words words;
      for (std::string word; stream >> word;) words.push_back(word);
      if (!words.empty()) ReadLine(words, number);
    }
  }

  void ReadLine(const Words& words, int line) {
    const std::string& kind = words[0];
    if (kind == "chart") {
      ReadSingle(words, line, &m_chart.name);
    } else if (kind == "initial") {
      m_initial_line = line;
      ReadSingle(words, line, &m_chart.initial);
    } else if (kind == "state") {
      ReadNames(words, line, &m_chart.states, &m_state_lines);
    } else if (kind == "final") {
      ReadNames(words, line, &m_chart.finals, &m_state_lines);
    } else if (kind == "event") {
      ReadNames(words, line, &m_chart.events, &m_event_lines);
    } else if (kind == "on") {
      if (words.size() == 5 && words[3] == "->") {
        m_transitions.push_back({words, line});
      } else {
        Report(line, "expected 'on STATE EVENT -> STATE' or '-> ignore'");
      }
    } else {
      Report(line, fmt::format("unknown line {}{}", Quote(kind),
                               Suggestion(kind, {"chart", "initial", "state",
                                                 "final", "event", "on"})));
    }
  }

  void ReadSingle(const Words& words, int line, std::string* target) {
    if (words.size() != 2 || !IsChartName(words[1])) {
      Report(line, fmt::format("expected '{} NAME'", words[0]));
    } else if (!target->empty()) {
      Report(line, fmt::format("second '{}' line", words[0]));
    } else {
      *target = words[1];
    }
  }

  // Adds the names of a line; `lines` holds what was declared so far.
  void ReadNames(const Words& words, int line, std::vector<std::string>* names,
                 std::map<std::string, int>* lines) {
    if (words.size() == 1) Report(line, "expected at least one name");
    for (auto word = words.begin() + 1; word != words.end(); ++word) {
      if (!IsChartName(*word) || *word == kIgnore) {
        Report(line, fmt::format("{} is not a name", Quote(*word)));
      } else if (lines->size() >= kMaxNames) {
        Report(line, fmt::format("more than {} names", kMaxNames));
        return;
      } else if (!lines->emplace(*word, line).second) {
        Report(line, fmt::format("{} is declared twice", Quote(*word)));
      } else {
        names->push_back(*word);
      }
    }
  }

  bool IsFinal(const std::string& state) const {
    const auto& finals = m_chart.finals;
    return std::find(finals.begin(), finals.end(), state) != finals.end();
  }

  // Reports a name that isn't declared.
  bool Known(const std::string& name, const char* kind,
             const std::map<std::string, int>& declared, int line) {
    if (declared.count(name) != 0) return true;
    Words names;
    for (const auto& [known, where] : declared) names.push_back(known);
    Report(line, fmt::format("unknown {} {}{}", kind, Quote(name),
                             Suggestion(name, names)));
    return false;
  }

  void ResolveTransitions() {
    for (const auto& [words, line] : m_transitions) {
      const std::string& state = words[1];
      const std::string& event = words[2];
      const std::string& target = words[4] == kIgnore ? state : words[4];
      bool known = Known(state, "state", m_state_lines, line);
      known = Known(event, "event", m_event_lines, line) && known;
      known =
          (target == state || Known(target, "state", m_state_lines, line)) &&
          known;
      if (!known) continue;
      if (IsFinal(state)) {
        Report(line, fmt::format("final state {} has a transition", state));
      } else if (!m_chart.transitions.emplace(std::pair(state, event), target)
                      .second) {
        Report(line, fmt::format("second transition for {} {}", state, event));
      }
    }
  }

  void CheckInitial() {
    if (m_chart.name.empty()) Report(0, "no 'chart' line");
    if (m_chart.initial.empty()) {
      Report(0, "no 'initial' line");
    } else if (Known(m_chart.initial, "state", m_state_lines, m_initial_line) &&
               IsFinal(m_chart.initial)) {
      Report(m_initial_line, "the initial state is final");
    }
  }

  void CheckTotal() {
    for (const std::string& state : m_chart.states) {
      for (const std::string& event : m_chart.events) {
        if (m_chart.transitions.count({state, event}) != 0) continue;
        Report(m_state_lines[state],
               fmt::format("state {} doesn't name event {}", state, event));
      }
    }
  }

  // An event that every state ignores is an error in the chart or its user.
  void CheckUsed() {
    for (const std::string& event : m_chart.events) {
      bool used =
          std::any_of(m_chart.transitions.begin(), m_chart.transitions.end(),
                      [&](const auto& transition) {
                        return transition.first.second == event &&
                               transition.first.first != transition.second;
                      });
      if (used) continue;
      Report(m_event_lines[event],
             fmt::format("event {} changes no state", event));
    }
  }

  std::set<std::string> ReachableFrom(const std::string& start) const {
    std::set<std::string> reached = {start};
    std::vector<std::string> open = {start};
    while (!open.empty()) {
      std::string state = std::move(open.back());
      open.pop_back();
      for (const std::string& event : m_chart.events) {
        auto found = m_chart.transitions.find({state, event});
        if (found == m_chart.transitions.end()) continue;
        if (reached.insert(found->second).second) open.push_back(found->second);
      }
    }
    return reached;
  }

  void CheckPaths() {
    std::set<std::string> reached = ReachableFrom(m_chart.initial);
    for (const auto& [state, line] : m_state_lines) {
      if (reached.count(state) == 0) {
        Report(line, fmt::format("state {} can't be reached from {}", state,
                                 m_chart.initial));
      }
    }
    for (const std::string& state : m_chart.states) {
      std::set<std::string> later = ReachableFrom(state);
      bool ends = std::any_of(
          m_chart.finals.begin(), m_chart.finals.end(),
          [&](const std::string& final) { return later.count(final) != 0; });
      if (later.size() == 1) {
        Report(m_state_lines[state],
               fmt::format("state {} has no path to another state", state));
      } else if (!m_chart.finals.empty() && !ends) {
        Report(m_state_lines[state],
               fmt::format("state {} has no path to a final state", state));
      }
    }
  }

  const SourceFile& m_file;
  FindingList m_findings;
  Chart m_chart;
  int m_initial_line = 0;
  std::map<std::string, int> m_state_lines;  // Final states included.
  std::map<std::string, int> m_event_lines;
  std::vector<Transition> m_transitions;
};

}  // namespace

ChartResult ParseChart(const SourceFile& file) {
  return ChartParser(file).Run();
}

}  // namespace clementine
