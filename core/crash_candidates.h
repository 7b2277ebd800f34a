// Finds what the prompts that were in flight at several crashes have in common.
//
// A request with a few parts that may have caused a crash gets a mark for each
// of them. Prompts may have thousands of parts. For such a request, daemons
// share a PartFilter of its parts, and mark only parts that were in flight at
// another crash as well, those with the most crashes first. The part that
// causes the crashes is among these after the second one.
#ifndef CORE_CRASH_CANDIDATES_H_
#define CORE_CRASH_CANDIDATES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "core/part_filter.h"

namespace clementine {

/// Bounded table of the parts that were in flight at crashes which this daemon
/// observed, and of the filters of other daemons.
/// Invariant: filters only select the parts to mark. A mark is made only for a
/// part that this daemon knows to have been in flight at the crash.
class CrashCandidates {
 public:
  /// Number of parts for which a daemon makes marks at the same time.
  static constexpr std::size_t kMaxMarkedParts = 16;

  struct Mark {
    std::uint64_t part = 0;  ///< Hash, see Quarantine::Keys.
    std::string crash;
  };

  /// @param duration Time for which a crash counts.
  explicit CrashCandidates(milliseconds duration) : m_duration(duration) {}

  /// Returns the name of a crash that ended an attempt: "<group>#<number>".
  /// @param group   Group and epoch of the replica.
  /// @param started When the attempt was dispatched. An earlier crash of the
  ///     same group is another one.
  std::string CrashName(const std::string& group, TimePoint started) const;

  /// Adds parts that were in flight at a crash which this daemon observed.
  void AddParts(const std::string& crash,
                const std::vector<std::uint64_t>& parts, TimePoint now);
  /// Adds what other daemons tell of a crash.
  /// @return Whether a part of this daemon was in flight at the crash as well,
  ///     as was not known before.
  bool AddReported(const std::string& crash, PartFilter filter, TimePoint now);
  bool AddReported(const std::string& crash, std::uint64_t part, TimePoint now);

  /// Removes a part that was acquitted.
  void Remove(std::uint64_t part) { m_parts.erase(part); }

  /// Returns marks for the kMaxMarkedParts parts that were in flight at most
  /// crashes, at least two. All daemons prefer the same among equal ones.
  std::vector<Mark> SuspectMarks() const;

  void Expire(TimePoint now);

  std::size_t size() const { return m_parts.size(); }
  std::size_t filter_bytes() const { return m_filter_bytes; }

 private:
  /// A bit for each element of m_crashes.
  using CrashSet = std::uint32_t;
  static constexpr std::size_t kMaxCrashes = 32;

  struct Crash {
    std::string name;
    TimePoint recorded_at;
    std::vector<PartFilter> filters;
  };
  struct Candidate {
    CrashSet observed = 0;  ///< Crashes that this daemon observed. Never empty.
    CrashSet reported = 0;
  };

  /// Returns the index of a crash; adds it if it is unknown.
  std::size_t FindOrAddCrash(const std::string& name, TimePoint now);
  /// Frees the oldest crash other than `kept`. @return False if there is none.
  bool EvictOldest(std::size_t kept);
  void Forget(std::size_t crash);

  milliseconds m_duration;
  std::vector<Crash> m_crashes;  ///< Without a name: unused.
  std::unordered_map<std::uint64_t, Candidate> m_parts;
  std::size_t m_filter_bytes = 0;
};

}  // namespace clementine

#endif  // CORE_CRASH_CANDIDATES_H_
