// Plans the placement as a pure function of the configuration and of the known
// state of hosts and groups.
#ifndef CORE_PLACEMENT_H_
#define CORE_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/placement_object.h"

namespace clementine {

/// State of a host as known to the lease holder.
struct HostFacts {
  HostInfo info;
  bool up = false;      ///< Recent health is known.
  bool failed = false;  ///< Unreachable for longer than a short restart takes.
  bool gone = false;    ///< Unreachable and removed from the host list.
  bool leaving = false;
  bool held = false;  ///< In the hold-down period after repeated failures, in
                      ///< which it is not assigned.
  bool idle = false;  ///< In no group; see OrderDispatch::IsConfirmedIdle.
};

/// State of a placed group as known to the lease holder.
struct GroupFacts {
  bool present = false;  ///< All hosts confirmed group, epoch and host list.
  bool drained = false;  ///< Draining, and no request is in flight.
  bool stalled = false;  ///< Loading for more than 3 times the load time.
  milliseconds phase_age{0};  ///< Since this daemon first observed the phase.
};

struct PlannerLimits {
  /// Maximum number of groups that load at a time, since all groups load from
  /// the same weight store.
  int max_loading = 8;
  milliseconds drain_limit{300'000};
};

struct PlannerInput {
  const Configuration* configuration = nullptr;
  std::string data_centre;
  std::map<std::string, HostFacts> hosts;
  std::map<std::string, GroupFacts> groups;
  /// Fabric domains that became unreachable as a whole. Their groups are not
  /// moved for some time.
  std::set<std::string> held_domains;
  /// Most hosts are unreachable from this daemon, so nothing is moved.
  bool suspended = false;
  Placement current;
  PlannerLimits limits;
};

struct PlannerResult {
  Placement next;
  std::vector<LogDecision> decisions;
  /// What a group, group spec or host waits for, by its name.
  std::map<std::string, std::string> waiting;
};

/// Plans with the cost weights in Configuration::placement. This is the default
/// planner.
PlannerResult PlanPlacement(const PlannerInput& input);

/// Baseline planner for comparisons: immediately dissolves every affected group
/// and places it again on the first hosts that fit.
PlannerResult PlanNaively(const PlannerInput& input);

/// @return Cost per second that a serving replica avoids: the downtime weight,
///         plus the stranded weight for each accelerator.
/// @param placement    Cost weights.
/// @param accelerators Accelerators of all hosts of the replica.
double ReplicaGain(const PlacementSpec& placement, int accelerators);

}  // namespace clementine

#endif  // CORE_PLACEMENT_H_
