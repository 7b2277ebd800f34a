// Bound on the share of dispatches that are retries.
#ifndef CORE_RETRY_BUDGET_H_
#define CORE_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/core.h"

namespace clementine {

/// Counts first attempts and retries, in all and per organisation.
/// Invariant: retries are at most the ratio of first attempts, or the floor
/// while that is higher, both since the start and within the window.
class RetryBudget {
 public:
  /// @param ratio Retries for each first attempt.
  explicit RetryBudget(double ratio) : m_ratio(ratio) {}

  void AddFirst(const std::string& organisation, TimePoint now);

  /// Takes one retry from both budgets, or none.
  bool TryRetry(const std::string& organisation, TimePoint now);

  /// Forgets organisations that aren't configured.
  template <typename Map>
  void Keep(const Map& organisations) {
    std::erase_if(m_organisations, [&](const auto& entry) {
      return organisations.count(entry.first) == 0;
    });
  }

 private:
  struct Count {
    std::uint64_t firsts = 0;
    std::uint64_t retries = 0;
  };
  /// Counts since the start and of the last seconds, one bucket a second.
  struct Meter {
    static constexpr std::size_t kSeconds = 10;
    Count total;
    std::array<Count, kSeconds> window{};
    std::int64_t second = 0;  ///< Second of the newest bucket.

    Count* Bucket(TimePoint now);
    bool Allows(double ratio, TimePoint now);
  };

  double m_ratio;
  Meter m_all;
  std::map<std::string, Meter> m_organisations;
};

}  // namespace clementine

#endif  // CORE_RETRY_BUDGET_H_
