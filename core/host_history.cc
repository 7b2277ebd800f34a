// A host that fails again and again is kept out of groups for a time that
// doubles with each failure. A domain of which most hosts vanish at once is
// left alone for a while: a switch that restarts would otherwise cause every
// group of the domain to be moved and its hosts to be reloaded on return.

#include "core/host_history.h"

#include "core/doubled_pause.h"

namespace clementine {
namespace {

constexpr milliseconds kFirstHold{15'000};
constexpr milliseconds kLongestHold{1'800'000};
/// A host that stayed up this long starts again without strikes.
constexpr milliseconds kForget{3'600'000};
constexpr milliseconds kDarkHold{15'000};
/// Fewer unreachable hosts than this are separate failures.
constexpr int kDarkHosts = 3;
constexpr int kIsolatedHosts = 4;

}  // namespace

bool HostHistory::Failed(const std::string& host) const {
  auto found = m_hosts.find(host);
  return found != m_hosts.end() && found->second.failed;
}

bool HostHistory::Held(const std::string& host, TimePoint now) const {
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
    bool fresh = presence.Reachable(record, now);
    UpdateHost(name, record, fresh, now, out);
    bool reachable = fresh || now - record.last_ok < m_fail_after / 2;
    Domain& domain = domains[record.info.fabric_domain];
    for (Domain* each : {&domain, &all}) {
      ++each->hosts;
      each->unreachable += reachable ? 0 : 1;
    }
  }
  UpdateDomains(domains, now, out);
  bool isolated =
      all.unreachable >= kIsolatedHosts && 2 * all.unreachable > all.hosts;
  if (isolated != m_isolated) {
    m_isolated = isolated;
    out->push_back(LogDecision{"moves_suspended",
                               {{"suspended", isolated ? "true" : "false"}}});
  }
}

void HostHistory::UpdateHost(const std::string& host, const HostRecord& record,
                             bool fresh, TimePoint now, Actions* out) {
  History& history = m_hosts[host];
  if (fresh && history.failed) {
    history.failed = false;
    history.up_since = now;
    // The hold-down starts with the return: the host must prove stable.
    history.held_until =
        now + DoubledPause(kFirstHold, kLongestHold, history.strikes - 1);
    out->push_back(LogDecision{
        "host_returned",
        {{"host", host}, {"failures", std::to_string(history.strikes)}}});
  } else if (!fresh && !history.failed && now - record.last_ok > m_fail_after) {
    if (history.up_since != TimePoint{} && now - history.up_since > kForget) {
      history.strikes = 0;
    }
    history.failed = true;
    ++history.strikes;
    out->push_back(LogDecision{"host_failed", {{"host", host}}});
  }
}

void HostHistory::UpdateDomains(const std::map<std::string, Domain>& domains,
                                TimePoint now, Actions* out) {
  m_held_domains.clear();
  for (const auto& [name, domain] : domains) {
    bool dark = domain.unreachable >= kDarkHosts &&
                2 * domain.unreachable > domain.hosts;
    if (!dark) {
      m_dark_since.erase(name);
      continue;
    }
    auto [since, added] = m_dark_since.try_emplace(name, now);
    if (added) {
      out->push_back(LogDecision{"domain_dark", {{"domain", name}}});
    }
    if (now - since->second < m_fail_after + kDarkHold) {
      m_held_domains.insert(name);
    }
  }
}

}  // namespace clementine
