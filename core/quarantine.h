// Requests that were in flight when a replica crashed.
//
// Most of them are innocent: a server that ends has all its requests in flight.
// Those that run to a good end, anywhere, are acquitted of the crashes that
// were known by then or become known soon after, since a request that crashes
// servers never does.
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

/// Whether a shared name is that of an acquittal and not of a crash.
bool IsAcquittal(const std::string& name);
/// Name of the crash that an acquittal is about.
std::string AcquittedMark(const std::string& acquittal);

/// Bounded table from digest to the crashes that it was in flight at.
/// Invariant: what is learned doesn't depend on its order, so an acquittal that
/// comes before its crash counts.
class Quarantine {
 public:
  enum class Verdict { kClear, kSuspect, kQuarantined };

  /// @param crashes  Crashes after which a digest is quarantined.
  /// @param duration How long a crash is remembered.
  Quarantine(int crashes, milliseconds duration)
      : m_crashes(static_cast<std::size_t>(crashes)), m_duration(duration) {}

  /// Digest over organisation and content.
  static std::string Digest(const Request& request);

  Verdict Judge(const std::string& digest, TimePoint now) const;

  /// Time until a digest is forgotten; zero when it's unknown.
  milliseconds Remaining(const std::string& digest, TimePoint now) const;

  /// Counts a crash seen by this daemon.
  /// @param group   Group and epoch of the replica.
  /// @param started When the attempt was dispatched.
  /// @return What to share, or nothing when this crash was already counted or
  ///     the request has just run to a good end.
  std::optional<ShareQuarantine> Crashed(const std::string& digest,
                                         const std::string& group,
                                         TimePoint started, TimePoint now);

  /// @return Acquittals to share, of a request that has just run to a good end.
  std::vector<ShareQuarantine> Learned(const QuarantineLearned& learned,
                                       TimePoint now);

  /// Crashes known of a digest that haven't expired.
  int Count(const std::string& digest, TimePoint now) const;

  /// A request completed: it caused none of its crashes.
  /// @return Acquittals to share.
  std::vector<ShareQuarantine> Completed(const std::string& digest,
                                         TimePoint now);
  /// Whether a request ran to a good end within the last seconds.
  bool JustCompleted(const std::string& digest, TimePoint now) const;

  void Expire(TimePoint now);

  std::size_t size() const { return m_entries.size(); }
  /// Digests that reached the limit so far.
  std::uint64_t total() const { return m_total; }

 private:
  struct Crash {
    std::string name;  ///< Group, epoch and number of the crash.
    TimePoint seen;
    bool acquitted = false;
  };
  struct Entry {
    /// Bounded; at most the limit of them aren't acquitted.
    std::vector<Crash> crashes;
    TimePoint expires;
  };

  const Entry* Find(const std::string& digest, TimePoint now) const;
  Entry* Find(const std::string& digest, TimePoint now);
  /// Crashes of which an entry isn't acquitted.
  static std::size_t Open(const Entry& entry);
  void Add(const std::string& digest, std::string crash, bool acquitted,
           TimePoint expires, TimePoint now);
  /// Acquits of all named crashes. @return What to share.
  std::vector<ShareQuarantine> Acquit(const std::string& digest, TimePoint now);
  void MakeRoom();

  std::size_t m_crashes;
  milliseconds m_duration;
  std::unordered_map<std::string, Entry> m_entries;
  /// Digests of requests that completed, with the last time. Bounded.
  std::unordered_map<std::string, TimePoint> m_completed;
  std::deque<std::pair<TimePoint, std::string>> m_completed_order;
  std::uint64_t m_total = 0;
};

}  // namespace clementine

#endif  // CORE_QUARANTINE_H_
