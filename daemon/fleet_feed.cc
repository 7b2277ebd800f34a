// A daemon that reads the platform has a watch of each kind under way all the
// time. A watch waits for a part of the bound only, so that the time up to
// which all changes are known is never old while the platform can be reached. A
// pause after each answer lets changes that come together be read together.

#include "daemon/fleet_feed.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "core/doubled_pause.h"

namespace clementine {
namespace {

/// Part of the bound that changes may wait for each other, on daemons on which
/// no other daemon relies.
constexpr int kPauseParts = 4;
constexpr milliseconds kConfigurationPause{20};
constexpr milliseconds kFirstBackoff{150};
constexpr milliseconds kLongestBackoff{1'000};
/// Entries of servers outlive an outage of this length.
constexpr milliseconds kOutage{2'000};

}  // namespace

FleetFeed::FleetFeed(boost::asio::io_context* io, platform::ObjectStore* store,
                     ChangeRelay* relay, std::uint64_t seed, milliseconds bound,
                     Hooks hooks, ChangeKeys keys)
    : m_store(store),
      m_relay(relay),
      m_bound(bound),
      m_hooks(std::move(hooks)),
      m_follower(bound, seed),
      m_peers(io, m_follower.times().silence_timeout,
              {m_hooks.now,
               [this](const std::string& peer, const ChangeUpdate& update,
                      TimePoint as_of) { OnPeer(peer, update, as_of); },
               [this](const std::string& peer, const std::string& detail) {
                 OnPeerLost(peer, detail);
               }},
              std::move(keys)),
      m_jitter(seed),
      m_servers(io),
      m_configuration(io),
      m_crashes(io) {
  SetHandlers();
  m_follower.SetRoles(m_role.roles, WatchWait(ChangeKind::kServers));
}

FleetFeed::Loop& FleetFeed::LoopOf(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kServers:
      return m_servers;
    case ChangeKind::kConfiguration:
      return m_configuration;
    case ChangeKind::kCrashes:
      break;
  }
  return m_crashes;
}

void FleetFeed::SetHandlers() {
  m_servers.kind = ChangeKind::kServers;
  m_servers.objects = platform::kServerKind;
  m_servers.listed_all = [this](const platform::ObjectBatch& batch) {
    ServersListed listed;
    for (const platform::StoredObject& object : batch.objects) {
      auto server = platform::DecodeServer(object.name, object.content);
      if (server) listed.servers.push_back(std::move(*server));
    }
    m_hooks.feed(std::move(listed));
  };
  m_servers.changed = [this](const platform::ObjectBatch& batch) {
    ServersChanged changed;
    for (const platform::StoredObject& object : batch.objects) {
      ServerList::Change change;
      change.id = object.name;
      if (!object.deleted) {
        change.server = platform::DecodeServer(object.name, object.content);
      }
      changed.changes.push_back(std::move(change));
    }
    m_hooks.feed(std::move(changed));
  };
  m_configuration.kind = ChangeKind::kConfiguration;
  m_configuration.objects = platform::kConfigurationKind;
  m_configuration.changed = [this](const platform::ObjectBatch& batch) {
    TakeConfiguration(/*whole=*/false, batch);
  };
  m_configuration.listed_all = [this](const platform::ObjectBatch& batch) {
    TakeConfiguration(/*whole=*/true, batch);
  };
  m_crashes.kind = ChangeKind::kCrashes;
  m_crashes.objects = CrashExchange::kKind;
  m_crashes.changed = [this](const platform::ObjectBatch& batch) {
    TakeCrashes(batch);
  };
  m_crashes.listed_all = m_crashes.changed;
}

FleetFeed::~FleetFeed() { *m_alive = false; }

void FleetFeed::Start() {
  Next(&m_configuration);
  Next(&m_servers);
  Next(&m_crashes);
}

void FleetFeed::SetRole(const Role& role) {
  if (role == m_role) return;
  m_role = role;
  m_follower.SetRoles(role.roles, WatchWait(ChangeKind::kServers));
  if (!role.roles.reads_platform) return;
  for (Loop* loop : {&m_servers, &m_configuration, &m_crashes}) {
    if (!loop->running) Next(loop);
  }
}

void FleetFeed::Tick() {
  for (const ChangeFollower::Action& action :
       m_follower.Advance(m_hooks.now())) {
    if (const auto* open = std::get_if<ChangeFollower::Subscribe>(&action)) {
      LogEvent("change_source", {{"from", open->peer}});
      m_peers.Subscribe(
          open->peer,
          {m_servers.revision, m_configuration.revision, m_crashes.revision});
    } else if (const auto* end =
                   std::get_if<ChangeFollower::Unsubscribe>(&action)) {
      LogEvent("change_source_left",
               {{"from", end->peer}, {"reason", end->reason}});
      ++m_sources_left[end->reason];
      m_peers.Unsubscribe(end->peer);
    } else {
      const auto& ask = std::get<ChangeFollower::QueryPlatform>(action);
      if (ask.fresh) m_store->CloseIdleConnections();
      Ask(&LoopOf(ask.kind));
    }
  }
  RepairConfiguration();
  NoteOutdated();
}

std::optional<milliseconds> FleetFeed::Age() const {
  TimePoint::duration age = m_follower.Age(m_hooks.now());
  if (age == TimePoint::duration::max()) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(age);
}

// ---------------------------------------------------------------------------
// The platform.

// Others that rely on this daemon have to see that it's current.
milliseconds FleetFeed::WatchWait(ChangeKind kind) const {
  const FollowerTimings& times = m_follower.times();
  milliseconds slack =
      kind == ChangeKind::kCrashes ? times.crash_mark_slack : milliseconds(0);
  return slack + (m_role.roles.is_source ? times.watch_duration : m_bound);
}

void FleetFeed::Read(
    Loop* loop, milliseconds wait,
    std::function<void(platform::ObjectBatch::Status, bool empty)> answered) {
  bool list = !loop->listed || loop->history_gone;
  if (list) wait = milliseconds(0);
  auto done = [this, loop, list, sent = m_hooks.now(), wait,
               answered = std::move(answered),
               alive = m_alive](const platform::ObjectBatch& batch) {
    if (!*alive) return;
    Take(loop, list, sent, wait, batch);
    answered(batch.status, batch.objects.empty());
  };
  if (list) {
    // An older list of marks is as good as a new one and costs less, as the
    // watch goes on from its revision.
    bool stale = loop->kind == ChangeKind::kCrashes && !loop->listed;
    m_store->List(loop->objects, stale, std::move(done));
  } else {
    m_store->Watch(loop->objects, loop->revision, wait, std::move(done));
  }
}

void FleetFeed::Take(Loop* loop, bool list, TimePoint sent, milliseconds wait,
                     const platform::ObjectBatch& batch) {
  using Status = platform::ObjectBatch::Status;
  NoteReachable(loop, batch.status != Status::kFailed);
  if (batch.status == Status::kFailed) {
    Failed(loop);
    return;
  }
  loop->failures = 0;
  loop->history_gone =
      batch.status == Status::kHistoryGone || (loop->history_gone && !list);
  if (batch.status == Status::kHistoryGone) {
    LogEvent("platform_history_gone", {{"kind", loop->objects}});
    return;
  }
  loop->listed = true;
  // An answer with changes may have been made as soon as it was asked for.
  TimePoint waited = sent + wait;
  bool ended = batch.objects.empty() && m_hooks.now() >= waited;
  TimePoint as_of = ended ? waited : sent;
  m_follower.OnPlatformAnswer(loop->kind, as_of);
  // The platform tells a configuration whole, whatever has changed in it.
  bool whole = list || (loop->kind == ChangeKind::kConfiguration &&
                        !batch.objects.empty() && !batch.objects[0].deleted);
  Learn(loop, whole, batch, as_of, "");
}

// Reads the platform all the time, if that's this daemon's role.
void FleetFeed::Next(Loop* loop) {
  using Status = platform::ObjectBatch::Status;
  loop->running =
      !loop->listed || loop->history_gone || m_role.roles.reads_platform;
  if (!loop->running) return;
  Read(loop, WatchWait(loop->kind), [this, loop](Status status, bool empty) {
    if (status == Status::kHistoryGone) {
      Next(loop);
    } else if (status == Status::kFailed) {
      milliseconds longest = ExponentialBackoff(kFirstBackoff, kLongestBackoff,
                                                loop->failures - 1);
      Later(loop, m_jitter.Between(longest / 2, longest));
    } else {
      Later(loop, Pause(*loop, empty));
    }
  });
}

milliseconds FleetFeed::Pause(const Loop& loop, bool empty) const {
  if (loop.kind == ChangeKind::kConfiguration || empty) {
    return kConfigurationPause;
  }
  milliseconds batch_window = m_follower.times().batch_window;
  bool prompt = m_role.prompt || m_role.roles.is_source;
  return prompt ? batch_window : std::max(batch_window, m_bound / kPauseParts);
}

// Asks the platform once for what it knows now.
void FleetFeed::Ask(Loop* loop) {
  if (!loop->listed) return;
  LogEvent("change_asked", {{"kind", loop->objects},
                            {"revision", std::to_string(loop->revision)}});
  Read(loop, milliseconds(0),
       [this, loop](platform::ObjectBatch::Status status, bool /*empty*/) {
         // A watch that is under way may hang, so the list doesn't wait for it.
         if (status == platform::ObjectBatch::Status::kHistoryGone) Ask(loop);
       });
}

void FleetFeed::Failed(Loop* loop) {
  m_follower.OnPlatformFailure();
  TimePoint now = m_hooks.now();
  if (loop->failures == 0) loop->failed_since = now;
  ++loop->failures;
  bool reads = m_role.roles.reads_platform || !loop->listed;
  if (!reads || loop->kind != ChangeKind::kServers) return;
  // Other daemons may keep this one current meanwhile.
  TimePoint current =
      m_follower.CurrentAsOf(ChangeKind::kServers).value_or(TimePoint());
  if (now - current > m_follower.times().hedge_age) {
    m_hooks.feed(ServerListUnavailable{std::max(current, loop->failed_since)});
  }
}

void FleetFeed::NoteReachable(Loop* loop, bool reached) {
  if (reached == loop->reachable) return;
  loop->reachable = reached;
  LogEvent(
      reached ? "platform_regained" : "platform_lost",
      {{"kind", loop->objects}, {"revision", std::to_string(loop->revision)}});
}

// Entries may lapse while the platform is away. A follower sees that nobody
// knows anything new.
void FleetFeed::NoteOutdated() {
  std::optional<TimePoint> current =
      m_follower.CurrentAsOf(ChangeKind::kServers);
  if (!current || m_servers.outdated || m_role.roles.reads_platform ||
      m_hooks.now() - *current <= kOutage) {
    return;
  }
  m_servers.outdated = true;
  LogEvent("changes_outdated",
           {{"revision", std::to_string(m_servers.revision)}});
  m_hooks.feed(ServerListUnavailable{*current});
}

// ---------------------------------------------------------------------------
// Other daemons.

void FleetFeed::OnPeer(const std::string& peer, const ChangeUpdate& update,
                       TimePoint as_of) {
  Loop* loop = &LoopOf(update.kind);
  m_follower.OnPeerUpdate(peer, update.kind, as_of, m_hooks.now());
  if (!loop->listed) return;
  platform::ObjectBatch batch;
  batch.status = platform::ObjectBatch::Status::kOk;
  batch.revision = update.delta.revision;
  batch.objects = update.delta.objects;
  Learn(loop, update.delta.whole, batch, as_of, peer);
}

void FleetFeed::OnPeerLost(const std::string& peer, const std::string& detail) {
  LogEvent("change_source_left", {{"from", peer}, {"reason", detail}});
  m_follower.OnPeerEnded(peer, m_hooks.now());
  ++m_sources_left["lost"];
}

// ---------------------------------------------------------------------------
// What was learned.

// Sources overtake each other, so what one tells may be older than what is
// known. Each tells the state that objects have at its revision, never a state
// in between, so a newer revision can be taken whole.
void FleetFeed::Learn(Loop* loop, bool whole,
                      const platform::ObjectBatch& batch, TimePoint as_of,
                      const std::string& source) {
  bool newer = batch.revision > loop->revision;
  bool fresh = m_hooks.now() - as_of <= kOutage;
  platform::ObjectBatch known;
  known.status = batch.status;
  known.revision = std::max(loop->revision, batch.revision);
  if (newer) known.objects = batch.objects;
  loop->revision = known.revision;
  if (whole && newer) {
    m_relay->Replaced(loop->kind, known, as_of);
    loop->listed_all(known);
  } else {
    m_relay->Changed(loop->kind, known, as_of);
    // An answer without changes tells the list that it's current again.
    bool regained = loop->outdated && fresh;
    if (!known.objects.empty() || regained || source.empty()) {
      loop->changed(known);
    }
  }
  if (fresh) loop->outdated = false;
}

void FleetFeed::Later(Loop* loop, milliseconds delay) {
  loop->timer.expires_after(delay);
  loop->timer.async_wait(
      [this, loop, alive = m_alive](const boost::system::error_code& error) {
        if (!error && *alive) Next(loop);
      });
}

void FleetFeed::TakeConfiguration(bool whole,
                                  const platform::ObjectBatch& batch) {
  if (batch.objects.empty()) return;
  m_parts.Take(whole, batch.objects);
  try {
    std::optional<FleetConfiguration> configuration = m_parts.Assemble();
    m_incomplete = !configuration;
    if (!configuration || configuration->version <= m_version) return;
    m_version = configuration->version;
    m_hooks.configured(std::move(*configuration));
  } catch (const std::runtime_error& error) {
    LogEvent("configuration_rejected",
             {{"revision", std::to_string(batch.revision)},
              {"error", error.what()},
              {"kept", std::to_string(m_version)}});
  }
}

void FleetFeed::TakeCrashes(const platform::ObjectBatch& batch) {
  std::vector<CrashExchange::Object> objects;
  for (const platform::StoredObject& object : batch.objects) {
    objects.push_back({object.name, object.revision,
                       platform::DecodeOwnValue(object.content),
                       object.deleted});
  }
  m_hooks.crashes(std::move(objects));
}

// Sources told parts that don't belong together. The platform tells all, also
// if the revision is one that seemed to be known.
void FleetFeed::RepairConfiguration() {
  TimePoint now = m_hooks.now();
  if (!m_incomplete || now < m_next_repair) return;
  m_next_repair = now + kLongestBackoff;
  LogEvent("configuration_incomplete",
           {{"revision", std::to_string(m_configuration.revision)},
            {"kept", std::to_string(m_version)}});
  m_configuration.history_gone = true;
  m_configuration.revision = 0;
  Ask(&m_configuration);
}

}  // namespace clementine
