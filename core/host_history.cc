// A host that fails repeatedly is excluded from groups for a hold-down that
// doubles with each failure. When most hosts of a fabric domain become
// unreachable together, their groups aren't moved at first: otherwise a switch
// restart would move every group of the domain, and reload its hosts when they
// return.

#include "core/host_history.h"

#include "core/exponential_backoff.h"

namespace clementine {
namespace {

constexpr milliseconds kMinHoldDown{15'000};
constexpr milliseconds kMaxHoldDown{1'800'000};
/// A host that was up for this long has its failure count reset.
constexpr milliseconds kStableDuration{3'600'000};
/// Added to the failure timeout: how long the groups of a dark domain stay.
constexpr milliseconds kDarkDomainHoldDown{15'000};
/// With fewer unreachable hosts in a domain, each counts as a separate failure.
constexpr int kMinDarkHosts = 3;
/// With fewer unreachable hosts, this daemon isn't taken to be partitioned.
constexpr int kMinUnreachableHosts = 4;

}  // namespace

bool HostHistory::IsFailed(const std::string& host) const {
  auto found = m_hosts.find(host);
  return found != m_hosts.end() && found->second.failed;
}

bool HostHistory::IsHeldDown(const std::string& host, TimePoint now) const {
  auto found = m_hosts.find(host);
  return found != m_hosts.end() && now < found->second.held_until;
}

void HostHistory::Update(const Presence& presence, TimePoint now,
                         Actions* out) {
  std::map<std::string, Domain> domains;
  Domain all;
  std::erase_if(m_hosts, [&](const auto& entry) {
    return presence.Find(entry.first) == nullptr;
  });
  for (const auto& [name, record] : presence.hosts()) {
    if (!record.info.engine) {
      continue;
    }
    bool reachable_now = presence.IsReachable(record, now);
    UpdateHost(name, record, reachable_now, now, out);
    bool reachable = reachable_now || now - record.last_answered_probe_at <
                                          m_failure_timeout / 2;
    Domain& domain = domains[record.info.fabric_domain];
    for (Domain* each : {&domain, &all}) {
      ++each->hosts;
      each->unreachable += reachable ? 0 : 1;
    }
  }
  UpdateDomains(domains, now, out);
  bool isolated = all.unreachable >= kMinUnreachableHosts &&
                  2 * all.unreachable > all.hosts;
  if (isolated != m_isolated) {
    m_isolated = isolated;
    out->push_back(LogDecision{"moves_suspended",
                               {{"suspended", isolated ? "true" : "false"}}});
  }
}

void HostHistory::UpdateHost(const std::string& host,
                             const HostPresence& record, bool reachable_now,
                             TimePoint now, Actions* out) {
  History& history = m_hosts[host];
  if (reachable_now && history.failed) {
    history.failed = false;
    history.up_since = now;
    // The hold-down starts when the host returns, so that the host has to stay
    // reachable for its duration.
    history.held_until = now + ExponentialBackoff(kMinHoldDown, kMaxHoldDown,
                                                  history.failures - 1);
    out->push_back(LogDecision{
        "host_returned",
        {{"host", host}, {"failures", std::to_string(history.failures)}}});
  } else if (!reachable_now && !history.failed &&
             now - record.last_answered_probe_at > m_failure_timeout) {
    if (history.up_since != TimePoint{} &&
        now - history.up_since > kStableDuration) {
      history.failures = 0;
    }
    history.failed = true;
    ++history.failures;
    out->push_back(LogDecision{"host_failed", {{"host", host}}});
  }
}

void HostHistory::UpdateDomains(const std::map<std::string, Domain>& domains,
                                TimePoint now, Actions* out) {
  m_held_domains.clear();
  for (const auto& [name, domain] : domains) {
    bool dark = domain.unreachable >= kMinDarkHosts &&
                2 * domain.unreachable > domain.hosts;
    if (!dark) {
      m_dark_since.erase(name);
      continue;
    }
    auto [since, added] = m_dark_since.try_emplace(name, now);
    if (added) {
      out->push_back(LogDecision{"domain_dark", {{"domain", name}}});
    }
    if (now - since->second < m_failure_timeout + kDarkDomainHoldDown) {
      m_held_domains.insert(name);
    }
  }
}

}  // namespace clementine
