// Unknown means closed: a gate needs a positive, recent answer of every host.
// Ages are counted from the sending of a probe, because an answer can have
// waited on its way and says nothing about the time after it was given.

#include "core/presence.h"

#include <algorithm>
#include <set>
#include <utility>

namespace clementine {
namespace {

/// The host list and health lag; a leaving mark isn't withdrawn earlier.
constexpr milliseconds kLeavingHold{10'000};
constexpr int kPlainMaxRunning = 8;
/// All hosts and gates are looked at this often, or at once after a change.
constexpr milliseconds kPassInterval{100};

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

const HostRecord* Presence::Find(const std::string& host) const {
  auto found = m_hosts.find(host);
  return found == m_hosts.end() ? nullptr : &found->second;
}

bool Presence::Fresh(const HostRecord& host, TimePoint now) const {
  return host.health && host.asked >= host.trusted_from &&
         now - host.asked < m_options.presence_timeout;
}

void Presence::SetHosts(const std::vector<HostInfo>& hosts, TimePoint now,
                        Actions* out) {
  if (hosts.empty() && !m_hosts.empty()) {
    // More likely a fault of the list than the loss of every host.
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
    HostRecord& record = it->second;
    if (added) {
      record.info = info;
      RefreshDuty(&record);
    }
    bool moved = !added && record.info.address != info.address;
    record.info = info;
    record.listed = true;
    if (added) {
      record.first_seen = record.last_ok = now;
      record.next_probe = now + m_jitter->Between(milliseconds(0),
                                                  m_options.probe_interval / 4);
    }
    if (moved) {
      record.trusted_from = now;
      m_dirty = true;
      record.next_probe = now;
    }
    if (info.leaving) {
      MarkLeaving(&record, "host_list", now, out);
    }
  }
  for (auto it = m_hosts.begin(); it != m_hosts.end();) {
    HostRecord& record = it->second;
    if (listed.count(it->first) != 0) {
      ++it;
      continue;
    }
    record.listed = false;
    // A dropped host that still answers is on its way out.
    if (!Fresh(record, now)) {
      it = m_hosts.erase(it);
      continue;
    }
    MarkLeaving(&record, "dropped_from_list", now, out);
    ++it;
  }
}

void Presence::Answered(const HostHealth& health, TimePoint now, Actions* out) {
  auto found = m_hosts.find(health.host);
  if (found == m_hosts.end() || !found->second.probing) {
    return;
  }
  HostRecord& record = found->second;
  record.probing = false;
  m_dirty |= record.probe_again;
  bool stale = record.probe_again;
  record.probe_again = false;
  record.next_probe =
      stale ? now
            : record.probe_sent +
                  m_jitter->Between(m_options.probe_interval * 3 / 4,
                                    m_options.probe_interval * 5 / 4);
  // A probe that a suspicion overtook counts as sent before it.
  TimePoint asked = record.probe_sent - milliseconds(stale ? 1 : 0);
  Learn(&record, health, asked, now, out);
}

void Presence::Failed(const std::string& host, TimePoint now) {
  auto found = m_hosts.find(host);
  if (found == m_hosts.end() || !found->second.probing) {
    return;
  }
  HostRecord& record = found->second;
  record.probing = false;
  record.probe_again = false;
  ++record.failures;
  record.trusted_from = now;
  m_dirty = true;
  record.next_probe = now + m_jitter->Between(m_options.probe_interval / 2,
                                              m_options.probe_interval);
}

void Presence::Suspected(const std::string& host, bool leaving, TimePoint now,
                         Actions* out) {
  auto found = m_hosts.find(host);
  if (found == m_hosts.end()) {
    return;
  }
  HostRecord& record = found->second;
  if (leaving) {
    MarkLeaving(&record, "request_path", now, out);
    return;
  }
  record.trusted_from = now;
  m_dirty = true;
  record.next_probe = now;
  record.probe_again = record.probing;
}

void Presence::Reported(const PresenceUpdate& verdict, TimePoint now,
                        Actions* out) {
  auto [found, added] = m_hosts.try_emplace(verdict.host);
  HostRecord& record = found->second;
  if (added) {
    record.info = verdict.info;
    record.first_seen = record.last_ok = record.next_probe = now;
    RefreshDuty(&record);
  }
  record.verdicts[verdict.reporter] = verdict;
  RefreshDuty(&record);
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
  RefreshDuties();
}

void Presence::RefreshDuties() {
  for (auto& [name, record] : m_hosts) {
    RefreshDuty(&record);
  }
  m_dirty = true;
}

void Presence::RefreshDuty(HostRecord* record) {
  const std::string& host = record->info.host;
  record->probed_here = !probes || probes(host);
  record->told_others = !spreads || spreads(host);
  record->counted.clear();
  for (const auto& [reporter, verdict] : record->verdicts) {
    if (!reports || reports(reporter, host)) {
      record->counted.push_back(&verdict);
    }
  }
}

bool Presence::ProbesItself(const HostRecord& record) {
  return record.probed_here || record.trusted_from > record.asked ||
         record.counted.empty();
}

// One live reporter that denies closes the gate: two daemons with opposite
// beliefs must not both be right to route.
bool Presence::ConfirmedByOthers(const std::string& name,
                                 const PlacedGroup& group,
                                 const HostRecord& record) {
  return std::all_of(record.counted.begin(), record.counted.end(),
                     [&](const PresenceUpdate* verdict) {
                       return verdict->present && verdict->group == name &&
                              verdict->epoch == group.epoch;
                     });
}

bool Presence::Reachable(const HostRecord& record, TimePoint now) const {
  if (ProbesItself(record)) {
    return Fresh(record, now);
  }
  return std::all_of(
      record.counted.begin(), record.counted.end(),
      [](const PresenceUpdate* verdict) { return verdict->present; });
}

const std::vector<std::string>* Presence::LoadedAdapters(
    const HostRecord& record) {
  if (!ProbesItself(record)) {
    return &record.counted.front()->adapters;
  }
  return record.health ? &record.health->adapters : nullptr;
}

std::vector<PresenceUpdate> Presence::Verdicts(TimePoint now) {
  m_verdicts_changed = false;
  std::vector<PresenceUpdate> verdicts;
  for (const auto& [name, record] : m_hosts) {
    if (!record.told_others && !record.info.leaving) {
      continue;
    }
    PresenceUpdate verdict;
    verdict.host = name;
    verdict.info = record.info;
    verdict.leaving = record.leaving;
    verdict.present = Reachable(record, now);
    if (verdict.present && record.health) {
      auto group = m_placement.groups.find(record.health->group);
      if (group != m_placement.groups.end() &&
          Confirms(group->first, group->second, record, now)) {
        verdict.group = group->first;
        verdict.epoch = group->second.epoch;
        verdict.adapters = record.health->adapters;
      }
    }
    verdicts.push_back(std::move(verdict));
  }
  return verdicts;
}

void Presence::Learn(HostRecord* record, const HostHealth& health,
                     TimePoint asked, TimePoint now, Actions* out) {
  m_dirty |= !record->health || !Fresh(*record, now) ||
             record->health->group != health.group ||
             record->health->epoch != health.epoch ||
             record->health->state != health.state ||
             record->health->hosts != health.hosts ||
             record->health->adapters != health.adapters;
  record->health = health;
  record->asked = asked;
  record->last_ok = asked;
  record->failures = 0;
  if (health.leaving) {
    MarkLeaving(record, "health", now, out);
  } else if (record->leaving && record->listed && !record->info.leaving &&
             asked - record->leaving_since > kLeavingHold) {
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
        load, std::chrono::duration_cast<milliseconds>(now - asked)});
  }
}

void Presence::MarkLeaving(HostRecord* record, const char* signal,
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

void Presence::Probe(HostRecord* record, TimePoint now, Actions* out) {
  record->probing = true;
  record->probe_sent = now;
  out->push_back(ProbeHost{record->info.host, record->info.address});
}

void Presence::SendProbes(TimePoint now, Actions* out) {
  for (auto& [name, record] : m_hosts) {
    if (!record.probing && now >= record.next_probe && ProbesItself(record)) {
      Probe(&record, now, out);
    }
  }
}

void Presence::Advance(TimePoint now, Actions* out) {
  if (!m_dirty && now - m_last_pass < kPassInterval) {
    return;
  }
  m_verdicts_changed |= m_dirty;
  m_dirty = false;
  m_last_pass = now;
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
        const HostRecord* record = Find(host);
        if (record != nullptr && !record->info.engine) {
          views.push_back(ViewOfPlainHost(name, *record, now));
        }
      }
    }
  }
  Publish(std::move(views), out);
}

bool Presence::Confirms(const std::string& name, const PlacedGroup& group,
                        const HostRecord& record, TimePoint now) const {
  if (!ProbesItself(record)) {
    return ConfirmedByOthers(name, group, record);
  }
  if (!record.health || (!Fresh(record, now) &&
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
    const HostRecord* record = Find(host);
    if (record == nullptr || !Confirms(name, group, *record, now)) {
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
    // Only adapters that every host has loaded can be asked for.
    std::erase_if(view.adapters, [&](const std::string& adapter) {
      return std::find(loaded->begin(), loaded->end(), adapter) ==
             loaded->end();
    });
  }
  if (const HostRecord* leader = Find(view.head_host)) {
    view.head_address = leader->info.address;
  }
  return view;
}

GroupView Presence::ViewOfPlainHost(const std::string& service,
                                    const HostRecord& record,
                                    TimePoint now) const {
  GroupView view;
  view.group = service + "/" + record.info.host;
  view.service = service;
  view.data_centre = record.info.data_centre;
  view.fabric_domain = record.info.fabric_domain;
  view.head_host = record.info.host;
  view.head_address = record.info.address;
  view.max_running = kPlainMaxRunning;
  view.open = Reachable(record, now);
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
