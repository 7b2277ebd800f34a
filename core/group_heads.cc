// Heads that left the list while they served. Such a head may be gone, or it
// may only be cut off from the platform and go on serving with its members.
// They stay with it until it was closed or shown to be gone.

#include <algorithm>

#include "core/group_planner.h"

namespace clementine {
namespace {

/// Calls without an answer, so far apart, that show a head to be gone.
constexpr int kOrphanTries = 3;
constexpr milliseconds kOrphanInterval{400};
/// Entries that lapsed in a cut are back within two seconds of its end, in any
/// order.
constexpr milliseconds kReturnTime{2'500};
/// A head that was never seen can't be asked; its members wait until a head
/// that lost them would have noticed.
constexpr milliseconds kUnknownHead{6'000};
}  // namespace

void GroupPlanner::Observe(const FleetConfiguration& configuration,
                           const Servers& servers, TimePoint now) {
  for (const auto& [key, head] : m_heads) {
    if (servers.count(head.id) == 0) {
      m_orphans.emplace(key, Orphan{head, 0, now});
    }
  }
  m_heads.clear();
  for (const auto& [id, server] : servers) {
    const GroupMembership& member = server.member;
    bool engine = FindEngine(configuration, server.service) != nullptr;
    if (engine && member.rank == 0 &&
        (IsServing(member.state) || OpenMayBeLate(id))) {
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
    if (!MembersInContact(key, *pass)) {
      // Members that nobody reaches can't be taken either.
      orphan.was_cut = true;
      orphan.unanswered = 0;
      orphan.free_at = TimePoint::max();
      orphan.next = pass->now + kReturnTime;
      continue;
    }
    if (orphan.free_at != TimePoint::max()) continue;
    bool known_silent =
        !orphan.was_cut && pass->failed->count(orphan.head.id) > 0;
    if (known_silent || orphan.unanswered >= kOrphanTries) {
      orphan.free_at = pass->now;
      continue;
    }
    if (pass->now < orphan.next) continue;
    orphan.next = pass->now + kOrphanInterval;
    GroupOrder close;
    close.kind = GroupOrder::Kind::kClose;
    close.group = key.first;
    close.epoch = key.second;
    close.evict = true;
    // No count is expected: a planner that has just taken over hasn't counted
    // this head's orders, and a rejection for a wrong count would look like
    // that of a head which doesn't serve the group. Group and epoch are enough.
    pass->orders.push_back({orphan.head.id, orphan.head.address, close});
  }
}

bool GroupPlanner::HeadMayReturn(const ReportedGroup& group,
                                 const Pass& pass) const {
  GroupKey key{group.name, group.epoch};
  auto orphan = m_orphans.find(key);
  if (orphan != m_orphans.end()) return pass.now < orphan->second.free_at;
  auto forming = m_forming.find(key);
  if (forming != m_forming.end()) {
    // This planner never opened it, or the head would be remembered.
    const std::string& head = forming->second.front();
    return Waiting(head) && pass.servers->count(head) > 0;
  }
  auto seen = m_seen.find(key);
  return seen != m_seen.end() && pass.now - seen->second < kUnknownHead;
}

}  // namespace clementine
