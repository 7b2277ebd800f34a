// State charts that are data, not code.
//
// A chart is a text file: one `state`, `event` or `on` line each.
//
//   chart lease
//   initial idle
//   state idle held lapsed
//   final released
//   event granted expired release
//   on idle granted -> held
//   on idle expired -> ignore
//
// ParseChart checks a chart exhaustively: each state is reachable from the
// initial state, each non-final state names a transition or `ignore` for each
// event, each event changes some state, and each non-final state has a path to
// another state and, if there are final states, to one of them. A chart that
// passes can't meet an unhandled event or a dead end at run time. `#` starts a
// comment; names consist of a-z, 0-9 and _.
//
// The charts of this repository are in charts/ and are built into the library:
//
//   ChartMachine machine(&BuiltinChart("lease"));
//   machine.Apply("granted");
#ifndef STATECHART_STATECHART_H_
#define STATECHART_STATECHART_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"

namespace clementine {

/// A checked chart. Invariant: `transitions` is total over non-final states.
struct Chart {
  std::string name;
  std::string initial;
  std::vector<std::string> states;  ///< Without the final ones.
  std::vector<std::string> finals;
  std::vector<std::string> events;
  /// (state, event) to next state; an ignored event maps to the same state.
  std::map<std::pair<std::string, std::string>, std::string> transitions;
};

struct ChartResult {
  Chart chart;
  std::vector<Finding> findings;
};

/// Parses and checks the text of a chart file.
ChartResult ParseChart(const SourceFile& file);

/// Returns the chart of charts/ with a name; it lives as long as the program.
/// @throws std::invalid_argument when there is no such chart.
/// @throws std::logic_error when a built-in chart has findings.
const Chart& BuiltinChart(const std::string& name);

/// Runs one instance of a chart. The chart must outlive the machine.
class ChartMachine {
 public:
  explicit ChartMachine(const Chart* chart);

  /// Applies an event.
  /// @return true when the state changed.
  /// @throws std::invalid_argument when the chart doesn't know the event.
  bool Apply(const std::string& event);

  const std::string& state() const { return m_state; }
  bool Finished() const;

 private:
  const Chart* m_chart;
  std::string m_state;
};

}  // namespace clementine

#endif  // STATECHART_STATECHART_H_
