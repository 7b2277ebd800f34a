// A token bucket limits the rate of calls. The bucket allows a burst because a
// replaced or restarted daemon reads every section at once.

#include "core/platform_calls.h"

#include <algorithm>
#include <utility>

#include "core/exponential_backoff.h"

namespace clementine {
namespace {

constexpr double kCallsPerSecond = 20.0;
constexpr double kBurstCalls = 40.0;

}  // namespace

TimePoint Backoff::OnFailure(TimePoint now, Jitter* jitter) {
  milliseconds limit =
      ExponentialBackoff(m_initial_delay, m_max_delay, m_failures);
  ++m_failures;
  return now + jitter->Between(m_initial_delay / 2, limit);
}

bool PlatformCalls::TrySpendToken(CallOwner owner, TimePoint now) {
  std::chrono::duration<double> elapsed = now - m_refilled;
  m_tokens =
      std::min(kBurstCalls, m_tokens + elapsed.count() * kCallsPerSecond);
  m_refilled = now;
  if (owner == CallOwner::kLease) {
    return true;
  }
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

CallId PlatformCalls::Get(CallOwner owner, const std::string& key,
                          TimePoint now, Actions* out) {
  if (!TrySpendToken(owner, now)) {
    return 0;
  }
  CallId id = NextId();
  m_pending[id] = {owner, key, false, now};
  ++m_counts["get"];
  out->push_back(GetObject{id, key});
  return id;
}

CallId PlatformCalls::Put(CallOwner owner, const std::string& key,
                          std::string value, std::uint64_t if_version,
                          TimePoint now, Actions* out) {
  if (!TrySpendToken(owner, now)) {
    return 0;
  }
  CallId id = NextId();
  m_pending[id] = {owner, key, true, now};
  ++m_counts["put"];
  out->push_back(PutObject{id, key, std::move(value), if_version});
  return id;
}

bool PlatformCalls::List(TimePoint now, Actions* out) {
  if (!TrySpendToken(CallOwner::kStatus, now)) {
    return false;
  }
  ++m_counts["list"];
  out->push_back(ListHosts{});
  return true;
}

bool PlatformCalls::StartWatch(const std::string& prefix, std::uint64_t since,
                               milliseconds timeout, TimePoint now,
                               Actions* out) {
  if (!TrySpendToken(CallOwner::kStatus, now)) {
    return false;
  }
  ++m_counts["watch"];
  out->push_back(Watch{prefix, since, timeout});
  return true;
}

std::optional<PendingCall> PlatformCalls::Take(CallId call) {
  auto found = m_pending.find(call);
  if (found == m_pending.end()) {
    return std::nullopt;
  }
  PendingCall pending = std::move(found->second);
  m_pending.erase(found);
  return pending;
}

std::vector<std::pair<CallId, PendingCall>> PlatformCalls::TakeCallsSentBefore(
    TimePoint deadline) {
  std::vector<std::pair<CallId, PendingCall>> taken;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    if (it->second.sent < deadline) {
      taken.emplace_back(it->first, std::move(it->second));
      it = m_pending.erase(it);
    } else {
      ++it;
    }
  }
  return taken;
}

}  // namespace clementine
