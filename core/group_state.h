// State of each replica according to charts/group.chart, from the placement and
// the health known to this daemon.
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

/// Derives chart events from the differences between successive observations.
class GroupStates {
 public:
  void Observe(const Placement& placement, const std::vector<GroupView>& views);

  /// Returns the state of a replica; "missing" if it is not placed.
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
