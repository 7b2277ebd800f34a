// Facade of the request path. A request goes through these states:
//
//   arrive -> queued -> claiming -> running -> final answer
//                          |          |  ^
//                          |          v  |
//                          '-----> awaiting retry, awaiting isolation
//
// A request skips the states that it doesn't need: queued if it may run at
// once, claiming if it needs no claim. Without claiming, a suspect goes from
// arrival or a queue to awaiting isolation.
//
// Each step moves the request to its next state or ends it. A step that ends a
// request emits its final action and calls EndRequest(), which removes the
// request. request_arrival.cc has the arrival and the queues,
// request_attempts.cc the attempts.

#include <algorithm>

#include "core/core.h"
#include "core/request_path_impl.h"

namespace clementine {

namespace {

constexpr milliseconds kExpiryInterval{100};

}  // namespace

int HttpStatusFor(RefusalReason reason, Outcome outcome) {
  switch (reason) {
    case RefusalReason::kUnknownModel:
      return 404;
    case RefusalReason::kUnknownOrganisation:
      return 403;
    case RefusalReason::kKeyRequired:
      return 400;
    case RefusalReason::kKeyReused:
    case RefusalReason::kQuarantined:
      return 422;
    case RefusalReason::kStillRunning:
      return 409;
    case RefusalReason::kDeadline:
      return 504;
    default:
      return outcome == Outcome::kNotRun ? 503 : 502;
  }
}

RequestPath::Impl::Impl(RequestPathOptions options)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_router(m_options.data_centre, m_options.seed + 1,
               m_options.route_policy),
      m_admission(m_options.max_queued, std::mt19937_64(m_options.seed + 3)()),
      m_budget(IsRuleBroken("retry_budget") ? 1e9 : m_options.retry_ratio,
               m_options.hedge_ratio),
      m_hedge_delays(m_options.hedge_ratio),
      m_ledger({m_options.node, m_options.incarnation, m_options.seed + 2,
                m_options.claim_retention, !IsRuleBroken("claim_first"),
                !IsRuleBroken("key_content")}),
      m_quarantine(m_options.crashes_to_quarantine,
                   m_options.quarantine_duration, m_options.seed) {
  if (IsRuleBroken("queue_bound")) {
    m_admission.IgnoreBounds();
  }
}

std::vector<RequestAction> RequestPath::Impl::Handle(const RequestEvent& event,
                                                     TimePoint now) {
  m_now = now;
  m_actions.clear();
  std::visit([this](const auto& value) { On(value); }, event);
  if (std::uint64_t changes = m_quarantine.cause_changes(m_now);
      changes != m_cause_changes) {
    m_cause_changes = changes;
    CancelBlamedAttempts();
  }
  RunTimers();
  if (!m_awaiting_isolation.empty()) {
    DispatchIsolated();
  }
  if (m_admission.queued() > 0) {
    StartQueuedRequests();
  }
  m_ledger.Advance(m_now, &m_actions);
  return std::move(m_actions);
}

RequestPathStats RequestPath::Impl::stats() const {
  RequestPathStats stats = m_stats;
  stats.quarantined = m_quarantine.times_quarantined(m_now);
  stats.suspects = m_quarantine.size();
  stats.in_flight = m_requests.size() - m_admission.queued();
  stats.queued = m_admission.queued();
  stats.limits = m_router.LimitStats(m_now);
  return stats;
}

// ---------------------------------------------------------------------------
// Ends of requests.

void RequestPath::Impl::On(const CallerLeft& event) {
  ActiveRequest* active = FindRequest(event.request);
  if (active == nullptr) {
    return;
  }
  if (active->state == State::kRunning) {
    if (active->claimed) {
      // The caller may resend the request with the same key; the attempt
      // continues so that its outcome can be recorded.
      DetachAttempt(active);
    } else {
      CancelRunningAttempt(active);
    }
  }
  if (active->state == State::kClaiming || active->claimed) {
    m_ledger.Settle(active->request.id, ClaimState::kReleased, 0, "", m_now,
                    &m_actions);
  }
  EndRequest(active);
}

void RequestPath::Impl::SettleClaim(ActiveRequest* active, ClaimState state,
                                    int status, const std::string& body) {
  if (active->claimed) {
    active->claimed = false;
    m_ledger.Settle(active->request.id, state, status, body, m_now, &m_actions);
  }
}

void RequestPath::Impl::RefuseActive(ActiveRequest* active,
                                     RefusalReason reason,
                                     milliseconds retry_after) {
  Outcome outcome = active->may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  bool release = !active->may_have_run || IsRuleBroken("release_only_not_run");
  SettleClaim(active, release ? ClaimState::kReleased : ClaimState::kUnknown, 0,
              "");
  Refuse({active->request.id, reason, outcome, HttpStatusFor(reason, outcome),
          retry_after},
         active->request);
  EndRequest(active);
}

void RequestPath::Impl::Refuse(const clementine::Refuse& refuse,
                               const Request& request) {
  clementine::Refuse answer = refuse;
  if (answer.outcome == Outcome::kNotRun) {
    answer.retry_after =
        std::max(answer.retry_after, m_options.min_retry_after);
  }
  ++(answer.outcome == Outcome::kUnknown ? m_stats.unknown : m_stats.refused);
  Log("refuse", request,
      {{"class", RequestClassName(request.request_class)},
       {"reason", RefusalReasonName(answer.reason)},
       {"outcome", OutcomeName(answer.outcome)},
       {"status", std::to_string(answer.status)},
       {"retry_after_ms", std::to_string(answer.retry_after.count())}});
  m_actions.push_back(answer);
}

// Removes a request whose final action was emitted or whose caller left.
void RequestPath::Impl::EndRequest(ActiveRequest* active) {
  SetReserved(active, false);
  if (active->state == State::kQueued) {
    m_admission.Remove(active->request.id);
  }
  if (active->admitted) {
    m_admission.OnRequestEnded(active->request.organisation);
  }
  if (active->other != nullptr) {
    CancelOther(active, /*lost=*/false);
  }
  if (active->group != nullptr) {
    ReleaseGroup(active);
  }
  --active->pool->users;
  m_timers.erase({active->wake_at, active->request.id});
  m_requests.erase(active->request.id);
}

// ---------------------------------------------------------------------------
// Other events.

void RequestPath::Impl::On(const LoadReported& event) {
  m_router.ReportLoad(event.load, event.age, m_now);
}

void RequestPath::Impl::On(const CacheEvents& event) {
  m_router.ApplyCacheEvents(event);
}

void RequestPath::Impl::On(const GroupsChanged& event) {
  if (IsRuleBroken("open_groups")) {
    std::vector<GroupView> all = event.groups;
    for (GroupView& group : all) {
      group.open = true;
      group.leaving = false;
    }
    m_router.SetGroups(all, m_now);
  } else {
    m_router.SetGroups(event.groups, m_now);
  }
  RefuseOrClaimUnserved();
  std::vector<Admission::PoolId> pools = m_router.PoolIds();
  m_admission.RetainPools(pools);
  m_hedge_delays.RetainPools(pools);
  std::erase_if(m_queued_pools, [&](const auto& entry) {
    return std::find(pools.begin(), pools.end(), entry.first) == pools.end();
  });
}

void RequestPath::Impl::On(const ConfigurationChanged& event) {
  if (event.configuration == nullptr ||
      (m_configuration != nullptr && event.generation < m_generation)) {
    return;
  }
  m_generation = event.generation;
  m_configuration = event.configuration;
  m_admission.SetOrganisations(m_configuration->organisations);
  m_budget.RetainOrganisations(m_configuration->organisations);
}

void RequestPath::Impl::On(const QuarantineLearned& event) {
  ShareMarks(m_quarantine.OnPeerNotice(event, m_now), "", milliseconds(0));
}

void RequestPath::Impl::On(const DaemonsChanged& event) {
  m_router.SetDaemonCount(event.live);
  if (event.share > 0.0) m_router.SetCapacityShare(event.share);
  m_admission.SetDaemonCount(event.live);
  m_quarantine.SetDaemonCount(event.live);
}

void RequestPath::Impl::On(const DrainStarted& /*event*/) { m_draining = true; }

void RequestPath::Impl::On(const RequestsStopped& /*event*/) {
  std::vector<RequestId> unfinished;
  for (const auto& [id, active] : m_requests) unfinished.push_back(id);
  std::sort(unfinished.begin(), unfinished.end());
  for (RequestId id : unfinished) {
    EndUnfinished(FindRequest(id), RefusalReason::kDraining);
  }
}

void RequestPath::Impl::On(const ObjectReply& event) {
  std::optional<ClaimLedger::Result> result =
      m_ledger.OnReply(event, m_now, &m_actions);
  if (!result) {
    return;
  }
  ActiveRequest* active = FindRequest(result->request);
  if (active == nullptr) {
    return;
  }
  if (result->acquired) {
    active->claimed = true;
    DispatchOrWait(active);
    return;
  }
  if (result->replay) {
    ++m_stats.completed;
    Log("replay", active->request,
        {{"status", std::to_string(result->replay->status)}});
    m_actions.push_back(*result->replay);
  } else {
    Refuse(result->refuse, active->request);
  }
  EndRequest(active);
}

void RequestPath::Impl::On(const StoreEraSeen& event) {
  StoreEra::Verdict verdict = m_store_era.Observe(event.era);
  // The first era says nothing about when the store was restored.
  if (verdict == StoreEra::Verdict::kFirst ||
      verdict == StoreEra::Verdict::kRestored) {
    m_ledger.OnStoreRestored(m_now, &m_actions);
  }
}

void RequestPath::Impl::On(const Tick& event) {
  if (event.wall != std::chrono::system_clock::time_point()) {
    m_ledger.SetWallClock(event.wall, m_now);
  }
  m_router.UpdateGroupSlowness(m_now);
  m_router.AdvanceBackoff(m_now);
  for (LogDecision& line : m_router.AdvanceLimits(m_now)) {
    m_actions.push_back(std::move(line));
  }
  ExpireDetached();
  if (m_now - m_last_expiry_at < kExpiryInterval) {
    return;
  }
  m_last_expiry_at = m_now;
  m_quarantine.Expire(m_now);
  RefusePredictedMisses();
}

// ---------------------------------------------------------------------------
// Timers.

void RequestPath::Impl::SetTimer(ActiveRequest* active, TimePoint wake_at) {
  m_timers.erase({active->wake_at, active->request.id});
  active->wake_at = std::min(wake_at, active->request.deadline);
  m_timers.emplace(active->wake_at, active->request.id);
}

void RequestPath::Impl::RunTimers() {
  while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
    RequestId id = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    OnTimer(FindRequest(id));
  }
}

void RequestPath::Impl::OnTimer(ActiveRequest* active) {
  if (m_now < active->request.deadline) {
    // Only the timers of a hedge and of a backoff expire before the deadline.
    if (active->state == State::kRunning) {
      TryHedge(active);
    } else {
      DispatchOrWait(active);
    }
    return;
  }
  EndUnfinished(active, RefusalReason::kDeadline);
}

void RequestPath::Impl::EndUnfinished(ActiveRequest* active,
                                      RefusalReason reason) {
  if (active->state == State::kRunning) {
    active->may_have_run = true;
    if (active->claimed) {
      DetachAttempt(active);
    } else {
      CancelRunningAttempt(active);
    }
  } else if (active->state == State::kClaiming) {
    m_ledger.Settle(active->request.id, ClaimState::kReleased, 0, "", m_now,
                    &m_actions);
  }
  RefuseActive(active, reason, kDefaultRetryAfter);
}

// ---------------------------------------------------------------------------

void RequestPath::Impl::SetReserved(ActiveRequest* active, bool reserve) {
  if (active->reserved != reserve) {
    active->reserved = reserve;
    active->pool->reserved += reserve ? 1 : -1;
  }
}

RequestPath::Impl::ActiveRequest* RequestPath::Impl::FindRequest(RequestId id) {
  auto found = m_requests.find(id);
  return found == m_requests.end() ? nullptr : &found->second;
}

void RequestPath::Impl::Log(
    const char* event, const Request& request,
    std::vector<std::pair<std::string, std::string>> fields) {
  fields.insert(fields.begin(), {"organisation", request.organisation});
  fields.insert(fields.begin(), {"request", std::to_string(request.id)});
  m_actions.push_back(LogDecision{event, std::move(fields)});
}

RequestPath::RequestPath(RequestPathOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options))) {}

RequestPath::~RequestPath() = default;

std::vector<RequestAction> RequestPath::Handle(const RequestEvent& event,
                                               TimePoint now) {
  return m_impl->Handle(event, now);
}

RequestPathStats RequestPath::stats() const { return m_impl->stats(); }

}  // namespace clementine
