// Slowness is relative to the median of the peers, which makes it independent
// of load that slows all groups. The router multiplies the cost of a group by
// its slowness: a straggler gets fewer requests, but still some. The slowness
// changes by a bounded step per update, towards a target that is above 1 for at
// most half of the groups. The slowness decays without new samples, which lets
// a group that has recovered get its full load again.

#include "core/straggler.h"

#include <algorithm>
#include <cmath>

namespace clementine {

namespace {

constexpr int kMinSamples = 5;
constexpr std::size_t kMinPeers = 3;
constexpr double kSampleWeight = 0.2;
// A group counts as slow from this ratio to the median.
constexpr double kMinSlowness = 1.5;
constexpr double kMaxSlowness = 8.0;
constexpr double kMaxSlownessStep = 1.0;  // Per update, once a second.
constexpr std::chrono::duration<double> kSampleHalfLife{20.0};

double Median(std::vector<double>* values) {
  auto middle =
      values->begin() + static_cast<std::ptrdiff_t>((values->size() - 1) / 2);
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

}  // namespace

void GroupSpeed::Average::Add(double sample, TimePoint now) {
  value = samples == 0 ? sample : value + kSampleWeight * (sample - value);
  ++samples;
  updated_at = now;
}

double GroupSpeed::Average::Confidence(TimePoint now) const {
  if (samples < kMinSamples) {
    return 0.0;
  }
  return std::exp2(-std::chrono::duration<double>(now - updated_at) /
                   kSampleHalfLife);
}

void GroupSpeed::AddFirstProgress(milliseconds latency, TimePoint now) {
  m_first_progress_ms.Add(std::max(1.0, static_cast<double>(latency.count())),
                          now);
}

void GroupSpeed::AddProgressRate(double per_second, TimePoint now) {
  m_progress_rate.Add(std::max(1e-3, per_second), now);
}

void UpdateSlowness(const std::vector<GroupSpeed*>& peers, TimePoint now) {
  std::vector<double> first_progress_times;
  std::vector<double> rates;
  for (const GroupSpeed* peer : peers) {
    if (peer->m_first_progress_ms.samples >= kMinSamples) {
      first_progress_times.push_back(peer->m_first_progress_ms.value);
    }
    if (peer->m_progress_rate.samples >= kMinSamples) {
      rates.push_back(peer->m_progress_rate.value);
    }
  }
  double median_first = first_progress_times.size() < kMinPeers
                            ? 0.0
                            : Median(&first_progress_times);
  double rate = rates.size() < kMinPeers ? 0.0 : Median(&rates);
  std::vector<std::pair<double, GroupSpeed*>> targets;
  for (GroupSpeed* peer : peers) {
    double slow = 1.0;
    if (median_first > 0.0) {
      slow = std::max(
          slow, 1.0 + (peer->m_first_progress_ms.value / median_first - 1.0) *
                          peer->m_first_progress_ms.Confidence(now));
    }
    if (rate > 0.0 && peer->m_progress_rate.samples > 0) {
      slow = std::max(slow, 1.0 + (rate / peer->m_progress_rate.value - 1.0) *
                                      peer->m_progress_rate.Confidence(now));
    }
    targets.emplace_back(
        slow < kMinSlowness ? 1.0 : std::min(slow, kMaxSlowness), peer);
  }
  std::stable_sort(
      targets.begin(), targets.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::size_t max_slowed = peers.size() / 2;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    double target = i < max_slowed ? targets[i].first : 1.0;
    double& slowness = targets[i].second->m_slowness;
    slowness +=
        std::clamp(target - slowness, -kMaxSlownessStep, kMaxSlownessStep);
  }
}

}  // namespace clementine
