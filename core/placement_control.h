// What the lease holder does: claims, plans and writes the placement and sends
// orders. On other daemons it competes for the lease and reads the placement.
#ifndef CORE_PLACEMENT_CONTROL_H_
#define CORE_PLACEMENT_CONTROL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/host_history.h"
#include "core/lease.h"
#include "core/order_dispatch.h"
#include "core/placement.h"
#include "core/placement_store.h"
#include "core/platform_calls.h"
#include "core/presence.h"

namespace clementine {

/// Composes lease, store, planner and orders. Nothing is written or ordered
/// unless the lease is proven, and nothing is ordered that isn't stored.
class PlacementControl {
 public:
  using Actions = std::vector<ControlAction>;

  PlacementControl(const ControlPlaneOptions& options, PlatformCalls* calls,
                   Jitter* jitter);

  void ObservedPlacement(std::uint64_t version, const std::string& value,
                         Actions* out) {
    m_store.Observed(version, value, out);
  }
  /// A whole listing of the platform had no placement object.
  void ObservedAbsent() { m_store.ObservedAbsent(); }
  void Replied(const PendingCall& call, const ObjectReply& reply, TimePoint now,
               Actions* out);
  void OrderReplied(const OrderAnswered& answer, TimePoint now, Actions* out);
  /// Finishes unsettled orders, then releases the lease.
  void Drain() { m_draining = true; }

  /// @param may_compete Whether this daemon is a candidate for the lease.
  void Advance(const Presence& presence, const Configuration* configuration,
               bool may_compete, TimePoint now, Actions* out);

  const Lease& lease() const { return m_lease; }
  const PlacementStore& store() const { return m_store; }
  const std::map<std::string, std::string>& waiting() const {
    return m_waiting;
  }

 private:
  struct PhaseAge {
    GroupPhase phase = GroupPhase::kLoading;
    std::uint64_t epoch = 0;
    TimePoint since;
  };

  void Plan(const Presence& presence, const Configuration& configuration,
            TimePoint now, Actions* out);
  PlannerInput Gather(const Presence& presence,
                      const Configuration& configuration, TimePoint now);
  HostFacts FactsOf(const HostRecord& record, const Presence& presence,
                    TimePoint now) const;
  GroupFacts FactsOf(const std::string& name, const PlacedGroup& group,
                     const Presence& presence,
                     const Configuration& configuration, TimePoint now);

  ControlPlaneOptions m_options;
  Lease m_lease;
  PlacementStore m_store;
  OrderDispatch m_orders;
  HostHistory m_history;
  PlacementPlanner m_planner;
  PlannerLimits m_limits;
  std::map<std::string, PhaseAge> m_phases;
  std::map<std::string, std::string> m_waiting;  ///< Of the last plan.
  std::uint64_t m_fence = 0;  ///< Fence that the store was told of.
  bool m_draining = false;
  TimePoint m_next_plan;
  TimePoint m_next_orders;
  TimePoint m_next_history;
};

}  // namespace clementine

#endif  // CORE_PLACEMENT_CONTROL_H_
