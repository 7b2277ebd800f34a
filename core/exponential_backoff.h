// Exponential backoff between attempts.
#ifndef CORE_EXPONENTIAL_BACKOFF_H_
#define CORE_EXPONENTIAL_BACKOFF_H_

#include <algorithm>
#include <chrono>

namespace clementine {

/// @param doublings Number of failed attempts so far; negative counts as 0.
/// @return `initial_delay` doubled `doublings` times, at most `max_delay`.
inline std::chrono::milliseconds ExponentialBackoff(
    std::chrono::milliseconds initial_delay,
    std::chrono::milliseconds max_delay, int doublings) {
  // Prevents overflow; every delay in use reaches its maximum with fewer
  // doublings.
  constexpr int kMaxShift = 20;
  return std::min(max_delay,
                  initial_delay * (1 << std::clamp(doublings, 0, kMaxShift)));
}

}  // namespace clementine

#endif  // CORE_EXPONENTIAL_BACKOFF_H_
