// What a daemon on a platform with its own registry of backend servers decides
// besides requests: which groups may be used, whether this daemon is the
// planner, and what it orders. A pure facade, as RequestPath and ControlPlane.
#ifndef CORE_FLEET_CONTROL_H_
#define CORE_FLEET_CONTROL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/fleet.h"
#include "core/group_planner.h"
#include "core/jitter.h"
#include "core/lease.h"
#include "core/node_directory.h"
#include "core/platform_calls.h"
#include "core/server_list.h"

namespace clementine {

// Events (also ObjectReply, NodesListed, DrainStarted and Tick).
struct ServersListed {
  std::vector<BackendServer> servers;
};
struct ServersChanged {
  std::vector<ServerList::Change> changes;
};
/// The list of servers may lack changes.
struct ServersUnreachable {
  TimePoint since;
};
struct FleetConfigured {
  std::shared_ptr<const FleetConfiguration> configuration;
};
/// A backend server's answer about itself; empty when it didn't answer.
struct ServerAnswered {
  std::string host;
  std::optional<BackendServer> server;
};
struct OrderEnded {
  std::string host;
  GroupOrder order;
  OrderResult result = OrderResult::kUnknown;
  std::string detail;  ///< For the log.
};
/// An answer of a backend server says that it's leaving.
struct ServerLeaving {
  std::string host;
  std::string source;  ///< Of the answer; for the log.
};
/// Nothing came from a group for longer than its answers may pause.
struct GroupSilent {
  std::string group;
  std::uint64_t epoch = 0;
};

/// Callers' requests of this daemon's life so far.
struct RequestsCounted {
  std::uint64_t total = 0;
  DemandCounts by_model;
};

using FleetEvent =
    std::variant<RequestsCounted, ServersListed, ServersChanged,
                 ServersUnreachable, FleetConfigured, ServerAnswered,
                 ServerLeaving, ServerBusy, OrderEnded, GroupSilent,
                 ObjectReply, NodesListed, DrainStarted, Tick>;

// Actions (also GroupsChanged, DaemonsChanged, ServerEnded, GetObject,
// PutObject, ListNodes and LogDecision).
struct SendGroupOrder {
  std::string host;
  std::string address;
  GroupOrder order;
};
struct AskServer {
  std::string host;
  std::string address;
};

using FleetAction =
    std::variant<SendGroupOrder, AskServer, GroupsChanged, DaemonsChanged,
                 ServerEnded, GetObject, PutObject, ListNodes, LogDecision>;

struct FleetControlOptions {
  std::string node;
  std::string data_centre;
  std::string changes;    ///< As in NodeDirectory::SetContact.
  double capacity = 1.0;  ///< As NodeDirectory::SetCapacity.
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 1;
  /// Long enough for two lost renewals, short enough that a lost host isn't
  /// left without a planner for longer than its group is missed.
  milliseconds lease_duration{2'000};
  milliseconds longest_order{500};
  /// The whole system starts for the first time, so no request ran before.
  bool first_start = false;
};

/// Invariant: orders go out only while this daemon's lease outlasts them.
class FleetControl {
 public:
  explicit FleetControl(FleetControlOptions options);
  FleetControl(const FleetControl&) = delete;
  FleetControl& operator=(const FleetControl&) = delete;

  /// @param now Counts also while the machine is suspended.
  std::vector<FleetAction> Handle(const FleetEvent& event, TimePoint now);

  bool holds_lease() const { return m_lease.IsHolder(); }
  /// Whether this daemon plans, or is among the first to take over.
  bool plans_or_stands_by() const {
    return m_lease.IsHolder() || m_nodes.Rank() < NodeDirectory::kStandbys;
  }
  const ChangeRoles& change_roles() const { return m_nodes.change_roles(); }
  /// Addresses at which the other live daemons take notices.
  std::vector<std::string> daemon_addresses() const {
    return m_nodes.addresses();
  }
  bool servers_known() const { return m_list.known(); }
  std::size_t open_groups() const { return m_open_groups; }
  /// Groups that take requests, by "service/model"; plain hosts aren't counted.
  std::map<std::string, int> OpenGroupsByModel() const;
  int live_nodes() const { return m_nodes.live(); }
  const GroupPlanner::OrderStats& order_stats() const {
    return m_planner.order_stats();
  }

 private:
  using Actions = std::vector<FleetAction>;
  /// What is known of a member host by asking it.
  struct Asked {
    TimePoint next;
    TimePoint sent;
    bool waiting = false;
    int failures = 0;
    TimePoint busy_until;  ///< It wants no questions before.
  };
  struct Suspicion {
    std::uint64_t epoch = 0;
    TimePoint until;
  };

  void On(const RequestsCounted& event);
  void On(const ServersListed& event);
  void On(const ServersChanged& event);
  void On(const ServersUnreachable& event);
  void On(const FleetConfigured& event);
  void On(const ServerAnswered& event);
  void On(const ServerLeaving& event);
  void On(const ServerBusy& event);
  void On(const OrderEnded& event);
  void On(const GroupSilent& event);
  void On(const ObjectReply& event);
  void On(const NodesListed& event);
  void On(const DrainStarted& event);
  void On(const Tick& event);

  void LogChanges(const std::vector<ServerList::Change>& changes);
  void LogKept();
  /// Tells which servers have ended, by what was just listed.
  void TellEnded();
  void TellDaemons();
  /// How soon this daemon would take over, by its place in the order.
  void SetReserve();
  void AdvanceLease();
  void SetPlanning(bool planning);
  void Forget();
  void AskMembers();
  /// Whether a host is to be asked now; begins its turns if it's new.
  bool IsDue(const BackendServer& server);
  /// Asks the members of a group without waiting for their turn.
  void AskGroupNow(const GroupMembership& group);
  void PlanOrders();
  void LogShares();
  void PublishGroups();
  void AddEngineGroups(const FleetService& service,
                       std::vector<GroupView>* groups) const;
  void AddPlainHosts(const FleetService& service,
                     std::vector<GroupView>* groups) const;
  bool Suspected(const std::string& group, std::uint64_t epoch) const;
  void Take(std::vector<ControlAction> actions);
  void Log(const char* event,
           std::vector<std::pair<std::string, std::string>> fields);

  FleetControlOptions m_options;
  Jitter m_jitter;
  PlatformCalls m_calls;
  Lease m_lease;
  NodeDirectory m_nodes;
  ServerList m_list;
  GroupPlanner m_planner;
  std::shared_ptr<const FleetConfiguration> m_configuration;
  std::map<std::string, Asked> m_asked;  ///< By host; planner only.
  std::string m_last_asked;              ///< Where the next turn goes on.
  std::set<std::string> m_failed;        ///< Hosts that don't answer.
  std::map<std::string, Suspicion> m_suspected;
  std::vector<GroupView> m_published;
  std::size_t m_open_groups = 0;
  /// Groups wanted and standing by model, as last logged.
  std::map<std::string, std::pair<int, int>> m_logged_shares;
  bool m_changed = false;  ///< Something that groups depend on.
  bool m_many_kept = false;
  bool m_stopping = false;
  bool m_planning = false;  ///< Could order at the last pass.
  TimePoint m_last_planning;
  /// The lease's tenure to which the planner's knowledge belongs.
  std::uint64_t m_tenure = 0;
  std::size_t m_orders_running = 0;
  DaemonsChanged m_daemons{0, 0.0};  ///< As last told to the request path.
  TimePoint m_planned;
  TimePoint m_ticked;     ///< Last tick.
  TimePoint m_paused_at;  ///< End of this daemon's last pause.

  // Of the event being handled.
  TimePoint m_now;
  Actions m_actions;
};

}  // namespace clementine

#endif  // CORE_FLEET_CONTROL_H_
