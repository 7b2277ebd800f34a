// Chooses which hosts load weights. Loads are limited in number and rate and
// take far longer than other orders, so their sequence determines how much
// capacity is available later.

#include <algorithm>

#include "core/group_planner.h"

namespace clementine {
namespace {

/// Fraction of the permitted load rate that is used. The rest is a reserve for
/// loads that hosts start later than ordered.
constexpr double kLoadRateFraction = 0.85;
/// Maximum number of loads that may start at once.
constexpr double kLoadBurst = 3.0;

}  // namespace

bool GroupPlanner::MayStartLoad(const Pass& pass) {
  if (!MaySendOrders(1)) return false;
  std::chrono::duration<double> elapsed = pass.now - m_load_tokens_refilled_at;
  m_load_tokens_refilled_at = pass.now;
  m_load_tokens =
      std::min(kLoadBurst, m_load_tokens + elapsed.count() * kLoadRateFraction *
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

const std::string& GroupPlanner::ModelOnHost(const BackendServer& host) const {
  static const std::string none;
  auto load = m_loads.find(host.id);
  if (load != m_loads.end()) return load->second.model;
  return host.staged.empty() ? none : host.staged.back();
}

bool GroupPlanner::StageModel(const BackendServer& host,
                              const EngineModel& model, Pass* pass) {
  if (!MayStartLoad(*pass)) return false;
  GroupOrder stage;
  stage.kind = GroupOrder::Kind::kStage;
  stage.model = model.name;
  StartLoad(host, model, pass->now);
  SendOrder(host, stage, pass);
  return true;
}

// Loads do not interrupt serving, so hosts load weights before they are needed.
// Loads that complete groups below the target come first, the groups with the
// fewest missing loads before others, then loads of spares. A spare that has
// the weights replaces a lost member in the start time instead of the load
// time.
void GroupPlanner::StageModels(Pass* pass) {
  struct Missing {
    int loads = 0;
    std::string domain;
    const EngineModel* model = nullptr;
  };
  std::vector<Missing> missing;
  for (const auto& [key, target_groups] : pass->target_groups) {
    const auto& [domain, name] = key;
    const EngineModel* model = FindModel(*pass->engine, name);
    // At the first start more hosts are about to register, and the spares'
    // model is best chosen when the groups are known.
    if (m_free_loads && HasGrown(domain, kRegistrationWindow, *pass)) continue;
    int loads = MissingStagedHosts(domain, *model, *pass);
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
  for (const auto& [domain, free] : pass->free_hosts) {
    if (m_free_loads && HasGrown(domain, kRegistrationWindow, *pass)) continue;
    if (!StageSpares(domain, free, pass)) return;
  }
}

// Returns the number of hosts that still have to load a model's weights so that
// the domain can form its missing groups.
int GroupPlanner::MissingStagedHosts(const std::string& domain,
                                     const EngineModel& model,
                                     const Pass& pass) const {
  int missing = pass.MissingGroups(domain, model.name) * model.hosts_per_group;
  if (missing <= 0) return 0;
  for (const auto& [id, server] : *pass.servers) {
    bool not_serving_model = pass.hosts_in_active_groups.count(id) == 0 ||
                             GroupModel(server.member.group) != model.name;
    if (server.fabric_domain == domain && pass.IsUsable(server) &&
        not_serving_model && ModelOnHost(server) == model.name) {
      --missing;
    }
  }
  return missing;
}

// Returns hosts that could stage a model, the cheapest first: hosts without
// weights, spares with another model's weights, then members of surplus groups.
GroupPlanner::Hosts GroupPlanner::HostsToStage(const std::string& domain,
                                               const EngineModel& model,
                                               const Pass& pass) const {
  Hosts empty;
  Hosts spares;
  Hosts surplus;
  std::set<std::string> changing;  // Surplus groups whose hosts change.
  for (const auto& [id, server] : *pass.servers) {
    if (server.fabric_domain != domain || !pass.IsUsable(server) ||
        pass.IsEvacuated(server) || HasPendingOrder(id) ||
        !IsOrderCountKnown(server) || m_loads.count(id) > 0 ||
        HasStaged(server, model.name)) {
      continue;
    }
    if (pass.hosts_in_active_groups.count(id) == 0) {
      if (server.staged.empty()) {
        empty.push_back(&server);
      } else if (!HasGrown(domain, kMinSurplusDuration, pass)) {
        spares.push_back(&server);
      }
      continue;
    }
    const std::string& group = server.member.group;
    std::string other = GroupModel(group);
    if (other == model.name || !IsSurplusStable(domain, other, pass)) continue;
    bool added = changing.count(group) > 0;
    int surplus_groups = -pass.MissingGroups(domain, other);
    if (!added && static_cast<int>(changing.size()) >= surplus_groups) continue;
    changing.insert(group);
    surplus.push_back(&server);
  }
  // A spare keeps its model if that model also has missing groups.
  std::erase_if(spares, [&](const BackendServer* host) {
    return pass.MissingGroups(domain, ModelOnHost(*host)) > 0;
  });
  Hosts order = std::move(empty);
  order.insert(order.end(), spares.begin(), spares.end());
  order.insert(order.end(), surplus.begin(), surplus.end());
  return order;
}

// Stages a model until its missing groups can be formed. Returns false if no
// more loads may start now.
bool GroupPlanner::StageForGroups(const std::string& domain,
                                  const EngineModel& model, Pass* pass) {
  int missing = MissingStagedHosts(domain, model, *pass);
  for (const BackendServer* host : HostsToStage(domain, model, *pass)) {
    if (missing-- <= 0) break;
    if (!StageModel(*host, model, pass)) return false;
  }
  return true;
}

bool GroupPlanner::StageSpares(const std::string& domain, const Hosts& free,
                               Pass* pass) {
  auto model = pass->spare_models.find(domain);
  if (model == pass->spare_models.end()) return true;
  for (const BackendServer* host : free) {
    if (!ModelOnHost(*host).empty() || HasPendingOrder(host->id)) continue;
    if (!StageModel(*host, *model->second, pass)) return false;
  }
  return true;
}

}  // namespace clementine
