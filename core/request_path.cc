// Facade of the request path: one request from arrival to its final answer.
//
//   arrive -> queued -> claiming -> running -> final answer
//                          |          |  ^
//                          |          v  |
//                          '-----> backoff, isolation
//
// Each step either moves the request to its next state or ends it; End() is the
// only place that produces a final action, and it removes the request. Facts
// about an attempt that outlive the request (the outcome of a claimed call, the
// crash of a cancelled attempt) are kept apart from it.

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "core/admission.h"
#include "core/claim_ledger.h"
#include "core/core.h"
#include "core/quarantine.h"
#include "core/retry_budget.h"
#include "core/router.h"
#include "fmt/format.h"

namespace clementine {

namespace {

constexpr milliseconds kDefaultRetryAfter{1'000};
constexpr milliseconds kFirstBackoff{20};
constexpr milliseconds kLongestBackoff{1'000};
constexpr milliseconds kIsolationPoll{20};
constexpr milliseconds kSweepInterval{100};
// A claimed call may end this long after its deadline and still be recorded.
constexpr milliseconds kClaimGrace{10'000};
// Suspects that run alone at a time: one, and one more for each so many groups.
constexpr std::size_t kGroupsPerIsolation = 8;
constexpr std::size_t kMaxCancelled = 1024;
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

bool ProvesNotRun(AttemptResult result) {
  return result == AttemptResult::kNotSent ||
         result == AttemptResult::kRefused ||
         result == AttemptResult::kWrongEpoch;
}

int StatusFor(RefusalReason reason, Outcome outcome) {
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

}  // namespace

class RequestPath::Impl {
 public:
  explicit Impl(RequestPathOptions options);

  std::vector<RequestAction> Handle(const RequestEvent& event, TimePoint now);
  RequestPathStats stats() const;

 private:
  using Actions = std::vector<RequestAction>;

  enum class State { kQueued, kClaiming, kRunning, kBackoff, kIsolation };

  struct Active {
    Request request;
    State state = State::kQueued;
    Pool* pool = nullptr;
    std::string digest;     ///< Of organisation and content.
    bool admitted = false;  ///< Counted as in flight by admission.
    bool reserved = false;  ///< Counted in the pool without an attempt.
    bool claimed = false;   ///< Holds a won claim.
    bool may_have_run = false;
    int attempts = 0;
    AttemptId attempt = 0;        ///< Of the running attempt.
    GroupState* group = nullptr;  ///< Of the attempt, or set apart for it.
    std::string ran_on;           ///< Group and epoch of the last attempt.
    bool alone = false;           ///< The group is set apart for this request.
    std::string failed_group;
    std::uint64_t offset = 0;  ///< Delivered to the caller.
    TimePoint admitted_at;
    TimePoint dispatched;
    TimePoint first_progress;
    TimePoint last_progress;
    std::uint64_t first_offset = 0;
    TimePoint wake;  ///< Entry in m_timers.
  };
  using Requests = std::unordered_map<RequestId, Active>;

  /// Attempt of a claimed call whose caller has its answer or has left.
  struct Detached {
    RequestId request = 0;
    GroupState* group = nullptr;
    std::string digest;
    std::string ran_on;
    TimePoint dispatched;
    TimePoint give_up;
    bool alone = false;  ///< The group is still set apart.
  };
  /// Cancelled attempt; its crash still counts.
  struct Cancelled {
    std::string digest;
    std::string ran_on;
    TimePoint dispatched;
  };

  void On(const RequestArrived& event);
  void On(const CallerLeft& event);
  void On(const AttemptProgress& event);
  void On(const AttemptEnded& event);
  void On(const AttemptStalled& event);
  void On(const LoadReported& event);
  void On(const CacheEvents& event);
  void On(const GroupsChanged& event);
  void On(const ConfigurationChanged& event);
  void On(const QuarantineLearned& event);
  void On(const DaemonsChanged& event);
  void On(const DrainStarted& event);
  void On(const ObjectReply& event);
  void On(const Tick& event);

  // Arrival and admission.
  std::optional<RefusalReason> Check(const Request& request) const;
  bool KeyRequired(const std::string& path) const;
  void Admit(Active* active);
  void PumpQueues();
  void RefuseHopeless();
  void RefuseWithoutGroups();

  // Attempts.
  bool ClaimNeeded(const Request& request) const {
    return !request.idempotent && !request.idempotency_key.empty();
  }
  void DispatchNow(Active* active);
  void Start(Active* active, GroupState* group);
  void RunIsolated();
  bool TryIsolate(Active* active);
  void FreeGroup(Active* active);
  void ReleaseGroup(Active* active);
  void Measure(const Active& active, AttemptResult result);
  const GroupState* Failed(const Active& active) const;

  // Ends of attempts.
  void OnCrash(const std::string& digest, const std::string& group,
               TimePoint dispatched);
  void OnFailure(Active* active, const AttemptEnded& event);
  /// Nothing when a retry may run; its budget is then taken.
  std::optional<RefusalReason> WhyNoRetry(const Active& active,
                                          const AttemptEnded& event,
                                          milliseconds pause);
  bool MayRetry(const Active& active, const AttemptEnded& event) const;
  milliseconds Backoff(const Active& active);
  bool EndDetached(const AttemptEnded& event);

  // Ends of requests.
  void FinishActive(Active* active, const AttemptEnded& event);
  void Detach(Active* active);
  void Cancel(Active* active);
  void RememberCancelled(AttemptId attempt, Cancelled cancelled);
  void SettleClaim(Active* active, ClaimState state, int status,
                   const std::string& body);
  void RefuseActive(Active* active, RefusalReason reason,
                    milliseconds retry_after);
  void Refuse(const clementine::Refuse& refuse, const Request& request);
  void End(Active* active);

  // Timers.
  void SetTimer(Active* active, TimePoint wake);
  void RunTimers();
  void OnTimer(Active* active);
  void ExpireDetached();

  void Reserve(Active* active, bool reserve);
  Active* Find(RequestId id);
  bool Broken(std::string_view rule) const {
    return m_options.broken_rule == rule;
  }
  void Log(const char* event, const Request& request,
           std::vector<std::pair<std::string, std::string>> fields);

  RequestPathOptions m_options;
  std::mt19937_64 m_random;
  Router m_router;
  Admission m_admission;
  RetryBudget m_budget;
  ClaimLedger m_ledger;
  Quarantine m_quarantine;
  std::shared_ptr<const Configuration> m_configuration;
  std::uint64_t m_generation = 0;
  bool m_draining = false;
  Requests m_requests;
  std::unordered_map<AttemptId, RequestId> m_attempts;
  std::unordered_map<AttemptId, Detached> m_detached;
  std::unordered_map<AttemptId, Cancelled> m_cancelled;
  std::deque<AttemptId> m_cancelled_order;
  std::unordered_map<Admission::PoolId, Pool*> m_queued_pools;
  std::vector<RequestId> m_isolation;  ///< Suspects without an attempt.
  std::unordered_set<std::string> m_isolated_digests;
  std::set<std::pair<TimePoint, RequestId>> m_timers;
  AttemptId m_last_attempt = 0;
  TimePoint m_swept;
  RequestPathStats m_stats;

  // Of the event being handled.
  TimePoint m_now;
  Actions m_actions;
};

RequestPath::Impl::Impl(RequestPathOptions options)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_router(m_options.data_centre, m_options.seed + 1,
               m_options.route_policy),
      m_admission(m_options.max_queued),
      m_budget(Broken("retry_budget") ? 1e9 : m_options.retry_ratio),
      m_ledger({m_options.node, m_options.incarnation, m_options.seed + 2,
                m_options.claim_retention, !Broken("claim_first"),
                !Broken("key_content")}),
      m_quarantine(m_options.crashes_to_quarantine, m_options.quarantine_time) {
  if (Broken("queue_bound")) {
    m_admission.IgnoreBounds();
  }
}

std::vector<RequestAction> RequestPath::Impl::Handle(const RequestEvent& event,
                                                     TimePoint now) {
  m_now = now;
  m_actions.clear();
  std::visit([this](const auto& value) { On(value); }, event);
  RunTimers();
  if (!m_isolation.empty()) {
    RunIsolated();
  }
  if (m_admission.queued() > 0) {
    PumpQueues();
  }
  m_ledger.Advance(m_now, &m_actions);
  return std::move(m_actions);
}

RequestPathStats RequestPath::Impl::stats() const {
  RequestPathStats stats = m_stats;
  stats.quarantined = m_quarantine.total();
  stats.in_flight = m_requests.size() - m_admission.queued();
  stats.queued = m_admission.queued();
  return stats;
}

// ---------------------------------------------------------------------------
// Arrival and admission.

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
  if (m_quarantine.Judge(digest, m_now) == Quarantine::Verdict::kQuarantined &&
      !Broken("quarantine")) {
    refuse(RefusalReason::kQuarantined, m_quarantine.Remaining(digest, m_now));
    return;
  }
  Pool* pool = m_router.FindPool(request);
  if (pool == nullptr || pool->size() == 0) {
    refuse(RefusalReason::kNoGroup, kDefaultRetryAfter);
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
  Active& active = m_requests[request.id];
  active.request = request;
  active.digest = std::move(digest);
  active.pool = pool;
  ++pool->users;
  SetTimer(&active, request.deadline);
  if (answer.verdict == Admission::Verdict::kQueue) {
    m_queued_pools[pool->id] = pool;
    return;
  }
  Admit(&active);
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
    RefuseActive(Find(id), RefusalReason::kNoGroup, kDefaultRetryAfter);
  }
}

// ---------------------------------------------------------------------------
// Attempts.

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
    RefuseActive(active, RefusalReason::kNoGroup, kDefaultRetryAfter);
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
    RefuseActive(active, RefusalReason::kNoGroup, kDefaultRetryAfter);
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
      RefuseActive(active, RefusalReason::kNoGroup, kDefaultRetryAfter);
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
    auto cancelled = m_cancelled.find(event.attempt);
    if (cancelled != m_cancelled.end()) {
      if (event.result == AttemptResult::kCrashed) {
        OnCrash(cancelled->second.digest, cancelled->second.ran_on,
                cancelled->second.dispatched);
      }
      m_cancelled.erase(cancelled);
    }
    return;
  }
  Active* active = Find(found->second);
  active->offset = std::max(active->offset, event.offset);
  Measure(*active, event.result);
  if (event.result == AttemptResult::kCrashed) {
    OnCrash(active->digest, active->ran_on, active->dispatched);
  }
  bool alone = active->alone;
  active->failed_group = active->group->view.group;
  FreeGroup(active);
  if (event.result != AttemptResult::kComplete) {
    OnFailure(active, event);
    return;
  }
  if (alone) {
    m_quarantine.Cleared(active->digest);
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
    m_actions.push_back(
        LogDecision{"crash", {{"digest", digest}, {"group", group}}});
    m_actions.push_back(*share);
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
  milliseconds longest = std::min(
      kLongestBackoff, kFirstBackoff * (1 << std::min(active.attempts - 1, 6)));
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
    if (event.result == AttemptResult::kComplete) {
      m_quarantine.Cleared(detached.digest);
    }
  }
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
// Ends of requests.

void RequestPath::Impl::On(const CallerLeft& event) {
  Active* active = Find(event.request);
  if (active == nullptr) {
    return;
  }
  if (active->state == State::kRunning) {
    if (active->claimed) {
      // The caller will ask again with its key; the outcome is worth having.
      Detach(active);
    } else {
      Cancel(active);
    }
  }
  if (active->state == State::kClaiming || active->claimed) {
    m_ledger.Settle(active->request.id, ClaimState::kReleased, 0, "", m_now,
                    &m_actions);
  }
  End(active);
}

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
  RememberCancelled(active->attempt,
                    {active->digest, active->ran_on, active->dispatched});
  FreeGroup(active);
}

void RequestPath::Impl::RememberCancelled(AttemptId attempt,
                                          Cancelled cancelled) {
  m_cancelled[attempt] = std::move(cancelled);
  m_cancelled_order.push_back(attempt);
  if (m_cancelled_order.size() > kMaxCancelled) {
    m_cancelled.erase(m_cancelled_order.front());
    m_cancelled_order.pop_front();
  }
}

void RequestPath::Impl::SettleClaim(Active* active, ClaimState state,
                                    int status, const std::string& body) {
  if (active->claimed) {
    active->claimed = false;
    m_ledger.Settle(active->request.id, state, status, body, m_now, &m_actions);
  }
}

void RequestPath::Impl::RefuseActive(Active* active, RefusalReason reason,
                                     milliseconds retry_after) {
  Outcome outcome = active->may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  bool release = !active->may_have_run || Broken("release_only_not_run");
  SettleClaim(active, release ? ClaimState::kReleased : ClaimState::kUnknown, 0,
              "");
  Refuse({active->request.id, reason, outcome, StatusFor(reason, outcome),
          retry_after},
         active->request);
  End(active);
}

void RequestPath::Impl::Refuse(const clementine::Refuse& refuse,
                               const Request& request) {
  clementine::Refuse answer = refuse;
  if (answer.outcome == Outcome::kNotRun) {
    answer.retry_after =
        std::max(answer.retry_after, m_options.least_retry_after);
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

// Removes a request whose final action was produced or whose caller left.
void RequestPath::Impl::End(Active* active) {
  Reserve(active, false);
  if (active->state == State::kQueued) {
    m_admission.Remove(active->request.id);
  }
  if (active->admitted) {
    m_admission.Ended(active->request.organisation);
  }
  if (active->group != nullptr) {
    ReleaseGroup(active);
  }
  --active->pool->users;
  m_timers.erase({active->wake, active->request.id});
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
  if (Broken("open_groups")) {
    std::vector<GroupView> all = event.groups;
    for (GroupView& group : all) {
      group.open = true;
      group.leaving = false;
    }
    m_router.SetGroups(all);
  } else {
    m_router.SetGroups(event.groups);
  }
  RefuseWithoutGroups();
  std::vector<Admission::PoolId> pools = m_router.PoolIds();
  m_admission.KeepPools(pools);
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
  m_budget.Keep(m_configuration->organisations);
}

void RequestPath::Impl::On(const QuarantineLearned& event) {
  m_quarantine.Learned(event, m_now);
}

void RequestPath::Impl::On(const DaemonsChanged& event) {
  m_router.SetLive(event.live);
  if (event.share > 0.0) m_router.SetShare(event.share);
  m_admission.SetLive(event.live);
}

void RequestPath::Impl::On(const DrainStarted& /*event*/) { m_draining = true; }

void RequestPath::Impl::On(const ObjectReply& event) {
  std::optional<ClaimLedger::Result> result =
      m_ledger.OnReply(event, m_now, &m_actions);
  if (!result) {
    return;
  }
  Active* active = Find(result->request);
  if (active == nullptr) {
    return;
  }
  if (result->won) {
    active->claimed = true;
    DispatchNow(active);
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
  End(active);
}

void RequestPath::Impl::On(const Tick& event) {
  if (event.wall != std::chrono::system_clock::time_point()) {
    m_ledger.SetWall(event.wall, m_now);
  }
  m_router.Refresh(m_now);
  ExpireDetached();
  if (m_now - m_swept < kSweepInterval) {
    return;
  }
  m_swept = m_now;
  m_quarantine.Expire(m_now);
  RefuseHopeless();
}

// ---------------------------------------------------------------------------
// Timers.

void RequestPath::Impl::SetTimer(Active* active, TimePoint wake) {
  m_timers.erase({active->wake, active->request.id});
  active->wake = std::min(wake, active->request.deadline);
  m_timers.emplace(active->wake, active->request.id);
}

void RequestPath::Impl::RunTimers() {
  while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
    RequestId id = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    OnTimer(Find(id));
  }
}

void RequestPath::Impl::OnTimer(Active* active) {
  if (m_now < active->request.deadline) {
    DispatchNow(active);  // Only a backoff ends before the deadline.
    return;
  }
  if (active->state == State::kRunning) {
    active->may_have_run = true;
    if (active->claimed) {
      Detach(active);
    } else {
      Cancel(active);
    }
  } else if (active->state == State::kClaiming) {
    m_ledger.Settle(active->request.id, ClaimState::kReleased, 0, "", m_now,
                    &m_actions);
  }
  RefuseActive(active, RefusalReason::kDeadline, kDefaultRetryAfter);
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
    RememberCancelled(attempt,
                      {detached.digest, detached.ran_on, detached.dispatched});
    EndDetached({attempt, AttemptResult::kTimedOut, 0, milliseconds(0), 0, ""});
  }
}

// ---------------------------------------------------------------------------

void RequestPath::Impl::Reserve(Active* active, bool reserve) {
  if (active->reserved != reserve) {
    active->reserved = reserve;
    active->pool->reserved += reserve ? 1 : -1;
  }
}

RequestPath::Impl::Active* RequestPath::Impl::Find(RequestId id) {
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
