// Tracks the requests that were in flight when a replica crashed, and blocks
// requests that were in flight at several crashes.
//
// Most requests in flight at a crash did not cause it, since all requests of a
// server fail when it crashes. A request that completes at any daemon is
// acquitted of all crashes known at that time and of those that become known
// within the next 10 s, since a request that crashes servers never completes.
#ifndef CORE_QUARANTINE_H_
#define CORE_QUARANTINE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/core.h"

namespace clementine {

/// @param name ShareQuarantine::digest or QuarantineLearned::digest.
/// @return Whether it names an acquittal rather than a crash mark.
bool IsAcquittal(const std::string& name);
/// Returns the name of the crash mark that an acquittal withdraws.
std::string AcquittedMark(const std::string& acquittal);

/// Bounded table of request digests and the crashes at which a request with
/// that digest was in flight. An acquittal that arrives before its crash mark
/// takes effect. Invariant: the result does not depend on the order in which
/// crashes and acquittals arrive, unless a bound of the table drops one. In
/// particular, a crash that arrives when the number of unacquitted crashes has
/// reached the limit is not recorded, and does not count when another crash is
/// acquitted later.
class Quarantine {
 public:
  enum class DigestState { kClear, kSuspect, kQuarantined };

  /// @param crashes  Number of crashes at which a digest is quarantined.
  /// @param duration Time for which a crash counts.
  Quarantine(int crashes, milliseconds duration)
      : m_crash_limit(static_cast<std::size_t>(crashes)),
        m_duration(duration) {}

  /// Returns a digest of the request's organisation and content.
  static std::string Digest(const Request& request);

  /// Returns whether the digest is clear, suspect or quarantined.
  DigestState Classify(const std::string& digest, TimePoint now) const;

  /// Time until the digest's entry expires; zero for an unknown digest.
  milliseconds RemainingTime(const std::string& digest, TimePoint now) const;

  /// Records a crash observed by this daemon.
  /// @param group   Group and epoch of the replica.
  /// @param started When the attempt was dispatched.
  /// @return Crash mark to share; nothing when this crash was already recorded
  ///     or the request has recently completed.
  std::optional<ShareQuarantine> OnServerCrash(const std::string& digest,
                                               const std::string& group,
                                               TimePoint started,
                                               TimePoint now);

  /// Records a crash mark or an acquittal from another daemon.
  /// @return Acquittals to share if the request has recently completed here.
  std::vector<ShareQuarantine> OnPeerNotice(const QuarantineLearned& notice,
                                            TimePoint now);

  /// Number of unexpired crashes of which the digest is not acquitted.
  int Count(const std::string& digest, TimePoint now) const;

  /// Acquits the digest of all known crashes.
  /// @return Acquittals to share.
  std::vector<ShareQuarantine> OnRequestCompleted(const std::string& digest,
                                                  TimePoint now);
  /// Whether a request with this digest completed within the last 10 s.
  bool HasRecentlyCompleted(const std::string& digest, TimePoint now) const;

  void Expire(TimePoint now);

  std::size_t size() const { return m_entries.size(); }
  /// Number of times that a digest has reached the limit.
  std::uint64_t times_quarantined() const { return m_times_quarantined; }

 private:
  struct Crash {
    std::string name;  ///< Group, epoch and number of the crash.
    TimePoint recorded_at;
    bool acquitted = false;
  };
  struct Entry {
    /// At most kMaxCrashesPerDigest, of which at most m_crash_limit are not
    /// acquitted.
    std::vector<Crash> crashes;
    TimePoint expires_at;
  };

  const Entry* Find(const std::string& digest, TimePoint now) const;
  Entry* Find(const std::string& digest, TimePoint now);
  /// Returns the number of the entry's crashes that are not acquitted.
  static std::size_t CountUnacquitted(const Entry& entry);
  void Add(const std::string& digest, std::string crash, bool acquitted,
           TimePoint expires_at, TimePoint now);
  /// Acquits the digest of all named crashes. @return Acquittals to share.
  std::vector<ShareQuarantine> Acquit(const std::string& digest, TimePoint now);
  void EvictIfFull();

  std::size_t m_crash_limit;
  milliseconds m_duration;
  std::unordered_map<std::string, Entry> m_entries;
  /// Time of the last completion per digest. Bounded.
  std::unordered_map<std::string, TimePoint> m_completed;
  std::deque<std::pair<TimePoint, std::string>> m_completed_order;
  std::uint64_t m_times_quarantined = 0;
};

}  // namespace clementine

#endif  // CORE_QUARANTINE_H_
