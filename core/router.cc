// Weighted policy: picks the group with the lowest cost among a few random
// groups and the groups that have the longest prefix of the prompt cached.
// Sampling makes the time of a decision independent of the number of groups,
// and keeps all daemons from choosing the same group after the same load
// report.
//
// The cost of a group is its load relative to its capacity, multiplied by its
// slowness, plus a term for the fraction of the prompt that it doesn't have
// cached, plus penalties for a nearly full KV cache and for a group whose
// maximum number of requests is reached by this daemon's requests alone. Where
// requests have latency targets, prompts of this daemon that wait for their
// first event count as load. The weight of the load of other daemons decays
// with the age of the load report.
//
// Groups in the local data centre are preferred. Remote groups are used when
// this daemon's share of the local capacity is in use.

#include "core/router.h"

#include <algorithm>
#include <cmath>

#include "fmt/format.h"

namespace clementine {

namespace {

constexpr std::size_t kSampleSize = 4;
constexpr std::size_t kMaxCachedBlocks = 65'536;
constexpr std::chrono::duration<double> kReportHalfLife{2.0};
// Cost of a prompt of which nothing is cached, as load relative to capacity: a
// group that has the complete prompt cached is preferred up to this difference
// in load.
constexpr double kUncachedPromptCost = 0.5;
// Fraction of the KV cache in use above which kHighKvCost is added to the cost.
constexpr double kHighKvUse = 0.9;
constexpr double kHighKvCost = 1.0;
// Added to the cost of a group that runs its maximum number of requests for
// this daemon alone.
constexpr double kFullGroupCost = 1.0;
// Fraction of the capacity of other data centres that may be used.
constexpr double kRemoteCapacityFraction = 0.5;
// Groups that are looked at for a hedge; bounds its cost in a large pool.
constexpr std::size_t kHedgeSampleSize = 64;
constexpr std::chrono::seconds kSlownessUpdateInterval{1};
// Sample where requests have latency targets: the requests of this daemon are
// all that it knows of the groups' load, and a larger sample spreads them more
// evenly.
constexpr std::size_t kLargeSampleSize = 16;
// Prompt tokens that have to be processed before a request delay it like one
// more request in its group.
constexpr double kPromptTokensPerRequest = 1'000.0;
// A limit is logged when its margin has moved by this much, at most once per
// interval.
constexpr double kLoggedMarginChange = 0.5;
constexpr std::chrono::seconds kLimitLogInterval{1};

std::string PoolName(const std::string& service, const std::string& model,
                     const std::string& adapter) {
  if (!service.empty()) {
    return "service/" + service;
  }
  return adapter.empty() ? "model/" + model : "model/" + model + "/" + adapter;
}

int Capacity(const RoutedGroup& group) {
  bool cold = group.view.cold_until != TimePoint();
  return group.half_open || cold ? 1 : std::max(1, group.view.max_running);
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
      m_seed(seed),
      m_random(seed),
      m_policy(std::move(policy)),
      m_cache(kMaxCachedBlocks),
      m_backoff(seed + 1) {}

void Router::SetGroups(const std::vector<GroupView>& groups, TimePoint now) {
  ClearPools();
  for (auto& [name, group] : m_groups) {
    group->listed = false;
    group->pools.clear();
  }
  for (const GroupView& view : groups) {
    std::unique_ptr<RoutedGroup>& state = m_groups[view.group];
    if (state == nullptr) {
      state = std::make_unique<RoutedGroup>();
      auto free = std::find(m_slots.begin(), m_slots.end(), nullptr);
      state->slot = static_cast<PrefixCache::Slot>(free - m_slots.begin());
      if (free == m_slots.end()) {
        m_slots.push_back(nullptr);
      }
      m_slots[state->slot] = state.get();
      m_cache.Reset(state->slot);
    }
    UpdateGroup(state.get(), view, now);
  }
  m_backoff.RetainServers([&](const std::string& host) {
    return std::any_of(
        groups.begin(), groups.end(),
        [&](const GroupView& view) { return view.head_host == host; });
  });
  RemoveUnused();
}

void Router::UpdateGroup(RoutedGroup* group, const GroupView& view,
                         TimePoint now) {
  if (group->view.cold_until == TimePoint()) group->cold_bucket = {0.0, now};
  if (group->view.epoch != view.epoch) {
    m_cache.Reset(group->slot);
    group->speed = GroupSpeed();
    group->other_load = 0.0;
    group->kv_used = 0.0;
  }
  group->view = view;
  group->listed = true;
  group->local = view.data_centre == m_data_centre;
  AddToPools(group);
}

void Router::AddToPools(RoutedGroup* group) {
  const GroupView& view = group->view;
  group->half_open =
      m_backoff.StateOf(view.head_host) == ServerBackoff::State::kHalfOpen;
  // Creates the pool for closed groups as well, to distinguish a known model
  // without open groups from an unknown model.
  AddToPool(group, PoolName(view.service, view.model, ""));
  for (const std::string& adapter : view.adapters) {
    AddToPool(group, PoolName(view.service, view.model, adapter));
  }
}

void Router::AddToPool(RoutedGroup* group, const std::string& pool_name) {
  Pool* pool = FindOrCreatePool(pool_name);
  bool already_added = std::find(group->pools.begin(), group->pools.end(),
                                 pool) != group->pools.end();
  if (!group->view.open || group->view.leaving || group->view.evacuated ||
      already_added) {
    return;
  }
  if (auto until = m_backoff.BackoffUntil(group->view.head_host)) {
    pool->backoff_until =
        std::min(pool->backoff_until.value_or(*until), *until);
    return;
  }
  if (group->view.cold_until != TimePoint() && group->view.cold_rate <= 0.0) {
    TimePoint until = group->view.cold_until;
    pool->backoff_until = std::min(pool->backoff_until.value_or(until), until);
    return;
  }
  (group->local ? pool->local : pool->remote).push_back(group);
  (group->local ? pool->local_in_flight : pool->remote_in_flight) +=
      group->in_flight;
  if (group->view.evacuating) {
    pool->evacuating_in_flight += group->in_flight;
    if (!group->isolated) pool->evacuating_capacity += Capacity(*group);
  }
  if (group->isolated) {
    ++pool->isolated;
  } else {
    (group->local ? pool->local_capacity : pool->remote_capacity) +=
        Capacity(*group);
  }
  group->pools.push_back(pool);
}

void Router::ClearPools() {
  for (auto& [name, pool] : m_pools) {
    pool->local.clear();
    pool->remote.clear();
    pool->local_capacity = 0;
    pool->remote_capacity = 0;
    pool->local_in_flight = 0;
    pool->remote_in_flight = 0;
    pool->isolated = 0;
    pool->evacuating_capacity = 0;
    pool->evacuating_in_flight = 0;
    pool->backoff_until.reset();
  }
}

void Router::RebuildPools() {
  ClearPools();
  for (auto& [name, group] : m_groups) {
    group->pools.clear();
    if (group->listed) AddToPools(group.get());
  }
}

void Router::OnServerBusy(const std::string& host, milliseconds wait,
                          TimePoint now) {
  m_backoff.OnBackoffRequested(host, wait, now);
  RebuildPools();
}

void Router::OnRequestAccepted(const std::string& host) {
  if (m_backoff.OnRequestAccepted(host)) RebuildPools();
}

void Router::AdvanceBackoff(TimePoint now) {
  if (m_backoff.Advance(now)) RebuildPools();
}

void Router::RemoveUnused() {
  std::erase_if(m_groups, [this](const auto& entry) {
    const RoutedGroup& group = *entry.second;
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
  RoutedGroup& group = *found->second;
  TimePoint measured = now - std::max(age, milliseconds(0));
  if (measured < group.measured_at) {
    return;
  }
  group.other_load = std::max(
      0.0, static_cast<double>(load.running + load.waiting - group.in_flight));
  group.kv_used = load.kv_used;
  group.measured_at = measured;
}

void Router::ApplyCacheEvents(const CacheEvents& events) {
  auto found = m_groups.find(events.group);
  if (found != m_groups.end()) {
    m_cache.Apply(found->second->slot, events.first_sequence, events.added,
                  events.removed);
  }
}

void Router::UpdateGroupSlowness(TimePoint now) {
  if (now - m_slowness_updated_at < kSlownessUpdateInterval) {
    return;
  }
  m_slowness_updated_at = now;
  std::vector<GroupSpeed*> peers;
  for (auto& [name, pool] : m_pools) {
    peers.clear();
    for (const auto* list : {&pool->local, &pool->remote}) {
      for (RoutedGroup* group : *list) {
        // Compares each group only within the pool of its model or service,
        // not in those of its adapters.
        if (group->pools.front() == pool.get()) {
          peers.push_back(&group->speed);
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

Pool* Router::FindOrCreatePool(const Request& request) {
  return FindOrCreatePool(
      PoolName(request.service, request.model, request.adapter));
}

Pool* Router::FindOrCreatePool(const std::string& name) {
  std::unique_ptr<Pool>& pool = m_pools[name];
  if (pool == nullptr) {
    pool = std::make_unique<Pool>();
    pool->name = name;
    pool->id = ++m_last_pool_id;
  }
  return pool.get();
}

double Router::FairShare(const Pool& pool) const {
  return m_capacity_share *
         (pool.local_capacity + kRemoteCapacityFraction * pool.remote_capacity);
}

int Router::Limit(const Pool& pool, TimePoint now) const {
  if (pool.local_capacity + pool.remote_capacity == 0) {
    return 0;
  }
  double fair_share = FairShare(pool);
  if (!pool.limit) return std::max(1, static_cast<int>(fair_share));
  int limit = pool.limit->RoundedLimit(fair_share, now);
  return pool.always_one ? std::max(1, limit) : limit;
}

bool Router::HasSpareRoom(const Pool& pool, TimePoint now) const {
  return pool.limit && HasRoom(pool, now) &&
         InUse(pool) < pool.limit->SpareLimit(FairShare(pool));
}

void Router::SteerLimit(Pool* pool, bool always_one) {
  pool->always_one = pool->always_one || always_one;
  if (!pool->limit) pool->limit.emplace(std::mt19937_64(m_seed + pool->id)());
}

void Router::OnFirstEvent(Pool* pool, std::uint32_t prompt_tokens,
                          milliseconds latency, milliseconds target,
                          TimePoint now) {
  if (!pool->limit) return;
  pool->first_events.Add(prompt_tokens, latency);
  if (!pool->first_events.ExceedsTarget(prompt_tokens, target)) {
    pool->limit->OnFirstEvent(latency, target, FairShare(*pool), now);
  }
}

void Router::OnServerFull(Pool* pool, TimePoint now) {
  if (pool->limit) pool->limit->OnServerFull(FairShare(*pool), now);
}

std::vector<LogDecision> Router::AdvanceLimits(TimePoint now) {
  std::vector<LogDecision> lines;
  for (auto& [name, pool] : m_pools) {
    if (!pool->limit) continue;
    pool->limit->Advance(now);
    double margin = pool->limit->margin();
    if (std::abs(margin - pool->logged_margin) < kLoggedMarginChange ||
        now - pool->logged_at < kLimitLogInterval) {
      continue;
    }
    pool->logged_margin = margin;
    pool->logged_at = now;
    lines.push_back({"capacity_limit",
                     {{"pool", name},
                      {"fair_share", fmt::format("{:.2f}", FairShare(*pool))},
                      {"margin", fmt::format("{:.2f}", margin)},
                      {"limit", std::to_string(Limit(*pool, now))},
                      {"in_use", std::to_string(InUse(*pool))},
                      {"reason", LimitReasonName(pool->limit->reason())}}});
  }
  return lines;
}

std::vector<PoolLimitStats> Router::LimitStats(TimePoint now) const {
  std::vector<PoolLimitStats> all;
  for (const auto& [name, pool] : m_pools) {
    if (!pool->limit) continue;
    all.push_back({name, FairShare(*pool), Limit(*pool, now),
                   pool->limit->margin(), pool->limit->late(),
                   pool->limit->full()});
  }
  return all;
}

bool Router::IsLocalFull(const Pool& pool) const {
  return pool.local_in_flight >=
         std::max(pool.local_capacity > 0 ? 1 : 0,
                  static_cast<int>(pool.local_capacity * m_capacity_share));
}

bool Router::HasRoomElsewhere(const Pool& pool, TimePoint now) const {
  int capacity = pool.local_capacity + pool.remote_capacity;
  int staying = capacity - pool.evacuating_capacity;
  int in_flight =
      pool.local_in_flight + pool.remote_in_flight - pool.evacuating_in_flight;
  return staying > 0 &&
         in_flight < std::max(1.0, static_cast<double>(Limit(pool, now)) *
                                       staying / capacity);
}

RoutedGroup* Router::Pick(const Request& request, const Pool& pool,
                          const RoutedGroup* avoid, TimePoint now) {
  if (pool.evacuating_capacity > 0 && HasRoomElsewhere(pool, now)) {
    m_skip_evacuating = true;
    RoutedGroup* group = PickEligible(request, pool, avoid, now);
    m_skip_evacuating = false;
    if (group != nullptr) return group;
  }
  return PickEligible(request, pool, avoid, now);
}

RoutedGroup* Router::PickEligible(const Request& request, const Pool& pool,
                                  const RoutedGroup* avoid, TimePoint now) {
  if (m_policy) {
    return PickByPolicy(request, pool, avoid, now);
  }
  std::size_t sample = pool.limit ? kLargeSampleSize : kSampleSize;
  bool prefer_remote = IsLocalFull(pool) && !pool.remote.empty();
  for (bool remote : {prefer_remote, !prefer_remote}) {
    double cost = 0.0;
    RoutedGroup* cached =
        FindBestCached(request, pool, remote, avoid, &cost, now);
    double sample_cost = 0.0;
    RoutedGroup* sampled = PickBestOfSample(remote ? pool.remote : pool.local,
                                            sample, avoid, &sample_cost, now);
    if (sampled != nullptr && (cached == nullptr || sample_cost < cost)) {
      return sampled;
    }
    if (cached != nullptr) {
      return cached;
    }
  }
  return nullptr;
}

double Router::Load(const RoutedGroup& group, TimePoint now) const {
  double other_load = 0.0;
  if (group.other_load > 0.0) {
    std::chrono::duration<double> age = now - group.measured_at;
    other_load = group.other_load * std::exp2(-age / kReportHalfLife);
  }
  double prompts = static_cast<double>(group.waiting_prompt_tokens) /
                   kPromptTokensPerRequest;
  return (group.in_flight + other_load + prompts + 1.0) / Capacity(group);
}

double Router::Cost(const RoutedGroup& group, double cached_fraction,
                    TimePoint now) const {
  double cost = Load(group, now) * group.speed.slowness();
  cost += kUncachedPromptCost * (1.0 - cached_fraction);
  if (group.kv_used > kHighKvUse) {
    cost += kHighKvCost;
  }
  if (group.in_flight >= Capacity(group)) {
    cost += kFullGroupCost;
  }
  return cost;
}

RoutedGroup* Router::PickBestOfSample(const std::vector<RoutedGroup*>& list,
                                      std::size_t sample,
                                      const RoutedGroup* avoid, double* cost,
                                      TimePoint now) {
  RoutedGroup* best = nullptr;
  auto consider = [&](RoutedGroup* group) {
    if (!IsEligible(*group, avoid, now)) {
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
  if (list.size() > sample) {
    consider(list[start]);
    for (std::size_t i = 1; i < sample; ++i) {
      consider(list[m_random() % list.size()]);
    }
  }
  // The list is short, or no group of the sample is eligible.
  for (std::size_t i = 0; i < list.size() && best == nullptr; ++i) {
    consider(list[(start + i) % list.size()]);
  }
  if (list.size() <= sample) {
    for (std::size_t i = 0; i < list.size(); ++i) {
      consider(list[(start + i) % list.size()]);
    }
  }
  return best;
}

RoutedGroup* Router::FindBestCached(const Request& request, const Pool& pool,
                                    bool remote, const RoutedGroup* avoid,
                                    double* cost, TimePoint now) {
  if (request.prefix_blocks.empty()) {
    return nullptr;
  }
  PrefixCache::Match match = m_cache.Find(request.prefix_blocks);
  RoutedGroup* best = nullptr;
  for (std::size_t i = 0; i < match.count; ++i) {
    RoutedGroup* group = m_slots[match.slots[i]];
    if (group == nullptr || group->local == remote ||
        !IsEligible(*group, avoid, now) ||
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

RoutedGroup* Router::PickByPolicy(const Request& request, const Pool& pool,
                                  const RoutedGroup* avoid, TimePoint now) {
  std::vector<RoutedGroup*> groups;
  std::vector<const GroupView*> views;
  std::vector<int> in_flight;
  for (const auto* list : {&pool.local, &pool.remote}) {
    for (RoutedGroup* group : *list) {
      if (IsEligible(*group, avoid, now)) {
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

RoutedGroup* Router::PickToIsolate(const Pool& pool, const RoutedGroup* avoid,
                                   TimePoint now) const {
  RoutedGroup* best = nullptr;
  for (const auto* list : {&pool.local, &pool.remote}) {
    for (RoutedGroup* group : *list) {
      if (IsEligible(*group, avoid, now) &&
          (best == nullptr ||
           std::pair(group->view.evacuating, Load(*group, now)) <
               std::pair(best->view.evacuating, Load(*best, now)))) {
        best = group;
      }
    }
  }
  return best;
}

bool Router::CanHedge(const RoutedGroup& group, const RoutedGroup& first,
                      TimePoint now) const {
  return IsEligible(group, &first, now) && !group.half_open &&
         group.view.head_host != first.view.head_host &&
         group.speed.slowness() <= 1.0 && group.view.cold_until <= now &&
         Load(group, now) <= 1.0;
}

RoutedGroup* Router::PickForHedge(const Pool& pool, const RoutedGroup& first,
                                  TimePoint now) {
  bool other_domain = false;  // The pool has a group in another domain.
  for (const auto* list : {&pool.local, &pool.remote}) {
    if (list->empty()) continue;
    RoutedGroup* best = nullptr;
    std::size_t start = m_random() % list->size();
    std::size_t count = std::min(list->size(), kHedgeSampleSize);
    for (std::size_t i = 0; i < count; ++i) {
      RoutedGroup* group = (*list)[(start + i) % list->size()];
      if (group->view.fabric_domain == first.view.fabric_domain &&
          !group->view.fabric_domain.empty()) {
        continue;
      }
      other_domain = true;
      if (CanHedge(*group, first, now) &&
          (best == nullptr || Cost(*group, 0.0, now) < Cost(*best, 0.0, now))) {
        best = group;
      }
    }
    if (best != nullptr) return best;
  }
  // A large pool has other domains, although the sample may not show them.
  if (other_domain || pool.size() > kHedgeSampleSize) return nullptr;
  RoutedGroup* best = nullptr;
  for (const auto* list : {&pool.local, &pool.remote}) {
    for (RoutedGroup* group : *list) {
      if (CanHedge(*group, first, now) &&
          (best == nullptr || Cost(*group, 0.0, now) < Cost(*best, 0.0, now))) {
        best = group;
      }
    }
  }
  return best;
}

void Router::SetIsolated(RoutedGroup* group, bool isolated) {
  if (group->isolated == isolated) {
    return;
  }
  group->isolated = isolated;
  int change = isolated ? -Capacity(*group) : Capacity(*group);
  for (Pool* pool : group->pools) {
    (group->local ? pool->local_capacity : pool->remote_capacity) += change;
    if (group->view.evacuating) pool->evacuating_capacity += change;
    pool->isolated += isolated ? 1 : -1;
  }
}

void Router::AddInFlight(RoutedGroup* group, int delta) {
  group->in_flight += delta;
  for (Pool* pool : group->pools) {
    (group->local ? pool->local_in_flight : pool->remote_in_flight) += delta;
    if (group->view.evacuating) pool->evacuating_in_flight += delta;
  }
}

std::optional<TimePoint> Router::NextColdStart(const Pool& pool,
                                               const RoutedGroup* avoid,
                                               TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto* list : {&pool.local, &pool.remote}) {
    for (const RoutedGroup* group : *list) {
      if (!IsAvailable(*group, avoid) || HasColdToken(*group, now)) continue;
      TimePoint start =
          std::min(group->view.cold_until,
                   group->cold_bucket.NextTokenAt(group->view.cold_rate, now));
      next = std::min(next.value_or(start), start);
    }
  }
  return next;
}

void Router::OnAttemptStarted(RoutedGroup* group, TimePoint now) {
  if (now < group->view.cold_until) {
    group->cold_bucket.Take(group->view.cold_rate, now);
  }
  AddInFlight(group, 1);
}

void Router::OnAttemptEnded(RoutedGroup* group) {
  AddInFlight(group, -1);
  if (!group->listed && group->in_flight == 0) {
    RemoveUnused();
  }
}

}  // namespace clementine
