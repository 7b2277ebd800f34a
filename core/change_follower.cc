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
constexpr int kRetriesPerBound = 8;
constexpr int kLateRetriesPerBound = 4;
constexpr int kCrashMarkSlacksPerBound = 4;
/// Bounds for which a source that failed comes after the others.
constexpr int kBoundsAvoided = 2;
constexpr int kMaxBoundsAvoided = 16;
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
  times.max_query_interval = bound;
  times.retry_interval = bound / kRetriesPerBound;
  times.max_retry_interval = bound / kLateRetriesPerBound;
  times.avoid_duration = bound * kBoundsAvoided;
  times.max_avoid_duration = bound * kMaxBoundsAvoided;
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
  std::erase_if(m_failures, [this](const auto& entry) {
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
  RecordFailure(peer, "lost", now);
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
  auto found = m_failures.find(peer);
  return found != m_failures.end() && found->second.avoided_until > now;
}

bool ChangeFollower::MayRetry(const std::string& peer, TimePoint now) const {
  auto found = m_failures.find(peer);
  return found == m_failures.end() || found->second.retry_at <= now;
}

std::size_t ChangeFollower::PeerRank(const std::string& peer) const {
  return static_cast<std::size_t>(
      std::find(m_roles.peers.begin(), m_roles.peers.end(), peer) -
      m_roles.peers.begin());
}

// Peers that are avoided follow the others, in the order in which they may be
// tried again.
const std::string* ChangeFollower::NextPeer(TimePoint now) const {
  const std::string* next = nullptr;
  bool may_use_avoided = Age(now) > m_times.hedge_age;
  for (const std::string& peer : m_roles.peers) {
    if (m_streams.count(peer) > 0 || !MayRetry(peer, now)) continue;
    if (!IsAvoided(peer, now)) return &peer;
    bool earlier = next == nullptr ||
                   m_failures.at(peer).retry_at < m_failures.at(*next).retry_at;
    if (may_use_avoided && earlier) next = &peer;
  }
  return next;
}

bool ChangeFollower::HasBetterPeer(TimePoint now) const {
  const std::string* next = NextPeer(now);
  return next != nullptr && !m_streams.empty() &&
         std::all_of(m_streams.begin(), m_streams.end(),
                     [&](const auto& entry) {
                       return PeerRank(*next) < PeerRank(entry.first);
                     });
}

// Where each daemon reads the platform, watches are long, and the data of a
// sound peer is up to a watch older than that of a source.
milliseconds ChangeFollower::StaleAge() const {
  return m_roles.reads_platform ? m_times.hedge_age + m_own_watch_duration
                                : m_times.hedge_age;
}

bool ChangeFollower::IsStale(const Stream& stream, TimePoint now) const {
  return stream.HasData() && now - stream.OldestAsOf() > StaleAge();
}

// The most preferred streams among those that keep this daemon current come
// first, then those with the most recent data.
std::vector<std::string> ChangeFollower::RankStreams(TimePoint now) const {
  std::vector<std::string> sound;
  std::vector<std::string> others;
  for (const auto& [peer, stream] : m_streams) {
    if (!stream.HasData()) continue;
    bool is_sound = !stream.lagged && !IsStale(stream, now);
    (is_sound ? sound : others).push_back(peer);
  }
  std::stable_sort(sound.begin(), sound.end(),
                   [this](const auto& a, const auto& b) {
                     return PeerRank(a) < PeerRank(b);
                   });
  std::stable_sort(
      others.begin(), others.end(), [this](const auto& a, const auto& b) {
        return m_streams.at(a).OldestAsOf() > m_streams.at(b).OldestAsOf();
      });
  sound.insert(sound.end(), others.begin(), others.end());
  return sound;
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
    auto failed = m_failures.find(peer);
    if (failed != m_failures.end()) {
      const Failure& failure = failed->second;
      status.avoided_for = std::max(
          milliseconds(0),
          std::chrono::ceil<milliseconds>(failure.avoided_until - now));
      status.failures = failure.count;
      status.reason = failure.reason;
    }
    statuses.push_back(status);
  }
  return statuses;
}

// A stream is compared with what this daemon knows by any way, at the same
// time: its own lost path makes all of them old. Right after such a loss, one
// stream may deliver a moment before another.
void ChangeFollower::MarkLaggingStreams(TimePoint now) {
  TimePoint current_as_of = now - Age(now);
  for (auto& [peer, stream] : m_streams) {
    bool behind =
        stream.HasData() && current_as_of - stream.OldestAsOf() > StaleAge();
    if (!behind) {
      stream.behind_since.reset();
      continue;
    }
    if (!stream.behind_since) stream.behind_since = now;
    if (now - *stream.behind_since >= m_times.heartbeat_period) {
      stream.lagged = true;
    }
  }
}

std::size_t ChangeFollower::TargetStreamCount(TimePoint now) const {
  if (ReadsPlatformSuccessfully()) return 0;
  if (IsOutdated(now)) return kMaxStreams;
  bool second = Age(now) > m_times.hedge_age || HasBetterPeer(now);
  return second ? 2 : 1;
}

// The times are randomised. Followers that left a source at the same time would
// otherwise return at the same time, which could make the source fail again.
void ChangeFollower::RecordFailure(const std::string& peer, const char* reason,
                                   TimePoint now) {
  Failure& failure = m_failures[peer];
  failure.reason = reason;
  auto stream = m_streams.find(peer);
  bool lasted = stream != m_streams.end() && stream->second.HasData() &&
                now - stream->second.opened_at > m_times.avoid_duration;
  failure.count = lasted ? 1 : failure.count + 1;
  milliseconds pause = ExponentialBackoff(
      m_times.retry_interval, m_times.max_retry_interval, failure.count - 1);
  failure.retry_at = now + m_jitter.Between(pause / 2, pause);
  milliseconds avoided = ExponentialBackoff(
      m_times.avoid_duration, m_times.max_avoid_duration, failure.count - 1);
  failure.avoided_until =
      now + m_jitter.Between(avoided, avoided + avoided / 4);
}

void ChangeFollower::DropStream(const std::string& peer, const char* reason,
                                bool failed, TimePoint now, Actions* out) {
  if (failed) RecordFailure(peer, reason, now);
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
    DropStream(peer, "silent", /*failed=*/true, now, out);
  }
}

// Keeps only the best source once the data is current and that source has
// settled. A daemon whose own reads fail keeps two: where all daemons read, the
// age of a sound source exceeds hedge_age again and again.
void ChangeFollower::DropSurplusStreams(TimePoint now, Actions* out) {
  std::size_t keep = m_roles.reads_platform ? 2 : 1;
  if (ReadsPlatformSuccessfully()) keep = 0;
  if (m_streams.size() <= keep || Age(now) > m_times.hedge_age) return;
  std::vector<std::string> ranked = RankStreams(now);
  bool settled =
      !ranked.empty() && now - m_streams.at(ranked.front()).opened_at >
                             m_times.heartbeat_period * kSettlingHeartbeats;
  if (!settled) return;
  std::vector<std::string> surplus;
  if (keep > 0) {
    // A stream without data yet may turn out to be the better one. If it sends
    // nothing, it is dropped as unresponsive.
    ranked.erase(ranked.begin(),
                 ranked.begin() + static_cast<std::ptrdiff_t>(
                                      std::min(keep, ranked.size())));
    surplus = std::move(ranked);
  } else {
    for (const auto& [peer, stream] : m_streams) surplus.push_back(peer);
  }
  for (const std::string& peer : surplus) {
    bool lagged = keep > 0 && m_streams.at(peer).lagged;
    DropStream(peer, lagged ? "lagged" : "spare", /*failed=*/lagged, now, out);
  }
}

// Replaces a stale source if all places are taken and another peer may be
// tried. That all sources are stale is no failure of this one. The source with
// the most recent data is kept, because it may be the first to recover.
void ChangeFollower::ReplaceStaleStream(TimePoint now, Actions* out) {
  bool full = m_streams.size() >= TargetStreamCount(now);
  if (!full || Age(now) <= StaleAge() || NextPeer(now) == nullptr) return;
  std::vector<std::string> ranked = RankStreams(now);
  if (ranked.size() < 2 || !IsStale(m_streams.at(ranked.back()), now)) return;
  bool lagged = m_streams.at(ranked.back()).lagged;
  DropStream(ranked.back(), "stale", /*failed=*/lagged, now, out);
  Failure& failure = m_failures[ranked.back()];
  failure.reason = "stale";
  failure.retry_at = now + m_jitter.Between(m_times.max_retry_interval / 2,
                                            m_times.max_retry_interval);
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
      m_streams.empty() && m_roles.peers.empty() && !m_roles.reads_platform;
  milliseconds limit = no_peers ? m_times.watch_duration : QueryAge();
  std::array<bool, kChangeKinds> old{};
  for (std::size_t kind = 0; kind < kChangeKinds; ++kind) {
    if (!m_current_as_of[kind]) continue;
    TimePoint current =
        AddKindSlack(static_cast<ChangeKind>(kind), *m_current_as_of[kind]);
    old[kind] = now - current > limit;
  }
  // While queries are unanswered, only one kind is retried: one that peers
  // don't keep current.
  std::size_t retried = 0;
  while (retried < kChangeKinds &&
         !(old[retried] && m_unanswered_queries[retried] > 0)) {
    ++retried;
  }
  for (std::size_t kind = 0; kind < kChangeKinds; ++kind) {
    int& unanswered = m_unanswered_queries[kind];
    bool held_back = retried < kChangeKinds && kind != retried;
    if (!old[kind] || held_back || now < m_next_query_at[kind]) continue;
    // The first retries are immediate, because a single connection may be at
    // fault. Later ones back off, because the platform is then likely to be
    // down.
    m_next_query_at[kind] =
        now + ExponentialBackoff(m_times.query_interval,
                                 m_times.max_query_interval, unanswered - 1);
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
  ReplaceStaleStream(now, &out);
  OpenStreams(now, &out);
  QueryPlatformIfStale(now, &out);
  return out;
}

}  // namespace clementine
