// Admission control: decides whether a request runs, waits in a queue or is
// refused, and in which order queued requests run.
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

/// Queues of waiting requests for each pool of groups, and an estimate of the
/// rate at which each pool completes requests.
/// Invariant: the number of queued requests doesn't exceed the bounds, neither
/// in total nor for each organisation.
class Admission {
 public:
  using PoolId = std::uint32_t;

  enum class Disposition { kRun, kQueue, kRefuse };
  struct Decision {
    Disposition disposition = Disposition::kRefuse;
    milliseconds retry_after{0};
  };
  /// Current capacity of a pool.
  struct PoolCapacity {
    int limit = 0;  ///< Requests that may run concurrently.
    bool has_room = false;
    /// The limit follows the load of the whole fleet, so late requests may wait
    /// for spare room; see Router::HasSpareRoom.
    bool holds_late = false;
    bool has_spare = false;  ///< See Router::HasSpareRoom.
  };
  /// A queued request that is expected to miss its deadline or target.
  struct PredictedMiss {
    RequestId request = 0;
    milliseconds retry_after{0};
  };

  /// @param max_queued Bound on queued requests in all pools together.
  /// @param seed Should differ between daemons: limits per organisation are
  ///     rounded up at a part of them; see InFlightLimit.
  explicit Admission(std::size_t max_queued, std::uint64_t seed = 0)
      : m_max_queued(max_queued), m_seed(seed) {}

  /// For tests: removes the bounds of the queues.
  void IgnoreBounds() { m_bounded = false; }

  void SetOrganisations(
      const std::map<std::string, OrganisationSpec>& organisations);
  /// Sets the number of live daemons, by which the in-flight limits of
  /// organisations are divided.
  void SetDaemonCount(int daemons) {
    m_daemon_count = daemons < 1 ? 1 : daemons;
  }

  /// Decides about an arriving request. A request that may run (kRun) is
  /// counted as in flight.
  Decision Offer(const Request& request, PoolId pool, PoolCapacity capacity,
                 TimePoint now);

  /// Removes the next request that may run from a pool's queues and counts it
  /// as in flight.
  /// @param has_spare Whether a request that can't meet its target any more may
  ///     run.
  /// @return The request, or nullopt when none may run.
  std::optional<RequestId> StartNext(PoolId pool, TimePoint now,
                                     bool has_spare = false);

  /// Removes a queued request.
  /// @return False if the request isn't queued.
  bool Remove(RequestId request);

  /// Called when a request that Offer or StartNext counted as in flight ends.
  void OnRequestEnded(const std::string& organisation);

  /// Adds a measured service time to the estimate of a pool's drain rate.
  /// @param service Time from the dispatch of an attempt to its end.
  void RecordServiceTime(PoolId pool, RequestClass request_class,
                         milliseconds service, TimePoint now);

  /// Adds a measured time from the dispatch of an attempt to its first event,
  /// which is the part of a target that can't be spent waiting.
  /// @param late Whether the request missed its target.
  void RecordFirstEvent(PoolId pool, int priority, milliseconds latency,
                        bool late);

  /// Finds queued requests of a pool that are expected to miss their deadline,
  /// or have waited too long to meet their target and aren't worth holding.
  /// Moves those that are worth holding behind the others. A request that is
  /// returned has to be removed.
  std::vector<PredictedMiss> FindPredictedMisses(PoolId pool, int limit,
                                                 TimePoint now);

  /// @return Expected time until a pool has drained its queues, within the
  ///     bounds of Retry-After.
  milliseconds DrainTime(PoolId pool, int limit, TimePoint now) const;

  /// Drops the measurements of all pools but these; pools with queued requests
  /// are kept.
  void RetainPools(const std::vector<PoolId>& pools);

  /// @return Whether requests wait for this pool.
  bool IsBacklogged(PoolId pool) const;
  std::vector<PoolId> BackloggedPools() const;
  std::size_t queued() const { return m_queued_requests.size(); }

 private:
  static constexpr std::size_t kClasses = 4;
  /// Priorities that are distinguished; higher values count as the last.
  static constexpr std::size_t kPriorities = 4;
  /// Rank of a request that can't meet its target any more; the rank of any
  /// other request is its priority.
  static constexpr std::size_t kLateRank = kPriorities;
  static constexpr std::size_t kRanks = kPriorities + 1;
  /// Order within a queue: by deadline for batch, otherwise by the time of
  /// arrival plus a time that depends on the rank.
  using QueueKey = std::pair<TimePoint, std::uint64_t>;
  struct QueuedRequest {
    RequestId request = 0;
    TimePoint deadline;
    /// Held as late, or refused, if it hasn't started by this time.
    TimePoint start_by;
    double cost = 0.0;
    milliseconds target{0};
    std::size_t priority = 0;  ///< Less than kPriorities.
    std::size_t rank = 0;
  };
  using Queue = std::map<QueueKey, QueuedRequest>;

  struct Organisation {
    double weight = 1.0;
    int max_in_flight = 64;
    std::size_t max_queued = 256;
    int in_flight = 0;
    std::size_t queued = 0;
    std::size_t queued_batch = 0;
  };
  /// Queues of one organisation in one pool.
  struct Flow {
    Organisation* organisation = nullptr;
    std::array<Queue, kClasses> queues;
    double virtual_finish = 0.0;  ///< Of the last request that started.
  };
  struct PoolQueues {
    std::map<std::string, Flow> flows;
    std::array<std::array<std::size_t, kRanks>, kClasses> queued{};
    double virtual_time = 0.0;
    bool last_was_urgent = false;
    double service_ms = 0.0;  ///< Moving average of all classes; 0 if unknown.
    std::array<double, kClasses> class_service_ms{};
    double first_event_ms = 0.0;  ///< Moving average; 0 if unknown.
    bool holds_late = false;      ///< See PoolCapacity::holds_late.
    /// Moving average of the fraction of the held late requests that started.
    double late_started = 1.0;
    double refused = 0.0;  ///< Moving average of the fraction refused.
    /// Moving average of the fraction refused or late, by priority.
    std::array<double, kPriorities> lost{};
    std::array<TimePoint, kPriorities> arrived_at{};  ///< Last arrival.
    TimePoint last_attempt_end_at;  ///< Last call of RecordServiceTime.
    TimePoint busy_since;           ///< When the queues last became non-empty.

    std::size_t backlog() const;
    /// Queued requests of a class that aren't served after those of `rank`.
    std::size_t QueuedUpTo(std::size_t class_index, std::size_t rank) const;
  };
  struct QueuePosition {
    PoolQueues* pool = nullptr;
    std::string organisation;
    std::size_t class_index = 0;
    QueueKey key;
  };

  Organisation& FindOrganisation(const std::string& name);
  /// This daemon's part of an organisation's limit. It is rounded up at a part
  /// of the daemons that equals its fraction, so that the limits of all daemons
  /// add up to that of the organisation; but at least 1.
  int InFlightLimit(const Organisation& organisation) const;
  /// Whether an organisation is below its in-flight limit.
  bool MayRun(const Organisation& organisation) const {
    return organisation.in_flight < InFlightLimit(organisation);
  }
  /// Completed requests per millisecond; 0 without measurements.
  double DrainRate(const PoolQueues& pool, int limit, TimePoint now) const;
  /// Expected wait of a request that has `ahead` requests of its flow in front
  /// of it.
  double ExpectedWaitMs(const PoolQueues& pool, const Flow& flow,
                        std::size_t class_index, std::size_t rank,
                        std::size_t ahead, double rate) const;
  /// Time that a request may wait without missing its target.
  static milliseconds MaxWait(const PoolQueues& pool, milliseconds target);
  /// Time from now on for which a late request may be held; 0 if it isn't worth
  /// holding.
  static milliseconds LateHold(const PoolQueues& pool,
                               const QueuedRequest& waiting,
                               std::size_t class_index, TimePoint now);
  /// Refuses, and counts the refusal.
  /// @param retry_after Without regard to priority and overload.
  static Decision RefuseWith(PoolQueues* pool, const QueuedRequest& request,
                             milliseconds retry_after);
  /// Whether more urgent requests of a pool are refused or late more often than
  /// those of a priority.
  static bool IsServedBetter(const PoolQueues& pool, std::size_t priority,
                             TimePoint now);
  void Enqueue(PoolQueues* pool, Flow* flow, const std::string& organisation,
               std::size_t class_index, QueueKey key,
               const QueuedRequest& waiting);
  void HoldLate(PoolQueues* pool, RequestId request, TimePoint now);
  bool HasQueueSpace(const Organisation& organisation, bool batch) const;
  bool IsUrgent(const PoolQueues& pool, const QueuedRequest& waiting,
                TimePoint now) const;
  void RecordStart(PoolQueues* pool, Flow* flow,
                   const QueuedRequest& request) const;
  Flow* FindUrgentBatch(PoolQueues* pool, TimePoint now);
  Flow* FindNextFlow(PoolQueues* pool, std::size_t class_index);
  RequestId StartFirst(PoolQueues* pool, Flow* flow, std::size_t class_index);
  void RemoveEntry(PoolQueues* pool, Flow* flow, std::size_t class_index,
                   Queue::iterator entry);

  std::size_t m_max_queued;
  std::uint64_t m_seed;
  bool m_bounded = true;
  int m_daemon_count = 1;
  std::uint64_t m_sequence = 0;
  std::size_t m_queued_batch = 0;
  std::map<std::string, Organisation> m_organisations;
  std::map<PoolId, PoolQueues> m_pools;
  std::unordered_map<RequestId, QueuePosition> m_queued_requests;
};

}  // namespace clementine

#endif  // CORE_ADMISSION_H_
