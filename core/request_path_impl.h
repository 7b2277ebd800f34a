// Implementation class of the request path; the files that define its members
// are request_arrival.cc, request_attempts.cc and request_path.cc.
#ifndef CORE_REQUEST_PATH_IMPL_H_
#define CORE_REQUEST_PATH_IMPL_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/admission.h"
#include "core/claim_ledger.h"
#include "core/core.h"
#include "core/quarantine.h"
#include "core/retry_budget.h"
#include "core/router.h"

namespace clementine {

/// A claimed call may end this long after its deadline and still be recorded.
inline constexpr milliseconds kClaimGrace{10'000};

/// Retry-After of a refusal for which nothing better is known.
inline constexpr milliseconds kDefaultRetryAfter{1'000};

/// Status of a refusal.
int StatusFor(RefusalReason reason, Outcome outcome);

/// Whether an attempt that ended this way certainly didn't run.
bool ProvesNotRun(AttemptResult result);

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
  /// Attempt whose end doesn't tell whether its server ended: it was cancelled,
  /// broke or timed out. A crash that is found later still counts.
  struct Unexplained {
    std::string digest;
    std::string ran_on;
    std::string host;
    TimePoint dispatched;
    TimePoint ended;
  };

  void On(const RequestArrived& event);
  void On(const CallerLeft& event);
  void On(const AttemptProgress& event);
  void On(const AttemptEnded& event);
  void On(const AttemptStalled& event);
  void On(const ServerBusy& event);
  void On(const ServerEnded& event);
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
  Active& AddActive(const Request& request, std::string digest, Pool* pool);
  void Admit(Active* active);
  void Claim(Active* active);
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
  void HeedBackoff(const Active& active, const AttemptEnded& event);
  /// Time after which a caller may find a group of a pool that has none now.
  milliseconds GroupWait(const Pool* pool) const;

  // Ends of attempts.
  void OnCrash(const std::string& digest, const std::string& group,
               TimePoint dispatched);
  /// A request ran to its end, so it isn't what its servers crashed of.
  void Acquit(const std::string& digest, const AttemptEnded& event);
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
  void RememberUnexplained(AttemptId attempt, Unexplained unexplained);
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
  std::map<AttemptId, Unexplained> m_unexplained;
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

}  // namespace clementine

#endif  // CORE_REQUEST_PATH_IMPL_H_
