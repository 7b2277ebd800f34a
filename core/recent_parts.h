// Remembers for some seconds which parts of prompts were acquitted.
#ifndef CORE_RECENT_PARTS_H_
#define CORE_RECENT_PARTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Table of a fixed size. A part that is added often stays, however many others
/// are added, unless all parts of its bucket are more recent.
class RecentParts {
 public:
  /// @param window Time for which a part is remembered.
  explicit RecentParts(milliseconds window) : m_window(window) {}

  void Add(std::uint64_t part, TimePoint now) {
    if (m_buckets.empty()) m_buckets.resize(kBuckets);
    Bucket& bucket = m_buckets[part % kBuckets];
    Entry* oldest = bucket.data();
    for (Entry& entry : bucket) {
      if (entry.part == part) {
        entry.added_at = now;
        return;
      }
      if (entry.added_at < oldest->added_at) oldest = &entry;
    }
    *oldest = {part, now};
  }

  bool Contains(std::uint64_t part, TimePoint now) const {
    if (m_buckets.empty()) return false;
    for (const Entry& entry : m_buckets[part % kBuckets]) {
      if (entry.part == part) {
        return entry.added_at != TimePoint() &&
               now - entry.added_at <= m_window;
      }
    }
    return false;
  }

 private:
  /// 65,536 parts, which take 1 MB: 40 prompts of 1,600 parts that nothing else
  /// shares.
  static constexpr std::size_t kBuckets = 8'192;

  struct Entry {
    std::uint64_t part = 0;
    TimePoint added_at;
  };
  using Bucket = std::array<Entry, 8>;

  milliseconds m_window;
  std::vector<Bucket> m_buckets;  ///< Allocated with the first part.
};

}  // namespace clementine

#endif  // CORE_RECENT_PARTS_H_
