// Attempts of a request: choice of the group, handling of the result, and
// retries. State that must outlive the request (a claimed call whose outcome is
// still to be recorded, a cancelled attempt whose server may have crashed) is
// stored separately in m_detached and m_ambiguous_ends.

#include <algorithm>

#include "core/exponential_backoff.h"
#include "core/request_path_impl.h"
#include "fmt/format.h"

namespace clementine {

namespace {

constexpr milliseconds kInitialRetryDelay{20};
constexpr milliseconds kMaxRetryDelay{1'000};
constexpr milliseconds kIsolationPollInterval{20};
constexpr milliseconds kMinColdWait{10};
// A pool isolates at most one group, plus one for every 8 groups that it has.
constexpr std::size_t kGroupsPerIsolatedRequest = 8;
constexpr std::size_t kMaxAmbiguousEnds = 1024;
// The end of a server is detected within a few seconds: either its next
// incarnation is listed, or its entry in the host list has expired.
constexpr milliseconds kMaxAmbiguousEndAge = Quarantine::kAcquittalWindow;
// What crashes servers at the beginning of an answer does so before its second
// progress report.
constexpr milliseconds kAnswerStartPeriod{100};
constexpr int kSuccessClass = 2;  // Status / 100.
constexpr int kMinClientErrorStatus = 400;
constexpr int kMinServerErrorStatus = 500;
constexpr int kTooManyRequests = 429;

}  // namespace

int DispatchPriority(RequestClass request_class) {
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

bool ProvesNotRun(AttemptResult result) {
  return result == AttemptResult::kNotSent ||
         result == AttemptResult::kRefused ||
         result == AttemptResult::kWrongEpoch;
}

const RoutedGroup* RequestPath::Impl::FindLastGroup(
    const ActiveRequest& active) const {
  if (active.last_group.empty()) {
    return nullptr;
  }
  for (const auto* list : {&active.pool->local, &active.pool->remote}) {
    for (const RoutedGroup* group : *list) {
      if (group->view.group == active.last_group) {
        return group;
      }
    }
  }
  return nullptr;
}

void RequestPath::Impl::UpdateServerBackoff(const ActiveRequest& active,
                                            const AttemptEnded& event) {
  const std::string& host = active.group->view.head_host;
  milliseconds wait = RequestedBackoff(event.status, event.retry_after);
  if (wait > milliseconds(0)) {
    m_router.OnServerFull(active.pool, m_now);
    On(ServerBusy{host, wait});
  } else if (!ProvesNotRun(event.result)) {
    // A broken, timed-out or crashed attempt counts as accepted as well: its
    // server did not refuse it with a backoff.
    m_router.OnRequestAccepted(host);
  }
}

void RequestPath::Impl::On(const ServerBusy& event) {
  m_router.OnServerBusy(event.host, event.wait, m_now);
  m_actions.push_back(LogDecision{
      "server_busy",
      {{"host", event.host}, {"wait_ms", std::to_string(event.wait.count())}}});
  RefuseOrClaimUnserved();
}

milliseconds RequestPath::Impl::TimeUntilGroup(const Pool* pool) const {
  if (pool == nullptr || !pool->backoff_until) return kDefaultRetryAfter;
  return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(
                                       *pool->backoff_until - m_now));
}

void RequestPath::Impl::DispatchOrWait(ActiveRequest* active) {
  if (m_now >= active->request.deadline) {
    RefuseActive(active, RefusalReason::kDeadline, kDefaultRetryAfter);
    return;
  }
  if (IsQuarantined(*active)) {
    RefuseQuarantined(active);
    return;
  }
  if (m_quarantine.Classify(active->keys, m_now) != Quarantine::State::kClear &&
      m_options.isolate_suspects && !IsRuleBroken("isolation")) {
    active->state = State::kAwaitingIsolation;
    SetTimer(active, active->request.deadline);
    m_awaiting_isolation.push_back(active->request.id);
    return;
  }
  RoutedGroup* group = m_router.Pick(active->request, *active->pool,
                                     FindLastGroup(*active), m_now);
  if (group == nullptr && active->pool->isolated > 0) {
    // At least one group of the pool is isolated for a suspect. It becomes
    // available when the attempt of the suspect ends.
    active->state = State::kAwaitingRetry;
    SetTimer(active, m_now + kIsolationPollInterval);
    return;
  }
  if (group == nullptr && AwaitColdStart(active)) return;
  if (group == nullptr) {
    RefuseActive(active, RefusalReason::kNoGroup, TimeUntilGroup(active->pool));
    return;
  }
  StartAttempt(active, group);
}

// Waits for a cold group's next token, unless the request would then be late. A
// request that has begun is better late than cut off.
// Requests that wait keep their admission, so the others of the pool queue.
bool RequestPath::Impl::AwaitColdStart(ActiveRequest* active) {
  std::optional<TimePoint> next =
      m_router.NextColdStart(*active->pool, FindLastGroup(*active), m_now);
  if (!next) return false;
  TimePoint start_by = active->request.deadline;
  milliseconds target = active->request.target;
  if (target > milliseconds(0) && active->attempts == 0) {
    start_by = std::min(start_by, active->admitted_at + target);
  }
  if (*next >= start_by) return false;
  if (active->state != State::kAwaitingRetry) ++m_stats.cold_waits;
  active->state = State::kAwaitingRetry;
  // Several requests may wait for one token.
  SetTimer(active, std::max(*next, m_now + kMinColdWait));
  return true;
}

void RequestPath::Impl::StartAttempt(ActiveRequest* active,
                                     RoutedGroup* group) {
  SetReserved(active, false);
  active->state = State::kRunning;
  active->group = group;
  active->group_and_epoch =
      fmt::format("{}@{}", group->view.group, group->view.epoch);
  active->attempt = ++m_last_attempt;
  active->dispatched_at = m_now;
  active->first_progress_at = TimePoint();
  active->survived_start = false;
  m_attempts[active->attempt] = active->request.id;
  m_router.OnAttemptStarted(group, m_now);
  if (active->request.target > milliseconds(0)) {
    active->waiting_prompt_tokens = active->request.prompt_tokens;
    group->waiting_prompt_tokens += active->waiting_prompt_tokens;
  }
  if (active->attempts++ == 0) {
    m_budget.OnFirstAttempt(active->request.organisation, m_now);
  } else {
    ++m_stats.retried;
  }
  ++m_stats.dispatched;
  SetTimer(active, HedgeTime(*active));
  Log("route", active->request,
      {{"attempt", std::to_string(active->attempt)},
       {"group", group->view.group},
       {"epoch", std::to_string(group->view.epoch)},
       {"in_flight", std::to_string(group->in_flight)},
       {"alone", active->holds_isolation ? "yes" : "no"},
       {"resume", std::to_string(active->offset)}});
  Dispatch dispatch{active->request.id,
                    active->attempt,
                    group->view.group,
                    group->view.epoch,
                    group->view.head_address,
                    active->offset,
                    DispatchPriority(active->request.request_class)};
  dispatch.concurrent = active->other != nullptr;
  m_actions.push_back(std::move(dispatch));
}

// Isolates a group for each waiting suspect. The suspect is dispatched once the
// other attempts on its group have ended.
void RequestPath::Impl::DispatchIsolated() {
  std::vector<RequestId> waiting;
  waiting.swap(m_awaiting_isolation);
  for (RequestId id : waiting) {
    ActiveRequest* active = FindRequest(id);
    if (active != nullptr && active->state == State::kAwaitingIsolation &&
        !AdvanceIsolation(active)) {
      m_awaiting_isolation.push_back(id);
    }
  }
}

// Returns true if the request was dispatched or refused, false if it still
// waits for an isolated group.
bool RequestPath::Impl::AdvanceIsolation(ActiveRequest* active) {
  if (IsQuarantined(*active)) {
    RefuseQuarantined(active);
    return true;
  }
  Pool& pool = *active->pool;
  if (active->group != nullptr &&
      (!active->group->listed || !active->group->view.open ||
       active->group->view.leaving || active->group->view.evacuated)) {
    ReleaseGroup(active);
  }
  if (pool.size() == 0) {
    RefuseActive(active, RefusalReason::kNoGroup, TimeUntilGroup(active->pool));
    return true;
  }
  if (active->group == nullptr) {
    if (m_isolated_digests.count(active->keys.digest) > 0 ||
        static_cast<std::size_t>(pool.isolated) >=
            1 + pool.size() / kGroupsPerIsolatedRequest) {
      return false;
    }
    RoutedGroup* group =
        m_router.PickToIsolate(pool, FindLastGroup(*active), m_now);
    if (group == nullptr) {
      if (pool.isolated > 0) {
        return false;
      }
      RefuseActive(active, RefusalReason::kNoGroup,
                   TimeUntilGroup(active->pool));
      return true;
    }
    active->group = group;
    active->holds_isolation = true;
    m_isolated_digests.insert(active->keys.digest);
    m_router.SetIsolated(group, true);
  }
  if (active->group->in_flight > 0 ||
      !Router::HasColdToken(*active->group, m_now)) {
    return false;
  }
  StartAttempt(active, active->group);
  return true;
}

void RequestPath::Impl::ReleaseGroup(ActiveRequest* active) {
  if (active->holds_isolation) {
    m_router.SetIsolated(active->group, false);
    m_isolated_digests.erase(active->keys.digest);
    active->holds_isolation = false;
  }
  active->group = nullptr;
}

void RequestPath::Impl::EndPromptWait(RunningAttempt* attempt) {
  attempt->group->waiting_prompt_tokens -=
      std::exchange(attempt->waiting_prompt_tokens, 0);
}

// Removes the running attempt from m_attempts and from its group.
void RequestPath::Impl::ReleaseAttempt(ActiveRequest* active) {
  m_attempts.erase(active->attempt);
  EndPromptWait(active);
  RoutedGroup* group = active->group;
  ReleaseGroup(active);
  m_router.OnAttemptEnded(group);
}

void RequestPath::Impl::On(const AttemptProgress& event) {
  auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end()) {
    return;
  }
  ActiveRequest& active = *FindRequest(found->second);
  if (event.offset <= active.offset) {
    return;
  }
  active.may_have_run = true;
  SelectAttempt(&active, event.attempt);
  if (active.other != nullptr) {
    CancelOther(&active, /*lost=*/true);
  }
  if (active.first_progress_at == TimePoint()) {
    RecordFirstResult(active);
    m_router.OnRequestAccepted(active.group->view.head_host);
    active.first_progress_at = m_now;
    active.first_offset = event.offset;
    auto latency =
        std::chrono::duration_cast<milliseconds>(m_now - active.dispatched_at);
    active.group->speed.AddFirstProgress(latency, m_now);
    if (active.request.target > milliseconds(0)) {
      EndPromptWait(&active);
      m_router.OnFirstEvent(active.pool, active.request.prompt_tokens, latency,
                            active.request.target, m_now);
      m_admission.RecordFirstEvent(
          active.pool->id, active.request.priority, latency,
          m_now - active.arrived_at > active.request.target);
    }
  }
  active.offset = event.offset;
  active.last_progress_at = m_now;
  if (!active.survived_start &&
      m_now - active.first_progress_at >= kAnswerStartPeriod) {
    active.survived_start = true;
    AcquitParts(active);
  }
}

void RequestPath::Impl::RecordMeasurements(const ActiveRequest& active,
                                           AttemptResult result) {
  if (ProvesNotRun(result)) {
    return;
  }
  auto ran =
      std::chrono::duration_cast<milliseconds>(m_now - active.dispatched_at);
  if (active.first_progress_at == TimePoint()) {
    active.group->speed.AddFirstProgress(ran, m_now);
  } else if (active.last_progress_at > active.first_progress_at) {
    std::chrono::duration<double> time =
        active.last_progress_at - active.first_progress_at;
    active.group->speed.AddProgressRate(
        static_cast<double>(active.offset - active.first_offset) / time.count(),
        m_now);
  }
  if (active.request.answer_target > milliseconds(0) &&
      result == AttemptResult::kComplete) {
    m_router.OnFirstEvent(active.pool, active.request.prompt_tokens, ran,
                          active.request.answer_target, m_now);
  }
  if (m_options.admission &&
      (result == AttemptResult::kComplete || result == AttemptResult::kError)) {
    m_admission.RecordServiceTime(active.pool->id, active.request.request_class,
                                  ran, m_now);
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
    auto cancelled = m_ambiguous_ends.find(event.attempt);
    if (cancelled != m_ambiguous_ends.end()) {
      AmbiguousEnd& ambiguous = cancelled->second;
      // Acquittals of parts are not remembered for longer.
      bool old = m_now - ambiguous.ended_at > kMaxAmbiguousEndAge;
      if (old) ambiguous.keys.parts = nullptr;
      if (event.result == AttemptResult::kCrashed) {
        OnCrash(ambiguous.keys, ambiguous.group_and_epoch,
                ambiguous.dispatched_at);
      }
      m_ambiguous_ends.erase(cancelled);
    }
    return;
  }
  ActiveRequest* active = FindRequest(found->second);
  SelectAttempt(active, event.attempt);
  bool succeeded = event.result == AttemptResult::kComplete &&
                   (event.status == 0 || event.status / 100 == kSuccessClass);
  if (active->other != nullptr &&
      (succeeded || event.offset > active->offset)) {
    CancelOther(active, /*lost=*/true);
  }
  if (succeeded && active->first_progress_at == TimePoint()) {
    RecordFirstResult(*active);
  }
  active->offset = std::max(active->offset, event.offset);
  RecordMeasurements(*active, event.result);
  if (event.result == AttemptResult::kCrashed) {
    OnCrash(BlamableKeys(*active, *active), active->group_and_epoch,
            active->dispatched_at);
    active->trial = false;
    active->after_crash = true;
  }
  if (event.result == AttemptResult::kBroken ||
      event.result == AttemptResult::kTimedOut) {
    RememberAmbiguousEnd(
        event.attempt,
        {BlamableKeys(*active, *active), active->group_and_epoch,
         active->group->view.head_host, active->dispatched_at, m_now});
  }
  AcquitIfSuccessful(active->keys, event);
  active->last_group = active->group->view.group;
  UpdateServerBackoff(*active, event);
  ReleaseAttempt(active);
  if (active->other != nullptr) {
    active->may_have_run |= !ProvesNotRun(event.result);
    ContinueWithOther(active, event.attempt, AttemptResultName(event.result));
    return;
  }
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
  ActiveRequest* active = FindRequest(found->second);
  if (!active->request.idempotent || active->holds_isolation ||
      active->claimed) {
    return;
  }
  if (active->other != nullptr && active->moving) {
    AttemptId older = std::min(active->attempt, active->other->attempt);
    if (event.attempt == older) return;
    SelectAttempt(active, older);
    MoveToOtherGroup(active);
    return;
  }
  SelectAttempt(active, event.attempt);
  if (active->other != nullptr) {
    RecordMeasurements(*active, AttemptResult::kTimedOut);
    active->may_have_run = true;
    CancelSelected(active);
    ContinueWithOther(active, event.attempt, "stalled");
    return;
  }
  MoveToOtherGroup(active);
}

// The stalled attempt runs on until the new one makes progress: the new server
// may reject the request. If that one is silent as well, another one replaces
// it.
void RequestPath::Impl::MoveToOtherGroup(ActiveRequest* active) {
  if (IsQuarantined(*active)) {
    // No other server may get it. An answer that has begun may still go on.
    if (active->offset > 0) return;
    active->may_have_run = true;
    CancelRunningAttempt(active);
    RefuseQuarantined(active);
    return;
  }
  AttemptEnded stalled;
  stalled.attempt = active->attempt;
  stalled.result = AttemptResult::kTimedOut;
  std::string group_before = active->last_group;
  active->last_group = active->group->view.group;
  bool suspect =
      m_options.isolate_suspects &&
      m_quarantine.Classify(active->keys, m_now) != Quarantine::State::kClear;
  RoutedGroup* group = nullptr;
  if (!suspect) {
    group = m_router.Pick(active->request, *active->pool,
                          FindLastGroup(*active), m_now);
  }
  bool runs_there = active->other != nullptr && active->other->group == group;
  bool has_group = suspect || (group != nullptr && !runs_there);
  if (!has_group || CheckRetry(*active, stalled, milliseconds(0))) {
    active->last_group = group_before;
    return;
  }
  Log("moved", active->request,
      {{"attempt", std::to_string(active->attempt)},
       {"group", active->last_group}});
  RecordMeasurements(*active, stalled.result);
  active->may_have_run = true;
  if (suspect) {
    // It would run on two groups, and waits for one of its own instead.
    CancelRunningAttempt(active);
    SetReserved(active, true);
    DispatchOrWait(active);
    return;
  }
  if (active->other != nullptr) CancelOther(active, /*lost=*/false);
  EndPromptWait(active);
  active->other = std::make_unique<RunningAttempt>(
      std::move(static_cast<RunningAttempt&>(*active)));
  active->moving = true;
  StartAttempt(active, group);
}

void RequestPath::Impl::OnCrash(const CrashKeys& keys, const std::string& group,
                                TimePoint dispatched_at) {
  ShareMarks(m_quarantine.OnServerCrash(keys, group, dispatched_at, m_now),
             group,
             std::chrono::duration_cast<milliseconds>(m_now - dispatched_at));
}

void RequestPath::Impl::ShareMarks(std::vector<ShareQuarantine> shares,
                                   const std::string& group, milliseconds ran) {
  for (ShareQuarantine& share : shares) {
    if (IsAcquittal(share.digest)) {
      m_actions.push_back(LogDecision{
          "acquitted",
          {{"digest", KeyOfMark(share.digest)}, {"of", share.digest}}});
    } else {
      m_stats.crash_marks += 1;
      std::string key = KeyOfMark(share.digest);
      bool filter = IsPartFilter(key);
      std::string count = std::to_string(
          filter ? key.size()
                 : static_cast<std::size_t>(m_quarantine.Count(key, m_now)));
      m_actions.push_back(LogDecision{
          filter ? "crash_parts_shared" : "crash",
          {{"digest", filter ? "-" : key},
           {"group", group},
           {"ran_ms", std::to_string(ran.count())},
           {filter ? "filter_bytes" : "crashes", std::move(count)}}});
    }
    m_actions.push_back(std::move(share));
  }
}

CrashKeys RequestPath::Impl::BlamableKeys(const ActiveRequest& active,
                                          const RunningAttempt& attempt) {
  if (attempt.survived_start) return {active.keys.digest, nullptr};
  return active.keys;
}

void RequestPath::Impl::AcquitParts(const ActiveRequest& active) {
  ShareMarks(m_quarantine.AcquitParts(active.keys, m_now), "", milliseconds(0));
}

void RequestPath::Impl::AcquitIfSuccessful(const CrashKeys& keys,
                                           const AttemptEnded& event) {
  bool succeeded = event.result == AttemptResult::kComplete &&
                   (event.status == 0 || event.status / 100 == kSuccessClass);
  if (!succeeded) return;
  ShareMarks(m_quarantine.OnRequestCompleted(keys.digest, m_now), "",
             milliseconds(0));
  ShareMarks(m_quarantine.AcquitParts(keys, m_now), "", milliseconds(0));
}

bool RequestPath::Impl::IsQuarantined(const ActiveRequest& active) const {
  return !active.trial && !IsRuleBroken("quarantine") &&
         m_quarantine.Classify(active.keys, m_now) ==
             Quarantine::State::kQuarantined;
}

void RequestPath::Impl::RefuseQuarantined(ActiveRequest* active) {
  RefuseActive(active, RefusalReason::kQuarantined,
               m_quarantine.RemainingTime(active->keys, m_now));
}

void RequestPath::Impl::CancelBlamedAttempts() {
  std::vector<RequestId> blamed;
  for (const auto& [id, active] : m_requests) {
    bool began = active.first_progress_at != TimePoint() ||
                 (active.other != nullptr &&
                  active.other->first_progress_at != TimePoint());
    bool ended_by_blame = active.state == State::kRunning && !began &&
                          !active.claimed && active.keys.has_parts();
    if (ended_by_blame && IsQuarantined(active)) blamed.push_back(id);
  }
  std::sort(blamed.begin(), blamed.end());
  for (RequestId id : blamed) {
    ActiveRequest* active = FindRequest(id);
    active->may_have_run = true;
    CancelRunningAttempt(active);
    RefuseQuarantined(active);
  }
}

void RequestPath::Impl::On(const ServerEnded& event) {
  std::vector<AmbiguousEnd> marked;
  for (const auto& [id, active] : m_requests) {
    if (active.state == State::kRunning &&
        active.group->view.head_host == event.host) {
      marked.push_back({BlamableKeys(active, active), active.group_and_epoch,
                        event.host, active.dispatched_at, m_now});
    }
    if (active.other != nullptr &&
        active.other->group->view.head_host == event.host) {
      marked.push_back({BlamableKeys(active, *active.other),
                        active.other->group_and_epoch, event.host,
                        active.other->dispatched_at, m_now});
    }
  }
  std::erase_if(m_ambiguous_ends, [&](const auto& entry) {
    const AmbiguousEnd& attempt = entry.second;
    bool old = m_now - attempt.ended_at > kMaxAmbiguousEndAge;
    bool ran_there = !old && attempt.host == event.host;
    if (ran_there) marked.push_back(attempt);
    return old || ran_there;
  });
  std::sort(marked.begin(), marked.end(), [](const auto& a, const auto& b) {
    return a.keys.digest < b.keys.digest;
  });
  for (const AmbiguousEnd& attempt : marked) {
    OnCrash(attempt.keys, attempt.group_and_epoch, attempt.dispatched_at);
  }
}

bool RequestPath::Impl::IsRetryAllowed(const ActiveRequest& active,
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
      event.status < kMinServerErrorStatus &&
      event.status != kTooManyRequests) {
    return false;  // The request is invalid, a retry would fail as well.
  }
  return active.request.idempotent || IsRuleBroken("run_once");
}

// Returns the delay before the next attempt, which doubles with each attempt
// and has a random jitter of up to half. The Retry-After of the failed server
// is ignored here, because the retry goes to another group.
milliseconds RequestPath::Impl::RetryDelay(const ActiveRequest& active) {
  milliseconds max_delay = ExponentialBackoff(
      kInitialRetryDelay, kMaxRetryDelay, active.attempts - 1);
  milliseconds jitter(static_cast<std::int64_t>(m_random() % 1000) *
                      max_delay.count() / 2000);
  return max_delay - jitter;
}

std::optional<RefusalReason> RequestPath::Impl::CheckRetry(
    const ActiveRequest& active, const AttemptEnded& event,
    milliseconds delay) {
  if (event.result == AttemptResult::kCrashed && IsQuarantined(active)) {
    return RefusalReason::kQuarantined;
  }
  if (!IsRetryAllowed(active, event)) {
    return active.may_have_run && !active.request.idempotent
               ? RefusalReason::kOutcomeUnknown
               : RefusalReason::kRetriesExhausted;
  }
  if (m_now + delay >= active.request.deadline) {
    return RefusalReason::kDeadline;
  }
  if (active.pool->size() <= (FindLastGroup(active) != nullptr ? 1U : 0U)) {
    return RefusalReason::kNoGroup;
  }
  if (!m_budget.TryRetry(active.request.organisation, m_now)) {
    return RefusalReason::kRetriesExhausted;
  }
  return std::nullopt;
}

void RequestPath::Impl::OnFailure(ActiveRequest* active,
                                  const AttemptEnded& event) {
  if (!ProvesNotRun(event.result) && !IsRuleBroken("not_run")) {
    active->may_have_run = true;
  }
  SetReserved(active, true);
  milliseconds delay = RetryDelay(*active);
  std::optional<RefusalReason> reason = CheckRetry(*active, event, delay);
  bool answered = event.result == AttemptResult::kError &&
                  event.status >= kMinClientErrorStatus && active->offset == 0;
  if (reason && answered) {
    // The error answer of the backend server tells the caller more than a
    // refusal would.
    FinishActive(active, event);
    return;
  }
  if (reason) {
    RefuseActive(active, *reason,
                 *reason == RefusalReason::kQuarantined
                     ? m_quarantine.RemainingTime(active->keys, m_now)
                     : event.retry_after);
    return;
  }
  Log("retry", active->request,
      {{"attempt", std::to_string(event.attempt)},
       {"group", active->last_group},
       {"result", AttemptResultName(event.result)},
       {"backoff_ms", std::to_string(delay.count())}});
  active->state = State::kAwaitingRetry;
  SetTimer(active, m_now + delay);
}

void RequestPath::Impl::FinishActive(ActiveRequest* active,
                                     const AttemptEnded& event) {
  SettleClaim(active, ClaimState::kDone, event.status, event.body);
  ++m_stats.completed;
  m_actions.push_back(Finish{active->request.id, event.attempt});
  if (IsRuleBroken("one_final")) {
    m_actions.push_back(Finish{active->request.id, event.attempt});
  }
  EndRequest(active);
}

bool RequestPath::Impl::EndDetached(const AttemptEnded& event) {
  auto found = m_detached.find(event.attempt);
  if (found == m_detached.end()) {
    return false;
  }
  DetachedAttempt detached = found->second;
  m_detached.erase(found);
  if (event.result == AttemptResult::kCrashed) {
    OnCrash(detached.keys, detached.group_and_epoch, detached.dispatched_at);
  }
  if (detached.holds_isolation) {
    m_router.SetIsolated(detached.group, false);
    m_isolated_digests.erase(detached.keys.digest);
  }
  AcquitIfSuccessful(detached.keys, event);
  m_router.OnAttemptEnded(detached.group);
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

void RequestPath::Impl::DetachAttempt(ActiveRequest* active) {
  m_attempts.erase(active->attempt);
  EndPromptWait(active);
  m_detached[active->attempt] = {active->request.id,
                                 active->group,
                                 BlamableKeys(*active, *active),
                                 active->group_and_epoch,
                                 active->dispatched_at,
                                 active->request.deadline + kClaimGracePeriod,
                                 active->holds_isolation};
  active->holds_isolation = false;
  active->group = nullptr;
  active->claimed = false;
}

void RequestPath::Impl::CancelRunningAttempt(ActiveRequest* active) {
  if (active->other != nullptr) {
    CancelOther(active, /*lost=*/false);
  }
  CancelSelected(active);
}

void RequestPath::Impl::CancelSelected(ActiveRequest* active) {
  m_actions.push_back(CancelAttempt{active->attempt});
  RememberAmbiguousEnd(
      active->attempt,
      {BlamableKeys(*active, *active), active->group_and_epoch,
       active->group->view.head_host, active->dispatched_at, m_now});
  ReleaseAttempt(active);
}

void RequestPath::Impl::RememberAmbiguousEnd(AttemptId attempt,
                                             AmbiguousEnd ambiguous) {
  m_ambiguous_ends[attempt] = std::move(ambiguous);
  // Attempt ids increase, the first entry is the oldest attempt.
  if (m_ambiguous_ends.size() > kMaxAmbiguousEnds) {
    m_ambiguous_ends.erase(m_ambiguous_ends.begin());
  }
}

void RequestPath::Impl::ExpireDetached() {
  std::vector<AttemptId> expired;
  for (const auto& [attempt, detached] : m_detached) {
    if (detached.expires_at <= m_now) {
      expired.push_back(attempt);
    }
  }
  std::sort(expired.begin(), expired.end());
  for (AttemptId attempt : expired) {
    m_actions.push_back(CancelAttempt{attempt});
    const DetachedAttempt& detached = m_detached[attempt];
    RememberAmbiguousEnd(attempt, {detached.keys, detached.group_and_epoch,
                                   detached.group->view.head_host,
                                   detached.dispatched_at, m_now});
    EndDetached({attempt, AttemptResult::kTimedOut, 0, milliseconds(0), 0, ""});
  }
}

}  // namespace clementine
