// The window of 10 s prevents a burst of retries when a fabric domain fails:
// the first attempts of many hours without failures would otherwise allow it.
// Retries after kNotSent count as well: when all connections to a domain fail,
// their retries load the remaining groups.

#include "core/retry_budget.h"

#include <algorithm>

namespace clementine {

namespace {

// Retries that are allowed regardless of the ratio. Without them, a daemon
// couldn't retry before it has served 1 / ratio requests.
constexpr double kMinRetries = 3.0;

bool IsWithin(double ratio, std::uint64_t first_attempts,
              std::uint64_t retries) {
  return static_cast<double>(retries + 1) <=
         std::max(kMinRetries, ratio * static_cast<double>(first_attempts));
}

}  // namespace

RetryBudget::Counts* RetryBudget::Meter::Bucket(TimePoint now) {
  std::int64_t current =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count();
  std::int64_t passed = std::min<std::int64_t>(current - second, kSeconds);
  for (std::int64_t i = 0; i < passed; ++i) {
    window[static_cast<std::size_t>(current - i) % kSeconds] = {};
  }
  second = current;
  return &window[static_cast<std::size_t>(current) % kSeconds];
}

bool RetryBudget::Meter::AllowsRetry(double ratio, TimePoint now) {
  Bucket(now);
  Counts recent;
  for (const Counts& bucket : window) {
    recent.first_attempts += bucket.first_attempts;
    recent.retries += bucket.retries;
  }
  return IsWithin(ratio, total.first_attempts, total.retries) &&
         IsWithin(ratio, recent.first_attempts, recent.retries);
}

void RetryBudget::OnFirstAttempt(const std::string& organisation,
                                 TimePoint now) {
  for (Meter* meter : {&m_all, &m_organisations[organisation]}) {
    ++meter->total.first_attempts;
    ++meter->Bucket(now)->first_attempts;
  }
}

bool RetryBudget::TryRetry(const std::string& organisation, TimePoint now) {
  Meter& own = m_organisations[organisation];
  if (!m_all.AllowsRetry(m_ratio, now) || !own.AllowsRetry(m_ratio, now)) {
    return false;
  }
  for (Meter* meter : {&m_all, &own}) {
    ++meter->total.retries;
    ++meter->Bucket(now)->retries;
  }
  return true;
}

}  // namespace clementine
