// Control decisions of a daemon on a platform that has its own registry of
// backend servers: which groups may take requests, whether this daemon is the
// planner, and which orders the planner sends. Performs no I/O, as RequestPath
// and ControlPlane.
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

#include "core/cold_limit.h"
#include "core/evacuation.h"
#include "core/fleet.h"
#include "core/group_planner.h"
#include "core/in_doubt_orders.h"
#include "core/jitter.h"
#include "core/lease.h"
#include "core/node_directory.h"
#include "core/platform_calls.h"
#include "core/server_list.h"
#include "core/store_era.h"

namespace clementine {

// Events. ObjectReply, NodesListed, DrainStarted and Tick are events as well.
struct ServersListed {
  std::vector<BackendServer> servers;
};
struct ServersChanged {
  std::vector<ServerList::Change> changes;
};
/// The platform cannot be read. The list of servers may lack changes that were
/// made after `since`.
struct ServerListUnavailable {
  TimePoint since;
};
struct FleetConfigured {
  std::shared_ptr<const FleetConfiguration> configuration;
};
/// The data centres that are being evacuated now; replaces the previous set.
struct EvacuationsChanged {
  std::set<std::string> data_centres;
};
/// Result of a QueryServerStatus. `server` is the report of the backend server
/// about itself, or empty when the query failed.
struct ServerStatusResult {
  std::string host;
  std::optional<BackendServer> server;
};
struct OrderEnded {
  std::string host;
  GroupOrder order;
  OrderResult result = OrderResult::kUnknown;
  std::string detail;  ///< Written to the log.
};
/// A response of a backend server announces that the server is leaving.
struct ServerLeaving {
  std::string host;
  std::string source;  ///< Kind of response; written to the log.
};
/// A group has sent no data for longer than the allowed gap within a response.
struct GroupUnresponsive {
  std::string group;
  std::uint64_t epoch = 0;
};

/// Requests that callers have sent to this daemon since it started.
struct RequestsCounted {
  std::uint64_t total = 0;
  DemandCounts by_model;
};

using FleetEvent =
    std::variant<RequestsCounted, ServersListed, ServersChanged,
                 ServerListUnavailable, StoreEraSeen, FleetConfigured,
                 EvacuationsChanged, ServerStatusResult, ServerLeaving,
                 ServerBusy, OrderEnded, GroupUnresponsive, ObjectReply,
                 NodesListed, DrainStarted, Tick>;

// Actions. GroupsChanged, DaemonsChanged, ServerEnded, GetObject, PutObject,
// ListNodes and LogDecision are actions as well.
struct SendGroupOrder {
  std::string host;
  std::string address;
  GroupOrder order;
};
struct QueryServerStatus {
  std::string host;
  std::string address;
};

using FleetAction =
    std::variant<SendGroupOrder, QueryServerStatus, GroupsChanged,
                 DaemonsChanged, ServerEnded, GetObject, PutObject, ListNodes,
                 StoreEraSeen, LogDecision>;

struct FleetControlOptions {
  std::string node;
  std::string data_centre;
  std::string changes_address;  ///< See NodeDirectory::SetContact.
  double capacity = 1.0;        ///< See NodeDirectory::SetCapacity.
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 1;
  /// Long enough to survive two lost renewals. Short enough that after the loss
  /// of a host and of the planner, the wait for another planner is not longer
  /// than the time for which the group of that host is unavailable in any case
  /// while it is repaired.
  milliseconds lease_duration{2'000};
  milliseconds max_order_duration = InDoubtOrders::kMaxOrderTransit;
  /// True when the whole system starts for the first time and no request has
  /// run before. Loads of weights are free until the first request; see
  /// GroupPlanner::SetFreeLoads.
  bool first_start = false;
  /// Whether evacuations are read. No group is published before they are known.
  bool follow_evacuations = false;
  milliseconds departure_delay{0};  ///< See Evacuation.
  double cold_overshoot = 1.0;      ///< See ColdLimit.
  double cold_tolerance = 0.0;
  milliseconds list_delay{0};
};

/// Invariant: an order is sent only if this daemon's lease remains valid until
/// the order ends.
class FleetControl {
 public:
  explicit FleetControl(FleetControlOptions options);
  FleetControl(const FleetControl&) = delete;
  FleetControl& operator=(const FleetControl&) = delete;

  /// @param now Time of a clock that also advances while the machine is
  ///     suspended.
  std::vector<FleetAction> Handle(const FleetEvent& event, TimePoint now);

  bool holds_lease() const { return m_lease.IsHolder(); }
  /// Whether this daemon is the planner or one of the standbys, which take over
  /// the lease first.
  bool is_planner_or_standby() const {
    return m_lease.IsHolder() || m_nodes.Rank() < NodeDirectory::kStandbys;
  }
  const ChangeRoles& change_roles() const { return m_nodes.change_roles(); }
  /// Addresses at which the other live daemons relay changes and accept notices
  /// of crash marks.
  std::vector<std::string> daemon_addresses() const {
    return m_nodes.addresses();
  }
  /// See Evacuation::known_data_centres.
  std::map<std::string, Evacuation::Phase> evacuations() const {
    return m_evacuation.known_data_centres();
  }
  /// Number of published groups whose head is cold.
  std::size_t cold_groups() const { return m_cold_hosts.size(); }
  std::uint64_t store_era() const { return m_store_era.highest(); }
  bool servers_known() const { return m_list.known(); }
  /// Number of groups and plain hosts that accept requests.
  std::size_t open_groups() const { return m_open_groups; }
  /// Number of groups that accept requests, by "service/model". Plain hosts are
  /// not counted.
  std::map<std::string, int> OpenGroupsByModel() const;
  int live_nodes() const { return m_nodes.live(); }
  const GroupPlanner::OrderStats& order_stats() const {
    return m_planner.order_stats();
  }

 private:
  using Actions = std::vector<FleetAction>;
  /// State of the status queries to one host.
  struct StatusQuery {
    TimePoint next_at;
    TimePoint sent_at;
    bool outstanding = false;
    int failures = 0;
    TimePoint busy_until;  ///< The host asked for no calls before this time.
  };
  struct Suspicion {
    std::uint64_t epoch = 0;
    TimePoint until;
  };

  void On(const RequestsCounted& event);
  void On(const ServersListed& event);
  void On(const ServersChanged& event);
  void On(const ServerListUnavailable& event);
  void On(const StoreEraSeen& event);
  void On(const FleetConfigured& event);
  void On(const EvacuationsChanged& event);
  void On(const ServerStatusResult& event);
  void On(const ServerLeaving& event);
  void On(const ServerBusy& event);
  void On(const OrderEnded& event);
  void On(const GroupUnresponsive& event);
  void On(const ObjectReply& event);
  void On(const NodesListed& event);
  void On(const DrainStarted& event);
  void On(const Tick& event);

  /// Records the era of an answer of the platform's store.
  /// @return Whether the answer may be used; false if its era is older.
  bool ObserveEra(std::optional<std::uint64_t> era);
  /// Reports the fence of the planner that chose a group's epoch to the lease.
  void NoteEpoch(const GroupMembership& member);
  void LogChanges(const std::vector<ServerList::Change>& changes);
  void LogLapsedServers();
  /// Reports servers that have ended according to the latest list or changes.
  void ReportEndedServers();
  void ReportDaemons();
  /// Sets the delay before this daemon takes over a lapsed lease and the delay
  /// between its reads of the lease, according to its rank among the live
  /// daemons.
  void SetLeaseDelays();
  void AdvanceLease();
  void SetPlanning(bool planning);
  void ForgetQueryResults();
  void QueryMembers();
  /// Whether a status query to a host is due. Starts the query schedule of a
  /// host that is new.
  bool IsQueryDue(const BackendServer& server);
  /// Makes status queries to the members of a group due at once.
  void QueryGroupNow(const GroupMembership& group);
  void SendPlannedOrders();
  void LogAllocation();
  void PublishGroups();
  void AddEngineGroups(const FleetService& service,
                       std::vector<GroupView>* groups) const;
  void AddPlainHosts(const FleetService& service,
                     std::vector<GroupView>* groups) const;
  void AdvanceEvacuations();
  void ReportEvacuations(const std::vector<Evacuation::Change>& changes);
  void ApplyEvacuation(GroupView* view) const;
  /// Whether everything has been read that publishing groups and planning
  /// depend on.
  bool AreInputsKnown() const;
  void PassEvacuationsToPlanner();
  /// @return The service of a server if it limits requests to cold servers.
  const FleetService* FindColdService(const BackendServer& server) const;
  /// @param is_change See ColdLimit::Source.
  void ObserveServer(const BackendServer& server, bool is_change,
                     bool is_stale);
  void ApplyColdLimit(GroupView* view) const;
  /// Records and reports the cold groups that are about to be published.
  void RecordColdGroups(const std::vector<GroupView>& groups);
  void AdvanceColdServers();
  bool IsSuspected(const std::string& group, std::uint64_t epoch) const;
  void AppendActions(std::vector<ControlAction> actions);
  void Log(const char* event,
           std::vector<std::pair<std::string, std::string>> fields);

  FleetControlOptions m_options;
  Jitter m_jitter;
  PlatformCalls m_calls;
  Lease m_lease;
  StoreEra m_store_era;
  NodeDirectory m_nodes;
  ServerList m_list;
  GroupPlanner m_planner;
  std::shared_ptr<const FleetConfiguration> m_configuration;
  Evacuation m_evacuation;
  ColdLimit m_cold;
  std::set<std::string> m_cold_hosts;  ///< Cold heads of published groups.
  TimePoint m_next_cold_end = TimePoint::max();
  std::chrono::system_clock::time_point m_wall;  ///< At the last tick.
  /// By host; used by the planner only.
  std::map<std::string, StatusQuery> m_queries;
  std::string m_last_queried_host;  ///< The next pass starts after this host.
  /// Hosts that do not answer status queries.
  std::set<std::string> m_failed_hosts;
  std::map<std::string, Suspicion> m_suspicions;
  std::vector<GroupView> m_published_groups;
  std::size_t m_open_groups = 0;
  /// Target and active groups by model, as last logged.
  std::map<std::string, std::pair<int, int>> m_logged_allocation;
  bool m_groups_dirty = false;  ///< Groups need to be recomputed.
  /// Whether the last log entry about lapsed members reported at least
  /// kMinLapsedToLog of them.
  bool m_logged_many_lapsed = false;
  bool m_stopping = false;
  /// This daemon could send orders in the last planning pass.
  bool m_planning = false;
  /// Last planning pass in which this daemon could send orders.
  TimePoint m_last_active_at;
  /// Tenure of the lease in which the planner's state was collected.
  std::uint64_t m_known_tenure = 0;
  std::size_t m_orders_running = 0;
  DaemonsChanged m_reported_daemons{0, 0.0};  ///< As last published.
  /// Last planning pass, whether or not this daemon could send orders.
  TimePoint m_last_pass_at;
  TimePoint m_last_tick_at;
  TimePoint m_last_pause_end;  ///< End of the last pause of this process.

  // Valid while an event is being handled.
  TimePoint m_now;
  Actions m_actions;
};

}  // namespace clementine

#endif  // CORE_FLEET_CONTROL_H_
