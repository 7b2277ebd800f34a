// Orders are derived from the difference between the stored placement and the
// health of the hosts, so a lost order is sent again while the difference
// remains. A host in the wrong group is unloaded first, and is loaded only
// after its health has confirmed the unload.

#include "core/order_dispatch.h"

#include <algorithm>
#include <utility>

namespace clementine {
namespace {

bool IsIdle(const HostHealth& health) {
  return health.state == "idle" && health.group.empty();
}

/// Returns the group names in loading order: groups of specs with the fewest
/// open replicas first.
std::vector<std::string> GroupsByLoadPriority(const Placement& stored,
                                              const Presence& presence) {
  std::map<std::string, int> open_replicas;
  for (const GroupView& view : presence.views()) {
    auto group = stored.groups.find(view.group);
    if (group != stored.groups.end() && view.open) {
      ++open_replicas[group->second.spec];
    }
  }
  std::vector<std::string> names;
  for (const auto& [name, group] : stored.groups) {
    names.push_back(name);
  }
  std::stable_sort(names.begin(), names.end(),
                   [&](const auto& a, const auto& b) {
                     return open_replicas[stored.groups.at(a).spec] <
                            open_replicas[stored.groups.at(b).spec];
                   });
  return names;
}

}  // namespace

bool OrderDispatch::IsOutstanding(const HostOrders& orders,
                                  TimePoint now) const {
  return orders.call != 0 && now - orders.sent_at <= m_max_order_duration;
}

bool OrderDispatch::HasNoOutstandingOrders(TimePoint now) const {
  return std::none_of(m_orders.begin(), m_orders.end(), [&](const auto& entry) {
    return IsOutstanding(entry.second, now);
  });
}

bool OrderDispatch::IsConfirmedIdle(const HostPresence& host,
                                    const Presence& presence,
                                    TimePoint now) const {
  if (!presence.HasFreshHealth(host, now) || !IsIdle(*host.health) ||
      host.probed_at < m_earlier_orders_ended_at) {
    return false;
  }
  auto found = m_orders.find(host.info.host);
  if (found == m_orders.end()) {
    return true;
  }
  const HostOrders& orders = found->second;
  TimePoint settled_at = orders.call != 0
                             ? orders.sent_at + m_max_order_duration
                             : orders.settled_at;
  return !IsOutstanding(orders, now) && host.probed_at >= settled_at;
}

bool OrderDispatch::IsDue(const HostPresence& host, const Presence& presence,
                          TimePoint now) const {
  if (!host.info.engine || !presence.HasFreshHealth(host, now) ||
      host.probed_at < m_earlier_orders_ended_at) {
    return false;
  }
  auto found = m_orders.find(host.info.host);
  if (found == m_orders.end()) {
    return true;
  }
  // Health queried before the last order was settled may not show its effect.
  return !IsOutstanding(found->second, now) && now >= found->second.next_at &&
         host.probed_at >= found->second.settled_at;
}

void OrderDispatch::Send(const HostPresence& host, HostOrder order,
                         TimePoint now, Actions* out) {
  HostOrders& orders = m_orders[host.info.host];
  orders.call = m_calls->NextId();
  orders.sent_at = now;
  orders.settled_at = now;
  // Each order counts as a failure until the health of the host matches the
  // placement, which spaces repeated orders further apart.
  orders.next_at = orders.backoff.OnFailure(now, m_jitter);
  out->push_back(LogDecision{"order",
                             {{"host", host.info.host},
                              {"kind", order.kind},
                              {"group", order.group},
                              {"epoch", std::to_string(order.epoch)},
                              {"fence", std::to_string(order.fence)}}});
  out->push_back(SendOrder{orders.call, host.info.host, host.info.address,
                           std::move(order), now + m_max_order_duration});
}

void OrderDispatch::Unload(const HostPresence& host, std::uint64_t fence,
                           TimePoint now, Actions* out) {
  HostOrder order;
  order.kind = "unload";
  order.group = host.health->group;
  order.epoch = host.health->epoch;
  order.fence = fence;
  Send(host, std::move(order), now, out);
}

void OrderDispatch::OrderMember(const std::string& name,
                                const PlacedGroup& group, int rank,
                                const HostPresence& host, std::uint64_t fence,
                                TimePoint now, Actions* out) {
  const HostHealth& health = *host.health;
  bool same_group = health.group == name && health.epoch <= group.epoch;
  if (!health.group.empty() && !same_group) {
    Unload(host, fence, now, out);
    return;
  }
  HostOrder order;
  order.group = name;
  order.epoch = group.epoch;
  order.rank = rank;
  order.hosts = group.hosts;
  order.model = group.model;
  order.version = group.version;
  order.weights = group.weights;
  order.adapters = group.adapters;
  order.fence = fence;
  bool member = health.epoch == group.epoch && health.group == name &&
                health.hosts == group.hosts;
  if (!member) {
    order.kind = "load";
    Send(host, std::move(order), now, out);
    return;
  }
  if (health.state != "serving") {
    return;
  }
  std::erase_if(order.adapters, [&](const std::string& adapter) {
    return std::find(health.adapters.begin(), health.adapters.end(), adapter) !=
           health.adapters.end();
  });
  if (!order.adapters.empty()) {
    order.kind = "load_adapter";
    Send(host, std::move(order), now, out);
    return;
  }
  auto found = m_orders.find(host.info.host);
  if (found != m_orders.end()) {
    found->second.backoff.OnSuccess();
  }
}

void OrderDispatch::Advance(const Placement& stored, const Presence& presence,
                            std::uint64_t fence, int max_loading, TimePoint now,
                            Actions* out) {
  std::set<std::string> members;
  int loading = 0;
  std::vector<std::string> names = GroupsByLoadPriority(stored, presence);
  auto in_progress = [&](const std::string& name) {
    const PlacedGroup& group = stored.groups.at(name);
    return std::any_of(
        group.hosts.begin(), group.hosts.end(), [&](const auto& host) {
          const HostPresence* record = presence.Find(host);
          return record != nullptr && presence.HasFreshHealth(*record, now) &&
                 record->health->state == "loading";
        });
  };
  for (const std::string& name : names) {
    loading += in_progress(name) ? 1 : 0;
  }
  for (const std::string& name : names) {
    const PlacedGroup& group = stored.groups.at(name);
    members.insert(group.hosts.begin(), group.hosts.end());
    bool may_load = in_progress(name) || loading < max_loading;
    if (!may_load || group.phase == GroupPhase::kDraining) {
      continue;
    }
    std::size_t before = out->size();
    for (std::size_t rank = 0; rank < group.hosts.size(); ++rank) {
      const HostPresence* host = presence.Find(group.hosts[rank]);
      if (host != nullptr && IsDue(*host, presence, now)) {
        OrderMember(name, group, static_cast<int>(rank), *host, fence, now,
                    out);
      }
    }
    loading += out->size() > before && !in_progress(name) ? 1 : 0;
  }
  for (const auto& [name, host] : presence.hosts()) {
    if (members.count(name) == 0 && host.health && IsDue(host, presence, now) &&
        !IsIdle(*host.health)) {
      Unload(host, fence, now, out);
    }
  }
}

bool OrderDispatch::OnOrderAnswered(const OrderAnswered& answer, TimePoint now,
                                    Actions* out) {
  auto found = m_orders.find(answer.host);
  if (found == m_orders.end() || found->second.call != answer.call) {
    return false;
  }
  HostOrders& orders = found->second;
  bool refused = !answer.accepted && answer.sent;
  if (answer.accepted || !answer.sent) {
    orders.call = 0;
    orders.settled_at = now;
  }
  if (refused) {
    out->push_back(LogDecision{"order_refused", {{"host", answer.host}}});
  }
  return refused;
}

}  // namespace clementine
