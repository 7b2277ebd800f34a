// Backend servers that take group orders, on a virtual clock, with an oracle
// for what must never happen. For tests of the group planner.
#ifndef TESTING_FLEET_WORLD_H_
#define TESTING_FLEET_WORLD_H_

#include <deque>
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

/// A server's life: what it has accepted and what is in progress.
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
  TimePoint died;
  /// Cut off from the planner and the registry, but alive among its peers.
  bool cut = false;
  TimePoint unlisted_at;  ///< When its entry lapses.
  TimePoint listed_at;    ///< When its entry is back after a cut.
  bool hidden = false;    ///< Not in the registry, but takes orders.
  /// What the list shows instead of its state, as after an outage.
  std::optional<GroupMemberState> shown;
  bool refuses = false;  ///< While cut, it refuses connections.
  TimePoint reported;    ///< When the planner last had its report.
  /// The list shows what the server was this long ago.
  milliseconds list_delay{0};
  std::deque<std::pair<TimePoint, BackendServer>> past;  ///< Oldest first.
};

/// Faults of the way between the planner and the servers.
struct FleetFaults {
  double lost_answer =
      0.0;                  ///< Part of orders that are carried out unanswered.
  double late_order = 0.0;  ///< Part that is carried out seconds later.
};

class FleetWorld {
 public:
  static constexpr milliseconds kStep{100};
  static constexpr milliseconds kEntryLife{3'600};

  FleetWorld(int domains, int hosts_per_domain, std::uint64_t seed);

  /// Advances one step: servers progress, then the planner plans.
  void Step();
  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kStep) Step();
  }

  void Kill(const std::string& id);
  /// Cuts off the servers of a domain; their entries lapse.
  void Cut(const std::string& domain);
  /// Ends a cut. Heads are back in the list last.
  void Heal(const std::string& domain);
  /// What the registry lists now.
  std::map<std::string, BackendServer> List() const;
  /// Replaces the planner, as when another daemon takes over the lease.
  void ReplacePlanner();
  void AddServer(const std::string& domain);

  /// Heads that serve, of groups whose members are all alive.
  int ServingGroups(const std::string& model) const;
  std::string HeadOf(const std::string& model) const;

  std::map<std::string, FakeServer> servers;
  FleetConfiguration configuration;
  FleetFaults faults;
  std::set<std::string> failed;  ///< As told to the planner.
  std::vector<std::string> violations;
  int loads = 0;
  int orders = 0;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  GroupPlanner planner;

 private:
  struct Late {
    TimePoint at;
    std::string host;
    GroupOrder order;
  };

  void Progress(FakeServer* server);
  /// Keeps what the server is now, for a list that is late.
  void Remember(FakeServer* server) const;
  /// As FleetControl: the members of a group report at the next step.
  void AskGroupNow(const std::string& group);
  void Deliver(const GroupPlanner::Order& planned);
  void Join(FakeServer* server, const GroupOrder& order,
            const EngineModel& model);
  OrderResult Accept(const std::string& host, const GroupOrder& order);
  void CheckJoin(const FakeServer& server, const GroupOrder& order);
  void CheckOpen(const FakeServer& head);
  bool Listed(const FakeServer& server) const;
  bool HeadServes(const FakeServer& member) const;

  std::mt19937_64 m_random;
  std::vector<Late> m_late;
  int m_next_id = 0;
  std::uint64_t m_term = 0;  ///< Of the planner.
};

}  // namespace clementine::testing

#endif  // TESTING_FLEET_WORLD_H_
