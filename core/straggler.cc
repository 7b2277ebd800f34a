// A group is slow relative to the median of its peers, so a load that slows all
// of them changes nothing. The slowness multiplies the cost of a group in
// routing: a straggler gets less work, not none. It moves by a bounded step per
// update, at most half of the groups are slowed, and it fades without new
// samples, so a group that recovered is tried again.

#include "core/straggler.h"

#include <algorithm>
#include <cmath>

namespace clementine {

namespace {

constexpr int kMinSamples = 5;
constexpr std::size_t kMinPeers = 3;
constexpr double kSampleWeight = 0.2;
constexpr double kSlowFrom = 1.5;  // Times the median.
constexpr double kSlowest = 8.0;
constexpr double kStep = 1.0;  // Per update.
constexpr std::chrono::duration<double> kHalfLife{20.0};

double Median(std::vector<double>* values) {
  auto middle =
      values->begin() + static_cast<std::ptrdiff_t>((values->size() - 1) / 2);
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

}  // namespace

void Pace::Average::Add(double sample, TimePoint now) {
  value = samples == 0 ? sample : value + kSampleWeight * (sample - value);
  ++samples;
  updated = now;
}

double Pace::Average::Confidence(TimePoint now) const {
  if (samples < kMinSamples) {
    return 0.0;
  }
  return std::exp2(-std::chrono::duration<double>(now - updated) / kHalfLife);
}

void Pace::AddFirstProgress(milliseconds latency, TimePoint now) {
  m_first_ms.Add(std::max(1.0, static_cast<double>(latency.count())), now);
}

void Pace::AddRate(double per_second, TimePoint now) {
  m_rate.Add(std::max(1e-3, per_second), now);
}

void UpdateSlowness(const std::vector<Pace*>& peers, TimePoint now) {
  std::vector<double> firsts;
  std::vector<double> rates;
  for (const Pace* peer : peers) {
    if (peer->m_first_ms.samples >= kMinSamples) {
      firsts.push_back(peer->m_first_ms.value);
    }
    if (peer->m_rate.samples >= kMinSamples) {
      rates.push_back(peer->m_rate.value);
    }
  }
  double first = firsts.size() < kMinPeers ? 0.0 : Median(&firsts);
  double rate = rates.size() < kMinPeers ? 0.0 : Median(&rates);
  std::vector<std::pair<double, Pace*>> targets;
  for (Pace* peer : peers) {
    double slow = 1.0;
    if (first > 0.0) {
      slow = std::max(slow, 1.0 + (peer->m_first_ms.value / first - 1.0) *
                                      peer->m_first_ms.Confidence(now));
    }
    if (rate > 0.0 && peer->m_rate.samples > 0) {
      slow = std::max(slow, 1.0 + (rate / peer->m_rate.value - 1.0) *
                                      peer->m_rate.Confidence(now));
    }
    targets.emplace_back(slow < kSlowFrom ? 1.0 : std::min(slow, kSlowest),
                         peer);
  }
  std::stable_sort(
      targets.begin(), targets.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::size_t may_slow = peers.size() / 2;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    double target = i < may_slow ? targets[i].first : 1.0;
    double& slowness = targets[i].second->m_slowness;
    slowness += std::clamp(target - slowness, -kStep, kStep);
  }
}

}  // namespace clementine
