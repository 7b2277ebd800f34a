// State charts that are defined by text files.
//
// Each line of a chart declares states, events or one transition:
//
//   chart lease
//   initial idle
//   state idle held lapsed
//   final released
//   event granted expired release
//   on idle granted -> held
//   on idle expired -> ignore
//
// `ignore` means that the event leaves the state unchanged. `#` starts a
// comment. Names consist of a-z, 0-9 and _.
//
// ParseChart validates a chart:
// - each state is reachable from the initial state;
// - each non-final state has a transition or `ignore` for each event;
// - each event changes the state in at least one transition;
// - each non-final state has a path to another state and, if there are final
//   states, to one of them.
// At run time, a valid chart has no unhandled events and no dead ends.
//
// The files of charts/ are built into the library:
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

/// A validated chart. Invariant: `transitions` has an entry for each non-final
/// state and event.
struct Chart {
  std::string name;
  std::string initial;
  std::vector<std::string> states;  ///< Non-final states.
  std::vector<std::string> finals;
  std::vector<std::string> events;
  /// Maps (state, event) to the next state; for an ignored event, to the same
  /// state.
  std::map<std::pair<std::string, std::string>, std::string> transitions;
};

struct ChartResult {
  Chart chart;
  std::vector<Finding> findings;
};

/// Parses and validates the text of a chart file.
ChartResult ParseChart(const SourceFile& file);

/// Returns a built-in chart by name. The reference is valid until the program
/// exits.
/// @throws std::invalid_argument when there is no chart with this name.
/// @throws std::logic_error when a built-in chart is invalid.
const Chart& BuiltinChart(const std::string& name);

/// An instance of a chart with its current state. The chart must outlive the
/// machine.
class ChartMachine {
 public:
  explicit ChartMachine(const Chart* chart);

  /// Applies an event.
  /// @return true when the state changed.
  /// @throws std::invalid_argument when the chart does not declare the event.
  bool Apply(const std::string& event);

  const std::string& state() const { return m_state; }
  /// Whether the current state is final.
  bool IsFinished() const;

 private:
  const Chart* m_chart;
  std::string m_state;
};

}  // namespace clementine

#endif  // STATECHART_STATECHART_H_
