// Daemon process for the interface `relay`: owns the components and connects
// them.
#ifndef DAEMON_FLEET_DAEMON_H_
#define DAEMON_FLEET_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
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
#include "daemon/process_limits.h"
#include "daemon/relay_executor.h"
#include "net/net.h"
#include "platform/platform.h"

namespace clementine {

/// Time that also advances while the machine is suspended. Everything that
/// limits how long information may be used is measured by it.
TimePoint SuspendAwareNow();

class FleetDaemon {
 public:
  /// Starts listening.
  /// @throws std::runtime_error if an address cannot be listened on.
  FleetDaemon(boost::asio::io_context* io, Settings settings);
  ~FleetDaemon();
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  /// Begins a graceful shutdown. Stops the io_context when the shutdown is
  /// complete.
  void Stop();

  const std::string& node() const { return m_settings.node; }
  std::string listen_address() const { return m_server->address(); }
  /// Address at which readiness and metrics are served.
  std::string health_address() const {
    return m_health ? m_health->address() : "none";
  }
  /// Address at which other daemons subscribe to changes.
  std::string peer_address() const {
    return m_peer_server ? m_peer_server->address() : "none";
  }

 private:
  using AnyEvent = std::variant<RequestEvent, FleetEvent>;
  enum class Phase { kServing, kUnready, kFinishing, kReleasing };

  // Steps of the constructor, in the order of the calls.
  void Listen();
  void MakeRequestPath();
  void MakeControl();
  void MakeExecutor();
  void StartFeed();

  void Feed(AnyEvent event);
  void HandleEvent(const AnyEvent& event);
  void Execute(FleetAction action);
  void AdoptConfiguration(FleetConfiguration configuration);
  void LimitIdleConnections();
  /// Returns handlers that report a server as leaving if its answer to one of
  /// this daemon's own calls says that it is leaving.
  BackendHandlers MakeLeavingHandlers(const std::string& host,
                                      const char* source);
  void ReportBackoff(const std::string& host, const BackendEnd& end);
  void SendOrder(const SendGroupOrder& send);
  void QueryStatus(const QueryServerStatus& query);
  void ListAllNodes();
  /// Passes crash marks of other daemons to the request path.
  void ApplyCrashMarks(const std::vector<QuarantineLearned>& learned,
                       const char* source);
  /// Sends this daemon's crash marks to other daemons when they are due.
  void ShareCrashMarks();
  void ScheduleTick();
  /// Records the time since the last tick, which shows how busy the daemon is.
  void RecordTickGap();
  void SetControlMetrics();
  void AdvanceStop();
  bool IsReady() const;
  void OnHealthRequest(HttpExchange* exchange);
  std::string RenderMetrics();

  boost::asio::io_context* m_io;
  Settings m_settings;
  std::uint64_t m_incarnation;
  ProcessLimits m_limits;
  Metrics m_metrics;
  std::unique_ptr<platform::ObjectStore> m_store;
  std::unique_ptr<BackendClient> m_backends;
  std::unique_ptr<RequestPath> m_request_path;
  std::unique_ptr<FleetControl> m_control;
  std::unique_ptr<RelayExecutor> m_executor;
  std::unique_ptr<CrashExchange> m_crash_exchange;
  CrashNotices m_crash_notices;
  ChangeRelay m_change_relay;
  std::unique_ptr<FleetFeed> m_feed;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpServer> m_health;
  std::unique_ptr<HttpServer> m_peer_server;  ///< Serves other daemons.
  std::shared_ptr<const RouteTable> m_routes;
  boost::asio::steady_timer m_tick;
  TimePoint m_last_tick_at;
  EventQueue<AnyEvent> m_queue;
  /// Data centres that were evacuated since the start, for metrics.
  std::set<std::string> m_evacuated_names;
  int m_live_daemons = 1;
  bool m_groups_known = false;
  bool m_crash_marks_known = false;
  Phase m_phase = Phase::kServing;
  TimePoint m_stop_started_at;
};

}  // namespace clementine

#endif  // DAEMON_FLEET_DAEMON_H_
