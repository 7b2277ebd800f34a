// Baseline planner for comparisons. It obeys only the safety rules: the hosts
// of a group share a fabric domain, a host is in one group at most, and a
// released host is reused only after it confirmed the unload. An affected group
// is dissolved immediately and placed again on the first hosts that fit.

#include <algorithm>
#include <utility>

#include "core/placement.h"
#include "fmt/format.h"

namespace clementine {
namespace {

void DissolveAffected(const PlannerInput& input, PlannerResult* result) {
  Placement& next = result->next;
  std::erase_if(next.released, [&](const auto& entry) {
    auto facts = input.hosts.find(entry.first);
    return facts == input.hosts.end() || facts->second.gone ||
           facts->second.idle;
  });
  for (auto it = next.groups.begin(); it != next.groups.end();) {
    PlacedGroup& group = it->second;
    auto spec = input.configuration->groups.find(group.spec);
    bool keep = spec != input.configuration->groups.end();
    if (keep) {
      auto model = input.configuration->models.find(spec->second.model);
      keep = model != input.configuration->models.end() &&
             model->second.version == group.version;
    }
    for (const std::string& host : group.hosts) {
      auto facts = input.hosts.find(host);
      keep = keep && facts != input.hosts.end() && !facts->second.failed &&
             !facts->second.leaving;
    }
    auto facts = input.groups.find(it->first);
    if (keep && facts != input.groups.end() && facts->second.present) {
      group.phase = GroupPhase::kServing;
    }
    if (keep) {
      ++it;
      continue;
    }
    for (const std::string& host : group.hosts) {
      next.released[host] = {it->first, group.epoch};
    }
    result->decisions.push_back({"group_dissolved", {{"group", it->first}}});
    it = next.groups.erase(it);
  }
}

/// Returns the first `count` spare hosts of one fabric domain; empty if no
/// domain has enough.
std::vector<std::string> FirstFit(const PlannerInput& input,
                                  const Placement& next, std::size_t count) {
  std::set<std::string> taken = next.TakenHosts();
  std::map<std::string, std::vector<std::string>> spares;
  for (const auto& [name, facts] : input.hosts) {
    if (facts.info.engine && facts.up && facts.idle && !facts.leaving &&
        taken.count(name) == 0) {
      auto& hosts = spares[facts.info.fabric_domain];
      hosts.push_back(name);
      if (hosts.size() == count) {
        return hosts;
      }
    }
  }
  return {};
}

}  // namespace

PlannerResult PlanNaively(const PlannerInput& input) {
  PlannerResult result;
  result.next = input.current;
  DissolveAffected(input, &result);
  for (const auto& [spec_name, spec] : input.configuration->groups) {
    auto model = input.configuration->models.find(spec.model);
    if (spec.data_centre != input.data_centre ||
        model == input.configuration->models.end()) {
      continue;
    }
    for (int i = 0; i < spec.replicas; ++i) {
      std::string name = fmt::format("{}/{}", spec_name, i);
      auto count = static_cast<std::size_t>(model->second.hosts_per_replica);
      std::vector<std::string> hosts = FirstFit(input, result.next, count);
      if (result.next.groups.count(name) != 0 || hosts.empty()) {
        continue;
      }
      PlacedGroup group{spec_name,
                        model->second.name,
                        model->second.version,
                        model->second.weights,
                        model->second.adapters,
                        input.hosts.at(hosts[0]).info.fabric_domain,
                        model->second.max_running,
                        result.next.NextEpoch(name),
                        hosts};
      result.next.groups[name] = std::move(group);
      result.decisions.push_back({"group_placed", {{"group", name}}});
    }
  }
  return result;
}

}  // namespace clementine
