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

// Largest share of the retry budget that hedges may take.
constexpr double kMaxHedgeShare = 0.5;
// Hedges that are allowed in a window regardless of the ratio: a daemon with
// few requests has less than 1 / ratio of them in a window.
constexpr double kMinRecentHedges = 1.0;

bool IsWithin(double ratio, std::uint64_t first_attempts,
              std::uint64_t retries) {
  return static_cast<double>(retries + 1) <=
         std::max(kMinRetries, ratio * static_cast<double>(first_attempts));
}

// Retries count as well, so that hedges stop when attempts fail.
template <typename Counts>
bool IsWithinHedges(double ratio, const Counts& counts, double min_hedges) {
  return static_cast<double>(counts.retries + 1) <=
         std::max(min_hedges,
                  ratio * static_cast<double>(counts.first_attempts));
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

RetryBudget::Counts RetryBudget::Meter::Recent(TimePoint now) {
  Bucket(now);
  Counts recent;
  for (const Counts& bucket : window) {
    recent.first_attempts += bucket.first_attempts;
    recent.retries += bucket.retries;
  }
  return recent;
}

bool RetryBudget::Meter::AllowsRetry(double ratio, TimePoint now) {
  Counts recent = Recent(now);
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
  TakeRetry(&own, now);
  return true;
}

// The window counts for all organisations only: an organisation with few
// requests would never be allowed a hedge within it.
bool RetryBudget::TryHedge(const std::string& organisation, TimePoint now) {
  Meter& own = m_organisations[organisation];
  if (!m_all.AllowsRetry(m_ratio, now) || !own.AllowsRetry(m_ratio, now)) {
    return false;
  }
  double ratio = std::min(m_hedge_ratio, m_ratio * kMaxHedgeShare);
  if (!IsWithinHedges(ratio, m_all.total, 0.0) ||
      !IsWithinHedges(ratio, m_all.Recent(now), kMinRecentHedges) ||
      !IsWithinHedges(ratio, own.total, 0.0)) {
    return false;
  }
  TakeRetry(&own, now);
  return true;
}

void RetryBudget::TakeRetry(Meter* own, TimePoint now) {
  for (Meter* meter : {&m_all, own}) {
    ++meter->total.retries;
    ++meter->Bucket(now)->retries;
  }
}

}  // namespace clementine
