// Events of both facades go through one queue, as in daemon/daemon.cc. A daemon
// is ready once it knows a configuration and the list of backend servers.

#include "daemon/fleet_daemon.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "daemon/common_metrics.h"
#include "fmt/format.h"

namespace clementine {
namespace {

constexpr milliseconds kTickInterval{50};
/// Ticks of a daemon that isn't short of time are closer together.
constexpr milliseconds kUsualTick{100};
/// A tick this long after the last one is logged: the lease counts it as a
/// pause, or nearly so.
constexpr milliseconds kLateTick{350};
/// The platform answers within milliseconds; a longer wait would only delay the
/// next try on another connection.
constexpr milliseconds kPlatformTimeout{1'000};
/// Longest wait for the platform's answer to the lease's release.
constexpr milliseconds kReleaseTime{800};
/// Of the answer to an order.
constexpr std::size_t kMostLoggedBytes = 200;
/// Closed idle connections: callers reuse theirs for a time that the platform
/// sets, so the server's own limit is far above it.
constexpr milliseconds kCallerIdleTimeout{120'000};
/// Idle connections to one backend server that this daemon keeps.
constexpr int kMostIdleConnections = 32;
/// Daemons that read changes here; ChangeRelay takes fewer.
constexpr std::size_t kMostChangeConnections = 600;
/// Unsent bytes for one of them: some configurations of a megabyte.
constexpr std::size_t kMostChangeBytes = 4'194'304;
constexpr milliseconds kChangeWriteTimeout{2'000};
/// One part in so many of a server's connections may be idle.
constexpr int kIdlePart = 2;

/// The shortest of the times within which changes have to be in force.
milliseconds ChangeBound(const Settings& settings) {
  return std::min({settings.leaving_notice, settings.configuration_notice,
                   settings.revocation_notice});
}

ChangeKeys KeysOf(const Settings& settings) {
  ChangeKeys keys;
  for (const std::string& key :
       {settings.peer_key, settings.peer_previous_key}) {
    if (!key.empty()) keys.push_back(key);
  }
  return keys;
}

WallTime WallNow() { return std::chrono::system_clock::now(); }

}  // namespace

TimePoint SuspendAwareNow() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

FleetDaemon::FleetDaemon(boost::asio::io_context* io, Settings settings)
    : m_io(io),
      m_settings(std::move(settings)),
      m_incarnation(MillisecondsSinceEpoch()),
      m_notices(io, KeysOf(m_settings),
                [this](const std::string& text) {
                  LearnCrashes(CrashExchange::DecodePeerNotice(text, WallNow()),
                               "notice");
                }),
      m_relay(SuspendAwareNow,
              DeriveFollowerTimings(ChangeBound(m_settings)).heartbeat_period,
              KeysOf(m_settings)),
      m_tick(*io),
      m_queue(&m_metrics, [this](const AnyEvent& event) { HandleOne(event); }) {
  m_store = std::make_unique<platform::ObjectStore>(io, m_settings.platform,
                                                    kPlatformTimeout);
  BackendOptions backend_options;
  backend_options.connect_timeout = m_settings.connect_timeout;
  m_backends = std::make_unique<BackendClient>(io, std::move(backend_options));
  Listen();
  if (m_settings.node.empty()) m_settings.node = m_server->address();
  MakeRequestPath();
  MakeControl();
  MakeExecutor();
  StartFeed();
  ScheduleTick();
}

void FleetDaemon::MakeRequestPath() {
  RequestPathOptions path_options;
  path_options.node = m_settings.node;
  path_options.incarnation = m_incarnation;
  // Each daemon spreads its requests over all groups: the data centres are
  // close to one another, and a group that only its neighbours use is full or
  // idle as their share of the callers is.
  path_options.seed = m_settings.seed ^ m_incarnation;
  path_options.max_queued = m_settings.max_queued;
  path_options.retry_ratio = m_settings.retry_ratio;
  path_options.admission = m_settings.admission;
  // Three crashes prove a request guilty; until then it runs like any other, as
  // a group that is set apart for one request costs all the others.
  path_options.crashes_to_quarantine = 3;
  path_options.isolate_suspects = false;
  path_options.min_retry_after = milliseconds(200);
  m_request_path = std::make_unique<RequestPath>(std::move(path_options));
}

void FleetDaemon::Listen() {
  HttpLimits limits = ServerLimits(m_settings);
  limits.idle_timeout = kCallerIdleTimeout;
  m_server = std::make_unique<HttpServer>(
      m_io, m_settings.listen, limits,
      [this](const std::shared_ptr<HttpExchange>& exchange) {
        m_executor->Accept(exchange);
      });
  if (!m_settings.health.empty()) {
    m_health = std::make_unique<HttpServer>(
        m_io, m_settings.health, HttpLimits{},
        [this](const std::shared_ptr<HttpExchange>& exchange) {
          OnHealth(exchange.get());
        });
  }
  if (!m_settings.listen_changes.empty()) {
    HttpLimits changes_limits;
    changes_limits.max_connections = kMostChangeConnections;
    changes_limits.max_buffered_bytes = kMostChangeBytes;
    changes_limits.write_timeout = kChangeWriteTimeout;
    m_changes = std::make_unique<HttpServer>(
        m_io, m_settings.listen_changes, changes_limits,
        [this](const std::shared_ptr<HttpExchange>& exchange) {
          if (exchange->request().path == CrashNotices::kPath) {
            m_notices.Accept(exchange.get());
          } else {
            m_relay.Accept(exchange);
          }
        });
  }
}

void FleetDaemon::MakeControl() {
  FleetControlOptions control_options;
  control_options.node = m_settings.node;
  control_options.data_centre = m_settings.data_centre;
  if (m_changes) control_options.changes_address = m_changes->address();
  control_options.capacity = m_settings.capacity;
  control_options.incarnation = m_incarnation;
  control_options.seed = m_settings.seed ^ m_incarnation;
  control_options.first_start = m_settings.first_start;
  m_control = std::make_unique<FleetControl>(std::move(control_options));
  m_crashes = std::make_unique<CrashExchange>(m_settings.node);
}

void FleetDaemon::MakeExecutor() {
  RelayContext context;
  context.backends = m_backends.get();
  context.metrics = &m_metrics;
  context.seed = m_settings.seed ^ m_incarnation;
  context.now = SuspendAwareNow;
  context.feed = [this](RequestEvent event) { Feed(std::move(event)); };
  context.feed_fleet = [this](FleetEvent event) { Feed(std::move(event)); };
  context.share = [this](const ShareQuarantine& share) {
    m_crashes->ShareMark(share, SuspendAwareNow(), WallNow());
  };
  m_executor = std::make_unique<RelayExecutor>(std::move(context));
}

void FleetDaemon::StartFeed() {
  FleetFeed::Hooks hooks;
  hooks.now = SuspendAwareNow;
  hooks.feed = [this](FleetEvent event) { Feed(std::move(event)); };
  hooks.configured = [this](FleetConfiguration configuration) {
    Adopt(std::move(configuration));
  };
  hooks.crashes = [this](const std::vector<CrashExchange::Object>& objects) {
    LearnCrashes(m_crashes->OnObjects(objects, WallNow()), "platform");
  };
  m_feed = std::make_unique<FleetFeed>(
      m_io, m_store.get(), &m_relay, m_settings.seed ^ m_incarnation,
      ChangeBound(m_settings), std::move(hooks), KeysOf(m_settings));
  m_feed->Start();
}

FleetDaemon::~FleetDaemon() = default;

// ---------------------------------------------------------------------------
// Events.

void FleetDaemon::Feed(AnyEvent event) { m_queue.Push(std::move(event)); }

void FleetDaemon::HandleOne(const AnyEvent& event) {
  TimePoint now = SuspendAwareNow();
  if (const auto* request_event = std::get_if<RequestEvent>(&event)) {
    for (const RequestAction& action :
         m_request_path->Handle(*request_event, now)) {
      m_executor->Execute(action);
    }
    return;
  }
  for (FleetAction& action :
       m_control->Handle(std::get<FleetEvent>(event), now)) {
    Execute(std::move(action));
  }
}

void FleetDaemon::Execute(FleetAction action) {
  auto reply = [this](ObjectReply answer) {
    Feed(FleetEvent(std::move(answer)));
  };
  if (auto* order = std::get_if<SendGroupOrder>(&action)) {
    SendOrder(*order);
  } else if (auto* ask = std::get_if<QueryServerStatus>(&action)) {
    Ask(*ask);
  } else if (auto* groups = std::get_if<GroupsChanged>(&action)) {
    m_groups_known = true;
    m_executor->SetGroups(groups->groups);
    Feed(RequestEvent(std::move(*groups)));
  } else if (auto* daemons = std::get_if<DaemonsChanged>(&action)) {
    m_live_daemons = daemons->live;
    LimitIdleConnections();
    Feed(RequestEvent(*daemons));
  } else if (auto* ended = std::get_if<ServerEnded>(&action)) {
    Feed(RequestEvent(std::move(*ended)));
  } else if (auto* get = std::get_if<GetObject>(&action)) {
    m_store->Get(*get, reply);
  } else if (auto* put = std::get_if<PutObject>(&action)) {
    m_store->Put(*put, reply);
  } else if (std::holds_alternative<ListNodes>(action)) {
    ListAllNodes();
  } else if (auto* log = std::get_if<LogDecision>(&action)) {
    LogEvent(log->event, log->fields);
  }
}

void FleetDaemon::Adopt(FleetConfiguration configuration) {
  std::uint64_t version = configuration.version;
  m_routes = std::make_shared<const RouteTable>(std::move(configuration));
  std::shared_ptr<const FleetConfiguration> shared(m_routes,
                                                   &m_routes->configuration());
  ConfigurationChanged changed;
  changed.generation = version;
  changed.configuration = std::make_shared<const Configuration>(
      ToRequestPathConfiguration(*shared));
  LogEvent("configuration_adopted",
           {{"version", std::to_string(version)},
            {"routes", std::to_string(shared->routes.size())},
            {"services", std::to_string(shared->services.size())}});
  Feed(RequestEvent(std::move(changed)));
  m_executor->SetRoutes(m_routes);
  Feed(FleetEvent(FleetConfigured{std::move(shared)}));
  LimitIdleConnections();
}

// A server takes a number of connections from all daemons together, and resets
// those above it. Idle ones may take half of that.
void FleetDaemon::LimitIdleConnections() {
  if (m_routes == nullptr) return;
  int most = kMostIdleConnections;
  for (const auto& [name, service] : m_routes->configuration().services) {
    if (service.max_connections < 1) continue;
    int share = service.max_connections / (kIdlePart * m_live_daemons);
    most = std::min(most, std::max(1, share));
  }
  m_backends->SetMaxIdle(static_cast<std::size_t>(most));
}

BackendHandlers FleetDaemon::NoticeHandlers(const std::string& host,
                                            const char* source) {
  BackendHandlers handlers;
  handlers.head = [this, host, source](int status, const HttpHeaders& headers) {
    if (platform::HasLeavingHeader(status, headers)) {
      Feed(FleetEvent(ServerLeaving{host, source}));
    }
    return AnswerHead::kAnswer;
  };
  return handlers;
}

void FleetDaemon::NoteBusy(const std::string& host, const BackendEnd& end) {
  ServerBusy busy{host, end.BusyFor()};
  if (busy.wait <= milliseconds(0)) return;
  Feed(RequestEvent(busy));
  Feed(FleetEvent(busy));
}

void FleetDaemon::SendOrder(const SendGroupOrder& send) {
  auto body = std::make_shared<std::string>();
  BackendHandlers handlers = NoticeHandlers(send.host, "order");
  handlers.bytes = [body](std::string_view bytes) { body->append(bytes); };
  handlers.end = [this, host = send.host, order = send.order,
                  body](const BackendEnd& end) {
    NoteBusy(host, end);
    OrderEnded ended{host, order, platform::DecodeOrderAnswer(end), ""};
    ended.detail = fmt::format("{} {}{}", end.status, end.detail,
                               body->substr(0, kMostLoggedBytes));
    Feed(FleetEvent(std::move(ended)));
  };
  m_backends->Start(
      platform::MakeOrderCall(send.host, send.address, send.order),
      std::move(handlers));
}

void FleetDaemon::Ask(const QueryServerStatus& ask) {
  auto body = std::make_shared<std::string>();
  BackendHandlers handlers = NoticeHandlers(ask.host, "report");
  handlers.bytes = [body](std::string_view bytes) { body->append(bytes); };
  handlers.end = [this, host = ask.host, body](const BackendEnd& end) {
    NoteBusy(host, end);
    ServerStatusResult answered;
    answered.host = host;
    if (end.result == AttemptResult::kComplete) {
      answered.server = platform::DecodeReport(*body);
    }
    Feed(FleetEvent(std::move(answered)));
  };
  m_backends->Start(platform::MakeReportCall(ask.host, ask.address),
                    std::move(handlers));
}

void FleetDaemon::ListAllNodes() {
  std::string kind = NodeDirectory::kPrefix;
  kind.pop_back();
  m_store->List(kind, /*stale=*/true, [this](const platform::ObjectBatch& b) {
    NodesListed listed;
    listed.complete = b.status == platform::ObjectBatch::Status::kOk;
    for (const platform::StoredObject& object : b.objects) {
      listed.nodes.emplace_back(object.name,
                                platform::DecodeOwnValue(object.content));
    }
    Feed(FleetEvent(std::move(listed)));
  });
}

void FleetDaemon::LearnCrashes(const std::vector<QuarantineLearned>& learned,
                               const char* source) {
  if (learned.empty()) return;
  LogEvent("crashes_learned",
           {{"source", source}, {"marks", std::to_string(learned.size())}});
  for (const QuarantineLearned& entry : learned) Feed(RequestEvent(entry));
}

void FleetDaemon::SpreadCrashes() {
  auto reply = [this](const ObjectReply& answer) {
    m_crashes->OnReply(answer, SuspendAwareNow());
  };
  for (const CrashExchange::Action& action : m_crashes->Advance(
           SuspendAwareNow(), WallNow(), m_control->holds_lease())) {
    if (const auto* put = std::get_if<PutObject>(&action)) {
      LogEvent("crashes_shared",
               {{"marks", std::to_string(m_crashes->size())}});
      m_store->Put(*put, reply);
    } else if (const auto* del = std::get_if<DeleteObject>(&action)) {
      m_store->Delete(*del, reply);
    } else {
      std::vector<std::string> daemons = m_control->daemon_addresses();
      LogEvent("crashes_told", {{"marks", std::to_string(m_crashes->size())},
                                {"daemons", std::to_string(daemons.size())}});
      m_notices.Tell(daemons,
                     std::get<CrashExchange::NotifyDaemons>(action).text);
    }
  }
}

void FleetDaemon::ScheduleTick() {
  m_tick.expires_after(kTickInterval);
  m_tick.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    NoteTick();
    Feed(FleetEvent(
        RequestsCounted{m_server->stats().requests, m_executor->demand()}));
    Feed(FleetEvent(Tick{}));
    Feed(RequestEvent(Tick{}));
    m_feed->SetRole(
        {m_control->change_roles(), m_control->is_planner_or_standby()});
    m_feed->Tick();
    m_relay.Tick();
    m_executor->CheckSilence();
    SpreadCrashes();
    CheckStopping();
    ScheduleTick();
  });
}

void FleetDaemon::NoteTick() {
  TimePoint now = SuspendAwareNow();
  TimePoint last = std::exchange(m_ticked, now);
  if (last == TimePoint()) return;
  auto gap = std::chrono::duration_cast<milliseconds>(now - last);
  Metrics::Observe(m_metrics.Find("clementine_tick_gap_ms", ""),
                   static_cast<double>(gap.count()), now);
  if (gap > kUsualTick) m_executor->NoteMissed(gap - kUsualTick);
  if (gap < kLateTick) return;
  LogEvent("tick_late",
           {{"gap_ms", std::to_string(gap.count())},
            {"holds_lease", m_control->holds_lease() ? "yes" : "no"},
            {"followers", std::to_string(m_relay.followers())}});
}

// ---------------------------------------------------------------------------
// Health and metrics.

bool FleetDaemon::Ready() const {
  return m_phase == Phase::kServing && m_routes != nullptr && m_groups_known;
}

void FleetDaemon::OnHealth(HttpExchange* exchange) {
  HttpHeaders headers = {{"Content-Type", "text/plain"}};
  if (exchange->request().path == "/metrics") {
    exchange->Answer(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                     RenderMetrics());
  } else if (exchange->request().path == "/readyz") {
    bool ready = Ready();
    exchange->Answer(ready ? 200 : 503, headers, ready ? "ready\n" : "no\n");
  } else {
    exchange->Answer(404, headers, "no such page\n");
  }
}

std::string FleetDaemon::RenderMetrics() {
  SetCommonMetrics(m_request_path->stats(), m_server->stats(),
                   m_backends->stats(), &m_metrics);
  m_metrics.SetTotal("clementine_platform_calls_total", "", m_store->calls());
  m_metrics.Set("clementine_open_groups", "",
                static_cast<double>(m_control->open_groups()));
  for (const auto& [model, groups] : m_control->OpenGroupsByModel()) {
    m_metrics.Set("clementine_model_open_groups",
                  fmt::format("model=\"{}\"", model), groups);
  }
  for (const auto& [model, count] : m_executor->demand()) {
    std::string label = fmt::format("model=\"{}\"", model);
    m_metrics.SetTotal("clementine_model_requests_total", label,
                       count.requests);
    m_metrics.SetTotal("clementine_model_refused_total", label, count.refused);
  }
  SetControlMetrics();
  m_metrics.Set("clementine_holds_lease", "", m_control->holds_lease() ? 1 : 0);
  m_metrics.Set("clementine_live_daemons", "", m_control->live_nodes());
  m_metrics.Set(
      "clementine_generation", "",
      m_routes ? static_cast<double>(m_routes->configuration().version) : 0.0);
  return m_metrics.Render();
}

void FleetDaemon::SetControlMetrics() {
  const GroupPlanner::OrderStats& orders = m_control->order_stats();
  m_metrics.SetTotal("clementine_order_effects_total", "",
                     orders.observed_effects);
  m_metrics.SetTotal(
      "clementine_order_effect_ms_total", "",
      static_cast<std::uint64_t>(orders.total_effect_delay.count()));
  m_metrics.Set("clementine_order_effect_longest_ms", "",
                static_cast<double>(orders.max_effect_delay.count()));
  m_metrics.SetTotal("clementine_orders_abandoned_total", "", orders.abandoned);
  m_metrics.SetTotal("clementine_change_bytes_sent_total", "",
                     m_relay.sent_bytes());
  m_metrics.Set("clementine_change_followers", "",
                static_cast<double>(m_relay.followers()));
  if (std::optional<milliseconds> age = m_feed->Age()) {
    m_metrics.Set("clementine_change_age_ms", "",
                  static_cast<double>(age->count()));
  }
  for (const auto& [reason, count] : m_feed->sources_left()) {
    m_metrics.SetTotal("clementine_change_sources_left_total",
                       fmt::format("reason=\"{}\"", reason), count);
  }
}

// ---------------------------------------------------------------------------
// Stopping.

void FleetDaemon::Stop() {
  if (m_phase != Phase::kServing) return;
  m_phase = Phase::kUnready;
  m_stop_began = SuspendAwareNow();
  LogEvent("stopping",
           {{"unfinished", std::to_string(m_executor->unfinished())},
            {"drain_wait_ms", std::to_string(m_settings.drain_wait.count())}});
  m_server->StartDraining();
  Feed(FleetEvent(DrainStarted{}));
}

void FleetDaemon::CheckStopping() {
  if (m_phase == Phase::kServing) return;
  auto elapsed = SuspendAwareNow() - m_stop_began;
  if (m_phase == Phase::kUnready && elapsed >= m_settings.drain_wait) {
    m_phase = Phase::kFinishing;
    m_server->Stop();
  }
  if (m_phase != Phase::kFinishing && m_phase != Phase::kReleasing) return;
  if (elapsed >= m_settings.stop_limit) m_executor->CutOff();
  bool finished =
      m_executor->unfinished() == 0 && m_server->stats().exchanges == 0;
  if (m_phase == Phase::kFinishing && finished) m_phase = Phase::kReleasing;
  bool over = elapsed >= m_settings.stop_limit + kReleaseTime;
  if ((m_phase == Phase::kReleasing && !m_control->holds_lease()) ||
      (finished && elapsed >= m_settings.drain_wait + kReleaseTime) || over) {
    LogEvent("stopped", {});
    m_io->stop();
  }
}

}  // namespace clementine
