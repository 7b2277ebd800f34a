// Executes the actions of the request path for requests that are forwarded
// unchanged.
#ifndef DAEMON_RELAY_EXECUTOR_H_
#define DAEMON_RELAY_EXECUTOR_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "core/fleet_control.h"
#include "core/route_table.h"
#include "core/silence_watch.h"
#include "net/net.h"

namespace clementine {

class RelayStream;

/// Dependencies of the executor. All of them must outlive it.
struct RelayContext {
  BackendClient* backends = nullptr;
  Metrics* metrics = nullptr;
  std::uint64_t seed = 1;
  std::function<TimePoint()> now;
  std::function<void(RequestEvent)> feed;
  std::function<void(FleetEvent)> feed_fleet;
  /// Shares a crash mark or an acquittal with the other daemons.
  std::function<void(const ShareQuarantine&)> share;
};

/// Forwards requests to backend servers and their answers to callers.
/// Invariant: bytes of an attempt are sent to a caller only while it is the
/// current attempt of that caller's request; of a stream, only complete events
/// are sent. An attempt that runs beside another one becomes the current one
/// with its first event or its complete answer, unless the other one has
/// delivered one meanwhile.
class RelayExecutor {
 public:
  explicit RelayExecutor(RelayContext context);
  ~RelayExecutor();
  RelayExecutor(const RelayExecutor&) = delete;
  RelayExecutor& operator=(const RelayExecutor&) = delete;

  /// Feeds RequestArrived for a caller's request, or refuses the request if it
  /// has no route.
  void Accept(const std::shared_ptr<HttpExchange>& exchange);

  void Execute(const RequestAction& action);

  /// Refuses requests from now on. A request that was being read when the
  /// daemon stopped listening might not end before the daemon does.
  void RefuseNewRequests() { m_stopping = true; }

  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  void SetGroups(const std::vector<GroupView>& groups);

  /// Requests of callers since the start, by "service/model".
  const DemandCounts& demand() const { return m_demand; }

  /// Number of unfinished callers and attempts.
  std::size_t unfinished() const {
    return m_callers.size() + m_attempts.size();
  }

  /// Reports groups that send no data any more, and their attempts as stalled.
  void CheckSilence();
  /// This process did not run for `time` until now.
  void OnProcessPaused(milliseconds time) { m_silence.OnDaemonPaused(time); }

 private:
  struct Caller;
  struct Attempt;

  void On(const Dispatch& dispatch);
  void On(const CancelAttempt& cancel);
  void On(const Refuse& refuse);
  void On(const Finish& finish);
  void On(const Replay& replay);
  void On(const ShareQuarantine& share);
  void On(const GetObject& get);
  void On(const PutObject& put);
  void On(const DeleteObject& del);
  void On(const LogDecision& log);

  std::shared_ptr<Caller> MakeCaller(
      const std::shared_ptr<HttpExchange>& exchange,
      const RouteTable::Match& match);
  void CountDemand(const std::string& service, const Caller& caller);
  BackendCall MakeCall(const Dispatch& dispatch, const Caller& caller);
  AnswerHead OnHead(Attempt* attempt, int status, const HttpHeaders& headers);
  /// Lets an attempt that was paused go on when its caller reads again.
  static void ResumeOnDrain(const Attempt& attempt);
  /// Whether the attempt is the current one or may still become so.
  static bool CanAnswer(const Attempt& attempt);
  /// Returns the stream that the attempt's bytes belong to.
  static RelayStream* StreamOf(Attempt* attempt);
  /// Makes the attempt, which delivers or has succeeded, the current one.
  static void Decide(Attempt* attempt);
  void OnBytes(Attempt* attempt, std::string_view bytes);
  /// Changes a complete result to a broken one if the answer does not end the
  /// caller's answer.
  void CheckComplete(Attempt* attempt, BackendEnd* end);
  void OnEnd(const std::shared_ptr<Attempt>& attempt, BackendEnd end);
  void EndOversized(Attempt* attempt);
  void ReportUnresponsiveGroup(const Attempt& attempt, const BackendEnd& end);
  void Deliver(Caller* caller, Attempt* attempt, std::string_view bytes);
  void RefuseWithoutAttempt(HttpExchange* exchange, int status,
                            const char* reason, const std::string& request_id);
  void LogAnswer(const Caller& caller, const char* outcome, int status,
                 const char* reason);
  std::shared_ptr<Caller> TakeCaller(RequestId id);
  static std::string LoggedParts(const Caller& caller);

  RelayContext m_context;
  std::shared_ptr<const RouteTable> m_routes;
  std::unordered_map<RequestId, std::shared_ptr<Caller>> m_callers;
  std::unordered_map<AttemptId, std::shared_ptr<Attempt>> m_attempts;
  std::unordered_map<std::string, std::string> m_head_hosts;  ///< By group.
  std::set<std::string> m_leaving_groups;
  SilenceWatch m_silence;
  DemandCounts m_demand;
  std::mt19937_64 m_random;
  RequestId m_last_request = 0;
  bool m_stopping = false;
};

}  // namespace clementine

#endif  // DAEMON_RELAY_EXECUTOR_H_
