// Latency of a group relative to its peers.
#ifndef CORE_STRAGGLER_H_
#define CORE_STRAGGLER_H_

#include <vector>

#include "core/core.h"

namespace clementine {

/// Pace of one group as seen by this daemon.
class Pace {
 public:
  /// Time from dispatch to the first progress, or to giving up on it.
  void AddFirstProgress(milliseconds latency, TimePoint now);
  /// Progress per second between the first and the last progress.
  void AddRate(double per_second, TimePoint now);

  /// 1 for a group as fast as its peers; higher values lower its share.
  double slowness() const { return m_slowness; }

 private:
  friend void UpdateSlowness(const std::vector<Pace*>& peers, TimePoint now);

  /// Moving average that remembers how much it rests on.
  struct Average {
    double value = 0.0;
    int samples = 0;
    TimePoint updated;

    void Add(double sample, TimePoint now);
    /// Weight of the value: 0 with too few samples, fading without new ones.
    double Confidence(TimePoint now) const;
  };

  double m_slowness = 1.0;
  Average m_first_ms;
  Average m_rate;
};

/// Compares groups with the median of their peers and moves each one's
/// slowness a step towards what was measured.
/// @param peers Groups that serve the same model or service.
void UpdateSlowness(const std::vector<Pace*>& peers, TimePoint now);

}  // namespace clementine

#endif  // CORE_STRAGGLER_H_
