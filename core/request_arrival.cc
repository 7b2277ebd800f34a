// Arrival of a request: checks, admission and the queues. A request leaves
// here refused, queued, or with its turn to claim its key or to run.

#include <algorithm>

#include "core/request_path_impl.h"

namespace clementine {

std::optional<RefusalReason> RequestPath::Impl::Check(
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
      KeyRequired(request.path)) {
    return RefusalReason::kKeyRequired;
  }
  if (request.deadline <= m_now) {
    return RefusalReason::kDeadline;
  }
  return std::nullopt;
}

bool RequestPath::Impl::KeyRequired(const std::string& path) const {
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

void RequestPath::Impl::On(const RequestArrived& event) {
  const Request& request = event.request;
  if (m_requests.count(request.id) > 0) {
    Log("duplicate_request", request, {});
    return;
  }
  ++m_stats.arrived;
  auto refuse = [&](RefusalReason reason, milliseconds retry_after) {
    Refuse({request.id, reason, Outcome::kNotRun,
            StatusFor(reason, Outcome::kNotRun), retry_after},
           request);
  };
  if (std::optional<RefusalReason> reason = Check(request)) {
    refuse(*reason, kDefaultRetryAfter);
    return;
  }
  std::string digest = Quarantine::Digest(request);
  if (m_quarantine.Classify(digest, m_now) == Quarantine::Verdict::kQuarantined &&
      !Broken("quarantine")) {
    refuse(RefusalReason::kQuarantined, m_quarantine.RemainingTime(digest, m_now));
    return;
  }
  Pool* pool = m_router.FindPool(request);
  if (pool == nullptr || pool->size() == 0) {
    if (!ClaimNeeded(request)) {
      refuse(RefusalReason::kNoGroup, GroupWait(pool));
      return;
    }
    // A resend is answered from the claim of the call before it, which needs
    // no group. An order that wins its claim is refused then.
    Active& active =
        AddActive(request, std::move(digest), m_router.MakePool(request));
    Claim(&active);
    return;
  }
  Admission::Answer answer{Admission::Verdict::kRun, milliseconds(0)};
  if (m_options.admission) {
    answer = m_admission.Offer(request, pool->id,
                               {m_router.Limit(*pool), m_router.HasRoom(*pool)},
                               m_now);
  }
  if (answer.verdict == Admission::Verdict::kRefuse) {
    refuse(RefusalReason::kOverloaded, answer.retry_after);
    return;
  }
  Active& active = AddActive(request, std::move(digest), pool);
  if (answer.verdict == Admission::Verdict::kQueue) {
    m_queued_pools[pool->id] = pool;
    return;
  }
  Admit(&active);
}

RequestPath::Impl::Active& RequestPath::Impl::AddActive(const Request& request,
                                                        std::string digest,
                                                        Pool* pool) {
  Active& active = m_requests[request.id];
  active.request = request;
  active.digest = std::move(digest);
  active.pool = pool;
  ++pool->users;
  SetTimer(&active, request.deadline);
  return active;
}

// The request has its turn: it claims its key, or runs at once.
void RequestPath::Impl::Admit(Active* active) {
  active->admitted = m_options.admission;
  active->admitted_at = m_now;
  Reserve(active, true);
  if (!ClaimNeeded(active->request)) {
    DispatchNow(active);
    return;
  }
  Claim(active);
}

void RequestPath::Impl::Claim(Active* active) {
  if (!m_ledger.HasRoom()) {
    RefuseActive(active, RefusalReason::kPlatformDown, kDefaultRetryAfter);
    return;
  }
  active->state = State::kClaiming;
  m_ledger.Claim(active->request, active->request.deadline + kClaimGrace, m_now,
                 &m_actions);
}

void RequestPath::Impl::PumpQueues() {
  for (Admission::PoolId id : m_admission.Backlogged()) {
    Pool* pool = m_queued_pools[id];
    while (m_router.HasRoom(*pool)) {
      std::optional<RequestId> next = m_admission.Next(id, m_now);
      if (!next) {
        break;
      }
      Active* active = Find(*next);
      // The pool outlives this iteration even if its last request ends.
      ++pool->users;
      Admit(active);
      --pool->users;
    }
  }
}

void RequestPath::Impl::RefuseHopeless() {
  for (Admission::PoolId id : m_admission.Backlogged()) {
    Pool* pool = m_queued_pools[id];
    for (const Admission::Hopeless& hopeless :
         m_admission.FindHopeless(id, m_router.Limit(*pool), m_now)) {
      RefuseActive(Find(hopeless.request), RefusalReason::kOverloaded,
                   hopeless.retry_after);
    }
  }
}

void RequestPath::Impl::RefuseWithoutGroups() {
  std::vector<RequestId> stranded;
  for (const auto& [id, active] : m_requests) {
    if (active.state == State::kQueued && active.pool->size() == 0) {
      stranded.push_back(id);
    }
  }
  std::sort(stranded.begin(), stranded.end());
  for (RequestId id : stranded) {
    Active* active = Find(id);
    if (ClaimNeeded(active->request)) {
      m_admission.Remove(id);
      Claim(active);
    } else {
      RefuseActive(active, RefusalReason::kNoGroup, GroupWait(active->pool));
    }
  }
}

}  // namespace clementine
