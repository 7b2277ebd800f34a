// Evacuations of data centres in the control decisions.

#include <algorithm>

#include "core/fleet_control.h"

namespace clementine {
namespace {

/// After an evacuation was taken back, no surplus group is closed for this
/// time: the groups of the returned data centre may be cold, and the surplus
/// groups elsewhere still carry its load.
constexpr milliseconds kReturnSettleTime{10'000};

const char* EventName(Evacuation::Step step) {
  switch (step) {
    case Evacuation::Step::kStarted:
      return "evacuation_started";
    case Evacuation::Step::kLeft:
      return "evacuation_left";
    case Evacuation::Step::kEnded:
      return "evacuation_ended";
    case Evacuation::Step::kUnknown:
      return "evacuation_unknown";
  }
  return "evacuation_unknown";
}

const char* ActionOf(Evacuation::Step step) {
  switch (step) {
    case Evacuation::Step::kStarted:
      return "other data centres are preferred";
    case Evacuation::Step::kLeft:
      return "nothing new is sent there";
    case Evacuation::Step::kEnded:
      return "requests are sent there again";
    case Evacuation::Step::kUnknown:
      return "ignored while no server or daemon is in it";
  }
  return "";
}

}  // namespace

void FleetControl::On(const EvacuationsChanged& event) {
  if (!m_options.follow_evacuations) return;
  if (!m_evacuation.known()) m_groups_dirty = true;
  ReportEvacuations(m_evacuation.OnChanged(event.data_centres, m_now));
  AdvanceEvacuations();
}

void FleetControl::AdvanceEvacuations() {
  if (!m_options.follow_evacuations) return;
  auto is_known = [this](const std::string& name) {
    const auto& servers = m_list.servers();
    return name == m_options.data_centre || m_nodes.HasDataCentre(name) ||
           std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
             return entry.second.data_centre == name;
           });
  };
  ReportEvacuations(m_evacuation.Advance(is_known, m_now));
}

void FleetControl::ReportEvacuations(
    const std::vector<Evacuation::Change>& changes) {
  for (const Evacuation::Change& change : changes) {
    Log(EventName(change.step), {{"data_centre", change.data_centre},
                                 {"action", ActionOf(change.step)}});
    m_groups_dirty = true;
  }
}

void FleetControl::ApplyEvacuation(GroupView* view) const {
  Evacuation::Phase phase = m_evacuation.PhaseOf(view->data_centre);
  view->evacuating = phase == Evacuation::Phase::kPreferOthers;
  view->evacuated = phase == Evacuation::Phase::kLeft;
}

bool FleetControl::AreInputsKnown() const {
  return m_configuration != nullptr && m_list.known() &&
         (!m_options.follow_evacuations || m_evacuation.known());
}

void FleetControl::PassEvacuationsToPlanner() {
  m_planner.SetEvacuated(m_evacuation.data_centres());
  m_planner.SetSurplusHeld(
      m_evacuation.HasEndedWithin(kReturnSettleTime, m_now));
}

}  // namespace clementine
