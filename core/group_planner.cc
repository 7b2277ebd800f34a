// Each pass evaluates the groups as their members currently report them:
//
//   head open, a member missing,
//   failing or broken              -> close the head, evicting its requests
//   head open, a member leaving    -> close the head after its requests
//   head open, but does not answer -> send close orders until the head is
//                                     considered gone, then release the members
//   head left the list             -> release the members when the head was
//                                     closed or is considered gone
//   head not open, all ready       -> open the head
//   head not open, some joining    -> wait, at most for JoinTimeout
//   head not open, JoinTimeout
//   has passed                     -> release the members
//   head not open, a member
//   missing, failing, leaving or
//   broken                         -> release the members, after the head has
//                                     left if it may still be opened
//
// group_allocation.cc chooses how many groups of each model a domain should
// hold, group_forming.cc forms and closes groups accordingly, and
// group_staging.cc loads the weights that the groups need.

#include "core/group_planner.h"

#include <algorithm>

namespace clementine {
namespace {

/// Maximum time until the list shows that another planner opened a group.
constexpr milliseconds kMaxOpenListDelay{1'000};
/// Maximum interval between the joins of one group's members.
constexpr milliseconds kMaxJoinSpread{2'500};

}  // namespace

bool GroupPlanner::IsServing(GroupMemberState state) {
  return state == GroupMemberState::kOpen ||
         state == GroupMemberState::kClosing;
}

milliseconds GroupPlanner::JoinTimeout(const EngineModel& model) {
  // Joining takes at most this many times the load time.
  constexpr int kLoadTimesPerTimeout = 4;
  constexpr milliseconds kMinTimeout{20'000};
  return std::max(kMinTimeout, model.load_time * kLoadTimesPerTimeout);
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
    constexpr std::size_t kMaxMembers = 1024;
    if (rank >= kMaxMembers) continue;
    if (group.members.size() <= rank) group.members.resize(rank + 1, nullptr);
    group.members[rank] = &server;
  }
  return groups;
}

bool IsComplete(const ReportedGroup& group, int hosts) {
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
  if (m_term_started_at == TimePoint()) {
    m_term_started_at = now;
    m_in_doubt.OnTermStarted(now);
  }
  ResolveOrders(servers, now);
  RecordServingHeads(configuration, servers, now);
  std::erase_if(m_unresponsive_heads, [&](const auto& entry) {
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
    pass.evacuated = &m_evacuated;
    pass.now = now;
    PlanService(&pass);
    std::move(pass.orders.begin(), pass.orders.end(),
              std::back_inserter(orders));
  }
  return orders;
}

void GroupPlanner::PlanService(Pass* pass) {
  ResolveOrphanedGroups(pass);
  auto groups = CollectGroups(*pass->servers, pass->service);
  std::erase_if(m_first_seen, [&](const auto& seen) {
    return groups.count(seen.first) == 0 &&
           pass->now - seen.second > kMaxOrderDelay;
  });
  auto is_unlisted = [&](const GroupKey& key) {
    return groups.count(key) == 0;
  };
  std::erase_if(m_retired_groups, is_unlisted);
  std::erase_if(m_dissolved_groups, is_unlisted);
  std::erase_if(m_headless_since, [&](const auto& entry) {
    return groups.count(entry.first) == 0;
  });
  CountExpectedMembers(pass);
  for (const auto& [key, group] : groups) {
    m_epoch = std::max(m_epoch, group.epoch);
    m_first_seen.emplace(key, pass->now);
    RecordHeadless(group, *pass);
    EvaluateGroup(group, pass);
  }
  UpdateLossRate(pass);
  CountUnlistedGroups(pass);
  FindFreeHosts(pass);
  UpdateAllocation(pass);
  FormGroups(pass);
  StageModels(pass);
  CloseSurplus(groups, pass);
}

void GroupPlanner::Reset(std::uint64_t term) {
  m_headless_since.clear();
  m_term_started_at = TimePoint();
  m_sent_orders.clear();
  m_unresponsive_heads.clear();
  m_retired_groups.clear();
  for (auto& [host, record] : m_hosts) {
    record.order_count_known = false;
  }
  m_loads.clear();
  m_forming.clear();
  m_first_seen.clear();
  m_epoch = std::max(m_epoch, term * kEpochsPerTerm);
}

// ---------------------------------------------------------------------------
// Active and forming groups.

void GroupPlanner::ReserveMembers(const ReportedGroup& group, Pass* pass) {
  for (const BackendServer* member : group.members) {
    if (member != nullptr) pass->reserved_hosts.insert(member->id);
  }
}

void GroupPlanner::CountActiveGroup(const ReportedGroup& group, Pass* pass) {
  for (const BackendServer* member : group.members) {
    if (member != nullptr) pass->hosts_in_active_groups.insert(member->id);
  }
  const BackendServer* head = group.members.front();
  if (pass->IsEvacuated(*head)) return;
  ++pass->active_groups[{head->fabric_domain, group.model}];
  pass->active_group_keys.insert({group.name, group.epoch});
}

void GroupPlanner::EvaluateGroup(const ReportedGroup& group, Pass* pass) {
  const EngineModel* model = FindModel(*pass->engine, group.model);
  const BackendServer* head =
      group.members.empty() ? nullptr : group.members.front();
  // The list may not show yet that the head has left.
  if (m_dissolved_groups.count({group.name, group.epoch}) > 0) return;
  if (head == nullptr) {
    bool expected = pass->expected_members.count({group.name, group.epoch}) > 0;
    if (expected || HeadMayReturn(group, *pass)) ReserveMembers(group, pass);
    return;
  }
  if (!IsServing(head->member.state)) {
    if (HasPendingOpen(head->id)) {
      ReserveMembers(group, pass);
      if (model != nullptr) CountActiveGroup(group, pass);
    } else if (pass->IsEvacuated(*head)) {
      ReserveMembers(group, pass);
    } else if (model != nullptr) {
      EvaluateFormingGroup(group, *model, pass);
    } else {
      ReleaseGroup(group, pass);
    }
    return;
  }
  if (pass->failed->count(head->id) > 0) {
    if (HeadIsGone(group)) return;
    ReserveMembers(group, pass);
    CloseUnresponsiveHead(group, pass);
    return;
  }
  bool complete = model != nullptr && IsComplete(group, model->hosts_per_group);
  bool leaving = false;
  for (const BackendServer* member : group.members) {
    if (member == nullptr) continue;
    complete = complete && pass->failed->count(member->id) == 0;
    leaving = leaving || member->leaving;
  }
  bool closing = head->member.state == GroupMemberState::kClosing;
  bool is_active = complete && !leaving && !closing;
  ReserveMembers(group, pass);
  if (is_active) {
    CountActiveGroup(group, pass);
    return;
  }
  HostRecord& record = m_hosts[head->id];
  if (HasPendingOrder(head->id) || !IsOrderCountKnown(*head) ||
      (closing && complete) || record.evicted_epoch == group.epoch) {
    return;
  }
  if (!complete) record.evicted_epoch = group.epoch;
  SendOrder(*head, CloseOrder({group.name, group.epoch}, /*evict=*/!complete),
            pass);
}

// Whether an unanswered order, of this planner or an earlier one, may still
// take a member out of the group, or close it, after it was opened. Repeating
// the members' joins would not prevent this: a host that is in the group does
// not count them. This planner's own joins of the head are excluded by the open
// order, which the head counts.
bool GroupPlanner::MayBreakUp(const ReportedGroup& group,
                              const Pass& pass) const {
  GroupKey key{group.name, group.epoch};
  return m_in_doubt.MayClose(group.members.front()->id, key) ||
         std::any_of(group.members.begin(), group.members.end(),
                     [&](const BackendServer* member) {
                       return MayCarryOutEarlierOrder(group, *member, pass) ||
                              (member != group.members.front() &&
                               m_in_doubt.MayJoinAnother(member->id, key));
                     });
}

bool GroupPlanner::IsForming(const GroupKey& group, const Pass& pass) const {
  auto forming = m_forming.find(group);
  return forming != m_forming.end() &&
         std::all_of(forming->second.members.begin(),
                     forming->second.members.end(), [&](const std::string& id) {
                       auto host = pass.servers->find(id);
                       if (host == pass.servers->end()) return false;
                       const GroupMembership& member = host->second.member;
                       return HasPendingOrder(id) ||
                              (member.group == group.first &&
                               member.epoch == group.second);
                     });
}

bool GroupPlanner::MayCarryOutEarlierOrder(const ReportedGroup& group,
                                           const BackendServer& member,
                                           const Pass& pass) const {
  return m_forming.count({group.name, group.epoch}) == 0 &&
         m_in_doubt.MayCarryOutEarlierOrder(member.id, pass.now);
}

bool GroupPlanner::IsOpenInDoubt(const ReportedGroup& group,
                                 const Pass& pass) const {
  const BackendServer& head = *group.members.front();
  return m_in_doubt.MayOpen(head.id, {group.name, group.epoch}) ||
         (head.member.state != GroupMemberState::kBroken &&
          MayCarryOutEarlierOrder(group, head, pass));
}

void GroupPlanner::DissolveGroup(const ReportedGroup& group, Pass* pass) {
  const BackendServer& head = *group.members.front();
  if (HasPendingOrder(head.id) || !IsOrderCountKnown(head) ||
      pass->now < m_hosts[head.id].not_before ||
      pass->failed->count(head.id) > 0) {
    return;
  }
  // The list may not show yet that the head serves.
  const GroupMembership& reported = m_hosts[head.id].member;
  bool reported_serving = reported.group == group.name &&
                          reported.epoch == group.epoch &&
                          IsServing(reported.state);
  if (reported_serving || pass->now - m_term_started_at < kMaxOpenListDelay) {
    return;
  }
  SendOrder(head, LeaveOrder({group.name, group.epoch}), pass);
}

// Releases the members, unless an order may still open the group; they then
// stay reserved until its head has left the group.
bool GroupPlanner::ReleaseGroup(const ReportedGroup& group, Pass* pass) {
  if (!IsOpenInDoubt(group, *pass)) return true;
  ReserveMembers(group, pass);
  DissolveGroup(group, pass);
  return false;
}

// Handles a group whose head is not serving: opens it, waits for it, or
// releases its members.
void GroupPlanner::EvaluateFormingGroup(const ReportedGroup& group,
                                        const EngineModel& model, Pass* pass) {
  bool lost = group.members.front()->member.state == GroupMemberState::kBroken;
  bool ready = IsComplete(group, model.hosts_per_group);
  for (const BackendServer* member : group.members) {
    if (member == nullptr) continue;
    lost = lost || member->leaving || member->lapsed ||
           pass->failed->count(member->id) > 0 ||
           member->member.state == GroupMemberState::kBroken;
    ready = ready && member->member.state == GroupMemberState::kReady;
  }
  GroupKey key{group.name, group.epoch};
  // The hosts of a retired group change to another model.
  if (m_retired_groups.count(key) > 0) {
    ReleaseGroup(group, pass);
    return;
  }
  milliseconds age =
      std::chrono::duration_cast<milliseconds>(pass->now - m_first_seen[key]);
  if (!IsComplete(group, model.hosts_per_group)) {
    bool formed_here = m_forming.count(key) > 0;
    auto expected = pass->expected_members.find(key);
    auto listed = group.members.size() -
                  static_cast<std::size_t>(std::count(
                      group.members.begin(), group.members.end(), nullptr));
    bool reported =
        expected != pass->expected_members.end() &&
        static_cast<int>(listed) + expected->second >= model.hosts_per_group;
    lost = lost || (formed_here && !IsForming(key, *pass)) ||
           (!formed_here && !reported && age > kMaxJoinSpread);
  }
  milliseconds timeout = JoinTimeout(model);
  if (lost || (!ready && age > timeout)) {
    ReleaseGroup(group, pass);
    return;
  }
  if (ready && MayBreakUp(group, *pass)) {
    // The members form a group of a higher epoch, which no earlier order
    // affects, when they are released.
    if (!ReleaseGroup(group, pass)) CountActiveGroup(group, pass);
    return;
  }
  ReserveMembers(group, pass);
  CountActiveGroup(group, pass);
  bool has_pending_order =
      std::any_of(group.members.begin(), group.members.end(),
                  [&](const BackendServer* member) {
                    return member != nullptr && HasPendingOrder(member->id);
                  });
  if (ready && !has_pending_order &&
      IsOrderCountKnown(*group.members.front())) {
    GroupOrder open;
    open.kind = GroupOrder::Kind::kOpen;
    open.group = group.name;
    open.epoch = group.epoch;
    auto forming = m_forming.find(key);
    if (forming != m_forming.end()) forming->second.open_sent = true;
    SendOrder(*group.members.front(), open, pass);
    // The head may leave the list before the next pass.
    m_serving_heads[key] = *group.members.front();
  }
}

}  // namespace clementine
