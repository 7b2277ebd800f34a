// Events of the request path and the control plane share one queue. An event
// that is fed during an action is handled after the action.

#include "daemon/daemon.h"

#include <utility>

#include "core/router.h"
#include "daemon/answers.h"
#include "daemon/common_metrics.h"
#include "daemon/request_reader.h"
#include "fmt/format.h"

namespace clementine {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kTickInterval{50};

/// Maximum wait for the platform's answer to the release of the lease.
constexpr std::chrono::milliseconds kReleaseTimeout{3'000};

/// Returns the prefix of this daemon's attempt ids. Attempt ids appear in URL
/// paths and before a colon, so all bytes other than letters, digits, dots and
/// hyphens are replaced by a dot.
std::string AttemptPrefix(const std::string& node, std::uint64_t incarnation) {
  std::string prefix = node;
  for (char& c : prefix) {
    bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                 (c >= '0' && c <= '9') || c == '.' || c == '-';
    if (!plain) c = '.';
  }
  return fmt::format("{}-{:x}", prefix, incarnation);
}

/// @return An empty policy for "weighted", the default of RequestPath.
RoutePolicy PolicyByName(const std::string& name) {
  if (name == "round_robin") return RoundRobinPolicy();
  if (name == "least_in_flight") return LeastInFlightPolicy();
  return {};
}

}  // namespace

Daemon::Daemon(boost::asio::io_context* io, Settings settings)
    : m_io(io),
      m_settings(std::move(settings)),
      m_incarnation(MillisecondsSinceEpoch()),
      m_limits(m_settings),
      m_tick(*io),
      m_stop_timer(*io),
      m_queue(&m_metrics,
              [this](const AnyEvent& event) { HandleEvent(event); }) {
  m_platform = std::make_unique<PlatformClient>(io, m_settings.platform,
                                                m_settings.platform_token);
  m_platform->SetEraHandler([this](std::uint64_t era) {
    Feed(ControlEvent(StoreEraSeen{era}));
    Feed(RequestEvent(StoreEraSeen{era}));
  });
  m_platform->SetMaxHeldBytes(m_limits.memory.plan.platform);
  BackendOptions backend_options;
  backend_options.token = m_settings.backend_token;
  backend_options.connect_timeout = m_settings.connect_timeout;
  SetBackendLimits(m_limits, &backend_options);
  m_backends = std::make_unique<BackendClient>(io, std::move(backend_options));
  m_peers = std::make_unique<PeerTransport>(
      io, m_settings.peer_listen, m_settings.peer_key,
      [this](std::string bytes) {
        Feed(ControlEvent(PeerMessageReceived{std::move(bytes)}));
      });
  m_server = std::make_unique<HttpServer>(
      io, m_settings.listen, m_limits.callers,
      [this](const std::shared_ptr<HttpExchange>& exchange) {
        OnExchange(exchange);
      });
  if (m_settings.node.empty()) m_settings.node = m_server->address();
  CreateCore();
  CreateExecutors();
  ScheduleTick();
}

Daemon::~Daemon() = default;

void Daemon::CreateCore() {
  RequestPathOptions request_options;
  request_options.node = m_settings.node;
  request_options.incarnation = m_incarnation;
  request_options.data_centre = m_settings.data_centre;
  request_options.seed = m_settings.seed;
  request_options.max_queued = m_settings.max_queued;
  request_options.claim_retention = m_settings.claim_retention;
  request_options.route_policy = PolicyByName(m_settings.route_policy);
  request_options.admission = m_settings.admission;
  m_request_path = std::make_unique<RequestPath>(std::move(request_options));
  ControlPlaneOptions control_options;
  control_options.node = m_settings.node;
  control_options.region = m_settings.region;
  control_options.data_centre = m_settings.data_centre;
  control_options.peer_address = m_peers->address();
  control_options.peer_seeds = m_settings.peer_seeds;
  control_options.incarnation = m_incarnation;
  control_options.seed = m_settings.seed;
  control_options.probe_interval = m_settings.probe_interval;
  control_options.presence_timeout = m_settings.presence_timeout;
  control_options.lease_duration = m_settings.lease_duration;
  control_options.longest_order = m_settings.longest_order;
  m_control_plane = std::make_unique<ControlPlane>(std::move(control_options));
}

void Daemon::CreateExecutors() {
  auto feed_request = [this](RequestEvent event) { Feed(std::move(event)); };
  auto feed_control = [this](ControlEvent event) { Feed(std::move(event)); };
  RequestContext request_context;
  request_context.settings = &m_settings;
  request_context.backends = m_backends.get();
  request_context.platform = m_platform.get();
  request_context.metrics = &m_metrics;
  request_context.attempt_prefix =
      AttemptPrefix(m_settings.node, m_incarnation);
  request_context.feed = feed_request;
  request_context.feed_control = feed_control;
  m_request_executor =
      std::make_unique<RequestExecutor>(std::move(request_context));
  ControlContext control_context;
  control_context.settings = &m_settings;
  control_context.backends = m_backends.get();
  control_context.platform = m_platform.get();
  control_context.peers = m_peers.get();
  control_context.feed = feed_control;
  control_context.pass_on = [this](const RequestEvent& event) {
    ForwardEvent(event);
  };
  m_control_executor =
      std::make_unique<ControlExecutor>(std::move(control_context));
  m_cache_poller =
      std::make_unique<CachePoller>(m_backends.get(), feed_request);
}

// ---------------------------------------------------------------------------
// Events.

void Daemon::Feed(AnyEvent event) { m_queue.Push(std::move(event)); }

void Daemon::HandleEvent(const AnyEvent& event) {
  TimePoint now = Clock::now();
  if (const auto* request_event = std::get_if<RequestEvent>(&event)) {
    for (const RequestAction& action :
         m_request_path->Handle(*request_event, now)) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
        m_cache_poller->OnRequestSent(dispatch->group, now);
      }
      m_request_executor->Execute(action);
    }
  } else {
    for (const ControlAction& action :
         m_control_plane->Handle(std::get<ControlEvent>(event), now)) {
      m_control_executor->Execute(action);
    }
  }
}

void Daemon::ForwardEvent(const RequestEvent& event) {
  if (const auto* seen = std::get_if<StoreEraSeen>(&event)) {
    m_platform->OnEraSeen(seen->era);
  }
  if (const auto* groups = std::get_if<GroupsChanged>(&event)) {
    m_request_executor->SetGroups(groups->groups);
    m_cache_poller->SetGroups(groups->groups);
    m_open_groups = 0;
    for (const GroupView& group : groups->groups) {
      if (group.open) ++m_open_groups;
    }
  } else if (const auto* changed = std::get_if<ConfigurationChanged>(&event)) {
    m_configuration = changed->configuration;
    m_generation = changed->generation;
    LogEvent("configuration_adopted",
             {{"generation", std::to_string(m_generation)}});
  }
  Feed(event);
}

void Daemon::ScheduleTick() {
  m_tick.expires_after(kTickInterval);
  m_tick.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    Feed(ControlEvent(Tick{std::chrono::system_clock::now()}));
    Feed(RequestEvent(Tick{std::chrono::system_clock::now()}));
    ContinueStop();
    ScheduleTick();
  });
}

// ---------------------------------------------------------------------------
// Callers.

void Daemon::OnExchange(const std::shared_ptr<HttpExchange>& exchange) {
  if (AnswerAdminPage(exchange.get())) return;
  static const Configuration empty;
  const Configuration& configuration =
      m_configuration ? *m_configuration : empty;
  ReadResult read = ReadCallerRequest(m_settings, configuration,
                                      exchange->request(), Clock::now());
  if (!read.request) {
    const RequestError& error = read.error;
    m_metrics.Add("clementine_rejected_total",
                  fmt::format("reason=\"{}\"", error.type));
    LogEvent("request_rejected", {{"status", std::to_string(error.status)},
                                  {"reason", error.type},
                                  {"path", exchange->request().path}});
    AnswerError(exchange.get(), error.status, error.type, error.message,
                Outcome::kNotRun, milliseconds(1'000));
    return;
  }
  // What runs is the body that was read from it.
  exchange->TakeBody();
  m_request_executor->Accept(exchange, std::move(*read.request));
}

bool Daemon::IsReady() const {
  return m_phase == Phase::kServing && m_configuration != nullptr;
}

bool Daemon::AnswerAdminPage(HttpExchange* exchange) {
  const HttpRequest& request = exchange->request();
  if (request.path == "/healthz") {
    exchange->Answer(200, {{"Content-Type", "text/plain"}}, "ok\n");
  } else if (request.path == "/readyz") {
    bool ready = IsReady();
    exchange->Answer(ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                     ready                        ? "ready\n"
                     : m_phase == Phase::kServing ? "no configuration\n"
                                                  : "stopping\n");
  } else if (request.path == "/metrics") {
    exchange->Answer(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                     RenderMetrics());
  } else if (request.path == "/status") {
    exchange->Answer(200, {{"Content-Type", "application/json"}},
                     m_control_plane->status(Clock::now()).json);
  } else {
    return false;
  }
  return true;
}

std::string Daemon::RenderMetrics() {
  HttpServerStats server = m_server->stats();
  BackendStats backend = m_backends->stats();
  SetCommonMetrics(m_request_path->stats(), server, backend, &m_metrics);
  SetListenerMetrics("callers", server, &m_metrics);
  m_metrics.SetTotal("clementine_refused_connections_total", "",
                     server.refused_connections);
  m_metrics.SetTotal("clementine_stream_gaps_total", "", backend.gaps);
  PeerStats peers = m_peers->stats();
  m_metrics.SetTotal("clementine_peer_messages_total", "direction=\"out\"",
                     peers.sent);
  m_metrics.SetTotal("clementine_peer_messages_total", "direction=\"in\"",
                     peers.received);
  m_metrics.SetTotal("clementine_peer_bytes_total", "direction=\"out\"",
                     peers.sent_bytes);
  m_metrics.SetTotal("clementine_peer_bytes_total", "direction=\"in\"",
                     peers.received_bytes);
  m_metrics.SetTotal("clementine_peer_rejected_total", "", peers.rejected);
  m_metrics.SetTotal("clementine_peer_not_sent_total", "", peers.not_sent);
  m_metrics.SetTotal("clementine_peer_overflowed_total", "", peers.overflowed);
  m_metrics.SetTotal("clementine_platform_calls_total", "",
                     m_platform->calls());
  m_metrics.Set("clementine_store_era", "",
                static_cast<double>(m_platform->store_era()));
  m_metrics.SetTotal("clementine_platform_answers_dropped_total", "",
                     m_platform->dropped_answers());
  m_metrics.SetTotal("clementine_platform_answers_invalid_total", "",
                     m_platform->invalid_answers());
  m_metrics.Set("clementine_held_bytes", "from=\"platform\"",
                static_cast<double>(m_platform->held_bytes()));
  ControlStatus control = m_control_plane->status(Clock::now());
  m_metrics.Set("clementine_generation", "", static_cast<double>(m_generation));
  m_metrics.Set("clementine_open_groups", "",
                static_cast<double>(m_open_groups));
  m_metrics.Set("clementine_holds_lease", "", control.holds_lease ? 1 : 0);
  m_metrics.Set("clementine_live_daemons", "", control.live_daemons);
  return m_metrics.Render();
}

// ---------------------------------------------------------------------------
// Stopping.

void Daemon::Stop() {
  if (m_phase != Phase::kServing) return;
  m_phase = Phase::kUnready;
  LogEvent("stopping",
           {{"drain_wait_ms", std::to_string(m_settings.drain_wait.count())}});
  m_stop_timer.expires_after(m_settings.drain_wait);
  m_stop_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) OnDrainWaitEnded();
  });
}

void Daemon::OnDrainWaitEnded() {
  m_phase = Phase::kFinishing;
  Feed(RequestEvent(DrainStarted{}));
  LogEvent("draining",
           {{"unfinished", std::to_string(m_request_executor->unfinished())}});
  ContinueStop();
}

void Daemon::ContinueStop() {
  if (m_phase == Phase::kFinishing && m_request_executor->unfinished() == 0) {
    m_phase = Phase::kReleasing;
    m_release_deadline = Clock::now() + kReleaseTimeout;
    m_server->Stop();
    Feed(ControlEvent(DrainStarted{}));
  }
  if (m_phase != Phase::kReleasing) return;
  // Finished answers may still be waiting to be written to callers.
  bool written = m_server->stats().exchanges == 0;
  bool released = m_control_executor->unfinished() == 0 ||
                  Clock::now() >= m_release_deadline;
  if (!written || !released) return;
  LogEvent("stopped", {});
  m_io->stop();
}

}  // namespace clementine
