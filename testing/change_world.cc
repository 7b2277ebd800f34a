// Each kind has one object, whose content is its version number.

#include "testing/change_world.h"

#include <algorithm>
#include <utility>

namespace clementine::testing {
namespace {

constexpr milliseconds kChangeInterval{130};
constexpr milliseconds kLinkLatency{2};
constexpr milliseconds kSlowLatency{250};
constexpr milliseconds kCallTimeout{1'000};
constexpr milliseconds kBackoff{500};
constexpr milliseconds kStartDuration{60};

platform::StoredObject Object(std::uint64_t version, std::uint64_t revision) {
  return {"object", revision, std::to_string(version), false};
}

}  // namespace

ChangeWorld::ChangeWorld(milliseconds bound, bool dead_peers,
                         std::uint64_t seed, FleetSize size)
    : m_bound(bound), m_random(seed) {
  using Peers = std::map<std::string, std::vector<std::string>>;
  bool small = size == FleetSize::kSmall;
  m_own_watch_duration =
      small ? bound : DeriveFollowerTimings(bound).watch_duration;
  const Peers large_peers = {
      {"a0", {"a1", "b0", "c0"}},       {"a1", {"a0", "b0", "c0"}},
      {"a2", {"a0", "a1", "c0", "b0"}}, {"a3", {"a0", "a1", "b0", "c0"}},
      {"b0", {"b1", "a0", "c0"}},       {"b1", {"b0", "c0", "a0"}},
      {"c0", {"c1", "b0", "a0"}},       {"c1", {"c0", "a0", "b0"}}};
  const Peers small_peers = {
      {"a0", {"a1", "b0", "c0"}}, {"a1", {"a0", "b0", "c0"}},
      {"a2", {"a0", "a1", "c0"}}, {"b0", {"b1", "a0", "c0"}},
      {"b1", {"b0", "c0", "a0"}}, {"c0", {"b0", "a0"}}};
  for (auto& versions : m_versions) versions.emplace_back(m_now, m_revision);
  for (const auto& [name, list] : small ? small_peers : large_peers) {
    ChangeRoles& roles = m_roles[name];
    roles.reads_platform = small || name.back() == '0';
    roles.peers = list;
    if (dead_peers) roles.peers.insert(roles.peers.begin(), {"g0", "g1"});
    m_daemons[name].name = name;
  }
  for (auto& [name, daemon] : m_daemons) StartDaemon(&daemon);
}

void ChangeWorld::StartDaemon(Daemon* daemon) {
  std::string name = daemon->name;
  *daemon = Daemon();
  daemon->name = name;
  daemon->follower = std::make_unique<ChangeFollower>(m_bound, m_random());
  daemon->follower->SetRoles(m_roles.at(name), m_own_watch_duration);
  daemon->reads = m_roles.at(name).reads_platform;
  daemon->next_watch.fill(m_now + kStartDuration);
}

void ChangeWorld::SetFault(const std::string& name, DaemonFault fault) {
  Daemon& daemon = m_daemons.at(name);
  if (fault == DaemonFault::kDead || fault == DaemonFault::kRestarted) {
    for (auto& [other, peer] : m_daemons) {
      if (peer.streams.erase(name) > 0) peer.follower->OnPeerEnded(name, m_now);
      peer.subscribers.remove_if(
          [&](const Subscriber& to) { return to.name == name; });
    }
    StartDaemon(&daemon);
  }
  daemon.fault = fault;
}

void ChangeWorld::Run(milliseconds time) {
  for (milliseconds passed{0}; passed < time; passed += kStep) Step();
}

void ChangeWorld::MakeChange() {
  if (m_now < m_next_change) return;
  m_next_change = m_now + kChangeInterval;
  m_versions[m_revision % kChangeKinds].emplace_back(m_now, m_revision + 1);
  ++m_revision;
}

void ChangeWorld::Step() {
  m_now += kStep;
  MakeChange();
  for (auto& [name, daemon] : m_daemons) {
    if (IsRunning(daemon)) StepDaemon(&daemon);
  }
  for (auto& [name, daemon] : m_daemons) MeasureStaleness(daemon);
}

void ChangeWorld::StepDaemon(Daemon* daemon) {
  for (std::size_t kind = 0; kind < kChangeKinds; ++kind) Watch(daemon, kind);
  StepCalls(daemon);
  ReceiveUpdates(daemon);
  for (const auto& action : daemon->follower->Advance(m_now)) {
    if (const auto* open = std::get_if<ChangeFollower::Subscribe>(&action)) {
      Subscribe(daemon, open->peer);
    } else if (const auto* end =
                   std::get_if<ChangeFollower::Unsubscribe>(&action)) {
      std::uint64_t stream = std::exchange(daemon->streams[end->peer], 0);
      auto peer = m_daemons.find(end->peer);
      if (peer == m_daemons.end()) continue;
      peer->second.subscribers.remove_if(
          [&](const Subscriber& to) { return to.stream == stream; });
    } else {
      const auto& query = std::get<ChangeFollower::QueryPlatform>(action);
      Call call;
      call.kind = query.kind;
      call.query = true;
      call.since = daemon->revisions[static_cast<std::size_t>(query.kind)];
      call.sent = m_now;
      daemon->calls.push_back(call);
      ++m_calls;
    }
  }
  for (Subscriber& to : daemon->subscribers) {
    if (m_now - to.sent < daemon->follower->times().heartbeat_period) continue;
    for (std::size_t kind = 0; kind < kChangeKinds; ++kind) {
      Send(daemon, &to, kind);
    }
  }
}

void ChangeWorld::Watch(Daemon* daemon, std::size_t kind) {
  bool due = !daemon->watching[kind] && m_now >= daemon->next_watch[kind] &&
             (daemon->reads || !daemon->listed[kind]);
  if (!due) return;
  Call call;
  call.kind = static_cast<ChangeKind>(kind);
  call.list = !daemon->listed[kind];
  call.since = daemon->revisions[kind];
  call.sent = m_now;
  if (!call.list) call.wait = m_own_watch_duration;
  daemon->watching[kind] = true;
  daemon->calls.push_back(call);
  ++m_calls;
}

void ChangeWorld::StepCalls(Daemon* daemon) {
  for (auto it = daemon->calls.begin(); it != daemon->calls.end();) {
    Call& call = *it;
    const auto& versions = m_versions[static_cast<std::size_t>(call.kind)];
    bool reaches = daemon->fault != DaemonFault::kPartitioned &&
                   daemon->fault != DaemonFault::kRefused;
    bool changed = call.list || versions.back().second > call.since;
    bool waited = m_now - call.sent >= call.wait;
    if (!call.answered && reaches && !call.lost && (changed || waited)) {
      call.answered = m_now;
      std::uniform_real_distribution<double> chance(0.0, 1.0);
      call.lost = chance(m_random) < m_lost_answer_fraction;
      call.batch.status = platform::ObjectBatch::Status::kOk;
      call.batch.revision = m_revision;
      if (changed) {
        call.batch.objects.push_back(
            Object(versions.size(), versions.back().second));
      }
    }
    bool refused = daemon->fault == DaemonFault::kRefused && !call.answered;
    bool arrived = call.answered && !call.lost &&
                   m_now - *call.answered >= m_platform_latency;
    bool failed = refused || m_now - call.sent > call.wait + kCallTimeout;
    if (!arrived && !failed) {
      ++it;
      continue;
    }
    Call ended = call;
    it = daemon->calls.erase(it);
    Answer(daemon, ended, !arrived);
  }
}

void ChangeWorld::Answer(Daemon* daemon, const Call& call, bool failed) {
  auto kind = static_cast<std::size_t>(call.kind);
  if (!call.query) {
    daemon->watching[kind] = false;
    daemon->next_watch[kind] =
        m_now + (failed ? kBackoff : daemon->follower->times().batch_window);
  }
  if (failed) {
    daemon->follower->OnPlatformFailure();
    return;
  }
  bool waited = call.batch.objects.empty();
  TimePoint as_of = waited ? call.sent + call.wait : call.sent;
  daemon->follower->OnPlatformAnswer(call.kind, as_of);
  if (call.list) daemon->listed[kind] = true;
  ApplyUpdate(daemon, kind, call.list, call.batch, as_of);
}

void ChangeWorld::ReceiveUpdates(Daemon* daemon) {
  for (auto it = daemon->inbox.begin(); it != daemon->inbox.end();) {
    if (it->at > m_now) {
      ++it;
      continue;
    }
    Message message = *it;
    it = daemon->inbox.erase(it);
    if (daemon->streams[message.from] != message.stream) continue;
    daemon->follower->OnPeerUpdate(message.from, message.kind, message.as_of,
                                   m_now);
    platform::ObjectBatch batch;
    batch.revision = message.delta.revision;
    batch.objects = message.delta.objects;
    auto kind = static_cast<std::size_t>(message.kind);
    if (daemon->listed[kind]) {
      ApplyUpdate(daemon, kind, message.delta.whole, batch, message.as_of);
    }
  }
}

void ChangeWorld::ApplyUpdate(Daemon* daemon, std::size_t kind, bool whole,
                              const platform::ObjectBatch& batch,
                              TimePoint as_of) {
  platform::ObjectBatch known = batch;
  bool newer = batch.revision > daemon->revisions[kind];
  known.revision = std::max(batch.revision, daemon->revisions[kind]);
  if (!newer) known.objects.clear();
  daemon->revisions[kind] = known.revision;
  for (const platform::StoredObject& object : known.objects) {
    daemon->versions[kind] = std::stoull(object.content);
  }
  ChangeHistory& history = daemon->histories[kind];
  TimePoint before = history.known() ? history.as_of() : TimePoint();
  if (whole && newer) {
    history.Replace(known, as_of);
  } else {
    history.Add(known, as_of);
  }
  if (!newer && history.known() && history.as_of() == before) return;
  for (Subscriber& to : daemon->subscribers) Send(daemon, &to, kind);
}

void ChangeWorld::Send(Daemon* source, Subscriber* to, std::size_t kind) {
  const ChangeHistory& history = source->histories[kind];
  bool slow = source->fault == DaemonFault::kSlow;
  Message message;
  message.at = m_now + (slow ? kSlowLatency : kLinkLatency);
  message.from = source->name;
  message.stream = to->stream;
  message.kind = static_cast<ChangeKind>(kind);
  message.delta = history.DeltaAfter(to->known[kind]);
  message.as_of = history.as_of();
  to->known[kind] = std::max(to->known[kind], message.delta.revision);
  to->sent = m_now;
  m_daemons.at(to->name).inbox.push_back(message);
}

void ChangeWorld::Subscribe(Daemon* daemon, const std::string& peer) {
  auto found = m_daemons.find(peer);
  bool exists = found != m_daemons.end();
  if (exists && found->second.fault == DaemonFault::kUnresponsive) {
    daemon->streams[peer] = ++m_last_stream;
    return;
  }
  bool is_source_ready = exists && IsRunning(found->second) &&
                         found->second.histories[0].known() &&
                         found->second.histories[1].known();
  if (!is_source_ready) {
    daemon->follower->OnPeerEnded(peer, m_now);
    return;
  }
  Daemon& source = found->second;
  daemon->streams[peer] = ++m_last_stream;
  source.subscribers.push_back(
      {daemon->name, m_last_stream, daemon->revisions, m_now});
  for (std::size_t kind = 0; kind < kChangeKinds; ++kind) {
    Send(&source, &source.subscribers.back(), kind);
  }
}

// Only daemons without a fault of their own are checked. A daemon that has just
// started is allowed as much time as a change.
void ChangeWorld::MeasureStaleness(const Daemon& daemon) {
  bool rejected = daemon.fault == DaemonFault::kRefused ||
                  daemon.fault == DaemonFault::kPartitioned;
  if (daemon.fault != DaemonFault::kNone && !rejected) return;
  for (std::size_t kind = 0; kind < kChangeKinds; ++kind) {
    if (daemon.versions[kind] >= m_versions[kind].size()) continue;
    auto current = daemon.follower->CurrentAsOf(static_cast<ChangeKind>(kind));
    TimePoint missed = m_versions[kind][daemon.versions[kind]].first;
    if (current && *current > missed) ++m_false_current_claims;
    // The time since the version that replaced the known one was made.
    auto lacked = std::chrono::duration_cast<milliseconds>(
        m_now - m_versions[kind][daemon.versions[kind]].first);
    if (rejected) {
      m_max_rejected_staleness = std::max(m_max_rejected_staleness, lacked);
    } else if (lacked > m_max_staleness) {
      m_max_staleness = lacked;
      m_stalest_daemon = daemon.name;
    }
  }
}

}  // namespace clementine::testing
