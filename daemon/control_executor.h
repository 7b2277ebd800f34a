// Executes the control plane's actions.
#ifndef DAEMON_CONTROL_EXECUTOR_H_
#define DAEMON_CONTROL_EXECUTOR_H_

#include <functional>
#include <memory>

#include "core/core.h"
#include "net/net.h"

namespace clementine {

/// Dependencies of the executor; all outlive it.
struct ControlContext {
  const Settings* settings = nullptr;
  BackendClient* backends = nullptr;
  PlatformClient* platform = nullptr;
  PeerTransport* peers = nullptr;
  std::function<void(ControlEvent)> feed;
  /// Receives events that the control plane emits for the request path.
  std::function<void(RequestEvent)> pass_on;
};

class ControlExecutor {
 public:
  explicit ControlExecutor(ControlContext context);
  ~ControlExecutor();
  ControlExecutor(const ControlExecutor&) = delete;
  ControlExecutor& operator=(const ControlExecutor&) = delete;

  void Execute(const ControlAction& action);

  /// Number of outstanding calls to the platform's object store.
  std::size_t unfinished() const { return m_object_calls; }

 private:
  void On(const ListHosts& list);
  void On(const Watch& watch);
  void On(const ProbeHost& probe);
  void On(const SendOrder& send);
  void On(const SendPeer& send);
  void On(const ConnectPeer& connect);
  void On(const DisconnectPeer& disconnect);
  void On(const GetObject& get);
  void On(const PutObject& put);
  void On(const DeleteObject& del);
  void On(const LogDecision& log);
  template <typename Event>
  void On(const Event& event) {
    m_context.pass_on(event);
  }
  std::function<void(ObjectReply)> ReplyHandler();

  ControlContext m_context;
  std::size_t m_object_calls = 0;
  /// False after destruction; callbacks check it before using the executor.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace clementine

#endif  // DAEMON_CONTROL_EXECUTOR_H_
