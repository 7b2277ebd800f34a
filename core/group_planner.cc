// Each pass looks at the groups as their members report them now:
//
//   head open, a member gone      -> close the head, evicting its requests
//   head open, a member leaving   -> close the head after its requests
//   all members ready             -> open the head
//   members still joining         -> wait
//   head ready, broken or gone,
//   and not all members there     -> the members are free
//
// How many groups of each model a domain should hold is decided by
// group_allocation.cc; group_forming.cc forms and closes groups accordingly,
// and group_staging.cc loads the weights that they need.

#include "core/group_planner.h"

#include <algorithm>

namespace clementine {
namespace {

/// What another planner has opened shows in the list within this time.
constexpr milliseconds kOpenShows{1'000};
/// A member that joined again is ready, and listed so, after this time.
constexpr milliseconds kRejoinTime{600};
/// Joins of one group reach its members within this time of each other.
constexpr milliseconds kJoinSpread{2'500};
/// More than a planner uses in its term; terms below 2^33 keep epochs below
/// 2^53, the largest whole number that every JSON library keeps.
constexpr std::uint64_t kEpochsPerTerm = std::uint64_t{1} << 20;

}  // namespace

bool GroupPlanner::IsServing(GroupMemberState state) {
  return state == GroupMemberState::kOpen ||
         state == GroupMemberState::kClosing;
}

milliseconds GroupPlanner::JoinTimeout(const EngineModel& model) {
  // Joining takes at most this factor of the slowest load.
  constexpr int kFactor = 4;
  constexpr milliseconds kLeast{20'000};
  return std::max(kLeast, model.load_time * kFactor);
}

std::string GroupName(const std::string& model, std::uint64_t number) {
  return model + "." + std::to_string(number);
}

std::string GroupModel(const std::string& group) {
  std::size_t dot = group.rfind('.');
  return dot == std::string::npos ? "" : group.substr(0, dot);
}

std::map<std::pair<std::string, std::uint64_t>, ReportedGroup> CollectGroups(
    const std::map<std::string, BackendServer>& servers,
    const std::string& service) {
  std::map<std::pair<std::string, std::uint64_t>, ReportedGroup> groups;
  for (const auto& [id, server] : servers) {
    const GroupMembership& member = server.member;
    if (server.service != service || member.state == GroupMemberState::kNone ||
        member.group.empty() || member.rank < 0) {
      continue;
    }
    ReportedGroup& group = groups[{member.group, member.epoch}];
    group.name = member.group;
    group.epoch = member.epoch;
    group.model = GroupModel(member.group);
    auto rank = static_cast<std::size_t>(member.rank);
    constexpr std::size_t kMostMembers = 1024;
    if (rank >= kMostMembers) continue;
    if (group.members.size() <= rank) group.members.resize(rank + 1, nullptr);
    group.members[rank] = &server;
  }
  return groups;
}

bool IsWhole(const ReportedGroup& group, int hosts) {
  return group.members.size() == static_cast<std::size_t>(hosts) &&
         std::all_of(group.members.begin(), group.members.end(),
                     [](const BackendServer* member) {
                       return member != nullptr &&
                              member->member.state != GroupMemberState::kBroken;
                     });
}

std::vector<GroupPlanner::Order> GroupPlanner::Plan(
    const FleetConfiguration& configuration, const Servers& servers,
    const std::set<std::string>& failed, TimePoint now) {
  if (m_began == TimePoint()) m_began = now;
  Settle(servers, now);
  Observe(configuration, servers, now);
  std::erase_if(m_silent_heads, [&](const auto& entry) {
    const std::string& host = entry.second.host;
    return failed.count(host) == 0 || servers.count(host) == 0;
  });
  std::vector<Order> orders;
  for (const auto& [name, service] : configuration.services) {
    if (!service.engine) continue;
    Pass pass;
    pass.service = name;
    pass.engine = &*service.engine;
    pass.state = &m_services[name];
    pass.servers = &servers;
    pass.failed = &failed;
    pass.now = now;
    PlanService(&pass);
    std::move(pass.orders.begin(), pass.orders.end(),
              std::back_inserter(orders));
  }
  return orders;
}

void GroupPlanner::PlanService(Pass* pass) {
  ResolveOrphans(pass);
  auto groups = CollectGroups(*pass->servers, pass->service);
  std::erase_if(m_seen, [&](const auto& seen) {
    return groups.count(seen.first) == 0 &&
           pass->now - seen.second > kLateOrder;
  });
  std::erase_if(m_retired,
                [&](const auto& key) { return groups.count(key) == 0; });
  std::erase_if(m_headless, [&](const auto& entry) {
    return groups.count(entry.first) == 0;
  });
  CountComing(pass);
  for (const auto& [key, group] : groups) {
    m_epoch = std::max(m_epoch, group.epoch);
    m_seen.emplace(key, pass->now);
    NoteHeadless(group, *pass);
    JudgeGroup(group, pass);
  }
  CountLosses(pass);
  CountForming(pass);
  FindFree(pass);
  Allocate(pass);
  FormGroups(pass);
  StageHosts(pass);
  CloseSurplus(groups, pass);
}

void GroupPlanner::Reset(std::uint64_t term) {
  m_headless.clear();
  m_began = TimePoint();
  m_sent.clear();
  m_silent_heads.clear();
  m_retired.clear();
  for (auto& [host, count] : m_counts) {
    count.known = false;
    count.fenced_at.reset();
  }
  m_loads.clear();
  m_forming.clear();
  m_seen.clear();
  m_epoch = std::max(m_epoch, term * kEpochsPerTerm);
}

// ---------------------------------------------------------------------------
// Groups that stand.

void GroupPlanner::Bind(const ReportedGroup& group, Pass* pass) {
  for (const BackendServer* member : group.members) {
    if (member != nullptr) pass->bound.insert(member->id);
  }
}

void GroupPlanner::CountStanding(const ReportedGroup& group, Pass* pass) {
  for (const BackendServer* member : group.members) {
    if (member != nullptr) pass->in_standing.insert(member->id);
  }
  const BackendServer* head = group.members.front();
  ++pass->standing[{head->fabric_domain, group.model}];
  pass->counted.insert({group.name, group.epoch});
}

void GroupPlanner::JudgeGroup(const ReportedGroup& group, Pass* pass) {
  const EngineModel* model = FindModel(*pass->engine, group.model);
  const BackendServer* head =
      group.members.empty() ? nullptr : group.members.front();
  if (head == nullptr) {
    bool coming = pass->coming.count({group.name, group.epoch}) > 0;
    if (coming || HeadMayReturn(group, *pass)) Bind(group, pass);
    return;
  }
  if (!IsServing(head->member.state)) {
    if (OpenMayBeLate(head->id)) {
      Bind(group, pass);
      if (model != nullptr) CountStanding(group, pass);
    } else if (model != nullptr) {
      JudgeForming(group, *model, pass);
    }
    return;
  }
  if (pass->failed->count(head->id) > 0) {
    if (HeadIsGone(group)) return;
    Bind(group, pass);
    CloseSilentHead(group, pass);
    return;
  }
  bool whole = model != nullptr && IsWhole(group, model->hosts_per_group);
  bool leaving = false;
  for (const BackendServer* member : group.members) {
    if (member == nullptr) continue;
    whole = whole && pass->failed->count(member->id) == 0;
    leaving = leaving || member->leaving;
  }
  bool closing = head->member.state == GroupMemberState::kClosing;
  bool stands = whole && !leaving && !closing;
  Bind(group, pass);
  if (stands) {
    CountStanding(group, pass);
    return;
  }
  Count& count = m_counts[head->id];
  if (Waiting(head->id) || !Counted(*head) || (closing && whole) ||
      count.evicted == group.epoch) {
    return;
  }
  if (!whole) count.evicted = group.epoch;
  Send(*head, CloseOrder({group.name, group.epoch}, /*evict=*/!whole), pass);
}

// A join of this planner to another group, without an answer, may still be
// carried out.
bool GroupPlanner::MayYetJoinAnother(const BackendServer& member,
                                     TimePoint now) const {
  const Count* count = CountOf(member);
  return count != nullptr && now < count->pending_join_until &&
         count->pending_join_count == count->orders;
}

bool GroupPlanner::AllExpected(const GroupKey& group, const Pass& pass) const {
  auto forming = m_forming.find(group);
  return forming != m_forming.end() &&
         std::all_of(forming->second.members.begin(),
                     forming->second.members.end(), [&](const std::string& id) {
                       auto host = pass.servers->find(id);
                       if (host == pass.servers->end()) return false;
                       const GroupMembership& member = host->second.member;
                       return Waiting(id) || (member.group == group.first &&
                                              member.epoch == group.second);
                     });
}

// A join that is still on its way, of this planner or an earlier one, could
// take a member from the group after it was opened. Members that have accepted
// an order of this planner don't carry out one of an earlier planner.
bool GroupPlanner::IsFenced(const ReportedGroup& group, TimePoint now) const {
  bool loose = std::any_of(group.members.begin(), group.members.end(),
                           [&](const BackendServer* member) {
                             return Waiting(member->id) ||
                                    MayYetJoinAnother(*member, now);
                           });
  if (loose) return false;
  if (m_forming.count({group.name, group.epoch}) > 0) return true;
  return std::all_of(group.members.begin() + 1, group.members.end(),
                     [&](const BackendServer* member) {
                       const Count* count = CountOf(*member);
                       return count != nullptr && count->fenced_at &&
                              now - *count->fenced_at >= kRejoinTime;
                     });
}

// The same join again takes as long as any rejoin and changes nothing else.
void GroupPlanner::JoinAgain(const ReportedGroup& group, std::size_t rank,
                             Pass* pass) {
  // The list may not show yet what the planner before has opened.
  if (pass->now - m_began < kOpenShows) return;
  const BackendServer& member = *group.members[rank];
  bool fenced = m_counts[member.id].fenced_at.has_value() &&
                !MayYetJoinAnother(member, pass->now);
  if (fenced || Waiting(member.id) || !Counted(member) ||
      m_counts[member.id].not_before > pass->now) {
    return;
  }
  Send(member, JoinOrder({group.name, group.epoch}, group.model, group.members),
       pass,
       /*again=*/true);
}

// An order of an earlier planner to open the group may still be on its way,
// until its head has accepted an order of this one.
bool GroupPlanner::MayYetOpen(const ReportedGroup& group,
                              const Pass& pass) const {
  const BackendServer& head = *group.members.front();
  if (m_forming.count({group.name, group.epoch}) > 0 ||
      head.member.state != GroupMemberState::kReady) {
    return false;
  }
  const Count* count = CountOf(head);
  bool fenced = count != nullptr && count->fenced_at;
  return !fenced && pass.now - m_began <= kLateOrderShows;
}

// The members stay until that order can do nothing. A head whose members aren't
// all listed can't be sent the same join, but any other.
void GroupPlanner::GiveUp(const ReportedGroup& group, Pass* pass) {
  if (!MayYetOpen(group, *pass)) return;
  Bind(group, pass);
  const std::string& head = group.members.front()->id;
  bool listed =
      std::count(group.members.begin(), group.members.end(), nullptr) == 0;
  if (listed && pass->failed->count(head) == 0) {
    JoinAgain(group, 0, pass);
  } else {
    pass->bound.erase(head);
  }
}

// The head serves nothing: the group is opened, waited for, or given up.
void GroupPlanner::JudgeForming(const ReportedGroup& group,
                                const EngineModel& model, Pass* pass) {
  bool lost = group.members.front()->member.state == GroupMemberState::kBroken;
  bool ready = IsWhole(group, model.hosts_per_group);
  for (const BackendServer* member : group.members) {
    if (member == nullptr) continue;
    lost = lost || member->leaving || member->lapsed ||
           pass->failed->count(member->id) > 0 ||
           member->member.state == GroupMemberState::kBroken;
    ready = ready && member->member.state == GroupMemberState::kReady;
  }
  GroupKey key{group.name, group.epoch};
  // Its hosts change over to another model.
  if (m_retired.count(key) > 0) return;
  milliseconds age =
      std::chrono::duration_cast<milliseconds>(pass->now - m_seen[key]);
  if (!IsWhole(group, model.hosts_per_group)) {
    bool ours = m_forming.count(key) > 0;
    auto coming = pass->coming.find(key);
    auto listed = group.members.size() -
                  static_cast<std::size_t>(std::count(
                      group.members.begin(), group.members.end(), nullptr));
    bool reported =
        coming != pass->coming.end() &&
        static_cast<int>(listed) + coming->second >= model.hosts_per_group;
    lost = lost || (ours && !AllExpected(key, *pass)) ||
           (!ours && !reported && age > kJoinSpread);
  }
  milliseconds timeout = JoinTimeout(model);
  if (lost || (!ready && age > timeout)) {
    GiveUp(group, pass);
    return;
  }
  Bind(group, pass);
  CountStanding(group, pass);
  if (ready && !IsFenced(group, pass->now)) {
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
      bool head = rank == 0;
      if (!head || MayYetJoinAnother(*group.members[0], pass->now)) {
        JoinAgain(group, rank, pass);
      }
    }
    return;
  }
  if (ready && !Waiting(group.members.front()->id) &&
      Counted(*group.members.front())) {
    GroupOrder open;
    open.kind = GroupOrder::Kind::kOpen;
    open.group = group.name;
    open.epoch = group.epoch;
    auto forming = m_forming.find(key);
    if (forming != m_forming.end()) forming->second.open_sent = true;
    Send(*group.members.front(), open, pass);
  }
}

}  // namespace clementine
