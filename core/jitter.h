// Deterministic source of jitter: equal seeds give equal sequences.
#ifndef CORE_JITTER_H_
#define CORE_JITTER_H_

#include <chrono>
#include <cstdint>

namespace clementine {

/// SplitMix64 generator. Jitter spreads the calls of many daemons over time.
class Jitter {
 public:
  explicit Jitter(std::uint64_t seed) : m_state(seed) {}

  std::uint64_t Next() {
    m_state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t z = m_state;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }

  /// @return A duration in [low, high].
  std::chrono::milliseconds Between(std::chrono::milliseconds low,
                                    std::chrono::milliseconds high) {
    auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + std::chrono::milliseconds(Next() % span);
  }

 private:
  std::uint64_t m_state;
};

}  // namespace clementine

#endif  // CORE_JITTER_H_
