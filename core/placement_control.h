// Placement control of a data centre. At the lease holder it claims, plans and
// writes the placement and sends orders to hosts. At other daemons it competes
// for the lease and reads the placement.
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

/// Combines lease, placement store, planner and order dispatch. Invariants: the
/// placement is written and orders are sent only while the lease is valid, and
/// orders follow only from a stored placement.
class PlacementControl {
 public:
  using Actions = std::vector<ControlAction>;

  PlacementControl(const ControlPlaneOptions& options, PlatformCalls* calls,
                   Jitter* jitter);

  void OnPlacementObserved(std::uint64_t version, const std::string& value,
                           Actions* out) {
    m_store.OnObserved(version, value, out);
  }
  /// A complete listing of the platform contained no placement object.
  void OnAbsenceObserved() { m_store.OnAbsenceObserved(); }
  void OnReply(const PendingCall& call, const ObjectReply& reply, TimePoint now,
               Actions* out);
  void OnOrderAnswered(const OrderAnswered& answer, TimePoint now,
                       Actions* out);
  /// Waits for outstanding orders, then releases the lease.
  void Drain() { m_draining = true; }

  /// @param may_compete Whether this daemon is a candidate for the lease.
  void Advance(const Presence& presence, const Configuration* configuration,
               bool may_compete, TimePoint now, Actions* out);

  const Lease& lease() const { return m_lease; }
  /// The era of the store has become known, or the store was restored.
  void OnStoreEra(std::uint64_t era, bool restored, TimePoint now,
                  Actions* out);
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
  PlannerInput GatherInput(const Presence& presence,
                           const Configuration& configuration, TimePoint now);
  HostFacts GatherFacts(const HostPresence& record, const Presence& presence,
                        TimePoint now) const;
  GroupFacts GatherFacts(const std::string& name, const PlacedGroup& group,
                         const Presence& presence,
                         const Configuration& configuration, TimePoint now);

  ControlPlaneOptions m_options;
  Lease m_lease;
  PlacementStore m_store;
  OrderDispatch m_orders;
  HostHistory m_history;
  PlacementPlanner m_planner;
  PlannerLimits m_limits;
  std::map<std::string, PhaseAge> m_phase_ages;
  /// PlannerResult::waiting of the last plan.
  std::map<std::string, std::string> m_waiting;
  std::uint64_t m_fence = 0;  ///< Fence last passed to m_store.
  bool m_draining = false;
  TimePoint m_next_plan_at;
  TimePoint m_next_orders_at;
  TimePoint m_next_history_at;
};

}  // namespace clementine

#endif  // CORE_PLACEMENT_CONTROL_H_
