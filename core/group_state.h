// State of each replica by charts/group.chart, as this node sees it.
#ifndef CORE_GROUP_STATE_H_
#define CORE_GROUP_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/placement_object.h"
#include "statechart/statechart.h"

namespace clementine {

/// Turns differences between observations into events of the chart.
class GroupStates {
 public:
  void Observe(const Placement& placement, const std::vector<GroupView>& views);

  /// @return The state of a replica; "missing" when it isn't placed.
  std::string StateOf(const std::string& group) const;

 private:
  struct Group {
    ChartMachine machine;
    std::uint64_t epoch = 0;
  };

  std::map<std::string, Group> m_groups;
};

}  // namespace clementine

#endif  // CORE_GROUP_STATE_H_
