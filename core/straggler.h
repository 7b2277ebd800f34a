// Detects stragglers: groups that are slower than their peers.
#ifndef CORE_STRAGGLER_H_
#define CORE_STRAGGLER_H_

#include <vector>

#include "core/core.h"

namespace clementine {

/// Speed of one group, as measured by this daemon.
class GroupSpeed {
 public:
  /// Adds the time from the dispatch of an attempt to its first progress, or to
  /// its end if it made no progress.
  void AddFirstProgress(milliseconds latency, TimePoint now);
  /// Adds an attempt's progress per second between its first and last progress.
  void AddProgressRate(double per_second, TimePoint now);

  /// 1 for a group that is as fast as its peers. Higher values reduce the
  /// fraction of requests that it gets.
  double slowness() const { return m_slowness; }

 private:
  friend void UpdateSlowness(const std::vector<GroupSpeed*>& peers,
                             TimePoint now);

  /// Exponential moving average with the number and time of its samples.
  struct Average {
    double value = 0.0;
    int samples = 0;
    TimePoint updated_at;

    void Add(double sample, TimePoint now);
    /// Weight of the average, from 0 to 1: 0 with too few samples, and decaying
    /// with the time since the last sample.
    double Confidence(TimePoint now) const;
  };

  double m_slowness = 1.0;
  Average m_first_progress_ms;  ///< See AddFirstProgress.
  Average m_progress_rate;
};

/// Compares each group with the median of its peers and moves its slowness one
/// bounded step towards the measured ratio.
/// @param peers Groups that serve the same model or service.
void UpdateSlowness(const std::vector<GroupSpeed*>& peers, TimePoint now);

}  // namespace clementine

#endif  // CORE_STRAGGLER_H_
