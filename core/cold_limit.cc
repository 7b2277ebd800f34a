#include "core/cold_limit.h"

#include <algorithm>

#include "core/rendezvous.h"

namespace clementine {
namespace {

using Seconds = std::chrono::duration<double>;

/// Resolution of published end times: half a second.
using EndResolution = std::chrono::duration<std::int64_t, std::ratio<1, 2>>;
/// Limits what a wrong entry can do.
constexpr std::chrono::hours kMaxColdTime{1};

/// Returns the cold time that is left by a server's own start time.
milliseconds ColdByStart(const BackendServer& server, milliseconds duration,
                         std::chrono::system_clock::time_point wall) {
  if (wall == std::chrono::system_clock::time_point()) return duration;
  auto age = std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()) -
             milliseconds(server.incarnation);
  // The clocks of other hosts may differ.
  return std::clamp(duration - age, milliseconds(0), duration);
}

}  // namespace

double ColdBucket::Available(double rate, TimePoint now) const {
  double elapsed = std::max(0.0, Seconds(now - refilled_at).count());
  return std::min(1.0, tokens + elapsed * rate);
}

void ColdBucket::Take(double rate, TimePoint now) {
  tokens = Available(rate, now) - 1.0;
  refilled_at = now;
}

TimePoint ColdBucket::NextTokenAt(double rate, TimePoint now) const {
  if (rate <= 0.0) return TimePoint::max();
  Seconds wait(std::max(0.0, 1.0 - Available(rate, now)) / rate);
  return now + std::chrono::ceil<milliseconds>(wait);
}

ColdShare DivideColdRate(double rate, double allowance, int daemons) {
  ColdShare best;
  double best_total = 0.0;
  int most = std::min(daemons, ColdLimit::kMaxHolders);
  for (int holders = 1; holders <= most; ++holders) {
    // Within any second each holder starts at most 1 + its rate.
    double most_each = allowance / (holders + ColdLimit::kExtraHolders);
    double total = std::min(rate, holders * (most_each - 1.0));
    if (total <= 0.0 || total < best_total) continue;
    best = {holders, total / holders};
    best_total = total;
  }
  return best;
}

void ColdLimit::Observe(const BackendServer& server, milliseconds duration,
                        const Source& source, TimePoint now) {
  auto [entry, added] = m_servers.try_emplace(server.id);
  Record& record = entry->second;
  bool other_process = added || record.incarnation != server.incarnation;
  milliseconds cold_for =
      std::min<milliseconds>(server.cold_time, kMaxColdTime);
  if (!source.is_change && !other_process && record.cold_for == cold_for) {
    return;
  }
  record.incarnation = server.incarnation;
  record.cold_for = cold_for;
  record.written_by = now;
  record.cold_until = now + cold_for;
  if (other_process && source.is_stale) {
    record.cold_until = std::max(
        record.cold_until, now + ColdByStart(server, duration, source.wall));
  }
}

void ColdLimit::Retain(const std::map<std::string, BackendServer>& servers) {
  std::erase_if(m_servers, [&](const auto& entry) {
    return servers.count(entry.first) == 0;
  });
  std::erase_if(m_held, [&](const auto& entry) {
    return servers.count(entry.first) == 0;
  });
}

TimePoint ColdLimit::ColdUntil(const std::string& server, milliseconds duration,
                               std::optional<TimePoint> returned_at,
                               TimePoint now) const {
  TimePoint until;
  auto found = m_servers.find(server);
  if (found != m_servers.end()) until = found->second.cold_until;
  bool shown = found != m_servers.end() && returned_at &&
               found->second.written_by >= *returned_at + m_options.list_delay;
  if (returned_at && !shown) {
    until = std::max(until, *returned_at + duration + m_options.list_delay);
  }
  if (until <= now) return {};
  return std::chrono::ceil<EndResolution>(until);
}

void ColdLimit::SetDaemons(const std::vector<std::string>& names) {
  if (names == m_daemons) return;
  m_daemons = names;
  m_held.clear();
}

double ColdLimit::RateFor(const std::string& server, double rate) const {
  double allowance = rate * m_options.overshoot + m_options.tolerance;
  ColdShare share =
      DivideColdRate(rate, allowance, static_cast<int>(m_daemons.size()));
  if (share.holders == 0) return 0.0;
  Held& held = m_held[server];
  if (held.holders != share.holders) {
    held.holders = share.holders;
    held.is_holder = IsAssigned(m_options.node, "cold " + server, m_daemons,
                                static_cast<std::size_t>(share.holders));
  }
  return held.is_holder ? share.rate : 0.0;
}

}  // namespace clementine
