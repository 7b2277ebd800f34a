// Choice of a group for a request.
#ifndef CORE_ROUTER_H_
#define CORE_ROUTER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "core/prefix_cache.h"
#include "core/server_backoff.h"
#include "core/straggler.h"

namespace clementine {

struct Pool;

/// What this daemon knows about one group.
struct GroupState {
  GroupView view;
  bool listed = false;     ///< In the last list of groups.
  bool isolated = false;   ///< Set apart for one suspect request.
  bool near = false;       ///< In this daemon's data centre.
  bool half_open = false;  ///< Takes one request until its server took one.
  int in_flight = 0;       ///< Own attempts.
  double others = 0.0;     ///< Other daemons' requests when last reported.
  double kv_used = 0.0;
  TimePoint reported;
  Pace pace;
  PrefixCache::Slot slot = 0;
  std::vector<Pool*> pools;  ///< Pools that list it now.
};

/// Groups that can run the same requests: one model, model and adapter, or
/// service. Invariant: `near` and `far` hold only open groups that aren't
/// leaving and whose server hasn't asked for a pause.
struct Pool {
  std::string name;
  std::uint32_t id = 0;  ///< Never used twice.
  std::vector<GroupState*> near;
  std::vector<GroupState*> far;
  int near_capacity = 0;  ///< Sum of max_running, isolated groups excluded.
  int far_capacity = 0;
  int near_in_flight = 0;
  int far_in_flight = 0;
  int reserved = 0;  ///< Admitted requests without an attempt.
  int isolated = 0;  ///< Groups set apart.
  int users = 0;     ///< Requests that refer to this pool.
  /// When the first of the servers that asked for a pause takes requests
  /// again.
  std::optional<TimePoint> backoff_until;

  std::size_t size() const { return near.size() + far.size(); }
};

/// Baselines for comparison.
RoutePolicy RoundRobinPolicy();
RoutePolicy LeastInFlightPolicy();

/// Knows the groups and picks one for each attempt.
class Router {
 public:
  /// @param policy Replaces the weighted policy when set.
  Router(std::string data_centre, std::uint64_t seed, RoutePolicy policy);

  void SetGroups(const std::vector<GroupView>& groups);
  /// Sets by how many daemons the groups' capacity is divided.
  void SetLive(int live) { SetShare(1.0 / (live < 1 ? 1 : live)); }
  /// Sets which part of the groups' capacity this daemon may use.
  void SetShare(double share) { m_share = share; }
  void ReportLoad(const LoadReport& load, milliseconds age, TimePoint now);
  void ApplyCacheEvents(const CacheEvents& events);
  /// Updates what depends on time; at most once a second.
  void Refresh(TimePoint now);

  std::vector<std::uint32_t> PoolIds() const;
  /// @return The pool of a request, or null when no group was ever listed.
  Pool* FindPool(const Request& request);
  /// The same, but creates a missing pool; it lasts while it has users.
  Pool* MakePool(const Request& request);
  /// Requests of a pool that this daemon may run at a time.
  int Limit(const Pool& pool) const;
  bool HasRoom(const Pool& pool) const {
    return pool.near_in_flight + pool.far_in_flight + pool.reserved <
           Limit(pool);
  }

  /// @param avoid Group that must not be picked, or null.
  /// @return A group of the pool, or null when none can take the request.
  GroupState* Pick(const Request& request, const Pool& pool,
                   const GroupState* avoid, TimePoint now);
  /// Picks the group with the least load to be set apart, or null.
  GroupState* PickToIsolate(const Pool& pool, const GroupState* avoid,
                            TimePoint now) const;
  void SetIsolated(GroupState* group, bool isolated);

  /// A server turned a request away and wants none for a time.
  void HoldBack(const std::string& host, milliseconds wait, TimePoint now);
  /// A server took a request.
  void Took(const std::string& host);
  /// Lets servers be asked again whose time is over.
  void EndBackoff(TimePoint now);

  void Started(GroupState* group) { Count(group, 1); }
  void Ended(GroupState* group);

 private:
  bool Eligible(const GroupState& group, const GroupState* avoid) const {
    bool busy = group.half_open && group.in_flight > 0;
    return !group.isolated && &group != avoid && !busy;
  }
  double Load(const GroupState& group, TimePoint now) const;
  double Cost(const GroupState& group, double cached, TimePoint now) const;
  /// Best of a sample of a list, or null.
  GroupState* Sample(const std::vector<GroupState*>& list,
                     const GroupState* avoid, double* cost, TimePoint now);
  GroupState* BestCached(const Request& request, const Pool& pool, bool far,
                         const GroupState* avoid, double* cost, TimePoint now);
  GroupState* Ask(const Request& request, const Pool& pool,
                  const GroupState* avoid);
  bool NearIsFull(const Pool& pool) const;
  void Count(GroupState* group, int difference);
  void Update(GroupState* group, const GroupView& view);
  void EnlistAll(GroupState* group);
  void EnlistAgain();
  Pool* MakePool(const std::string& name);
  void Enlist(GroupState* group, const std::string& pool_name);
  void ClearPools();
  void RemoveUnused();

  std::string m_data_centre;
  std::mt19937_64 m_random;
  RoutePolicy m_policy;
  double m_share = 1.0;
  std::unordered_map<std::string, std::unique_ptr<GroupState>> m_groups;
  std::unordered_map<std::string, std::unique_ptr<Pool>> m_pools;
  std::vector<GroupState*> m_slots;  ///< By slot; null when free.
  std::uint32_t m_last_pool = 0;
  PrefixCache m_cache;
  ServerBackoff m_backoff;
  TimePoint m_refreshed;
};

}  // namespace clementine

#endif  // CORE_ROUTER_H_
