// The window keeps retries saved up in quiet hours from being spent at once
// when a fabric domain fails. kNotSent counts like any retry: when all
// connections to a domain fail, the retries land on the groups that are left.

#include "core/retry_budget.h"

#include <algorithm>

namespace clementine {

namespace {

// Retries allowed before the ratio of first attempts reaches them. Without it a
// daemon that has served fewer than 1 / ratio requests could never retry.
constexpr double kFloor = 3.0;

bool Within(double ratio, std::uint64_t firsts, std::uint64_t retries) {
  return static_cast<double>(retries + 1) <=
         std::max(kFloor, ratio * static_cast<double>(firsts));
}

}  // namespace

RetryBudget::Count* RetryBudget::Meter::Bucket(TimePoint now) {
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

bool RetryBudget::Meter::Allows(double ratio, TimePoint now) {
  Bucket(now);
  Count recent;
  for (const Count& bucket : window) {
    recent.firsts += bucket.firsts;
    recent.retries += bucket.retries;
  }
  return Within(ratio, total.firsts, total.retries) &&
         Within(ratio, recent.firsts, recent.retries);
}

void RetryBudget::AddFirst(const std::string& organisation, TimePoint now) {
  for (Meter* meter : {&m_all, &m_organisations[organisation]}) {
    ++meter->total.firsts;
    ++meter->Bucket(now)->firsts;
  }
}

bool RetryBudget::TryRetry(const std::string& organisation, TimePoint now) {
  Meter& own = m_organisations[organisation];
  if (!m_all.Allows(m_ratio, now) || !own.Allows(m_ratio, now)) {
    return false;
  }
  for (Meter* meter : {&m_all, &own}) {
    ++meter->total.retries;
    ++meter->Bucket(now)->retries;
  }
  return true;
}

}  // namespace clementine
