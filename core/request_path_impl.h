// Implementation class of the request path. Its members are defined in
// request_arrival.cc, request_attempts.cc and request_path.cc.
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
#include "core/hedging.h"
#include "core/quarantine.h"
#include "core/retry_budget.h"
#include "core/router.h"
#include "core/store_era.h"

namespace clementine {

/// The outcome of a claimed call is still recorded when its attempt ends up to
/// this long after the deadline.
inline constexpr milliseconds kClaimGracePeriod{10'000};

/// Retry-After of a refusal without a better estimate.
inline constexpr milliseconds kDefaultRetryAfter{1'000};

/// @return HTTP status of a refusal.
int HttpStatusFor(RefusalReason reason, Outcome outcome);

/// @return Priority of a Dispatch for this class.
int DispatchPriority(RequestClass request_class);

/// @return Whether this result proves that the backend server didn't execute
///     the request.
bool ProvesNotRun(AttemptResult result);

class RequestPath::Impl {
 public:
  explicit Impl(RequestPathOptions options);

  std::vector<RequestAction> Handle(const RequestEvent& event, TimePoint now);
  RequestPathStats stats() const;

 private:
  using Actions = std::vector<RequestAction>;

  enum class State {
    kQueued,            ///< In a queue of m_admission.
    kClaiming,          ///< The claim of its idempotency key is being written.
    kRunning,           ///< Has a running attempt, or two; see `other`.
    kAwaitingRetry,     ///< Waits for a retry delay, isolated or cold groups.
    kAwaitingIsolation  ///< Suspect that waits for a group of its own.
  };

  /// What is known of a running attempt.
  struct RunningAttempt {
    AttemptId attempt = 0;
    RoutedGroup* group = nullptr;  ///< Runs the attempt, or is isolated for it.
    std::string group_and_epoch;   ///< "<group>@<epoch>".
    TimePoint dispatched_at;
    TimePoint first_progress_at;
    TimePoint last_progress_at;
    std::uint64_t first_offset = 0;
    /// Counted in RoutedGroup::waiting_prompt_tokens.
    std::uint64_t waiting_prompt_tokens = 0;
    /// Has gone on after the beginning of its answer.
    bool survived_start = false;
  };

  /// The attempt is the running or the last one, or the selected one of two.
  struct ActiveRequest : RunningAttempt {
    Request request;
    State state = State::kQueued;
    Pool* pool = nullptr;
    CrashKeys keys;         ///< See Quarantine::Keys.
    bool trial = false;     ///< Runs although it is quarantined.
    bool admitted = false;  ///< Counted as in flight by m_admission.
    bool reserved = false;  ///< Counted in Pool::reserved, has no attempt.
    bool claimed = false;   ///< Holds the claim of its idempotency key.
    bool may_have_run = false;
    int attempts = 0;
    bool holds_isolation = false;  ///< `group` is isolated for this request.
    /// Group of the last attempt that ended or was moved, which the next one
    /// avoids.
    std::string last_group;
    std::uint64_t offset = 0;  ///< Tokens or bytes delivered to the caller.
    TimePoint arrived_at;
    TimePoint admitted_at;
    /// Runs beside the selected attempt, until one of the two makes progress.
    /// Null unless the request is hedged or being moved.
    std::unique_ptr<RunningAttempt> other;
    /// The newer of the two is to replace the older one, which has stalled.
    bool moving = false;
    AttemptId hedge = 0;       ///< Its hedge, also after the end of it.
    bool after_crash = false;  ///< An attempt has ended with a crash.
    TimePoint wake_at;         ///< Entry in m_timers.
  };
  using Requests = std::unordered_map<RequestId, ActiveRequest>;

  /// Attempt of a claimed call that continues after its caller has left or was
  /// refused, because its outcome must be recorded in the claim.
  struct DetachedAttempt {
    RequestId request = 0;
    RoutedGroup* group = nullptr;
    CrashKeys keys;
    std::string group_and_epoch;
    TimePoint dispatched_at;
    TimePoint expires_at;
    bool holds_isolation = false;  ///< `group` is isolated for this attempt.
  };
  /// Attempt whose result doesn't tell whether its server crashed: it was
  /// cancelled, lost its connection or timed out. If the crash is detected
  /// later, the request still gets a crash mark.
  struct AmbiguousEnd {
    CrashKeys keys;
    std::string group_and_epoch;
    std::string host;
    TimePoint dispatched_at;
    TimePoint ended_at;
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
  void On(const RequestsStopped& event);
  void On(const ObjectReply& event);
  void On(const StoreEraSeen& event);
  void On(const Tick& event);

  // Arrival and admission.
  std::optional<RefusalReason> CheckRequest(const Request& request) const;
  bool IsKeyRequired(const std::string& path) const;
  /// Tells whether a quarantined request may run as a trial, and logs it.
  bool StartTrial(const Request& request, const CrashKeys& keys);
  /// Asks admission whether a request may run, waits or is refused.
  Admission::Decision OfferToPool(const Request& request, Pool* pool);
  ActiveRequest& AddActive(const Request& request, CrashKeys keys, Pool* pool);
  void Admit(ActiveRequest* active);
  void Claim(ActiveRequest* active);
  void StartQueuedRequests();
  void RefusePredictedMisses();
  /// Handles queued requests whose pool has no groups: claims the key of those
  /// that need a claim, refuses the others.
  void RefuseOrClaimUnserved();

  // Attempts.
  bool NeedsClaim(const Request& request) const {
    return !request.idempotent && !request.idempotency_key.empty();
  }
  /// Starts the next attempt, waits for a group, or refuses the request.
  void DispatchOrWait(ActiveRequest* active);
  void StartAttempt(ActiveRequest* active, RoutedGroup* group);
  void DispatchIsolated();
  /// Isolates a group for a suspect, and starts the attempt once the group is
  /// idle. Refuses the suspect if no group can serve it.
  /// @return False while the suspect still waits.
  bool AdvanceIsolation(ActiveRequest* active);
  bool AwaitColdStart(ActiveRequest* active);
  /// The selected attempt has stalled: starts another one beside it if the
  /// request may be retried and a group can take it.
  void MoveToOtherGroup(ActiveRequest* active);

  // Hedges; see docs/design/hedging.md.
  /// @return Whether a hedge of this request is allowed by what it is and by
  ///     what has become of it so far.
  bool IsHedgeable(const ActiveRequest& active) const;
  /// @return When the running attempt counts as slow, or the deadline.
  TimePoint HedgeTime(const ActiveRequest& active) const;
  /// The running attempt is slow: starts a hedge, or looks again later.
  void TryHedge(ActiveRequest* active);
  void StartHedge(ActiveRequest* active, RoutedGroup* group);
  /// @param group Set to the group for the hedge.
  /// @return Reason against a hedge, or nullopt after taking it from the
  /// budget.
  std::optional<HedgeDenial> FindHedge(const ActiveRequest& active,
                                       RoutedGroup** group);
  /// Makes `attempt` the one in ActiveRequest if it is the other one.
  void SelectAttempt(ActiveRequest* active, AttemptId attempt);
  /// Cancels the other attempt, because the selected one has won or the request
  /// ends.
  void CancelOther(ActiveRequest* active, bool lost);
  /// The selected attempt has ended or was cancelled: goes on with the other.
  /// @param result For the log.
  void ContinueWithOther(ActiveRequest* active, AttemptId ended,
                         const char* result);
  /// The selected attempt has made its first progress, or has succeeded without
  /// any.
  void RecordFirstResult(const ActiveRequest& active);
  void ReleaseAttempt(ActiveRequest* active);
  /// The running attempt has its first event, or ends.
  void EndPromptWait(RunningAttempt* attempt);
  void ReleaseGroup(ActiveRequest* active);
  void RecordMeasurements(const ActiveRequest& active, AttemptResult result);
  const RoutedGroup* FindLastGroup(const ActiveRequest& active) const;
  void UpdateServerBackoff(const ActiveRequest& active,
                           const AttemptEnded& event);
  /// @return Estimated time until a pool without available groups has one.
  milliseconds TimeUntilGroup(const Pool* pool) const;

  // Ends of attempts.
  void OnCrash(const CrashKeys& keys, const std::string& group,
               TimePoint dispatched_at);
  /// Logs and shares crash marks and acquittals.
  /// @param group  Group and epoch of a replica that crashed here.
  /// @param ran    How long the attempt had run there.
  void ShareMarks(std::vector<ShareQuarantine> shares, const std::string& group,
                  milliseconds ran);
  /// Withdraws the crash marks of the parts: they didn't cause the crashes at
  /// which they were in flight.
  void AcquitParts(const ActiveRequest& active);
  /// Acquits all keys if the attempt completed successfully.
  void AcquitIfSuccessful(const CrashKeys& keys, const AttemptEnded& event);
  /// Keys that a crash of the server of one of a request's attempts can be
  /// blamed on.
  static CrashKeys BlamableKeys(const ActiveRequest& active,
                                const RunningAttempt& attempt);
  bool IsQuarantined(const ActiveRequest& active) const;
  void RefuseQuarantined(ActiveRequest* active);
  /// Ends running attempts that a new cause of crashes is blamed for and that
  /// have not begun their answers.
  void CancelBlamedAttempts();
  void OnFailure(ActiveRequest* active, const AttemptEnded& event);
  /// @return Reason against a retry, or nullopt after taking one retry from the
  ///     retry budget.
  std::optional<RefusalReason> CheckRetry(const ActiveRequest& active,
                                          const AttemptEnded& event,
                                          milliseconds delay);
  bool IsRetryAllowed(const ActiveRequest& active,
                      const AttemptEnded& event) const;
  milliseconds RetryDelay(const ActiveRequest& active);
  bool EndDetached(const AttemptEnded& event);

  // Ends of requests.
  void FinishActive(ActiveRequest* active, const AttemptEnded& event);
  void DetachAttempt(ActiveRequest* active);
  /// Cancels the running attempt, and the other one of a hedged request.
  void CancelRunningAttempt(ActiveRequest* active);
  /// Cancels the attempt in ActiveRequest only.
  void CancelSelected(ActiveRequest* active);
  void RememberAmbiguousEnd(AttemptId attempt, AmbiguousEnd ambiguous);
  void SettleClaim(ActiveRequest* active, ClaimState state, int status,
                   const std::string& body);
  void RefuseActive(ActiveRequest* active, RefusalReason reason,
                    milliseconds retry_after);
  void Refuse(const clementine::Refuse& refuse, const Request& request);
  void EndRequest(ActiveRequest* active);

  // Timers.
  void SetTimer(ActiveRequest* active, TimePoint wake_at);
  void RunTimers();
  void OnTimer(ActiveRequest* active);
  /// Ends a request in any state, with what is known of its attempts.
  void EndUnfinished(ActiveRequest* active, RefusalReason reason);
  void ExpireDetached();

  void SetReserved(ActiveRequest* active, bool reserve);
  ActiveRequest* FindRequest(RequestId id);
  /// Whether a test demands that this rule is violated.
  bool IsRuleBroken(std::string_view rule) const {
    return m_options.broken_rule == rule;
  }
  void Log(const char* event, const Request& request,
           std::vector<std::pair<std::string, std::string>> fields);

  RequestPathOptions m_options;
  std::mt19937_64 m_random;
  Router m_router;
  Admission m_admission;
  RetryBudget m_budget;
  HedgeDelays m_hedge_delays;
  ClaimLedger m_ledger;
  StoreEra m_store_era;
  Quarantine m_quarantine;
  std::shared_ptr<const Configuration> m_configuration;
  std::uint64_t m_generation = 0;
  bool m_draining = false;
  Requests m_requests;
  std::unordered_map<AttemptId, RequestId> m_attempts;
  std::unordered_map<AttemptId, DetachedAttempt> m_detached;
  std::map<AttemptId, AmbiguousEnd> m_ambiguous_ends;
  std::unordered_map<Admission::PoolId, Pool*> m_queued_pools;
  std::vector<RequestId> m_awaiting_isolation;  ///< Suspects without a group.
  std::unordered_set<std::string> m_isolated_digests;
  std::uint64_t m_cause_changes = 0;  ///< Of m_quarantine, as last seen.
  std::set<std::pair<TimePoint, RequestId>> m_timers;
  AttemptId m_last_attempt = 0;
  /// Last removal of expired quarantine entries and of queued requests that are
  /// predicted to miss their deadline or target.
  TimePoint m_last_expiry_at;
  RequestPathStats m_stats;

  // State of the Handle() call in progress.
  TimePoint m_now;
  Actions m_actions;
};

}  // namespace clementine

#endif  // CORE_REQUEST_PATH_IMPL_H_
