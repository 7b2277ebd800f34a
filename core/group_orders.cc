// What the planner sent, and what came of it. A host has one order at a time,
// which names the count of orders that it expects, so of two with one count
// only one is carried out. An order's effect shows in the list, which is late,
// or in the host's own report.

#include <algorithm>

#include "core/group_planner.h"

namespace clementine {
namespace {

/// Repeating an order is safe at any time, since it is only carried out at the
/// count of orders that it expects; this bounds how often it is repeated.
constexpr milliseconds kRepeatOrder{1'500};
/// A host whose order hasn't shown in the list by then is asked.
constexpr milliseconds kListDelay{2'500};
/// A report that comes so long after an answer was made after it.
constexpr milliseconds kReportDelay{1'500};
/// A host that rejected an order gets the next one after this time.
constexpr milliseconds kRejectPause{1'000};
/// A closed head has ended its requests by then.
constexpr milliseconds kEvictTime{500};
/// Distance to the epochs that a predecessor may have used without our seeing.
constexpr std::uint64_t kEpochStep = 16;

}  // namespace

const GroupPlanner::Count* GroupPlanner::CountOf(
    const BackendServer& host) const {
  auto found = m_counts.find(host.id);
  bool same_life = found != m_counts.end() && found->second.born == host.born;
  return same_life ? &found->second : nullptr;
}

bool GroupPlanner::Counted(const BackendServer& host) const {
  const Count* count = CountOf(host);
  return count != nullptr && count->known && !count->busy;
}

void GroupPlanner::Reported(const std::string& host,
                            const BackendServer& report, TimePoint now) {
  AddAccepted(host, report.born, report.orders);
  Count& count = m_counts[host];
  count.reported = now;
  if (count.born == report.born) count.member = report.member;
  // What this planner ordered is known better than a report tells.
  count.busy = report.busy && !Waiting(host) && m_loads.count(host) == 0;
}

void GroupPlanner::AddAccepted(const std::string& host, std::int64_t born,
                               std::uint64_t orders) {
  Count& count = m_counts[host];
  if (count.born > born) return;  // A report of an earlier life came late.
  if (count.born != born) {
    count = Count();
    count.born = born;
  }
  // Reports are some hundred ms old; counts only rise within a life.
  count.orders = std::max(count.orders, orders);
  count.known = true;
  auto sent = m_sent.find(host);
  if (sent != m_sent.end() && sent->second.born == born &&
      orders > sent->second.order.expected_orders.value_or(orders)) {
    sent->second.accepted = true;
  }
}

void GroupPlanner::Answered(const std::string& host, const GroupOrder& order,
                            OrderResult result, TimePoint now) {
  auto silent = m_silent_heads.find({order.group, order.epoch});
  if (silent != m_silent_heads.end() && silent->second.host == host &&
      order.kind == GroupOrder::Kind::kClose) {
    silent->second.failed_at = now;
    silent->second.unreachable = result == OrderResult::kUnreachable;
    return;
  }
  for (auto& [key, orphan] : m_orphans) {
    if (orphan.head.id != host || order.kind != GroupOrder::Kind::kClose) {
      continue;
    }
    if (result == OrderResult::kUnknown ||
        result == OrderResult::kUnreachable) {
      ++orphan.unanswered;
    } else if (result != OrderResult::kBusy) {
      // Closed now, or not serving this group before.
      orphan.free_at = std::min(orphan.free_at, now + kEvictTime);
    }
    return;
  }
  auto found = m_sent.find(host);
  if (found == m_sent.end() ||
      found->second.order.expected_orders != order.expected_orders ||
      found->second.order.kind != order.kind) {
    return;
  }
  if (ProvesNotCarriedOut(result)) {
    if (order.kind == GroupOrder::Kind::kJoin) m_epoch += kEpochStep;
    m_sent.erase(found);
    m_loads.erase(host);
    // Its own count replaces the one that was expected.
    m_counts[host].known = false;
    m_counts[host].orders = 0;
    m_counts[host].not_before = now + kRejectPause;
  } else if (result == OrderResult::kHolds) {
    // A server that doesn't count a repeated join can't be fenced any better.
    Count& count = m_counts[host];
    count.fenced_at = now;
    count.pending_join_until = TimePoint();
    // It's in the group, whatever the list shows.
    if (order.kind == GroupOrder::Kind::kJoin &&
        order.epoch > count.member.epoch) {
      count.member = {order.group, order.epoch, 0, GroupMemberState::kJoining};
    }
    m_sent.erase(found);
  } else if (result == OrderResult::kAccepted) {
    found->second.accepted = true;
    found->second.accepted_at = now;
    m_counts[host].fenced_at = now;
    AddAccepted(host, found->second.born,
                order.expected_orders.value_or(0) + 1);
    if (order.kind == GroupOrder::Kind::kStage) m_sent.erase(found);
  }
}

void GroupPlanner::Settle(const Servers& servers, TimePoint now) {
  std::erase_if(m_sent, [&](const auto& entry) {
    const Sent& sent = entry.second;
    auto host = servers.find(entry.first);
    if (host == servers.end() || host->second.born != sent.born) return true;
    if (TookEffect(sent, host->second)) {
      NoteEffect(sent, now);
      return true;
    }
    if (!IsOver(entry.first, sent, now)) return false;
    Abandon(entry.first, sent, now);
    if (!sent.accepted && sent.order.kind == GroupOrder::Kind::kJoin) {
      Count& count = m_counts[entry.first];
      count.pending_join_count = sent.order.expected_orders.value_or(0);
      count.pending_join_until = sent.at + kLateOrderShows;
    }
    return true;
  });
  std::erase_if(m_loads, [&](const auto& entry) {
    auto host = servers.find(entry.first);
    return host == servers.end() || entry.second.give_up <= now ||
           HasStaged(host->second, entry.second.model);
  });
  std::erase_if(m_counts, [&](const auto& entry) {
    return servers.count(entry.first) == 0 &&
           std::none_of(m_orphans.begin(), m_orphans.end(),
                        [&](const auto& orphan) {
                          return orphan.second.head.id == entry.first;
                        });
  });
  std::erase_if(m_forming, [&](const auto& entry) {
    return std::none_of(entry.second.members.begin(),
                        entry.second.members.end(), [&](const std::string& id) {
                          auto host = servers.find(id);
                          return host != servers.end() &&
                                 (Waiting(id) || host->second.member.group ==
                                                     entry.first.first);
                        });
  });
}

bool GroupPlanner::IsOver(const std::string& host, const Sent& sent,
                          TimePoint now) const {
  if (!sent.accepted) {
    bool open = sent.order.kind == GroupOrder::Kind::kOpen;
    return now - sent.at > (open ? kLateOrder : kRepeatOrder);
  }
  auto found = m_counts.find(host);
  if (now - sent.at <= kListDelay || found == m_counts.end()) return false;
  const Count& count = found->second;
  BackendServer reported;
  reported.member = count.member;
  return count.born == sent.born &&
         count.reported >= sent.accepted_at + kReportDelay &&
         !TookEffect(sent, reported);
}

bool GroupPlanner::MaySend(std::size_t orders) const {
  auto unanswered = static_cast<std::size_t>(
      std::count_if(m_sent.begin(), m_sent.end(),
                    [](const auto& sent) { return !sent.second.accepted; }));
  return unanswered == 0 || unanswered + orders <= kMostUnanswered;
}

bool GroupPlanner::NeedsReport(const BackendServer& host, TimePoint now) const {
  auto sent = m_sent.find(host.id);
  return sent != m_sent.end() && now - sent->second.at > kListDelay;
}

// Epochs of a host's groups only rise within its life.
bool GroupPlanner::IsAhead(const BackendServer& host) const {
  const Count* count = CountOf(host);
  return count != nullptr && count->member.epoch > host.member.epoch &&
         count->member.state != GroupMemberState::kNone;
}

void GroupPlanner::CountComing(Pass* pass) const {
  for (const auto& [id, server] : *pass->servers) {
    if (server.service != pass->service || !IsAhead(server)) continue;
    const GroupMembership& member = m_counts.at(id).member;
    ++pass->coming[{member.group, member.epoch}];
  }
}

void GroupPlanner::NoteEffect(const Sent& sent, TimePoint now) {
  auto time = std::chrono::duration_cast<milliseconds>(now - sent.at);
  ++m_order_stats.effects;
  m_order_stats.effect_time += time;
  m_order_stats.longest_effect = std::max(m_order_stats.longest_effect, time);
}

void GroupPlanner::Abandon(const std::string& host, const Sent& sent,
                           TimePoint now) {
  ++m_order_stats.abandoned;
  m_abandoned.push_back(
      {host, sent.order,
       std::chrono::duration_cast<milliseconds>(now - sent.at), sent.accepted});
}

bool GroupPlanner::TookEffect(const Sent& sent,
                              const BackendServer& host) const {
  const GroupMembership& member = host.member;
  bool same =
      member.group == sent.order.group && member.epoch == sent.order.epoch;
  switch (sent.order.kind) {
    case GroupOrder::Kind::kJoin:
      return same && member.state != GroupMemberState::kNone &&
             (sent.accepted || !sent.again);
    case GroupOrder::Kind::kOpen:
      return same && member.state != GroupMemberState::kReady;
    case GroupOrder::Kind::kClose:
      return !same || member.state != GroupMemberState::kOpen;
    case GroupOrder::Kind::kStage:
      return sent.accepted;
  }
  return false;
}

bool GroupPlanner::OpenMayBeLate(const std::string& host) const {
  auto found = m_sent.find(host);
  return found != m_sent.end() &&
         found->second.order.kind == GroupOrder::Kind::kOpen;
}

GroupOrder GroupPlanner::JoinOrder(const GroupKey& group,
                                   const std::string& model,
                                   const Hosts& members) {
  GroupOrder join;
  join.kind = GroupOrder::Kind::kJoin;
  join.group = group.first;
  join.epoch = group.second;
  join.model = model;
  for (const BackendServer* member : members) {
    join.members.push_back(member->id);
  }
  return join;
}

GroupOrder GroupPlanner::CloseOrder(const GroupKey& group, bool evict) {
  GroupOrder close;
  close.kind = GroupOrder::Kind::kClose;
  close.group = group.first;
  close.epoch = group.second;
  close.evict = evict;
  return close;
}

void GroupPlanner::Send(const BackendServer& host, GroupOrder order, Pass* pass,
                        bool again) {
  Count& count = m_counts[host.id];
  order.expected_orders = count.orders;
  if (order.kind == GroupOrder::Kind::kJoin) count.last_model = order.model;
  m_sent[host.id] = {order, host.born, pass->now, false, TimePoint(), again};
  pass->orders.push_back({host.id, host.address, std::move(order)});
}

}  // namespace clementine
