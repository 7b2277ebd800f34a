// A pool serves classes in the order counter, stream, plain, batch, and within
// a class the organisation with the lowest virtual start time (start-time fair
// queueing: a request costs its tokens divided by the organisation's weight). A
// batch request that has little slack left takes every second turn, so batch is
// not starved past its deadline and doesn't starve the other classes.
//
// A request is refused on arrival when it can't finish in time. The wait is
// the work before it divided by the drain rate: the concurrency limit divided
// by the measured service time (Little's law), so the loss of groups lowers the
// rate at once. While nothing ends, the rate falls with the time since the last
// end. A request that needn't wait is never refused: running it is the only way
// to measure again.

#include "core/admission.h"

#include <algorithm>
#include <cmath>

namespace clementine {

namespace {

constexpr std::size_t kBatchRank = 3;
constexpr double kSampleWeight = 0.1;
// Ends are this many expected intervals late before the rate falls.
constexpr double kStallIntervals = 4.0;
constexpr milliseconds kMinRetryAfter{1'000};
constexpr milliseconds kMaxRetryAfter{60'000};
// A queued request is given up only when the estimate clearly exceeds its
// deadline, so that noise of the estimate doesn't undo an admission.
constexpr double kHopelessFactor = 1.5;
// Part of the target that a request may wait for its turn; a server needs the
// rest to read the prompt.
constexpr double kTargetPart = 0.75;
// Slack, in service times and at least so long, from which batch hurries.
constexpr double kUrgentServices = 3.0;
constexpr milliseconds kUrgentSlack{2'000};
// Work of one request without tokens.
constexpr double kBaseCost = 64.0;
// Tokens of a prompt are computed together and cost less than generated ones.
constexpr double kPromptTokenCost = 0.1;

std::size_t Rank(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kCounter:
      return 0;
    case RequestClass::kStream:
      return 1;
    case RequestClass::kPlain:
      return 2;
    case RequestClass::kBatch:
      return kBatchRank;
  }
  return kBatchRank;
}

double RequestCost(const Request& request) {
  return kBaseCost + kPromptTokenCost * request.prompt_tokens +
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

std::size_t Admission::Pool::backlog() const {
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
        pool.shares.erase(entry.first);
      }
    }
    return unused;
  });
}

Admission::Organisation& Admission::Find(const std::string& name) {
  return m_organisations[name];
}

int Admission::InFlightLimit(const Organisation& organisation) const {
  return std::max(1, organisation.max_in_flight / m_live);
}

bool Admission::Fits(const Organisation& organisation, bool batch) const {
  if (!m_bounded) {
    return true;
  }
  // Batch waits for hours; it may fill only half of each queue, so that the
  // other classes find a place.
  return m_places.size() < m_max_queued &&
         organisation.queued < organisation.max_queued &&
         (!batch || (2 * m_queued_batch < m_max_queued &&
                     2 * organisation.queued_batch < organisation.max_queued));
}

Admission::Answer Admission::Offer(const Request& request, PoolId pool_id,
                                   Room room, TimePoint now) {
  Pool& pool = m_pools[pool_id];
  std::size_t rank = Rank(request.request_class);
  Share& share = pool.shares[request.organisation];
  share.organisation = &Find(request.organisation);
  Organisation& organisation = *share.organisation;
  double cost = RequestCost(request);
  bool first = share.queues[rank].empty() &&
               (pool.backlog() == 0 || FindNext(&pool, rank) == nullptr);
  if (room.free && first && MayRun(organisation)) {
    Start(&pool, &share, cost);
    return {Verdict::kRun, milliseconds(0)};
  }
  if (!Fits(organisation, rank == kBatchRank)) {
    return {Verdict::kRefuse, DrainTime(pool_id, room.limit, now)};
  }
  double rate = Rate(pool, room.limit, now);
  double wait = WaitMs(pool, share, rank, share.queues[rank].size(), rate);
  double finish = wait + pool.class_service_ms[rank];
  if (rate > 0.0 && finish > Ms(request.deadline - now)) {
    // The share of the wait that exceeds the deadline has drained by then.
    return {Verdict::kRefuse, RetryAfter(finish - Ms(request.deadline - now))};
  }
  TimePoint start_by = TimePoint::max();
  if (request.target > milliseconds(0)) {
    milliseconds patience(static_cast<std::int64_t>(
        static_cast<double>(request.target.count()) * kTargetPart));
    if (wait > Ms(patience)) {
      return {Verdict::kRefuse, RetryAfter(wait)};
    }
    start_by = now + patience;
  }
  if (pool.backlog() == 0) {
    pool.busy_since = now;
  }
  Key key{rank == kBatchRank ? request.deadline : TimePoint(), ++m_sequence};
  share.queues[rank][key] = {request.id, request.deadline, start_by, cost};
  m_places[request.id] = {&pool, request.organisation, rank, key};
  ++pool.queued[rank];
  ++organisation.queued;
  if (rank == kBatchRank) {
    ++organisation.queued_batch;
    ++m_queued_batch;
  }
  return {Verdict::kQueue, milliseconds(0)};
}

void Admission::Start(Pool* pool, Share* share, double cost) const {
  double start = std::max(pool->virtual_time, share->finish);
  share->finish = start + cost / share->organisation->weight;
  pool->virtual_time = start;
  ++share->organisation->in_flight;
}

bool Admission::Hurries(const Pool& pool, const Waiting& waiting,
                        TimePoint now) const {
  double slack = std::max(kUrgentServices * pool.class_service_ms[kBatchRank],
                          Ms(kUrgentSlack));
  return Ms(waiting.deadline - now) < slack;
}

Admission::Share* Admission::FindUrgent(Pool* pool, TimePoint now) {
  Share* urgent = nullptr;
  for (auto& [name, share] : pool->shares) {
    const Queue& queue = share.queues[kBatchRank];
    if (!queue.empty() && MayRun(*share.organisation) &&
        Hurries(*pool, queue.begin()->second, now) &&
        (urgent == nullptr ||
         queue.begin()->first < urgent->queues[kBatchRank].begin()->first)) {
      urgent = &share;
    }
  }
  return urgent;
}

Admission::Share* Admission::FindNext(Pool* pool, std::size_t rank) {
  Share* next = nullptr;
  if (pool->queued[rank] == 0) {
    return next;
  }
  for (auto& [name, share] : pool->shares) {
    if (!share.queues[rank].empty() && MayRun(*share.organisation) &&
        (next == nullptr || share.finish < next->finish)) {
      next = &share;
    }
  }
  return next;
}

std::optional<RequestId> Admission::Next(PoolId pool_id, TimePoint now) {
  auto found = m_pools.find(pool_id);
  if (found == m_pools.end()) {
    return std::nullopt;
  }
  Pool& pool = found->second;
  if (!pool.last_was_urgent && pool.queued[kBatchRank] > 0) {
    if (Share* urgent = FindUrgent(&pool, now)) {
      pool.last_was_urgent = true;
      return Take(&pool, urgent, kBatchRank);
    }
  }
  pool.last_was_urgent = false;
  for (std::size_t rank = 0; rank < kClasses; ++rank) {
    if (Share* share = FindNext(&pool, rank)) {
      return Take(&pool, share, rank);
    }
  }
  return std::nullopt;
}

RequestId Admission::Take(Pool* pool, Share* share, std::size_t rank) {
  auto entry = share->queues[rank].begin();
  Waiting waiting = entry->second;
  Unqueue(pool, share, rank, entry);
  Start(pool, share, waiting.cost);
  return waiting.request;
}

void Admission::Unqueue(Pool* pool, Share* share, std::size_t rank,
                        Queue::iterator entry) {
  m_places.erase(entry->second.request);
  share->queues[rank].erase(entry);
  --pool->queued[rank];
  --share->organisation->queued;
  if (rank == kBatchRank) {
    --share->organisation->queued_batch;
    --m_queued_batch;
  }
}

bool Admission::Remove(RequestId request) {
  auto found = m_places.find(request);
  if (found == m_places.end()) {
    return false;
  }
  Place place = found->second;
  Share& share = place.pool->shares[place.organisation];
  Unqueue(place.pool, &share, place.rank,
          share.queues[place.rank].find(place.key));
  return true;
}

void Admission::Ended(const std::string& organisation) {
  --Find(organisation).in_flight;
}

void Admission::Measured(PoolId pool_id, RequestClass request_class,
                         milliseconds service, TimePoint now) {
  Pool& pool = m_pools[pool_id];
  double sample = std::max(1.0, static_cast<double>(service.count()));
  AddSample(&pool.service_ms, sample);
  AddSample(&pool.class_service_ms[Rank(request_class)], sample);
  pool.last_end = now;
}

double Admission::Rate(const Pool& pool, int limit, TimePoint now) const {
  if (pool.service_ms == 0.0) {
    return 0.0;
  }
  double interval = pool.service_ms / std::max(1, limit);
  double silent = Ms(now - std::max(pool.last_end, pool.busy_since));
  // With one request at a time an end is due once per service time.
  if (pool.backlog() > 0 &&
      silent > pool.service_ms + kStallIntervals * interval) {
    interval = std::max(interval, silent / std::max(1, limit));
  }
  return 1.0 / interval;
}

double Admission::WaitMs(const Pool& pool, const Share& share, std::size_t rank,
                         std::size_t ahead, double rate) const {
  if (rate <= 0.0) {
    return 0.0;
  }
  // Of classes served first, and of other organisations in the same class.
  std::size_t before = 0;
  for (std::size_t i = 0; i < rank; ++i) {
    before += pool.queued[i];
  }
  double weights = 0.0;
  for (const auto& [name, other] : pool.shares) {
    if (!other.queues[rank].empty() || &other == &share) {
      weights += other.organisation->weight;
    }
  }
  double fair = share.organisation->weight / weights;
  auto own = static_cast<double>(ahead + 1);
  double by_share = own / fair;
  double by_queue = static_cast<double>(pool.queued[rank] + 1);
  double wait =
      (static_cast<double>(before) + std::min(by_share, by_queue)) / rate;
  // An organisation at its own limit drains no faster than its requests end.
  double own_rate = InFlightLimit(*share.organisation) / pool.service_ms;
  return std::max(wait,
                  own / std::max(own_rate, 1e-9) -
                      (MayRun(*share.organisation) ? pool.service_ms : 0.0));
}

std::vector<Admission::Hopeless> Admission::FindHopeless(PoolId pool_id,
                                                         int limit,
                                                         TimePoint now) const {
  std::vector<Hopeless> hopeless;
  auto found = m_pools.find(pool_id);
  if (found == m_pools.end()) {
    return hopeless;
  }
  const Pool& pool = found->second;
  double rate = Rate(pool, limit, now);
  for (const auto& [name, share] : pool.shares) {
    for (std::size_t rank = 0; rank < kClasses; ++rank) {
      std::size_t ahead = 0;
      for (const auto& [key, waiting] : share.queues[rank]) {
        double left = Ms(waiting.deadline - now);
        double wait = WaitMs(pool, share, rank, ahead, rate);
        if (now > waiting.start_by) {
          hopeless.push_back({waiting.request, RetryAfter(wait)});
        } else if (left <= 0.0 || pool.class_service_ms[rank] > left ||
                   wait > kHopelessFactor * left) {
          hopeless.push_back(
              {waiting.request,
               RetryAfter(wait + pool.class_service_ms[rank] - left)});
        } else {
          ++ahead;
        }
      }
    }
  }
  return hopeless;
}

milliseconds Admission::DrainTime(PoolId pool_id, int limit,
                                  TimePoint now) const {
  auto found = m_pools.find(pool_id);
  if (found == m_pools.end()) {
    return kMinRetryAfter;
  }
  double rate = Rate(found->second, limit, now);
  return rate > 0.0
             ? RetryAfter(static_cast<double>(found->second.backlog()) / rate)
             : kMinRetryAfter;
}

void Admission::KeepPools(const std::vector<PoolId>& pools) {
  std::erase_if(m_pools, [&](const auto& entry) {
    return entry.second.backlog() == 0 &&
           std::find(pools.begin(), pools.end(), entry.first) == pools.end();
  });
}

std::vector<Admission::PoolId> Admission::Backlogged() const {
  std::vector<PoolId> ids;
  for (const auto& [id, pool] : m_pools) {
    if (pool.backlog() > 0) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace clementine
