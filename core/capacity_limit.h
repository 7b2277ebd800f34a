// Number of requests of a pool that one of several daemons may run
// concurrently.
#ifndef CORE_CAPACITY_LIMIT_H_
#define CORE_CAPACITY_LIMIT_H_

#include <cstdint>

#include "core/core.h"

namespace clementine {

/// Concurrency limit of a daemon in one pool: its fair share of the capacity
/// plus a margin for the variance of its own arrivals. The margin is steered by
/// what the servers' answers tell about the load of all daemons together.
/// docs/design/capacity-limit.md has the alternatives.
/// Invariant: 0 <= margin() <= kMaxMargin.
class CapacityLimit {
 public:
  /// Reason for the last change of the margin.
  enum class Reason {
    kStart,       ///< Nothing was measured yet.
    kOnTime,      ///< First events met their target.
    kLate,        ///< A first event missed its target.
    kServerFull,  ///< A server refused a request because it was full.
    kSilent,      ///< Nothing was measured for kSilence.
  };

  /// Margin of a daemon that has measured nothing for kSilence.
  static constexpr double kFixedMargin = 0.5;
  static constexpr double kMaxMargin = 3.0;
  static constexpr std::chrono::seconds kSilence{10};

  /// @param seed Should differ between daemons, so that their limits are
  ///     rounded up at different times.
  explicit CapacityLimit(std::uint64_t seed) : m_seed(seed) {}

  /// Adds a measurement of a request's first event.
  /// @param latency Time from the dispatch of the attempt to its first event.
  /// @param target Latency target of the request; greater than zero.
  /// @param fair_share See Limit().
  void OnFirstEvent(milliseconds latency, milliseconds target,
                    double fair_share, TimePoint now);
  /// Called when a server refuses a request because it is full.
  void OnServerFull(double fair_share, TimePoint now);
  /// Moves the margin towards kFixedMargin while nothing is measured. Has to be
  /// called every 50 to 100 ms.
  void Advance(TimePoint now);

  /// @param fair_share Requests that this daemon may run if all daemons run
  ///     their part of the capacity; need not be whole.
  /// @return The limit in requests, not rounded.
  double Limit(double fair_share) const;
  /// @return Limit for requests of little value: the limit with a margin that
  ///     is less by one standard deviation; 0 while the fleet is full.
  double SpareLimit(double fair_share) const;
  /// Returns the limit rounded to a whole number. It is rounded up for a
  /// fraction of the time that equals the fraction of the limit.
  int RoundedLimit(double fair_share, TimePoint now) const;

  /// In units of the standard deviation of the requests in flight.
  double margin() const { return m_margin; }
  Reason reason() const { return m_reason; }
  std::uint64_t late() const { return m_late; }  ///< Late first events.
  std::uint64_t full() const { return m_full; }  ///< Calls of OnServerFull.

 private:
  void Move(double change, Reason reason, TimePoint now);

  std::uint64_t m_seed;
  double m_margin = 0.0;
  Reason m_reason = Reason::kStart;
  /// No overload was measured since the start or the last silence.
  bool m_fast_start = true;
  TimePoint m_measured_at;  ///< Default value: not yet.
  std::uint64_t m_late = 0;
  std::uint64_t m_full = 0;
};

/// @return "start", "on_time", "late", "server_full" or "silent".
const char* LimitReasonName(CapacityLimit::Reason reason);

}  // namespace clementine

#endif  // CORE_CAPACITY_LIMIT_H_
