// The daemon's parts for the interface `relay`, wired together.
#ifndef DAEMON_FLEET_DAEMON_H_
#define DAEMON_FLEET_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <variant>

#include "config/config.h"
#include "core/core.h"
#include "core/crash_exchange.h"
#include "core/fleet_control.h"
#include "core/route_table.h"
#include "daemon/crash_notices.h"
#include "daemon/event_queue.h"
#include "daemon/fleet_feed.h"
#include "daemon/relay_executor.h"
#include "net/net.h"
#include "platform/platform.h"

namespace clementine {

/// Time that also counts while the machine is suspended, for everything that
/// limits how long a belief may be used.
TimePoint SuspendAwareNow();

class FleetDaemon {
 public:
  /// Starts listening at once.
  /// @throws std::runtime_error when an address can't be used.
  FleetDaemon(boost::asio::io_context* io, Settings settings);
  ~FleetDaemon();
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  /// Begins a graceful stop; the io_context stops when it's done.
  void Stop();

  const std::string& node() const { return m_settings.node; }
  std::string listen_address() const { return m_server->address(); }
  /// Where readiness and metrics are served.
  std::string health_address() const {
    return m_health ? m_health->address() : "none";
  }
  /// Where other daemons read changes.
  std::string peer_address() const {
    return m_changes ? m_changes->address() : "none";
  }

 private:
  using AnyEvent = std::variant<RequestEvent, FleetEvent>;
  enum class Phase { kServing, kUnready, kFinishing, kReleasing };

  // Parts of the constructor, in their order.
  void Listen();
  void MakeRequestPath();
  void MakeControl();
  void MakeExecutor();
  void StartFeed();

  void Feed(AnyEvent event);
  void HandleOne(const AnyEvent& event);
  void Execute(FleetAction action);
  void Adopt(FleetConfiguration configuration);
  void LimitIdleConnections();
  /// Handlers that heed what an answer to our own calls says of its server.
  BackendHandlers NoticeHandlers(const std::string& host, const char* source);
  void NoteBusy(const std::string& host, const BackendEnd& end);
  void SendOrder(const SendGroupOrder& send);
  void Ask(const QueryServerStatus& ask);
  void ListAllNodes();
  /// Hands marks that other daemons made to the request path.
  void LearnCrashes(const std::vector<QuarantineLearned>& learned,
                    const char* source);
  /// Shares the own marks as due.
  void SpreadCrashes();
  void ScheduleTick();
  /// Notes how late a tick is, as a measure of how busy this daemon is.
  void NoteTick();
  void SetControlMetrics();
  void CheckStopping();
  bool Ready() const;
  void OnHealth(HttpExchange* exchange);
  std::string RenderMetrics();

  boost::asio::io_context* m_io;
  Settings m_settings;
  std::uint64_t m_incarnation;
  Metrics m_metrics;
  std::unique_ptr<platform::ObjectStore> m_store;
  std::unique_ptr<BackendClient> m_backends;
  std::unique_ptr<RequestPath> m_request_path;
  std::unique_ptr<FleetControl> m_control;
  std::unique_ptr<RelayExecutor> m_executor;
  std::unique_ptr<CrashExchange> m_crashes;
  CrashNotices m_notices;
  ChangeRelay m_relay;
  std::unique_ptr<FleetFeed> m_feed;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpServer> m_health;
  std::unique_ptr<HttpServer> m_changes;  ///< For other daemons.
  std::shared_ptr<const RouteTable> m_routes;
  boost::asio::steady_timer m_tick;
  TimePoint m_ticked;  ///< When the last tick was.
  EventQueue<AnyEvent> m_queue;
  int m_live_daemons = 1;
  bool m_groups_known = false;
  Phase m_phase = Phase::kServing;
  TimePoint m_stop_began;
};

}  // namespace clementine

#endif  // DAEMON_FLEET_DAEMON_H_
