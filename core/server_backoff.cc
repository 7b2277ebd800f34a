// A backoff is measured from the arrival of the answer, which is never earlier
// than the time from which the server measures it. Each refusal draws a new
// jitter.

#include "core/server_backoff.h"

#include <algorithm>

namespace clementine {
namespace {

constexpr int kServiceUnavailable = 503;

}  // namespace

milliseconds RequestedBackoff(int status, milliseconds retry_after) {
  return status == kServiceUnavailable ? retry_after : milliseconds(0);
}

void ServerBackoff::OnBackoffRequested(const std::string& host,
                                       milliseconds wait, TimePoint now) {
  milliseconds time = std::clamp(wait, milliseconds(0), kMaxBackoff);
  TimePoint backoff_until =
      now + time + m_jitter.Between(milliseconds(0), kMaxJitter);
  Server& server = m_servers[host];
  server.backoff_until = std::max(server.backoff_until, backoff_until);
  server.expired = false;
}

bool ServerBackoff::OnRequestAccepted(const std::string& host) {
  auto found = m_servers.find(host);
  // During a backoff, the accepted request was sent before the refusal; it
  // doesn't show that the server is available again.
  if (found == m_servers.end() || !found->second.expired) return false;
  m_servers.erase(found);
  return true;
}

bool ServerBackoff::Advance(TimePoint now) {
  bool changed = false;
  for (auto& [host, server] : m_servers) {
    if (server.expired || now < server.backoff_until) continue;
    server.expired = true;
    changed = true;
  }
  return changed;
}

ServerBackoff::State ServerBackoff::StateOf(const std::string& host) const {
  auto found = m_servers.find(host);
  if (found == m_servers.end()) return State::kAvailable;
  return found->second.expired ? State::kHalfOpen : State::kBackingOff;
}

std::optional<TimePoint> ServerBackoff::BackoffUntil(
    const std::string& host) const {
  auto found = m_servers.find(host);
  if (found == m_servers.end() || found->second.expired) return std::nullopt;
  return found->second.backoff_until;
}

}  // namespace clementine
