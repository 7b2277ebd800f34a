// Limits the number of retries and hedges relative to first attempts.
#ifndef CORE_RETRY_BUDGET_H_
#define CORE_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/core.h"

namespace clementine {

/// Counts first attempts, retries and hedges, in total and for each
/// organisation.
/// Invariant: the number of retries and hedges is at most the number of first
/// attempts times the ratio, or kMinRetries if that is higher. This holds since
/// the start of the daemon and within the window of 10 s.
class RetryBudget {
 public:
  /// @param ratio       Retries and hedges allowed per first attempt.
  /// @param hedge_ratio Hedges allowed per first attempt.
  explicit RetryBudget(double ratio, double hedge_ratio = 0.0)
      : m_ratio(ratio), m_hedge_ratio(hedge_ratio) {}

  void OnFirstAttempt(const std::string& organisation, TimePoint now);

  /// Takes one retry from the total budget and that of the organisation.
  /// @return False if either budget is exhausted; nothing is taken then.
  bool TryRetry(const std::string& organisation, TimePoint now);

  /// Takes one hedge from the total budget and that of the organisation. Hedges
  /// leave at least half of the budget to retries, and each retry reduces the
  /// number of hedges by one.
  /// @return False if either budget is exhausted; nothing is taken then.
  bool TryHedge(const std::string& organisation, TimePoint now);

  /// Drops the counts of organisations that aren't configured.
  template <typename Map>
  void RetainOrganisations(const Map& organisations) {
    std::erase_if(m_organisations, [&](const auto& entry) {
      return organisations.count(entry.first) == 0;
    });
  }

 private:
  struct Counts {
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;  ///< And hedges.
  };
  /// Counts since the start and within the window, in buckets of one second.
  struct Meter {
    static constexpr std::size_t kSeconds = 10;
    Counts total;
    std::array<Counts, kSeconds> window{};
    std::int64_t second = 0;  ///< Second of the newest bucket.

    Counts* Bucket(TimePoint now);
    Counts Recent(TimePoint now);
    bool AllowsRetry(double ratio, TimePoint now);
  };

  void TakeRetry(Meter* own, TimePoint now);

  double m_ratio;
  double m_hedge_ratio;
  Meter m_all;
  std::map<std::string, Meter> m_organisations;
};

}  // namespace clementine

#endif  // CORE_RETRY_BUDGET_H_
