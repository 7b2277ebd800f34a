// A group is open only with a recent, positive answer of each of its hosts;
// missing information closes it. The age of an answer counts from the sending
// of the probe, because an answer can be delayed in transit and doesn't
// describe the host after it was sent.

#include "core/presence.h"

#include <algorithm>
#include <set>
#include <utility>

namespace clementine {
namespace {

/// Shortest time for which a host stays marked as leaving, because the host
/// list and its health can still be older than the leaving signal.
constexpr milliseconds kMinLeavingDuration{10'000};
/// Concurrent requests to a host that doesn't run an engine.
constexpr int kPlainHostMaxRunning = 8;
/// Interval at which all hosts and views are evaluated without a change; after
/// a change the evaluation is immediate.
constexpr milliseconds kEvaluationInterval{100};

bool SameView(const GroupView& a, const GroupView& b) {
  return a.group == b.group && a.model == b.model && a.version == b.version &&
         a.service == b.service && a.data_centre == b.data_centre &&
         a.fabric_domain == b.fabric_domain && a.epoch == b.epoch &&
         a.head_host == b.head_host && a.head_address == b.head_address &&
         a.adapters == b.adapters && a.max_running == b.max_running &&
         a.open == b.open && a.leaving == b.leaving;
}

}  // namespace

bool HealthMatches(const std::string& name, const PlacedGroup& group,
                   const HostHealth& health) {
  return health.state == "serving" && health.group == name &&
         health.epoch == group.epoch && health.hosts == group.hosts;
}

const HostPresence* Presence::Find(const std::string& host) const {
  auto found = m_hosts.find(host);
  return found == m_hosts.end() ? nullptr : &found->second;
}

bool Presence::HasFreshHealth(const HostPresence& host, TimePoint now) const {
  return host.health && host.probed_at >= host.health_valid_from &&
         now - host.probed_at < m_options.presence_timeout;
}

void Presence::SetHosts(const std::vector<HostInfo>& hosts, TimePoint now,
                        Actions* out) {
  if (hosts.empty() && !m_hosts.empty()) {
    // An empty list is more likely a platform fault than the loss of all hosts.
    out->push_back(LogDecision{"host_list_empty", {}});
    return;
  }
  m_dirty = true;
  m_listed = true;
  std::set<std::string> listed;
  for (const HostInfo& info : hosts) {
    if (info.engine && info.data_centre != m_options.data_centre) {
      continue;
    }
    listed.insert(info.host);
    auto [it, added] = m_hosts.try_emplace(info.host);
    HostPresence& record = it->second;
    if (added) {
      record.info = info;
      RefreshAssignment(&record);
    }
    bool moved = !added && record.info.address != info.address;
    record.info = info;
    record.listed = true;
    if (added) {
      record.first_seen = record.last_answered_probe_at = now;
      record.next_probe = now + m_jitter->Between(milliseconds(0),
                                                  m_options.probe_interval / 4);
    }
    if (moved) {
      record.health_valid_from = now;
      m_dirty = true;
      record.next_probe = now;
    }
    if (info.leaving) {
      MarkLeaving(&record, "host_list", now, out);
    }
  }
  for (auto it = m_hosts.begin(); it != m_hosts.end();) {
    HostPresence& record = it->second;
    if (listed.count(it->first) != 0) {
      ++it;
      continue;
    }
    record.listed = false;
    // A host that is no longer listed but still answers is leaving.
    if (!HasFreshHealth(record, now)) {
      it = m_hosts.erase(it);
      continue;
    }
    MarkLeaving(&record, "dropped_from_list", now, out);
    ++it;
  }
}

void Presence::OnProbeAnswered(const HostHealth& health, TimePoint now,
                               Actions* out) {
  auto found = m_hosts.find(health.host);
  if (found == m_hosts.end() || !found->second.probing) {
    return;
  }
  HostPresence& record = found->second;
  record.probing = false;
  m_dirty |= record.probe_outdated;
  bool stale = record.probe_outdated;
  record.probe_outdated = false;
  record.next_probe =
      stale ? now
            : record.probe_sent +
                  m_jitter->Between(m_options.probe_interval * 3 / 4,
                                    m_options.probe_interval * 5 / 4);
  // Health from a probe that was pending when the host was suspected counts as
  // older than the suspicion.
  TimePoint probed_at = record.probe_sent - milliseconds(stale ? 1 : 0);
  ApplyHealth(&record, health, probed_at, now, out);
}

void Presence::OnProbeFailed(const std::string& host, TimePoint now) {
  auto found = m_hosts.find(host);
  if (found == m_hosts.end() || !found->second.probing) {
    return;
  }
  HostPresence& record = found->second;
  record.probing = false;
  record.probe_outdated = false;
  ++record.failures;
  record.health_valid_from = now;
  m_dirty = true;
  record.next_probe = now + m_jitter->Between(m_options.probe_interval / 2,
                                              m_options.probe_interval);
}

void Presence::OnHostSuspected(const std::string& host, bool leaving,
                               TimePoint now, Actions* out) {
  auto found = m_hosts.find(host);
  if (found == m_hosts.end()) {
    return;
  }
  HostPresence& record = found->second;
  if (leaving) {
    MarkLeaving(&record, "request_path", now, out);
    return;
  }
  record.health_valid_from = now;
  m_dirty = true;
  record.next_probe = now;
  record.probe_outdated = record.probing;
}

void Presence::OnPeerVerdict(const PresenceUpdate& verdict, TimePoint now,
                             Actions* out) {
  auto [found, added] = m_hosts.try_emplace(verdict.host);
  HostPresence& record = found->second;
  if (added) {
    record.info = verdict.info;
    record.first_seen = record.last_answered_probe_at = record.next_probe = now;
    RefreshAssignment(&record);
  }
  record.verdicts[verdict.reporter] = verdict;
  RefreshAssignment(&record);
  m_dirty = true;
  if (verdict.leaving) {
    MarkLeaving(&record, "peer", now, out);
  }
}

void Presence::SetReporters(const std::vector<std::string>& live) {
  std::set<std::string> nodes(live.begin(), live.end());
  for (auto& [name, record] : m_hosts) {
    std::erase_if(record.verdicts, [&](const auto& item) {
      return nodes.count(item.first) == 0;
    });
  }
  RefreshAssignments();
}

void Presence::RefreshAssignments() {
  for (auto& [name, record] : m_hosts) {
    RefreshAssignment(&record);
  }
  m_dirty = true;
}

void Presence::RefreshAssignment(HostPresence* record) {
  const std::string& host = record->info.host;
  record->must_probe = !probes_host || probes_host(host);
  record->shares_verdict = !spreads_verdict || spreads_verdict(host);
  record->counted_verdicts.clear();
  for (const auto& [reporter, verdict] : record->verdicts) {
    if (!is_reporter || is_reporter(reporter, host)) {
      record->counted_verdicts.push_back(&verdict);
    }
  }
}

bool Presence::ShouldProbe(const HostPresence& record) {
  return record.must_probe || record.health_valid_from > record.probed_at ||
         record.counted_verdicts.empty();
}

// All counted verdicts must agree. A single negative verdict closes the group,
// so that two daemons with opposite information don't both send requests to it.
bool Presence::ConfirmedByOthers(const std::string& name,
                                 const PlacedGroup& group,
                                 const HostPresence& record) {
  return std::all_of(record.counted_verdicts.begin(),
                     record.counted_verdicts.end(),
                     [&](const PresenceUpdate* verdict) {
                       return verdict->present && verdict->group == name &&
                              verdict->epoch == group.epoch;
                     });
}

bool Presence::IsReachable(const HostPresence& record, TimePoint now) const {
  if (ShouldProbe(record)) {
    return HasFreshHealth(record, now);
  }
  return std::all_of(
      record.counted_verdicts.begin(), record.counted_verdicts.end(),
      [](const PresenceUpdate* verdict) { return verdict->present; });
}

const std::vector<std::string>* Presence::LoadedAdapters(
    const HostPresence& record) {
  if (!ShouldProbe(record)) {
    return &record.counted_verdicts.front()->adapters;
  }
  return record.health ? &record.health->adapters : nullptr;
}

std::vector<PresenceUpdate> Presence::Verdicts(TimePoint now) {
  m_verdicts_changed = false;
  std::vector<PresenceUpdate> verdicts;
  for (const auto& [name, record] : m_hosts) {
    if (!record.shares_verdict && !record.info.leaving) {
      continue;
    }
    PresenceUpdate verdict;
    verdict.host = name;
    verdict.info = record.info;
    verdict.leaving = record.leaving;
    verdict.present = IsReachable(record, now);
    if (verdict.present && record.health) {
      auto group = m_placement.groups.find(record.health->group);
      if (group != m_placement.groups.end() &&
          ConfirmsGroup(group->first, group->second, record, now)) {
        verdict.group = group->first;
        verdict.epoch = group->second.epoch;
        verdict.adapters = record.health->adapters;
      }
    }
    verdicts.push_back(std::move(verdict));
  }
  return verdicts;
}

void Presence::ApplyHealth(HostPresence* record, const HostHealth& health,
                           TimePoint probed_at, TimePoint now, Actions* out) {
  m_dirty |= !record->health || !HasFreshHealth(*record, now) ||
             record->health->group != health.group ||
             record->health->epoch != health.epoch ||
             record->health->state != health.state ||
             record->health->hosts != health.hosts ||
             record->health->adapters != health.adapters;
  record->health = health;
  record->probed_at = probed_at;
  record->last_answered_probe_at = probed_at;
  record->failures = 0;
  if (health.leaving) {
    MarkLeaving(record, "health", now, out);
  } else if (record->leaving && record->listed && !record->info.leaving &&
             probed_at - record->leaving_since > kMinLeavingDuration) {
    record->leaving = false;
    m_dirty = true;
    out->push_back(LogDecision{"host_stays", {{"host", record->info.host}}});
  }
  auto group = m_placement.groups.find(health.group);
  if (group != m_placement.groups.end() && !group->second.hosts.empty() &&
      group->second.hosts.front() == health.host) {
    LoadReport load{health.group, health.epoch, health.running, health.waiting,
                    health.kv_used};
    out->push_back(LoadReported{
        load, std::chrono::duration_cast<milliseconds>(now - probed_at)});
  }
}

void Presence::MarkLeaving(HostPresence* record, const char* signal,
                           TimePoint now, Actions* out) {
  if (m_options.mutation == Mutation::kIgnoreLeaving) {
    return;
  }
  record->leaving_since = now;
  if (!record->leaving) {
    record->leaving = true;
    m_dirty = true;
    out->push_back(LogDecision{
        "host_leaving", {{"host", record->info.host}, {"signal", signal}}});
  }
}

void Presence::Probe(HostPresence* record, TimePoint now, Actions* out) {
  record->probing = true;
  record->probe_sent = now;
  out->push_back(ProbeHost{record->info.host, record->info.address});
}

void Presence::SendProbes(TimePoint now, Actions* out) {
  for (auto& [name, record] : m_hosts) {
    if (!record.probing && now >= record.next_probe && ShouldProbe(record)) {
      Probe(&record, now, out);
    }
  }
}

void Presence::Advance(TimePoint now, Actions* out) {
  if (!m_dirty && now - m_last_evaluation < kEvaluationInterval) {
    return;
  }
  m_verdicts_changed |= m_dirty;
  m_dirty = false;
  m_last_evaluation = now;
  SendProbes(now, out);
  std::vector<GroupView> views;
  for (const auto& [name, group] : m_placement.groups) {
    if (!group.hosts.empty()) {
      views.push_back(ViewOfGroup(name, group, now));
    }
  }
  if (m_configuration) {
    for (const auto& [name, service] : m_configuration->services) {
      for (const std::string& host : service.hosts) {
        const HostPresence* record = Find(host);
        if (record != nullptr && !record->info.engine) {
          views.push_back(ViewOfPlainHost(name, *record, now));
        }
      }
    }
  }
  Publish(std::move(views), out);
}

bool Presence::ConfirmsGroup(const std::string& name, const PlacedGroup& group,
                             const HostPresence& record, TimePoint now) const {
  if (!ShouldProbe(record)) {
    return ConfirmedByOthers(name, group, record);
  }
  if (!record.health || (!HasFreshHealth(record, now) &&
                         m_options.mutation != Mutation::kIgnoreHealthAge)) {
    return false;
  }
  if (m_options.mutation == Mutation::kIgnoreEpoch) {
    return record.health->state == "serving";
  }
  return HealthMatches(name, group, *record.health);
}

GroupView Presence::ViewOfGroup(const std::string& name,
                                const PlacedGroup& group, TimePoint now) const {
  GroupView view;
  view.group = name;
  view.model = group.model;
  view.version = group.version;
  view.data_centre = m_options.data_centre;
  view.fabric_domain = group.fabric_domain;
  view.epoch = group.epoch;
  view.head_host = group.hosts.front();
  view.max_running = group.max_running;
  view.open = group.phase == GroupPhase::kServing ||
              group.phase == GroupPhase::kDraining;
  view.leaving = group.phase == GroupPhase::kDraining;
  view.adapters = group.adapters;
  for (const std::string& host : group.hosts) {
    const HostPresence* record = Find(host);
    if (record == nullptr || !ConfirmsGroup(name, group, *record, now)) {
      view.open = false;
    }
    if (record != nullptr && record->leaving) {
      view.leaving = true;
    }
    const auto* loaded = record ? LoadedAdapters(*record) : nullptr;
    if (loaded == nullptr) {
      view.adapters.clear();
      continue;
    }
    // An adapter is offered only if every host of the group has loaded it.
    std::erase_if(view.adapters, [&](const std::string& adapter) {
      return std::find(loaded->begin(), loaded->end(), adapter) ==
             loaded->end();
    });
  }
  if (const HostPresence* head = Find(view.head_host)) {
    view.head_address = head->info.address;
  }
  return view;
}

GroupView Presence::ViewOfPlainHost(const std::string& service,
                                    const HostPresence& record,
                                    TimePoint now) const {
  GroupView view;
  view.group = service + "/" + record.info.host;
  view.service = service;
  view.data_centre = record.info.data_centre;
  view.fabric_domain = record.info.fabric_domain;
  view.head_host = record.info.host;
  view.head_address = record.info.address;
  view.max_running = kPlainHostMaxRunning;
  view.open = IsReachable(record, now);
  view.leaving = record.leaving;
  return view;
}

void Presence::Publish(std::vector<GroupView> views, Actions* out) {
  bool same = std::equal(views.begin(), views.end(), m_views.begin(),
                         m_views.end(), SameView);
  if (same) {
    return;
  }
  std::map<std::string, const GroupView*> before;
  for (const GroupView& view : m_views) {
    before[view.group] = &view;
  }
  for (const GroupView& view : views) {
    auto found = before.find(view.group);
    bool was_open = found != before.end() && found->second->open;
    bool was_leaving = found != before.end() && found->second->leaving;
    if (view.open != was_open || view.leaving != was_leaving) {
      out->push_back(
          LogDecision{"gate",
                      {{"group", view.group},
                       {"epoch", std::to_string(view.epoch)},
                       {"open", view.open ? "true" : "false"},
                       {"leaving", view.leaving ? "true" : "false"}}});
    }
  }
  m_views = std::move(views);
  out->push_back(GroupsChanged{m_views});
}

}  // namespace clementine
