// Arrival of a request: validation, admission and queues. An arriving request
// is refused, queued, claims its idempotency key, or is dispatched.

#include <algorithm>

#include "core/request_path_impl.h"
#include "fmt/format.h"

namespace clementine {

std::optional<RefusalReason> RequestPath::Impl::CheckRequest(
    const Request& request) const {
  if (m_draining) {
    return RefusalReason::kDraining;
  }
  if (m_configuration != nullptr) {
    const Configuration& all = *m_configuration;
    if (all.organisations.count(request.organisation) == 0) {
      return RefusalReason::kUnknownOrganisation;
    }
    if (!request.service.empty() ? all.services.count(request.service) == 0
                                 : all.models.count(request.model) == 0) {
      return RefusalReason::kUnknownModel;
    }
  }
  if (!request.idempotent && request.idempotency_key.empty() &&
      IsKeyRequired(request.path)) {
    return RefusalReason::kKeyRequired;
  }
  if (request.deadline <= m_now) {
    return RefusalReason::kDeadline;
  }
  return std::nullopt;
}

bool RequestPath::Impl::IsKeyRequired(const std::string& path) const {
  if (m_configuration == nullptr) {
    return false;
  }
  const RouteSpec* longest = nullptr;
  for (const auto& [prefix, route] : m_configuration->routes) {
    if (path.compare(0, prefix.size(), prefix) == 0 &&
        (longest == nullptr || prefix.size() > longest->path.size())) {
      longest = &route;
    }
  }
  return longest != nullptr && longest->key_required;
}

bool RequestPath::Impl::StartTrial(const Request& request,
                                   const CrashKeys& keys) {
  bool trial = m_quarantine.StartTrial(keys, m_now);
  std::string blamed =
      fmt::format("{}", fmt::join(m_quarantine.FindBlamed(keys, m_now), ","));
  Log(trial ? "crash_trial" : "blamed", request,
      {{"keys", std::move(blamed)},
       {"parts", FormatParts(request.shared_parts)}});
  return trial;
}

Admission::Decision RequestPath::Impl::OfferToPool(const Request& request,
                                                   Pool* pool) {
  bool refusable = request.target > milliseconds(0);
  if (refusable || request.answer_target > milliseconds(0)) {
    m_router.SteerLimit(pool, /*always_one=*/!refusable);
  }
  if (!m_options.admission) {
    return {Admission::Disposition::kRun, milliseconds(0)};
  }
  Admission::PoolCapacity capacity;
  capacity.limit = m_router.Limit(*pool, m_now);
  capacity.has_room = m_router.HasRoom(*pool, m_now);
  capacity.holds_late = pool->limit.has_value();
  capacity.has_spare = m_router.HasSpareRoom(*pool, m_now);
  return m_admission.Offer(request, pool->id, capacity, m_now);
}

void RequestPath::Impl::On(const RequestArrived& event) {
  const Request& request = event.request;
  if (m_requests.count(request.id) > 0) {
    Log("duplicate_request", request, {});
    return;
  }
  ++m_stats.arrived;
  auto refuse = [&](RefusalReason reason, milliseconds retry_after) {
    Refuse({request.id, reason, Outcome::kNotRun,
            HttpStatusFor(reason, Outcome::kNotRun), retry_after},
           request);
  };
  if (std::optional<RefusalReason> reason = CheckRequest(request)) {
    refuse(*reason, kDefaultRetryAfter);
    return;
  }
  CrashKeys keys = Quarantine::Keys(request);
  bool quarantined =
      !IsRuleBroken("quarantine") &&
      m_quarantine.Classify(keys, m_now) == Quarantine::State::kQuarantined;
  bool trial = quarantined && StartTrial(request, keys);
  if (quarantined && !trial) {
    refuse(RefusalReason::kQuarantined,
           m_quarantine.RemainingTime(keys, m_now));
    return;
  }
  Pool* pool = m_router.FindPool(request);
  if (pool == nullptr || pool->size() == 0) {
    if (!NeedsClaim(request)) {
      refuse(RefusalReason::kNoGroup, TimeUntilGroup(pool));
      return;
    }
    // A resent request is answered from the claim of the earlier call, which
    // needs no group. A request that acquires its claim is refused afterwards
    // unless a group has opened.
    ActiveRequest& active =
        AddActive(request, std::move(keys), m_router.FindOrCreatePool(request));
    Claim(&active);
    return;
  }
  Admission::Decision decision = OfferToPool(request, pool);
  if (decision.disposition == Admission::Disposition::kRefuse) {
    refuse(RefusalReason::kOverloaded, decision.retry_after);
    return;
  }
  ActiveRequest& active = AddActive(request, std::move(keys), pool);
  active.trial = trial;
  if (decision.disposition == Admission::Disposition::kQueue) {
    m_queued_pools[pool->id] = pool;
    return;
  }
  Admit(&active);
}

RequestPath::Impl::ActiveRequest& RequestPath::Impl::AddActive(
    const Request& request, CrashKeys keys, Pool* pool) {
  ActiveRequest& active = m_requests[request.id];
  active.request = request;
  active.request.shared_parts = {};  // As hashes in `keys`.
  active.keys = std::move(keys);
  active.pool = pool;
  active.arrived_at = m_now;
  ++pool->users;
  SetTimer(&active, request.deadline);
  return active;
}

// Starts a request that admission allows to run: claims its idempotency key if
// it needs a claim, otherwise dispatches it.
void RequestPath::Impl::Admit(ActiveRequest* active) {
  active->admitted = m_options.admission;
  active->admitted_at = m_now;
  SetReserved(active, true);
  if (!NeedsClaim(active->request)) {
    DispatchOrWait(active);
    return;
  }
  Claim(active);
}

void RequestPath::Impl::Claim(ActiveRequest* active) {
  if (!m_ledger.HasRoom()) {
    RefuseActive(active, RefusalReason::kPlatformDown, kDefaultRetryAfter);
    return;
  }
  active->state = State::kClaiming;
  m_ledger.Claim(active->request, active->request.deadline + kClaimGracePeriod,
                 m_now, &m_actions);
}

void RequestPath::Impl::StartQueuedRequests() {
  for (Admission::PoolId id : m_admission.BackloggedPools()) {
    Pool* pool = m_queued_pools[id];
    while (m_router.HasRoom(*pool, m_now)) {
      std::optional<RequestId> next =
          m_admission.StartNext(id, m_now, m_router.HasSpareRoom(*pool, m_now));
      if (!next) {
        break;
      }
      ActiveRequest* active = FindRequest(*next);
      // Keeps the pool alive in this iteration even if its last request ends.
      ++pool->users;
      Admit(active);
      --pool->users;
    }
  }
}

void RequestPath::Impl::RefusePredictedMisses() {
  for (Admission::PoolId id : m_admission.BackloggedPools()) {
    Pool* pool = m_queued_pools[id];
    for (const Admission::PredictedMiss& miss : m_admission.FindPredictedMisses(
             id, m_router.Limit(*pool, m_now), m_now)) {
      RefuseActive(FindRequest(miss.request), RefusalReason::kOverloaded,
                   miss.retry_after);
    }
  }
}

void RequestPath::Impl::RefuseOrClaimUnserved() {
  std::vector<RequestId> unserved;
  for (const auto& [id, active] : m_requests) {
    if (active.state == State::kQueued && active.pool->size() == 0) {
      unserved.push_back(id);
    }
  }
  std::sort(unserved.begin(), unserved.end());
  for (RequestId id : unserved) {
    ActiveRequest* active = FindRequest(id);
    if (NeedsClaim(active->request)) {
      m_admission.Remove(id);
      Claim(active);
    } else {
      RefuseActive(active, RefusalReason::kNoGroup,
                   TimeUntilGroup(active->pool));
    }
  }
}

}  // namespace clementine
