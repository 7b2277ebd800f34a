// Handles heads that may be serving but do not answer or have left the list.
// The head may be gone, may be partitioned from the platform, or may be leaving
// and finishing its streams without accepting connections. Its members stay
// reserved until the head was closed or is considered gone:
//
//   listed, not leaving      when it answers no connection request while its
//                            members do
//   left after failing       immediately, because it stopped before its entry
//                            lapsed. Does not apply after an outage of the
//                            platform, during which a leaving head cannot
//                            update its entry
//   left without failing     when it answers no close order and kMaxLeaveTime
//                            has passed

#include <algorithm>

#include "core/group_planner.h"

namespace clementine {
namespace {

/// Number of unanswered close orders after which an unlisted head is gone.
constexpr int kMinUnansweredCloses = 3;
/// Interval between close orders to one head.
constexpr milliseconds kCloseInterval{400};
/// Number of confirmed failures, see UnresponsiveHead, after which a listed
/// head is gone. One is not enough, because one lost packet delays a connection
/// for longer than the request waits.
constexpr int kMinConfirmedFailures = 2;
/// Servers finish their work within 10 s of leaving; the remaining 0.5 s covers
/// the delay of the list.
constexpr milliseconds kMaxLeaveTime{10'500};
/// Entries that lapsed during a partition return within 2 s of its end, in any
/// order.
constexpr milliseconds kMaxEntryReturnTime{2'500};
/// A head that this planner never saw listed cannot be sent a close order. Its
/// members stay reserved for this time, in which the head detects that it has
/// lost contact with them and breaks the group.
constexpr milliseconds kUnknownHeadTimeout{6'000};
/// Maximum time in which an evicting head ends its requests.
constexpr milliseconds kEvictDuration{500};

}  // namespace

// Whether a head may be serving. Another planner may have opened a head that
// the list still shows as ready, if the platform has been unreachable since.
bool GroupPlanner::MayBeServing(const BackendServer& head) const {
  const GroupMembership& member = head.member;
  if (IsServing(member.state) || HasPendingOpen(head.id) ||
      m_in_doubt.MayOpen(head.id, {member.group, member.epoch})) {
    return true;
  }
  auto forming = m_forming.find({member.group, member.epoch});
  bool unopened = forming != m_forming.end() && !forming->second.open_sent;
  return member.state == GroupMemberState::kReady && !unopened;
}

void GroupPlanner::RecordServingHeads(const FleetConfiguration& configuration,
                                      const Servers& servers, TimePoint now) {
  for (const auto& [key, head] : m_serving_heads) {
    if (servers.count(head.id) == 0) {
      OrphanedGroup orphan;
      orphan.head = head;
      orphan.missing_since = orphan.next_attempt_at = now;
      m_orphans.emplace(key, std::move(orphan));
    }
  }
  m_serving_heads.clear();
  for (const auto& [id, server] : servers) {
    const GroupMembership& member = server.member;
    bool engine = FindEngine(configuration, server.service) != nullptr;
    if (engine && member.rank == 0 && MayBeServing(server)) {
      m_serving_heads[{member.group, member.epoch}] = server;
    }
  }
  std::erase_if(m_orphans, [&](const auto& entry) {
    bool is_resolved = entry.second.release_at != TimePoint::max() &&
                       entry.second.release_at + kMaxOrderDelay <= now;
    return servers.count(entry.second.head.id) > 0 || is_resolved;
  });
}

bool GroupPlanner::HasReachableMember(const GroupKey& group,
                                      const Pass& pass) const {
  return std::any_of(
      pass.servers->begin(), pass.servers->end(), [&](const auto& entry) {
        const GroupMembership& member = entry.second.member;
        return member.group == group.first && member.epoch == group.second &&
               pass.failed->count(entry.first) == 0;
      });
}

void GroupPlanner::ResolveOrphanedGroups(Pass* pass) {
  for (auto& [key, orphan] : m_orphans) {
    if (!orphan.was_failing_when_listed) {
      orphan.was_failing_when_listed = m_list_settled && !orphan.head.leaving &&
                                       pass->failed->count(orphan.head.id) > 0;
    }
    if (!HasReachableMember(key, *pass)) {
      // Reserving the members costs nothing while none of them is reachable,
      // because no other group can use them.
      orphan.was_partitioned = true;
      orphan.unanswered_attempts = 0;
      orphan.release_at = TimePoint::max();
      orphan.next_attempt_at = pass->now + kMaxEntryReturnTime;
      continue;
    }
    if (orphan.release_at != TimePoint::max()) continue;
    bool known_unresponsive =
        !orphan.was_partitioned && *orphan.was_failing_when_listed;
    bool stayed_unresponsive =
        orphan.unanswered_attempts >= kMinUnansweredCloses &&
        pass->now - orphan.missing_since >= kMaxLeaveTime &&
        !m_in_doubt.MayOpen(orphan.head.id, key) &&
        !m_in_doubt.MayCarryOutEarlierOrder(orphan.head.id, pass->now);
    if (known_unresponsive || stayed_unresponsive) {
      orphan.release_at = pass->now;
      continue;
    }
    if (pass->now < orphan.next_attempt_at) continue;
    orphan.next_attempt_at = pass->now + kCloseInterval;
    // The order has no expected count. A new planner does not know this head's
    // order count, and a rejection because of a wrong count could not be
    // distinguished from that of a head that does not serve the group. Group
    // and epoch identify the order sufficiently.
    SendUncountedOrder(orphan.head,
                       orphan.may_be_opened ? LeaveOrder(key)
                                            : CloseOrder(key, /*evict=*/true),
                       pass);
  }
}

bool GroupPlanner::OnOrphanAnswered(const std::string& host,
                                    const GroupOrder& order, OrderResult result,
                                    TimePoint now) {
  bool leave = order.kind == GroupOrder::Kind::kLeave;
  if (!leave && order.kind != GroupOrder::Kind::kClose) return false;
  auto found = m_orphans.find({order.group, order.epoch});
  if (found == m_orphans.end() || found->second.head.id != host) return false;
  OrphanedGroup& orphan = found->second;
  if (result == OrderResult::kUnknown || result == OrderResult::kUnreachable) {
    ++orphan.unanswered_attempts;
    return true;
  }
  if (result == OrderResult::kBusy) return true;
  // The head does not serve the group now. A head that was not open has not
  // counted the close order, so an earlier open order can still take effect.
  orphan.unanswered_attempts = 0;
  orphan.may_be_opened =
      !leave && (m_in_doubt.MayOpen(host, found->first) ||
                 m_in_doubt.MayCarryOutEarlierOrder(host, now));
  if (!orphan.may_be_opened) {
    orphan.release_at = std::min(orphan.release_at, now + kEvictDuration);
  }
  return true;
}

TimePoint GroupPlanner::LastMemberReport(const ReportedGroup& group) const {
  TimePoint last;
  for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
    if (group.members[rank] == nullptr) continue;
    auto host = m_hosts.find(group.members[rank]->id);
    if (host != m_hosts.end()) last = std::max(last, host->second.reported_at);
  }
  return last;
}

void GroupPlanner::RecordHeadless(const ReportedGroup& group,
                                  const Pass& pass) {
  GroupKey key{group.name, group.epoch};
  bool missing = group.members.empty() || group.members.front() == nullptr;
  if (missing && HasReachableMember(key, pass)) {
    m_headless_since.try_emplace(key, pass.now);
  } else {
    m_headless_since.erase(key);
  }
}

bool GroupPlanner::HeadIsGone(const ReportedGroup& group) {
  auto found = m_unresponsive_heads.find({group.name, group.epoch});
  if (found == m_unresponsive_heads.end() || group.members.front()->leaving) {
    return false;
  }
  UnresponsiveHead& unresponsive = found->second;
  bool member_reported_after =
      LastMemberReport(group) > unresponsive.last_failure_at;
  if (unresponsive.last_attempt_unreachable &&
      unresponsive.member_reported_before && member_reported_after) {
    ++unresponsive.confirmed_failures;
    unresponsive.last_attempt_unreachable = false;
  }
  return unresponsive.confirmed_failures >= kMinConfirmedFailures;
}

void GroupPlanner::CloseUnresponsiveHead(const ReportedGroup& group,
                                         Pass* pass) {
  const BackendServer& head = *group.members.front();
  auto [entry, added] =
      m_unresponsive_heads.try_emplace({group.name, group.epoch});
  UnresponsiveHead& unresponsive = entry->second;
  if (added) {
    unresponsive.host = head.id;
    unresponsive.last_failure_at = pass->now;
  }
  if (pass->now < unresponsive.next_attempt_at) return;
  unresponsive.next_attempt_at = pass->now + kCloseInterval;
  unresponsive.member_reported_before =
      LastMemberReport(group) > unresponsive.last_failure_at;
  unresponsive.last_attempt_unreachable = false;
  SendUncountedOrder(head, CloseOrder(entry->first, /*evict=*/true), pass);
}

bool GroupPlanner::HeadMayReturn(const ReportedGroup& group,
                                 const Pass& pass) const {
  GroupKey key{group.name, group.epoch};
  if (m_dissolved_groups.count(key) > 0) return false;
  auto orphan = m_orphans.find(key);
  if (orphan != m_orphans.end()) return pass.now < orphan->second.release_at;
  auto forming = m_forming.find(key);
  if (forming != m_forming.end()) {
    // This planner has not opened the head, or the group would be in
    // m_orphans.
    const std::string& head = forming->second.members.front();
    return HasPendingOrder(head) && pass.servers->count(head) > 0;
  }
  auto headless = m_headless_since.find(key);
  return headless == m_headless_since.end() ||
         pass.now - headless->second < kUnknownHeadTimeout;
}

}  // namespace clementine
