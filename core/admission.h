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
  };
  /// A queued request that is expected to miss its deadline or target.
  struct PredictedMiss {
    RequestId request = 0;
    milliseconds retry_after{0};
  };

  /// @param max_queued Bound on queued requests in all pools together.
  explicit Admission(std::size_t max_queued) : m_max_queued(max_queued) {}

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
  /// @return The request, or nullopt when none may run.
  std::optional<RequestId> StartNext(PoolId pool, TimePoint now);

  /// Removes a queued request.
  /// @return False if the request isn't queued.
  bool Remove(RequestId request);

  /// Called when a request that Offer or StartNext counted as in flight ends.
  void OnRequestEnded(const std::string& organisation);

  /// Adds a measured service time to the estimate of a pool's drain rate.
  /// @param service Time from the dispatch of an attempt to its end.
  void RecordServiceTime(PoolId pool, RequestClass request_class,
                         milliseconds service, TimePoint now);

  /// @return Queued requests of a pool that are expected to miss their deadline
  ///     or have waited too long to meet their target.
  std::vector<PredictedMiss> FindPredictedMisses(PoolId pool, int limit,
                                                 TimePoint now) const;

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
  /// Order within a queue: by deadline for batch, otherwise by arrival.
  using QueueKey = std::pair<TimePoint, std::uint64_t>;
  struct QueuedRequest {
    RequestId request = 0;
    TimePoint deadline;
    TimePoint start_by;  ///< Refused if it hasn't started by this time.
    double cost = 0.0;
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
    std::array<std::size_t, kClasses> queued{};
    double virtual_time = 0.0;
    bool last_was_urgent = false;
    double service_ms = 0.0;  ///< Moving average of all classes; 0 if unknown.
    std::array<double, kClasses> class_service_ms{};
    TimePoint last_attempt_end_at;  ///< Last call of RecordServiceTime.
    TimePoint busy_since;           ///< When the queues last became non-empty.

    std::size_t backlog() const;
  };
  struct QueuePosition {
    PoolQueues* pool = nullptr;
    std::string organisation;
    std::size_t class_index = 0;
    QueueKey key;
  };

  Organisation& FindOrganisation(const std::string& name);
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
                        std::size_t class_index, std::size_t ahead,
                        double rate) const;
  bool HasQueueSpace(const Organisation& organisation, bool batch) const;
  bool IsUrgent(const PoolQueues& pool, const QueuedRequest& waiting,
                TimePoint now) const;
  void RecordStart(PoolQueues* pool, Flow* flow, double cost) const;
  Flow* FindUrgentBatch(PoolQueues* pool, TimePoint now);
  Flow* FindNextFlow(PoolQueues* pool, std::size_t class_index);
  RequestId StartFirst(PoolQueues* pool, Flow* flow, std::size_t class_index);
  void RemoveEntry(PoolQueues* pool, Flow* flow, std::size_t class_index,
                   Queue::iterator entry);

  std::size_t m_max_queued;
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
