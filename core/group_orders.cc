// Tracks the orders that the planner sent and their effects. Each host has at
// most one outstanding order. An order contains the number of orders that it
// expects the host to have accepted, so of two orders with the same number only
// one is carried out. The effect of an order shows in the list, after a delay,
// or in the host's own report.
//
// Orders to heads that left the list or do not answer are exempt: they expect
// no count and may be sent while another order is outstanding. See
// group_heads.cc.
//
// An order that is abandoned may still be carried out, and so may one whose
// host has left the list. InDoubtOrders remembers these.

#include <algorithm>

#include "core/group_planner.h"

namespace clementine {
namespace {

/// Time after which an unanswered order is abandoned. The host can then be sent
/// the same or another order. Both expect the same order count and the host
/// carries out only one of them; which one is in doubt, see InDoubtOrders.
constexpr milliseconds kAnswerTimeout{1'500};
/// Delay after which a host is asked for its report if the list does not show
/// the effect of its order.
constexpr milliseconds kListDelay{2'500};
/// Delay after a rejected order until the next order to the same host.
constexpr milliseconds kRejectionBackoff{1'000};
/// Number of epochs skipped after a rejected join, to pass epochs that an
/// earlier planner used but that are not listed yet.
constexpr std::uint64_t kEpochStep = 16;

}  // namespace

const GroupPlanner::HostRecord* GroupPlanner::FindHostRecord(
    const BackendServer& host) const {
  auto found = m_hosts.find(host.id);
  bool same_incarnation =
      found != m_hosts.end() && found->second.incarnation == host.incarnation;
  return same_incarnation ? &found->second : nullptr;
}

bool GroupPlanner::IsOrderCountKnown(const BackendServer& host) const {
  const HostRecord* record = FindHostRecord(host);
  return record != nullptr && record->order_count_known && !record->busy;
}

void GroupPlanner::OnReport(const std::string& host,
                            const BackendServer& report, TimePoint now) {
  RecordAcceptedOrders(host, report.incarnation, report.orders, now);
  m_in_doubt.OnReport(host, report.incarnation, report.orders, now);
  HostRecord& record = m_hosts[host];
  record.reported_at = now;
  if (record.incarnation == report.incarnation) record.member = report.member;
  // This planner's own orders are newer than the report.
  record.busy =
      report.busy && !HasPendingOrder(host) && m_loads.count(host) == 0;
}

void GroupPlanner::RecordAcceptedOrders(const std::string& host,
                                        std::int64_t incarnation,
                                        std::uint64_t orders, TimePoint now) {
  HostRecord& record = m_hosts[host];
  // Ignores a late report of an earlier incarnation.
  if (record.incarnation > incarnation) return;
  if (record.incarnation != incarnation) {
    record = HostRecord();
    record.incarnation = incarnation;
  }
  // A report can be older than an answer that arrived before it. Order counts
  // only increase within an incarnation.
  record.order_count = std::max(record.order_count, orders);
  record.order_count_known = true;
  auto sent = m_sent_orders.find(host);
  if (sent != m_sent_orders.end() && sent->second.incarnation == incarnation &&
      orders > sent->second.order.expected_orders.value_or(orders) &&
      !sent->second.accepted) {
    sent->second.accepted = true;
    sent->second.accepted_at = now;
  }
}

void GroupPlanner::OnOrderAnswered(const std::string& host,
                                   const GroupOrder& order, OrderResult result,
                                   TimePoint now) {
  m_in_doubt.OnAnswered(host, order, result, now);
  auto unresponsive = m_unresponsive_heads.find({order.group, order.epoch});
  if (unresponsive != m_unresponsive_heads.end() &&
      unresponsive->second.host == host &&
      order.kind == GroupOrder::Kind::kClose) {
    unresponsive->second.last_failure_at = now;
    unresponsive->second.last_attempt_unreachable =
        result == OrderResult::kUnreachable;
    return;
  }
  if (OnOrphanAnswered(host, order, result, now)) return;
  auto found = m_sent_orders.find(host);
  if (found == m_sent_orders.end() ||
      found->second.order.expected_orders != order.expected_orders ||
      found->second.order.kind != order.kind) {
    return;
  }
  if (ProvesNotCarriedOut(result)) {
    if (order.kind == GroupOrder::Kind::kJoin) m_epoch += kEpochStep;
    m_sent_orders.erase(found);
    m_loads.erase(host);
    // The host's next report provides its order count.
    m_hosts[host].order_count_known = false;
    m_hosts[host].order_count = 0;
    m_hosts[host].not_before = now + kRejectionBackoff;
  } else if (result == OrderResult::kNoOp) {
    // The host did not count this order, so an earlier one with the same
    // expected count may still be carried out, see InDoubtOrders.
    HostRecord& record = m_hosts[host];
    // The host is in the group, even if the list does not show it yet.
    if (order.kind == GroupOrder::Kind::kJoin &&
        order.epoch > record.member.epoch) {
      record.member = {order.group, order.epoch, 0, GroupMemberState::kJoining};
    }
    if (order.kind == GroupOrder::Kind::kLeave) {
      RecordLeave(host, order);
      // A host leaves at once, so it has most likely counted the order. If it
      // has not, it rejects the next one and reports its count.
      RecordAcceptedOrders(host, found->second.incarnation,
                           order.expected_orders.value_or(0) + 1, now);
    }
    m_sent_orders.erase(found);
  } else if (result == OrderResult::kAccepted) {
    found->second.accepted = true;
    found->second.accepted_at = now;
    RecordAcceptedOrders(host, found->second.incarnation,
                         order.expected_orders.value_or(0) + 1, now);
    if (order.kind == GroupOrder::Kind::kStage) m_sent_orders.erase(found);
    if (order.kind == GroupOrder::Kind::kLeave) RecordLeave(host, order);
  }
}

void GroupPlanner::ResolveOrders(const Servers& servers, TimePoint now) {
  m_in_doubt.Expire(servers, now);
  std::erase_if(m_sent_orders, [&](const auto& entry) {
    const SentOrder& sent = entry.second;
    auto host = servers.find(entry.first);
    if (host == servers.end() || host->second.incarnation != sent.incarnation) {
      return true;
    }
    if (HasTakenEffect(sent, host->second)) {
      RecordEffect(sent, now);
      if (sent.order.kind == GroupOrder::Kind::kLeave) {
        RecordLeave(entry.first, sent.order);
      }
      return true;
    }
    if (!HasTimedOut(entry.first, sent, now)) return false;
    AbandonOrder(entry.first, sent, now);
    return true;
  });
  std::erase_if(m_loads, [&](const auto& entry) {
    auto host = servers.find(entry.first);
    return host == servers.end() || entry.second.deadline <= now ||
           HasStaged(host->second, entry.second.model);
  });
  std::erase_if(m_hosts, [&](const auto& entry) {
    return servers.count(entry.first) == 0 &&
           std::none_of(m_orphans.begin(), m_orphans.end(),
                        [&](const auto& orphan) {
                          return orphan.second.head.id == entry.first;
                        });
  });
  std::erase_if(m_forming, [&](const auto& entry) {
    return std::none_of(
        entry.second.members.begin(), entry.second.members.end(),
        [&](const std::string& id) {
          auto host = servers.find(id);
          return host != servers.end() &&
                 (HasPendingOrder(id) ||
                  host->second.member.group == entry.first.first);
        });
  });
}

bool GroupPlanner::HasTimedOut(const std::string& host, const SentOrder& sent,
                               TimePoint now) const {
  if (!sent.accepted) return now - sent.sent_at > kAnswerTimeout;
  auto found = m_hosts.find(host);
  if (now - sent.sent_at <= kListDelay || found == m_hosts.end()) return false;
  const HostRecord& record = found->second;
  BackendServer reported;
  reported.member = record.member;
  milliseconds min_delay = InDoubtOrders::kMaxReportDelay;
  if (sent.order.kind == GroupOrder::Kind::kOpen) {
    min_delay += InDoubtOrders::kMaxOpenDuration;
  }
  return record.incarnation == sent.incarnation &&
         record.reported_at >= sent.accepted_at + min_delay &&
         !HasTakenEffect(sent, reported);
}

bool GroupPlanner::MaySendOrders(std::size_t orders) const {
  auto unanswered = static_cast<std::size_t>(
      std::count_if(m_sent_orders.begin(), m_sent_orders.end(),
                    [](const auto& sent) { return !sent.second.accepted; }));
  return unanswered == 0 || unanswered + orders <= kMaxUnansweredOrders;
}

bool GroupPlanner::NeedsReport(const BackendServer& host, TimePoint now) const {
  auto sent = m_sent_orders.find(host.id);
  bool unseen =
      sent != m_sent_orders.end() && now - sent->second.sent_at > kListDelay;
  return unseen || m_in_doubt.NeedsReport(host.id, now);
}

// Within one incarnation of a host, the epochs of its groups only increase. A
// host that has left its group is listed without one.
bool GroupPlanner::IsAheadOfList(const BackendServer& host) const {
  const HostRecord* record = FindHostRecord(host);
  return record != nullptr &&
         record->member.epoch >
             std::max(host.member.epoch, record->left_epoch) &&
         record->member.state != GroupMemberState::kNone;
}

void GroupPlanner::CountExpectedMembers(Pass* pass) const {
  for (const auto& [id, server] : *pass->servers) {
    if (server.service != pass->service || !IsAheadOfList(server)) continue;
    const GroupMembership& member = m_hosts.at(id).member;
    ++pass->expected_members[{member.group, member.epoch}];
  }
}

void GroupPlanner::RecordEffect(const SentOrder& sent, TimePoint now) {
  auto time = std::chrono::duration_cast<milliseconds>(now - sent.sent_at);
  ++m_order_stats.observed_effects;
  m_order_stats.total_effect_delay += time;
  m_order_stats.max_effect_delay =
      std::max(m_order_stats.max_effect_delay, time);
}

void GroupPlanner::RecordLeave(const std::string& host,
                               const GroupOrder& order) {
  m_dissolved_groups.insert({order.group, order.epoch});
  std::uint64_t& left_epoch = m_hosts[host].left_epoch;
  left_epoch = std::max(left_epoch, order.epoch);
}

void GroupPlanner::AbandonOrder(const std::string& host, const SentOrder& sent,
                                TimePoint now) {
  ++m_order_stats.abandoned;
  m_abandoned.push_back(
      {host, sent.order,
       std::chrono::duration_cast<milliseconds>(now - sent.sent_at),
       sent.accepted});
}

bool GroupPlanner::HasTakenEffect(const SentOrder& sent,
                                  const BackendServer& host) const {
  const GroupMembership& member = host.member;
  bool same =
      member.group == sent.order.group && member.epoch == sent.order.epoch;
  switch (sent.order.kind) {
    case GroupOrder::Kind::kJoin:
      return same && member.state != GroupMemberState::kNone;
    case GroupOrder::Kind::kOpen:
      return same && member.state != GroupMemberState::kReady;
    case GroupOrder::Kind::kClose:
      return !same || member.state != GroupMemberState::kOpen;
    case GroupOrder::Kind::kLeave:
      return !same || member.state == GroupMemberState::kNone;
    case GroupOrder::Kind::kStage:
      return sent.accepted;
  }
  return false;
}

bool GroupPlanner::HasPendingOpen(const std::string& host) const {
  auto found = m_sent_orders.find(host);
  return found != m_sent_orders.end() &&
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

GroupOrder GroupPlanner::LeaveOrder(const GroupKey& group) {
  GroupOrder leave;
  leave.kind = GroupOrder::Kind::kLeave;
  leave.group = group.first;
  leave.epoch = group.second;
  return leave;
}

void GroupPlanner::SendUncountedOrder(const BackendServer& host,
                                      GroupOrder order, Pass* pass) {
  m_in_doubt.OnSent(host.id, host.incarnation, order, pass->now);
  pass->orders.push_back({host.id, host.address, std::move(order)});
}

void GroupPlanner::SendOrder(const BackendServer& host, GroupOrder order,
                             Pass* pass) {
  HostRecord& record = m_hosts[host.id];
  order.expected_orders = record.order_count;
  if (order.kind == GroupOrder::Kind::kJoin) record.last_model = order.model;
  if (order.kind == GroupOrder::Kind::kLeave) {
    record.last_model = GroupModel(order.group);
  }
  m_in_doubt.OnSent(host.id, host.incarnation, order, pass->now);
  m_sent_orders[host.id] = {order, host.incarnation, pass->now, false,
                            TimePoint()};
  pass->orders.push_back({host.id, host.address, std::move(order)});
}

}  // namespace clementine
