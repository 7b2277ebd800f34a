// Events of both facades pass through one queue, as in daemon/daemon.cc. A
// daemon is ready when it has a configuration and the list of backend servers.

#include "daemon/fleet_daemon.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "daemon/common_metrics.h"
#include "fmt/format.h"

namespace clementine {
namespace {

constexpr milliseconds kTickInterval{50};
/// Maximum time between two ticks of a daemon that is not overloaded.
constexpr milliseconds kMaxTickGap{100};
/// Ticks that come at least this long after the last one are logged. Gaps of
/// about this duration count as a pause of the process for the lease.
constexpr milliseconds kLateTickThreshold{350};
/// The platform answers within milliseconds. A longer timeout would only delay
/// the next attempt on another connection.
constexpr milliseconds kPlatformTimeout{1'000};
/// Maximum wait for the platform's answer to the release of the lease.
constexpr milliseconds kLeaseReleaseTimeout{800};
/// Bytes of the answer to an order that are logged.
constexpr std::size_t kMaxLoggedBytes = 200;
/// Idle connections of callers are closed after this time. The platform sets
/// for how long callers reuse a connection; this limit is far above that time.
constexpr milliseconds kCallerIdleTimeout{120'000};
/// Maximum idle connections of this daemon to one backend server.
constexpr int kMaxIdleConnections = 32;
/// Unsent bytes for one of these connections; holds several configurations of
/// 1 MB.
constexpr std::size_t kMaxChangeBufferedBytes = 4'194'304;
constexpr milliseconds kChangeWriteTimeout{2'000};
/// Followers that read more slowly are cut off. A host with a link of 20 Mbit/s
/// sends eight followers 312 KB/s each.
constexpr std::size_t kChangeBytesPerSecond = 262'144;
/// A server's connection limit divided by this is the limit of its idle
/// connections.
constexpr int kIdleLimitDivisor = 2;

/// The minimum of the times within which changes have to take effect.
milliseconds ChangeBound(const Settings& settings) {
  milliseconds bound =
      std::min({settings.leaving_notice, settings.configuration_notice,
                settings.revocation_notice});
  return settings.evacuation_notice > milliseconds(0)
             ? std::min(bound, settings.evacuation_notice)
             : bound;
}

/// Time from learning of an evacuation until this daemon leaves the data
/// centre. A request may need the whole connect timeout to reach its server,
/// and departures are carried out with the ticks.
milliseconds DepartureDelay(const Settings& settings) {
  return Evacuation::DepartureDelay(
      settings.evacuation_notice, ChangeBound(settings),
      settings.connect_timeout + 2 * kTickInterval);
}

ChangeKeys PeerKeys(const Settings& settings) {
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
      m_limits(m_settings),
      m_crash_notices(io, PeerKeys(m_settings),
                      [this](const std::string& text) {
                        ApplyCrashMarks(
                            CrashExchange::DecodePeerNotice(text, WallNow()),
                            "notice");
                      }),
      m_change_relay(
          SuspendAwareNow,
          DeriveFollowerTimings(ChangeBound(m_settings)).heartbeat_period,
          PeerKeys(m_settings)),
      m_tick(*io),
      m_queue(&m_metrics,
              [this](const AnyEvent& event) { HandleEvent(event); }) {
  m_store = std::make_unique<platform::ObjectStore>(io, m_settings.platform,
                                                    kPlatformTimeout);
  m_store->SetMaxHeldBytes(m_limits.memory.plan.platform);
  BackendOptions backend_options;
  backend_options.connect_timeout = m_settings.connect_timeout;
  SetBackendLimits(m_limits, &backend_options);
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
  // Each daemon distributes its requests over the groups of all data centres:
  // the data centres are close to one another, and if only local daemons used a
  // group, its load would depend on their share of the callers.
  path_options.seed = m_settings.seed ^ m_incarnation;
  path_options.max_queued = m_settings.max_queued;
  path_options.retry_ratio = m_settings.retry_ratio;
  path_options.hedge_ratio = m_settings.hedge_ratio;
  path_options.admission = m_settings.admission;
  // A request is quarantined after three crashes. Until then, it runs like any
  // other request: reserving a group for one suspect would take capacity from
  // all other requests.
  path_options.crashes_to_quarantine = 3;
  path_options.isolate_suspects = false;
  path_options.min_retry_after = milliseconds(200);
  m_request_path = std::make_unique<RequestPath>(std::move(path_options));
}

void FleetDaemon::Listen() {
  m_limits.callers.idle_timeout = kCallerIdleTimeout;
  m_server = std::make_unique<HttpServer>(
      m_io, m_settings.listen, m_limits.callers,
      [this](const std::shared_ptr<HttpExchange>& exchange) {
        m_executor->Accept(exchange);
      });
  if (!m_settings.health.empty()) {
    m_health = std::make_unique<HttpServer>(
        m_io, m_settings.health, m_limits.health,
        [this](const std::shared_ptr<HttpExchange>& exchange) {
          OnHealthRequest(exchange.get());
        });
  }
  if (!m_settings.listen_changes.empty()) {
    HttpLimits changes_limits = m_limits.peers;
    changes_limits.max_buffered_bytes = kMaxChangeBufferedBytes;
    changes_limits.write_timeout = kChangeWriteTimeout;
    changes_limits.transfer_rate = kChangeBytesPerSecond;
    m_peer_server = std::make_unique<HttpServer>(
        m_io, m_settings.listen_changes, changes_limits,
        [this](const std::shared_ptr<HttpExchange>& exchange) {
          if (exchange->request().path == CrashNotices::kPath) {
            m_crash_notices.Accept(exchange.get());
          } else {
            m_change_relay.Accept(exchange);
          }
        });
  }
}

void FleetDaemon::MakeControl() {
  FleetControlOptions control_options;
  control_options.node = m_settings.node;
  control_options.data_centre = m_settings.data_centre;
  if (m_peer_server) control_options.changes_address = m_peer_server->address();
  control_options.capacity = m_settings.capacity;
  control_options.incarnation = m_incarnation;
  control_options.seed = m_settings.seed ^ m_incarnation;
  control_options.first_start = m_settings.first_start;
  control_options.follow_evacuations =
      m_settings.evacuation_notice > milliseconds(0);
  control_options.departure_delay = DepartureDelay(m_settings);
  control_options.cold_overshoot = m_settings.cold_overshoot;
  control_options.cold_tolerance = m_settings.cold_tolerance;
  control_options.list_delay = ChangeBound(m_settings);
  m_control = std::make_unique<FleetControl>(std::move(control_options));
  m_crash_exchange = std::make_unique<CrashExchange>(m_settings.node);
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
    m_crash_exchange->ShareMark(share, SuspendAwareNow(), WallNow());
  };
  m_executor = std::make_unique<RelayExecutor>(std::move(context));
}

void FleetDaemon::StartFeed() {
  FleetFeed::Hooks hooks;
  hooks.now = SuspendAwareNow;
  hooks.feed = [this](FleetEvent event) { Feed(std::move(event)); };
  hooks.on_configuration = [this](FleetConfiguration configuration) {
    AdoptConfiguration(std::move(configuration));
  };
  hooks.on_crash_marks =
      [this](const std::vector<CrashExchange::Object>& objects) {
        m_crash_marks_known = true;
        ApplyCrashMarks(m_crash_exchange->OnObjects(objects, WallNow()),
                        "platform");
      };
  m_feed = std::make_unique<FleetFeed>(
      m_io, m_store.get(), &m_change_relay, m_settings.seed ^ m_incarnation,
      FleetFeed::Bounds{ChangeBound(m_settings),
                        m_settings.evacuation_notice > milliseconds(0),
                        m_limits.memory.plan.changes},
      std::move(hooks), PeerKeys(m_settings));
  m_feed->Start();
}

FleetDaemon::~FleetDaemon() = default;

// ---------------------------------------------------------------------------
// Events.

void FleetDaemon::Feed(AnyEvent event) { m_queue.Push(std::move(event)); }

void FleetDaemon::HandleEvent(const AnyEvent& event) {
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
  } else if (auto* query = std::get_if<QueryServerStatus>(&action)) {
    QueryStatus(*query);
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
  } else if (auto* restored = std::get_if<StoreEraSeen>(&action)) {
    m_feed->OnEraSeen(restored->era);
    m_crash_exchange->OnStoreRestored(SuspendAwareNow());
  } else if (auto* log = std::get_if<LogDecision>(&action)) {
    LogEvent(log->event, log->fields);
  }
}

void FleetDaemon::AdoptConfiguration(FleetConfiguration configuration) {
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
  const HttpLimits& before = m_server->limits();
  HttpLimits limits = WithFleetLimits(m_limits.callers, shared->limits);
  if (DescribeLimits(limits) != DescribeLimits(before)) {
    LogEvent("caller_limits", DescribeLimits(limits));
  }
  m_server->SetLimits(std::move(limits));
  m_executor->SetRoutes(m_routes);
  Feed(FleetEvent(FleetConfigured{std::move(shared)}));
  LimitIdleConnections();
}

// A server accepts a limited number of connections from all daemons together
// and resets connections above that limit. Half of the limit may be idle
// connections.
void FleetDaemon::LimitIdleConnections() {
  if (m_routes == nullptr) return;
  int limit = kMaxIdleConnections;
  for (const auto& [name, service] : m_routes->configuration().services) {
    if (service.max_connections < 1) continue;
    int share = service.max_connections / (kIdleLimitDivisor * m_live_daemons);
    limit = std::min(limit, std::max(1, share));
  }
  m_backends->SetMaxIdle(static_cast<std::size_t>(limit));
}

BackendHandlers FleetDaemon::MakeLeavingHandlers(const std::string& host,
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

void FleetDaemon::ReportBackoff(const std::string& host,
                                const BackendEnd& end) {
  ServerBusy busy{host, end.BusyFor()};
  if (busy.wait <= milliseconds(0)) return;
  Feed(RequestEvent(busy));
  Feed(FleetEvent(busy));
}

void FleetDaemon::SendOrder(const SendGroupOrder& send) {
  auto body = std::make_shared<std::string>();
  BackendHandlers handlers = MakeLeavingHandlers(send.host, "order");
  handlers.bytes = [body](std::string_view bytes) { body->append(bytes); };
  handlers.end = [this, host = send.host, order = send.order,
                  body](const BackendEnd& end) {
    ReportBackoff(host, end);
    OrderEnded ended{host, order, platform::DecodeOrderAnswer(end), ""};
    ended.detail = fmt::format("{} {}{}", end.status, end.detail,
                               body->substr(0, kMaxLoggedBytes));
    Feed(FleetEvent(std::move(ended)));
  };
  m_backends->Start(
      platform::MakeOrderCall(send.host, send.address, send.order),
      std::move(handlers));
}

void FleetDaemon::QueryStatus(const QueryServerStatus& query) {
  auto body = std::make_shared<std::string>();
  BackendHandlers handlers = MakeLeavingHandlers(query.host, "report");
  handlers.bytes = [body](std::string_view bytes) { body->append(bytes); };
  handlers.end = [this, host = query.host, body](const BackendEnd& end) {
    ReportBackoff(host, end);
    ServerStatusResult answered;
    answered.host = host;
    if (end.result == AttemptResult::kComplete) {
      answered.server = platform::DecodeReport(*body);
    }
    Feed(FleetEvent(std::move(answered)));
  };
  m_backends->Start(platform::MakeReportCall(query.host, query.address),
                    std::move(handlers));
}

void FleetDaemon::ListAllNodes() {
  std::string kind = NodeDirectory::kPrefix;
  kind.pop_back();
  m_store->List(kind, true, [this](const platform::ObjectBatch& b) {
    NodesListed listed;
    listed.complete = b.status == platform::ObjectBatch::Status::kOk;
    listed.era = b.era;
    for (const platform::StoredObject& object : b.objects) {
      listed.nodes.emplace_back(object.name,
                                platform::DecodeOwnValue(object.content));
    }
    Feed(FleetEvent(std::move(listed)));
  });
}

void FleetDaemon::ApplyCrashMarks(const std::vector<QuarantineLearned>& learned,
                                  const char* source) {
  if (learned.empty()) return;
  LogEvent("crashes_learned",
           {{"source", source}, {"marks", std::to_string(learned.size())}});
  for (const QuarantineLearned& entry : learned) Feed(RequestEvent(entry));
}

void FleetDaemon::ShareCrashMarks() {
  auto reply = [this](const ObjectReply& answer) {
    // An answer of an older era doesn't show that the marks are stored.
    if (answer.era && *answer.era < m_control->store_era()) return;
    m_crash_exchange->OnReply(answer, SuspendAwareNow());
  };
  for (const CrashExchange::Action& action : m_crash_exchange->Advance(
           SuspendAwareNow(), WallNow(), m_control->holds_lease())) {
    if (const auto* put = std::get_if<PutObject>(&action)) {
      LogEvent("crashes_shared",
               {{"marks", std::to_string(m_crash_exchange->size())}});
      m_store->Put(*put, reply);
    } else if (const auto* del = std::get_if<DeleteObject>(&action)) {
      m_store->Delete(*del, reply);
    } else {
      std::vector<std::string> daemons = m_control->daemon_addresses();
      LogEvent("crashes_told",
               {{"marks", std::to_string(m_crash_exchange->size())},
                {"daemons", std::to_string(daemons.size())}});
      m_crash_notices.SendNotice(
          daemons, std::get<CrashExchange::NotifyDaemons>(action).text);
    }
  }
}

void FleetDaemon::ScheduleTick() {
  m_tick.expires_after(kTickInterval);
  m_tick.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    RecordTickGap();
    Feed(FleetEvent(
        RequestsCounted{m_server->stats().requests, m_executor->demand()}));
    Feed(FleetEvent(Tick{WallNow()}));
    Feed(RequestEvent(Tick{}));
    m_feed->SetRole(
        {m_control->change_roles(), m_control->is_planner_or_standby()});
    m_feed->Tick();
    m_change_relay.Tick();
    m_executor->CheckSilence();
    ShareCrashMarks();
    AdvanceStop();
    ScheduleTick();
  });
}

void FleetDaemon::RecordTickGap() {
  TimePoint now = SuspendAwareNow();
  TimePoint last = std::exchange(m_last_tick_at, now);
  if (last == TimePoint()) return;
  auto gap = std::chrono::duration_cast<milliseconds>(now - last);
  Metrics::Observe(m_metrics.Find("clementine_tick_gap_ms", ""),
                   static_cast<double>(gap.count()), now);
  if (gap > kMaxTickGap) m_executor->OnProcessPaused(gap - kMaxTickGap);
  if (gap < kLateTickThreshold) return;
  LogEvent("tick_late",
           {{"gap_ms", std::to_string(gap.count())},
            {"holds_lease", m_control->holds_lease() ? "yes" : "no"},
            {"followers", std::to_string(m_change_relay.followers())}});
}

// ---------------------------------------------------------------------------
// Health and metrics.

bool FleetDaemon::IsReady() const {
  // A daemon that does not know the crash marks would send requests that crash
  // servers. Groups are published only when the evacuations are known.
  return m_phase == Phase::kServing && m_routes != nullptr && m_groups_known &&
         m_crash_marks_known;
}

void FleetDaemon::OnHealthRequest(HttpExchange* exchange) {
  HttpHeaders headers = {{"Content-Type", "text/plain"}};
  if (exchange->request().path == "/metrics") {
    exchange->Answer(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                     RenderMetrics());
  } else if (exchange->request().path == "/readyz") {
    bool ready = IsReady();
    exchange->Answer(ready ? 200 : 503, headers, ready ? "ready\n" : "no\n");
  } else {
    exchange->Answer(404, headers, "no such page\n");
  }
}

std::string FleetDaemon::RenderMetrics() {
  SetCommonMetrics(m_request_path->stats(), m_server->stats(),
                   m_backends->stats(), &m_metrics);
  SetListenerMetrics("callers", m_server->stats(), &m_metrics);
  if (m_health) SetListenerMetrics("health", m_health->stats(), &m_metrics);
  if (m_peer_server) {
    SetListenerMetrics("peers", m_peer_server->stats(), &m_metrics);
  }
  m_metrics.SetTotal("clementine_platform_calls_total", "", m_store->calls());
  m_metrics.SetTotal("clementine_platform_answers_dropped_total", "",
                     m_store->dropped_answers());
  m_metrics.SetTotal("clementine_platform_answers_invalid_total", "",
                     m_store->invalid_answers());
  m_metrics.Set("clementine_held_bytes", "from=\"platform\"",
                static_cast<double>(m_store->held_bytes()));
  m_metrics.Set("clementine_cold_groups", "",
                static_cast<double>(m_control->cold_groups()));
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
  m_metrics.Set("clementine_store_era", "",
                static_cast<double>(m_control->store_era()));
  m_metrics.Set("clementine_holds_lease", "", m_control->holds_lease() ? 1 : 0);
  m_metrics.Set("clementine_live_daemons", "", m_control->live_nodes());
  m_metrics.Set(
      "clementine_generation", "",
      m_routes ? static_cast<double>(m_routes->configuration().version) : 0.0);
  return m_metrics.Render();
}

void FleetDaemon::SetControlMetrics() {
  std::map<std::string, Evacuation::Phase> evacuations =
      m_control->evacuations();
  // A data centre that is no longer evacuated keeps its series with value 0.
  for (const auto& [name, phase] : evacuations) {
    m_evacuated_names.insert(name);
  }
  for (const std::string& name : m_evacuated_names) {
    auto found = evacuations.find(name);
    std::string label = fmt::format("data_centre=\"{}\"", name);
    bool active =
        found != evacuations.end() && found->second != Evacuation::Phase::kNone;
    bool left = active && found->second == Evacuation::Phase::kLeft;
    m_metrics.Set("clementine_evacuation", label, active ? 1 : 0);
    m_metrics.Set("clementine_evacuation_left", label, left ? 1 : 0);
  }
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
                     m_change_relay.sent_bytes());
  m_metrics.Set("clementine_change_followers", "",
                static_cast<double>(m_change_relay.followers()));
  if (std::optional<milliseconds> age = m_feed->Age()) {
    m_metrics.Set("clementine_change_age_ms", "",
                  static_cast<double>(age->count()));
  }
  for (const auto& [reason, count] : m_feed->dropped_sources()) {
    m_metrics.SetTotal("clementine_change_sources_left_total",
                       fmt::format("reason=\"{}\"", reason), count);
  }
}

// ---------------------------------------------------------------------------
// Stopping.

void FleetDaemon::Stop() {
  if (m_phase != Phase::kServing) return;
  m_phase = Phase::kUnready;
  m_stop_started_at = SuspendAwareNow();
  LogEvent("stopping",
           {{"unfinished", std::to_string(m_executor->unfinished())},
            {"drain_wait_ms", std::to_string(m_settings.drain_wait.count())}});
  m_server->StartDraining();
  Feed(FleetEvent(DrainStarted{}));
}

void FleetDaemon::AdvanceStop() {
  if (m_phase == Phase::kServing) return;
  auto elapsed = SuspendAwareNow() - m_stop_started_at;
  if (m_phase == Phase::kUnready && elapsed >= m_settings.drain_wait) {
    m_phase = Phase::kFinishing;
    m_executor->RefuseNewRequests();
    m_server->Stop();
  }
  if (m_phase != Phase::kFinishing && m_phase != Phase::kReleasing) return;
  if (elapsed >= m_settings.stop_limit) Feed(RequestEvent(RequestsStopped{}));
  bool finished =
      m_executor->unfinished() == 0 && m_server->stats().exchanges == 0;
  if (m_phase == Phase::kFinishing && finished) m_phase = Phase::kReleasing;
  bool over = elapsed >= m_settings.stop_limit + kLeaseReleaseTimeout;
  if ((m_phase == Phase::kReleasing && !m_control->holds_lease()) ||
      (finished && elapsed >= m_settings.drain_wait + kLeaseReleaseTimeout) ||
      over) {
    LogEvent("stopped", {});
    m_io->stop();
  }
}

}  // namespace clementine
