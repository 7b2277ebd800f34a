// Forms new groups and closes surplus ones. Hosts that change to another model
// first stage its weights while their group still serves. Their group is closed
// only after that, so the change interrupts them for a start and not for a
// load.

#include <algorithm>

#include "core/group_planner.h"

namespace clementine {
namespace {

/// Time to join a group if the host's last group served the same model.
constexpr double kRejoinSeconds = 0.2;
/// Join time that halves the score of a candidate group.
constexpr double kScoreHalvingSeconds = 8.0;
/// A domain without listed hosts has lost its power or its connection to the
/// platform. It is expected to return within this time.
constexpr milliseconds kAbsentDomainRetention{30'000};
/// Maximum time in which all hosts of a lost domain leave the list.
constexpr milliseconds kMaxDomainLapseTime{10'000};
/// Time from the loss of a host until its group serves again with a spare.
constexpr milliseconds kRepairTime{5'000};
/// Time constant of the average loss rate.
constexpr milliseconds kLossAveragingTime{20'000};
/// The allocation is recomputed at this age, because the demand changes, and
/// whenever the hosts change.
constexpr milliseconds kMaxAllocationAge{2'000};
/// Fraction of the hosts that the expected work is assumed to keep busy. The
/// weight of this assumption decreases as the measured request rate grows, see
/// kEqualWeightRequestRate.
constexpr double kExpectedUtilization = 0.55;
/// Requests per second at which the measured and the expected demand have equal
/// weight.
constexpr double kEqualWeightRequestRate = 20.0;

/// Returns a model's expected requests relative to those of other models: its
/// share of the work divided by the host time of one request. Assumes that
/// requests to all models have equal prompt and answer lengths.
double ExpectedRequests(const EngineModel& model) {
  return model.work_share / (std::max(1, model.hosts_per_group) *
                             std::max(0.01, model.time_factor));
}

double Seconds(TimePoint::duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

bool GroupPlanner::Pass::IsUsable(const BackendServer& host) const {
  return host.service == service && !host.leaving && !host.lapsed &&
         failed->count(host.id) == 0;
}

int GroupPlanner::Pass::MissingGroups(const std::string& domain,
                                      const std::string& model) const {
  std::pair<std::string, std::string> key{domain, model};
  auto active = active_groups.find(key);
  auto target = target_groups.find(key);
  return (target == target_groups.end() ? 0 : target->second) -
         (active == active_groups.end() ? 0 : active->second);
}

bool GroupPlanner::HasStaged(const BackendServer& host,
                             const std::string& model) {
  return std::find(host.staged.begin(), host.staged.end(), model) !=
         host.staged.end();
}

// Updates the rate of lost hosts. A group is down while one of its hosts is
// replaced, so models with more hosts per group need more groups for the same
// number of serving ones.
void GroupPlanner::UpdateLossRate(Pass* pass) {
  ServiceState& state = *pass->state;
  std::set<std::string> present_hosts;
  for (const auto& [id, server] : *pass->servers) {
    if (pass->IsUsable(server)) present_hosts.insert(id);
  }
  double lost = 0.0;
  for (const std::string& id : state.present_hosts) {
    auto server = pass->servers->find(id);
    bool leaving = server != pass->servers->end() && server->second.leaving;
    if (present_hosts.count(id) == 0 && !leaving) lost += 1.0;
  }
  double elapsed = state.losses_counted_at == TimePoint()
                       ? 0.0
                       : Seconds(pass->now - state.losses_counted_at);
  double averaging = Seconds(kLossAveragingTime);
  state.loss_rate -= state.loss_rate * std::min(1.0, elapsed / averaging);
  if (!state.present_hosts.empty()) {
    state.loss_rate +=
        lost / static_cast<double>(state.present_hosts.size()) / averaging;
  }
  state.losses_counted_at = pass->now;
  state.present_hosts = std::move(present_hosts);
}

// Counts groups whose heads are not yet listed in them.
void GroupPlanner::CountUnlistedGroups(Pass* pass) const {
  for (const auto& [key, forming] : m_forming) {
    if (pass->active_group_keys.count(key) > 0) continue;
    const std::vector<std::string>& members = forming.members;
    auto head = pass->servers->find(members.front());
    // A group whose head is listed in it was handled by EvaluateGroup.
    if (!HasPendingOrder(members.front()) || !IsForming(key, *pass) ||
        pass->IsEvacuated(head->second)) {
      continue;
    }
    ++pass->active_groups[{head->second.fabric_domain, GroupModel(key.first)}];
    pass->active_group_keys.insert(key);
    pass->hosts_in_active_groups.insert(members.begin(), members.end());
  }
}

void GroupPlanner::FindFreeHosts(Pass* pass) {
  for (const auto& [id, server] : *pass->servers) {
    if (pass->IsUsable(server) && !pass->IsEvacuated(server) &&
        !HasPendingOrder(id) && IsOrderCountKnown(server) &&
        m_hosts[id].not_before <= pass->now &&
        pass->reserved_hosts.count(id) == 0 && !IsAheadOfList(server)) {
      pass->free_hosts[server.fabric_domain].push_back(&server);
    }
  }
}

std::vector<ModelNeed> GroupPlanner::EstimateNeeds(int hosts,
                                                   const Pass& pass) const {
  double requests = 0.0;
  double shares = 0.0;
  double expected = 0.0;
  for (const EngineModel& model : pass.engine->models) {
    auto found = m_demand.find(pass.service + "/" + model.name);
    if (found != m_demand.end()) {
      requests += found->second.requests * found->second.FirstAttemptShare();
    }
    shares += model.work_share;
    expected += ExpectedRequests(model);
  }
  double measured_weight = requests / (requests + kEqualWeightRequestRate);
  std::vector<ModelNeed> needs;
  for (const EngineModel& model : pass.engine->models) {
    double share = shares > 0.0 ? model.work_share / shares : 1.0;
    ModelNeed need;
    need.hosts_per_group = std::max(1, model.hosts_per_group);
    need.load_time = model.load_time;
    need.availability =
        1.0 / (1.0 + need.hosts_per_group * pass.state->loss_rate *
                         Seconds(kRepairTime));
    need.missing_host_fraction =
        pass.state->loss_rate * Seconds(kRepairTime + model.load_time);
    need.busy_groups = (1.0 - measured_weight) * share * kExpectedUtilization *
                       hosts / need.hosts_per_group;
    need.requests = expected > 0.0 ? (1.0 - measured_weight) *
                                         ExpectedRequests(model) / expected
                                   : 0.0;
    auto found = m_demand.find(pass.service + "/" + model.name);
    if (found != m_demand.end() && requests > 0.0) {
      const ModelDemand& demand = found->second;
      need.busy_groups +=
          measured_weight * demand.busy_groups * demand.FirstAttemptShare();
      need.requests += measured_weight * demand.requests *
                       demand.FirstAttemptShare() / requests;
    }
    needs.push_back(need);
  }
  return needs;
}

std::vector<DomainHosts> GroupPlanner::CollectDomains(const Pass& pass) const {
  std::map<std::string, DomainHosts> domains;
  const std::vector<EngineModel>& models = pass.engine->models;
  for (const auto& [id, server] : *pass.servers) {
    // An active group with lapsed members needs no replacement.
    bool in_active_group =
        server.lapsed && pass.hosts_in_active_groups.count(id) > 0;
    if (!pass.IsUsable(server) && !in_active_group) continue;
    if (pass.IsEvacuated(server)) continue;
    DomainHosts& domain = domains[server.fabric_domain];
    if (domain.hosts++ == 0) {
      domain.name = server.fabric_domain;
      domain.data_centre = server.data_centre;
      domain.staged_hosts.assign(models.size(), 0);
    }
    const std::string& model_on_host = ModelOnHost(server);
    // Members of an active group that hold another model's weights change to
    // that model.
    if (pass.hosts_in_active_groups.count(id) > 0 &&
        (model_on_host == GroupModel(server.member.group) ||
         HasPendingOrder(id))) {
      continue;
    }
    for (std::size_t i = 0; i < models.size(); ++i) {
      if (models[i].name == model_on_host) ++domain.staged_hosts[i];
    }
  }
  std::vector<DomainHosts> list;
  for (auto& [name, domain] : domains) {
    for (const EngineModel& model : models) {
      auto active = pass.active_groups.find({name, model.name});
      domain.active_groups.push_back(
          active == pass.active_groups.end() ? 0 : active->second);
    }
    list.push_back(std::move(domain));
  }
  return list;
}

void GroupPlanner::UpdateAllocation(Pass* pass) {
  std::vector<DomainHosts> domains = CollectDomains(*pass);
  const std::vector<EngineModel>& models = pass->engine->models;
  if (models.empty()) return;
  RecordGrowth(domains, pass);
  AddAbsentDomains(&domains, pass);
  ServiceState& last = *pass->state;
  if (last.domains != domains || last.free_loads != m_free_loads ||
      pass->now - last.allocated_at >= kMaxAllocationAge) {
    int hosts = 0;
    for (const DomainHosts& domain : domains) hosts += domain.hosts;
    AllocationOptions options;
    options.free_loads = m_free_loads;
    last.needs = EstimateNeeds(hosts, *pass);
    last.plans = AllocateGroups(last.needs, domains, options);
    last.domains = domains;
    last.free_loads = m_free_loads;
    last.allocated_at = pass->now;
  }
  const Allocation& target_groups = last.plans;
  for (std::size_t d = 0; d < domains.size(); ++d) {
    for (std::size_t i = 0; i < models.size(); ++i) {
      pass->target_groups[{domains[d].name, models[i].name}] =
          target_groups[d].groups[i];
    }
    pass->spare_models[domains[d].name] = &models[target_groups[d].spare_model];
  }
  RecordSurplus(pass);
  RecordModelGroups(*pass);
}

void GroupPlanner::RecordModelGroups(const Pass& pass) {
  const std::vector<EngineModel>& models = pass.engine->models;
  for (std::size_t i = 0; i < models.size(); ++i) {
    ModelGroups groups;
    groups.busy_groups = pass.state->needs[i].busy_groups;
    for (const DomainPlan& plan : pass.state->plans) {
      groups.target_groups += plan.groups[i];
    }
    for (const auto& [key, count] : pass.active_groups) {
      if (key.second == models[i].name) groups.active_groups += count;
    }
    m_model_groups[pass.service + "/" + models[i].name] = groups;
  }
}

// Adds domains that left the list recently. Without them, the groups of a
// domain that is absent for some seconds would be replaced in other domains,
// and closed there after its return.
void GroupPlanner::AddAbsentDomains(std::vector<DomainHosts>* domains,
                                    Pass* pass) {
  std::map<std::string, RememberedDomain>& all =
      pass->state->remembered_domains;
  TimePoint now = pass->now;
  std::set<std::string> listed;
  for (const DomainHosts& domain : *domains) {
    listed.insert(domain.name);
    RememberedDomain& remembered = all[domain.name];
    if (domain.hosts >= remembered.domain.hosts ||
        now - remembered.recorded_at > kMaxDomainLapseTime) {
      remembered.domain = domain;
      remembered.recorded_at = now;
    }
    remembered.last_listed_at = now;
  }
  std::erase_if(all, [&](const auto& entry) {
    return now - entry.second.last_listed_at > kAbsentDomainRetention;
  });
  for (const auto& [name, remembered] : all) {
    // A newer configuration may have other models.
    bool has_same_models =
        remembered.domain.active_groups.size() == pass->engine->models.size();
    bool evacuated = pass->evacuated->count(remembered.domain.data_centre) > 0;
    if (listed.count(name) > 0 || !has_same_models || evacuated) continue;
    domains->push_back(remembered.domain);
    domains->back().is_fixed = true;
  }
}

void GroupPlanner::RecordSurplus(Pass* pass) {
  auto& since = pass->state->surplus_since;
  std::erase_if(since, [&](const auto& entry) {
    return pass->MissingGroups(entry.first.first, entry.first.second) >= 0;
  });
  for (const auto& [key, active_groups] : pass->active_groups) {
    if (pass->MissingGroups(key.first, key.second) < 0) {
      since.try_emplace(key, pass->now);
    }
  }
}

bool GroupPlanner::IsSurplusStable(const std::string& domain,
                                   const std::string& model,
                                   const Pass& pass) const {
  if (m_surplus_held) return false;
  auto since = pass.state->surplus_since.find({domain, model});
  return since != pass.state->surplus_since.end() &&
         pass.now - since->second >= kMinSurplusDuration;
}

double GroupPlanner::JoinSeconds(const BackendServer& host,
                                 const EngineModel& model) const {
  const HostRecord* record = FindHostRecord(host);
  bool rejoins = record != nullptr && record->last_model == model.name;
  if (rejoins || GroupModel(host.member.group) == model.name) {
    return kRejoinSeconds;
  }
  auto load = m_loads.find(host.id);
  bool staged = HasStaged(host, model.name);
  bool loading = load != m_loads.end() && load->second.model == model.name;
  std::chrono::duration<double> time =
      staged || loading ? model.start_time : model.load_time;
  return loading && !staged
             ? std::chrono::duration<double>(model.load_time).count() / 2
             : time.count();
}

GroupPlanner::Candidate GroupPlanner::EvaluateCandidate(
    const std::string& domain, const Hosts& free, const EngineModel& model,
    const Pass& pass) const {
  Candidate candidate;
  candidate.domain = domain;
  candidate.model = &model;
  auto size = static_cast<std::size_t>(model.hosts_per_group);
  std::vector<std::pair<double, const BackendServer*>> ranked;
  for (const BackendServer* host : free) {
    auto load = m_loads.find(host->id);
    if (load != m_loads.end() && load->second.model != model.name) continue;
    // A member that loads weights would keep the others reserved for that time.
    if (!m_free_loads && !HasStaged(*host, model.name)) continue;
    ranked.emplace_back(JoinSeconds(*host, model), host);
  }
  if (ranked.size() < size) return candidate;
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  ranked.resize(size);
  double seconds = 0.0;
  for (const auto& [time, host] : ranked) {
    candidate.members.push_back(host);
    seconds = std::max(seconds, time);
    if (!HasStaged(*host, model.name) && time > kRejoinSeconds &&
        m_loads.count(host->id) == 0) {
      ++candidate.loads;
    }
  }
  candidate.score = pass.MissingGroups(domain, model.name) *
                    model.hosts_per_group /
                    (1.0 + seconds / kScoreHalvingSeconds);
  return candidate;
}

bool GroupPlanner::HasGrown(const std::string& domain, milliseconds within,
                            const Pass& pass) {
  auto growth = pass.state->growth.find(domain);
  return growth != pass.state->growth.end() &&
         pass.now - growth->second.second < within;
}

void GroupPlanner::RecordGrowth(const std::vector<DomainHosts>& domains,
                                Pass* pass) {
  for (const DomainHosts& domain : domains) {
    auto& [size, since] = pass->state->growth[domain.name];
    if (domain.hosts > size) since = pass->now;
    size = domain.hosts;
  }
}

std::optional<GroupPlanner::Candidate> GroupPlanner::BestCandidate(
    const std::string& domain, const Hosts& free, bool may_load,
    const Pass& pass) const {
  std::optional<Candidate> best;
  // Hosts register one after another. At the first start each of them can load
  // any model, so the choice waits until all have registered.
  if (m_free_loads && HasGrown(domain, kRegistrationWindow, pass)) return best;
  for (const EngineModel& model : pass.engine->models) {
    if (model.hosts_per_group < 1 ||
        pass.MissingGroups(domain, model.name) < 1 ||
        free.size() < static_cast<std::size_t>(model.hosts_per_group)) {
      continue;
    }
    Candidate candidate = EvaluateCandidate(domain, free, model, pass);
    if (candidate.members.empty()) continue;
    if (candidate.loads > 0 && !may_load) continue;
    if (!best || candidate.score > best->score) best = std::move(candidate);
  }
  return best;
}

// A new group changes the candidates of its own domain only, unless it uses up
// the loads that may start. Evaluating the other domains again for each group
// took 0.2 s per pass at 3,000 hosts, and the planner lost its lease.
void GroupPlanner::FormGroups(Pass* pass) {
  std::map<std::string, Candidate> candidates;
  bool may_load = MayStartLoad(*pass);
  auto evaluate = [&](const std::string& domain, const Hosts& free) {
    std::optional<Candidate> best =
        BestCandidate(domain, free, may_load, *pass);
    candidates.erase(domain);
    if (best) candidates.emplace(domain, std::move(*best));
  };
  auto evaluate_all = [&] {
    for (const auto& [domain, free] : pass->free_hosts) evaluate(domain, free);
  };
  evaluate_all();
  while (!candidates.empty()) {
    auto best = std::max_element(candidates.begin(), candidates.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.score < b.second.score;
                                 });
    if (!MaySendOrders(best->second.members.size())) return;
    std::string domain = best->first;
    FormGroup(best->second, pass);
    if (may_load != MayStartLoad(*pass)) {
      may_load = !may_load;
      evaluate_all();
    } else {
      evaluate(domain, pass->free_hosts[domain]);
    }
  }
}

void GroupPlanner::FormGroup(const Candidate& candidate, Pass* pass) {
  std::uint64_t epoch = ++m_epoch;
  const std::string& model = candidate.model->name;
  GroupOrder join =
      JoinOrder({GroupName(model, epoch), epoch}, model, candidate.members);
  m_forming[{join.group, join.epoch}] = {join.members, false};
  m_first_seen[{join.group, join.epoch}] = pass->now;
  Hosts& free = pass->free_hosts[candidate.domain];
  for (const BackendServer* member : candidate.members) {
    if (!HasStaged(*member, join.model) &&
        JoinSeconds(*member, *candidate.model) > kRejoinSeconds) {
      StartLoad(*member, *candidate.model, pass->now);
    }
    SendOrder(*member, join, pass);
    free.erase(std::find(free.begin(), free.end(), member));
    pass->hosts_in_active_groups.insert(member->id);
  }
  ++pass->active_groups[{candidate.domain, join.model}];
}

// Whether closing this group lets the domain form a group of a model that has
// fewer groups than its target: enough hosts have that model's weights.
bool GroupPlanner::IsReplaceable(const ReportedGroup& group,
                                 const Pass& pass) const {
  const std::string& domain = group.members.front()->fabric_domain;
  Hosts hosts = group.members;
  auto free = pass.free_hosts.find(domain);
  if (free != pass.free_hosts.end()) {
    hosts.insert(hosts.end(), free->second.begin(), free->second.end());
  }
  const std::vector<EngineModel>& models = pass.engine->models;
  return std::any_of(
      models.begin(), models.end(), [&](const EngineModel& model) {
        auto holders = std::count_if(hosts.begin(), hosts.end(),
                                     [&model](const BackendServer* host) {
                                       return HasStaged(*host, model.name);
                                     });
        return pass.MissingGroups(domain, model.name) > 0 &&
               holders >= model.hosts_per_group;
      });
}

void GroupPlanner::CloseSurplus(const std::map<GroupKey, ReportedGroup>& groups,
                                Pass* pass) {
  if (m_surplus_held) return;
  for (const auto& [key, group] : groups) {
    if (pass->active_group_keys.count(key) == 0 ||
        group.members.front() == nullptr) {
      continue;
    }
    const BackendServer& head = *group.members.front();
    if (head.member.state != GroupMemberState::kOpen ||
        HasPendingOrder(head.id) || !IsOrderCountKnown(head)) {
      continue;
    }
    const std::string& domain = head.fabric_domain;
    if (pass->MissingGroups(domain, group.model) >= 0) continue;
    if (!IsReplaceable(group, *pass)) continue;
    SendOrder(head, CloseOrder(key, /*evict=*/false), pass);
    m_retired_groups.insert(key);
    --pass->active_groups[{domain, group.model}];
  }
}

}  // namespace clementine
