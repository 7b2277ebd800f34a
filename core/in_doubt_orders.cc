#include "core/in_doubt_orders.h"

#include <algorithm>
#include <iterator>

namespace clementine {
namespace {

bool IsSameOrder(const GroupOrder& a, const GroupOrder& b) {
  return a.kind == b.kind && a.group == b.group && a.epoch == b.epoch &&
         a.expected_orders == b.expected_orders;
}

}  // namespace

InDoubtOrders::Host* InDoubtOrders::FindHost(const std::string& host,
                                             std::int64_t incarnation) {
  auto [entry, added] = m_hosts.try_emplace(host);
  Host& state = entry->second;
  if (state.incarnation > incarnation) return nullptr;
  if (state.incarnation != incarnation) {
    state = Host();
    state.incarnation = incarnation;
  }
  return &state;
}

void InDoubtOrders::RemoveCounted(Host* host, std::uint64_t count,
                                  TimePoint now) {
  std::erase_if(host->orders, [&](InDoubtOrder& sent) {
    if (sent.order.expected_orders.value_or(count) >= count) return false;
    if (sent.order.kind != GroupOrder::Kind::kOpen) return true;
    if (!sent.counted_at) sent.counted_at = now;
    return false;
  });
}

TimePoint InDoubtOrders::DecidingReportAt(const InDoubtOrder& sent) {
  return sent.counted_at ? *sent.counted_at + kMaxOpenDuration + kMaxReportDelay
                         : sent.sent_at + kMaxOrderTransit + kMaxOrderDelay +
                               kMaxReportDelay;
}

void InDoubtOrders::OnTermStarted(TimePoint now) {
  m_term_started_at = now;
  for (auto& [id, host] : m_hosts) {
    host.initial_count.reset();
    host.accepted_at.reset();
    host.fenced = false;
  }
}

void InDoubtOrders::OnSent(const std::string& host, std::int64_t incarnation,
                           const GroupOrder& order, TimePoint now) {
  if (Host* state = FindHost(host, incarnation)) {
    state->orders.push_back({order, now, false, {}});
  }
}

// Two copies of one order can be on their way. Which of them an answer belongs
// to is unknown, so the later one is kept.
void InDoubtOrders::OnAnswered(const std::string& host, const GroupOrder& order,
                               OrderResult result, TimePoint now) {
  auto found = m_hosts.find(host);
  if (found == m_hosts.end()) return;
  Host& state = found->second;
  auto is_answered = [&](const InDoubtOrder& sent) {
    return !sent.ended && IsSameOrder(sent.order, order);
  };
  if (result == OrderResult::kUnknown) {
    auto sent =
        std::find_if(state.orders.rbegin(), state.orders.rend(), is_answered);
    if (sent != state.orders.rend()) sent->ended = true;
    return;
  }
  auto sent =
      std::find_if(state.orders.begin(), state.orders.end(), is_answered);
  if (sent == state.orders.end()) return;
  InDoubtOrder answered = *sent;
  state.orders.erase(sent);
  if (result != OrderResult::kAccepted) return;
  state.fenced = true;
  // Every order that was sent before expects a lower count than the host has
  // now. This one ends what an earlier one began, unless it stages weights.
  bool stages = order.kind == GroupOrder::Kind::kStage;
  std::erase_if(state.orders, [&](const InDoubtOrder& other) {
    if (!other.order.expected_orders) return false;
    if (!order.expected_orders) return other.sent_at <= answered.sent_at;
    return *other.order.expected_orders == *order.expected_orders ||
           (*other.order.expected_orders < *order.expected_orders && !stages);
  });
  if (order.kind == GroupOrder::Kind::kOpen) {
    answered.counted_at = now;
    state.orders.push_back(answered);
  }
}

void InDoubtOrders::OnReport(const std::string& host, std::int64_t incarnation,
                             std::uint64_t orders, TimePoint now) {
  Host* state = FindHost(host, incarnation);
  if (state == nullptr) return;
  // A report may be older than the term.
  bool may_be_older = now < m_term_started_at + kMaxReportDelay;
  if (!state->initial_count || may_be_older) {
    state->initial_count = std::max(state->initial_count.value_or(0), orders);
  }
  if (orders > *state->initial_count) {
    if (!state->accepted_at) state->accepted_at = now;
    state->fenced =
        state->fenced ||
        now >= *state->accepted_at + kMaxOpenDuration + kMaxReportDelay;
  }
  RemoveCounted(state, orders, now);
  std::erase_if(state->orders, [&](const InDoubtOrder& sent) {
    return now >= DecidingReportAt(sent);
  });
}

void InDoubtOrders::Expire(const std::map<std::string, BackendServer>& servers,
                           TimePoint now) {
  constexpr milliseconds kMaxDoubt =
      kMaxOrderTransit + kMaxOrderDelay + kMaxEntryAge;
  bool term_settled = now - m_term_started_at > kMaxDoubt;
  for (auto entry = m_hosts.begin(); entry != m_hosts.end();) {
    Host& host = entry->second;
    auto listed = servers.find(entry->first);
    bool replaced = listed != servers.end() &&
                    listed->second.incarnation > host.incarnation;
    std::erase_if(host.orders, [&](const InDoubtOrder& sent) {
      return replaced || now - sent.sent_at > kMaxDoubt;
    });
    // Counts are needed for as long as orders of earlier planners are in doubt.
    bool needed = !host.orders.empty() || (!replaced && !term_settled);
    entry = needed ? std::next(entry) : m_hosts.erase(entry);
  }
}

bool InDoubtOrders::HasOrder(
    const std::string& host,
    const std::function<bool(const InDoubtOrder&)>& predicate) const {
  auto found = m_hosts.find(host);
  return found != m_hosts.end() &&
         std::any_of(found->second.orders.begin(), found->second.orders.end(),
                     predicate);
}

bool InDoubtOrders::MayOpen(const std::string& head,
                            const GroupKey& group) const {
  return HasOrder(head, [&](const InDoubtOrder& sent) {
    return sent.order.kind == GroupOrder::Kind::kOpen &&
           GroupKey(sent.order.group, sent.order.epoch) == group;
  });
}

bool InDoubtOrders::MayJoinAnother(const std::string& member,
                                   const GroupKey& group) const {
  return HasOrder(member, [&](const InDoubtOrder& sent) {
    return sent.order.kind == GroupOrder::Kind::kJoin &&
           sent.order.epoch >= group.second &&
           GroupKey(sent.order.group, sent.order.epoch) != group;
  });
}

bool InDoubtOrders::MayClose(const std::string& head,
                             const GroupKey& group) const {
  return HasOrder(head, [&](const InDoubtOrder& sent) {
    bool closes = sent.order.kind == GroupOrder::Kind::kClose ||
                  sent.order.kind == GroupOrder::Kind::kLeave;
    return closes && !sent.order.expected_orders &&
           GroupKey(sent.order.group, sent.order.epoch) == group;
  });
}

bool InDoubtOrders::MayCarryOutEarlierOrder(const std::string& host,
                                            TimePoint now) const {
  auto found = m_hosts.find(host);
  bool fenced = found != m_hosts.end() && found->second.fenced;
  return !fenced && now - m_term_started_at <=
                        kMaxOrderTransit + kMaxOrderDelay + kMaxReportDelay;
}

bool InDoubtOrders::NeedsReport(const std::string& host, TimePoint now) const {
  return HasOrder(host, [&](const InDoubtOrder& sent) {
    return now >= DecidingReportAt(sent);
  });
}

}  // namespace clementine
