// Requests in flight at a daemon are about Poisson distributed. The square root
// of such a number has a standard deviation of 1/2 whatever its mean, so the
// limit (sqrt(fair share) + margin / 2)^2 = fair share + margin * sqrt(fair
// share) + margin^2 / 4 is exceeded with a probability that hardly depends on
// the number of daemons, also where the fair share is below one request.
//
// The margins of all daemons together exceed the capacity. That is harmless
// while the fleet has room. When it is full, the first events of all daemons
// are late, all margins fall, and the limits add up to the capacity again. A
// late event lowers the margin by a multiple of what an event in time raises
// it by, so that kToleratedLateShare of the events are late in equilibrium.

#include "core/capacity_limit.h"

#include <algorithm>
#include <cmath>

namespace clementine {

namespace {

// Late first events that don't lower the margin. Some are late at any load,
// because of long prompts and slow groups. A late answer is still of use to its
// caller, and a rejected caller is late as well when it returns.
constexpr double kToleratedLateShare = 0.1;
// Largest rise of the margin by one event in time.
constexpr double kMaxRise = 0.1;
// A daemon with many requests gets many events before it sees the effect of a
// change. Its rise is this value divided by the fair share.
constexpr double kRisePerFairShare = 1.0;
// Multiplies the rise until the first sign of overload.
constexpr double kFastStartFactor = 4.0;
// Fall by a server that refuses, in falls by a late event.
constexpr double kFullFactor = 2.0;
// Margin that requests of little value leave to the others. With less, the
// fleet is full.
constexpr double kSpareMargin = 1.0;
// Change by one call of Advance() while nothing is measured.
constexpr double kSilentStep = 0.05;
// Time for which a limit is rounded in the same direction. Longer than a
// typical request waits, shorter than a request runs.
constexpr milliseconds kRoundingPeriod{500};
// Fraction of the golden ratio: its multiples are evenly distributed modulo 1.
constexpr double kGoldenFraction = 0.6180339887498949;

double Rise(double fair_share) {
  return std::min(kMaxRise, kRisePerFairShare / std::max(fair_share, 1.0));
}

double Fall(double fair_share) {
  return Rise(fair_share) * (1.0 - kToleratedLateShare) / kToleratedLateShare;
}

double Fraction(double value) { return value - std::floor(value); }

}  // namespace

void CapacityLimit::Move(double change, Reason reason, TimePoint now) {
  m_margin = std::clamp(m_margin + change, 0.0, kMaxMargin);
  m_reason = reason;
  if (reason == Reason::kLate || reason == Reason::kServerFull) {
    m_fast_start = false;
  }
  if (reason != Reason::kSilent) m_measured_at = now;
}

void CapacityLimit::OnFirstEvent(milliseconds latency, milliseconds target,
                                 double fair_share, TimePoint now) {
  if (latency > target) {
    ++m_late;
    Move(-Fall(fair_share), Reason::kLate, now);
    return;
  }
  double factor = m_fast_start ? kFastStartFactor : 1.0;
  Move(factor * Rise(fair_share), Reason::kOnTime, now);
}

void CapacityLimit::OnServerFull(double fair_share, TimePoint now) {
  ++m_full;
  Move(-kFullFactor * Fall(fair_share), Reason::kServerFull, now);
}

void CapacityLimit::Advance(TimePoint now) {
  if (m_measured_at == TimePoint()) m_measured_at = now;
  if (now - m_measured_at < kSilence) return;
  m_fast_start = true;
  Move(std::clamp(kFixedMargin - m_margin, -kSilentStep, kSilentStep),
       Reason::kSilent, now);
}

double CapacityLimit::Limit(double fair_share) const {
  double root = std::sqrt(std::max(0.0, fair_share)) + m_margin / 2.0;
  double limit = root * root;
  // A limit below one request keeps a daemon with a small share from serving
  // any. It is justified only by measured overload.
  return m_fast_start ? std::max(1.0, limit) : limit;
}

double CapacityLimit::SpareLimit(double fair_share) const {
  if (m_margin < kSpareMargin) return 0.0;
  double root =
      std::sqrt(std::max(0.0, fair_share)) + (m_margin - kSpareMargin) / 2.0;
  return root * root;
}

int CapacityLimit::RoundedLimit(double fair_share, TimePoint now) const {
  if (fair_share <= 0.0) return 0;
  auto period = static_cast<double>(now.time_since_epoch() / kRoundingPeriod);
  double offset = static_cast<double>(m_seed >> 11) * 0x1.0p-53;
  double threshold = Fraction(offset + kGoldenFraction * period);
  return static_cast<int>(Limit(fair_share) + threshold);
}

const char* LimitReasonName(CapacityLimit::Reason reason) {
  switch (reason) {
    case CapacityLimit::Reason::kStart:
      return "start";
    case CapacityLimit::Reason::kOnTime:
      return "on_time";
    case CapacityLimit::Reason::kLate:
      return "late";
    case CapacityLimit::Reason::kServerFull:
      return "server_full";
    case CapacityLimit::Reason::kSilent:
      return "silent";
  }
  return "start";
}

}  // namespace clementine
