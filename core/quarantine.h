// Requests that were in flight when a replica crashed.
#ifndef CORE_QUARANTINE_H_
#define CORE_QUARANTINE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Bounded table from digest to the crashes that it was in flight at.
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
  /// @return What to share, or nothing when this crash was already counted.
  std::optional<ShareQuarantine> Crashed(const std::string& digest,
                                         const std::string& group,
                                         TimePoint started, TimePoint now);

  void Learned(const QuarantineLearned& learned, TimePoint now);

  /// Crashes known of a digest that haven't expired.
  int Count(const std::string& digest, TimePoint now) const;

  /// A suspect completed: it didn't cause the crash.
  void Cleared(const std::string& digest);

  void Expire(TimePoint now);

  std::size_t size() const { return m_entries.size(); }
  /// Digests that reached the limit so far.
  std::uint64_t total() const { return m_total; }

 private:
  struct Crash {
    std::string name;  ///< Group, epoch and number of the crash.
    TimePoint seen;
  };
  struct Entry {
    std::vector<Crash> crashes;  ///< At most the limit.
    TimePoint expires;
  };

  Entry* Find(const std::string& digest, TimePoint now);
  void Add(const std::string& digest, std::string crash, TimePoint expires,
           TimePoint now);
  void MakeRoom();

  std::size_t m_crashes;
  milliseconds m_duration;
  std::unordered_map<std::string, Entry> m_entries;
  std::uint64_t m_total = 0;
};

}  // namespace clementine

#endif  // CORE_QUARANTINE_H_
