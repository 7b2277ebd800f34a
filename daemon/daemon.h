// Connects the core library, which does no I/O, to the network layer. All
// events are handled on one thread, in one queue.
#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <variant>

#include "core/core.h"
#include "daemon/cache_poller.h"
#include "daemon/control_executor.h"
#include "daemon/event_queue.h"
#include "daemon/process_limits.h"
#include "daemon/request_executor.h"
#include "net/net.h"

namespace clementine {

/// A running daemon. Invariant: events are handled one at a time, in the order
/// in which they were fed. An event fed by an action is handled after the
/// current event, without recursion.
class Daemon {
 public:
  /// Binds the addresses of the settings and starts serving.
  /// @throws std::runtime_error if an address can't be bound.
  Daemon(boost::asio::io_context* io, Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  std::string listen_address() const { return m_server->address(); }
  std::string peer_address() const { return m_peers->address(); }
  /// Readiness and metrics are served on the same address as requests.
  std::string health_address() const { return listen_address(); }
  const std::string& node() const { return m_settings.node; }

  /// Stops gracefully: reports unready, waits until the load balancer has
  /// noticed, refuses new requests, finishes the others, releases the lease and
  /// stops the io_context.
  void Stop();

 private:
  using AnyEvent = std::variant<RequestEvent, ControlEvent>;

  void CreateCore();
  void CreateExecutors();
  void Feed(AnyEvent event);
  void HandleEvent(const AnyEvent& event);
  void ForwardEvent(const RequestEvent& event);
  void OnExchange(const std::shared_ptr<HttpExchange>& exchange);
  bool AnswerAdminPage(HttpExchange* exchange);
  std::string RenderMetrics();
  bool IsReady() const;
  void ScheduleTick();
  void OnDrainWaitEnded();
  void ContinueStop();

  boost::asio::io_context* m_io;
  Settings m_settings;
  std::uint64_t m_incarnation;  ///< Start time in ms since 1970.
  ProcessLimits m_limits;
  Metrics m_metrics;
  std::unique_ptr<PlatformClient> m_platform;
  std::unique_ptr<BackendClient> m_backends;
  std::unique_ptr<PeerTransport> m_peers;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<RequestPath> m_request_path;
  std::unique_ptr<ControlPlane> m_control_plane;
  std::unique_ptr<RequestExecutor> m_request_executor;
  std::unique_ptr<ControlExecutor> m_control_executor;
  std::unique_ptr<CachePoller> m_cache_poller;
  std::shared_ptr<const Configuration> m_configuration;  ///< May be null.
  std::uint64_t m_generation = 0;
  std::uint64_t m_open_groups = 0;
  boost::asio::steady_timer m_tick;
  boost::asio::steady_timer m_stop_timer;
  EventQueue<AnyEvent> m_queue;
  enum class Phase { kServing, kUnready, kFinishing, kReleasing };
  Phase m_phase = Phase::kServing;
  TimePoint m_release_deadline;
};

}  // namespace clementine

#endif  // DAEMON_DAEMON_H_
