// The placement is the source of the events `assigned`, `replaced` and
// `withdrawn`. Whether the group is open to requests is the source of
// `confirmed` and `unconfirmed`.

#include "core/group_state.h"

#include <set>

namespace clementine {

void GroupStates::Observe(const Placement& placement,
                          const std::vector<GroupView>& views) {
  std::set<std::string> open;
  for (const GroupView& view : views) {
    if (view.open) {
      open.insert(view.group);
    }
  }
  // A replica that was removed from the placement restarts in state "missing".
  std::erase_if(m_groups, [&](const auto& entry) {
    return placement.groups.count(entry.first) == 0;
  });
  for (const auto& [name, placed] : placement.groups) {
    auto [it, added] = m_groups.try_emplace(
        name, Group{ChartMachine(&BuiltinChart("group")), placed.epoch});
    Group& group = it->second;
    if (added) {
      group.machine.Apply("assigned");
    } else if (group.epoch != placed.epoch) {
      group.machine.Apply("replaced");
    }
    group.epoch = placed.epoch;
    if (placed.phase == GroupPhase::kDraining) {
      group.machine.Apply("withdrawn");
    }
    group.machine.Apply(open.count(name) != 0 ? "confirmed" : "unconfirmed");
  }
}

std::string GroupStates::StateOf(const std::string& group) const {
  auto found = m_groups.find(group);
  return found == m_groups.end() ? "missing" : found->second.machine.state();
}

}  // namespace clementine
