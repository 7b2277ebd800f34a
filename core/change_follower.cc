// One subscription carries both kinds of objects. It is judged by what it tells
// and not by whether it's open: a source that is cut off from the platform goes
// on sending heartbeats, but the time up to which it knows all changes stands
// still.

#include "core/change_follower.h"

#include <algorithm>

#include "core/doubled_pause.h"

namespace clementine {
namespace {

// Parts of the bound. A source knows for certain that it was current when it
// began a watch that brought changes, or when one without changes ended. So its
// age is at most 2 * platform_wait + gather, and hedge_age is longer.
constexpr int kWaitParts = 7;
constexpr int kGatherParts = 15;
constexpr int kHeartbeatParts = 12;
constexpr int kSilentHeartbeats = 3;
constexpr int kHedgeTwelfths = 5;
constexpr int kPlatformParts = 2;
constexpr int kSpreadParts = 20;
constexpr int kAskParts = 8;
constexpr int kCrashSlackParts = 4;
/// A source that failed is tried again after this time, doubled with each
/// failure in a row; meanwhile another one or the platform tells the same.
constexpr milliseconds kAvoidTime{5'000};
constexpr milliseconds kLongestAvoidTime{40'000};
/// Longest pause between questions while the platform doesn't answer any.
constexpr milliseconds kLongestAskPause{2'000};
/// A second source is kept for some heartbeats after it was needed.
constexpr int kSettleHeartbeats = 4;

}  // namespace

FollowTimes DeriveFollowTimes(milliseconds bound) {
  FollowTimes times;
  times.platform_wait = bound / kWaitParts;
  times.gather = bound / kGatherParts;
  times.heartbeat = bound / kHeartbeatParts;
  times.silence = times.heartbeat * kSilentHeartbeats;
  times.hedge_age = bound * kHedgeTwelfths / 12;
  times.platform_age = bound / kPlatformParts;
  times.spread = bound / kSpreadParts;
  times.ask_interval = bound / kAskParts;
  times.crash_slack = bound / kCrashSlackParts;
  return times;
}

TimePoint ChangeFollower::Stream::Oldest() const {
  TimePoint oldest =
      *std::min_element(as_of.begin(), as_of.begin() + kNeededKinds);
  for (std::size_t kind = kNeededKinds; kind < kChangeKinds; ++kind) {
    if (as_of[kind] != TimePoint()) oldest = std::min(oldest, as_of[kind]);
  }
  return oldest;
}

ChangeFollower::ChangeFollower(milliseconds bound, std::uint64_t seed)
    : m_times(DeriveFollowTimes(bound)),
      m_jitter(seed),
      m_spread(m_jitter.Between(milliseconds(0), m_times.spread)) {}

void ChangeFollower::SetRoles(const ChangeRoles& roles,
                              milliseconds watch_wait) {
  m_roles = roles;
  m_watch_wait = watch_wait;
  std::erase_if(m_avoided, [this](const auto& entry) {
    return Rank(entry.first) == m_roles.peers.size();
  });
}

// ---------------------------------------------------------------------------
// What was learned.

TimePoint ChangeFollower::WithSlack(ChangeKind kind, TimePoint as_of) const {
  return kind == ChangeKind::kCrashes ? as_of + m_times.crash_slack : as_of;
}

void ChangeFollower::Confirm(ChangeKind kind, TimePoint as_of) {
  std::optional<TimePoint>& current =
      m_current_at[static_cast<std::size_t>(kind)];
  current = current ? std::max(*current, as_of) : as_of;
}

void ChangeFollower::PeerHeard(const std::string& peer, ChangeKind kind,
                               TimePoint as_of, TimePoint now) {
  auto found = m_streams.find(peer);
  if (found == m_streams.end()) return;
  Stream& stream = found->second;
  stream.heard = now;
  TimePoint& told = stream.as_of[static_cast<std::size_t>(kind)];
  told = std::max(told, WithSlack(kind, as_of));
  Confirm(kind, as_of);
}

void ChangeFollower::PeerLost(const std::string& peer, TimePoint now) {
  Avoid(peer, now);
  m_streams.erase(peer);
}

void ChangeFollower::PlatformAnswered(ChangeKind kind, TimePoint as_of) {
  m_platform_failures = 0;
  m_unanswered[static_cast<std::size_t>(kind)] = 0;
  m_next_ask.fill(TimePoint());
  Confirm(kind, as_of);
}

TimePoint::duration ChangeFollower::Age(TimePoint now) const {
  TimePoint::duration age{0};
  for (std::size_t kind = 0; kind < kChangeKinds; ++kind) {
    const std::optional<TimePoint>& current = m_current_at[kind];
    if (current) {
      age = std::max(age,
                     now - WithSlack(static_cast<ChangeKind>(kind), *current));
    } else if (kind < kNeededKinds) {
      return TimePoint::duration::max();
    }
  }
  return age;
}

// ---------------------------------------------------------------------------
// Sources.

bool ChangeFollower::Avoided(const std::string& peer, TimePoint now) const {
  auto found = m_avoided.find(peer);
  return found != m_avoided.end() && found->second.until > now;
}

std::size_t ChangeFollower::Rank(const std::string& peer) const {
  return static_cast<std::size_t>(
      std::find(m_roles.peers.begin(), m_roles.peers.end(), peer) -
      m_roles.peers.begin());
}

const std::string* ChangeFollower::NextPeer(TimePoint now) const {
  for (const std::string& peer : m_roles.peers) {
    if (m_streams.count(peer) == 0 && !Avoided(peer, now)) return &peer;
  }
  return nullptr;
}

bool ChangeFollower::BetterPeerWaits(TimePoint now) const {
  const std::string* next = NextPeer(now);
  return next != nullptr && !m_streams.empty() &&
         std::all_of(m_streams.begin(), m_streams.end(),
                     [&](const auto& entry) {
                       return Rank(*next) < Rank(entry.first);
                     });
}

bool ChangeFollower::IsStale(const Stream& stream, TimePoint now) const {
  return stream.begun() && now - stream.Oldest() > m_times.hedge_age;
}

// The first in order of those that kept this daemon current; or, if none did,
// the one that knows most.
std::map<std::string, ChangeFollower::Stream>::const_iterator
ChangeFollower::BestStream() const {
  auto best = m_streams.end();
  for (auto it = m_streams.begin(); it != m_streams.end(); ++it) {
    const Stream& stream = it->second;
    if (!stream.begun()) continue;
    if (best == m_streams.end() || best->second.lagged != stream.lagged) {
      if (best == m_streams.end() || best->second.lagged) best = it;
    } else if (stream.lagged ? stream.Oldest() > best->second.Oldest()
                             : Rank(it->first) < Rank(best->first)) {
      best = it;
    }
  }
  return best;
}

void ChangeFollower::NoteLag(TimePoint now) {
  if (Age(now) <= m_times.hedge_age) return;
  for (auto& [peer, stream] : m_streams) {
    stream.lagged = stream.lagged || stream.begun();
  }
}

std::size_t ChangeFollower::Wanted(TimePoint now) const {
  if (ReadsWell()) return 0;
  bool second = Age(now) > m_times.hedge_age || BetterPeerWaits(now);
  return second ? 2 : 1;
}

// Followers that left a source together don't come back together, which could
// make it fail again.
void ChangeFollower::Avoid(const std::string& peer, TimePoint now) {
  Avoidance& avoidance = m_avoided[peer];
  auto stream = m_streams.find(peer);
  bool lasted = stream != m_streams.end() &&
                now - stream->second.opened > kLongestAvoidTime;
  avoidance.failures = lasted ? 1 : avoidance.failures + 1;
  milliseconds pause =
      ExponentialBackoff(kAvoidTime, kLongestAvoidTime, avoidance.failures - 1);
  avoidance.until = now + m_jitter.Between(pause, pause + pause / 4);
}

void ChangeFollower::Drop(const std::string& peer, const char* reason,
                          bool avoid, TimePoint now, Actions* out) {
  if (avoid) Avoid(peer, now);
  m_streams.erase(peer);
  out->push_back(Unsubscribe{peer, reason});
}

void ChangeFollower::DropSilent(TimePoint now, Actions* out) {
  std::vector<std::string> silent;
  for (const auto& [peer, stream] : m_streams) {
    if (now - std::max(stream.opened, stream.heard) > m_times.silence) {
      silent.push_back(peer);
    }
  }
  for (const std::string& peer : silent) {
    Drop(peer, "silent", /*avoid=*/true, now, out);
  }
}

// While several sources are open and all is well, the best one stays.
void ChangeFollower::DropSpare(TimePoint now, Actions* out) {
  std::size_t keep = ReadsWell() ? 0 : 1;
  if (m_streams.size() <= keep || Age(now) > m_times.hedge_age) return;
  auto best = BestStream();
  bool settled =
      best != m_streams.end() &&
      now - best->second.opened > m_times.heartbeat * kSettleHeartbeats;
  if (!settled) return;
  std::string kept = keep > 0 ? best->first : "";
  std::vector<std::pair<std::string, bool>> others;
  for (const auto& [peer, stream] : m_streams) {
    // One that hasn't answered yet may be the better one; silence ends it.
    bool judged = keep == 0 || stream.begun();
    if (peer != kept && judged) others.emplace_back(peer, stream.lagged);
  }
  for (const auto& [peer, lagged] : others) {
    Drop(peer, lagged ? "lagged" : "spare", /*avoid=*/lagged, now, out);
  }
}

// Sources that know nothing new make room for others. The one that knows most
// stays, since it may be the first to know more again.
void ChangeFollower::DropStale(TimePoint now, Actions* out) {
  if (Age(now) <= m_times.hedge_age || NextPeer(now) == nullptr) return;
  auto best = BestStream();
  std::vector<std::string> stale;
  for (auto it = m_streams.cbegin(); it != m_streams.cend(); ++it) {
    if (it != best && IsStale(it->second, now)) stale.push_back(it->first);
  }
  for (const std::string& peer : stale) {
    Drop(peer, "stale", /*avoid=*/true, now, out);
  }
}

void ChangeFollower::Open(TimePoint now, Actions* out) {
  std::size_t wanted = Wanted(now);
  while (m_streams.size() < wanted) {
    const std::string* next = NextPeer(now);
    if (next == nullptr) return;
    m_streams[*next].opened = now;
    out->push_back(Subscribe{*next});
  }
}

// ---------------------------------------------------------------------------
// The platform.

void ChangeFollower::AskWhenOld(TimePoint now, Actions* out) {
  // Without any source the platform is asked as often as a source would watch.
  bool alone =
      m_streams.empty() && NextPeer(now) == nullptr && !m_roles.reads_platform;
  milliseconds limit =
      alone ? m_times.platform_wait : m_times.platform_age + m_spread;
  if (m_roles.reads_platform) limit += m_watch_wait;
  // While questions have no answer, only one of them is repeated.
  auto repeated = std::find_if(m_unanswered.begin(), m_unanswered.end(),
                               [](int count) { return count > 0; });
  for (std::size_t kind = 0; kind < kChangeKinds; ++kind) {
    int& unanswered = m_unanswered[kind];
    bool held_back =
        repeated != m_unanswered.end() && &unanswered != &*repeated;
    if (!m_current_at[kind]) continue;
    TimePoint current =
        WithSlack(static_cast<ChangeKind>(kind), *m_current_at[kind]);
    bool old = now - current > limit;
    if (!old || held_back || now < m_next_ask[kind]) continue;
    // The first questions are prompt, since only one of many connections may
    // be at fault. After that it's the platform that is away.
    m_next_ask[kind] =
        now + ExponentialBackoff(m_times.ask_interval, kLongestAskPause,
                                 unanswered - 1);
    out->push_back(AskPlatform{static_cast<ChangeKind>(kind), unanswered > 0});
    ++unanswered;
  }
}

std::vector<ChangeFollower::Action> ChangeFollower::Advance(TimePoint now) {
  Actions out;
  bool listed =
      std::all_of(m_current_at.begin(), m_current_at.begin() + kNeededKinds,
                  [](const auto& known) { return known.has_value(); });
  if (!listed) return out;
  NoteLag(now);
  DropSilent(now, &out);
  DropSpare(now, &out);
  DropStale(now, &out);
  Open(now, &out);
  AskWhenOld(now, &out);
  return out;
}

}  // namespace clementine
