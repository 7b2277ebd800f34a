// Time that servers need for the first event of a request, by the length of its
// prompt.
#ifndef CORE_FIRST_EVENT_TIMES_H_
#define CORE_FIRST_EVENT_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/core.h"

namespace clementine {

/// Low envelope of the measured times from dispatch to first event, which is
/// about that of a server without a queue. Tells requests that are late because
/// of their prompt from those that are late because of the load.
class FirstEventTimes {
 public:
  void Add(std::uint32_t prompt_tokens, milliseconds latency);

  /// @return Whether a prompt of this length takes longer than `target` even
  ///     without a queue; false with too few measurements.
  bool ExceedsTarget(std::uint32_t prompt_tokens, milliseconds target) const;

 private:
  /// Four buckets for each doubling of the length, up to 2^20 tokens.
  static constexpr int kBucketsPerOctave = 4;
  static constexpr std::size_t kBuckets = 20 * kBucketsPerOctave + 1;
  struct Bucket {
    float ms = 0.0F;
    std::uint32_t samples = 0;
  };

  static std::size_t IndexOf(std::uint32_t prompt_tokens);

  std::array<Bucket, kBuckets> m_buckets{};
};

}  // namespace clementine

#endif  // CORE_FIRST_EVENT_TIMES_H_
