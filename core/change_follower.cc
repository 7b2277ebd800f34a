// One subscription carries all kinds of objects. A source is rated by the times
// it reports and not by whether its connection is open: a source that is
// partitioned from the platform continues to send heartbeats, but the time up
// to which it knows all changes stops advancing.

#include "core/change_follower.h"

#include <algorithm>

#include "core/exponential_backoff.h"

namespace clementine {
namespace {

// Ratios from which FollowerTimings are derived: of the bound to a duration, of
// silence_timeout to heartbeat_period, and of hedge_age to a twelfth of the
// bound. A source is known to be current at the start of a
// watch that returned changes, or at the end of a watch without changes. Its
// age is therefore at most 2 * watch_duration + batch_window, and hedge_age is
// longer than that.
constexpr int kWatchesPerBound = 7;
constexpr int kBatchWindowsPerBound = 15;
constexpr int kHeartbeatsPerBound = 12;
constexpr int kHeartbeatsPerSilenceTimeout = 3;
constexpr int kHedgeAgeTwelfths = 5;
constexpr int kPlatformQueryAgesPerBound = 2;
constexpr int kQuerySpreadsPerBound = 20;
constexpr int kQueriesPerBound = 8;
constexpr int kCrashMarkSlacksPerBound = 4;
/// Minimum time before a failed source is used again. It is doubled with each
/// consecutive failure. Meanwhile another source or the platform provides the
/// same data.
constexpr milliseconds kMinAvoidDuration{5'000};
constexpr milliseconds kMaxAvoidDuration{40'000};
/// Maximum interval between queries while the platform answers none.
constexpr milliseconds kMaxQueryInterval{2'000};
/// Surplus sources are dropped when the best source has been open for this
/// number of heartbeat periods.
constexpr int kSettlingHeartbeats = 4;

}  // namespace

FollowerTimings DeriveFollowerTimings(milliseconds bound) {
  FollowerTimings times;
  times.watch_duration = bound / kWatchesPerBound;
  times.batch_window = bound / kBatchWindowsPerBound;
  times.heartbeat_period = bound / kHeartbeatsPerBound;
  times.silence_timeout = times.heartbeat_period * kHeartbeatsPerSilenceTimeout;
  times.hedge_age = bound * kHedgeAgeTwelfths / 12;
  times.platform_query_age = bound / kPlatformQueryAgesPerBound;
  times.query_spread = bound / kQuerySpreadsPerBound;
  times.query_interval = bound / kQueriesPerBound;
  times.crash_mark_slack = bound / kCrashMarkSlacksPerBound;
  return times;
}

TimePoint ChangeFollower::Stream::OldestAsOf() const {
  TimePoint oldest =
      *std::min_element(as_of.begin(), as_of.begin() + kRequiredKinds);
  for (std::size_t kind = kRequiredKinds; kind < kChangeKinds; ++kind) {
    if (as_of[kind] != TimePoint()) oldest = std::min(oldest, as_of[kind]);
  }
  return oldest;
}

ChangeFollower::ChangeFollower(milliseconds bound, std::uint64_t seed)
    : m_times(DeriveFollowerTimings(bound)),
      m_jitter(seed),
      m_query_spread(m_jitter.Between(milliseconds(0), m_times.query_spread)) {}

void ChangeFollower::SetRoles(const ChangeRoles& roles,
                              milliseconds own_watch_duration) {
  m_roles = roles;
  m_own_watch_duration = own_watch_duration;
  std::erase_if(m_avoided, [this](const auto& entry) {
    return PeerRank(entry.first) == m_roles.peers.size();
  });
}

// ---------------------------------------------------------------------------
// Updates from peers and the platform.

TimePoint ChangeFollower::AddKindSlack(ChangeKind kind, TimePoint as_of) const {
  return kind == ChangeKind::kCrashes ? as_of + m_times.crash_mark_slack
                                      : as_of;
}

void ChangeFollower::RecordAsOf(ChangeKind kind, TimePoint as_of) {
  std::optional<TimePoint>& current =
      m_current_as_of[static_cast<std::size_t>(kind)];
  current = current ? std::max(*current, as_of) : as_of;
}

void ChangeFollower::OnPeerUpdate(const std::string& peer, ChangeKind kind,
                                  TimePoint as_of, TimePoint now) {
  auto found = m_streams.find(peer);
  if (found == m_streams.end()) return;
  Stream& stream = found->second;
  stream.last_data_at = now;
  TimePoint& peer_as_of = stream.as_of[static_cast<std::size_t>(kind)];
  peer_as_of = std::max(peer_as_of, AddKindSlack(kind, as_of));
  RecordAsOf(kind, as_of);
}

void ChangeFollower::OnPeerHeartbeat(const std::string& peer, TimePoint now) {
  auto found = m_streams.find(peer);
  if (found != m_streams.end()) found->second.last_data_at = now;
}

void ChangeFollower::OnPeerEnded(const std::string& peer, TimePoint now) {
  AvoidPeer(peer, "lost", now);
  m_streams.erase(peer);
}

void ChangeFollower::OnPlatformAnswer(ChangeKind kind, TimePoint as_of) {
  m_platform_failures = 0;
  m_unanswered_queries[static_cast<std::size_t>(kind)] = 0;
  m_next_query_at.fill(TimePoint());
  RecordAsOf(kind, as_of);
}

TimePoint::duration ChangeFollower::Age(TimePoint now) const {
  TimePoint::duration age{0};
  for (std::size_t kind = 0; kind < kChangeKinds; ++kind) {
    const std::optional<TimePoint>& current = m_current_as_of[kind];
    if (current) {
      age = std::max(
          age, now - AddKindSlack(static_cast<ChangeKind>(kind), *current));
    } else if (kind < kRequiredKinds) {
      return TimePoint::duration::max();
    }
  }
  return age;
}

// ---------------------------------------------------------------------------
// Sources.

bool ChangeFollower::IsAvoided(const std::string& peer, TimePoint now) const {
  auto found = m_avoided.find(peer);
  return found != m_avoided.end() && found->second.until > now;
}

std::size_t ChangeFollower::PeerRank(const std::string& peer) const {
  return static_cast<std::size_t>(
      std::find(m_roles.peers.begin(), m_roles.peers.end(), peer) -
      m_roles.peers.begin());
}

const std::string* ChangeFollower::NextPeer(TimePoint now) const {
  for (const std::string& peer : m_roles.peers) {
    if (m_streams.count(peer) == 0 && !IsAvoided(peer, now)) return &peer;
  }
  return nullptr;
}

bool ChangeFollower::HasBetterPeer(TimePoint now) const {
  const std::string* next = NextPeer(now);
  return next != nullptr && !m_streams.empty() &&
         std::all_of(m_streams.begin(), m_streams.end(),
                     [&](const auto& entry) {
                       return PeerRank(*next) < PeerRank(entry.first);
                     });
}

bool ChangeFollower::IsStale(const Stream& stream, TimePoint now) const {
  return stream.HasData() && now - stream.OldestAsOf() > m_times.hedge_age;
}

// Returns the most preferred stream among those that kept this daemon current.
// If there is none, returns the stream with the most recent data.
std::map<std::string, ChangeFollower::Stream>::const_iterator
ChangeFollower::BestStream() const {
  auto best = m_streams.end();
  for (auto it = m_streams.begin(); it != m_streams.end(); ++it) {
    const Stream& stream = it->second;
    if (!stream.HasData()) continue;
    if (best == m_streams.end() || best->second.lagged != stream.lagged) {
      if (best == m_streams.end() || best->second.lagged) best = it;
    } else if (stream.lagged ? stream.OldestAsOf() > best->second.OldestAsOf()
                             : PeerRank(it->first) < PeerRank(best->first)) {
      best = it;
    }
  }
  return best;
}

std::vector<ChangeFollower::PeerStatus> ChangeFollower::PeerStatuses(
    TimePoint now) const {
  std::vector<std::string> peers = m_roles.peers;
  for (const auto& [peer, stream] : m_streams) {
    if (PeerRank(peer) == m_roles.peers.size()) peers.push_back(peer);
  }
  std::vector<PeerStatus> statuses;
  for (const std::string& peer : peers) {
    PeerStatus status;
    status.peer = peer;
    auto stream = m_streams.find(peer);
    status.subscribed = stream != m_streams.end();
    if (status.subscribed && stream->second.HasData()) {
      status.data_age = std::chrono::duration_cast<milliseconds>(
          now - stream->second.OldestAsOf());
    }
    auto avoided = m_avoided.find(peer);
    if (avoided != m_avoided.end()) {
      const Avoidance& avoidance = avoided->second;
      status.avoided_for =
          std::max(milliseconds(0),
                   std::chrono::ceil<milliseconds>(avoidance.until - now));
      status.failures = avoidance.failures;
      status.reason = avoidance.reason;
    }
    statuses.push_back(status);
  }
  return statuses;
}

void ChangeFollower::MarkLaggingStreams(TimePoint now) {
  if (Age(now) <= m_times.hedge_age) return;
  for (auto& [peer, stream] : m_streams) {
    stream.lagged = stream.lagged || stream.HasData();
  }
}

std::size_t ChangeFollower::TargetStreamCount(TimePoint now) const {
  if (ReadsPlatformSuccessfully()) return 0;
  bool second = Age(now) > m_times.hedge_age || HasBetterPeer(now);
  return second ? 2 : 1;
}

// The delay is randomised. Followers that left a source at the same time would
// otherwise return at the same time, which could make the source fail again.
void ChangeFollower::AvoidPeer(const std::string& peer, const char* reason,
                               TimePoint now) {
  Avoidance& avoidance = m_avoided[peer];
  avoidance.reason = reason;
  auto stream = m_streams.find(peer);
  bool lasted = stream != m_streams.end() &&
                now - stream->second.opened_at > kMaxAvoidDuration;
  avoidance.failures = lasted ? 1 : avoidance.failures + 1;
  milliseconds pause = ExponentialBackoff(kMinAvoidDuration, kMaxAvoidDuration,
                                          avoidance.failures - 1);
  avoidance.until = now + m_jitter.Between(pause, pause + pause / 4);
}

void ChangeFollower::DropStream(const std::string& peer, const char* reason,
                                bool avoid, TimePoint now, Actions* out) {
  if (avoid) AvoidPeer(peer, reason, now);
  m_streams.erase(peer);
  out->push_back(Unsubscribe{peer, reason});
}

void ChangeFollower::DropUnresponsiveStreams(TimePoint now, Actions* out) {
  std::vector<std::string> unresponsive;
  for (const auto& [peer, stream] : m_streams) {
    if (now - std::max(stream.opened_at, stream.last_data_at) >
        m_times.silence_timeout) {
      unresponsive.push_back(peer);
    }
  }
  for (const std::string& peer : unresponsive) {
    DropStream(peer, "silent", /*avoid=*/true, now, out);
  }
}

// Keeps only the best source once the data is current and that source has
// settled.
void ChangeFollower::DropSurplusStreams(TimePoint now, Actions* out) {
  std::size_t keep = ReadsPlatformSuccessfully() ? 0 : 1;
  if (m_streams.size() <= keep || Age(now) > m_times.hedge_age) return;
  auto best = BestStream();
  bool settled = best != m_streams.end() &&
                 now - best->second.opened_at >
                     m_times.heartbeat_period * kSettlingHeartbeats;
  if (!settled) return;
  std::string kept = keep > 0 ? best->first : "";
  std::vector<std::pair<std::string, bool>> others;
  for (const auto& [peer, stream] : m_streams) {
    // A stream without data yet may turn out to be the better one. If it sends
    // nothing, it is dropped as unresponsive.
    bool judged = keep == 0 || stream.HasData();
    if (peer != kept && judged) others.emplace_back(peer, stream.lagged);
  }
  for (const auto& [peer, lagged] : others) {
    DropStream(peer, lagged ? "lagged" : "spare", /*avoid=*/lagged, now, out);
  }
}

// Drops stale sources if other peers are available. The source with the most
// recent data is kept, because it may be the first to recover.
void ChangeFollower::DropStaleStreams(TimePoint now, Actions* out) {
  if (Age(now) <= m_times.hedge_age || NextPeer(now) == nullptr) return;
  auto best = BestStream();
  std::vector<std::string> stale;
  for (auto it = m_streams.cbegin(); it != m_streams.cend(); ++it) {
    if (it != best && IsStale(it->second, now)) stale.push_back(it->first);
  }
  for (const std::string& peer : stale) {
    DropStream(peer, "stale", /*avoid=*/true, now, out);
  }
}

void ChangeFollower::OpenStreams(TimePoint now, Actions* out) {
  std::size_t target = TargetStreamCount(now);
  while (m_streams.size() < target) {
    const std::string* next = NextPeer(now);
    if (next == nullptr) return;
    m_streams[*next].opened_at = now;
    out->push_back(Subscribe{*next});
  }
}

// ---------------------------------------------------------------------------
// Queries to the platform.

milliseconds ChangeFollower::QueryAge() const {
  milliseconds age = m_times.platform_query_age + m_query_spread;
  return m_roles.reads_platform ? age + m_own_watch_duration : age;
}

void ChangeFollower::QueryPlatformIfStale(TimePoint now, Actions* out) {
  // Without any source, the platform is queried at the rate at which a source
  // would watch it.
  bool no_peers =
      m_streams.empty() && NextPeer(now) == nullptr && !m_roles.reads_platform;
  milliseconds limit = no_peers ? m_times.watch_duration : QueryAge();
  // While queries are unanswered, only one kind is retried.
  auto retried =
      std::find_if(m_unanswered_queries.begin(), m_unanswered_queries.end(),
                   [](int count) { return count > 0; });
  for (std::size_t kind = 0; kind < kChangeKinds; ++kind) {
    int& unanswered = m_unanswered_queries[kind];
    bool held_back =
        retried != m_unanswered_queries.end() && &unanswered != &*retried;
    if (!m_current_as_of[kind]) continue;
    TimePoint current =
        AddKindSlack(static_cast<ChangeKind>(kind), *m_current_as_of[kind]);
    bool old = now - current > limit;
    if (!old || held_back || now < m_next_query_at[kind]) continue;
    // The first retries are immediate, because a single connection may be at
    // fault. Later ones back off, because the platform is then likely to be
    // down.
    m_next_query_at[kind] =
        now + ExponentialBackoff(m_times.query_interval, kMaxQueryInterval,
                                 unanswered - 1);
    out->push_back(
        QueryPlatform{static_cast<ChangeKind>(kind), unanswered > 0});
    ++unanswered;
  }
}

std::vector<ChangeFollower::Action> ChangeFollower::Advance(TimePoint now) {
  Actions out;
  bool listed = std::all_of(
      m_current_as_of.begin(), m_current_as_of.begin() + kRequiredKinds,
      [](const auto& known) { return known.has_value(); });
  if (!listed) return out;
  MarkLaggingStreams(now);
  DropUnresponsiveStreams(now, &out);
  DropSurplusStreams(now, &out);
  DropStaleStreams(now, &out);
  OpenStreams(now, &out);
  QueryPlatformIfStale(now, &out);
  return out;
}

}  // namespace clementine
