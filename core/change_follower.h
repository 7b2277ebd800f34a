// Keeps a daemon's knowledge of the platform's objects current within a bound.
//
// In a large fleet one daemon of each data centre watches the platform. The
// others subscribe to it: it sends them each change, and tells at least every
// heartbeat up to which time it knows all changes. That time is passed on from
// daemon to daemon unchanged, so whoever knows nothing new can't seem current.
//
//   age, since the last time up to which all changes are known
//   0 ......... hedge_age ......... platform_age ................. bound
//   one source   a second source     the platform is asked as well
//
// Each step begins at an age and not when another step has failed, so several
// failures at once don't add their times up.
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
  kCrashes,  ///< Marks that daemons share, as in core/crash_exchange.h.
};
inline constexpr std::size_t kChangeKinds = 3;
/// Kinds without which a daemon can't serve; the first ones.
inline constexpr std::size_t kNeededKinds = 2;

/// Parts of the bound within which a change reaches each daemon.
/// Invariants: 2 * platform_wait + gather < hedge_age < platform_age, and
/// platform_age + spread + 2 * ask_interval < bound.
struct FollowTimes {
  milliseconds platform_wait{0};  ///< A watch without changes is answered then.
  milliseconds gather{0};     ///< Changes within this time are read together.
  milliseconds heartbeat{0};  ///< A source sends something this often.
  milliseconds silence{0};    ///< A source that sent nothing so long is lost.
  milliseconds hedge_age{0};
  milliseconds platform_age{0};
  milliseconds spread{0};        ///< Daemons ask the platform this far apart.
  milliseconds ask_interval{0};  ///< Between questions without an answer.
  /// Crash marks may be older than the other kinds by this time, which spares
  /// the platform most of their watches.
  milliseconds crash_slack{0};
};

/// @param bound Time within which a change has to reach each daemon.
FollowTimes DeriveFollowTimes(milliseconds bound);

/// How a daemon takes part in spreading changes of the platform's objects.
struct ChangeRoles {
  bool reads_platform = true;  ///< Watches the platform all the time.
  bool is_source = false;      ///< Others rely on what it reads there.
  /// Addresses of daemons that pass changes on, the best one first.
  std::vector<std::string> peers;

  friend bool operator==(const ChangeRoles&, const ChangeRoles&) = default;
};

/// Decides whom to ask next; a daemon carries it out.
/// Invariant: a time up to which all changes are known never goes back.
class ChangeFollower {
 public:
  struct Subscribe {
    std::string peer;
  };
  struct Unsubscribe {
    std::string peer;
    const char* reason = "";
  };
  /// Asks for changes, to be answered at once.
  struct AskPlatform {
    ChangeKind kind = ChangeKind::kServers;
    bool fresh = false;  ///< Over a new connection.
  };
  using Action = std::variant<Subscribe, Unsubscribe, AskPlatform>;

  ChangeFollower(milliseconds bound, std::uint64_t seed);

  /// @param watch_wait How long the platform may hold this daemon's watches.
  void SetRoles(const ChangeRoles& roles, milliseconds watch_wait);

  /// A peer knows all changes up to a time.
  void PeerHeard(const std::string& peer, ChangeKind kind, TimePoint as_of,
                 TimePoint now);
  /// The subscription has ended or couldn't be made.
  void PeerLost(const std::string& peer, TimePoint now);

  /// The platform answered a list, a watch or a question.
  /// @param as_of Up to when the answer tells all changes.
  void PlatformAnswered(ChangeKind kind, TimePoint as_of);
  void PlatformFailed() { ++m_platform_failures; }

  std::vector<Action> Advance(TimePoint now);

  /// Up to when all changes are known; nothing before the first list.
  std::optional<TimePoint> CurrentAt(ChangeKind kind) const {
    return m_current_at[static_cast<std::size_t>(kind)];
  }
  /// Since the oldest of these times; the longest before the first lists.
  TimePoint::duration Age(TimePoint now) const;

  const FollowTimes& times() const { return m_times; }

 private:
  using Actions = std::vector<Action>;
  /// A subscription.
  struct Stream {
    TimePoint opened;
    TimePoint heard;
    std::array<TimePoint, kChangeKinds> as_of{};
    bool lagged = false;  ///< A second source was needed beside it.

    bool begun() const { return heard != TimePoint(); }
    /// Up to when it told all changes of every kind.
    TimePoint Oldest() const;
  };

  /// A source that failed isn't opened before a time.
  struct Avoidance {
    TimePoint until;
    int failures = 0;  ///< In a row.
  };

  void Confirm(ChangeKind kind, TimePoint as_of);
  /// The time that is compared with those of the other kinds.
  TimePoint WithSlack(ChangeKind kind, TimePoint as_of) const;
  /// Whether its own watches of the platform keep it current.
  bool ReadsWell() const {
    return m_roles.reads_platform && m_platform_failures == 0;
  }
  std::size_t Wanted(TimePoint now) const;
  bool IsStale(const Stream& stream, TimePoint now) const;
  bool BetterPeerWaits(TimePoint now) const;
  const std::string* NextPeer(TimePoint now) const;
  bool Avoided(const std::string& peer, TimePoint now) const;
  std::size_t Rank(const std::string& peer) const;
  std::map<std::string, Stream>::const_iterator BestStream() const;
  void Drop(const std::string& peer, const char* reason, bool avoid,
            TimePoint now, Actions* out);
  void Avoid(const std::string& peer, TimePoint now);
  void NoteLag(TimePoint now);
  void DropSilent(TimePoint now, Actions* out);
  void DropSpare(TimePoint now, Actions* out);
  void DropStale(TimePoint now, Actions* out);
  void Open(TimePoint now, Actions* out);
  void AskWhenOld(TimePoint now, Actions* out);

  FollowTimes m_times;
  Jitter m_jitter;
  milliseconds m_spread;
  ChangeRoles m_roles;
  milliseconds m_watch_wait{0};
  std::map<std::string, Stream> m_streams;     ///< By address.
  std::map<std::string, Avoidance> m_avoided;  ///< By address.
  std::array<std::optional<TimePoint>, kChangeKinds> m_current_at;
  std::array<TimePoint, kChangeKinds> m_next_ask{};
  std::array<int, kChangeKinds> m_unanswered{};  ///< Questions.
  int m_platform_failures = 0;                   ///< Since its last answer.
};

}  // namespace clementine

#endif  // CORE_CHANGE_FOLLOWER_H_
