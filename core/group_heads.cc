// Heads that may be serving, but don't answer or have left the list. Such a
// head may be gone, it may be cut off from the platform, or it may be leaving
// and end its streams without taking connections. Its members stay with it
// until it was closed or is shown to be gone:
//
//   listed, not leaving      no connection request is answered, while members
//                            answer theirs
//   left after it failed     at once: it had stopped before its entry lapsed.
//                            Not after an outage of the platform, in which a
//                            leaving head can't say so in its entry
//   left without failing     when it answers no call, after the longest time
//                            that a leaving server goes on

#include <algorithm>

#include "core/group_planner.h"

namespace clementine {
namespace {

/// Calls without an answer, so far apart, that show a head to be gone.
constexpr int kOrphanTries = 3;
constexpr milliseconds kOrphanInterval{400};
/// Connection requests without an answer that show a listed head to be gone.
/// One lost packet delays a connection by more than one of them.
constexpr int kUnreachableTries = 2;
/// Servers end their work within ten seconds of leaving; the rest is for the
/// delay of the list.
constexpr milliseconds kLongestLeave{10'500};
/// Entries that lapsed in a cut are back within two seconds of its end, in any
/// order.
constexpr milliseconds kReturnTime{2'500};
/// A head that was never seen can't be asked; its members wait until a head
/// that lost them would have noticed.
constexpr milliseconds kUnknownHead{6'000};
}  // namespace

// A head that the list shows as ready may have been opened by another planner
// since the platform was last reached.
bool GroupPlanner::MayServe(const BackendServer& head) const {
  const GroupMembership& member = head.member;
  if (IsServing(member.state) || OpenMayBeLate(head.id)) return true;
  auto forming = m_forming.find({member.group, member.epoch});
  bool unopened = forming != m_forming.end() && !forming->second.open_sent;
  return member.state == GroupMemberState::kReady && !unopened;
}

void GroupPlanner::Observe(const FleetConfiguration& configuration,
                           const Servers& servers, TimePoint now) {
  for (const auto& [key, head] : m_heads) {
    if (servers.count(head.id) == 0) {
      Orphan orphan;
      orphan.head = head;
      orphan.left = orphan.next = now;
      m_orphans.emplace(key, std::move(orphan));
    }
  }
  m_heads.clear();
  for (const auto& [id, server] : servers) {
    const GroupMembership& member = server.member;
    bool engine = FindEngine(configuration, server.service) != nullptr;
    if (engine && member.rank == 0 && MayServe(server)) {
      m_heads[{member.group, member.epoch}] = server;
    }
  }
  std::erase_if(m_orphans, [&](const auto& entry) {
    bool settled = entry.second.free_at != TimePoint::max() &&
                   entry.second.free_at + kLateOrder <= now;
    return servers.count(entry.second.head.id) > 0 || settled;
  });
}

bool GroupPlanner::MembersInContact(const GroupKey& group,
                                    const Pass& pass) const {
  return std::any_of(
      pass.servers->begin(), pass.servers->end(), [&](const auto& entry) {
        const GroupMembership& member = entry.second.member;
        return member.group == group.first && member.epoch == group.second &&
               pass.failed->count(entry.first) == 0;
      });
}

void GroupPlanner::ResolveOrphans(Pass* pass) {
  for (auto& [key, orphan] : m_orphans) {
    if (!orphan.failed_before) {
      orphan.failed_before = m_list_settled && !orphan.head.leaving &&
                             pass->failed->count(orphan.head.id) > 0;
    }
    if (!MembersInContact(key, *pass)) {
      // Members that nobody reaches can't be taken either.
      orphan.was_cut = true;
      orphan.unanswered = 0;
      orphan.free_at = TimePoint::max();
      orphan.next = pass->now + kReturnTime;
      continue;
    }
    if (orphan.free_at != TimePoint::max()) continue;
    bool known_silent = !orphan.was_cut && *orphan.failed_before;
    bool silent_since = orphan.unanswered >= kOrphanTries &&
                        pass->now - orphan.left >= kLongestLeave;
    if (known_silent || silent_since) {
      orphan.free_at = pass->now;
      continue;
    }
    if (pass->now < orphan.next) continue;
    orphan.next = pass->now + kOrphanInterval;
    // No count is expected: a planner that has just taken over hasn't counted
    // this head's orders, and a rejection for a wrong count would look like
    // that of a head which doesn't serve the group. Group and epoch are enough.
    pass->orders.push_back(
        {orphan.head.id, orphan.head.address, CloseOrder(key, /*evict=*/true)});
  }
}

TimePoint GroupPlanner::LastMemberReport(const ReportedGroup& group) const {
  TimePoint last;
  for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
    if (group.members[rank] == nullptr) continue;
    auto count = m_counts.find(group.members[rank]->id);
    if (count != m_counts.end()) last = std::max(last, count->second.reported);
  }
  return last;
}

void GroupPlanner::NoteHeadless(const ReportedGroup& group, const Pass& pass) {
  GroupKey key{group.name, group.epoch};
  bool missing = group.members.empty() || group.members.front() == nullptr;
  if (missing && MembersInContact(key, pass)) {
    m_headless.try_emplace(key, pass.now);
  } else {
    m_headless.erase(key);
  }
}

bool GroupPlanner::HeadIsGone(const ReportedGroup& group) {
  auto found = m_silent_heads.find({group.name, group.epoch});
  if (found == m_silent_heads.end() || group.members.front()->leaving) {
    return false;
  }
  SilentHead& silent = found->second;
  bool members_after = LastMemberReport(group) > silent.failed_at;
  if (silent.unreachable && silent.members_before && members_after) {
    ++silent.proofs;
    silent.unreachable = false;
  }
  return silent.proofs >= kUnreachableTries;
}

void GroupPlanner::CloseSilentHead(const ReportedGroup& group, Pass* pass) {
  const BackendServer& head = *group.members.front();
  auto [entry, added] = m_silent_heads.try_emplace({group.name, group.epoch});
  SilentHead& silent = entry->second;
  if (added) {
    silent.host = head.id;
    silent.failed_at = pass->now;
  }
  if (pass->now < silent.next) return;
  silent.next = pass->now + kOrphanInterval;
  silent.members_before = LastMemberReport(group) > silent.failed_at;
  silent.unreachable = false;
  pass->orders.push_back(
      {head.id, head.address, CloseOrder(entry->first, /*evict=*/true)});
}

bool GroupPlanner::HeadMayReturn(const ReportedGroup& group,
                                 const Pass& pass) const {
  GroupKey key{group.name, group.epoch};
  auto orphan = m_orphans.find(key);
  if (orphan != m_orphans.end()) return pass.now < orphan->second.free_at;
  auto forming = m_forming.find(key);
  if (forming != m_forming.end()) {
    // This planner never opened it, or the head would be remembered.
    const std::string& head = forming->second.members.front();
    return Waiting(head) && pass.servers->count(head) > 0;
  }
  auto headless = m_headless.find(key);
  return headless == m_headless.end() ||
         pass.now - headless->second < kUnknownHead;
}

}  // namespace clementine
