// Forms, opens, closes and repairs the groups of hosts that serve models.
//
// The planner keeps no state that must outlive it: group names carry the model,
// and everything else is read from what the backend servers say of themselves,
// so that a successor adopts the groups that it finds.
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

namespace clementine {

/// A group as its members report it.
struct ReportedGroup {
  std::string name;
  std::uint64_t epoch = 0;
  std::string model;  ///< From the group's name; empty when foreign.
  std::vector<const BackendServer*> members;  ///< By rank; gaps are null.
};

/// Name of a group: "<model>.<number>".
std::string GroupName(const std::string& model, std::uint64_t number);
/// The model that a group's name tells; empty when the name isn't ours.
std::string GroupModel(const std::string& group);

/// Collects the groups that the members of a service report, by name and epoch.
/// Membership of another life or an older epoch makes a group of its own.
std::map<std::pair<std::string, std::uint64_t>, ReportedGroup> CollectGroups(
    const std::map<std::string, BackendServer>& servers,
    const std::string& service);

/// Hosts that this group's model needs are all there and stay.
bool IsWhole(const ReportedGroup& group, int hosts);

/// Invariants: a host is ordered to join another group only if no head that
/// may be serving counts on it; a head is opened only after every member was
/// seen ready under that name and epoch; loads that begin stay below the rate.
class GroupPlanner {
 public:
  using Servers = std::map<std::string, BackendServer>;

  struct Order {
    std::string host;
    std::string address;
    GroupOrder order;
  };

  /// @param servers All listed servers.
  /// @param failed  Hosts that don't answer, by id.
  /// @return Orders to send now.
  std::vector<Order> Plan(const FleetConfiguration& configuration,
                          const Servers& servers,
                          const std::set<std::string>& failed, TimePoint now);

  /// Remembers which heads serve, so that a daemon that becomes the planner
  /// knows those that left the list before. Called by every daemon.
  void Observe(const FleetConfiguration& configuration, const Servers& servers,
               TimePoint now);

  /// The answer to an order of Plan.
  void Answered(const std::string& host, const GroupOrder& order,
                OrderResult result, TimePoint now);

  /// A host's own report: the orders that it has accepted in this life, and
  /// whether it is carrying one out.
  void Reported(const std::string& host, const BackendServer& report,
                TimePoint now);
  /// Whether a host can be sent an order. If not, its report is needed first.
  bool Counted(const BackendServer& host) const;
  /// Whether an order to a host has neither shown its effect in the list nor
  /// failed for so long that the host's own report has to tell.
  bool NeedsReport(const BackendServer& host, TimePoint now) const;

  /// An order whose effect was never seen: its host is free for other orders.
  struct Abandoned {
    std::string host;
    GroupOrder order;
    milliseconds age{0};
    bool accepted = false;
  };
  /// Orders that were abandoned since the last call.
  std::vector<Abandoned> TakeAbandoned() {
    return std::exchange(m_abandoned, {});
  }

  /// Of this daemon's time as the planner.
  struct OrderStats {
    std::uint64_t effects = 0;    ///< Orders whose effect the list has shown.
    milliseconds effect_time{0};  ///< From sending to that, of all of them.
    milliseconds longest_effect{0};
    std::uint64_t abandoned = 0;
  };
  const OrderStats& order_stats() const { return m_order_stats; }

  /// How the hosts are shared out to a model.
  struct ModelShare {
    double busy_groups = 0.0;  ///< Groups that its callers keep busy.
    int wanted = 0;            ///< Groups that should stand.
    int standing = 0;          ///< Groups that stand or form.
  };
  /// By "service/model", as of the last call of Plan.
  const std::map<std::string, ModelShare>& shares() const { return m_shares; }

  /// What callers ask, by "service/model". Until it's known, groups are shared
  /// out by the models' expected parts of the work.
  void SetDemand(const DemandByModel& demand) { m_demand = demand; }

  /// Whether the list shows when a server begins to leave. After an outage of
  /// the platform it doesn't for some time.
  void SetListSettled(bool settled) { m_list_settled = settled; }

  /// Whether loads are still cheap and uncounted, as before the first request.
  void SetFreeLoads(bool free_loads) { m_free_loads = free_loads; }

  /// Forgets everything that was sent; used when the lease was lost or won.
  /// @param term Rises with each planner. Epochs of different terms differ, so
  ///     that planners that can't see each other's groups, as in a cut between
  ///     data centres, never give two groups the same name and epoch.
  void Reset(std::uint64_t term);

 private:
  using GroupKey = std::pair<std::string, std::uint64_t>;
  /// An order that was lost may be carried out this late.
  static constexpr milliseconds kLateOrder{12'000};
  /// The list shows by then what a lost order has done.
  static constexpr milliseconds kLateOrderShows{13'000};
  /// Hosts of one domain register within this time of each other.
  static constexpr milliseconds kWaitForHosts{1'200};
  /// Hosts change over to another model when there were too many of theirs for
  /// so long, so that hosts that come or leave together don't start it.
  static constexpr milliseconds kSettleTime{3'000};
  /// One host in 170 is lost each second, until losses were counted.
  static constexpr double kExpectedLossRate = 0.006;
  using Hosts = std::vector<const BackendServer*>;

  /// Orders without an answer at a time, so that their answers don't hold up
  /// the planner's loop. One group may have more members.
  static constexpr std::size_t kMostUnanswered = 128;

  /// The last order to a host, until its effect was seen. The list may be late
  /// by more the more hosts change, so its silence proves nothing: an accepted
  /// order is abandoned only when the host's own report contradicts it.
  struct Sent {
    GroupOrder order;
    std::int64_t born = 0;
    TimePoint at;
    bool accepted = false;
    TimePoint accepted_at;
    bool again = false;  ///< A join of the group that the host is in already.
  };
  /// Orders that a host of one life has accepted.
  struct Count {
    std::int64_t born = 0;
    bool known = false;
    bool busy = false;  ///< With an order of an earlier planner.
    std::uint64_t orders = 0;
    TimePoint not_before;  ///< Pause after a rejected order.
    /// When it last accepted an order of this planner. From then on none of an
    /// earlier planner that is still on its way is carried out, since their
    /// counts are passed.
    std::optional<TimePoint> fenced_at;
    /// The last join without an answer: the count that it expects, and until
    /// when it may still be carried out.
    std::uint64_t pending_join_count = 0;
    TimePoint pending_join_until;
    std::uint64_t evicted = 0;  ///< Epoch of the group that it was to evict.
    TimePoint reported;         ///< When its last report came.
    GroupMembership member;     ///< As in that report.
    std::string last_model;     ///< Of its last group in this life.
  };
  /// A load from the weight store that a host was ordered to make.
  struct Load {
    std::string model;
    TimePoint give_up;
  };
  /// A group that this planner formed.
  struct Forming {
    std::vector<std::string> members;  ///< Ids; the first is the head.
    bool open_sent = false;
  };
  /// A head that left the list while it was serving. Its members stay with it
  /// until it was closed or doesn't answer.
  struct Orphan {
    BackendServer head;
    TimePoint left;  ///< When it was first missing.
    int unanswered = 0;
    TimePoint next;
    /// It didn't answer while it was listed; set by the planner's first look.
    std::optional<bool> failed_before;
    /// None of its members was in contact at some time since it left: its
    /// silence then says nothing, and its entry may return.
    bool was_cut = false;
    TimePoint free_at = TimePoint::max();
  };
  /// A listed head that doesn't answer though it should be serving. A failed
  /// connection says something of the head only if its members were reached
  /// before it was tried and after it failed.
  struct SilentHead {
    std::string host;
    TimePoint failed_at;          ///< When it last didn't answer.
    TimePoint next;               ///< When it is asked to close again.
    bool members_before = false;  ///< Members answered before the last try.
    bool unreachable = false;     ///< The last try got no connection.
    int proofs = 0;               ///< Tries that failed between such answers.
  };
  /// A domain as it was when it had the most hosts lately.
  struct Remembered {
    DomainHosts domain;
    TimePoint taken;
    TimePoint listed;  ///< When one of its hosts was last listed.
  };
  /// What is kept of one service from pass to pass.
  struct ServiceState {
    std::map<std::string, Remembered> remembered;  ///< By domain.
    /// Hosts of a domain, and when their number last rose.
    std::map<std::string, std::pair<int, TimePoint>> grown;
    /// Since when a domain has too many groups of a model.
    std::map<std::pair<std::string, std::string>, TimePoint> surplus_since;
    std::set<std::string> present;  ///< Hosts that stay, at the last pass.
    /// Hosts lost per host and second, lately.
    double loss_rate = kExpectedLossRate;
    TimePoint losses_counted;
    // The last allocation, and what it was made for.
    std::vector<DomainHosts> domains;
    bool free_loads = false;
    TimePoint allocated;
    std::vector<ModelNeed> needs;
    Allocation plans;
  };
  /// What one call of Plan works on.
  struct Pass {
    std::string service;
    const EngineSpec* engine = nullptr;
    ServiceState* state = nullptr;
    const Servers* servers = nullptr;
    const std::set<std::string>* failed = nullptr;
    TimePoint now;
    std::set<std::string> bound;        ///< Hosts that no other group may take.
    std::map<std::string, Hosts> free;  ///< By fabric domain.
    /// Groups that stand or form, by domain and model.
    std::map<std::pair<std::string, std::string>, int> standing;
    std::set<std::string> in_standing;  ///< Their hosts.
    std::set<GroupKey> counted;         ///< Their names.
    std::map<GroupKey, int> coming;     ///< As CountComing.
    /// Groups that should stand, by domain and model.
    std::map<std::pair<std::string, std::string>, int> wanted;
    /// The model that spares should hold, by domain.
    std::map<std::string, const EngineModel*> spares;
    std::vector<Order> orders;

    /// Whether a host is the service's and can be counted on.
    bool Stays(const BackendServer& host) const;
    /// Groups of a model that a domain lacks; negative when it has too many.
    int Lacks(const std::string& domain, const std::string& model) const;
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
  bool MayServe(const BackendServer& head) const;
  void NoteHeadless(const ReportedGroup& group, const Pass& pass);
  /// How long a group may take to be ready.
  static milliseconds JoinTimeout(const EngineModel& model);
  void PlanService(Pass* pass);
  void Settle(const Servers& servers, TimePoint now);
  /// Whether an order has to be taken for lost, or for one that may come late.
  bool IsOver(const std::string& host, const Sent& sent, TimePoint now) const;
  /// A host reports a group that the list doesn't show yet.
  bool IsAhead(const BackendServer& host) const;
  /// Counts, by group, the hosts that report it and aren't listed in it yet.
  void CountComing(Pass* pass) const;
  /// Whether all members of a group that this planner forms are in it, or may
  /// still be listed in it.
  bool AllExpected(const GroupKey& group, const Pass& pass) const;
  void NoteEffect(const Sent& sent, TimePoint now);
  void Abandon(const std::string& host, const Sent& sent, TimePoint now);
  void ResolveOrphans(Pass* pass);
  bool MembersInContact(const GroupKey& group, const Pass& pass) const;
  static bool Grows(const std::string& domain, milliseconds within,
                    const Pass& pass);
  static void NoteGrowth(const std::vector<DomainHosts>& domains, Pass* pass);
  void JudgeGroup(const ReportedGroup& group, Pass* pass);
  void JudgeForming(const ReportedGroup& group, const EngineModel& model,
                    Pass* pass);
  bool IsFenced(const ReportedGroup& group, TimePoint now) const;
  void JoinAgain(const ReportedGroup& group, std::size_t rank, Pass* pass);
  /// What is known of this life of a host; null when nothing is.
  const Count* CountOf(const BackendServer& host) const;
  static GroupOrder JoinOrder(const GroupKey& group, const std::string& model,
                              const Hosts& members);
  bool MayYetJoinAnother(const BackendServer& member, TimePoint now) const;
  bool MayYetOpen(const ReportedGroup& group, const Pass& pass) const;
  void GiveUp(const ReportedGroup& group, Pass* pass);
  bool HeadMayReturn(const ReportedGroup& group, const Pass& pass) const;
  bool HeadIsGone(const ReportedGroup& group);
  TimePoint LastMemberReport(const ReportedGroup& group) const;
  void CloseSilentHead(const ReportedGroup& group, Pass* pass);
  /// No other group may take the members.
  static void Bind(const ReportedGroup& group, Pass* pass);
  /// The group serves, or will once it's open.
  static void CountStanding(const ReportedGroup& group, Pass* pass);
  static void CountLosses(Pass* pass);
  void CountForming(Pass* pass) const;
  void FindFree(Pass* pass);
  std::vector<ModelNeed> Needs(int hosts, const Pass& pass) const;
  std::vector<DomainHosts> Domains(const Pass& pass) const;
  static void AddAbsentDomains(std::vector<DomainHosts>* domains, Pass* pass);
  void Allocate(Pass* pass);
  void NoteShares(const Pass& pass);
  static void NoteSurplus(Pass* pass);
  static bool SurplusIsSettled(const std::string& domain,
                               const std::string& model, const Pass& pass);
  void FormGroups(Pass* pass);
  std::optional<Candidate> BestCandidate(const Pass& pass);
  Candidate Consider(const std::string& domain, const Hosts& free,
                     const EngineModel& model, const Pass& pass) const;
  void Form(const Candidate& candidate, Pass* pass);
  void CloseSurplus(const std::map<GroupKey, ReportedGroup>& groups,
                    Pass* pass);
  bool IsReplaceable(const ReportedGroup& group, const Pass& pass) const;
  void StageHosts(Pass* pass);
  int MissingHolders(const std::string& domain, const EngineModel& model,
                     const Pass& pass) const;
  bool StageForGroups(const std::string& domain, const EngineModel& model,
                      Pass* pass);
  Hosts StagingOrder(const std::string& domain, const EngineModel& model,
                     const Pass& pass) const;
  bool StageSpares(const std::string& domain, const Hosts& free, Pass* pass);
  bool Stage(const BackendServer& host, const EngineModel& model, Pass* pass);
  /// The model whose weights a host has or is loading; empty when none.
  const std::string& HeldModel(const BackendServer& host) const;
  void Send(const BackendServer& host, GroupOrder order, Pass* pass,
            bool again = false);
  void StartLoad(const BackendServer& host, const EngineModel& model,
                 TimePoint now);

  static GroupOrder CloseOrder(const GroupKey& group, bool evict);
  static bool HasStaged(const BackendServer& host, const std::string& model);
  double JoinSeconds(const BackendServer& host, const EngineModel& model) const;
  void AddAccepted(const std::string& host, std::int64_t born,
                   std::uint64_t orders);
  bool TookEffect(const Sent& sent, const BackendServer& host) const;
  bool Waiting(const std::string& host) const { return m_sent.count(host) > 0; }
  bool OpenMayBeLate(const std::string& host) const;
  bool MayLoad(const Pass& pass);
  /// Whether so many more orders may be sent now.
  bool MaySend(std::size_t orders) const;

  std::map<std::string, Sent> m_sent;  ///< By host.
  std::vector<Abandoned> m_abandoned;
  OrderStats m_order_stats;
  std::map<std::string, Count> m_counts;      ///< By host.
  std::map<std::string, Load> m_loads;        ///< By host.
  std::map<GroupKey, TimePoint> m_seen;       ///< When a group was first seen.
  std::map<GroupKey, BackendServer> m_heads;  ///< That serve, as last listed.
  std::map<GroupKey, Orphan> m_orphans;
  std::map<GroupKey, SilentHead> m_silent_heads;
  /// Since when groups are listed without their heads, while members answer.
  std::map<GroupKey, TimePoint> m_headless;
  std::map<GroupKey, Forming> m_forming;
  std::map<std::string, ServiceState> m_services;  ///< By service.
  std::set<GroupKey> m_retired;  ///< Closed for good; their hosts change over.
  DemandByModel m_demand;
  std::map<std::string, ModelShare> m_shares;  ///< As shares().
  std::uint64_t m_epoch = 0;                   ///< Highest seen or used.
  bool m_free_loads = false;
  bool m_list_settled = true;
  TimePoint m_began;  ///< First pass of this term.
  double m_load_tokens = 0.0;
  TimePoint m_refilled;
};

}  // namespace clementine

#endif  // CORE_GROUP_PLANNER_H_
