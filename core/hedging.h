// Hedging: when a second attempt of a request may start while its first runs.
#ifndef CORE_HEDGING_H_
#define CORE_HEDGING_H_

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "core/core.h"

namespace clementine {

/// What a hedge depends on besides the time that the first attempt has run.
struct HedgeState {
  bool draining = false;       ///< The daemon shuts down.
  bool suspect = false;        ///< The request may have caused a crash.
  bool requests_wait = false;  ///< The pool has queued requests.
  bool has_room = false;       ///< The pool's limit allows another attempt.
};

/// @return The reason against a hedge, or nullopt.
std::optional<HedgeDenial> CheckHedge(const HedgeState& state);

/// Measures how long attempts take to their first event or to their answer, and
/// derives the delay after which an attempt counts as slow.
class HedgeDelays {
 public:
  using PoolId = std::uint32_t;

  /// @param ratio Share of the requests that may be hedged. The delay is the
  ///     quantile 1 - ratio of the measured times, or that and the median if a
  ///     hedge after the quantile would rarely win.
  explicit HedgeDelays(double ratio);
  ~HedgeDelays();

  /// Adds the time from the dispatch of an attempt to its first event, or to
  /// the answer if it isn't a stream.
  void AddTime(PoolId pool, RequestClass request_class, milliseconds time,
               TimePoint now);

  /// @return Time after which an attempt counts as slow; nullopt without enough
  ///     recent measurements.
  std::optional<milliseconds> Delay(PoolId pool, RequestClass request_class,
                                    TimePoint now) const;

  /// Drops the measurements of all pools but these.
  void RetainPools(const std::vector<PoolId>& pools);

 private:
  class Times;

  double m_share;
  std::map<std::pair<PoolId, RequestClass>, std::unique_ptr<Times>> m_times;
};

}  // namespace clementine

#endif  // CORE_HEDGING_H_
