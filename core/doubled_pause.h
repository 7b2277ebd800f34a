// Pauses between tries that grow exponentially.
#ifndef CORE_DOUBLED_PAUSE_H_
#define CORE_DOUBLED_PAUSE_H_

#include <algorithm>
#include <chrono>

namespace clementine {

/// @param doublings Tries that failed before; negative counts as none.
/// @return `first`, doubled so many times, but at most `longest`.
inline std::chrono::milliseconds DoubledPause(std::chrono::milliseconds first,
                                              std::chrono::milliseconds longest,
                                              int doublings) {
  // Keeps the product in range; all pauses reach their longest before.
  constexpr int kLargestShift = 20;
  return std::min(longest,
                  first * (1 << std::clamp(doublings, 0, kLargestShift)));
}

}  // namespace clementine

#endif  // CORE_DOUBLED_PAUSE_H_
