// Downtime counts for every placed group that is neither open to requests nor
// draining, and for every declared replica that is not placed. Stranded
// accelerators are the accelerators of listed engine hosts that are in no open
// group. Both figures are based on the health known to this daemon.

#include "core/status.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "config/config.h"
#include "fmt/format.h"

namespace clementine {

std::vector<Status::GroupStatus> Status::CollectGroups(
    const StatusSources& sources) const {
  std::map<std::string, bool> open;
  for (const GroupView& view : sources.presence->views()) {
    open[view.group] = view.open;
  }
  const Placement& placement = sources.placement->store().placement();
  std::vector<GroupStatus> groups;
  std::map<std::string, int> active_groups;
  for (const auto& [name, group] : placement.groups) {
    active_groups[group.spec] += group.phase == GroupPhase::kDraining ? 0 : 1;
    groups.push_back({name, group.model, m_states.StateOf(name), group.hosts,
                      group.epoch, open[name]});
  }
  if (sources.configuration == nullptr) {
    return groups;
  }
  for (const auto& [spec_name, spec] : sources.configuration->groups) {
    if (spec.data_centre != sources.data_centre) {
      continue;
    }
    int missing = spec.replicas - active_groups[spec_name];
    for (int index = 0; missing > 0; ++index) {
      std::string name = fmt::format("{}/{}", spec_name, index);
      if (placement.groups.count(name) == 0) {
        groups.push_back({name, spec.model, "missing", {}, 0, false});
        --missing;
      }
    }
  }
  return groups;
}

void Status::UpdateMeasurements(const StatusSources& sources, TimePoint now) {
  auto elapsed = std::chrono::duration_cast<milliseconds>(now - m_measured_at);
  bool first = m_measured_at == TimePoint{};
  m_measured_at = now;
  m_states.Observe(sources.placement->store().placement(),
                   sources.presence->views());
  std::set<std::string> working;
  for (const GroupStatus& group : CollectGroups(sources)) {
    if (group.open) {
      working.insert(group.hosts.begin(), group.hosts.end());
    } else if (!first && group.state != "draining") {
      m_downtime[group.group] += elapsed;
    }
  }
  m_stranded_accelerators = 0;
  for (const auto& [name, record] : sources.presence->hosts()) {
    if (record.listed && record.info.engine && working.count(name) == 0) {
      m_stranded_accelerators += record.info.accelerators;
    }
  }
  if (!first) {
    m_stranded_seconds += m_stranded_accelerators *
                          std::chrono::duration<double>(elapsed).count();
  }
}

std::string Status::Json(const StatusSources& sources) const {
  nlohmann::json nodes = nlohmann::json::array();
  std::uint64_t least = sources.nodes.empty() ? 0 : sources.nodes[0].generation;
  for (const NodeStatus& node : sources.nodes) {
    least = node.live ? std::min(least, node.generation) : least;
    nodes.push_back({{"node", node.node},
                     {"generation", node.generation},
                     {"live", node.live}});
  }
  const auto& waiting = sources.placement->waiting();
  nlohmann::json groups = nlohmann::json::array();
  for (const GroupStatus& group : CollectGroups(sources)) {
    auto reason = waiting.find(group.group);
    auto downtime = m_downtime.find(group.group);
    groups.push_back(
        {{"group", group.group},
         {"model", group.model},
         {"state", group.state},
         {"reason", reason == waiting.end() ? "" : reason->second},
         {"hosts", group.hosts},
         {"epoch", group.epoch},
         {"downtime_ms",
          downtime == m_downtime.end() ? 0 : downtime->second.count()}});
  }
  std::set<std::string> taken =
      sources.placement->store().placement().TakenHosts();
  int total = 0;
  int in_group = 0;
  int leaving = 0;
  for (const auto& [name, record] : sources.presence->hosts()) {
    if (!record.info.engine) {
      continue;
    }
    ++total;
    in_group += taken.count(name) != 0 ? 1 : 0;
    leaving += record.leaving ? 1 : 0;
  }
  std::vector<std::string> waiting_for = sources.waiting_for;
  for (const auto& [subject, reason] : waiting) {
    waiting_for.push_back(fmt::format("{}: {}", subject, reason));
  }
  const Lease& lease = sources.placement->lease();
  nlohmann::json json = {
      {"data_centre", sources.data_centre},
      {"generation_min", least},
      {"nodes", std::move(nodes)},
      {"groups", std::move(groups)},
      {"hosts",
       {{"total", total},
        {"in_group", in_group},
        {"spare", total - in_group},
        {"leaving", leaving}}},
      {"stranded_accelerators", m_stranded_accelerators},
      {"stranded_accelerator_seconds", m_stranded_seconds},
      {"refused", nlohmann::json::object()},
      {"waiting_for", waiting_for},
      {"lease",
       {{"holder", lease.known_holder()}, {"fence", lease.known_fence()}}},
      {"platform_calls", sources.calls->counts()}};
  return JsonText(json);
}

void Status::Advance(const StatusSources& sources, TimePoint now,
                     Actions* out) {
  if (m_pending || now < m_next_call_at) {
    return;
  }
  m_next_call_at = now + m_interval;
  if (m_must_read) {
    m_pending = m_calls->Get(CallOwner::kStatus, m_key, now, out) != 0;
  } else {
    m_pending = m_calls->Put(CallOwner::kStatus, m_key, Json(sources),
                             m_version, now, out) != 0;
  }
}

void Status::OnReply(const PendingCall& call, const ObjectReply& reply,
                     TimePoint now) {
  m_pending = false;
  bool failed = reply.status == ObjectStatus::kUnavailable ||
                reply.status == ObjectStatus::kUnknown;
  if (failed) {
    m_must_read = true;
    m_next_call_at = m_backoff.OnFailure(now, m_jitter);
    return;
  }
  m_backoff.OnSuccess();
  bool known = reply.status == ObjectStatus::kOk ||
               (!call.write && reply.status == ObjectStatus::kNotFound);
  m_must_read = !known;
  m_version = reply.status == ObjectStatus::kOk ? reply.version : 0;
  if (!call.write) {
    m_next_call_at = now;
  }
}

}  // namespace clementine
