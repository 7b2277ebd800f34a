// Plans the placement: a pure function of what is declared and known.
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

/// A host as the lease holder knows it.
struct HostFacts {
  HostInfo info;
  bool up = false;      ///< Its health is known and recent.
  bool failed = false;  ///< Unreachable for longer than a short restart.
  bool gone = false;    ///< Unreachable and dropped from the host list.
  bool leaving = false;
  bool held = false;  ///< Failed repeatedly; not assigned for now.
  bool idle = false;  ///< Confirmed to be in no group; see OrderDispatch.
};

/// A placed group as the lease holder knows it.
struct GroupFacts {
  bool present = false;       ///< Every host confirmed group, epoch and hosts.
  bool drained = false;       ///< Draining and without requests in flight.
  bool stalled = false;       ///< Loading for several times its load time.
  milliseconds phase_age{0};  ///< Since this daemon first saw the phase.
};

struct PlannerLimits {
  int max_loading = 8;  ///< Groups that load at a time (weight store).
  milliseconds drain_limit{300'000};
};

struct PlannerInput {
  const Configuration* configuration = nullptr;
  std::string data_centre;
  std::map<std::string, HostFacts> hosts;
  std::map<std::string, GroupFacts> groups;
  std::set<std::string> held_domains;  ///< Dark; no moves out of them yet.
  bool suspended = false;  ///< Most hosts are unreachable from here.
  Placement current;
  PlannerLimits limits;
};

struct PlannerResult {
  Placement next;
  std::vector<LogDecision> decisions;
  std::map<std::string, std::string> waiting;  ///< Group to reason.
};

/// The weighted planner.
PlannerResult PlanPlacement(const PlannerInput& input);

/// Baseline: replaces every affected group at once by the first fitting hosts.
PlannerResult PlanNaively(const PlannerInput& input);

/// @return Gain per second of a working replica under the weights of
///         `placement`, with `accelerators` accelerators in all its hosts.
double ReplicaGain(const PlacementSpec& placement, int accelerators);

}  // namespace clementine

#endif  // CORE_PLACEMENT_H_
