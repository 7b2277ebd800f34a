// Simulated backend servers that carry out group orders on a virtual clock,
// with checks of the group planner's invariants. For tests of the group
// planner.
#ifndef TESTING_FLEET_WORLD_H_
#define TESTING_FLEET_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/fleet.h"
#include "core/group_planner.h"

namespace clementine::testing {

/// State of one server: the orders that it has accepted and those in progress.
struct FakeServer {
  BackendServer entry;
  bool alive = true;
  std::vector<std::string> members;  ///< Of its group.
  std::string last_model;
  /// Group and epoch in which it was last ready.
  std::pair<std::string, std::uint64_t> was_ready;
  std::string joining_model;
  TimePoint joined_at = TimePoint::max();
  TimePoint opens_at = TimePoint::max();
  std::string staging;
  TimePoint staged_at = TimePoint::max();
  TimePoint died_at;
  /// Partitioned from the planner and the registry, but reachable by its peers.
  bool offline = false;
  TimePoint unlisted_at;     ///< When its entry lapses.
  TimePoint listed_at;       ///< When its entry returns after a partition.
  bool is_unlisted = false;  ///< Not in the registry, but accepts orders.
  /// Outdated state that the list shows, as after an outage of the platform.
  std::optional<GroupMemberState> listed_state;
  /// Cannot renew its entry before this time, but accepts orders and reports.
  TimePoint cut_until;
  TimePoint cut_at;
  std::optional<BackendServer> cut_entry;  ///< As the list still shows it.
  std::uint64_t highest_epoch = 0;         ///< Of the joins carried out.
  /// Since when the head has stood still because a member left the group.
  std::optional<TimePoint> stalled_since;
  bool refuses_connections = false;  ///< While partitioned.
  TimePoint reported_at;             ///< When the planner last got its report.
  /// The list shows the server's state of this long ago.
  milliseconds list_delay{0};
  std::deque<std::pair<TimePoint, BackendServer>> history;  ///< Oldest first.
};

/// Faults of the connection between the planner and the servers.
struct FleetFaults {
  double lost_answer_rate =
      0.0;  ///< That an order is carried out, but its answer is lost.
  double late_order_rate =
      0.0;  ///< That an order is carried out seconds later.
  /// Returns the delay of an order that gets no answer; nullopt for others.
  std::function<std::optional<milliseconds>(const GroupPlanner::Order&)>
      delay_order;
};

class FleetWorld {
 public:
  static constexpr milliseconds kStep{100};
  static constexpr milliseconds kEntryTtl{3'600};

  FleetWorld(int domains, int hosts_per_domain, std::uint64_t seed);

  /// Advances the clock by kStep: first the servers, then the planner.
  void Step();
  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kStep) Step();
  }

  void Kill(const std::string& id);
  /// Partitions the servers of a domain from the planner and the registry;
  /// their entries lapse.
  void PartitionDomain(const std::string& domain);
  /// Ends a partition. Heads return to the list last.
  void EndPartition(const std::string& domain);
  /// Prevents a server from renewing its entry. The list shows its last state
  /// until the entry lapses.
  void CutFromRegistry(const std::string& id, milliseconds duration);
  /// Returns the servers that the registry lists now.
  std::map<std::string, BackendServer> List() const;
  /// Replaces the planner, as when another daemon acquires the lease.
  void ReplacePlanner();
  /// Starts a new term of the same planner, as when its daemon loses the lease
  /// and acquires it again.
  void ResetPlanner();
  void AddServer(const std::string& domain);

  /// Counts serving groups of a model whose members are all alive.
  int ServingGroups(const std::string& model) const;
  std::string HeadOf(const std::string& model) const;

  std::map<std::string, FakeServer> servers;
  FleetConfiguration configuration;
  FleetFaults faults;
  std::set<std::string> failed;  ///< As passed to the planner.
  std::vector<std::string> violations;
  int loads = 0;
  int rejections = 0;  ///< Of orders that were not delayed.
  int orders = 0;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  GroupPlanner planner;

 private:
  struct DelayedOrder {
    TimePoint at;
    std::string host;
    GroupOrder order;
  };

  void AdvanceServer(FakeServer* server);
  /// Breaks a head that has stood still for too long.
  void AdvanceStall(FakeServer* head) const;
  /// Whether the server reports that it is busy.
  static bool IsCarryingOutOrder(const FakeServer& server);
  bool IsHeadServing(const FakeServer& head) const;
  /// Records the server's current state for a delayed list.
  void RecordHistory(FakeServer* server) const;
  /// Makes the members of a group report at the next step, as FleetControl
  /// does.
  void RequestReports(const std::string& group);
  void Deliver(const GroupPlanner::Order& planned);
  void Join(FakeServer* server, const GroupOrder& order,
            const EngineModel& model);
  OrderResult Accept(const std::string& host, const GroupOrder& order);
  /// Carries out an order that expects the server's count, if it fits the
  /// server's state.
  /// @param model The order's model; null for orders without one.
  OrderResult CarryOut(FakeServer* server, const GroupOrder& order,
                       const EngineModel* model);
  void CheckJoin(const FakeServer& server, const GroupOrder& order);
  void CheckLeave(const FakeServer& server, const GroupOrder& order);
  void CheckOpen(const FakeServer& head);
  bool Listed(const FakeServer& server) const;
  bool HeadServes(const FakeServer& member) const;

  std::mt19937_64 m_random;
  std::vector<DelayedOrder> m_delayed_orders;
  int m_next_id = 0;
  std::uint64_t m_term = 0;  ///< Of the planner.
};

}  // namespace clementine::testing

#endif  // TESTING_FLEET_WORLD_H_
