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
// first what completes a group of the model in need, then spares. A spare that
// holds a model replaces a lost member in the time of a start.
void GroupPlanner::StageFree(Pass* pass) {
  for (const auto& [domain, free] : pass->free) {
    Hosts hosts = free;
    const Hosts& released = pass->released[domain];
    hosts.insert(hosts.end(), released.begin(), released.end());
    while (const EngineModel* model = NextToComplete(domain, hosts, *pass)) {
      if (!CompleteGroup(*model, &hosts, pass)) return;
    }
    std::erase_if(hosts, [&](const BackendServer* host) {
      return pass->bound.count(host->id) > 0;
    });
    // At a first start more hosts are about to come, and a spare's model is
    // chosen best when the groups are known.
    if (m_free_loads && Grows(domain, pass->now)) continue;
    if (!StageSpares(domain, hosts, pass)) return;
  }
}

// The model in greatest need whose next group lacks no more than what the
// domain's empty hosts, and at most one that holds another model, can load.
const EngineModel* GroupPlanner::NextToComplete(const std::string& domain,
                                                const Hosts& hosts,
                                                const Pass& pass) const {
  const EngineModel* best = nullptr;
  for (const EngineModel& model : pass.engine->models) {
    int usable = 0;
    int others = 0;
    for (const BackendServer* host : hosts) {
      const std::string& held = HeldModel(*host);
      bool loads_other = m_loads.count(host->id) > 0 && held != model.name;
      bool bound = pass.bound.count(host->id) > 0;
      if (held == model.name || held.empty()) {
        ++usable;
      } else if (!loads_other && !bound) {
        ++others;
      }
    }
    usable += std::min(others, 1);
    if (Waits(domain, model, pass)) continue;
    if (model.hosts_per_group < 1 || usable < model.hosts_per_group) continue;
    if (best == nullptr || Need(model, pass) > Need(*best, pass)) {
      best = &model;
    }
  }
  return best;
}

// Takes the hosts of one future group and stages its model on those that lack
// it. Returns false when no more loads may begin now.
bool GroupPlanner::CompleteGroup(const EngineModel& model, Hosts* hosts,
                                 Pass* pass) {
  auto rank = [&](const BackendServer* host) {
    const std::string& held = HeldModel(*host);
    if (held == model.name) return 0;
    if (held.empty()) return 1;
    bool fixed = m_loads.count(host->id) > 0 || pass->bound.count(host->id) > 0;
    return fixed ? 3 : 2;
  };
  std::stable_sort(
      hosts->begin(), hosts->end(),
      [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
  ++pass->groups[model.name];
  for (int i = 0; i < model.hosts_per_group; ++i) {
    const BackendServer& host = *(*hosts)[static_cast<std::size_t>(i)];
    bool lacks = HeldModel(host) != model.name;
    if (lacks && pass->bound.count(host.id) == 0 && !Stage(host, model, pass)) {
      return false;
    }
  }
  hosts->erase(hosts->begin(), hosts->begin() + model.hosts_per_group);
  return true;
}

bool GroupPlanner::StageSpares(const std::string& domain, const Hosts& free,
                               Pass* pass) {
  std::map<std::string, int> spares;
  for (const BackendServer* host : free) ++spares[HeldModel(*host)];
  for (const BackendServer* host : free) {
    if (!HeldModel(*host).empty()) continue;
    const EngineModel* best = nullptr;
    double best_need = -1.0;
    for (const EngineModel& model : pass->engine->models) {
      double placed = pass->placed[{domain, model.name}];
      double need = (placed + model.work_share) / (spares[model.name] + 1.0);
      if (need > best_need) {
        best_need = need;
        best = &model;
      }
    }
    if (best == nullptr || !Stage(*host, *best, pass)) return false;
    ++spares[best->name];
  }
  return true;
}

}  // namespace clementine
