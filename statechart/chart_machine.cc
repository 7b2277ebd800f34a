// Runs a validated chart with one table lookup per event.

#include <algorithm>
#include <stdexcept>

#include "fmt/format.h"
#include "statechart/statechart.h"

namespace clementine {

ChartMachine::ChartMachine(const Chart* chart)
    : m_chart(chart), m_state(chart->initial) {}

bool ChartMachine::Apply(const std::string& event) {
  const auto& events = m_chart->events;
  if (std::find(events.begin(), events.end(), event) == events.end()) {
    throw std::invalid_argument(
        fmt::format("chart {} has no event {}", m_chart->name, event));
  }
  auto found = m_chart->transitions.find({m_state, event});
  if (found == m_chart->transitions.end() || found->second == m_state) {
    return false;
  }
  m_state = found->second;
  return true;
}

bool ChartMachine::IsFinished() const {
  const auto& finals = m_chart->finals;
  return std::find(finals.begin(), finals.end(), m_state) != finals.end();
}

}  // namespace clementine
