// The planner looks at each replica as a need for hosts of one fabric domain.
// In order:
//
//   1. confirm: hosts that confirmed their release become spares; groups whose
//      hosts are all present become serving; drained groups are dissolved.
//   2. repair: a failed host is replaced by a spare of the same domain, which
//      keeps the other hosts. Most needed group first.
//   3. dissolve: a group that can't be repaired is given up only if its replica
//      fits elsewhere, or if its hosts complete another group.
//   4. replace: replicas of an old version or with a leaving host, one of a
//      group spec at a time; first loaded elsewhere if spares allow.
//   5. surplus: replicas beyond the declared number are drained.
//   6. create: missing replicas, most needed first, in the domain with the
//      lowest cost.
//
// A working group is never stopped for a better place of another: the gain
// would have to exceed the reload of a whole replica, and step 4 frees hosts
// anyway. The number of loading groups is bounded, since all share the weight
// store.

#include "core/placement.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

#include "fmt/format.h"

namespace clementine {
namespace {

/// A spec without any serving replica counts this much more.
constexpr double kNoReplicaFactor = 2.0;

/// One run of the planner.
class Plan {
 public:
  explicit Plan(const PlannerInput& input) : m_input(input) {
    m_result.next = input.current;
  }

  PlannerResult Run() {
    Confirm();
    RemoveUndeclared();
    CountLoading();
    if (!m_input.suspended) {
      Repair();
      Dissolve();
      Replace();
      Surplus();
      Create();
    }
    NoteWaiting();
    return std::move(m_result);
  }

 private:
  struct Need {
    std::string group;  ///< Empty for a missing replica.
    std::string spec;
    double rank = 0.0;
    int hosts = 0;
  };

  const HostFacts* Facts(const std::string& host) const {
    auto found = m_input.hosts.find(host);
    return found == m_input.hosts.end() ? nullptr : &found->second;
  }
  const GroupFacts& Facts(const std::string& name, const PlacedGroup&) const {
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
  void Wait(const std::string& group, const std::string& reason) {
    m_result.waiting.try_emplace(group, reason);
  }

  void Confirm();
  void RemoveUndeclared();
  static bool UseModel(PlacedGroup* group, const ModelSpec& model);
  void CountLoading();
  void Repair();
  bool RepairGroup(const std::string& name);
  void Dissolve();
  bool CompletesAnother(const std::string& name, const PlacedGroup& group,
                        int survivors) const;
  void Replace();
  void ReplaceOne(const std::string& spec_name, const GroupSpec& spec,
                  const ModelSpec& model);
  void Surplus();
  void Create();
  bool CreateOne(const std::string& spec_name, const GroupSpec& spec,
                 const ModelSpec& model, const char* why);
  void NoteWaiting();

  void DissolveGroup(const std::string& name, const char* why);
  void DrainGroup(const std::string& name, const char* why);
  std::vector<std::string> Bad(const PlacedGroup& group) const;
  bool Outdated(const PlacedGroup& group, const ModelSpec& model) const;
  bool HasLeaving(const PlacedGroup& group) const;
  using SpareMap = std::map<std::string, std::vector<std::string>>;
  const SpareMap& Spares() const;
  std::vector<std::string> SparesIn(const std::string& domain) const;
  std::string CheapestDomain(std::size_t count) const;
  std::vector<std::string> Live(const std::string& spec) const;
  int Serving(const std::string& spec) const;
  double Rank(bool only_replica, int hosts) const;
  bool AwaitsHosts() const;

  const PlannerInput& m_input;
  PlannerResult m_result;
  std::set<std::string> m_unrepairable;  ///< Too few spares in their domain.
  mutable std::optional<SpareMap> m_spares;  ///< Reset when hosts change.
  int m_loading = 0;
};

std::vector<std::string> Plan::Bad(const PlacedGroup& group) const {
  std::vector<std::string> bad;
  for (const std::string& host : group.hosts) {
    const HostFacts* facts = Facts(host);
    bool leaves = facts != nullptr && facts->leaving &&
                  group.phase == GroupPhase::kLoading;
    if (facts == nullptr || facts->failed || facts->gone || leaves) {
      bad.push_back(host);
    }
  }
  return bad;
}

bool Plan::Outdated(const PlacedGroup& group, const ModelSpec& model) const {
  return group.model != model.name || group.version != model.version ||
         group.weights != model.weights ||
         group.hosts.size() !=
             static_cast<std::size_t>(model.hosts_per_replica);
}

bool Plan::HasLeaving(const PlacedGroup& group) const {
  return std::any_of(group.hosts.begin(), group.hosts.end(),
                     [this](const std::string& host) {
                       const HostFacts* facts = Facts(host);
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

std::vector<std::string> Plan::Live(const std::string& spec) const {
  std::vector<std::string> live;
  for (const auto& [name, group] : m_result.next.groups) {
    if (group.spec == spec && group.phase != GroupPhase::kDraining) {
      live.push_back(name);
    }
  }
  return live;
}

int Plan::Serving(const std::string& spec) const {
  int serving = 0;
  for (const std::string& name : Live(spec)) {
    const PlacedGroup& group = m_result.next.groups.at(name);
    if (group.phase == GroupPhase::kServing && Bad(group).empty()) {
      ++serving;
    }
  }
  return serving;
}

double Plan::Rank(bool only_replica, int hosts) const {
  constexpr int kAcceleratorsPerHost = 4;
  PlacementSpec weights = m_input.configuration->placement;
  if (only_replica) {
    weights.downtime_weight *= kNoReplicaFactor;
  }
  return ReplicaGain(weights, hosts * kAcceleratorsPerHost) /
         std::max(1, hosts);
}

void Plan::Confirm() {
  Placement& next = m_result.next;
  std::erase_if(next.released, [this](const auto& entry) {
    const HostFacts* facts = Facts(entry.first);
    return facts == nullptr || facts->gone || facts->idle;
  });
  std::vector<std::string> done;
  for (auto& [name, group] : next.groups) {
    const GroupFacts& facts = Facts(name, group);
    if (group.phase == GroupPhase::kLoading && facts.present) {
      group.phase = GroupPhase::kServing;
      Log("group_serving", name, "all hosts confirmed");
    } else if (group.phase == GroupPhase::kDraining &&
               (facts.drained || !Bad(group).empty() ||
                facts.phase_age >= m_input.limits.drain_limit)) {
      done.push_back(name);
    }
  }
  for (const std::string& name : done) {
    DissolveGroup(name, "drained");
  }
}

void Plan::RemoveUndeclared() {
  std::vector<std::string> undeclared;
  for (const auto& [name, group] : m_result.next.groups) {
    if (SpecOf(group) == nullptr && group.phase != GroupPhase::kDraining) {
      undeclared.push_back(name);
    }
  }
  for (const std::string& name : undeclared) {
    DrainGroup(name, "not declared");
  }
  for (auto& [name, group] : m_result.next.groups) {
    const GroupSpec* spec = SpecOf(group);
    const ModelSpec* model = spec == nullptr ? nullptr : ModelOf(*spec);
    if (model == nullptr) {
      continue;
    }
    if (group.phase == GroupPhase::kLoading && Outdated(group, *model) &&
        UseModel(&group, *model)) {
      group.epoch = m_result.next.NextEpoch(name);
      Log("group_reloaded", name, "version change while loading");
    }
    if (!Outdated(group, *model)) {
      group.adapters = model->adapters;
      group.max_running = model->max_running;
    }
  }
}

/// Takes over the declared model if it needs the same number of hosts.
bool Plan::UseModel(PlacedGroup* group, const ModelSpec& model) {
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
    if (group.phase == GroupPhase::kLoading && !Facts(name, group).stalled) {
      ++m_loading;
    }
  }
}

void Plan::Repair() {
  std::vector<Need> needs;
  for (const auto& [name, group] : m_result.next.groups) {
    if (group.phase != GroupPhase::kDraining && !Bad(group).empty()) {
      int hosts = static_cast<int>(group.hosts.size());
      needs.push_back({name, group.spec, Rank(Serving(group.spec) == 0, hosts),
                       static_cast<int>(Bad(group).size())});
    }
  }
  std::stable_sort(
      needs.begin(), needs.end(), [](const auto& a, const auto& b) {
        return a.rank != b.rank ? a.rank > b.rank : a.hosts < b.hosts;
      });
  for (const Need& need : needs) {
    RepairGroup(need.group);
  }
}

bool Plan::RepairGroup(const std::string& name) {
  PlacedGroup& group = m_result.next.groups.at(name);
  if (m_input.held_domains.count(group.fabric_domain) != 0) {
    Wait(name, "dark fabric domain " + group.fabric_domain);
    return false;
  }
  std::vector<std::string> bad = Bad(group);
  const std::vector<std::string> spares = SparesIn(group.fabric_domain);
  if (spares.size() < bad.size()) {
    Wait(name, fmt::format("{} spare hosts in fabric domain {}",
                           bad.size() - spares.size(), group.fabric_domain));
    m_unrepairable.insert(name);
    return false;
  }
  bool counted = group.phase == GroupPhase::kLoading;
  if (!counted && m_loading >= m_input.limits.max_loading) {
    Wait(name, "load slot");
    return false;
  }
  std::uint64_t old_epoch = group.epoch;
  const GroupSpec* spec = SpecOf(group);
  if (spec != nullptr && ModelOf(*spec) != nullptr) {
    UseModel(&group, *ModelOf(*spec));  // It reloads anyway.
  }
  for (std::size_t i = 0; i < bad.size(); ++i) {
    std::replace(group.hosts.begin(), group.hosts.end(), bad[i], spares[i]);
    const HostFacts* facts = Facts(bad[i]);
    if (facts != nullptr && !facts->gone) {
      m_result.next.released[bad[i]] = {name, old_epoch};
    }
  }
  group.epoch = m_result.next.NextEpoch(name);
  group.phase = GroupPhase::kLoading;
  m_spares.reset();
  m_loading += counted ? 0 : 1;
  Log("group_repaired", name,
      fmt::format("{} replaced by {} hosts of {}", bad.front(), bad.size(),
                  group.fabric_domain));
  return true;
}

bool Plan::CompletesAnother(const std::string& name, const PlacedGroup& group,
                            int survivors) const {
  int spares = static_cast<int>(SparesIn(group.fabric_domain).size());
  double own =
      Rank(Serving(group.spec) == 0, static_cast<int>(group.hosts.size()));
  for (const auto& [other_name, other] : m_result.next.groups) {
    int missing = static_cast<int>(Bad(other).size());
    if (other_name == name || missing == 0 ||
        other.phase == GroupPhase::kDraining ||
        other.fabric_domain != group.fabric_domain ||
        missing > spares + survivors) {
      continue;
    }
    double rank =
        Rank(Serving(other.spec) == 0, static_cast<int>(other.hosts.size()));
    // Of two equal groups the later name gives way, so that only one does.
    if (rank > own || (rank == own && other_name < name)) {
      return true;
    }
  }
  return false;
}

void Plan::Dissolve() {
  std::vector<std::string> broken;
  for (const auto& [name, group] : m_result.next.groups) {
    if (m_unrepairable.count(name) != 0) {
      broken.push_back(name);
    }
  }
  for (const std::string& name : broken) {
    const PlacedGroup& group = m_result.next.groups.at(name);
    int survivors = static_cast<int>(group.hosts.size() - Bad(group).size());
    bool fits_elsewhere = m_loading < m_input.limits.max_loading &&
                          !CheapestDomain(group.hosts.size()).empty();
    if (fits_elsewhere) {
      const GroupSpec* spec = SpecOf(group);
      const ModelSpec* model = spec == nullptr ? nullptr : ModelOf(*spec);
      std::string spec_name = group.spec;
      DissolveGroup(name, "replica fits in another domain");
      if (model != nullptr) {
        CreateOne(spec_name, *spec, *model, "moved");
      }
    } else if (CompletesAnother(name, group, survivors)) {
      DissolveGroup(name, "its hosts complete another group");
    }
  }
}

void Plan::Replace() {
  for (const auto& [name, spec] : m_input.configuration->groups) {
    const ModelSpec* model = ModelOf(spec);
    if (spec.data_centre == m_input.data_centre && model != nullptr) {
      ReplaceOne(name, spec, *model);
    }
  }
}

void Plan::ReplaceOne(const std::string& spec_name, const GroupSpec& spec,
                      const ModelSpec& model) {
  std::vector<std::string> old;
  bool busy = false;
  for (const auto& [name, group] : m_result.next.groups) {
    if (group.spec != spec_name) {
      continue;
    }
    bool serving = group.phase == GroupPhase::kServing && Bad(group).empty();
    busy |= !serving;
    if (serving && (Outdated(group, model) || HasLeaving(group))) {
      old.push_back(name);
    }
  }
  if (old.empty()) {
    return;
  }
  // Hosts that leave are lost soon; an old version can wait.
  std::stable_partition(old.begin(), old.end(), [this](const auto& name) {
    return HasLeaving(m_result.next.groups.at(name));
  });
  for (const std::string& name : old) {
    Wait(name, "its turn to be replaced");
  }
  auto live = static_cast<int>(Live(spec_name).size());
  if (busy || live > spec.replicas) {
    return;
  }
  if (m_loading >= m_input.limits.max_loading) {
    Wait(old.front(), "load slot");
    return;
  }
  if (CreateOne(spec_name, spec, model, "replacement")) {
    return;
  }
  if (AwaitsHosts()) {
    Wait(old.front(), "hosts that unload");
    return;
  }
  DrainGroup(old.front(), HasLeaving(m_result.next.groups.at(old.front()))
                              ? "host leaving"
                              : "version change without spares");
}

/// Whether released hosts become spares soon.
bool Plan::AwaitsHosts() const {
  return std::any_of(m_result.next.released.begin(),
                     m_result.next.released.end(), [this](const auto& entry) {
                       const HostFacts* facts = Facts(entry.first);
                       return facts != nullptr && facts->up &&
                              !facts->leaving && !facts->held;
                     });
}

void Plan::Surplus() {
  for (const auto& [spec_name, spec] : m_input.configuration->groups) {
    const ModelSpec* model = ModelOf(spec);
    std::vector<std::string> live = Live(spec_name);
    if (model == nullptr || static_cast<int>(live.size()) <= spec.replicas) {
      continue;
    }
    auto order = [&](const std::string& name) {
      const PlacedGroup& group = m_result.next.groups.at(name);
      bool broken = !Bad(group).empty();
      bool old = Outdated(group, *model) || HasLeaving(group);
      bool loading = group.phase == GroupPhase::kLoading;
      return std::make_tuple(!broken, !old, !loading);
    };
    std::reverse(live.begin(), live.end());
    std::stable_sort(
        live.begin(), live.end(),
        [&](const auto& a, const auto& b) { return order(a) < order(b); });
    const std::string& name = live.front();
    const PlacedGroup& group = m_result.next.groups.at(name);
    bool working = group.phase == GroupPhase::kServing && Bad(group).empty();
    if (!working) {
      DissolveGroup(name, "surplus");
    } else if (Serving(spec_name) - 1 >= spec.replicas) {
      DrainGroup(name, Outdated(group, *model) ? "version change"
                       : HasLeaving(group)     ? "host leaving"
                                               : "surplus");
    } else {
      Wait(name, "its replacement to serve");
    }
  }
}

void Plan::Create() {
  std::vector<Need> needs;
  for (const auto& [name, spec] : m_input.configuration->groups) {
    const ModelSpec* model = ModelOf(spec);
    if (spec.data_centre != m_input.data_centre || model == nullptr) {
      continue;
    }
    auto live = static_cast<int>(Live(name).size());
    int missing = spec.replicas - live;
    for (int i = 0; i < missing; ++i) {
      needs.push_back({"", name, Rank(live + i == 0, model->hosts_per_replica),
                       model->hosts_per_replica});
    }
  }
  std::stable_sort(
      needs.begin(), needs.end(), [](const auto& a, const auto& b) {
        return a.rank != b.rank ? a.rank > b.rank : a.hosts > b.hosts;
      });
  for (const Need& need : needs) {
    const GroupSpec& spec = m_input.configuration->groups.at(need.spec);
    if (m_loading >= m_input.limits.max_loading) {
      Wait(need.spec, "load slot");
    } else if (!CreateOne(need.spec, spec, *ModelOf(spec), "missing replica")) {
      Wait(need.spec,
           fmt::format("{} spare hosts in one fabric domain", need.hosts));
    }
  }
}

/// Cost of a choice: repair risk of groups that share too few spares, weighed
/// by downtime, against spares too few for another replica, weighed by
/// stranded accelerators.
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
    std::size_t left = hosts.size() - count;
    double risk = (groups_in[domain] + 1.0) / (static_cast<double>(left) + 1.0);
    auto stranded = static_cast<double>(left % count);
    double cost =
        weights.downtime_weight * risk + weights.stranded_weight * stranded;
    if (cost < best_cost) {
      best = domain;
      best_cost = cost;
    }
  }
  return best;
}

bool Plan::CreateOne(const std::string& spec_name, const GroupSpec& spec,
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
  ++m_loading;
  (void)spec;
  Log("group_placed", name, fmt::format("{} in {}", why, domain));
  return true;
}

void Plan::DissolveGroup(const std::string& name, const char* why) {
  auto found = m_result.next.groups.find(name);
  for (const std::string& host : found->second.hosts) {
    const HostFacts* facts = Facts(host);
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

void Plan::NoteWaiting() {
  for (const auto& [name, group] : m_result.next.groups) {
    if (group.phase == GroupPhase::kDraining) {
      Wait(name, "requests in flight");
    } else if (group.phase == GroupPhase::kLoading) {
      Wait(name, "hosts to load");
    }
    if (m_input.suspended) {
      Wait(name, "most hosts unreachable from the lease holder");
    }
  }
  for (const auto& [host, from] : m_result.next.released) {
    Wait(host, "confirmation that it unloaded " + from.group);
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
