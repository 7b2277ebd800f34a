// Keeps a daemon's copy of the platform's objects current within a bound.
//
// In a large fleet one daemon of each data centre watches the platform, or two
// if there is only one data centre. The other daemons subscribe to them or to
// daemons that relay their changes. A source sends each change to its
// subscribers, and at least once per heartbeat period it sends the time up to
// which it knows all changes. This time is relayed between daemons unchanged;
// therefore a daemon without new data cannot appear current.
//
//   age: time since the point up to which all changes are known
//   0 ......... hedge_age ..... platform_query_age ............... bound
//   one source   a second source     the platform is queried as well, and
//                                    up to kMaxStreams sources are used
//
// Each step starts at a fixed age instead of after the failure of the previous
// step, so that the detection times of simultaneous failures do not add up.
//
// A source that failed comes after the others for a time. This only orders the
// sources: from hedge_age on, those that failed are tried again as well, after
// pauses that are a small part of the bound. So however many troubles came
// before, an old state is always accompanied by attempts to renew it.
#ifndef CORE_CHANGE_FOLLOWER_H_
#define CORE_CHANGE_FOLLOWER_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "core/jitter.h"

namespace clementine {

/// Kinds of the platform's objects that daemons follow.
enum class ChangeKind : std::size_t {
  kServers,
  kConfiguration,
  kCrashes,  ///< Crash marks that daemons share; see core/crash_exchange.h.
  /// Evacuations of data centres; followed only where the settings ask for it.
  kEvacuations,
};
inline constexpr std::size_t kChangeKinds = 4;
/// Number of kinds that a daemon requires to serve requests. They are the first
/// values of ChangeKind.
inline constexpr std::size_t kRequiredKinds = 2;

/// Durations derived from the bound within which a change reaches each daemon.
/// Invariants: 2 * watch_duration + batch_window < hedge_age <
/// platform_query_age, platform_query_age + query_spread + 2 * query_interval <
/// bound, and hedge_age + max_retry_interval + silence_timeout < bound.
struct FollowerTimings {
  /// The platform answers a watch without changes after this time.
  milliseconds watch_duration{0};
  /// Changes within this window are read together.
  milliseconds batch_window{0};
  /// Maximum time between two messages of a source.
  milliseconds heartbeat_period{0};
  /// A source without messages for this time is dropped.
  milliseconds silence_timeout{0};
  milliseconds hedge_age{0};
  milliseconds platform_query_age{0};
  /// Daemons spread their queries to the platform over this time.
  milliseconds query_spread{0};
  /// Between unanswered queries. It is doubled with each of them.
  milliseconds query_interval{0};
  milliseconds max_query_interval{0};
  /// A source that failed is not tried again for this time. It is doubled with
  /// each consecutive failure.
  milliseconds retry_interval{0};
  milliseconds max_retry_interval{0};
  /// Other sources are preferred to one that failed for this time. It is
  /// doubled with each consecutive failure.
  milliseconds avoid_duration{0};
  milliseconds max_avoid_duration{0};
  /// Additional age allowed for crash marks, which saves most of the watches
  /// for them on the platform.
  milliseconds crash_mark_slack{0};
};

/// @param bound Maximum time for a change to reach each daemon.
FollowerTimings DeriveFollowerTimings(milliseconds bound);

/// Role of a daemon in distributing changes of the platform's objects.
struct ChangeRoles {
  bool reads_platform = true;  ///< Watches the platform continuously.
  bool is_source = false;      ///< Other daemons depend on its watches.
  /// Addresses of daemons that relay changes, in order of preference.
  std::vector<std::string> peers;

  friend bool operator==(const ChangeRoles&, const ChangeRoles&) = default;
};

/// Decides which peers to subscribe to and when to query the platform. Performs
/// no I/O.
/// Invariant: the time up to which all changes are known never moves back.
class ChangeFollower {
 public:
  struct Subscribe {
    std::string peer;
  };
  struct Unsubscribe {
    std::string peer;
    const char* reason = "";
  };
  /// Reads changes with a query that is answered immediately.
  struct QueryPlatform {
    ChangeKind kind = ChangeKind::kServers;
    bool fresh = false;  ///< Use a new connection.
  };
  using Action = std::variant<Subscribe, Unsubscribe, QueryPlatform>;

  /// What this daemon knows of a peer; for logs.
  struct PeerStatus {
    std::string peer;
    bool subscribed = false;
    /// Age of the peer's data; empty before its first data.
    std::optional<milliseconds> data_age;
    milliseconds avoided_for{0};  ///< 0 if the peer isn't avoided.
    int failures = 0;             ///< Consecutive.
    const char* reason = "";      ///< Of the last failure.
  };

  /// Maximum number of sources at the same time.
  static constexpr std::size_t kMaxStreams = 4;

  ChangeFollower(milliseconds bound, std::uint64_t seed);

  /// @param own_watch_duration Maximum time that the platform holds this
  ///     daemon's watches without a change. It may be longer than
  ///     times().watch_duration if no other daemon depends on these watches.
  void SetRoles(const ChangeRoles& roles, milliseconds own_watch_duration);

  /// A peer reported that it knows all changes of a kind up to `as_of`.
  void OnPeerUpdate(const std::string& peer, ChangeKind kind, TimePoint as_of,
                    TimePoint now);
  /// A peer sent data that isn't comparable with the known state, because the
  /// store was restored and only one side has seen that.
  void OnPeerHeartbeat(const std::string& peer, TimePoint now);
  /// The subscription has ended or could not be established.
  void OnPeerEnded(const std::string& peer, TimePoint now);

  /// The platform answered a list, a watch or a query.
  /// @param as_of Time up to which the response covers all changes.
  void OnPlatformAnswer(ChangeKind kind, TimePoint as_of);
  void OnPlatformFailure() { ++m_platform_failures; }

  std::vector<Action> Advance(TimePoint now);

  /// Time up to which all changes are known; empty before the first list.
  std::optional<TimePoint> CurrentAsOf(ChangeKind kind) const {
    return m_current_as_of[static_cast<std::size_t>(kind)];
  }
  /// Age of the oldest of these times, where the time of crash marks counts as
  /// later by crash_mark_slack. The maximum duration before the first lists of
  /// the required kinds.
  TimePoint::duration Age(TimePoint now) const;

  /// Whether the data is so old that the platform is queried for it.
  bool IsOutdated(TimePoint now) const { return Age(now) > QueryAge(); }

  /// @return All peers that may be subscribed to, in order of preference, and
  ///     then the other ones to which a subscription is open.
  std::vector<PeerStatus> PeerStatuses(TimePoint now) const;

  const FollowerTimings& times() const { return m_times; }

 private:
  using Actions = std::vector<Action>;
  /// A subscription to a peer.
  struct Stream {
    TimePoint opened_at;
    TimePoint last_data_at;
    std::array<TimePoint, kChangeKinds> as_of{};
    /// Time since which the peer's data has been older than this daemon's by
    /// more than StaleAge().
    std::optional<TimePoint> behind_since;
    /// It has been so for a heartbeat period once: the peer was slower than
    /// another source at the same time.
    bool lagged = false;

    bool HasData() const { return last_data_at != TimePoint(); }
    /// Time up to which the peer reported all changes of every kind.
    TimePoint OldestAsOf() const;
  };

  /// A peer whose subscription has ended.
  struct Failure {
    TimePoint retry_at;       ///< It is not subscribed to before this time.
    TimePoint avoided_until;  ///< Other peers are preferred until then.
    int count = 0;            ///< Consecutive.
    const char* reason = "";
  };

  void RecordAsOf(ChangeKind kind, TimePoint as_of);
  /// Adds the additional age that is allowed for a kind, so that the result is
  /// comparable with the times of other kinds.
  TimePoint AddKindSlack(ChangeKind kind, TimePoint as_of) const;
  /// Whether the daemon's own watches of the platform succeed.
  bool ReadsPlatformSuccessfully() const {
    return m_roles.reads_platform && m_platform_failures == 0;
  }
  /// Age of the data from which on the platform is queried.
  milliseconds QueryAge() const;
  /// Age from which on a peer's data is older than that of a sound peer.
  milliseconds StaleAge() const;
  std::size_t TargetStreamCount(TimePoint now) const;
  bool IsStale(const Stream& stream, TimePoint now) const;
  bool HasBetterPeer(TimePoint now) const;
  /// @return The peer to subscribe to next; null if there is none.
  const std::string* NextPeer(TimePoint now) const;
  bool MayRetry(const std::string& peer, TimePoint now) const;
  bool IsAvoided(const std::string& peer, TimePoint now) const;
  std::size_t PeerRank(const std::string& peer) const;
  /// @return The peers whose streams have data, best first.
  std::vector<std::string> RankStreams(TimePoint now) const;
  void DropStream(const std::string& peer, const char* reason, bool failed,
                  TimePoint now, Actions* out);
  void RecordFailure(const std::string& peer, const char* reason,
                     TimePoint now);
  void MarkLaggingStreams(TimePoint now);
  void DropUnresponsiveStreams(TimePoint now, Actions* out);
  void DropSurplusStreams(TimePoint now, Actions* out);
  void ReplaceStaleStream(TimePoint now, Actions* out);
  void OpenStreams(TimePoint now, Actions* out);
  void QueryPlatformIfStale(TimePoint now, Actions* out);

  FollowerTimings m_times;
  Jitter m_jitter;
  milliseconds m_query_spread;
  ChangeRoles m_roles;
  milliseconds m_own_watch_duration{0};
  std::map<std::string, Stream> m_streams;    ///< By address.
  std::map<std::string, Failure> m_failures;  ///< By address.
  std::array<std::optional<TimePoint>, kChangeKinds> m_current_as_of;
  std::array<TimePoint, kChangeKinds> m_next_query_at{};
  std::array<int, kChangeKinds> m_unanswered_queries{};
  int m_platform_failures = 0;  ///< Since the last response.
};

}  // namespace clementine

#endif  // CORE_CHANGE_FOLLOWER_H_
