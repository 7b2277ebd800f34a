// Each replica needs a number of hosts in the same fabric domain. After step 1,
// groups whose spec is no longer declared are drained (dissolved while they
// load), and loading groups adopt a changed model if it needs the same number
// of hosts. The planner proceeds in this order:
//
//   1. Apply confirmations: hosts that confirmed their release become spares,
//      groups whose hosts are all present become serving, and drained groups
//      are dissolved.
//   2. Repair: failed hosts are replaced by spares of the same domain, while
//      the group keeps its other hosts. Groups with higher priority come first.
//   3. Dissolve: a group that cannot be repaired is dissolved only if its
//      replica fits in another domain, or if its hosts complete another group.
//   4. Replace outdated replicas, that is replicas of an old version or with a
//      leaving host. One replica of a group spec is replaced at a time. The
//      replacement is loaded first if there are enough spares.
//   5. Drain surplus: replicas above the declared number are drained, or
//      dissolved if they don't serve.
//   6. Create missing replicas, those with higher priority first, in the domain
//      with the lowest cost.
//
// A serving group is never stopped only to improve the placement: the gain
// would have to exceed the cost of reloading a replica, and step 4 frees
// hosts in any case. The number of loading groups is limited, since all groups
// load from the same weight store.

#include "core/placement.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

#include "fmt/format.h"

namespace clementine {
namespace {

/// Factor of the downtime weight for a spec without a serving replica.
constexpr double kNoServingReplicaFactor = 2.0;

/// A single run of the planner.
class Plan {
 public:
  explicit Plan(const PlannerInput& input) : m_input(input) {
    m_result.next = input.current;
  }

  PlannerResult Run() {
    ApplyConfirmations();
    AdoptConfiguration();
    CountLoading();
    if (!m_input.suspended) {
      RepairGroups();
      DissolveUnrepairable();
      ReplaceOutdated();
      DrainSurplus();
      CreateMissing();
    }
    RecordWaitingReasons();
    return std::move(m_result);
  }

 private:
  /// Demand for spare hosts, by a group to repair or a missing replica.
  struct Need {
    std::string group;  ///< Empty for a missing replica.
    std::string spec;
    double priority = 0.0;
    int hosts = 0;  ///< To replace in the group, or of the complete replica.
  };

  const HostFacts* HostFactsOf(const std::string& host) const {
    auto found = m_input.hosts.find(host);
    return found == m_input.hosts.end() ? nullptr : &found->second;
  }
  const GroupFacts& GroupFactsOf(const std::string& name,
                                 const PlacedGroup&) const {
    static const GroupFacts no_facts;
    auto found = m_input.groups.find(name);
    return found == m_input.groups.end() ? no_facts : found->second;
  }
  const ModelSpec* ModelOf(const GroupSpec& spec) const {
    const auto& models = m_input.configuration->models;
    auto found = models.find(spec.model);
    return found == models.end() ? nullptr : &found->second;
  }
  const GroupSpec* SpecOf(const PlacedGroup& group) const {
    const auto& specs = m_input.configuration->groups;
    auto found = specs.find(group.spec);
    bool here = found != specs.end() &&
                found->second.data_centre == m_input.data_centre;
    return here ? &found->second : nullptr;
  }

  void Log(const char* event, const std::string& group,
           const std::string& detail) {
    m_result.decisions.push_back({event, {{"group", group}, {"why", detail}}});
  }
  void AddWaitingReason(const std::string& group, const std::string& reason) {
    m_result.waiting.try_emplace(group, reason);
  }

  void ApplyConfirmations();
  /// Drains undeclared groups. Applies changes of the declared models: to
  /// loading groups, which reload, and to adapters and limits of up-to-date
  /// groups.
  void AdoptConfiguration();
  static bool AdoptModel(PlacedGroup* group, const ModelSpec& model);
  void CountLoading();
  void RepairGroups();
  bool RepairGroup(const std::string& name);
  void DissolveUnrepairable();
  bool CanCompleteAnotherGroup(const std::string& name,
                               const PlacedGroup& group, int survivors) const;
  void ReplaceOutdated();
  void ReplaceOneGroup(const std::string& spec_name, const GroupSpec& spec,
                       const ModelSpec& model);
  void DrainSurplus();
  void CreateMissing();
  bool CreateGroup(const std::string& spec_name, const GroupSpec& spec,
                   const ModelSpec& model, const char* why);
  void RecordWaitingReasons();

  void DissolveGroup(const std::string& name, const char* why);
  void DrainGroup(const std::string& name, const char* why);
  std::vector<std::string> FindHostsToReplace(const PlacedGroup& group) const;
  bool IsOutdated(const PlacedGroup& group, const ModelSpec& model) const;
  bool HasLeavingHost(const PlacedGroup& group) const;
  using SpareMap = std::map<std::string, std::vector<std::string>>;
  const SpareMap& Spares() const;
  std::vector<std::string> SparesIn(const std::string& domain) const;
  std::string CheapestDomain(std::size_t count) const;
  std::vector<std::string> FindActiveGroups(const std::string& spec) const;
  int CountServing(const std::string& spec) const;
  /// Returns the gain of a replica per host, on the assumption that each host
  /// has kAcceleratorsPerHost accelerators.
  /// @param only_replica Its spec has no serving replica.
  double Priority(bool only_replica, int hosts) const;
  bool HasHostsUnloading() const;

  const PlannerInput& m_input;
  PlannerResult m_result;
  /// Groups whose fabric domain has too few spares for a repair.
  std::set<std::string> m_unrepairable;
  mutable std::optional<SpareMap> m_spares;  ///< Reset when hosts change.
  int m_loading_groups = 0;
};

std::vector<std::string> Plan::FindHostsToReplace(
    const PlacedGroup& group) const {
  std::vector<std::string> hosts_to_replace;
  for (const std::string& host : group.hosts) {
    const HostFacts* facts = HostFactsOf(host);
    bool is_leaving = facts != nullptr && facts->leaving &&
                      group.phase == GroupPhase::kLoading;
    if (facts == nullptr || facts->failed || facts->gone || is_leaving) {
      hosts_to_replace.push_back(host);
    }
  }
  return hosts_to_replace;
}

bool Plan::IsOutdated(const PlacedGroup& group, const ModelSpec& model) const {
  return group.model != model.name || group.version != model.version ||
         group.weights != model.weights ||
         group.hosts.size() !=
             static_cast<std::size_t>(model.hosts_per_replica);
}

bool Plan::HasLeavingHost(const PlacedGroup& group) const {
  return std::any_of(group.hosts.begin(), group.hosts.end(),
                     [this](const std::string& host) {
                       const HostFacts* facts = HostFactsOf(host);
                       return facts != nullptr && facts->leaving;
                     });
}

const Plan::SpareMap& Plan::Spares() const {
  if (m_spares) {
    return *m_spares;
  }
  std::set<std::string> taken = m_result.next.TakenHosts();
  SpareMap spares;
  for (const auto& [name, facts] : m_input.hosts) {
    if (facts.info.engine && facts.up && facts.idle && !facts.leaving &&
        !facts.held && taken.count(name) == 0 &&
        m_input.held_domains.count(facts.info.fabric_domain) == 0) {
      spares[facts.info.fabric_domain].push_back(name);
    }
  }
  m_spares = std::move(spares);
  return *m_spares;
}

std::vector<std::string> Plan::SparesIn(const std::string& domain) const {
  auto found = Spares().find(domain);
  return found == Spares().end() ? std::vector<std::string>() : found->second;
}

std::vector<std::string> Plan::FindActiveGroups(const std::string& spec) const {
  std::vector<std::string> active;
  for (const auto& [name, group] : m_result.next.groups) {
    if (group.spec == spec && group.phase != GroupPhase::kDraining) {
      active.push_back(name);
    }
  }
  return active;
}

int Plan::CountServing(const std::string& spec) const {
  int serving = 0;
  for (const std::string& name : FindActiveGroups(spec)) {
    const PlacedGroup& group = m_result.next.groups.at(name);
    if (group.phase == GroupPhase::kServing &&
        FindHostsToReplace(group).empty()) {
      ++serving;
    }
  }
  return serving;
}

double Plan::Priority(bool only_replica, int hosts) const {
  constexpr int kAcceleratorsPerHost = 4;
  PlacementSpec weights = m_input.configuration->placement;
  if (only_replica) {
    weights.downtime_weight *= kNoServingReplicaFactor;
  }
  return ReplicaGain(weights, hosts * kAcceleratorsPerHost) /
         std::max(1, hosts);
}

void Plan::ApplyConfirmations() {
  Placement& next = m_result.next;
  std::erase_if(next.released, [this](const auto& entry) {
    const HostFacts* facts = HostFactsOf(entry.first);
    return facts == nullptr || facts->gone || facts->idle;
  });
  std::vector<std::string> drained_groups;
  for (auto& [name, group] : next.groups) {
    const GroupFacts& facts = GroupFactsOf(name, group);
    if (group.phase == GroupPhase::kLoading && facts.present) {
      group.phase = GroupPhase::kServing;
      Log("group_serving", name, "all hosts confirmed");
    } else if (group.phase == GroupPhase::kDraining &&
               (facts.drained || !FindHostsToReplace(group).empty() ||
                facts.phase_age >= m_input.limits.drain_limit)) {
      drained_groups.push_back(name);
    }
  }
  for (const std::string& name : drained_groups) {
    DissolveGroup(name, "drained");
  }
}

void Plan::AdoptConfiguration() {
  std::vector<std::string> undeclared_groups;
  for (const auto& [name, group] : m_result.next.groups) {
    if (SpecOf(group) == nullptr && group.phase != GroupPhase::kDraining) {
      undeclared_groups.push_back(name);
    }
  }
  for (const std::string& name : undeclared_groups) {
    DrainGroup(name, "not declared");
  }
  for (auto& [name, group] : m_result.next.groups) {
    const GroupSpec* spec = SpecOf(group);
    const ModelSpec* model = spec == nullptr ? nullptr : ModelOf(*spec);
    if (model == nullptr) {
      continue;
    }
    if (group.phase == GroupPhase::kLoading && IsOutdated(group, *model) &&
        AdoptModel(&group, *model)) {
      group.epoch = m_result.next.NextEpoch(name);
      Log("group_reloaded", name, "version change while loading");
    }
    if (!IsOutdated(group, *model)) {
      group.adapters = model->adapters;
      group.max_running = model->max_running;
    }
  }
}

/// Sets the group's model to the declared one if both need the same number of
/// hosts. Returns whether it did.
bool Plan::AdoptModel(PlacedGroup* group, const ModelSpec& model) {
  if (group->hosts.size() !=
      static_cast<std::size_t>(model.hosts_per_replica)) {
    return false;
  }
  group->model = model.name;
  group->version = model.version;
  group->weights = model.weights;
  group->adapters = model.adapters;
  group->max_running = model.max_running;
  return true;
}

void Plan::CountLoading() {
  for (const auto& [name, group] : m_result.next.groups) {
    if (group.phase == GroupPhase::kLoading &&
        !GroupFactsOf(name, group).stalled) {
      ++m_loading_groups;
    }
  }
}

void Plan::RepairGroups() {
  std::vector<Need> needs;
  for (const auto& [name, group] : m_result.next.groups) {
    if (group.phase != GroupPhase::kDraining &&
        !FindHostsToReplace(group).empty()) {
      int hosts = static_cast<int>(group.hosts.size());
      needs.push_back({name, group.spec,
                       Priority(CountServing(group.spec) == 0, hosts),
                       static_cast<int>(FindHostsToReplace(group).size())});
    }
  }
  std::stable_sort(needs.begin(), needs.end(),
                   [](const auto& a, const auto& b) {
                     return a.priority != b.priority ? a.priority > b.priority
                                                     : a.hosts < b.hosts;
                   });
  for (const Need& need : needs) {
    RepairGroup(need.group);
  }
}

bool Plan::RepairGroup(const std::string& name) {
  PlacedGroup& group = m_result.next.groups.at(name);
  if (m_input.held_domains.count(group.fabric_domain) != 0) {
    AddWaitingReason(name, "dark fabric domain " + group.fabric_domain);
    return false;
  }
  std::vector<std::string> hosts_to_replace = FindHostsToReplace(group);
  const std::vector<std::string> spares = SparesIn(group.fabric_domain);
  if (spares.size() < hosts_to_replace.size()) {
    AddWaitingReason(name, fmt::format("{} spare hosts in fabric domain {}",
                                       hosts_to_replace.size() - spares.size(),
                                       group.fabric_domain));
    m_unrepairable.insert(name);
    return false;
  }
  bool counted_as_loading = group.phase == GroupPhase::kLoading;
  if (!counted_as_loading && m_loading_groups >= m_input.limits.max_loading) {
    AddWaitingReason(name, "load slot");
    return false;
  }
  std::uint64_t old_epoch = group.epoch;
  const GroupSpec* spec = SpecOf(group);
  if (spec != nullptr && ModelOf(*spec) != nullptr) {
    // A repair reloads the model in any case.
    AdoptModel(&group, *ModelOf(*spec));
  }
  for (std::size_t i = 0; i < hosts_to_replace.size(); ++i) {
    std::replace(group.hosts.begin(), group.hosts.end(), hosts_to_replace[i],
                 spares[i]);
    const HostFacts* facts = HostFactsOf(hosts_to_replace[i]);
    if (facts != nullptr && !facts->gone) {
      m_result.next.released[hosts_to_replace[i]] = {name, old_epoch};
    }
  }
  group.epoch = m_result.next.NextEpoch(name);
  group.phase = GroupPhase::kLoading;
  m_spares.reset();
  m_loading_groups += counted_as_loading ? 0 : 1;
  Log("group_repaired", name,
      fmt::format("{} replaced by {} hosts of {}", hosts_to_replace.front(),
                  hosts_to_replace.size(), group.fabric_domain));
  return true;
}

bool Plan::CanCompleteAnotherGroup(const std::string& name,
                                   const PlacedGroup& group,
                                   int survivors) const {
  int spares = static_cast<int>(SparesIn(group.fabric_domain).size());
  double own_priority = Priority(CountServing(group.spec) == 0,
                                 static_cast<int>(group.hosts.size()));
  for (const auto& [other_name, other] : m_result.next.groups) {
    int missing = static_cast<int>(FindHostsToReplace(other).size());
    if (other_name == name || missing == 0 ||
        other.phase == GroupPhase::kDraining ||
        other.fabric_domain != group.fabric_domain ||
        missing > spares + survivors) {
      continue;
    }
    double priority = Priority(CountServing(other.spec) == 0,
                               static_cast<int>(other.hosts.size()));
    // Of two groups with equal priority only the one with the later name is
    // dissolved.
    if (priority > own_priority ||
        (priority == own_priority && other_name < name)) {
      return true;
    }
  }
  return false;
}

void Plan::DissolveUnrepairable() {
  std::vector<std::string> unrepairable;
  for (const auto& [name, group] : m_result.next.groups) {
    if (m_unrepairable.count(name) != 0) {
      unrepairable.push_back(name);
    }
  }
  for (const std::string& name : unrepairable) {
    const PlacedGroup& group = m_result.next.groups.at(name);
    int survivors =
        static_cast<int>(group.hosts.size() - FindHostsToReplace(group).size());
    bool fits_elsewhere = m_loading_groups < m_input.limits.max_loading &&
                          !CheapestDomain(group.hosts.size()).empty();
    if (fits_elsewhere) {
      const GroupSpec* spec = SpecOf(group);
      const ModelSpec* model = spec == nullptr ? nullptr : ModelOf(*spec);
      std::string spec_name = group.spec;
      DissolveGroup(name, "replica fits in another domain");
      if (model != nullptr) {
        CreateGroup(spec_name, *spec, *model, "moved");
      }
    } else if (CanCompleteAnotherGroup(name, group, survivors)) {
      DissolveGroup(name, "its hosts complete another group");
    }
  }
}

void Plan::ReplaceOutdated() {
  for (const auto& [name, spec] : m_input.configuration->groups) {
    const ModelSpec* model = ModelOf(spec);
    if (spec.data_centre == m_input.data_centre && model != nullptr) {
      ReplaceOneGroup(name, spec, *model);
    }
  }
}

void Plan::ReplaceOneGroup(const std::string& spec_name, const GroupSpec& spec,
                           const ModelSpec& model) {
  std::vector<std::string> outdated;
  bool has_unready_replica = false;
  for (const auto& [name, group] : m_result.next.groups) {
    if (group.spec != spec_name) {
      continue;
    }
    bool serving = group.phase == GroupPhase::kServing &&
                   FindHostsToReplace(group).empty();
    has_unready_replica |= !serving;
    if (serving && (IsOutdated(group, model) || HasLeavingHost(group))) {
      outdated.push_back(name);
    }
  }
  if (outdated.empty()) {
    return;
  }
  // Replicas with leaving hosts come first, since those hosts are lost soon.
  std::stable_partition(outdated.begin(), outdated.end(),
                        [this](const auto& name) {
                          return HasLeavingHost(m_result.next.groups.at(name));
                        });
  for (const std::string& name : outdated) {
    AddWaitingReason(name, "its turn to be replaced");
  }
  auto active = static_cast<int>(FindActiveGroups(spec_name).size());
  if (has_unready_replica || active > spec.replicas) {
    return;
  }
  if (m_loading_groups >= m_input.limits.max_loading) {
    AddWaitingReason(outdated.front(), "load slot");
    return;
  }
  if (CreateGroup(spec_name, spec, model, "replacement")) {
    return;
  }
  if (HasHostsUnloading()) {
    AddWaitingReason(outdated.front(), "hosts that unload");
    return;
  }
  DrainGroup(outdated.front(),
             HasLeavingHost(m_result.next.groups.at(outdated.front()))
                 ? "host leaving"
                 : "version change without spares");
}

/// Whether some released hosts are expected to become spares soon.
bool Plan::HasHostsUnloading() const {
  return std::any_of(m_result.next.released.begin(),
                     m_result.next.released.end(), [this](const auto& entry) {
                       const HostFacts* facts = HostFactsOf(entry.first);
                       return facts != nullptr && facts->up &&
                              !facts->leaving && !facts->held;
                     });
}

void Plan::DrainSurplus() {
  for (const auto& [spec_name, spec] : m_input.configuration->groups) {
    const ModelSpec* model = ModelOf(spec);
    std::vector<std::string> active = FindActiveGroups(spec_name);
    if (model == nullptr || static_cast<int>(active.size()) <= spec.replicas) {
      continue;
    }
    auto order = [&](const std::string& name) {
      const PlacedGroup& group = m_result.next.groups.at(name);
      bool needs_repair = !FindHostsToReplace(group).empty();
      bool is_outdated = IsOutdated(group, *model) || HasLeavingHost(group);
      bool is_loading = group.phase == GroupPhase::kLoading;
      return std::make_tuple(!needs_repair, !is_outdated, !is_loading);
    };
    std::reverse(active.begin(), active.end());
    std::stable_sort(
        active.begin(), active.end(),
        [&](const auto& a, const auto& b) { return order(a) < order(b); });
    const std::string& name = active.front();
    const PlacedGroup& group = m_result.next.groups.at(name);
    bool is_serving = group.phase == GroupPhase::kServing &&
                      FindHostsToReplace(group).empty();
    if (!is_serving) {
      DissolveGroup(name, "surplus");
    } else if (CountServing(spec_name) - 1 >= spec.replicas) {
      DrainGroup(name, IsOutdated(group, *model) ? "version change"
                       : HasLeavingHost(group)   ? "host leaving"
                                                 : "surplus");
    } else {
      AddWaitingReason(name, "its replacement to serve");
    }
  }
}

void Plan::CreateMissing() {
  std::vector<Need> needs;
  for (const auto& [name, spec] : m_input.configuration->groups) {
    const ModelSpec* model = ModelOf(spec);
    if (spec.data_centre != m_input.data_centre || model == nullptr) {
      continue;
    }
    auto active = static_cast<int>(FindActiveGroups(name).size());
    int missing = spec.replicas - active;
    for (int i = 0; i < missing; ++i) {
      needs.push_back({"", name,
                       Priority(active + i == 0, model->hosts_per_replica),
                       model->hosts_per_replica});
    }
  }
  std::stable_sort(needs.begin(), needs.end(),
                   [](const auto& a, const auto& b) {
                     return a.priority != b.priority ? a.priority > b.priority
                                                     : a.hosts > b.hosts;
                   });
  for (const Need& need : needs) {
    const GroupSpec& spec = m_input.configuration->groups.at(need.spec);
    if (m_loading_groups >= m_input.limits.max_loading) {
      AddWaitingReason(need.spec, "load slot");
    } else if (!CreateGroup(need.spec, spec, *ModelOf(spec),
                            "missing replica")) {
      AddWaitingReason(
          need.spec,
          fmt::format("{} spare hosts in one fabric domain", need.hosts));
    }
  }
}

/// Returns the fabric domain with the lowest cost for `count` hosts; empty if
/// none has enough spares. The cost is the sum of the repair risk (groups per
/// remaining spare), weighted by downtime, and of the remaining spares that are
/// too few for another replica, weighted by stranded_weight.
std::string Plan::CheapestDomain(std::size_t count) const {
  std::map<std::string, int> groups_in;
  for (const auto& [name, group] : m_result.next.groups) {
    ++groups_in[group.fabric_domain];
  }
  const PlacementSpec& weights = m_input.configuration->placement;
  std::string best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& [domain, hosts] : Spares()) {
    if (hosts.size() < count) {
      continue;
    }
    std::size_t spares_left = hosts.size() - count;
    double repair_risk =
        (groups_in[domain] + 1.0) / (static_cast<double>(spares_left) + 1.0);
    auto leftover_spares = static_cast<double>(spares_left % count);
    double cost = weights.downtime_weight * repair_risk +
                  weights.stranded_weight * leftover_spares;
    if (cost < best_cost) {
      best = domain;
      best_cost = cost;
    }
  }
  return best;
}

bool Plan::CreateGroup(const std::string& spec_name, const GroupSpec& spec,
                       const ModelSpec& model, const char* why) {
  auto count = static_cast<std::size_t>(model.hosts_per_replica);
  std::string domain = CheapestDomain(count);
  if (domain.empty()) {
    return false;
  }
  int index = 0;
  std::string name;
  do {
    name = fmt::format("{}/{}", spec_name, index++);
  } while (m_result.next.groups.count(name) != 0);
  PlacedGroup group;
  group.spec = spec_name;
  group.model = model.name;
  group.version = model.version;
  group.weights = model.weights;
  group.adapters = model.adapters;
  group.fabric_domain = domain;
  group.max_running = model.max_running;
  group.epoch = m_result.next.NextEpoch(name);
  const std::vector<std::string> hosts = SparesIn(domain);
  group.hosts.assign(hosts.begin(),
                     hosts.begin() + static_cast<std::ptrdiff_t>(count));
  m_result.next.groups[name] = std::move(group);
  m_spares.reset();
  ++m_loading_groups;
  (void)spec;
  Log("group_placed", name, fmt::format("{} in {}", why, domain));
  return true;
}

void Plan::DissolveGroup(const std::string& name, const char* why) {
  auto found = m_result.next.groups.find(name);
  for (const std::string& host : found->second.hosts) {
    const HostFacts* facts = HostFactsOf(host);
    if (facts != nullptr && !facts->gone) {
      m_result.next.released[host] = {name, found->second.epoch};
    }
  }
  m_result.next.groups.erase(found);
  m_result.waiting.erase(name);
  Log("group_dissolved", name, why);
}

void Plan::DrainGroup(const std::string& name, const char* why) {
  PlacedGroup& group = m_result.next.groups.at(name);
  if (group.phase == GroupPhase::kLoading) {
    DissolveGroup(name, why);
    return;
  }
  group.phase = GroupPhase::kDraining;
  Log("group_draining", name, why);
}

void Plan::RecordWaitingReasons() {
  for (const auto& [name, group] : m_result.next.groups) {
    if (group.phase == GroupPhase::kDraining) {
      AddWaitingReason(name, "requests in flight");
    } else if (group.phase == GroupPhase::kLoading) {
      AddWaitingReason(name, "hosts to load");
    }
    if (m_input.suspended) {
      AddWaitingReason(name, "most hosts unreachable from the lease holder");
    }
  }
  for (const auto& [host, from] : m_result.next.released) {
    AddWaitingReason(host, "confirmation that it unloaded " + from.group);
  }
}

}  // namespace

double ReplicaGain(const PlacementSpec& placement, int accelerators) {
  return placement.downtime_weight + placement.stranded_weight * accelerators;
}

PlannerResult PlanPlacement(const PlannerInput& input) {
  return Plan(input).Run();
}

}  // namespace clementine
