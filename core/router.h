// Routing: chooses the group for each attempt of a request.
#ifndef CORE_ROUTER_H_
#define CORE_ROUTER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/capacity_limit.h"
#include "core/cold_limit.h"
#include "core/core.h"
#include "core/first_event_times.h"
#include "core/prefix_cache.h"
#include "core/server_backoff.h"
#include "core/straggler.h"

namespace clementine {

struct Pool;

/// Group with its routing data, as known to this daemon.
struct RoutedGroup {
  GroupView view;
  bool listed = false;    ///< In the current list of groups.
  bool isolated = false;  ///< Reserved for one suspect request.
  bool local = false;     ///< In this daemon's data centre.
  /// The backoff of its server has ended (ServerBackoff::State::kHalfOpen):
  /// runs one request at a time until the server has accepted one.
  bool half_open = false;
  ColdBucket cold_bucket;  ///< Used while the head is cold.
  int in_flight = 0;       ///< Attempts of this daemon.
  /// Prompt tokens of this daemon's attempts that have no first event yet.
  std::uint64_t waiting_prompt_tokens = 0;
  double other_load = 0.0;  ///< Requests of other daemons in the last report.
  double kv_used = 0.0;
  TimePoint measured_at;  ///< Time of the last load report.
  GroupSpeed speed;
  PrefixCache::Slot slot = 0;
  std::vector<Pool*> pools;  ///< Pools that contain this group.
};

/// Groups that can serve the same requests: those of one model, of one model
/// and adapter, or of one service.
/// Invariant: `local` and `remote` contain only groups that are open, aren't
/// leaving or evacuated, whose server isn't backing off, and that aren't cold
/// without a share for this daemon.
struct Pool {
  std::string name;
  std::uint32_t id = 0;  ///< Never reused.
  std::vector<RoutedGroup*> local;
  std::vector<RoutedGroup*> remote;
  int local_capacity = 0;  ///< Sum of max_running without isolated groups.
  int remote_capacity = 0;
  int local_in_flight = 0;
  int remote_in_flight = 0;
  int reserved = 0;  ///< Admitted requests without a running attempt.
  int isolated = 0;  ///< Groups reserved for suspects.
  int evacuating_capacity = 0;  ///< Part of the capacities above.
  int evacuating_in_flight = 0;
  int users = 0;  ///< Requests that refer to this pool.
  /// End of the backoff or the cold time that ends first among the servers of
  /// this pool that get no requests for one of these reasons.
  std::optional<TimePoint> backoff_until;
  /// Set if requests of this pool have latency targets. Without it, the limit
  /// is this daemon's share of the capacity.
  std::optional<CapacityLimit> limit;
  /// The limit is at least 1 always, because requests of this pool wait for
  /// their turn and aren't refused.
  bool always_one = false;
  FirstEventTimes first_events;
  double logged_margin = 0.0;  ///< Margin in the last log line.
  TimePoint logged_at;

  std::size_t size() const { return local.size() + remote.size(); }
};

/// Simple policies, as baselines for comparison with the weighted policy.
RoutePolicy RoundRobinPolicy();
RoutePolicy LeastInFlightPolicy();

/// Tracks the state of all groups and picks one for each attempt.
class Router {
 public:
  /// @param policy Replaces the weighted policy unless empty.
  Router(std::string data_centre, std::uint64_t seed, RoutePolicy policy);

  void SetGroups(const std::vector<GroupView>& groups,
                 TimePoint now = TimePoint());
  /// Gives this daemon an equal share of the capacity of the groups. Replaces a
  /// share set by SetCapacityShare, and is replaced by a later one.
  void SetDaemonCount(int daemons) {
    SetCapacityShare(1.0 / (daemons < 1 ? 1 : daemons));
  }
  /// Sets the fraction of the groups' capacity that this daemon may use.
  void SetCapacityShare(double share) { m_capacity_share = share; }
  void ReportLoad(const LoadReport& load, milliseconds age, TimePoint now);
  void ApplyCacheEvents(const CacheEvents& events);
  /// Updates the slowness of the groups, at most once per second.
  void UpdateGroupSlowness(TimePoint now);

  std::vector<std::uint32_t> PoolIds() const;
  /// @return The pool of a request, or null if it doesn't exist.
  Pool* FindPool(const Request& request);
  /// Returns the pool of a request. Creates it if necessary; a pool without
  /// groups exists as long as it has users.
  Pool* FindOrCreatePool(const Request& request);
  /// @return Requests that this daemon runs in a pool if each daemon runs its
  ///     share of the capacity; not rounded.
  double FairShare(const Pool& pool) const;
  /// @return Number of requests that this daemon may run concurrently in a
  /// pool.
  int Limit(const Pool& pool, TimePoint now) const;
  bool HasRoom(const Pool& pool, TimePoint now) const {
    return InUse(pool) < Limit(pool, now);
  }
  /// Whether a request that is late may run: the room isn't needed for the
  /// usual variance of the others. False without a steered limit.
  bool HasSpareRoom(const Pool& pool, TimePoint now) const;
  /// Steers the limit of a pool by the results of its requests from now on.
  /// @param always_one See Pool::always_one.
  void SteerLimit(Pool* pool, bool always_one = false);
  /// Adds a measurement for the limit of a pool; see CapacityLimit. The first
  /// event of a prompt that is too long for its target at any load says nothing
  /// about the load, and doesn't move the limit.
  void OnFirstEvent(Pool* pool, std::uint32_t prompt_tokens,
                    milliseconds latency, milliseconds target, TimePoint now);
  void OnServerFull(Pool* pool, TimePoint now);
  /// Advances the limits of all pools.
  /// @return Log lines of limits that have moved considerably.
  std::vector<LogDecision> AdvanceLimits(TimePoint now);
  std::vector<PoolLimitStats> LimitStats(TimePoint now) const;

  /// @param avoid Group that must not be picked, or null.
  /// @return A group of the pool, or null if no group can take the request.
  RoutedGroup* Pick(const Request& request, const Pool& pool,
                    const RoutedGroup* avoid, TimePoint now);
  /// @return A group for a second attempt of a request that runs on `first`, or
  ///     null: on another host, in another fabric domain if the pool has one,
  ///     neither slow nor cold, and with room for a request.
  RoutedGroup* PickForHedge(const Pool& pool, const RoutedGroup& first,
                            TimePoint now);
  /// @return When a group of the pool that is cold may take a request next;
  ///     empty if no group only waits for that.
  std::optional<TimePoint> NextColdStart(const Pool& pool,
                                         const RoutedGroup* avoid,
                                         TimePoint now) const;
  /// Whether a group is warm or has a token for a request.
  static bool HasColdToken(const RoutedGroup& group, TimePoint now) {
    return now >= group.view.cold_until ||
           group.cold_bucket.Available(group.view.cold_rate, now) >= 1.0;
  }
  /// @return The group with the lowest load, to be isolated for a suspect, or
  ///     null.
  RoutedGroup* PickToIsolate(const Pool& pool, const RoutedGroup* avoid,
                             TimePoint now) const;
  void SetIsolated(RoutedGroup* group, bool isolated);

  /// Called when a server requests a backoff.
  void OnServerBusy(const std::string& host, milliseconds wait, TimePoint now);
  /// Called at the first progress of an attempt on a server, and at its end if
  /// the result doesn't prove that the server didn't execute the request.
  void OnRequestAccepted(const std::string& host);
  /// Makes groups available again whose server's backoff has ended.
  void AdvanceBackoff(TimePoint now);

  void OnAttemptStarted(RoutedGroup* group, TimePoint now);
  void OnAttemptEnded(RoutedGroup* group);

 private:
  bool IsEligible(const RoutedGroup& group, const RoutedGroup* avoid,
                  TimePoint now) const {
    return IsAvailable(group, avoid) && HasColdToken(group, now);
  }
  bool IsAvailable(const RoutedGroup& group, const RoutedGroup* avoid) const {
    bool busy = group.half_open && group.in_flight > 0;
    bool excluded = group.view.evacuating && m_skip_evacuating;
    return !group.isolated && &group != avoid && !busy && !excluded;
  }
  /// Whether groups outside the data centres that are being evacuated can take
  /// this daemon's next request to a pool.
  bool HasRoomElsewhere(const Pool& pool, TimePoint now) const;
  RoutedGroup* PickEligible(const Request& request, const Pool& pool,
                            const RoutedGroup* avoid, TimePoint now);
  static int InUse(const Pool& pool) {
    return pool.local_in_flight + pool.remote_in_flight + pool.reserved;
  }
  double Load(const RoutedGroup& group, TimePoint now) const;
  /// @param cached_fraction Fraction of the prompt that the group has cached.
  double Cost(const RoutedGroup& group, double cached_fraction,
              TimePoint now) const;
  /// Returns the cheapest group of a random sample of a list, or null.
  /// @param cost Set to the cost of the returned group.
  RoutedGroup* PickBestOfSample(const std::vector<RoutedGroup*>& list,
                                std::size_t sample, const RoutedGroup* avoid,
                                double* cost, TimePoint now);
  /// Returns the cheapest group among those that have the longest prefix of the
  /// prompt cached, or null.
  /// @param cost Set to the cost of the returned group.
  RoutedGroup* FindBestCached(const Request& request, const Pool& pool,
                              bool remote, const RoutedGroup* avoid,
                              double* cost, TimePoint now);
  RoutedGroup* PickByPolicy(const Request& request, const Pool& pool,
                            const RoutedGroup* avoid, TimePoint now);
  bool CanHedge(const RoutedGroup& group, const RoutedGroup& first,
                TimePoint now) const;
  bool IsLocalFull(const Pool& pool) const;
  void AddInFlight(RoutedGroup* group, int delta);
  void UpdateGroup(RoutedGroup* group, const GroupView& view, TimePoint now);
  void AddToPools(RoutedGroup* group);
  void RebuildPools();
  Pool* FindOrCreatePool(const std::string& name);
  void AddToPool(RoutedGroup* group, const std::string& pool_name);
  void ClearPools();
  void RemoveUnused();

  std::string m_data_centre;
  std::uint64_t m_seed;
  std::mt19937_64 m_random;
  RoutePolicy m_policy;
  double m_capacity_share = 1.0;
  std::unordered_map<std::string, std::unique_ptr<RoutedGroup>> m_groups;
  std::unordered_map<std::string, std::unique_ptr<Pool>> m_pools;
  std::vector<RoutedGroup*> m_slots;  ///< By slot; null when free.
  std::uint32_t m_last_pool_id = 0;
  PrefixCache m_cache;
  ServerBackoff m_backoff;
  TimePoint m_slowness_updated_at;
  /// Set while Pick considers only groups that are not being evacuated.
  bool m_skip_evacuating = false;
};

}  // namespace clementine

#endif  // CORE_ROUTER_H_
