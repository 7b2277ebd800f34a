// Executes the request path's actions: attempts on backend servers and answers
// to callers.
#ifndef DAEMON_REQUEST_EXECUTOR_H_
#define DAEMON_REQUEST_EXECUTOR_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "daemon/request_reader.h"
#include "net/net.h"

namespace clementine {

/// Dependencies of the executor; all outlive it.
struct RequestContext {
  const Settings* settings = nullptr;
  BackendClient* backends = nullptr;
  PlatformClient* platform = nullptr;
  Metrics* metrics = nullptr;
  std::string attempt_prefix;  ///< Makes attempt ids unique across restarts.
  std::function<void(RequestEvent)> feed;
  std::function<void(ControlEvent)> feed_control;
};

/// Invariant: bytes of an attempt reach a caller only while it is the current
/// attempt of that caller's request and continues at the delivered offset.
class RequestExecutor {
 public:
  explicit RequestExecutor(RequestContext context);
  ~RequestExecutor();
  RequestExecutor(const RequestExecutor&) = delete;
  RequestExecutor& operator=(const RequestExecutor&) = delete;

  /// Registers a caller's request and feeds RequestArrived.
  void Accept(std::shared_ptr<HttpExchange> exchange, ReadRequest read);

  void Execute(const RequestAction& action);

  /// Sets the head's host of each group, which HostSuspected names.
  void SetGroups(const std::vector<GroupView>& groups);

  /// Number of outstanding callers, attempts and platform calls.
  std::size_t unfinished() const;

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

  BackendCall MakeCall(const Dispatch& dispatch, const Caller& caller,
                       const std::string& wire_attempt) const;
  void OnToken(Attempt* attempt, std::string_view data, std::uint64_t offset);
  void OnAttemptEnd(const std::shared_ptr<Attempt>& attempt, BackendEnd end);
  void ReportSuspect(const Attempt& attempt, const BackendEnd& end);
  void CancelOnEngine(const Attempt& attempt, const BackendEnd& end);
  void StoreAnswer(Attempt* attempt, BackendEnd* end);
  void Relay(Caller* caller, Attempt* attempt, std::string_view data);
  void StartStream(Caller* caller);
  void RecordTokenLatency(Caller* caller);
  void FinishStream(Caller* caller);
  void LogAnswer(const Caller& caller, const char* outcome, int status);
  std::shared_ptr<Caller> TakeCaller(RequestId id);
  std::function<void(ObjectReply)> ReplyHandler();

  RequestContext m_context;
  std::unordered_map<RequestId, std::shared_ptr<Caller>> m_callers;
  std::unordered_map<AttemptId, std::shared_ptr<Attempt>> m_attempts;
  std::unordered_map<std::string, std::string> m_heads;  ///< Host by group.
  std::set<std::string> m_leaving_groups;
  std::size_t m_platform_calls = 0;
  RequestId m_last_request = 0;
  std::string m_event;  ///< Buffer, reused for each relayed event.
  /// False after destruction; callbacks check it before using the executor.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace clementine

#endif  // DAEMON_REQUEST_EXECUTOR_H_
