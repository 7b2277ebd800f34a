// Tracks what was in flight when a replica crashed, and blocks what crashes
// replicas: a request, or a part of prompts that several requests share.
//
// Most requests in flight at a crash did not cause it, since all requests of a
// server fail when it crashes. Three rules find the cause:
//
//   - A request that completes at any daemon is acquitted of all crashes known
//     at that time and of those that become known within the next 10 s. A part
//     is acquitted as soon as an answer to a request with it has begun, since a
//     part that crashes servers does so when the answer begins.
//   - A crash has one cause: see AttributeCrashes(). Of prompts with many
//     parts, only those are marked that several crashes have in common: see
//     CrashCandidates.
//   - After a time without crashes, a single request may try again whether the
//     cause still crashes servers; see StartTrial().
#ifndef CORE_QUARANTINE_H_
#define CORE_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/core.h"
#include "core/crash_candidates.h"
#include "core/recent_parts.h"

namespace clementine {

/// @param name ShareQuarantine::digest or QuarantineLearned::digest.
/// @return Whether it names an acquittal rather than a crash mark.
bool IsAcquittal(const std::string& name);
/// @return Whether it names the parts of a request by a PartFilter.
bool IsPartFilter(std::string_view name);
/// Returns the key of a crash mark or an acquittal.
std::string KeyOfMark(const std::string& name);
/// Returns the name of the crash mark that an acquittal withdraws.
std::string AcquittedMark(const std::string& acquittal);

/// Returns the key of a part of prompts.
std::string KeyOfPart(std::uint64_t part);

/// What crashes can be blamed on for one request: the request as a whole, and
/// the parts of its prompt that other requests share.
struct CrashKeys {
  std::string digest;
  /// Hashes of the parts, sorted and unique; null if there are none. Shared,
  /// since a prompt may have thousands of parts.
  std::shared_ptr<const std::vector<std::uint64_t>> parts;

  bool has_parts() const { return parts != nullptr && !parts->empty(); }
  bool Contains(const std::string& key) const;
};

/// Returns identifiers of parts for the log, at most some hundred characters.
std::string FormatParts(const std::vector<std::string>& parts);

/// Keys that are blamed together: the digest of a request, or keys of parts.
using BlamedKeys = std::vector<std::string>;

/// Bounded table of keys and the crashes at which a request with that key was
/// in flight. An acquittal that arrives before its crash mark takes effect.
/// Invariant: the result does not depend on the order in which crashes and
/// acquittals arrive, unless a bound of the table drops one.
class Quarantine {
 public:
  enum class State { kClear, kSuspect, kQuarantined };

  /// @param crashes  Number of crashes at which a request is quarantined. A
  ///     part needs at least kMinPartCrashes.
  /// @param duration Time for which a crash counts.
  /// @param seed     Spreads the trials of the daemons.
  Quarantine(int crashes, milliseconds duration, std::uint64_t seed = 1)
      : m_crash_limit(static_cast<std::size_t>(crashes)),
        m_duration(duration),
        m_seed(seed),
        m_candidates(duration) {}

  /// Requests share parts by chance, so that two crashes prove little.
  static constexpr std::size_t kMinPartCrashes = 3;
  /// Longer than it takes for a crash to become known to all daemons.
  static constexpr milliseconds kAcquittalWindow{10'000};

  /// Returns a digest of the request's organisation and content.
  static std::string Digest(const Request& request);
  /// Returns the keys of a request. Keys of parts differ between models, since
  /// an answer of one model does not acquit a part at another.
  static CrashKeys Keys(const Request& request);

  /// Returns whether a request is clear, suspect or quarantined. Only its own
  /// crashes make it a suspect: most requests that share a part with one that
  /// was in flight at a crash are sound.
  State Classify(const CrashKeys& keys, TimePoint now) const;
  State Classify(const std::string& digest, TimePoint now) const {
    return Classify(CrashKeys{digest, nullptr}, now);
  }

  /// Keys that a quarantined request is blamed for; empty for others.
  BlamedKeys FindBlamed(const CrashKeys& keys, TimePoint now) const;

  /// Time until a quarantined request may be clear; zero for others.
  milliseconds RemainingTime(const CrashKeys& keys, TimePoint now) const;
  milliseconds RemainingTime(const std::string& digest, TimePoint now) const {
    return RemainingTime(CrashKeys{digest, nullptr}, now);
  }

  /// Tells whether a quarantined request may run as a trial: if it completes,
  /// its causes are acquitted everywhere, and if it crashes its server, the
  /// next trial is due after twice the time. The daemons take turns at random,
  /// so that about one trial runs before they know its result, however many
  /// such requests arrive at once.
  /// @return True once; the request must then be dispatched.
  bool StartTrial(const CrashKeys& keys, TimePoint now);
  void SetDaemonCount(int daemons) { m_daemons = daemons < 1 ? 1 : daemons; }

  /// Number of changes of the causes that are blamed so far. Running attempts
  /// have to be checked again after a change.
  std::uint64_t cause_changes(TimePoint now) const;

  /// Records a crash observed by this daemon, at which a request was in flight.
  /// @param keys    Keys of the request that may have caused the crash.
  /// @param group   Group and epoch of the replica.
  /// @param started When the attempt was dispatched.
  /// @return Crash marks to share.
  std::vector<ShareQuarantine> OnServerCrash(const CrashKeys& keys,
                                             const std::string& group,
                                             TimePoint started, TimePoint now);
  /// The same for a single key.
  /// @param key     One of the keys of a request that was in flight.
  /// @param group   Group and epoch of the replica.
  /// @param started When the attempt was dispatched.
  /// @return Crash mark to share; nothing when this crash was already recorded
  ///     or the request has recently completed.
  std::optional<ShareQuarantine> OnServerCrash(const std::string& key,
                                               const std::string& group,
                                               TimePoint started,
                                               TimePoint now);

  /// Records a crash mark or an acquittal from another daemon.
  /// @return Acquittals to share if the request has recently completed here,
  ///     and crash marks of parts that are suspected now.
  std::vector<ShareQuarantine> OnPeerNotice(const QuarantineLearned& notice,
                                            TimePoint now);

  /// Number of unexpired crashes of which the key is not acquitted.
  int Count(const std::string& key, TimePoint now) const;

  /// Acquits a key of all known crashes: the digest of a request that has
  /// completed, or a part of a request whose answer has begun.
  /// @return Acquittals to share.
  std::vector<ShareQuarantine> OnRequestCompleted(const std::string& key,
                                                  TimePoint now);
  /// Acquits the parts of a request whose answer has begun.
  /// @return Acquittals to share.
  std::vector<ShareQuarantine> AcquitParts(const CrashKeys& keys,
                                           TimePoint now);
  /// Whether the key was acquitted by a request within the last 10 s.
  bool HasRecentlyCompleted(const std::string& key, TimePoint now) const;

  void Expire(TimePoint now);

  std::size_t size() const { return m_entries.size(); }
  /// Number of times that a new cause was blamed.
  std::uint64_t times_quarantined(TimePoint now) const;

 private:
  struct Crash {
    std::string name;  ///< Group, epoch and number of the crash.
    TimePoint recorded_at;
    bool acquitted = false;
  };
  struct Entry {
    /// At most kMaxCrashesPerKey, of which at most kMaxUnacquitted are not
    /// acquitted.
    std::vector<Crash> crashes;
    TimePoint expires_at;
  };
  /// A blamed cause of crashes.
  struct Cause {
    BlamedKeys keys;  ///< Sorted. Requests that have all of them are blocked.
    std::size_t crash_count = 0;
    int failed_trials = 0;  ///< Crashes long after the one before them.
    TimePoint last_crash;
    TimePoint expires_at;
  };

  std::size_t LimitOf(const std::string& key) const;
  /// Called with an entry while its unacquitted crashes are at their maximum:
  /// after one was added, or before some are acquitted.
  void NoteEvidenceChange(const std::string& key, const Entry& entry);
  /// Recomputes m_causes if crashes, acquittals or expiries have changed them.
  void UpdateCauses(TimePoint now) const;
  Cause MakeCause(BlamedKeys keys, std::size_t crash_count,
                  TimePoint now) const;
  /// Returns the causes that block a request.
  std::vector<const Cause*> CausesOf(const CrashKeys& keys,
                                     TimePoint now) const;
  bool IsTrialDue(const Cause& cause, TimePoint now) const;

  const Entry* Find(const std::string& key, TimePoint now) const;
  Entry* Find(const std::string& key, TimePoint now);
  /// Returns the number of the entry's crashes that are not acquitted.
  static std::size_t CountUnacquitted(const Entry& entry);
  void Add(const std::string& key, std::string crash, bool acquitted,
           TimePoint expires_at, TimePoint now);
  /// Acquits the key of all named crashes. @return Acquittals to share.
  std::vector<ShareQuarantine> Acquit(const std::string& key, TimePoint now);
  void EvictIfFull();
  /// Marks the parts that are suspected of several crashes.
  /// @return Crash marks to share.
  std::vector<ShareQuarantine> MarkSuspectParts(TimePoint now);

  std::size_t m_crash_limit;
  milliseconds m_duration;
  std::uint64_t m_seed;
  int m_daemons = 1;
  CrashCandidates m_candidates;
  RecentParts m_acquitted_parts{kAcquittalWindow};
  std::unordered_map<std::string, Entry> m_entries;
  /// Parts with an entry, and some whose entry was removed.
  std::unordered_set<std::uint64_t> m_marked_parts;
  /// Time of the last completion per key. Bounded.
  std::unordered_map<std::string, TimePoint> m_completed;
  std::deque<std::pair<TimePoint, std::string>> m_completed_order;
  /// Last trial of this daemon, by the keys of the cause. Bounded by removal
  /// with the cause.
  std::unordered_map<std::string, TimePoint> m_trials;

  // Computed from m_entries when needed.
  mutable bool m_causes_outdated = false;
  mutable TimePoint m_causes_expire_at = TimePoint::max();
  mutable std::vector<Cause> m_causes;
  /// Indexes into m_causes by the first key of the cause, if it is a digest.
  mutable std::unordered_map<std::string, std::vector<std::size_t>>
      m_causes_by_digest;
  /// Indexes of the other causes.
  mutable std::vector<std::size_t> m_causes_by_parts;
  mutable std::uint64_t m_cause_changes = 0;
  mutable std::uint64_t m_times_quarantined = 0;
};

}  // namespace clementine

#endif  // CORE_QUARANTINE_H_
