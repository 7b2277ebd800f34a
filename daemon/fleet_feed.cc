// A daemon that reads the platform always has one watch of each kind in
// progress. A watch waits for less than the bound, which keeps the age of the
// known changes low while the platform is reachable. After each answer the
// daemon pauses, to read changes that are made in quick succession with one
// call.

#include "daemon/fleet_feed.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "core/exponential_backoff.h"
#include "fmt/format.h"

namespace clementine {
namespace {

/// The bound divided by this is the pause after an answer with changes, on
/// daemons on which no other daemon depends.
constexpr int kPausesPerBound = 4;
constexpr milliseconds kConfigurationPause{20};
constexpr milliseconds kInitialBackoff{150};
constexpr milliseconds kMaxBackoff{1'000};
/// Entries of servers stay valid during an outage of this duration.
constexpr milliseconds kToleratedOutage{2'000};
/// After a restore, daemons that don't read the platform list it themselves
/// after a random part of the bound divided by this. Their sources send the new
/// state earlier in most cases.
constexpr int kRelistsPerBound = 4;

std::string FormatAge(const std::optional<milliseconds>& age) {
  return age ? std::to_string(age->count()) : "-";
}

/// @return For each source its address and "idle", "opening", "open" with the
///     age of its data, or "avoided" with the time left, the reason and the
///     number of failures; times in ms.
std::string FormatSources(
    const std::vector<ChangeFollower::PeerStatus>& statuses) {
  std::string text;
  for (const ChangeFollower::PeerStatus& status : statuses) {
    if (!text.empty()) text += ",";
    text += status.peer + "=";
    if (status.subscribed) {
      text += status.data_age ? fmt::format("open/{}", status.data_age->count())
                              : "opening";
    } else if (status.avoided_for > milliseconds(0)) {
      text += fmt::format("avoided/{}/{}/{}", status.avoided_for.count(),
                          status.reason, status.failures);
    } else {
      text += "idle";
    }
  }
  return text.empty() ? "-" : text;
}

}  // namespace

FleetFeed::FleetFeed(boost::asio::io_context* io, platform::ObjectStore* store,
                     ChangeRelay* relay, std::uint64_t seed, Bounds bounds,
                     Hooks hooks, ChangeKeys keys)
    : m_store(store),
      m_relay(relay),
      m_bound(bounds.change),
      m_follow_evacuations(bounds.follow_evacuations),
      m_hooks(std::move(hooks)),
      m_follower(bounds.change, seed),
      m_peers(io, m_follower.times().silence_timeout,
              {m_hooks.now,
               [this](const std::string& peer, const ChangeUpdate& update,
                      TimePoint as_of) { OnPeerUpdate(peer, update, as_of); },
               [this](const std::string& peer, const std::string& detail) {
                 OnPeerEnded(peer, detail);
               }},
              std::move(keys), bounds.max_frame_bytes),
      m_jitter(seed),
      m_servers(io),
      m_configuration(io),
      m_crashes(io),
      m_evacuations(io) {
  SetHandlers();
  m_follower.SetRoles(m_role.roles, WatchDuration(ChangeKind::kServers));
}

FleetFeed::KindState& FleetFeed::StateOf(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kServers:
      return m_servers;
    case ChangeKind::kConfiguration:
      return m_configuration;
    case ChangeKind::kCrashes:
      return m_crashes;
    case ChangeKind::kEvacuations:
      break;
  }
  return m_evacuations;
}

void FleetFeed::SetHandlers() {
  m_servers.kind = ChangeKind::kServers;
  m_servers.object_kind = platform::kServerKind;
  m_servers.on_list = [this](const platform::ObjectBatch& batch) {
    ServersListed listed;
    for (const platform::StoredObject& object : batch.objects) {
      auto server = platform::DecodeServer(object.name, object.content);
      if (server) listed.servers.push_back(std::move(*server));
    }
    m_hooks.feed(std::move(listed));
  };
  m_servers.on_changes = [this](const platform::ObjectBatch& batch) {
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
  m_configuration.object_kind = platform::kConfigurationKind;
  m_configuration.on_changes = [this](const platform::ObjectBatch& batch) {
    ApplyConfiguration(/*whole=*/false, batch);
  };
  m_configuration.on_list = [this](const platform::ObjectBatch& batch) {
    ApplyConfiguration(/*whole=*/true, batch);
  };
  m_crashes.kind = ChangeKind::kCrashes;
  m_crashes.object_kind = CrashExchange::kKind;
  m_crashes.on_changes = [this](const platform::ObjectBatch& batch) {
    ApplyCrashMarks(batch);
  };
  m_crashes.on_list = m_crashes.on_changes;
  m_evacuations.kind = ChangeKind::kEvacuations;
  m_evacuations.object_kind = platform::kEvacuationKind;
  m_evacuations.on_list = [this](const platform::ObjectBatch& batch) {
    ApplyEvacuations(/*whole=*/true, batch);
  };
  m_evacuations.on_changes = [this](const platform::ObjectBatch& batch) {
    ApplyEvacuations(/*whole=*/false, batch);
  };
}

FleetFeed::~FleetFeed() { *m_alive = false; }

void FleetFeed::Start() {
  ContinueReading(&m_configuration);
  ContinueReading(&m_servers);
  ContinueReading(&m_crashes);
  if (m_follow_evacuations) ContinueReading(&m_evacuations);
}

std::vector<FleetFeed::KindState*> FleetFeed::FollowedKinds() {
  std::vector<KindState*> kinds = {&m_servers, &m_configuration, &m_crashes};
  if (m_follow_evacuations) kinds.push_back(&m_evacuations);
  return kinds;
}

void FleetFeed::SetRole(const Role& role) {
  if (role == m_role) return;
  m_role = role;
  m_follower.SetRoles(role.roles, WatchDuration(ChangeKind::kServers));
  if (!role.roles.reads_platform) return;
  for (KindState* state : FollowedKinds()) {
    if (!state->running) ContinueReading(state);
  }
}

void FleetFeed::Tick() {
  for (const ChangeFollower::Action& action :
       m_follower.Advance(m_hooks.now())) {
    if (const auto* open = std::get_if<ChangeFollower::Subscribe>(&action)) {
      LogEvent("change_source",
               {{"from", open->peer}, {"age_ms", FormatAge(Age())}});
      m_peers.Subscribe(
          open->peer,
          {m_servers.revision, m_configuration.revision, m_crashes.revision,
           m_follow_evacuations ? m_evacuations.revision : kKindNotRequested},
          {m_servers.era, m_configuration.era, m_crashes.era,
           m_evacuations.era});
    } else if (const auto* end =
                   std::get_if<ChangeFollower::Unsubscribe>(&action)) {
      LogEvent("change_source_left", {{"from", end->peer},
                                      {"reason", end->reason},
                                      {"age_ms", FormatAge(Age())}});
      ++m_dropped_sources[end->reason];
      m_peers.Unsubscribe(end->peer);
    } else {
      const auto& query = std::get<ChangeFollower::QueryPlatform>(action);
      if (query.fresh) m_store->CloseIdleConnections();
      Poll(&StateOf(query.kind));
    }
  }
  ListAfterRestore();
  EndHeldEvacuations();
  RereadIncompleteConfiguration();
  ReportOutdated();
  LogOldChanges();
}

void FleetFeed::LogOldChanges() {
  TimePoint now = m_hooks.now();
  std::optional<milliseconds> age = Age();
  if (!age) return;
  if (!m_follower.IsOutdated(now)) {
    if (std::exchange(m_changes_old, false)) {
      LogEvent("changes_current",
               {{"longest_age_ms", std::to_string(m_max_age.count())}});
    }
    m_max_age = milliseconds(0);
    return;
  }
  m_max_age = std::max(m_max_age, *age);
  if (m_changes_old && now < m_next_old_log_at) return;
  m_changes_old = true;
  m_next_old_log_at = now + m_bound;
  std::string ages;
  for (const KindState* state : FollowedKinds()) {
    auto as_of = m_follower.CurrentAsOf(state->kind);
    if (!as_of) continue;
    auto kind_age = std::chrono::duration_cast<milliseconds>(now - *as_of);
    ages += fmt::format("{}{}={}", ages.empty() ? "" : ",", state->object_kind,
                        kind_age.count());
  }
  LogEvent("changes_old",
           {{"age_ms", std::to_string(age->count())},
            {"ages_ms", ages},
            {"platform_failures", std::to_string(m_configuration.failures)},
            {"sources", FormatSources(m_follower.PeerStatuses(now))}});
}

// ---------------------------------------------------------------------------
// Eras of the store.

bool FleetFeed::ObserveEra(std::optional<std::uint64_t> era) {
  switch (m_era.Observe(era)) {
    case StoreEra::Verdict::kCurrent:
      return true;
    case StoreEra::Verdict::kOlder:
      if (m_era.ShouldLogOlder(*era)) {
        LogEvent("store_era_older",
                 {{"era", std::to_string(*era)},
                  {"highest", std::to_string(m_era.highest())}});
      }
      return false;
    case StoreEra::Verdict::kFirst:
      break;
    case StoreEra::Verdict::kRestored:
      OnStoreRestored();
      break;
  }
  m_hooks.feed(StoreEraSeen{m_era.highest()});
  return true;
}

void FleetFeed::OnStoreRestored() {
  TimePoint now = m_hooks.now();
  m_restored = true;
  for (KindState* state : FollowedKinds()) state->history_gone = state->listed;
  bool reads = m_role.roles.reads_platform;
  m_next_relist_at = reads ? now
                           : now + m_jitter.Between(milliseconds(0),
                                                    m_bound / kRelistsPerBound);
  m_held_evacuations.merge(std::set<std::string>(m_evacuated_data_centres));
  m_hold_until = now + kRewriteDuration;
}

// A watch that is in progress may hang; therefore the list doesn't wait for it.
void FleetFeed::ListAfterRestore() {
  TimePoint now = m_hooks.now();
  if (!m_restored || now < m_next_relist_at) return;
  m_next_relist_at = now + kMaxBackoff;
  for (KindState* state : FollowedKinds()) {
    if (state->era < m_era.highest()) Poll(state);
  }
}

std::uint64_t FleetFeed::EraOf(const ChangeDelta& delta) const {
  bool unknown = delta.era == 0 && !m_restored;
  return unknown ? m_era.highest() : delta.era;
}

std::optional<milliseconds> FleetFeed::Age() const {
  TimePoint::duration age = m_follower.Age(m_hooks.now());
  if (age == TimePoint::duration::max()) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(age);
}

// ---------------------------------------------------------------------------
// The platform.

// Daemons that depend on this one need to see regularly that it is current;
// therefore the watches of a source are shorter.
milliseconds FleetFeed::WatchDuration(ChangeKind kind) const {
  const FollowerTimings& times = m_follower.times();
  milliseconds slack =
      kind == ChangeKind::kCrashes ? times.crash_mark_slack : milliseconds(0);
  return slack + (m_role.roles.is_source ? times.watch_duration : m_bound);
}

void FleetFeed::ReadPlatform(
    KindState* state, milliseconds wait,
    std::function<void(platform::ObjectBatch::Status, bool empty)> on_answer) {
  bool list = !state->listed || state->history_gone;
  if (list) wait = milliseconds(0);
  auto done = [this, state, list, sent = m_hooks.now(), wait,
               on_answer = std::move(on_answer),
               alive = m_alive](const platform::ObjectBatch& batch) {
    if (!*alive) return;
    auto status = OnPlatformAnswer(state, list, sent, wait, batch);
    on_answer(status, batch.objects.empty());
  };
  if (list) {
    // A stale list of crash marks suffices and costs less, because the watch
    // continues from the revision of the list.
    bool stale = state->kind == ChangeKind::kCrashes && !state->listed;
    m_store->List(state->object_kind, stale, std::move(done));
  } else {
    m_store->Watch(state->object_kind, state->revision, wait, std::move(done));
  }
}

platform::ObjectBatch::Status FleetFeed::OnPlatformAnswer(
    KindState* state, bool list, TimePoint sent, milliseconds wait,
    const platform::ObjectBatch& batch) {
  using Status = platform::ObjectBatch::Status;
  bool answered = batch.status != Status::kFailed || batch.era.has_value();
  bool usable = !answered || ObserveEra(batch.era);
  SetReachable(state, batch.status != Status::kFailed);
  if (batch.status == Status::kFailed) {
    OnPlatformFailure(state);
    return Status::kFailed;
  }
  state->failures = 0;
  if (!usable) return Status::kFailed;
  if (!list && state->era != m_era.highest()) {
    // The watch began at a revision of an earlier era.
    state->history_gone = true;
    return Status::kHistoryGone;
  }
  state->history_gone =
      batch.status == Status::kHistoryGone || (state->history_gone && !list);
  if (batch.status == Status::kHistoryGone) {
    LogEvent("platform_history_gone", {{"kind", state->object_kind}});
    return Status::kHistoryGone;
  }
  state->listed = true;
  // The platform may have produced an answer with changes immediately after the
  // request; it proves nothing about the time after that.
  TimePoint waited = sent + wait;
  bool ended = batch.objects.empty() && m_hooks.now() >= waited;
  TimePoint as_of = ended ? waited : sent;
  m_follower.OnPlatformAnswer(state->kind, as_of);
  // A watch of the configuration returns all of its parts if any of them has
  // changed.
  bool whole = list || (state->kind == ChangeKind::kConfiguration &&
                        !batch.objects.empty() && !batch.objects[0].deleted);
  platform::ObjectBatch current = batch;
  current.era = m_era.highest();
  ApplyUpdate(state, whole, current, as_of, "");
  return Status::kOk;
}

// Starts the next list or watch if one is needed: before the first list, after
// a lost history, or if this daemon's role is to read the platform.
void FleetFeed::ContinueReading(KindState* state) {
  using Status = platform::ObjectBatch::Status;
  state->running =
      !state->listed || state->history_gone || m_role.roles.reads_platform;
  if (!state->running) return;
  ReadPlatform(state, WatchDuration(state->kind),
               [this, state](Status status, bool empty) {
                 if (status == Status::kHistoryGone) {
                   ContinueReading(state);
                 } else if (status == Status::kFailed) {
                   milliseconds longest = ExponentialBackoff(
                       kInitialBackoff, kMaxBackoff, state->failures - 1);
                   ScheduleRead(state, m_jitter.Between(longest / 2, longest));
                 } else {
                   ScheduleRead(state, ReadPause(*state, empty));
                 }
               });
}

milliseconds FleetFeed::ReadPause(const KindState& state, bool empty) const {
  if (state.kind == ChangeKind::kConfiguration || empty) {
    return kConfigurationPause;
  }
  milliseconds batch_window = m_follower.times().batch_window;
  bool prompt = m_role.prompt || m_role.roles.is_source;
  return prompt ? batch_window
                : std::max(batch_window, m_bound / kPausesPerBound);
}

// Sends one query that the platform answers immediately.
void FleetFeed::Poll(KindState* state) {
  if (!state->listed) return;
  LogEvent("change_asked", {{"kind", state->object_kind},
                            {"revision", std::to_string(state->revision)}});
  ReadPlatform(
      state, milliseconds(0),
      [this, state](platform::ObjectBatch::Status status, bool /*empty*/) {
        // The list does not wait for the current watch, which may hang.
        if (status == platform::ObjectBatch::Status::kHistoryGone) Poll(state);
      });
}

void FleetFeed::OnPlatformFailure(KindState* state) {
  m_follower.OnPlatformFailure();
  TimePoint now = m_hooks.now();
  if (state->failures == 0) state->failed_since = now;
  ++state->failures;
  bool reads = m_role.roles.reads_platform || !state->listed;
  if (!reads || state->kind != ChangeKind::kServers) return;
  // Updates of other daemons may have kept this daemon current.
  TimePoint current =
      m_follower.CurrentAsOf(ChangeKind::kServers).value_or(TimePoint());
  if (now - current > m_follower.times().hedge_age) {
    m_hooks.feed(ServerListUnavailable{std::max(current, state->failed_since)});
  }
}

void FleetFeed::SetReachable(KindState* state, bool reached) {
  if (reached == state->reachable) return;
  state->reachable = reached;
  LogEvent(reached ? "platform_regained" : "platform_lost",
           {{"kind", state->object_kind},
            {"revision", std::to_string(state->revision)}});
}

// Entries of servers may lapse while the platform is unreachable. A daemon that
// does not read the platform detects this by the age of its sources' updates.
void FleetFeed::ReportOutdated() {
  std::optional<TimePoint> current =
      m_follower.CurrentAsOf(ChangeKind::kServers);
  if (!current || m_servers.outdated || m_role.roles.reads_platform ||
      m_hooks.now() - *current <= kToleratedOutage) {
    return;
  }
  m_servers.outdated = true;
  LogEvent("changes_outdated",
           {{"revision", std::to_string(m_servers.revision)}});
  m_hooks.feed(ServerListUnavailable{*current});
}

// ---------------------------------------------------------------------------
// Other daemons.

void FleetFeed::OnPeerUpdate(const std::string& peer,
                             const ChangeUpdate& update, TimePoint as_of) {
  KindState* state = &StateOf(update.kind);
  // Other daemons may see the restore of the store first.
  bool stated = update.delta.era > 0;
  if (stated && m_era.highest() < update.delta.era) {
    ObserveEra(update.delta.era);
  }
  std::uint64_t era = EraOf(update.delta);
  bool comparable = state->listed && (era == state->era ||
                                      (era > state->era && update.delta.whole));
  if (state->listed && !comparable) {
    m_follower.OnPeerHeartbeat(peer, m_hooks.now());
    return;
  }
  m_follower.OnPeerUpdate(peer, update.kind, as_of, m_hooks.now());
  if (!state->listed) return;
  if (era > state->era) state->history_gone = false;
  platform::ObjectBatch batch;
  batch.status = platform::ObjectBatch::Status::kOk;
  batch.era = era;
  batch.revision = update.delta.revision;
  batch.objects = update.delta.objects;
  ApplyUpdate(state, update.delta.whole, batch, as_of, peer);
}

void FleetFeed::OnPeerEnded(const std::string& peer,
                            const std::string& detail) {
  LogEvent("change_source_left",
           {{"from", peer}, {"reason", detail}, {"age_ms", FormatAge(Age())}});
  m_follower.OnPeerEnded(peer, m_hooks.now());
  ++m_dropped_sources["lost"];
}

// ---------------------------------------------------------------------------
// Updates from the platform and from other daemons.

// Updates of different sources arrive in any order; an update may be older than
// the known state. Each update holds the state of its objects exactly at its
// revision. An update with a newer revision is therefore applied in full, and
// one with an older revision only advances the time up to which all changes are
// known.
void FleetFeed::ApplyUpdate(KindState* state, bool whole,
                            const platform::ObjectBatch& batch, TimePoint as_of,
                            const std::string& source) {
  std::uint64_t era = batch.era.value_or(state->era);
  bool newer = IsNewerState(era, batch.revision, state->era, state->revision);
  bool first_of_era = era > state->era;
  bool fresh = m_hooks.now() - as_of <= kToleratedOutage;
  platform::ObjectBatch known;
  known.status = batch.status;
  known.era = std::max(state->era, era);
  known.revision = newer ? batch.revision : state->revision;
  if (newer) known.objects = batch.objects;
  state->era = *known.era;
  state->revision = known.revision;
  if (first_of_era && m_restored && state->kind == ChangeKind::kEvacuations) {
    m_hold_until = m_hooks.now() + kRewriteDuration;
  }
  if (whole && newer) {
    m_relay->ReplaceObjects(state->kind, known, as_of);
    state->on_list(known);
  } else {
    m_relay->AddChanges(state->kind, known, as_of);
    // An update without changes makes an outdated list current again.
    bool regained = state->outdated && fresh;
    if (!known.objects.empty() || regained || source.empty()) {
      state->on_changes(known);
    }
  }
  if (fresh) state->outdated = false;
}

void FleetFeed::ScheduleRead(KindState* state, milliseconds delay) {
  state->timer.expires_after(delay);
  state->timer.async_wait(
      [this, state, alive = m_alive](const boost::system::error_code& error) {
        if (!error && *alive) ContinueReading(state);
      });
}

void FleetFeed::ApplyConfiguration(bool whole,
                                   const platform::ObjectBatch& batch) {
  if (batch.objects.empty()) return;
  m_parts.Take(whole, batch.objects);
  try {
    std::optional<FleetConfiguration> configuration = m_parts.Assemble();
    m_configuration_incomplete = !configuration;
    if (!configuration || configuration->version <= m_version) return;
    m_version = configuration->version;
    m_hooks.on_configuration(std::move(*configuration));
  } catch (const std::runtime_error& error) {
    LogEvent("configuration_rejected",
             {{"revision", std::to_string(batch.revision)},
              {"error", error.what()},
              {"kept", std::to_string(m_version)}});
  }
}

void FleetFeed::ApplyCrashMarks(const platform::ObjectBatch& batch) {
  std::vector<CrashExchange::Object> objects;
  for (const platform::StoredObject& object : batch.objects) {
    objects.push_back({object.name, object.revision,
                       platform::DecodeOwnValue(object.content),
                       object.deleted});
  }
  m_hooks.on_crash_marks(std::move(objects));
}

void FleetFeed::ApplyEvacuations(bool whole,
                                 const platform::ObjectBatch& batch) {
  if (whole) m_evacuated_data_centres.clear();
  for (const platform::StoredObject& object : batch.objects) {
    if (object.deleted) {
      m_evacuated_data_centres.erase(object.name);
      m_held_evacuations.erase(object.name);
    } else {
      m_evacuated_data_centres.insert(object.name);
    }
  }
  // The first list may be empty at revision 0. It is then no newer than what is
  // known, but it shows that nothing is evacuated.
  bool first = !std::exchange(m_evacuations_known, true);
  if (first || whole || !batch.objects.empty()) PublishEvacuations();
}

void FleetFeed::PublishEvacuations() {
  std::set<std::string> all = m_evacuated_data_centres;
  all.insert(m_held_evacuations.begin(), m_held_evacuations.end());
  m_hooks.feed(EvacuationsChanged{std::move(all)});
}

void FleetFeed::EndHeldEvacuations() {
  bool current = m_evacuations.era == m_era.highest();
  if (m_held_evacuations.empty() || !current || m_hooks.now() < m_hold_until) {
    return;
  }
  m_held_evacuations.clear();
  PublishEvacuations();
}

// Sources may have sent parts of different versions. The list from the platform
// contains all parts. Revision 0 makes sure that the list is applied even if
// its revision is already known.
void FleetFeed::RereadIncompleteConfiguration() {
  TimePoint now = m_hooks.now();
  if (!m_configuration_incomplete || now < m_next_repair_at) return;
  m_next_repair_at = now + kMaxBackoff;
  LogEvent("configuration_incomplete",
           {{"revision", std::to_string(m_configuration.revision)},
            {"kept", std::to_string(m_version)}});
  m_configuration.history_gone = true;
  m_configuration.revision = 0;
  Poll(&m_configuration);
}

}  // namespace clementine
