// Times count from the answer's arrival, which is never before the server's own
// count began. The time at which a daemon asks again is drawn anew for each
// refusal.

#include "core/server_backoff.h"

#include <algorithm>

namespace clementine {
namespace {

constexpr int kUnavailable = 503;

}  // namespace

milliseconds BusyTime(int status, milliseconds retry_after) {
  return status == kUnavailable ? retry_after : milliseconds(0);
}

void ServerBackoff::Asked(const std::string& host, milliseconds wait,
                          TimePoint now) {
  milliseconds time = std::clamp(wait, milliseconds(0), kLongest);
  TimePoint until = now + time + m_jitter.Between(milliseconds(0), kSpread);
  Server& server = m_servers[host];
  server.until = std::max(server.until, until);
  server.over = false;
}

bool ServerBackoff::Took(const std::string& host) {
  auto found = m_servers.find(host);
  // An answer to a request from before the refusal says nothing.
  if (found == m_servers.end() || !found->second.over) return false;
  m_servers.erase(found);
  return true;
}

bool ServerBackoff::Advance(TimePoint now) {
  bool changed = false;
  for (auto& [host, server] : m_servers) {
    if (server.over || now < server.until) continue;
    server.over = true;
    changed = true;
  }
  return changed;
}

ServerBackoff::Verdict ServerBackoff::Judge(const std::string& host) const {
  auto found = m_servers.find(host);
  if (found == m_servers.end()) return Verdict::kFree;
  return found->second.over ? Verdict::kOneAtATime : Verdict::kNone;
}

std::optional<TimePoint> ServerBackoff::Until(const std::string& host) const {
  auto found = m_servers.find(host);
  if (found == m_servers.end() || found->second.over) return std::nullopt;
  return found->second.until;
}

}  // namespace clementine
