// Carries out the control plane's actions.
#ifndef DAEMON_CONTROL_EXECUTOR_H_
#define DAEMON_CONTROL_EXECUTOR_H_

#include <functional>
#include <memory>

#include "core/core.h"
#include "net/net.h"

namespace clementine {

/// What the executor works with; everything outlives it.
struct ControlContext {
  const Settings* settings = nullptr;
  BackendClient* backends = nullptr;
  PlatformClient* platform = nullptr;
  PeerTransport* peers = nullptr;
  std::function<void(ControlEvent)> feed;
  /// Takes what the control plane passes on to the request path.
  std::function<void(RequestEvent)> pass_on;
};

class ControlExecutor {
 public:
  explicit ControlExecutor(ControlContext context);
  ~ControlExecutor();
  ControlExecutor(const ControlExecutor&) = delete;
  ControlExecutor& operator=(const ControlExecutor&) = delete;

  void Execute(const ControlAction& action);

  /// Reads and writes of objects that haven't been answered.
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
  /// Tells late callbacks that the executor is gone.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace clementine

#endif  // DAEMON_CONTROL_EXECUTOR_H_
