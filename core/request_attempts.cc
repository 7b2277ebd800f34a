// Attempts of a request: where it is sent, how an attempt ends, and whether
// another one may follow. Facts about an attempt that outlive the request (the
// outcome of a claimed call, the crash of a cancelled attempt) are kept apart
// from it.

#include <algorithm>

#include "core/doubled_pause.h"
#include "core/request_path_impl.h"
#include "fmt/format.h"

namespace clementine {

namespace {

constexpr milliseconds kFirstBackoff{20};
constexpr milliseconds kLongestBackoff{1'000};
constexpr milliseconds kIsolationPoll{20};
// Suspects that run alone at a time: one, and one more for each so many groups.
constexpr std::size_t kGroupsPerIsolation = 8;
constexpr std::size_t kMaxUnexplained = 1024;
/// A server that ended is back, or its entry has lapsed, within some seconds.
constexpr milliseconds kUnexplainedTime{10'000};
/// First digit of the status of a success.
constexpr int kSuccessClass = 2;
constexpr int kClientErrors = 400;
constexpr int kServerErrors = 500;
constexpr int kTooManyRequests = 429;

int Priority(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kCounter:
      return 3;
    case RequestClass::kStream:
      return 2;
    case RequestClass::kPlain:
      return 1;
    case RequestClass::kBatch:
      return 0;
  }
  return 0;
}

}  // namespace

bool ProvesNotRun(AttemptResult result) {
  return result == AttemptResult::kNotSent ||
         result == AttemptResult::kRefused ||
         result == AttemptResult::kWrongEpoch;
}

const GroupState* RequestPath::Impl::Failed(const Active& active) const {
  if (active.failed_group.empty()) {
    return nullptr;
  }
  for (const auto* list : {&active.pool->near, &active.pool->far}) {
    for (const GroupState* group : *list) {
      if (group->view.group == active.failed_group) {
        return group;
      }
    }
  }
  return nullptr;
}

void RequestPath::Impl::HeedBackoff(const Active& active,
                                    const AttemptEnded& event) {
  const std::string& host = active.group->view.leader_host;
  milliseconds wait = BusyTime(event.status, event.retry_after);
  if (wait > milliseconds(0)) {
    On(ServerBusy{host, wait});
  } else if (!ProvesNotRun(event.result)) {
    m_router.Took(host);
  }
}

void RequestPath::Impl::On(const ServerBusy& event) {
  m_router.HoldBack(event.host, event.wait, m_now);
  m_actions.push_back(LogDecision{
      "server_busy",
      {{"host", event.host}, {"wait_ms", std::to_string(event.wait.count())}}});
  RefuseWithoutGroups();
}

milliseconds RequestPath::Impl::GroupWait(const Pool* pool) const {
  if (pool == nullptr || !pool->backoff_until) return kDefaultRetryAfter;
  return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(
                                       *pool->backoff_until - m_now));
}

void RequestPath::Impl::DispatchNow(Active* active) {
  if (m_now >= active->request.deadline) {
    RefuseActive(active, RefusalReason::kDeadline, kDefaultRetryAfter);
    return;
  }
  Quarantine::Verdict verdict = m_quarantine.Judge(active->digest, m_now);
  if (verdict == Quarantine::Verdict::kQuarantined && !Broken("quarantine")) {
    RefuseActive(active, RefusalReason::kQuarantined,
                 m_quarantine.Remaining(active->digest, m_now));
    return;
  }
  if (verdict == Quarantine::Verdict::kSuspect && m_options.isolate_suspects &&
      !Broken("isolation")) {
    active->state = State::kIsolation;
    SetTimer(active, active->request.deadline);
    m_isolation.push_back(active->request.id);
    return;
  }
  GroupState* group =
      m_router.Pick(active->request, *active->pool, Failed(*active), m_now);
  if (group == nullptr && active->pool->isolated > 0) {
    // The remaining groups run a suspect; that ends soon.
    active->state = State::kBackoff;
    SetTimer(active, m_now + kIsolationPoll);
    return;
  }
  if (group == nullptr) {
    RefuseActive(active, RefusalReason::kNoGroup, GroupWait(active->pool));
    return;
  }
  Start(active, group);
}

void RequestPath::Impl::Start(Active* active, GroupState* group) {
  Reserve(active, false);
  active->state = State::kRunning;
  active->group = group;
  active->ran_on = fmt::format("{}@{}", group->view.group, group->view.epoch);
  active->attempt = ++m_last_attempt;
  active->dispatched = m_now;
  active->first_progress = TimePoint();
  m_attempts[active->attempt] = active->request.id;
  m_router.Started(group);
  if (active->attempts++ == 0) {
    m_budget.AddFirst(active->request.organisation, m_now);
  } else {
    ++m_stats.retried;
  }
  ++m_stats.dispatched;
  SetTimer(active, active->request.deadline);
  Log("route", active->request,
      {{"attempt", std::to_string(active->attempt)},
       {"group", group->view.group},
       {"epoch", std::to_string(group->view.epoch)},
       {"in_flight", std::to_string(group->in_flight)},
       {"alone", active->alone ? "yes" : "no"},
       {"resume", std::to_string(active->offset)}});
  m_actions.push_back(Dispatch{active->request.id, active->attempt,
                               group->view.group, group->view.epoch,
                               group->view.leader_address, active->offset,
                               Priority(active->request.request_class)});
}

// Suspects run alone: a group is set apart, its other attempts end, then the
// suspect is dispatched to it.
void RequestPath::Impl::RunIsolated() {
  std::vector<RequestId> waiting;
  waiting.swap(m_isolation);
  for (RequestId id : waiting) {
    Active* active = Find(id);
    if (active != nullptr && active->state == State::kIsolation &&
        !TryIsolate(active)) {
      m_isolation.push_back(id);
    }
  }
}

// Returns true when the request no longer waits for a group of its own.
bool RequestPath::Impl::TryIsolate(Active* active) {
  if (m_quarantine.Judge(active->digest, m_now) ==
      Quarantine::Verdict::kQuarantined) {
    RefuseActive(active, RefusalReason::kQuarantined,
                 m_quarantine.Remaining(active->digest, m_now));
    return true;
  }
  Pool& pool = *active->pool;
  if (active->group != nullptr &&
      (!active->group->listed || !active->group->view.open ||
       active->group->view.leaving)) {
    ReleaseGroup(active);
  }
  if (pool.size() == 0) {
    RefuseActive(active, RefusalReason::kNoGroup, GroupWait(active->pool));
    return true;
  }
  if (active->group == nullptr) {
    if (m_isolated_digests.count(active->digest) > 0 ||
        static_cast<std::size_t>(pool.isolated) >=
            1 + pool.size() / kGroupsPerIsolation) {
      return false;
    }
    GroupState* group = m_router.PickToIsolate(pool, Failed(*active), m_now);
    if (group == nullptr) {
      if (pool.isolated > 0) {
        return false;
      }
      RefuseActive(active, RefusalReason::kNoGroup, GroupWait(active->pool));
      return true;
    }
    active->group = group;
    active->alone = true;
    m_isolated_digests.insert(active->digest);
    m_router.SetIsolated(group, true);
  }
  if (active->group->in_flight > 0) {
    return false;
  }
  Start(active, active->group);
  return true;
}

void RequestPath::Impl::ReleaseGroup(Active* active) {
  if (active->alone) {
    m_router.SetIsolated(active->group, false);
    m_isolated_digests.erase(active->digest);
    active->alone = false;
  }
  active->group = nullptr;
}

// Ends the running attempt's hold on its group.
void RequestPath::Impl::FreeGroup(Active* active) {
  m_attempts.erase(active->attempt);
  GroupState* group = active->group;
  ReleaseGroup(active);
  m_router.Ended(group);
}

void RequestPath::Impl::On(const AttemptProgress& event) {
  auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end()) {
    return;
  }
  Active& active = *Find(found->second);
  if (event.offset <= active.offset) {
    return;
  }
  active.may_have_run = true;
  if (active.first_progress == TimePoint()) {
    m_router.Took(active.group->view.leader_host);
    active.first_progress = m_now;
    active.first_offset = event.offset;
    active.group->pace.AddFirstProgress(
        std::chrono::duration_cast<milliseconds>(m_now - active.dispatched),
        m_now);
  }
  active.offset = event.offset;
  active.last_progress = m_now;
}

void RequestPath::Impl::Measure(const Active& active, AttemptResult result) {
  if (ProvesNotRun(result)) {
    return;
  }
  auto ran =
      std::chrono::duration_cast<milliseconds>(m_now - active.dispatched);
  if (active.first_progress == TimePoint()) {
    active.group->pace.AddFirstProgress(ran, m_now);
  } else if (active.last_progress > active.first_progress) {
    std::chrono::duration<double> time =
        active.last_progress - active.first_progress;
    active.group->pace.AddRate(
        static_cast<double>(active.offset - active.first_offset) / time.count(),
        m_now);
  }
  if (m_options.admission &&
      (result == AttemptResult::kComplete || result == AttemptResult::kError)) {
    m_admission.Measured(active.pool->id, active.request.request_class, ran,
                         m_now);
  }
}

// ---------------------------------------------------------------------------
// Ends of attempts.

void RequestPath::Impl::On(const AttemptEnded& event) {
  auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end()) {
    if (EndDetached(event)) {
      return;
    }
    auto cancelled = m_unexplained.find(event.attempt);
    if (cancelled != m_unexplained.end()) {
      if (event.result == AttemptResult::kCrashed) {
        OnCrash(cancelled->second.digest, cancelled->second.ran_on,
                cancelled->second.dispatched);
      }
      m_unexplained.erase(cancelled);
    }
    return;
  }
  Active* active = Find(found->second);
  active->offset = std::max(active->offset, event.offset);
  Measure(*active, event.result);
  if (event.result == AttemptResult::kCrashed) {
    OnCrash(active->digest, active->ran_on, active->dispatched);
  }
  if (event.result == AttemptResult::kBroken ||
      event.result == AttemptResult::kTimedOut) {
    RememberUnexplained(event.attempt, {active->digest, active->ran_on,
                                        active->group->view.leader_host,
                                        active->dispatched, m_now});
  }
  Acquit(active->digest, event);
  active->failed_group = active->group->view.group;
  HeedBackoff(*active, event);
  FreeGroup(active);
  if (event.result != AttemptResult::kComplete) {
    OnFailure(active, event);
    return;
  }
  FinishActive(active, event);
}

void RequestPath::Impl::On(const AttemptStalled& event) {
  auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end()) {
    return;
  }
  Active* active = Find(found->second);
  if (!active->request.idempotent || active->alone || active->claimed) {
    return;
  }
  AttemptEnded silent;
  silent.attempt = event.attempt;
  silent.result = AttemptResult::kTimedOut;
  std::string failed_before = active->failed_group;
  active->failed_group = active->group->view.group;
  if (WhyNoRetry(*active, silent, milliseconds(0))) {
    active->failed_group = failed_before;
    return;
  }
  Log("moved", active->request,
      {{"attempt", std::to_string(event.attempt)},
       {"group", active->failed_group}});
  Measure(*active, silent.result);
  active->may_have_run = true;
  Cancel(active);
  Reserve(active, true);
  DispatchNow(active);
}

void RequestPath::Impl::OnCrash(const std::string& digest,
                                const std::string& group,
                                TimePoint dispatched) {
  std::optional<ShareQuarantine> share =
      m_quarantine.Crashed(digest, group, dispatched, m_now);
  if (share) {
    ++m_stats.crash_marks;
    auto ran =
        std::chrono::duration_cast<milliseconds>(m_now - dispatched).count();
    m_actions.push_back(LogDecision{
        "crash",
        {{"digest", digest},
         {"group", group},
         {"ran_ms", std::to_string(ran)},
         {"crashes", std::to_string(m_quarantine.Count(digest, m_now))}}});
    m_actions.push_back(*share);
  }
}

void RequestPath::Impl::Acquit(const std::string& digest,
                               const AttemptEnded& event) {
  bool good = event.result == AttemptResult::kComplete &&
              (event.status == 0 || event.status / 100 == kSuccessClass);
  if (!good) return;
  std::erase_if(m_unexplained, [&digest](const auto& entry) {
    return entry.second.digest == digest;
  });
  for (ShareQuarantine& share : m_quarantine.Completed(digest, m_now)) {
    m_actions.push_back(
        LogDecision{"acquitted", {{"digest", digest}, {"of", share.digest}}});
    m_actions.push_back(std::move(share));
  }
}

void RequestPath::Impl::On(const ServerEnded& event) {
  std::vector<Unexplained> marked;
  for (const auto& [id, active] : m_requests) {
    if (active.state == State::kRunning &&
        active.group->view.leader_host == event.host) {
      marked.push_back(
          {active.digest, active.ran_on, event.host, active.dispatched, m_now});
    }
  }
  std::erase_if(m_unexplained, [&](const auto& entry) {
    const Unexplained& attempt = entry.second;
    bool old = m_now - attempt.ended > kUnexplainedTime;
    bool ran_there = !old && attempt.host == event.host;
    if (ran_there) marked.push_back(attempt);
    return old || ran_there;
  });
  std::sort(marked.begin(), marked.end(),
            [](const auto& a, const auto& b) { return a.digest < b.digest; });
  for (const Unexplained& attempt : marked) {
    OnCrash(attempt.digest, attempt.ran_on, attempt.dispatched);
  }
}

bool RequestPath::Impl::MayRetry(const Active& active,
                                 const AttemptEnded& event) const {
  int limit = active.request.max_attempts > 0 ? active.request.max_attempts
                                              : m_options.max_attempts;
  if (active.attempts >= limit) {
    return false;
  }
  if (ProvesNotRun(event.result)) {
    return true;
  }
  if (event.result == AttemptResult::kError && event.status > 0 &&
      event.status < kServerErrors && event.status != kTooManyRequests) {
    return false;  // The request itself is at fault.
  }
  return active.request.idempotent || Broken("run_once");
}

// The failed server's Retry-After doesn't delay a retry on another group.
milliseconds RequestPath::Impl::Backoff(const Active& active) {
  milliseconds longest =
      ExponentialBackoff(kFirstBackoff, kLongestBackoff, active.attempts - 1);
  milliseconds jitter(static_cast<std::int64_t>(m_random() % 1000) *
                      longest.count() / 2000);
  return longest - jitter;
}

std::optional<RefusalReason> RequestPath::Impl::WhyNoRetry(
    const Active& active, const AttemptEnded& event, milliseconds pause) {
  if (event.result == AttemptResult::kCrashed && !Broken("quarantine") &&
      m_quarantine.Judge(active.digest, m_now) ==
          Quarantine::Verdict::kQuarantined) {
    return RefusalReason::kQuarantined;
  }
  if (!MayRetry(active, event)) {
    return active.may_have_run && !active.request.idempotent
               ? RefusalReason::kOutcomeUnknown
               : RefusalReason::kRetriesExhausted;
  }
  if (m_now + pause >= active.request.deadline) {
    return RefusalReason::kDeadline;
  }
  if (active.pool->size() <= (Failed(active) != nullptr ? 1U : 0U)) {
    return RefusalReason::kNoGroup;
  }
  if (!m_budget.TryRetry(active.request.organisation, m_now)) {
    return RefusalReason::kRetriesExhausted;
  }
  return std::nullopt;
}

void RequestPath::Impl::OnFailure(Active* active, const AttemptEnded& event) {
  if (!ProvesNotRun(event.result) && !Broken("not_run")) {
    active->may_have_run = true;
  }
  Reserve(active, true);
  milliseconds pause = Backoff(*active);
  std::optional<RefusalReason> reason = WhyNoRetry(*active, event, pause);
  bool answered = event.result == AttemptResult::kError &&
                  event.status >= kClientErrors && event.offset == 0;
  if (reason && answered) {
    // The backend server's error answer is the best one to be had.
    FinishActive(active, event);
    return;
  }
  if (reason) {
    RefuseActive(active, *reason,
                 *reason == RefusalReason::kQuarantined
                     ? m_quarantine.Remaining(active->digest, m_now)
                     : event.retry_after);
    return;
  }
  Log("retry", active->request,
      {{"attempt", std::to_string(event.attempt)},
       {"group", active->failed_group},
       {"result", AttemptResultName(event.result)},
       {"backoff_ms", std::to_string(pause.count())}});
  active->state = State::kBackoff;
  SetTimer(active, m_now + pause);
}

void RequestPath::Impl::FinishActive(Active* active,
                                     const AttemptEnded& event) {
  SettleClaim(active, ClaimState::kDone, event.status, event.body);
  ++m_stats.completed;
  m_actions.push_back(Finish{active->request.id, event.attempt});
  if (Broken("one_final")) {
    m_actions.push_back(Finish{active->request.id, event.attempt});
  }
  End(active);
}

bool RequestPath::Impl::EndDetached(const AttemptEnded& event) {
  auto found = m_detached.find(event.attempt);
  if (found == m_detached.end()) {
    return false;
  }
  Detached detached = found->second;
  m_detached.erase(found);
  if (event.result == AttemptResult::kCrashed) {
    OnCrash(detached.digest, detached.ran_on, detached.dispatched);
  }
  if (detached.alone) {
    m_router.SetIsolated(detached.group, false);
    m_isolated_digests.erase(detached.digest);
  }
  Acquit(detached.digest, event);
  m_router.Ended(detached.group);
  ClaimState state = ClaimState::kUnknown;
  if (event.result == AttemptResult::kComplete ||
      (event.result == AttemptResult::kError && event.status > 0)) {
    state = ClaimState::kDone;
  } else if (ProvesNotRun(event.result)) {
    state = ClaimState::kReleased;
  }
  m_ledger.Settle(detached.request, state, event.status, event.body, m_now,
                  &m_actions);
  return true;
}

// ---------------------------------------------------------------------------
// Attempts whose request has ended.

void RequestPath::Impl::Detach(Active* active) {
  m_attempts.erase(active->attempt);
  m_detached[active->attempt] = {
      active->request.id, active->group,
      active->digest,     active->ran_on,
      active->dispatched, active->request.deadline + kClaimGrace,
      active->alone};
  active->alone = false;
  active->group = nullptr;
  active->claimed = false;
}

void RequestPath::Impl::Cancel(Active* active) {
  m_actions.push_back(CancelAttempt{active->attempt});
  RememberUnexplained(active->attempt, {active->digest, active->ran_on,
                                        active->group->view.leader_host,
                                        active->dispatched, m_now});
  FreeGroup(active);
}

void RequestPath::Impl::RememberUnexplained(AttemptId attempt,
                                            Unexplained unexplained) {
  m_unexplained[attempt] = std::move(unexplained);
  // The oldest attempts have the smallest ids.
  if (m_unexplained.size() > kMaxUnexplained) {
    m_unexplained.erase(m_unexplained.begin());
  }
}

void RequestPath::Impl::ExpireDetached() {
  std::vector<AttemptId> expired;
  for (const auto& [attempt, detached] : m_detached) {
    if (detached.give_up <= m_now) {
      expired.push_back(attempt);
    }
  }
  std::sort(expired.begin(), expired.end());
  for (AttemptId attempt : expired) {
    m_actions.push_back(CancelAttempt{attempt});
    const Detached& detached = m_detached[attempt];
    RememberUnexplained(attempt, {detached.digest, detached.ran_on,
                                  detached.group->view.leader_host,
                                  detached.dispatched, m_now});
    EndDetached({attempt, AttemptResult::kTimedOut, 0, milliseconds(0), 0, ""});
  }
}

}  // namespace clementine
