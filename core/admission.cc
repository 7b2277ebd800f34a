// Order of service: a pool serves the classes in the order counter, stream,
// plain, batch. Within a class, it serves the organisation whose last started
// request has the lowest virtual finish time (start-time fair queueing). The
// virtual start time of a request is the later of the pool's virtual time and
// its organisation's last virtual finish time. Its virtual finish time is later
// by its cost (see RequestCost) divided by the weight of the organisation. When
// a batch request is close to its deadline, every second turn goes to batch.
// This keeps batch from starving, and from starving the other classes.
//
// Refusal on arrival: a request is refused when the queues are full, when it
// isn't expected to finish before its deadline, or when it isn't expected to
// start within kMaxWaitFraction of its latency target. Its expected wait is the
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
constexpr double kSampleWeight = 0.1;
// The drain rate falls when the next end of a request is overdue by more than
// this many expected intervals.
constexpr double kStallIntervals = 4.0;
constexpr milliseconds kMinRetryAfter{1'000};
constexpr milliseconds kMaxRetryAfter{60'000};
// A queued request is refused only when its expected wait exceeds the time to
// its deadline by this factor, because the estimate is noisy.
constexpr double kMissMargin = 1.5;
// Fraction of the latency target that a request may spend in a queue. The
// server needs the rest to process the prompt.
constexpr double kMaxWaitFraction = 0.75;
// A batch request is urgent when the time to its deadline is less than this
// many service times, or less than the minimum.
constexpr double kUrgentServiceTimes = 3.0;
constexpr milliseconds kMinUrgentSlack{2'000};
// Cost of a request without tokens, in generated tokens.
constexpr double kBaseRequestCost = 64.0;
// Cost of a prompt token, in generated tokens. Prompt tokens are processed in
// parallel and cost less than generated ones.
constexpr double kPromptTokenCost = 0.1;

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

double RequestCost(const Request& request) {
  return kBaseRequestCost + kPromptTokenCost * request.prompt_tokens +
         request.max_tokens;
}

milliseconds RetryAfter(double wait_ms) {
  if (!(wait_ms < static_cast<double>(kMaxRetryAfter.count()))) {
    return kMaxRetryAfter;
  }
  return std::max(kMinRetryAfter,
                  milliseconds(static_cast<std::int64_t>(wait_ms)));
}

double Ms(TimePoint::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void AddSample(double* average, double sample) {
  *average =
      *average == 0.0 ? sample : *average + kSampleWeight * (sample - *average);
}

}  // namespace

std::size_t Admission::PoolQueues::backlog() const {
  std::size_t all = 0;
  for (std::size_t count : queued) {
    all += count;
  }
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
  return std::max(1, organisation.max_in_flight / m_daemon_count);
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
  double cost = RequestCost(request);
  bool first =
      flow.queues[class_index].empty() &&
      (pool.backlog() == 0 || FindNextFlow(&pool, class_index) == nullptr);
  if (capacity.has_room && first && MayRun(organisation)) {
    RecordStart(&pool, &flow, cost);
    return {Disposition::kRun, milliseconds(0)};
  }
  if (!HasQueueSpace(organisation, class_index == kBatchIndex)) {
    return {Disposition::kRefuse, DrainTime(pool_id, capacity.limit, now)};
  }
  double rate = DrainRate(pool, capacity.limit, now);
  double wait = ExpectedWaitMs(pool, flow, class_index,
                               flow.queues[class_index].size(), rate);
  double finish = wait + pool.class_service_ms[class_index];
  if (rate > 0.0 && finish > Ms(request.deadline - now)) {
    // Retry-After is the time by which the expected end exceeds the deadline.
    return {Disposition::kRefuse,
            RetryAfter(finish - Ms(request.deadline - now))};
  }
  TimePoint start_by = TimePoint::max();
  if (request.target > milliseconds(0)) {
    milliseconds max_wait(static_cast<std::int64_t>(
        static_cast<double>(request.target.count()) * kMaxWaitFraction));
    if (wait > Ms(max_wait)) {
      return {Disposition::kRefuse, RetryAfter(wait)};
    }
    start_by = now + max_wait;
  }
  if (pool.backlog() == 0) {
    pool.busy_since = now;
  }
  QueueKey key{class_index == kBatchIndex ? request.deadline : TimePoint(),
               ++m_sequence};
  flow.queues[class_index][key] = {request.id, request.deadline, start_by,
                                   cost};
  m_queued_requests[request.id] = {&pool, request.organisation, class_index,
                                   key};
  ++pool.queued[class_index];
  ++organisation.queued;
  if (class_index == kBatchIndex) {
    ++organisation.queued_batch;
    ++m_queued_batch;
  }
  return {Disposition::kQueue, milliseconds(0)};
}

void Admission::RecordStart(PoolQueues* pool, Flow* flow, double cost) const {
  double start = std::max(pool->virtual_time, flow->virtual_finish);
  flow->virtual_finish = start + cost / flow->organisation->weight;
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
  if (pool->queued[class_index] == 0) {
    return next;
  }
  for (auto& [name, flow] : pool->flows) {
    if (!flow.queues[class_index].empty() && MayRun(*flow.organisation) &&
        (next == nullptr || flow.virtual_finish < next->virtual_finish)) {
      next = &flow;
    }
  }
  return next;
}

std::optional<RequestId> Admission::StartNext(PoolId pool_id, TimePoint now) {
  auto found = m_pools.find(pool_id);
  if (found == m_pools.end()) {
    return std::nullopt;
  }
  PoolQueues& pool = found->second;
  if (!pool.last_was_urgent && pool.queued[kBatchIndex] > 0) {
    if (Flow* urgent = FindUrgentBatch(&pool, now)) {
      pool.last_was_urgent = true;
      return StartFirst(&pool, urgent, kBatchIndex);
    }
  }
  pool.last_was_urgent = false;
  for (std::size_t class_index = 0; class_index < kClasses; ++class_index) {
    if (Flow* flow = FindNextFlow(&pool, class_index)) {
      return StartFirst(&pool, flow, class_index);
    }
  }
  return std::nullopt;
}

RequestId Admission::StartFirst(PoolQueues* pool, Flow* flow,
                                std::size_t class_index) {
  auto entry = flow->queues[class_index].begin();
  QueuedRequest waiting = entry->second;
  RemoveEntry(pool, flow, class_index, entry);
  RecordStart(pool, flow, waiting.cost);
  return waiting.request;
}

void Admission::RemoveEntry(PoolQueues* pool, Flow* flow,
                            std::size_t class_index, Queue::iterator entry) {
  m_queued_requests.erase(entry->second.request);
  flow->queues[class_index].erase(entry);
  --pool->queued[class_index];
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
                                 std::size_t class_index, std::size_t ahead,
                                 double rate) const {
  if (rate <= 0.0) {
    return 0.0;
  }
  // Requests of classes that are served first. `by_flow` accounts for other
  // organisations in the same class.
  std::size_t higher_classes = 0;
  for (std::size_t i = 0; i < class_index; ++i) {
    higher_classes += pool.queued[i];
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
  double by_queue = static_cast<double>(pool.queued[class_index] + 1);
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
    PoolId pool_id, int limit, TimePoint now) const {
  std::vector<PredictedMiss> misses;
  auto found = m_pools.find(pool_id);
  if (found == m_pools.end()) {
    return misses;
  }
  const PoolQueues& pool = found->second;
  double rate = DrainRate(pool, limit, now);
  for (const auto& [name, flow] : pool.flows) {
    for (std::size_t class_index = 0; class_index < kClasses; ++class_index) {
      std::size_t ahead = 0;
      for (const auto& [key, waiting] : flow.queues[class_index]) {
        double left = Ms(waiting.deadline - now);
        double wait = ExpectedWaitMs(pool, flow, class_index, ahead, rate);
        if (now > waiting.start_by) {
          misses.push_back({waiting.request, RetryAfter(wait)});
        } else if (left <= 0.0 || pool.class_service_ms[class_index] > left ||
                   wait > kMissMargin * left) {
          misses.push_back(
              {waiting.request,
               RetryAfter(wait + pool.class_service_ms[class_index] - left)});
        } else {
          ++ahead;
        }
      }
    }
  }
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
