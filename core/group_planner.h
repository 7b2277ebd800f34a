// Forms, opens, closes and repairs the groups of hosts that serve models.
//
// The planner persists no state. Group names contain the model, and everything
// else is read from what the backend servers report, so a new planner adopts
// the groups that exist.
#ifndef CORE_GROUP_PLANNER_H_
#define CORE_GROUP_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/demand.h"
#include "core/fleet.h"
#include "core/group_allocation.h"
#include "core/in_doubt_orders.h"

namespace clementine {

/// A group as its members report it.
struct ReportedGroup {
  std::string name;
  std::uint64_t epoch = 0;
  std::string model;  ///< From the group's name; empty if it has no model part.
  std::vector<const BackendServer*> members;  ///< By rank; gaps are null.
};

/// Returns the name of a group: "<model>.<number>".
std::string GroupName(const std::string& model, std::uint64_t number);
/// Returns the model in a group's name; empty if the name does not have the
/// form of GroupName.
std::string GroupModel(const std::string& group);

/// Collects the groups that the members of a service report, by name and epoch.
/// Members that report different epochs of one name are in different groups.
std::map<std::pair<std::string, std::uint64_t>, ReportedGroup> CollectGroups(
    const std::map<std::string, BackendServer>& servers,
    const std::string& service);

/// Whether the group has exactly this number of members, none missing or
/// broken.
bool IsComplete(const ReportedGroup& group, int hosts);

/// Invariants:
/// - A host is ordered to join another group only if no head that may be
///   serving depends on it.
/// - A head is opened only after every member was seen ready under its group's
///   name and epoch.
/// - Loads of weights start below the permitted rate.
class GroupPlanner {
 public:
  using Servers = std::map<std::string, BackendServer>;

  struct Order {
    std::string host;
    std::string address;
    GroupOrder order;
  };

  /// @param servers All listed servers.
  /// @param failed  Ids of hosts that do not answer probes.
  /// @return Orders to send now.
  std::vector<Order> Plan(const FleetConfiguration& configuration,
                          const Servers& servers,
                          const std::set<std::string>& failed, TimePoint now);

  /// Records which heads serve. Every daemon calls this, so a daemon that
  /// becomes the planner knows the heads that left the list before.
  void RecordServingHeads(const FleetConfiguration& configuration,
                          const Servers& servers, TimePoint now);

  /// Handles the answer to an order that Plan returned.
  void OnOrderAnswered(const std::string& host, const GroupOrder& order,
                       OrderResult result, TimePoint now);

  /// Handles a host's own report, which contains the number of orders that it
  /// has accepted in this incarnation and whether it is carrying one out.
  void OnReport(const std::string& host, const BackendServer& report,
                TimePoint now);
  /// Whether the host's order count is known and its last report shows no order
  /// of an earlier planner in progress. If not, the host can be sent no order
  /// until it reports. Orders of this planner that are outstanding and the
  /// backoff after a rejection are not considered.
  bool IsOrderCountKnown(const BackendServer& host) const;
  /// Whether an order to a host has been outstanding for longer than the list
  /// usually takes to show its effect, so that the host's own report is needed.
  bool NeedsReport(const BackendServer& host, TimePoint now) const;

  /// An order whose effect was never seen. Its host can take other orders.
  struct AbandonedOrder {
    std::string host;
    GroupOrder order;
    milliseconds age{0};
    bool accepted = false;
  };
  /// Returns the orders that were abandoned since the last call.
  std::vector<AbandonedOrder> TakeAbandonedOrders() {
    return std::exchange(m_abandoned, {});
  }

  /// Totals over all terms of this daemon as the planner.
  struct OrderStats {
    std::uint64_t observed_effects = 0;  ///< Orders whose effect was listed.
    milliseconds total_effect_delay{0};  ///< From sending until then, summed.
    milliseconds max_effect_delay{0};
    std::uint64_t abandoned = 0;
  };
  const OrderStats& order_stats() const { return m_order_stats; }

  /// Numbers of a model's groups: needed, planned and existing.
  struct ModelGroups {
    double busy_groups = 0.0;  ///< Groups that the model's callers keep busy.
    int target_groups = 0;     ///< Groups that the allocation aims for.
    int active_groups = 0;     ///< Groups that serve or are being formed.
  };
  /// By "service/model", as of the last call of Plan.
  const std::map<std::string, ModelGroups>& model_groups() const {
    return m_model_groups;
  }

  /// Sets the measured demand by "service/model". Until it is set, the
  /// allocation uses the models' expected shares of the work.
  void SetDemand(const DemandByModel& demand) { m_demand = demand; }

  /// Sets whether a server's removal from the list means that the server has
  /// left, see ServerList::is_settled. For some time after an outage of the
  /// platform, a removed server may only have begun to leave.
  void SetListSettled(bool settled) { m_list_settled = settled; }

  /// Sets the data centres that are evacuated. Their hosts get no join, open or
  /// stage order and do not count as capacity. Their groups are not closed.
  void SetEvacuated(std::set<std::string> data_centres) {
    m_evacuated = std::move(data_centres);
  }

  /// Sets whether surplus groups are kept, because an evacuation was recently
  /// taken back.
  void SetSurplusHeld(bool held) { m_surplus_held = held; }

  /// Sets whether loads of weights are free of cost and limits. They are when
  /// the whole system starts for the first time, until the first request:
  /// hosts that load weights then withhold no capacity from requests.
  void SetFreeLoads(bool free_loads) { m_free_loads = free_loads; }

  /// Starts a term: discards outstanding orders, the groups that this planner
  /// was forming and what is known about the hosts' order counts. Keeps the
  /// heads that may be serving, orphaned groups and the allocation. Called when
  /// this daemon becomes the planner with a new tenure of the lease.
  /// @param term The lease's fencing token, which increases with each planner.
  ///     Epochs of different terms differ, so two planners that cannot see each
  ///     other's groups, for example while data centres are partitioned, never
  ///     use the same name and epoch.
  void Reset(std::uint64_t term);

  /// Greater than the number of epochs that a planner uses in one term. Terms
  /// below 2^33 keep epochs below 2^53, the limit up to which every JSON
  /// library preserves integers.
  static constexpr std::uint64_t kEpochsPerTerm = std::uint64_t{1} << 20;

 private:
  using GroupKey = std::pair<std::string, std::uint64_t>;
  static constexpr milliseconds kMaxOrderDelay = InDoubtOrders::kMaxOrderDelay;
  /// Maximum interval between consecutive registrations of one domain's hosts
  /// at the first start. All are taken to have registered when their number has
  /// not increased for this time.
  static constexpr milliseconds kRegistrationWindow{1'200};
  /// A model must have had surplus groups for this long before their hosts
  /// change to another model, so hosts that join or leave together do not
  /// trigger a change.
  static constexpr milliseconds kMinSurplusDuration{3'000};
  /// Initial value of the averaged loss rate: one host in 170 per second. It
  /// decays as losses are measured.
  static constexpr double kInitialLossRate = 0.006;
  using Hosts = std::vector<const BackendServer*>;

  /// Maximum number of unanswered orders, so that handling their answers does
  /// not delay the planner's loop. A single group may exceed it.
  static constexpr std::size_t kMaxUnansweredOrders = 128;

  /// The last order to a host, kept until its effect is seen. The list's delay
  /// grows with the number of changing hosts, so a missing effect in the list
  /// proves nothing: an accepted order is abandoned only if the host's own
  /// report contradicts it. A stage order is kept only until it is accepted.
  /// Close orders to heads that left the list or do not answer are not kept
  /// here, see OrphanedGroup and UnresponsiveHead.
  struct SentOrder {
    GroupOrder order;
    std::int64_t incarnation = 0;
    TimePoint sent_at;
    bool accepted = false;
    TimePoint accepted_at;  ///< Arrival of the answer or report that shows it.
  };
  /// Orders that one incarnation of a host has accepted, and its last report.
  struct HostRecord {
    std::int64_t incarnation = 0;
    bool order_count_known = false;
    bool busy = false;  ///< With an order of an earlier planner.
    std::uint64_t order_count = 0;
    TimePoint not_before;  ///< Backoff after a rejected order.
    /// Epoch of the group for which this head was last sent a close order that
    /// evicts the requests.
    std::uint64_t evicted_epoch = 0;
    /// Highest epoch of the groups that it left by an order.
    std::uint64_t left_epoch = 0;
    TimePoint reported_at;   ///< Arrival of the last report.
    GroupMembership member;  ///< As in that report, or of a later no-op join.
    std::string last_model;  ///< Of the group that it last joined or left.
  };
  /// A load from the weight store that a host was ordered to do.
  struct PendingLoad {
    std::string model;
    TimePoint deadline;
  };
  /// A group that this planner formed.
  struct FormingGroup {
    std::vector<std::string> members;  ///< Ids; the first is the head.
    bool open_sent = false;
  };
  /// A group whose head left the list while it may have been serving. Its
  /// members stay reserved until the head was closed or is considered gone.
  struct OrphanedGroup {
    BackendServer head;
    TimePoint missing_since;
    int unanswered_attempts = 0;
    TimePoint next_attempt_at;
    /// The head answered that it doesn't serve, but it may still be opened.
    bool may_be_opened = false;
    /// Whether the head's removal from the list is explained by its failure: it
    /// failed probes while it was listed, it was not leaving, and the list was
    /// settled. Set the first time that the planner handles this group.
    std::optional<bool> was_failing_when_listed;
    /// At some time since the head left, no member was reachable. The head's
    /// lack of response then proves nothing, and its entry may return.
    bool was_partitioned = false;
    /// When the members may join other groups; max() while this is unknown.
    TimePoint release_at = TimePoint::max();
  };
  /// A listed head that does not answer although it should be serving. A failed
  /// connection counts against the head only if a member reported before the
  /// attempt and again after it failed.
  struct UnresponsiveHead {
    std::string host;
    TimePoint last_failure_at;
    TimePoint next_attempt_at;  ///< Of the next close order.
    /// A member reported between the last two attempts.
    bool member_reported_before = false;
    bool last_attempt_unreachable = false;
    int confirmed_failures = 0;  ///< Failures between two member reports.
  };
  /// A domain at the time when it recently had the most hosts.
  struct RememberedDomain {
    DomainHosts domain;
    TimePoint recorded_at;
    TimePoint last_listed_at;  ///< When one of its hosts was last listed.
  };
  /// State of one service that is kept between passes.
  struct ServiceState {
    std::map<std::string, RememberedDomain> remembered_domains;  ///< By name.
    /// Hosts of a domain, and when their number last increased.
    std::map<std::string, std::pair<int, TimePoint>> growth;
    /// When a domain began to have surplus groups, by domain and model.
    std::map<std::pair<std::string, std::string>, TimePoint> surplus_since;
    std::set<std::string> present_hosts;  ///< Usable hosts at the last pass.
    /// Recent losses per host and second.
    double loss_rate = kInitialLossRate;
    TimePoint losses_counted_at;
    // The last allocation and its inputs.
    std::vector<DomainHosts> domains;
    bool free_loads = false;
    TimePoint allocated_at;
    std::vector<ModelNeed> needs;
    Allocation plans;
  };
  /// Working state of one call of Plan for one service.
  struct Pass {
    std::string service;
    const EngineSpec* engine = nullptr;
    ServiceState* state = nullptr;
    const Servers* servers = nullptr;
    const std::set<std::string>* failed = nullptr;
    const std::set<std::string>* evacuated = nullptr;  ///< Data centres.
    TimePoint now;
    std::set<std::string> reserved_hosts;  ///< No other group may take these.
    std::map<std::string, Hosts> free_hosts;  ///< By fabric domain.
    /// Groups that serve or are being formed, by domain and model.
    std::map<std::pair<std::string, std::string>, int> active_groups;
    std::set<std::string> hosts_in_active_groups;
    std::set<GroupKey> active_group_keys;
    /// Hosts that report a group in which they are not listed yet.
    std::map<GroupKey, int> expected_members;
    /// Groups that the allocation aims for, by domain and model.
    std::map<std::pair<std::string, std::string>, int> target_groups;
    /// The model whose weights spares should hold, by domain.
    std::map<std::string, const EngineModel*> spare_models;
    std::vector<Order> orders;

    /// Whether a host belongs to the service, answers, and is not leaving.
    bool IsUsable(const BackendServer& host) const;
    bool IsEvacuated(const BackendServer& host) const {
      return evacuated->count(host.data_centre) > 0;
    }
    /// Returns the target minus the active groups of a model in a domain;
    /// negative if there is a surplus.
    int MissingGroups(const std::string& domain,
                      const std::string& model) const;
  };
  /// A group that could be formed.
  struct Candidate {
    std::string domain;
    const EngineModel* model = nullptr;
    Hosts members;
    int loads = 0;
    double score = 0.0;
  };

  static bool IsServing(GroupMemberState state);
  bool MayBeServing(const BackendServer& head) const;
  /// Whether a member may still carry out an earlier planner's order that
  /// affects the group. Earlier planners do not know the groups that this one
  /// formed.
  bool MayCarryOutEarlierOrder(const ReportedGroup& group,
                               const BackendServer& member,
                               const Pass& pass) const;
  /// Whether an order to open the group may still be carried out.
  bool IsOpenInDoubt(const ReportedGroup& group, const Pass& pass) const;
  void RecordHeadless(const ReportedGroup& group, const Pass& pass);
  /// Maximum time from the join orders until all members are ready.
  static milliseconds JoinTimeout(const EngineModel& model);
  void PlanService(Pass* pass);
  void ResolveOrders(const Servers& servers, TimePoint now);
  /// Whether to stop waiting for an order's effect. The order may be lost or
  /// may still be carried out.
  bool HasTimedOut(const std::string& host, const SentOrder& sent,
                   TimePoint now) const;
  /// Whether a host reports a newer group than the list shows for it.
  bool IsAheadOfList(const BackendServer& host) const;
  /// Counts, by group, the hosts that report the group but are not yet listed
  /// in it.
  void CountExpectedMembers(Pass* pass) const;
  /// Whether every member of a group that this planner formed is listed in the
  /// group or has an outstanding order.
  bool IsForming(const GroupKey& group, const Pass& pass) const;
  void RecordEffect(const SentOrder& sent, TimePoint now);
  void RecordLeave(const std::string& host, const GroupOrder& order);
  /// Makes the head of a group leave it, so that it can't be opened any more.
  void DissolveGroup(const ReportedGroup& group, Pass* pass);
  void AbandonOrder(const std::string& host, const SentOrder& sent,
                    TimePoint now);
  void ResolveOrphanedGroups(Pass* pass);
  /// Handles the answer to an order to a head that left the list.
  /// @return Whether the order was sent to such a head.
  bool OnOrphanAnswered(const std::string& host, const GroupOrder& order,
                        OrderResult result, TimePoint now);
  bool HasReachableMember(const GroupKey& group, const Pass& pass) const;
  static bool HasGrown(const std::string& domain, milliseconds within,
                       const Pass& pass);
  static void RecordGrowth(const std::vector<DomainHosts>& domains, Pass* pass);
  void EvaluateGroup(const ReportedGroup& group, Pass* pass);
  void EvaluateFormingGroup(const ReportedGroup& group,
                            const EngineModel& model, Pass* pass);
  /// Returns the record of the host's current incarnation; null if none exists.
  const HostRecord* FindHostRecord(const BackendServer& host) const;
  static GroupOrder JoinOrder(const GroupKey& group, const std::string& model,
                              const Hosts& members);
  bool MayBreakUp(const ReportedGroup& group, const Pass& pass) const;
  /// @return Whether the members may join other groups now.
  bool ReleaseGroup(const ReportedGroup& group, Pass* pass);
  bool HeadMayReturn(const ReportedGroup& group, const Pass& pass) const;
  /// Counts the failure of the last close order if members reported before the
  /// attempt and again after it. Returns whether enough such failures prove
  /// that the unresponsive head is gone.
  bool HeadIsGone(const ReportedGroup& group);
  TimePoint LastMemberReport(const ReportedGroup& group) const;
  void CloseUnresponsiveHead(const ReportedGroup& group, Pass* pass);
  /// Prevents other groups from taking the members.
  static void ReserveMembers(const ReportedGroup& group, Pass* pass);
  /// Counts a group that serves or is expected to serve soon.
  static void CountActiveGroup(const ReportedGroup& group, Pass* pass);
  static void UpdateLossRate(Pass* pass);
  void CountUnlistedGroups(Pass* pass) const;
  void FindFreeHosts(Pass* pass);
  std::vector<ModelNeed> EstimateNeeds(int hosts, const Pass& pass) const;
  std::vector<DomainHosts> CollectDomains(const Pass& pass) const;
  static void AddAbsentDomains(std::vector<DomainHosts>* domains, Pass* pass);
  void UpdateAllocation(Pass* pass);
  void RecordModelGroups(const Pass& pass);
  static void RecordSurplus(Pass* pass);
  bool IsSurplusStable(const std::string& domain, const std::string& model,
                       const Pass& pass) const;
  void FormGroups(Pass* pass);
  /// Returns the best group that could be formed in a domain now.
  std::optional<Candidate> BestCandidate(const std::string& domain,
                                         const Hosts& free, bool may_load,
                                         const Pass& pass) const;
  Candidate EvaluateCandidate(const std::string& domain, const Hosts& free,
                              const EngineModel& model, const Pass& pass) const;
  void FormGroup(const Candidate& candidate, Pass* pass);
  void CloseSurplus(const std::map<GroupKey, ReportedGroup>& groups,
                    Pass* pass);
  bool IsReplaceable(const ReportedGroup& group, const Pass& pass) const;
  void StageModels(Pass* pass);
  int MissingStagedHosts(const std::string& domain, const EngineModel& model,
                         const Pass& pass) const;
  bool StageForGroups(const std::string& domain, const EngineModel& model,
                      Pass* pass);
  Hosts HostsToStage(const std::string& domain, const EngineModel& model,
                     const Pass& pass) const;
  bool StageSpares(const std::string& domain, const Hosts& free, Pass* pass);
  bool StageModel(const BackendServer& host, const EngineModel& model,
                  Pass* pass);
  /// Returns the model whose weights a host has or is loading; empty if none.
  const std::string& ModelOnHost(const BackendServer& host) const;
  void SendOrder(const BackendServer& host, GroupOrder order, Pass* pass);
  void StartLoad(const BackendServer& host, const EngineModel& model,
                 TimePoint now);

  /// Sends an order whenever it fits the host's group and epoch.
  void SendUncountedOrder(const BackendServer& host, GroupOrder order,
                          Pass* pass);

  static GroupOrder CloseOrder(const GroupKey& group, bool evict);
  static GroupOrder LeaveOrder(const GroupKey& group);
  static bool HasStaged(const BackendServer& host, const std::string& model);
  /// Returns the estimated time, in seconds, from a join order until the host
  /// has joined a group of the model. A running load of the model's weights is
  /// assumed to be half done.
  double JoinSeconds(const BackendServer& host, const EngineModel& model) const;
  void RecordAcceptedOrders(const std::string& host, std::int64_t incarnation,
                            std::uint64_t orders, TimePoint now);
  bool HasTakenEffect(const SentOrder& sent, const BackendServer& host) const;
  bool HasPendingOrder(const std::string& host) const {
    return m_sent_orders.count(host) > 0;
  }
  bool HasPendingOpen(const std::string& host) const;
  /// Adds the load tokens that have accrued since the last call, and returns
  /// whether a host may start a load now.
  bool MayStartLoad(const Pass& pass);
  /// Whether this number of further orders may be sent now.
  bool MaySendOrders(std::size_t orders) const;

  std::map<std::string, SentOrder> m_sent_orders;  ///< By host.
  InDoubtOrders m_in_doubt;
  /// Groups whose head has left them by this planner's order.
  std::set<GroupKey> m_dissolved_groups;
  std::vector<AbandonedOrder> m_abandoned;
  OrderStats m_order_stats;
  std::map<std::string, HostRecord> m_hosts;          ///< By host.
  std::map<std::string, PendingLoad> m_loads;         ///< By host.
  std::map<GroupKey, TimePoint> m_first_seen;         ///< By group.
  std::map<GroupKey, BackendServer> m_serving_heads;  ///< As last listed.
  std::map<GroupKey, OrphanedGroup> m_orphans;
  std::map<GroupKey, UnresponsiveHead> m_unresponsive_heads;
  /// Time since which a group is listed without its head while at least one of
  /// its members is reachable.
  std::map<GroupKey, TimePoint> m_headless_since;
  std::map<GroupKey, FormingGroup> m_forming;
  std::map<std::string, ServiceState> m_services;  ///< By service.
  std::set<GroupKey> m_retired_groups;  ///< Closed as surplus; not reopened.
  DemandByModel m_demand;
  std::map<std::string, ModelGroups> m_model_groups;  ///< See model_groups().
  std::uint64_t m_epoch = 0;  ///< Highest one seen or used.
  bool m_free_loads = false;
  bool m_list_settled = true;
  std::set<std::string> m_evacuated;  ///< Data centres.
  bool m_surplus_held = false;
  TimePoint m_term_started_at;  ///< Time of the first pass.
  /// Loads that may start now. All services share them, and each pass refills
  /// them at the rate of its service. With several services that have an engine
  /// the limit is therefore only approximate.
  double m_load_tokens = 0.0;
  TimePoint m_load_tokens_refilled_at;
};

}  // namespace clementine

#endif  // CORE_GROUP_PLANNER_H_
