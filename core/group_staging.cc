// The planner's loads of weights. They are limited in number and rate, and take
// far longer than anything else that it orders, so what loads next decides how
// much capacity stands later.

#include <algorithm>

#include "core/group_planner.h"

namespace clementine {
namespace {

/// Part of the permitted rate of loads that is used; the rest covers loads that
/// hosts begin later than ordered.
constexpr double kLoadRatePart = 0.85;
constexpr double kLoadBurst = 3.0;

}  // namespace

bool GroupPlanner::MayLoad(const Pass& pass) {
  if (!MaySend(1)) return false;
  std::chrono::duration<double> elapsed = pass.now - m_refilled;
  m_refilled = pass.now;
  m_load_tokens =
      std::min(kLoadBurst, m_load_tokens + elapsed.count() * kLoadRatePart *
                                               pass.engine->loads_per_second);
  if (m_free_loads) return true;
  return m_load_tokens >= 1.0 &&
         m_loads.size() <
             static_cast<std::size_t>(pass.engine->concurrent_loads);
}

void GroupPlanner::StartLoad(const BackendServer& host,
                             const EngineModel& model, TimePoint now) {
  auto found = m_loads.find(host.id);
  if (found != m_loads.end() && found->second.model == model.name) return;
  if (!m_free_loads) m_load_tokens -= 1.0;
  m_loads[host.id] = {model.name, now + JoinTimeout(model)};
}

const std::string& GroupPlanner::HeldModel(const BackendServer& host) const {
  static const std::string none;
  auto load = m_loads.find(host.id);
  if (load != m_loads.end()) return load->second.model;
  return host.staged.empty() ? none : host.staged.back();
}

bool GroupPlanner::Stage(const BackendServer& host, const EngineModel& model,
                         Pass* pass) {
  if (!MayLoad(*pass)) return false;
  GroupOrder stage;
  stage.kind = GroupOrder::Kind::kStage;
  stage.model = model.name;
  StartLoad(host, model, pass->now);
  Send(host, stage, pass);
  return true;
}

// Loads happen beside everything else, so hosts load before they are needed:
// first what completes groups that their domain lacks, the fewest loads first,
// then spares. A spare that holds a model replaces a lost member in the time of
// a start.
void GroupPlanner::StageHosts(Pass* pass) {
  struct Missing {
    int loads = 0;
    std::string domain;
    const EngineModel* model = nullptr;
  };
  std::vector<Missing> missing;
  for (const auto& [key, wanted] : pass->wanted) {
    const auto& [domain, name] = key;
    const EngineModel* model = FindModel(*pass->engine, name);
    // At a first start more hosts are about to come, and a spare's model is
    // chosen best when the groups are known.
    if (m_free_loads && Grows(domain, kWaitForHosts, *pass)) continue;
    int loads = MissingHolders(domain, *model, *pass);
    if (loads <= 0) continue;
    int next = loads % model->hosts_per_group;
    missing.push_back(
        {next == 0 ? model->hosts_per_group : next, domain, model});
  }
  std::stable_sort(
      missing.begin(), missing.end(),
      [](const Missing& a, const Missing& b) { return a.loads < b.loads; });
  for (const Missing& entry : missing) {
    if (!StageForGroups(entry.domain, *entry.model, pass)) return;
  }
  for (const auto& [domain, free] : pass->free) {
    if (m_free_loads && Grows(domain, kWaitForHosts, *pass)) continue;
    if (!StageSpares(domain, free, pass)) return;
  }
}

// Hosts that lack the weights of groups that a domain lacks.
int GroupPlanner::MissingHolders(const std::string& domain,
                                 const EngineModel& model,
                                 const Pass& pass) const {
  int missing = pass.Lacks(domain, model.name) * model.hosts_per_group;
  if (missing <= 0) return 0;
  for (const auto& [id, server] : *pass.servers) {
    bool another = pass.in_standing.count(id) == 0 ||
                   GroupModel(server.member.group) != model.name;
    if (server.fabric_domain == domain && pass.Stays(server) && another &&
        HeldModel(server) == model.name) {
      --missing;
    }
  }
  return missing;
}

// Hosts that could stage a model, the cheapest first: empty ones, spares of
// another model, then members of groups of which the domain has too many.
GroupPlanner::Hosts GroupPlanner::StagingOrder(const std::string& domain,
                                               const EngineModel& model,
                                               const Pass& pass) const {
  Hosts empty;
  Hosts spares;
  Hosts surplus;
  std::set<std::string> changing;  // Groups that give up their hosts.
  for (const auto& [id, server] : *pass.servers) {
    if (server.fabric_domain != domain || !pass.Stays(server) || Waiting(id) ||
        !Counted(server) || m_loads.count(id) > 0 ||
        HasStaged(server, model.name)) {
      continue;
    }
    if (pass.in_standing.count(id) == 0) {
      if (server.staged.empty()) {
        empty.push_back(&server);
      } else if (!Grows(domain, kSettleTime, pass)) {
        spares.push_back(&server);
      }
      continue;
    }
    const std::string& group = server.member.group;
    std::string held = GroupModel(group);
    if (held == model.name || !SurplusIsSettled(domain, held, pass)) continue;
    bool counted = changing.count(group) > 0;
    int too_many = -pass.Lacks(domain, held);
    if (!counted && static_cast<int>(changing.size()) >= too_many) continue;
    changing.insert(group);
    surplus.push_back(&server);
  }
  // A spare whose model the domain lacks as well stays.
  std::erase_if(spares, [&](const BackendServer* host) {
    return pass.Lacks(domain, HeldModel(*host)) > 0;
  });
  Hosts order = std::move(empty);
  order.insert(order.end(), spares.begin(), spares.end());
  order.insert(order.end(), surplus.begin(), surplus.end());
  return order;
}

// Stages a model until its lacking groups can be formed. Returns false when no
// more loads may begin now.
bool GroupPlanner::StageForGroups(const std::string& domain,
                                  const EngineModel& model, Pass* pass) {
  int missing = MissingHolders(domain, model, *pass);
  for (const BackendServer* host : StagingOrder(domain, model, *pass)) {
    if (missing-- <= 0) break;
    if (!Stage(*host, model, pass)) return false;
  }
  return true;
}

bool GroupPlanner::StageSpares(const std::string& domain, const Hosts& free,
                               Pass* pass) {
  auto model = pass->spares.find(domain);
  if (model == pass->spares.end()) return true;
  for (const BackendServer* host : free) {
    if (!HeldModel(*host).empty() || Waiting(host->id)) continue;
    if (!Stage(*host, *model->second, pass)) return false;
  }
  return true;
}

}  // namespace clementine
