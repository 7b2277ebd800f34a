// Parses a chart line by line and validates it afterwards. The parser stores
// the line of each declared name; a finding about a missing transition refers
// to the line of the state that lacks it.

#include <algorithm>
#include <set>
#include <sstream>

#include "config/ini_file.h"
#include "fmt/format.h"
#include "statechart/statechart.h"

namespace clementine {
namespace {

constexpr std::size_t kMaxChartBytes = 65'536;
/// Maximum number of states, and of events, of a chart. Bounds the size of the
/// transition table.
constexpr std::size_t kMaxNamesPerChart = 64;
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

  ChartResult Parse() {
    if (m_file.text.size() > kMaxChartBytes) {
      m_findings.Add(
          0, fmt::format("file has more than {} bytes", kMaxChartBytes));
    } else {
      ReadLines();
      ResolveTransitions();
      CheckInitial();
      CheckTransitionsComplete();
      CheckEventsUsed();
      // The search for paths needs a complete transition table.
      if (m_findings.empty()) CheckReachability();
    }
    return {std::move(m_chart), m_findings.TakeFindings()};
  }

 private:
  struct Transition {
    Words words;  // on STATE EVENT -> TARGET
    int line = 0;
  };

  void AddFinding(int line, std::string message) {
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
        AddFinding(line, "expected 'on STATE EVENT -> STATE' or '-> ignore'");
      }
    } else {
      AddFinding(line,
                 fmt::format("unknown line {}{}", Quote(kind),
                             Suggestion(kind, {"chart", "initial", "state",
                                               "final", "event", "on"})));
    }
  }

  void ReadSingle(const Words& words, int line, std::string* target) {
    if (words.size() != 2 || !IsChartName(words[1])) {
      AddFinding(line, fmt::format("expected '{} NAME'", words[0]));
    } else if (!target->empty()) {
      AddFinding(line, fmt::format("duplicate '{}' line", words[0]));
    } else {
      *target = words[1];
    }
  }

  // Adds the names that a line declares. `lines` maps each name that has been
  // declared to its line.
  void ReadNames(const Words& words, int line, std::vector<std::string>* names,
                 std::map<std::string, int>* lines) {
    if (words.size() == 1) AddFinding(line, "expected at least one name");
    for (auto word = words.begin() + 1; word != words.end(); ++word) {
      if (!IsChartName(*word) || *word == kIgnore) {
        AddFinding(line, fmt::format("{} is not a valid name", Quote(*word)));
      } else if (lines->size() >= kMaxNamesPerChart) {
        AddFinding(line, fmt::format("more than {} names", kMaxNamesPerChart));
        return;
      } else if (!lines->emplace(*word, line).second) {
        AddFinding(line, fmt::format("{} is declared twice", Quote(*word)));
      } else {
        names->push_back(*word);
      }
    }
  }

  bool IsFinal(const std::string& state) const {
    const auto& finals = m_chart.finals;
    return std::find(finals.begin(), finals.end(), state) != finals.end();
  }

  // Returns whether a name is declared; reports it otherwise.
  bool CheckDeclared(const std::string& name, const char* kind,
                     const std::map<std::string, int>& declared, int line) {
    if (declared.count(name) != 0) return true;
    Words names;
    for (const auto& [known, where] : declared) names.push_back(known);
    AddFinding(line, fmt::format("unknown {} {}{}", kind, Quote(name),
                                 Suggestion(name, names)));
    return false;
  }

  void ResolveTransitions() {
    for (const auto& [words, line] : m_transitions) {
      const std::string& state = words[1];
      const std::string& event = words[2];
      const std::string& target = words[4] == kIgnore ? state : words[4];
      bool known = CheckDeclared(state, "state", m_state_lines, line);
      known = CheckDeclared(event, "event", m_event_lines, line) && known;
      known = (target == state ||
               CheckDeclared(target, "state", m_state_lines, line)) &&
              known;
      if (!known) continue;
      if (IsFinal(state)) {
        AddFinding(line, fmt::format("final state {} has a transition", state));
      } else if (!m_chart.transitions.emplace(std::pair(state, event), target)
                      .second) {
        AddFinding(line,
                   fmt::format("duplicate transition for {} {}", state, event));
      }
    }
  }

  void CheckInitial() {
    if (m_chart.name.empty()) AddFinding(0, "no 'chart' line");
    if (m_chart.initial.empty()) {
      AddFinding(0, "no 'initial' line");
    } else if (CheckDeclared(m_chart.initial, "state", m_state_lines,
                             m_initial_line) &&
               IsFinal(m_chart.initial)) {
      AddFinding(m_initial_line, "the initial state is final");
    }
  }

  void CheckTransitionsComplete() {
    for (const std::string& state : m_chart.states) {
      for (const std::string& event : m_chart.events) {
        if (m_chart.transitions.count({state, event}) != 0) continue;
        AddFinding(m_state_lines[state],
                   fmt::format("state {} has no transition for event {}", state,
                               event));
      }
    }
  }

  // An event that every state ignores indicates an error in the chart, or in
  // the code that applies the event.
  void CheckEventsUsed() {
    for (const std::string& event : m_chart.events) {
      bool used =
          std::any_of(m_chart.transitions.begin(), m_chart.transitions.end(),
                      [&](const auto& transition) {
                        return transition.first.second == event &&
                               transition.first.first != transition.second;
                      });
      if (used) continue;
      AddFinding(m_event_lines[event],
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

  void CheckReachability() {
    std::set<std::string> reached = ReachableFrom(m_chart.initial);
    for (const auto& [state, line] : m_state_lines) {
      if (reached.count(state) == 0) {
        AddFinding(line, fmt::format("state {} can't be reached from {}", state,
                                     m_chart.initial));
      }
    }
    for (const std::string& state : m_chart.states) {
      std::set<std::string> reachable = ReachableFrom(state);
      bool reaches_final =
          std::any_of(m_chart.finals.begin(), m_chart.finals.end(),
                      [&](const std::string& final) {
                        return reachable.count(final) != 0;
                      });
      if (reachable.size() == 1) {
        AddFinding(m_state_lines[state],
                   fmt::format("state {} has no path to another state", state));
      } else if (!m_chart.finals.empty() && !reaches_final) {
        AddFinding(m_state_lines[state],
                   fmt::format("state {} has no path to a final state", state));
      }
    }
  }

  const SourceFile& m_file;
  FindingList m_findings;
  Chart m_chart;
  int m_initial_line = 0;
  std::map<std::string, int> m_state_lines;  // Includes final states.
  std::map<std::string, int> m_event_lines;
  std::vector<Transition> m_transitions;
};

}  // namespace

ChartResult ParseChart(const SourceFile& file) {
  return ChartParser(file).Parse();
}

}  // namespace clementine
