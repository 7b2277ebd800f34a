// Weighted policy: the cheapest of a few random groups and of the groups that
// hold the longest known prefix of the prompt. Looking at a sample keeps the
// cost of a decision flat as groups are added, and avoids that all daemons
// choose the same group after the same load report.
//
// The cost of a group is its load relative to its capacity, times its
// slowness, plus the part of the prompt that it would have to compute. Other
// daemons' load fades with the age of the report.
//
// Groups of the own data centre come first. Others are used when the own ones
// run as much as this daemon's part of their capacity.

#include "core/router.h"

#include <algorithm>
#include <cmath>

namespace clementine {

namespace {

constexpr std::size_t kSample = 4;
constexpr std::size_t kMaxCachedBlocks = 65'536;
constexpr std::chrono::duration<double> kReportHalfLife{2.0};
// A group that would have to compute the whole prompt may have this much less
// load, relative to its capacity, than one that has it cached.
constexpr double kPromptCost = 0.5;
constexpr double kKvNearlyFull = 0.9;
constexpr double kKvCost = 1.0;
// Part of other data centres' capacity that this one may use.
constexpr double kSpill = 0.5;
constexpr std::chrono::seconds kRefreshInterval{1};

std::string PoolName(const std::string& service, const std::string& model,
                     const std::string& adapter) {
  if (!service.empty()) {
    return "service/" + service;
  }
  return adapter.empty() ? "model/" + model : "model/" + model + "/" + adapter;
}

int Capacity(const GroupState& group) {
  return group.half_open ? 1 : std::max(1, group.view.max_running);
}

}  // namespace

RoutePolicy RoundRobinPolicy() {
  auto next = std::make_shared<std::size_t>(0);
  return
      [next](const Request&, const std::vector<const GroupView*>& candidates,
             const std::vector<int>&) { return (*next)++ % candidates.size(); };
}

RoutePolicy LeastInFlightPolicy() {
  return [](const Request&, const std::vector<const GroupView*>&,
            const std::vector<int>& in_flight) {
    return static_cast<std::size_t>(
        std::min_element(in_flight.begin(), in_flight.end()) -
        in_flight.begin());
  };
}

Router::Router(std::string data_centre, std::uint64_t seed, RoutePolicy policy)
    : m_data_centre(std::move(data_centre)),
      m_random(seed),
      m_policy(std::move(policy)),
      m_cache(kMaxCachedBlocks),
      m_backoff(seed + 1) {}

void Router::SetGroups(const std::vector<GroupView>& groups) {
  ClearPools();
  for (auto& [name, group] : m_groups) {
    group->listed = false;
    group->pools.clear();
  }
  for (const GroupView& view : groups) {
    std::unique_ptr<GroupState>& state = m_groups[view.group];
    if (state == nullptr) {
      state = std::make_unique<GroupState>();
      auto free = std::find(m_slots.begin(), m_slots.end(), nullptr);
      state->slot = static_cast<PrefixCache::Slot>(free - m_slots.begin());
      if (free == m_slots.end()) {
        m_slots.push_back(nullptr);
      }
      m_slots[state->slot] = state.get();
      m_cache.Reset(state->slot);
    }
    Update(state.get(), view);
  }
  m_backoff.Keep([&](const std::string& host) {
    return std::any_of(
        groups.begin(), groups.end(),
        [&](const GroupView& view) { return view.leader_host == host; });
  });
  RemoveUnused();
}

void Router::Update(GroupState* group, const GroupView& view) {
  if (group->view.epoch != view.epoch) {
    m_cache.Reset(group->slot);
    group->pace = Pace();
    group->others = 0.0;
    group->kv_used = 0.0;
  }
  group->view = view;
  group->listed = true;
  group->near = view.data_centre == m_data_centre;
  EnlistAll(group);
}

void Router::EnlistAll(GroupState* group) {
  const GroupView& view = group->view;
  group->half_open =
      m_backoff.Judge(view.leader_host) == ServerBackoff::Verdict::kOneAtATime;
  // The pool is created for closed groups as well, so that a known model
  // without open groups differs from an unknown one.
  Enlist(group, PoolName(view.service, view.model, ""));
  for (const std::string& adapter : view.adapters) {
    Enlist(group, PoolName(view.service, view.model, adapter));
  }
}

void Router::Enlist(GroupState* group, const std::string& pool_name) {
  Pool* pool = MakePool(pool_name);
  bool twice = std::find(group->pools.begin(), group->pools.end(), pool) !=
               group->pools.end();
  if (!group->view.open || group->view.leaving || twice) {
    return;
  }
  if (auto until = m_backoff.Until(group->view.leader_host)) {
    pool->backoff_until =
        std::min(pool->backoff_until.value_or(*until), *until);
    return;
  }
  (group->near ? pool->near : pool->far).push_back(group);
  (group->near ? pool->near_in_flight : pool->far_in_flight) +=
      group->in_flight;
  if (group->isolated) {
    ++pool->isolated;
  } else {
    (group->near ? pool->near_capacity : pool->far_capacity) +=
        Capacity(*group);
  }
  group->pools.push_back(pool);
}

void Router::ClearPools() {
  for (auto& [name, pool] : m_pools) {
    pool->near.clear();
    pool->far.clear();
    pool->near_capacity = 0;
    pool->far_capacity = 0;
    pool->near_in_flight = 0;
    pool->far_in_flight = 0;
    pool->isolated = 0;
    pool->backoff_until.reset();
  }
}

void Router::EnlistAgain() {
  ClearPools();
  for (auto& [name, group] : m_groups) {
    group->pools.clear();
    if (group->listed) EnlistAll(group.get());
  }
}

void Router::HoldBack(const std::string& host, milliseconds wait,
                      TimePoint now) {
  m_backoff.Asked(host, wait, now);
  EnlistAgain();
}

void Router::Took(const std::string& host) {
  if (m_backoff.Took(host)) EnlistAgain();
}

void Router::EndBackoff(TimePoint now) {
  if (m_backoff.Advance(now)) EnlistAgain();
}

void Router::RemoveUnused() {
  std::erase_if(m_groups, [this](const auto& entry) {
    const GroupState& group = *entry.second;
    bool unused = !group.listed && group.in_flight == 0 && !group.isolated;
    if (unused) {
      m_cache.Reset(group.slot);
      m_slots[group.slot] = nullptr;
    }
    return unused;
  });
  std::erase_if(m_pools, [this](const auto& entry) {
    if (entry.second->users > 0 || entry.second->size() > 0) {
      return false;
    }
    return std::none_of(
        m_groups.begin(), m_groups.end(), [&](const auto& group) {
          const GroupView& view = group.second->view;
          return group.second->listed &&
                 PoolName(view.service, view.model, "") == entry.first;
        });
  });
}

void Router::ReportLoad(const LoadReport& load, milliseconds age,
                        TimePoint now) {
  auto found = m_groups.find(load.group);
  if (found == m_groups.end() || found->second->view.epoch != load.epoch) {
    return;
  }
  GroupState& group = *found->second;
  TimePoint measured = now - std::max(age, milliseconds(0));
  if (measured < group.reported) {
    return;
  }
  group.others = std::max(
      0.0, static_cast<double>(load.running + load.waiting - group.in_flight));
  group.kv_used = load.kv_used;
  group.reported = measured;
}

void Router::ApplyCacheEvents(const CacheEvents& events) {
  auto found = m_groups.find(events.group);
  if (found != m_groups.end()) {
    m_cache.Apply(found->second->slot, events.first_sequence, events.added,
                  events.removed);
  }
}

void Router::Refresh(TimePoint now) {
  if (now - m_refreshed < kRefreshInterval) {
    return;
  }
  m_refreshed = now;
  std::vector<Pace*> peers;
  for (auto& [name, pool] : m_pools) {
    peers.clear();
    for (const auto* list : {&pool->near, &pool->far}) {
      for (GroupState* group : *list) {
        // A group is compared in the pool of its model or service only.
        if (group->pools.front() == pool.get()) {
          peers.push_back(&group->pace);
        }
      }
    }
    UpdateSlowness(peers, now);
  }
}

std::vector<std::uint32_t> Router::PoolIds() const {
  std::vector<std::uint32_t> ids;
  for (const auto& [name, pool] : m_pools) {
    ids.push_back(pool->id);
  }
  return ids;
}

Pool* Router::FindPool(const Request& request) {
  auto found =
      m_pools.find(PoolName(request.service, request.model, request.adapter));
  return found == m_pools.end() ? nullptr : found->second.get();
}

Pool* Router::MakePool(const Request& request) {
  return MakePool(PoolName(request.service, request.model, request.adapter));
}

Pool* Router::MakePool(const std::string& name) {
  std::unique_ptr<Pool>& pool = m_pools[name];
  if (pool == nullptr) {
    pool = std::make_unique<Pool>();
    pool->name = name;
    pool->id = ++m_last_pool;
  }
  return pool.get();
}

int Router::Limit(const Pool& pool) const {
  if (pool.near_capacity + pool.far_capacity == 0) {
    return 0;
  }
  double capacity = pool.near_capacity + kSpill * pool.far_capacity;
  return std::max(1, static_cast<int>(capacity * m_share));
}

bool Router::NearIsFull(const Pool& pool) const {
  return pool.near_in_flight >=
         std::max(pool.near_capacity > 0 ? 1 : 0,
                  static_cast<int>(pool.near_capacity * m_share));
}

GroupState* Router::Pick(const Request& request, const Pool& pool,
                         const GroupState* avoid, TimePoint now) {
  if (m_policy) {
    return Ask(request, pool, avoid);
  }
  bool spill = NearIsFull(pool) && !pool.far.empty();
  for (bool far : {spill, !spill}) {
    double cost = 0.0;
    GroupState* cached = BestCached(request, pool, far, avoid, &cost, now);
    double sample_cost = 0.0;
    GroupState* sampled =
        Sample(far ? pool.far : pool.near, avoid, &sample_cost, now);
    if (sampled != nullptr && (cached == nullptr || sample_cost < cost)) {
      return sampled;
    }
    if (cached != nullptr) {
      return cached;
    }
  }
  return nullptr;
}

double Router::Load(const GroupState& group, TimePoint now) const {
  double others = 0.0;
  if (group.others > 0.0) {
    std::chrono::duration<double> age = now - group.reported;
    others = group.others * std::exp2(-age / kReportHalfLife);
  }
  return (group.in_flight + others + 1.0) / Capacity(group);
}

double Router::Cost(const GroupState& group, double cached,
                    TimePoint now) const {
  double cost = Load(group, now) * group.pace.slowness();
  cost += kPromptCost * (1.0 - cached);
  if (group.kv_used > kKvNearlyFull) {
    cost += kKvCost;
  }
  if (group.in_flight >= Capacity(group)) {
    cost += 1.0;
  }
  return cost;
}

GroupState* Router::Sample(const std::vector<GroupState*>& list,
                           const GroupState* avoid, double* cost,
                           TimePoint now) {
  GroupState* best = nullptr;
  auto consider = [&](GroupState* group) {
    if (!Eligible(*group, avoid)) {
      return;
    }
    double own = Cost(*group, 0.0, now);
    if (best == nullptr || own < *cost) {
      best = group;
      *cost = own;
    }
  };
  if (list.empty()) {
    return nullptr;
  }
  std::size_t start = m_random() % list.size();
  if (list.size() > kSample) {
    consider(list[start]);
    for (std::size_t i = 1; i < kSample; ++i) {
      consider(list[m_random() % list.size()]);
    }
  }
  // A short list, or a sample of which no group may be used.
  for (std::size_t i = 0; i < list.size() && best == nullptr; ++i) {
    consider(list[(start + i) % list.size()]);
  }
  if (list.size() <= kSample) {
    for (std::size_t i = 0; i < list.size(); ++i) {
      consider(list[(start + i) % list.size()]);
    }
  }
  return best;
}

GroupState* Router::BestCached(const Request& request, const Pool& pool,
                               bool far, const GroupState* avoid, double* cost,
                               TimePoint now) {
  if (request.prefix_blocks.empty()) {
    return nullptr;
  }
  PrefixCache::Match match = m_cache.Find(request.prefix_blocks);
  GroupState* best = nullptr;
  for (std::size_t i = 0; i < match.count; ++i) {
    GroupState* group = m_slots[match.slots[i]];
    if (group == nullptr || group->near == far || !Eligible(*group, avoid) ||
        std::find(group->pools.begin(), group->pools.end(), &pool) ==
            group->pools.end()) {
      continue;
    }
    double own = Cost(*group, match.fraction, now);
    if (best == nullptr || own < *cost) {
      best = group;
      *cost = own;
    }
  }
  return best;
}

GroupState* Router::Ask(const Request& request, const Pool& pool,
                        const GroupState* avoid) {
  std::vector<GroupState*> groups;
  std::vector<const GroupView*> views;
  std::vector<int> in_flight;
  for (const auto* list : {&pool.near, &pool.far}) {
    for (GroupState* group : *list) {
      if (Eligible(*group, avoid)) {
        groups.push_back(group);
        views.push_back(&group->view);
        in_flight.push_back(group->in_flight);
      }
    }
  }
  if (groups.empty()) {
    return nullptr;
  }
  return groups[m_policy(request, views, in_flight) % groups.size()];
}

GroupState* Router::PickToIsolate(const Pool& pool, const GroupState* avoid,
                                  TimePoint now) const {
  GroupState* best = nullptr;
  for (const auto* list : {&pool.near, &pool.far}) {
    for (GroupState* group : *list) {
      if (Eligible(*group, avoid) &&
          (best == nullptr || Load(*group, now) < Load(*best, now))) {
        best = group;
      }
    }
  }
  return best;
}

void Router::SetIsolated(GroupState* group, bool isolated) {
  if (group->isolated == isolated) {
    return;
  }
  group->isolated = isolated;
  int change = isolated ? -Capacity(*group) : Capacity(*group);
  for (Pool* pool : group->pools) {
    (group->near ? pool->near_capacity : pool->far_capacity) += change;
    pool->isolated += isolated ? 1 : -1;
  }
}

void Router::Count(GroupState* group, int difference) {
  group->in_flight += difference;
  for (Pool* pool : group->pools) {
    (group->near ? pool->near_in_flight : pool->far_in_flight) += difference;
  }
}

void Router::Ended(GroupState* group) {
  Count(group, -1);
  if (!group->listed && group->in_flight == 0) {
    RemoveUnused();
  }
}

}  // namespace clementine
