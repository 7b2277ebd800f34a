// The extended P-square estimator keeps nine markers for three quantiles,
// whatever the number of samples. Two windows alternate, so that the delay
// follows changes.

#include "core/hedging.h"

// clang-format off
// The quantile header uses std::ostringstream without including it.
#include <sstream>
// clang-format on

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <cstdint>

namespace clementine {

namespace {

namespace acc = boost::accumulators;

// A share below 0.01 needs hundreds of samples, which pools with few requests
// collect in minutes only. A share of 0.5 or more would select usual times.
constexpr double kMinShare = 0.01;
constexpr double kMaxShare = 0.4;
constexpr std::size_t kMinSamples = 20;
// As long as the window of the retry budget, which the hedges are taken from.
constexpr std::chrono::seconds kWindow{10};
// Older measurements say little about the present load of a pool.
constexpr std::chrono::seconds kMaxAge{300};

/// Samples that a window needs until the quantile 1 - share / 2 isn't just its
/// maximum.
std::size_t RequiredSamples(double share) {
  return std::max(kMinSamples,
                  static_cast<std::size_t>(std::ceil(2.0 / share)));
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
  explicit Times(double share)
      : m_share(share),
        m_required(RequiredSamples(share)),
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
      delay = DelayOf(m_last);
    }
    // The larger one: when all servers become slow, the last window would let
    // every request be hedged.
    if (IsUsable(m_current) && now - m_added_at <= kMaxAge) {
      delay = std::max(delay.value_or(0.0), DelayOf(m_current));
    }
    if (!delay) return std::nullopt;
    // An attempt that takes exactly as long isn't slow: the times of some pools
    // hardly differ.
    return milliseconds(static_cast<std::int64_t>(*delay) + 1);
  }

 private:
  using Estimator = acc::accumulator_set<
      double,
      acc::stats<acc::tag::extended_p_square_quantile, acc::tag::count>>;

  Estimator Empty() const {
    std::array<double, 3> probabilities = {0.5, 1.0 - m_share,
                                           1.0 - m_share / 2.0};
    return Estimator(acc::tag::extended_p_square::probabilities =
                         probabilities);
  }
  static double Quantile(const Estimator& window, double probability) {
    return acc::quantile(window, acc::quantile_probability = probability);
  }
  /// A hedge takes about the median, so it wins if the attempt lasts for longer
  /// than that from now on. If less than half of the attempts that reach the
  /// quantile do, the hedge waits for another median: an attempt that runs for
  /// as long is slower than the measured ones.
  double DelayOf(const Estimator& window) const {
    double median = Quantile(window, 0.5);
    double slow = Quantile(window, 1.0 - m_share);
    bool wins = Quantile(window, 1.0 - m_share / 2.0) >= slow + median;
    return wins ? slow : slow + median;
  }
  bool IsUsable(const Estimator& window) const {
    return acc::count(window) >= m_required;
  }

  double m_share;
  std::size_t m_required;
  Estimator m_last;
  Estimator m_current;
  TimePoint m_started_at;     ///< First sample of the current window.
  TimePoint m_added_at;       ///< Last sample of the current window.
  TimePoint m_last_ended_at;  ///< End of the last window.
};

HedgeDelays::HedgeDelays(double ratio)
    : m_share(std::clamp(ratio, kMinShare, kMaxShare)) {}

HedgeDelays::~HedgeDelays() = default;

void HedgeDelays::AddTime(PoolId pool, RequestClass request_class,
                          milliseconds time, TimePoint now) {
  std::unique_ptr<Times>& times = m_times[{pool, request_class}];
  if (times == nullptr) times = std::make_unique<Times>(m_share);
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
