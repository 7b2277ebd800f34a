// New groups and the ends of those that a domain has too many of. The hosts of
// a domain first stage the weights of the model that they change over to,
// beside their work; only then is their group closed, so that a change takes
// the time of a start and not of a load.

#include <algorithm>

#include "core/group_planner.h"

namespace clementine {
namespace {

/// Rejoining after a group of the same model, in seconds.
constexpr double kRejoinSeconds = 0.2;
/// Delay of a group that weighs as much as half of its model's need.
constexpr double kHalfWorthSeconds = 8.0;
/// A domain of which no host is listed any more has lost its power or its way
/// to the platform, and is expected back for so long.
constexpr milliseconds kExpectReturn{30'000};
/// The hosts of a domain that is lost leave the list within this time.
constexpr milliseconds kDomainLapse{10'000};
/// From the loss of a host until its group serves again with another.
constexpr milliseconds kRepairTime{5'000};
/// Losses are averaged over about this time.
constexpr milliseconds kLossMemory{20'000};
/// An allocation is made again after this time, as the demand changes, and
/// whenever the hosts change.
constexpr milliseconds kAllocationAge{2'000};
/// Part of the hosts that the expected work keeps busy until the demand is
/// known; only its relation to the measured demand matters.
constexpr double kExpectedUse = 0.55;
/// Requests per second at which the measured demand weighs as much as the
/// expected one.
constexpr double kExpectedWeight = 20.0;

/// Requests in proportion to those of other models, when requests of all models
/// are alike: the work divided by the hosts' time that one takes.
double ExpectedRequests(const EngineModel& model) {
  return model.work_share /
         (std::max(1, model.hosts_per_group) * std::max(0.01, model.pace));
}

double Seconds(TimePoint::duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

bool GroupPlanner::Pass::Stays(const BackendServer& host) const {
  return host.service == service && !host.leaving && !host.lapsed &&
         failed->count(host.id) == 0;
}

int GroupPlanner::Pass::Lacks(const std::string& domain,
                              const std::string& model) const {
  std::pair<std::string, std::string> key{domain, model};
  auto stand = standing.find(key);
  auto want = wanted.find(key);
  return (want == wanted.end() ? 0 : want->second) -
         (stand == standing.end() ? 0 : stand->second);
}

bool GroupPlanner::HasStaged(const BackendServer& host,
                             const std::string& model) {
  return std::find(host.staged.begin(), host.staged.end(), model) !=
         host.staged.end();
}

// A group is down while one of its hosts is replaced, so the more hosts it has,
// the more groups it takes to have one up.
void GroupPlanner::CountLosses(Pass* pass) {
  ServiceState& state = *pass->state;
  std::set<std::string> present;
  for (const auto& [id, server] : *pass->servers) {
    if (pass->Stays(server)) present.insert(id);
  }
  double lost = 0.0;
  for (const std::string& id : state.present) {
    auto server = pass->servers->find(id);
    bool leaving = server != pass->servers->end() && server->second.leaving;
    if (present.count(id) == 0 && !leaving) lost += 1.0;
  }
  double passed = state.losses_counted == TimePoint()
                      ? 0.0
                      : Seconds(pass->now - state.losses_counted);
  double memory = Seconds(kLossMemory);
  state.loss_rate -= state.loss_rate * std::min(1.0, passed / memory);
  if (!state.present.empty()) {
    state.loss_rate +=
        lost / static_cast<double>(state.present.size()) / memory;
  }
  state.losses_counted = pass->now;
  state.present = std::move(present);
}

// Groups whose heads haven't reported them yet.
void GroupPlanner::CountForming(Pass* pass) const {
  for (const auto& [key, forming] : m_forming) {
    if (pass->counted.count(key) > 0) continue;
    const std::vector<std::string>& members = forming.members;
    auto head = pass->servers->find(members.front());
    // One that is listed with its head was judged already.
    if (!Waiting(members.front()) || !AllExpected(key, *pass)) continue;
    ++pass->standing[{head->second.fabric_domain, GroupModel(key.first)}];
    pass->counted.insert(key);
    pass->in_standing.insert(members.begin(), members.end());
  }
}

void GroupPlanner::FindFree(Pass* pass) {
  for (const auto& [id, server] : *pass->servers) {
    if (pass->Stays(server) && !Waiting(id) && Counted(server) &&
        m_counts[id].not_before <= pass->now && pass->bound.count(id) == 0 &&
        !IsAhead(server)) {
      pass->free[server.fabric_domain].push_back(&server);
    }
  }
}

std::vector<ModelNeed> GroupPlanner::Needs(int hosts, const Pass& pass) const {
  double requests = 0.0;
  double shares = 0.0;
  double expected = 0.0;
  for (const EngineModel& model : pass.engine->models) {
    auto found = m_demand.find(pass.service + "/" + model.name);
    if (found != m_demand.end()) {
      requests += found->second.requests * found->second.FirstTries();
    }
    shares += model.work_share;
    expected += ExpectedRequests(model);
  }
  double known = requests / (requests + kExpectedWeight);
  std::vector<ModelNeed> needs;
  for (const EngineModel& model : pass.engine->models) {
    double share = shares > 0.0 ? model.work_share / shares : 1.0;
    ModelNeed need;
    need.hosts_per_group = std::max(1, model.hosts_per_group);
    need.load_time = model.load_time;
    need.up_part = 1.0 / (1.0 + need.hosts_per_group * pass.state->loss_rate *
                                    Seconds(kRepairTime));
    need.missing_part =
        pass.state->loss_rate * Seconds(kRepairTime + model.load_time);
    need.busy_groups =
        (1.0 - known) * share * kExpectedUse * hosts / need.hosts_per_group;
    need.requests = expected > 0.0
                        ? (1.0 - known) * ExpectedRequests(model) / expected
                        : 0.0;
    auto found = m_demand.find(pass.service + "/" + model.name);
    if (found != m_demand.end() && requests > 0.0) {
      const ModelDemand& demand = found->second;
      need.busy_groups += known * demand.busy_groups * demand.FirstTries();
      need.requests += known * demand.requests * demand.FirstTries() / requests;
    }
    needs.push_back(need);
  }
  return needs;
}

std::vector<DomainHosts> GroupPlanner::Domains(const Pass& pass) const {
  std::map<std::string, DomainHosts> domains;
  const std::vector<EngineModel>& models = pass.engine->models;
  for (const auto& [id, server] : *pass.servers) {
    // Groups that stand though members have lapsed need no others.
    bool kept = server.lapsed && pass.in_standing.count(id) > 0;
    if (!pass.Stays(server) && !kept) continue;
    DomainHosts& domain = domains[server.fabric_domain];
    if (domain.hosts++ == 0) {
      domain.name = server.fabric_domain;
      domain.data_centre = server.data_centre;
      domain.held.assign(models.size(), 0);
    }
    const std::string& held = HeldModel(server);
    // Members of a standing group that hold another model change over.
    if (pass.in_standing.count(id) > 0 &&
        (held == GroupModel(server.member.group) || Waiting(id))) {
      continue;
    }
    for (std::size_t i = 0; i < models.size(); ++i) {
      if (models[i].name == held) ++domain.held[i];
    }
  }
  std::vector<DomainHosts> list;
  for (auto& [name, domain] : domains) {
    for (const EngineModel& model : models) {
      auto stand = pass.standing.find({name, model.name});
      domain.standing.push_back(stand == pass.standing.end() ? 0
                                                             : stand->second);
    }
    list.push_back(std::move(domain));
  }
  return list;
}

void GroupPlanner::Allocate(Pass* pass) {
  std::vector<DomainHosts> domains = Domains(*pass);
  const std::vector<EngineModel>& models = pass->engine->models;
  if (models.empty()) return;
  NoteGrowth(domains, pass);
  AddAbsentDomains(&domains, pass);
  ServiceState& last = *pass->state;
  if (last.domains != domains || last.free_loads != m_free_loads ||
      pass->now - last.allocated >= kAllocationAge) {
    int hosts = 0;
    for (const DomainHosts& domain : domains) hosts += domain.hosts;
    AllocationOptions options;
    options.free_loads = m_free_loads;
    last.needs = Needs(hosts, *pass);
    last.plans = AllocateGroups(last.needs, domains, options);
    last.domains = domains;
    last.free_loads = m_free_loads;
    last.allocated = pass->now;
  }
  const Allocation& wanted = last.plans;
  for (std::size_t d = 0; d < domains.size(); ++d) {
    for (std::size_t i = 0; i < models.size(); ++i) {
      pass->wanted[{domains[d].name, models[i].name}] = wanted[d].groups[i];
    }
    pass->spares[domains[d].name] = &models[wanted[d].spares];
  }
  NoteSurplus(pass);
  NoteShares(*pass);
}

void GroupPlanner::NoteShares(const Pass& pass) {
  const std::vector<EngineModel>& models = pass.engine->models;
  for (std::size_t i = 0; i < models.size(); ++i) {
    ModelShare share;
    share.busy_groups = pass.state->needs[i].busy_groups;
    for (const DomainPlan& plan : pass.state->plans) {
      share.wanted += plan.groups[i];
    }
    for (const auto& [key, count] : pass.standing) {
      if (key.second == models[i].name) share.standing += count;
    }
    m_shares[pass.service + "/" + models[i].name] = share;
  }
}

// Without them, the groups of a domain that is away for some seconds would be
// made up for elsewhere, and given back after its return.
void GroupPlanner::AddAbsentDomains(std::vector<DomainHosts>* domains,
                                    Pass* pass) {
  std::map<std::string, Remembered>& all = pass->state->remembered;
  TimePoint now = pass->now;
  std::set<std::string> listed;
  for (const DomainHosts& domain : *domains) {
    listed.insert(domain.name);
    Remembered& remembered = all[domain.name];
    if (domain.hosts >= remembered.domain.hosts ||
        now - remembered.taken > kDomainLapse) {
      remembered.domain = domain;
      remembered.taken = now;
    }
    remembered.listed = now;
  }
  std::erase_if(all, [&](const auto& entry) {
    return now - entry.second.listed > kExpectReturn;
  });
  for (const auto& [name, remembered] : all) {
    // A newer configuration may have other models.
    bool known =
        remembered.domain.standing.size() == pass->engine->models.size();
    if (listed.count(name) > 0 || !known) continue;
    domains->push_back(remembered.domain);
    domains->back().fixed = true;
  }
}

void GroupPlanner::NoteSurplus(Pass* pass) {
  auto& since = pass->state->surplus_since;
  std::erase_if(since, [&](const auto& entry) {
    return pass->Lacks(entry.first.first, entry.first.second) >= 0;
  });
  for (const auto& [key, standing] : pass->standing) {
    if (pass->Lacks(key.first, key.second) < 0) {
      since.try_emplace(key, pass->now);
    }
  }
}

bool GroupPlanner::SurplusIsSettled(const std::string& domain,
                                    const std::string& model,
                                    const Pass& pass) {
  auto since = pass.state->surplus_since.find({domain, model});
  return since != pass.state->surplus_since.end() &&
         pass.now - since->second >= kSettleTime;
}

double GroupPlanner::JoinSeconds(const BackendServer& host,
                                 const EngineModel& model) const {
  const Count* count = CountOf(host);
  bool rejoins = count != nullptr && count->last_model == model.name;
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

GroupPlanner::Candidate GroupPlanner::Consider(const std::string& domain,
                                               const Hosts& free,
                                               const EngineModel& model,
                                               const Pass& pass) const {
  Candidate candidate;
  candidate.domain = domain;
  candidate.model = &model;
  auto size = static_cast<std::size_t>(model.hosts_per_group);
  std::vector<std::pair<double, const BackendServer*>> ranked;
  for (const BackendServer* host : free) {
    auto load = m_loads.find(host->id);
    if (load != m_loads.end() && load->second.model != model.name) continue;
    // A member that loads would bind the others for as long.
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
  candidate.score = pass.Lacks(domain, model.name) * model.hosts_per_group /
                    (1.0 + seconds / kHalfWorthSeconds);
  return candidate;
}

bool GroupPlanner::Grows(const std::string& domain, milliseconds within,
                         const Pass& pass) {
  auto grown = pass.state->grown.find(domain);
  return grown != pass.state->grown.end() &&
         pass.now - grown->second.second < within;
}

void GroupPlanner::NoteGrowth(const std::vector<DomainHosts>& domains,
                              Pass* pass) {
  for (const DomainHosts& domain : domains) {
    auto& [size, since] = pass->state->grown[domain.name];
    if (domain.hosts > size) since = pass->now;
    size = domain.hosts;
  }
}

std::optional<GroupPlanner::Candidate> GroupPlanner::BestCandidate(
    const Pass& pass) {
  std::optional<Candidate> best;
  bool may_load = MayLoad(pass);
  for (const auto& [domain, free] : pass.free) {
    // Hosts register one after another. At a first start any of them can load
    // any model, so the choice waits until they are known.
    if (m_free_loads && Grows(domain, kWaitForHosts, pass)) continue;
    for (const EngineModel& model : pass.engine->models) {
      if (model.hosts_per_group < 1 || pass.Lacks(domain, model.name) < 1 ||
          free.size() < static_cast<std::size_t>(model.hosts_per_group)) {
        continue;
      }
      Candidate candidate = Consider(domain, free, model, pass);
      if (candidate.members.empty()) continue;
      if (candidate.loads > 0 && !may_load) continue;
      if (!best || candidate.score > best->score) best = std::move(candidate);
    }
  }
  return best;
}

void GroupPlanner::FormGroups(Pass* pass) {
  while (std::optional<Candidate> best = BestCandidate(*pass)) {
    if (!MaySend(best->members.size())) return;
    Form(*best, pass);
  }
}

void GroupPlanner::Form(const Candidate& candidate, Pass* pass) {
  std::uint64_t epoch = ++m_epoch;
  const std::string& model = candidate.model->name;
  GroupOrder join =
      JoinOrder({GroupName(model, epoch), epoch}, model, candidate.members);
  m_forming[{join.group, join.epoch}] = {join.members, false};
  m_seen[{join.group, join.epoch}] = pass->now;
  Hosts& free = pass->free[candidate.domain];
  for (const BackendServer* member : candidate.members) {
    if (!HasStaged(*member, join.model) &&
        JoinSeconds(*member, *candidate.model) > kRejoinSeconds) {
      StartLoad(*member, *candidate.model, pass->now);
    }
    Send(*member, join, pass);
    free.erase(std::find(free.begin(), free.end(), member));
    pass->in_standing.insert(member->id);
  }
  ++pass->standing[{candidate.domain, join.model}];
}

// Whether a group of a model that the domain lacks could be formed once this
// one is closed: its weights are on enough hosts.
bool GroupPlanner::IsReplaceable(const ReportedGroup& group,
                                 const Pass& pass) const {
  const std::string& domain = group.members.front()->fabric_domain;
  Hosts hosts = group.members;
  auto free = pass.free.find(domain);
  if (free != pass.free.end()) {
    hosts.insert(hosts.end(), free->second.begin(), free->second.end());
  }
  const std::vector<EngineModel>& models = pass.engine->models;
  return std::any_of(
      models.begin(), models.end(), [&](const EngineModel& model) {
        auto holders = std::count_if(hosts.begin(), hosts.end(),
                                     [&model](const BackendServer* host) {
                                       return HasStaged(*host, model.name);
                                     });
        return pass.Lacks(domain, model.name) > 0 &&
               holders >= model.hosts_per_group;
      });
}

void GroupPlanner::CloseSurplus(const std::map<GroupKey, ReportedGroup>& groups,
                                Pass* pass) {
  for (const auto& [key, group] : groups) {
    if (pass->counted.count(key) == 0 || group.members.front() == nullptr) {
      continue;
    }
    const BackendServer& head = *group.members.front();
    if (head.member.state != GroupMemberState::kOpen || Waiting(head.id) ||
        !Counted(head)) {
      continue;
    }
    const std::string& domain = head.fabric_domain;
    if (pass->Lacks(domain, group.model) >= 0) continue;
    if (!IsReplaceable(group, *pass)) continue;
    Send(head, CloseOrder(key, /*evict=*/false), pass);
    m_retired.insert(key);
    --pass->standing[{domain, group.model}];
  }
}

}  // namespace clementine
