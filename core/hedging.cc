// The P-square estimator keeps five markers for its quantile, whatever the
// number of samples. Two windows alternate, so that the delay follows changes.

#include "core/hedging.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <cstdint>

namespace clementine {

namespace {

namespace acc = boost::accumulators;

// A quantile above 0.99 needs hundreds of samples, which pools with few
// requests collect in minutes only.
constexpr double kMinQuantile = 0.5;
constexpr double kMaxQuantile = 0.99;
constexpr std::size_t kMinSamples = 20;
// As long as the window of the retry budget, which the hedges are taken from.
constexpr std::chrono::seconds kWindow{10};
// Older measurements say little about the present load of a pool.
constexpr std::chrono::seconds kMaxAge{300};

/// Samples that a window needs until its quantile isn't just its maximum.
std::size_t RequiredSamples(double quantile) {
  return std::max(kMinSamples,
                  static_cast<std::size_t>(std::ceil(1.0 / (1.0 - quantile))));
}

}  // namespace

const char* HedgeDenialName(HedgeDenial denial) {
  switch (denial) {
    case HedgeDenial::kDraining:
      return "draining";
    case HedgeDenial::kSuspect:
      return "suspect";
    case HedgeDenial::kQueue:
      return "queue";
    case HedgeDenial::kFull:
      return "full";
    case HedgeDenial::kNoGroup:
      return "no_group";
    case HedgeDenial::kBudget:
      return "budget";
  }
  return "budget";
}

std::optional<HedgeDenial> CheckHedge(const HedgeState& state) {
  if (state.draining) return HedgeDenial::kDraining;
  if (state.suspect) return HedgeDenial::kSuspect;
  if (state.requests_wait) return HedgeDenial::kQueue;
  if (!state.has_room) return HedgeDenial::kFull;
  return std::nullopt;
}

/// Times of one pool and request class.
class HedgeDelays::Times {
 public:
  explicit Times(double quantile)
      : m_quantile(quantile),
        m_required(RequiredSamples(quantile)),
        m_last(Empty()),
        m_current(Empty()) {}

  void Add(milliseconds time, TimePoint now) {
    if (acc::count(m_current) == 0) m_started_at = now;
    // A window with too few samples for its quantile goes on.
    if (now - m_started_at >= kWindow && IsUsable(m_current)) {
      m_last = m_current;
      m_last_ended_at = now;
      m_current = Empty();
      m_started_at = now;
    }
    m_current(static_cast<double>(time.count()));
    m_added_at = now;
  }

  std::optional<milliseconds> Delay(TimePoint now) const {
    std::optional<double> delay;
    if (IsUsable(m_last) && now - m_last_ended_at <= kMaxAge) {
      delay = acc::p_square_quantile(m_last);
    }
    // The larger one: when all servers become slow, the last window would let
    // every request be hedged.
    if (IsUsable(m_current) && now - m_added_at <= kMaxAge) {
      delay = std::max(delay.value_or(0.0), acc::p_square_quantile(m_current));
    }
    if (!delay) return std::nullopt;
    // An attempt that takes exactly as long isn't slow: the times of some pools
    // hardly differ.
    return milliseconds(static_cast<std::int64_t>(*delay) + 1);
  }

 private:
  using Estimator = acc::accumulator_set<
      double, acc::stats<acc::tag::p_square_quantile, acc::tag::count>>;

  Estimator Empty() const {
    return Estimator(acc::quantile_probability = m_quantile);
  }
  bool IsUsable(const Estimator& window) const {
    return acc::count(window) >= m_required;
  }

  double m_quantile;
  std::size_t m_required;
  Estimator m_last;
  Estimator m_current;
  TimePoint m_started_at;     ///< First sample of the current window.
  TimePoint m_added_at;       ///< Last sample of the current window.
  TimePoint m_last_ended_at;  ///< End of the last window.
};

HedgeDelays::HedgeDelays(double ratio)
    : m_quantile(std::clamp(1.0 - ratio, kMinQuantile, kMaxQuantile)) {}

HedgeDelays::~HedgeDelays() = default;

void HedgeDelays::AddTime(PoolId pool, RequestClass request_class,
                          milliseconds time, TimePoint now) {
  std::unique_ptr<Times>& times = m_times[{pool, request_class}];
  if (times == nullptr) times = std::make_unique<Times>(m_quantile);
  times->Add(time, now);
}

std::optional<milliseconds> HedgeDelays::Delay(PoolId pool,
                                               RequestClass request_class,
                                               TimePoint now) const {
  auto found = m_times.find({pool, request_class});
  if (found == m_times.end()) return std::nullopt;
  return found->second->Delay(now);
}

void HedgeDelays::RetainPools(const std::vector<PoolId>& pools) {
  std::erase_if(m_times, [&](const auto& entry) {
    return std::find(pools.begin(), pools.end(), entry.first.first) ==
           pools.end();
  });
}

}  // namespace clementine
