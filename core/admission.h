// Decides which request runs next, which waits and which is refused.
#ifndef CORE_ADMISSION_H_
#define CORE_ADMISSION_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Queues of admitted requests, one set per pool of groups, and the measured
/// rate at which each pool drains.
/// Invariant: at most the bound of requests is queued, in all and for each
/// organisation.
class Admission {
 public:
  using PoolId = std::uint32_t;

  enum class Verdict { kRun, kQueue, kRefuse };
  struct Answer {
    Verdict verdict = Verdict::kRefuse;
    milliseconds retry_after{0};
  };
  /// Room of a pool when the question is asked.
  struct Room {
    int limit = 0;  ///< Requests that may run at a time.
    bool free = false;
  };
  struct Hopeless {
    RequestId request = 0;
    milliseconds retry_after{0};
  };

  /// @param max_queued Bound over all pools.
  explicit Admission(std::size_t max_queued) : m_max_queued(max_queued) {}

  /// Test hook: without bounds the queues grow as long as requests arrive.
  void IgnoreBounds() { m_bounded = false; }

  void SetOrganisations(
      const std::map<std::string, OrganisationSpec>& organisations);
  /// Sets by how many daemons the limits of organisations are divided.
  void SetLive(int live) { m_live = live < 1 ? 1 : live; }

  /// Runs, queues or refuses an arriving request. kRun counts it as in flight.
  Answer Offer(const Request& request, PoolId pool, Room room, TimePoint now);

  /// Takes the next request of a pool that may run, and counts it as in flight.
  std::optional<RequestId> Next(PoolId pool, TimePoint now);

  /// Removes a queued request; false when it isn't queued.
  bool Remove(RequestId request);

  /// A request that was run by Offer or Next has ended.
  void Ended(const std::string& organisation);

  /// @param service Time from the request's turn to its answer.
  void Measured(PoolId pool, RequestClass request_class, milliseconds service,
                TimePoint now);

  /// Queued requests of a pool that can no longer finish in time.
  std::vector<Hopeless> FindHopeless(PoolId pool, int limit,
                                     TimePoint now) const;

  /// Time until a pool has drained its queue; what a refusal suggests.
  milliseconds DrainTime(PoolId pool, int limit, TimePoint now) const;

  /// Forgets the measurements of pools that aren't named.
  void KeepPools(const std::vector<PoolId>& pools);

  std::vector<PoolId> Backlogged() const;
  std::size_t queued() const { return m_places.size(); }

 private:
  static constexpr std::size_t kClasses = 4;
  /// Order within a queue: batch by deadline, the others by arrival.
  using Key = std::pair<TimePoint, std::uint64_t>;
  struct Waiting {
    RequestId request = 0;
    TimePoint deadline;
    TimePoint start_by;  ///< Given up when it hasn't had its turn by then.
    double cost = 0.0;
  };
  using Queue = std::map<Key, Waiting>;

  struct Organisation {
    double weight = 1.0;
    int max_in_flight = 64;
    std::size_t max_queued = 256;
    int in_flight = 0;
    std::size_t queued = 0;
    std::size_t queued_batch = 0;
  };
  /// One organisation's queues in one pool.
  struct Share {
    Organisation* organisation = nullptr;
    std::array<Queue, kClasses> queues;
    double finish = 0.0;  ///< Virtual time at which its last request is done.
  };
  struct Pool {
    std::map<std::string, Share> shares;
    std::array<std::size_t, kClasses> queued{};
    double virtual_time = 0.0;
    bool last_was_urgent = false;
    double service_ms = 0.0;  ///< Moving average over all classes; 0: none.
    std::array<double, kClasses> class_service_ms{};
    TimePoint last_end;
    TimePoint busy_since;  ///< When the queue was last empty.

    std::size_t backlog() const;
  };
  struct Place {
    Pool* pool = nullptr;
    std::string organisation;
    std::size_t rank = 0;
    Key key;
  };

  Organisation& Find(const std::string& name);
  int InFlightLimit(const Organisation& organisation) const;
  bool MayRun(const Organisation& organisation) const {
    return organisation.in_flight < InFlightLimit(organisation);
  }
  /// Requests per millisecond; 0 when nothing was measured.
  double Rate(const Pool& pool, int limit, TimePoint now) const;
  /// Expected wait with `ahead` requests of the share before it.
  double WaitMs(const Pool& pool, const Share& share, std::size_t rank,
                std::size_t ahead, double rate) const;
  bool Fits(const Organisation& organisation, bool batch) const;
  bool Hurries(const Pool& pool, const Waiting& waiting, TimePoint now) const;
  void Start(Pool* pool, Share* share, double cost) const;
  Share* FindUrgent(Pool* pool, TimePoint now);
  Share* FindNext(Pool* pool, std::size_t rank);
  RequestId Take(Pool* pool, Share* share, std::size_t rank);
  void Unqueue(Pool* pool, Share* share, std::size_t rank,
               Queue::iterator entry);

  std::size_t m_max_queued;
  bool m_bounded = true;
  int m_live = 1;
  std::uint64_t m_sequence = 0;
  std::size_t m_queued_batch = 0;
  std::map<std::string, Organisation> m_organisations;
  std::map<PoolId, Pool> m_pools;
  std::unordered_map<RequestId, Place> m_places;
};

}  // namespace clementine

#endif  // CORE_ADMISSION_H_
