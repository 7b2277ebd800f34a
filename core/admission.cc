// Order of service: a pool serves the classes in the order counter, stream,
// plain, batch. Within a class, it serves the organisation whose last started
// request has the lowest virtual finish time (start-time fair queueing). The
// virtual start time of a request is the later of the pool's virtual time and
// its organisation's last virtual finish time. Its virtual finish time is later
// by its cost (see RequestCost) divided by the weight of the organisation. When
// a batch request is close to its deadline, every second turn goes to batch.
// This keeps batch from starving, and from starving the other classes. Within a
// class, more urgent requests go first. A request isn't overtaken by those that
// arrive more than kPriorityStep later for each priority between them.
//
// Late requests: an answer later than its target is worth less, but more than a
// rejection, after which the caller comes back as a second arrival and is late
// as well. A request that can't meet its target any more therefore stays queued
// behind all others of its class, and starts only in spare room, so that it
// doesn't take the place of a request that can still be in time. It is refused
// after a few targets, or at once while most held requests don't get a place.
//
// Refusal on arrival: a request is refused when the queues are full, when it
// isn't expected to finish before its deadline, or when it isn't expected to
// start early enough for its latency target. Its expected wait is the
// number of requests in front of it divided by the drain rate. The drain rate
// is the concurrency limit divided by the measured service time (Little's law),
// which makes it fall as soon as groups are lost. While no request ends, the
// drain rate falls with the time since the last end. A request that needn't
// wait is never refused, because only running requests yield new measurements.

#include "core/admission.h"

#include <algorithm>
#include <cmath>

namespace clementine {

namespace {

constexpr std::size_t kBatchIndex = 3;
constexpr int kLastPriority = 3;  // Higher ones count as this.
constexpr double kSampleWeight = 0.1;
// The drain rate falls when the next end of a request is overdue by more than
// this many expected intervals.
constexpr double kStallIntervals = 4.0;
constexpr milliseconds kMinRetryAfter{1'000};
constexpr milliseconds kMaxRetryAfter{60'000};
// A queued request is refused only when its expected wait exceeds the time to
// its deadline by this factor, because the estimate is noisy.
constexpr double kMissMargin = 1.5;
// Largest fraction of the latency target that a request may spend in a queue,
// while the time to the first event isn't known.
constexpr double kMaxWaitFraction = 0.75;
// Fraction of the target that the measured time to the first event leaves which
// a request may spend in a queue. The server's own queue may need the rest.
constexpr double kSlackFraction = 0.5;
// A batch request is urgent when the time to its deadline is less than this
// many service times, or less than the minimum.
constexpr double kUrgentServiceTimes = 3.0;
constexpr milliseconds kMinUrgentSlack{2'000};
// Cost of a request without tokens, in generated tokens.
constexpr double kBaseRequestCost = 64.0;
// Cost of a prompt token, in generated tokens. Prompt tokens are processed in
// parallel and cost less than generated ones.
constexpr double kPromptTokenCost = 0.1;

// A less urgent request goes before a more urgent one that arrives this much
// later, for each priority between them.
constexpr milliseconds kPriorityStep{250};
// Added to the arrival time of a late request in the order of a queue.
constexpr std::chrono::hours kLateStep{24};
// A late request is held for this many targets. A caller who is refused sooner
// comes back sooner.
constexpr int kLateHoldTargets = 4;
// Late requests are held while at least this fraction of those held before have
// started.
constexpr double kMinLateStarted = 0.5;
constexpr double kLateSampleWeight = 0.2;
// Recovery of the fraction by each request that isn't held because of it.
constexpr double kLateRecovery = 0.02;
// Added to Retry-After for each priority, as a fraction of it: more urgent
// callers return sooner.
constexpr double kRetryAfterPerPriority = 0.5;
// Callers who return during an overload are late in any case and take the place
// of others who could be in time. Retry-After grows with the ratio of refused
// to admitted requests times this factor. The bound keeps callers from staying
// away long after the overload has ended.
constexpr double kReturnSpread = 3.0;
constexpr milliseconds kMaxReturnSpread{8'000};
constexpr double kMaxRefused = 0.9;
// A less urgent request takes only spare room, and isn't queued, while more
// urgent ones are refused or late more often, by more than this fraction of the
// requests. The difference may be at most 0.05.
constexpr double kMaxLossDifference = 0.02;
// More urgent requests count for this time after their last arrival; what was
// measured of them before says nothing about the load now.
constexpr std::chrono::seconds kFavourWindow{10};
constexpr double kFractionSampleWeight = 0.05;

std::size_t ClassIndex(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kCounter:
      return 0;
    case RequestClass::kStream:
      return 1;
    case RequestClass::kPlain:
      return 2;
    case RequestClass::kBatch:
      return kBatchIndex;
  }
  return kBatchIndex;
}

std::size_t PriorityLevel(int priority) {
  return static_cast<std::size_t>(std::clamp(priority, 0, kLastPriority));
}

double RequestCost(const Request& request) {
  return kBaseRequestCost + kPromptTokenCost * request.prompt_tokens +
         request.max_tokens;
}

double Ms(TimePoint::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

milliseconds RetryAfter(double wait_ms) {
  if (!(wait_ms < static_cast<double>(kMaxRetryAfter.count()))) {
    return kMaxRetryAfter;
  }
  return std::max(kMinRetryAfter,
                  milliseconds(static_cast<std::int64_t>(wait_ms)));
}

void AddFraction(double* average, double sample, double weight) {
  *average += weight * (sample - *average);
}

void AddSample(double* average, double sample) {
  *average =
      *average == 0.0 ? sample : *average + kSampleWeight * (sample - *average);
}

}  // namespace

std::size_t Admission::PoolQueues::backlog() const {
  std::size_t all = 0;
  for (std::size_t i = 0; i < kClasses; ++i) all += QueuedUpTo(i, kLateRank);
  return all;
}

std::size_t Admission::PoolQueues::QueuedUpTo(std::size_t class_index,
                                              std::size_t rank) const {
  std::size_t all = 0;
  for (std::size_t i = 0; i <= rank; ++i) all += queued[class_index][i];
  return all;
}

void Admission::SetOrganisations(
    const std::map<std::string, OrganisationSpec>& organisations) {
  for (const auto& [name, spec] : organisations) {
    Organisation& organisation = m_organisations[name];
    organisation.weight = spec.weight > 0.0 ? spec.weight : 1.0;
    organisation.max_in_flight = spec.max_in_flight;
    organisation.max_queued =
        static_cast<std::size_t>(std::max(0, spec.max_queued));
  }
  std::erase_if(m_organisations, [&](const auto& entry) {
    bool unused = organisations.count(entry.first) == 0 &&
                  entry.second.in_flight == 0 && entry.second.queued == 0;
    if (unused) {
      for (auto& [id, pool] : m_pools) {
        pool.flows.erase(entry.first);
      }
    }
    return unused;
  });
}

Admission::Organisation& Admission::FindOrganisation(const std::string& name) {
  return m_organisations[name];
}

int Admission::InFlightLimit(const Organisation& organisation) const {
  double share =
      static_cast<double>(organisation.max_in_flight) / m_daemon_count;
  double offset = static_cast<double>(m_seed >> 11) * 0x1.0p-53;
  return std::max(1, static_cast<int>(share + offset));
}

bool Admission::HasQueueSpace(const Organisation& organisation,
                              bool batch) const {
  if (!m_bounded) {
    return true;
  }
  // Batch requests can wait for hours. They may fill at most half of each
  // queue, which leaves space for the other classes.
  return m_queued_requests.size() < m_max_queued &&
         organisation.queued < organisation.max_queued &&
         (!batch || (2 * m_queued_batch < m_max_queued &&
                     2 * organisation.queued_batch < organisation.max_queued));
}

Admission::Decision Admission::Offer(const Request& request, PoolId pool_id,
                                     PoolCapacity capacity, TimePoint now) {
  PoolQueues& pool = m_pools[pool_id];
  std::size_t class_index = ClassIndex(request.request_class);
  Flow& flow = pool.flows[request.organisation];
  flow.organisation = &FindOrganisation(request.organisation);
  Organisation& organisation = *flow.organisation;
  std::size_t priority = PriorityLevel(request.priority);
  pool.holds_late = capacity.holds_late;
  pool.arrived_at[priority] = now;
  QueuedRequest waiting{
      request.id,     request.deadline, TimePoint::max(), RequestCost(request),
      request.target, priority,         priority};
  bool batch = class_index == kBatchIndex;
  QueueKey key{batch ? request.deadline
                     : now + kPriorityStep * static_cast<int>(priority),
               ++m_sequence};
  Flow* next = pool.backlog() == 0 ? nullptr : FindNextFlow(&pool, class_index);
  bool first = next == nullptr ||
               (!batch && key < next->queues[class_index].begin()->first);
  bool yields = IsServedBetter(pool, priority, now) && !capacity.has_spare;
  if (capacity.has_room && first && !yields && MayRun(organisation)) {
    RecordStart(&pool, &flow, waiting);
    return {Disposition::kRun, milliseconds(0)};
  }
  if (!HasQueueSpace(organisation, batch)) {
    return RefuseWith(&pool, waiting, DrainTime(pool_id, capacity.limit, now));
  }
  const Queue& queue = flow.queues[class_index];
  double rate = DrainRate(pool, capacity.limit, now);
  auto ahead = static_cast<std::size_t>(
      std::distance(queue.begin(), queue.lower_bound(key)));
  double wait = ExpectedWaitMs(pool, flow, class_index, priority, ahead, rate);
  double finish = wait + pool.class_service_ms[class_index];
  if (rate > 0.0 && finish > Ms(request.deadline - now)) {
    // Retry-After is the time by which the expected end exceeds the deadline.
    return RefuseWith(&pool, waiting,
                      RetryAfter(finish - Ms(request.deadline - now)));
  }
  if (yields) {
    return RefuseWith(&pool, waiting, RetryAfter(wait));
  }
  if (request.target > milliseconds(0)) {
    milliseconds max_wait = MaxWait(pool, request.target);
    waiting.start_by = now + max_wait;
    if (wait > Ms(max_wait)) {
      milliseconds hold = LateHold(pool, waiting, class_index, now);
      double late_wait = ExpectedWaitMs(pool, flow, class_index, kLateRank,
                                        queue.size(), rate);
      if (late_wait > Ms(hold)) {
        AddFraction(&pool.late_started, 1.0, kLateRecovery);
        return RefuseWith(&pool, waiting, RetryAfter(wait));
      }
      waiting.rank = kLateRank;
      waiting.start_by = now + hold;
      key.first += kLateStep;
    }
  }
  Enqueue(&pool, &flow, request.organisation, class_index, key, waiting);
  if (pool.backlog() == 1) pool.busy_since = now;
  return {Disposition::kQueue, milliseconds(0)};
}

void Admission::Enqueue(PoolQueues* pool, Flow* flow,
                        const std::string& organisation,
                        std::size_t class_index, QueueKey key,
                        const QueuedRequest& waiting) {
  flow->queues[class_index][key] = waiting;
  m_queued_requests[waiting.request] = {pool, organisation, class_index, key};
  ++pool->queued[class_index][waiting.rank];
  ++flow->organisation->queued;
  if (class_index == kBatchIndex) {
    ++flow->organisation->queued_batch;
    ++m_queued_batch;
  }
}

Admission::Decision Admission::RefuseWith(PoolQueues* pool,
                                          const QueuedRequest& request,
                                          milliseconds retry_after) {
  AddFraction(&pool->refused, 1.0, kFractionSampleWeight);
  AddFraction(&pool->lost[request.priority], 1.0, kFractionSampleWeight);
  double wait =
      Ms(retry_after) *
      (1.0 + kRetryAfterPerPriority * static_cast<double>(request.priority));
  if (pool->holds_late) {
    double refused = std::min(pool->refused, kMaxRefused);
    double spread = wait * (1.0 + kReturnSpread * refused / (1.0 - refused));
    wait = std::max(wait, std::min(spread, Ms(kMaxReturnSpread)));
  }
  return {Disposition::kRefuse, RetryAfter(wait)};
}

bool Admission::IsServedBetter(const PoolQueues& pool, std::size_t priority,
                               TimePoint now) {
  for (std::size_t i = 0; i < priority; ++i) {
    if (now - pool.arrived_at[i] < kFavourWindow &&
        pool.lost[i] > pool.lost[priority] + kMaxLossDifference) {
      return true;
    }
  }
  return false;
}

milliseconds Admission::MaxWait(const PoolQueues& pool, milliseconds target) {
  auto whole = static_cast<double>(target.count());
  double wait = kMaxWaitFraction * whole;
  if (pool.first_event_ms > 0.0) {
    wait = std::min(wait, kSlackFraction * (whole - pool.first_event_ms));
  }
  return milliseconds(static_cast<std::int64_t>(std::max(0.0, wait)));
}

milliseconds Admission::LateHold(const PoolQueues& pool,
                                 const QueuedRequest& waiting,
                                 std::size_t class_index, TimePoint now) {
  if (!pool.holds_late || pool.late_started < kMinLateStarted) {
    return milliseconds(0);
  }
  // Half of the time to the deadline is left for the answer, or more if answers
  // take longer.
  double left = Ms(waiting.deadline - now);
  double reserve = std::max(left / 2.0, pool.class_service_ms[class_index]);
  auto most = static_cast<double>(kLateHoldTargets * waiting.target.count());
  return milliseconds(
      static_cast<std::int64_t>(std::clamp(left - reserve, 0.0, most)));
}

void Admission::HoldLate(PoolQueues* pool, RequestId request, TimePoint now) {
  QueuePosition position = m_queued_requests[request];
  Flow& flow = pool->flows[position.organisation];
  auto entry = flow.queues[position.class_index].find(position.key);
  QueuedRequest waiting = entry->second;
  milliseconds hold = LateHold(*pool, waiting, position.class_index, now);
  RemoveEntry(pool, &flow, position.class_index, entry);
  waiting.rank = kLateRank;
  waiting.start_by = now + hold;
  position.key.first += kLateStep;
  Enqueue(pool, &flow, position.organisation, position.class_index,
          position.key, waiting);
}

void Admission::RecordStart(PoolQueues* pool, Flow* flow,
                            const QueuedRequest& request) const {
  AddFraction(&pool->refused, 0.0, kFractionSampleWeight);
  if (request.target == milliseconds(0)) {
    AddFraction(&pool->lost[request.priority], 0.0, kFractionSampleWeight);
  }
  double start = std::max(pool->virtual_time, flow->virtual_finish);
  flow->virtual_finish = start + request.cost / flow->organisation->weight;
  pool->virtual_time = start;
  ++flow->organisation->in_flight;
}

bool Admission::IsUrgent(const PoolQueues& pool, const QueuedRequest& waiting,
                         TimePoint now) const {
  double slack =
      std::max(kUrgentServiceTimes * pool.class_service_ms[kBatchIndex],
               Ms(kMinUrgentSlack));
  return Ms(waiting.deadline - now) < slack;
}

Admission::Flow* Admission::FindUrgentBatch(PoolQueues* pool, TimePoint now) {
  Flow* urgent = nullptr;
  for (auto& [name, flow] : pool->flows) {
    const Queue& queue = flow.queues[kBatchIndex];
    if (!queue.empty() && MayRun(*flow.organisation) &&
        IsUrgent(*pool, queue.begin()->second, now) &&
        (urgent == nullptr ||
         queue.begin()->first < urgent->queues[kBatchIndex].begin()->first)) {
      urgent = &flow;
    }
  }
  return urgent;
}

Admission::Flow* Admission::FindNextFlow(PoolQueues* pool,
                                         std::size_t class_index) {
  Flow* next = nullptr;
  if (pool->QueuedUpTo(class_index, kLateRank) == 0) {
    return next;
  }
  auto may_run = [&](const Flow& flow) {
    return !flow.queues[class_index].empty() && MayRun(*flow.organisation);
  };
  auto head = [&](const Flow& flow) -> const Queue::value_type& {
    return *flow.queues[class_index].begin();
  };
  for (auto& [name, flow] : pool->flows) {
    if (may_run(flow) &&
        (next == nullptr || head(flow).first < head(*next).first)) {
      next = &flow;
    }
  }
  if (next == nullptr) return next;
  // Among the organisations whose next request has the rank of the first one,
  // the shares decide.
  std::size_t rank = head(*next).second.rank;
  for (auto& [name, flow] : pool->flows) {
    if (may_run(flow) && head(flow).second.rank == rank &&
        flow.virtual_finish < next->virtual_finish) {
      next = &flow;
    }
  }
  return next;
}

std::optional<RequestId> Admission::StartNext(PoolId pool_id, TimePoint now,
                                              bool has_spare) {
  auto found = m_pools.find(pool_id);
  if (found == m_pools.end()) {
    return std::nullopt;
  }
  PoolQueues& pool = found->second;
  if (!pool.last_was_urgent && pool.QueuedUpTo(kBatchIndex, kLateRank) > 0) {
    if (Flow* urgent = FindUrgentBatch(&pool, now)) {
      pool.last_was_urgent = true;
      return StartFirst(&pool, urgent, kBatchIndex);
    }
  }
  pool.last_was_urgent = false;
  for (std::size_t class_index = 0; class_index < kClasses; ++class_index) {
    Flow* flow = FindNextFlow(&pool, class_index);
    if (flow == nullptr) continue;
    bool late = flow->queues[class_index].begin()->second.rank == kLateRank;
    if (!late || has_spare) return StartFirst(&pool, flow, class_index);
  }
  return std::nullopt;
}

RequestId Admission::StartFirst(PoolQueues* pool, Flow* flow,
                                std::size_t class_index) {
  auto entry = flow->queues[class_index].begin();
  QueuedRequest waiting = entry->second;
  RemoveEntry(pool, flow, class_index, entry);
  RecordStart(pool, flow, waiting);
  if (waiting.rank == kLateRank) {
    AddFraction(&pool->late_started, 1.0, kLateSampleWeight);
  }
  return waiting.request;
}

void Admission::RemoveEntry(PoolQueues* pool, Flow* flow,
                            std::size_t class_index, Queue::iterator entry) {
  m_queued_requests.erase(entry->second.request);
  --pool->queued[class_index][entry->second.rank];
  flow->queues[class_index].erase(entry);
  --flow->organisation->queued;
  if (class_index == kBatchIndex) {
    --flow->organisation->queued_batch;
    --m_queued_batch;
  }
}

bool Admission::Remove(RequestId request) {
  auto found = m_queued_requests.find(request);
  if (found == m_queued_requests.end()) {
    return false;
  }
  QueuePosition position = found->second;
  Flow& flow = position.pool->flows[position.organisation];
  RemoveEntry(position.pool, &flow, position.class_index,
              flow.queues[position.class_index].find(position.key));
  return true;
}

void Admission::OnRequestEnded(const std::string& organisation) {
  --FindOrganisation(organisation).in_flight;
}

void Admission::RecordServiceTime(PoolId pool_id, RequestClass request_class,
                                  milliseconds service, TimePoint now) {
  PoolQueues& pool = m_pools[pool_id];
  double sample = std::max(1.0, static_cast<double>(service.count()));
  AddSample(&pool.service_ms, sample);
  AddSample(&pool.class_service_ms[ClassIndex(request_class)], sample);
  pool.last_attempt_end_at = now;
}

void Admission::RecordFirstEvent(PoolId pool_id, int priority,
                                 milliseconds latency, bool late) {
  PoolQueues& pool = m_pools[pool_id];
  AddSample(&pool.first_event_ms,
            std::max(1.0, static_cast<double>(latency.count())));
  AddFraction(&pool.lost[PriorityLevel(priority)], late ? 1.0 : 0.0,
              kFractionSampleWeight);
}

double Admission::DrainRate(const PoolQueues& pool, int limit,
                            TimePoint now) const {
  if (pool.service_ms == 0.0) {
    return 0.0;
  }
  double interval = pool.service_ms / std::max(1, limit);
  double since_last_end =
      Ms(now - std::max(pool.last_attempt_end_at, pool.busy_since));
  // With a limit of 1, one request ends per service time; a shorter gap is no
  // sign of a stall.
  if (pool.backlog() > 0 &&
      since_last_end > pool.service_ms + kStallIntervals * interval) {
    interval = std::max(interval, since_last_end / std::max(1, limit));
  }
  return 1.0 / interval;
}

double Admission::ExpectedWaitMs(const PoolQueues& pool, const Flow& flow,
                                 std::size_t class_index, std::size_t rank,
                                 std::size_t ahead, double rate) const {
  if (rate <= 0.0) {
    return 0.0;
  }
  // Requests of classes that are served first; late ones only before others
  // that are late, too. `by_flow` accounts for other
  // organisations in the same class.
  std::size_t higher_classes = 0;
  for (std::size_t i = 0; i < class_index; ++i) {
    higher_classes += pool.QueuedUpTo(i, std::max(rank, kPriorities - 1));
  }
  double total_weight = 0.0;
  for (const auto& [name, other] : pool.flows) {
    if (!other.queues[class_index].empty() || &other == &flow) {
      total_weight += other.organisation->weight;
    }
  }
  double fair_share = flow.organisation->weight / total_weight;
  auto own_queue = static_cast<double>(ahead + 1);
  double by_flow = own_queue / fair_share;
  auto by_queue = static_cast<double>(pool.QueuedUpTo(class_index, rank) + 1);
  double wait =
      (static_cast<double>(higher_classes) + std::min(by_flow, by_queue)) /
      rate;
  // The requests of an organisation start no faster than its in-flight limit
  // divided by the service time. Below the limit, the next request needn't wait
  // for the end of another one, which shortens the wait by one service time.
  // 1e-9 prevents a division by zero.
  double own_rate = InFlightLimit(*flow.organisation) / pool.service_ms;
  return std::max(wait,
                  own_queue / std::max(own_rate, 1e-9) -
                      (MayRun(*flow.organisation) ? pool.service_ms : 0.0));
}

std::vector<Admission::PredictedMiss> Admission::FindPredictedMisses(
    PoolId pool_id, int limit, TimePoint now) {
  std::vector<PredictedMiss> misses;
  std::vector<RequestId> late;
  auto found = m_pools.find(pool_id);
  if (found == m_pools.end()) {
    return misses;
  }
  PoolQueues& pool = found->second;
  double rate = DrainRate(pool, limit, now);
  auto add_miss = [&](const QueuedRequest& waiting, double wait) {
    Decision refusal = RefuseWith(&pool, waiting, RetryAfter(wait));
    misses.push_back({waiting.request, refusal.retry_after});
  };
  for (const auto& [name, flow] : pool.flows) {
    for (std::size_t class_index = 0; class_index < kClasses; ++class_index) {
      std::size_t ahead = 0;
      for (const auto& [key, waiting] : flow.queues[class_index]) {
        double left = Ms(waiting.deadline - now);
        double wait =
            ExpectedWaitMs(pool, flow, class_index, waiting.rank, ahead, rate);
        bool overdue = now > waiting.start_by;
        if (overdue && waiting.rank != kLateRank &&
            LateHold(pool, waiting, class_index, now) > milliseconds(0)) {
          late.push_back(waiting.request);
        } else if (overdue) {
          if (waiting.rank == kLateRank) {
            AddFraction(&pool.late_started, 0.0, kLateSampleWeight);
          }
          add_miss(waiting, wait);
        } else if (left <= 0.0 || pool.class_service_ms[class_index] > left ||
                   wait > kMissMargin * left) {
          add_miss(waiting, wait + pool.class_service_ms[class_index] - left);
        } else {
          ++ahead;
        }
      }
    }
  }
  for (RequestId request : late) HoldLate(&pool, request, now);
  return misses;
}

milliseconds Admission::DrainTime(PoolId pool_id, int limit,
                                  TimePoint now) const {
  auto found = m_pools.find(pool_id);
  if (found == m_pools.end()) {
    return kMinRetryAfter;
  }
  double rate = DrainRate(found->second, limit, now);
  return rate > 0.0
             ? RetryAfter(static_cast<double>(found->second.backlog()) / rate)
             : kMinRetryAfter;
}

void Admission::RetainPools(const std::vector<PoolId>& pools) {
  std::erase_if(m_pools, [&](const auto& entry) {
    return entry.second.backlog() == 0 &&
           std::find(pools.begin(), pools.end(), entry.first) == pools.end();
  });
}

bool Admission::IsBacklogged(PoolId pool) const {
  auto found = m_pools.find(pool);
  return found != m_pools.end() && found->second.backlog() > 0;
}

std::vector<Admission::PoolId> Admission::BackloggedPools() const {
  std::vector<PoolId> ids;
  for (const auto& [id, pool] : m_pools) {
    if (pool.backlog() > 0) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace clementine
