// The value of an allocation depends on the domains only through sums by model,
// so a plan for one domain is evaluated against the sums of the others. The
// cost of a change is part of the value: a group whose hosts have to load
// weights serves for a shorter part of the horizon, and closing a group loses
// the work of its hosts until they serve again.
//
// Improving one domain at a time stops at a local optimum if several domains
// would have to change together (one closes a group of the large model, another
// opens one). If no change of a single domain improves the value, each change
// of one domain is therefore tried together with the best responses of the
// others, unless there are more than kMaxPlansForJointSearch plans.

#include "core/group_allocation.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace clementine {
namespace {

/// Time within which the gain of a change has to exceed its cost.
constexpr std::chrono::duration<double> kHorizon{30.0};
/// Approximate time for which hosts that change to another model are down after
/// its weights were loaded.
constexpr std::chrono::duration<double> kChangeoverTime{3.0};
/// Chosen so that ServedFraction(1) is about 0.8: with as many groups as the
/// requests keep busy, a fifth of them is served too late, because requests do
/// not arrive evenly.
constexpr double kServedSteepness = 1.6;
/// Minimum gain of a change, as a fraction of all requests.
constexpr double kMinGain = 1e-6;
/// Cost of closing one active group, as a fraction of all requests. It prevents
/// closing groups because of errors in the measured demand, which are smaller.
constexpr double kCloseCost = 0.01;
/// Cost of one load, as a fraction of all requests. Few loads can run at a
/// time, and some hosts are lost before their load completes. The cost makes
/// the allocation use hosts that already have a model's weights and prefer
/// loads that complete a group with a single missing host.
constexpr double kLoadCost = 0.005;
/// Weight of the worst-served model. Without it, all callers of a model that
/// serves few requests per host would be refused.
constexpr double kWorstModelWeight = 0.25;
/// Cost of having all groups of a model in one data centre, as a fraction of
/// the model's requests. A partitioned data centre has to serve its callers
/// with its own groups.
constexpr double kDataCentreWeight = 0.15;
/// Cost of having all groups of a model in one fabric domain, as a fraction of
/// the model's requests. The loss of the domain would end all of them.
constexpr double kDomainWeight = 0.02;
constexpr int kMaxRounds = 12;
/// Maximum number of plans, over all domains, for which joint changes of
/// domains are tried. The number of joint changes grows with the square of the
/// number of plans, and with many domains a single group matters little.
constexpr std::size_t kMaxPlansForJointSearch = 160;

using Counts = std::vector<int>;

/// Appends all combinations of groups that fit into a domain, each with every
/// choice of the model for its spares.
void AppendDomainPlans(const std::vector<ModelNeed>& needs, std::size_t model,
                       int hosts, Counts* counts,
                       std::vector<DomainPlan>* domain_plans) {
  if (model == needs.size()) {
    for (std::size_t spare_model = 0; spare_model < needs.size();
         ++spare_model) {
      domain_plans->push_back({*counts, spare_model});
      if (hosts == 0) break;
    }
    return;
  }
  int size = std::max(1, needs[model].hosts_per_group);
  for (int groups = 0; groups * size <= hosts; ++groups) {
    (*counts)[model] = groups;
    AppendDomainPlans(needs, model + 1, hosts - groups * size, counts,
                      domain_plans);
  }
  (*counts)[model] = 0;
}

std::vector<DomainPlan> ListDomainPlans(const std::vector<ModelNeed>& needs,
                                        const DomainHosts& domain) {
  if (domain.is_fixed) return {{domain.active_groups, 0}};
  std::vector<DomainPlan> domain_plans;
  Counts counts(needs.size(), 0);
  AppendDomainPlans(needs, 0, domain.hosts, &counts, &domain_plans);
  return domain_plans;
}

/// Expected number of serving groups, by the number of hosts that have the
/// model's weights and the target number of groups.
using UsableGroups = std::vector<std::vector<double>>;

/// Losses are independent, so the number of hosts that are lost and not yet
/// replaced has a Poisson distribution.
UsableGroups ExpectedUsableGroups(const ModelNeed& need, int max_hosts) {
  int size = std::max(1, need.hosts_per_group);
  UsableGroups usable_groups;
  for (int hosts = 0; hosts <= max_hosts; ++hosts) {
    std::vector<double> groups(static_cast<std::size_t>(hosts / size) + 1, 0.0);
    double mean = hosts * need.missing_host_fraction;
    double probability = std::exp(-mean);
    for (int missing = 0; missing <= hosts; ++missing) {
      int possible = (hosts - missing) / size;
      for (std::size_t target_groups = 0; target_groups < groups.size();
           ++target_groups) {
        groups[target_groups] +=
            probability * std::min(possible, static_cast<int>(target_groups));
      }
      probability *= mean / (missing + 1);
    }
    usable_groups.push_back(std::move(groups));
  }
  return usable_groups;
}

/// Sums over all domains.
struct AllocationSums {
  std::vector<double> groups;  ///< Expected serving groups, by model.
  std::vector<double> counts;  ///< Planned groups, by model.
  std::vector<double>
      domain_squares;  ///< Squares of domains' counts, by model.
  /// Counts by data centre and model.
  std::vector<std::vector<double>> by_data_centre;
  double change_cost = 0.0;  ///< As a fraction of all requests.
};

/// The allocation that is evaluated or improved, and its sums. Initially it has
/// no groups.
class AllocationState {
 public:
  AllocationState(const std::vector<ModelNeed>& needs,
                  const std::vector<DomainHosts>& domains,
                  const AllocationOptions& options)
      : m_needs(needs), m_domains(domains), m_options(options) {
    std::map<std::string, std::size_t> data_centres;
    int max_hosts = 0;
    for (const DomainHosts& domain : domains) {
      m_data_centre_index.push_back(
          data_centres.try_emplace(domain.data_centre, data_centres.size())
              .first->second);
      m_plans.push_back({Counts(needs.size(), 0), 0});
      max_hosts = std::max(max_hosts, domain.hosts);
    }
    for (const ModelNeed& need : needs) {
      m_usable_groups.push_back(ExpectedUsableGroups(need, max_hosts));
    }
    m_sums.groups.assign(needs.size(), 0.0);
    m_sums.counts.assign(needs.size(), 0.0);
    m_sums.domain_squares.assign(needs.size(), 0.0);
    m_sums.by_data_centre.assign(data_centres.size(), m_sums.counts);
    for (const ModelNeed& need : needs) {
      if (need.busy_groups > 0.0) m_total_requests += need.requests;
    }
    for (std::size_t d = 0; d < domains.size(); ++d) Add(d, m_plans[d], 1.0);
  }

  const DomainPlan& plan(std::size_t d) const { return m_plans[d]; }
  double total_requests() const { return m_total_requests; }

  void SetPlan(std::size_t d, const DomainPlan& plan) {
    Add(d, m_plans[d], -1.0);
    m_plans[d] = plan;
    Add(d, plan, 1.0);
  }

  double Value() const {
    double served = 0.0;
    double worst = 1.0;
    double concentration_penalty = 0.0;
    for (std::size_t model = 0; model < m_needs.size(); ++model) {
      const ModelNeed& need = m_needs[model];
      if (need.busy_groups <= 0.0) continue;
      double served_fraction = ServedFraction(
          need.availability * m_sums.groups[model] / need.busy_groups);
      served += need.requests * served_fraction;
      worst = std::min(worst, served_fraction);
      concentration_penalty += need.requests * ConcentrationPenalty(model);
    }
    return (1.0 - kWorstModelWeight) * served - concentration_penalty +
           (kWorstModelWeight * worst - m_sums.change_cost) * m_total_requests;
  }

 private:
  void Add(std::size_t d, const DomainPlan& plan, double sign) {
    const DomainHosts& domain = m_domains[d];
    int spares = domain.hosts;
    for (std::size_t model = 0; model < m_needs.size(); ++model) {
      spares -= plan.groups[model] * GroupSize(model);
    }
    for (std::size_t model = 0; model < m_needs.size(); ++model) {
      double planned = plan.groups[model];
      m_sums.counts[model] += sign * planned;
      m_sums.domain_squares[model] += sign * planned * planned;
      m_sums.by_data_centre[m_data_centre_index[d]][model] += sign * planned;
      int hosts = plan.groups[model] * GroupSize(model);
      if (model == plan.spare_model) hosts += std::max(0, spares);
      double groups = FindUsableGroups(model, hosts, plan.groups[model]);
      if (!domain.is_fixed) {
        if (!m_options.free_loads) groups -= LoadingGroups(model, domain, plan);
        m_sums.change_cost += sign * ChangeCost(model, domain, plan, hosts);
      }
      m_sums.groups[model] += sign * groups;
    }
  }

  /// The arguments are limited to the table's size, because a domain that has
  /// just lost hosts may have more groups than its hosts suffice for.
  double FindUsableGroups(std::size_t model, int hosts, int groups) const {
    const UsableGroups& usable_groups = m_usable_groups[model];
    auto row =
        std::min(static_cast<std::size_t>(hosts), usable_groups.size() - 1);
    auto column = std::min(static_cast<std::size_t>(groups),
                           usable_groups[row].size() - 1);
    return usable_groups[row][column];
  }

  int GroupSize(std::size_t model) const {
    return std::max(1, m_needs[model].hosts_per_group);
  }

  /// Average number of groups that are missing over the horizon because their
  /// hosts have to load weights first.
  double LoadingGroups(std::size_t model, const DomainHosts& domain,
                       const DomainPlan& plan) const {
    int ready = domain.active_groups[model] +
                domain.staged_hosts[model] / GroupSize(model);
    std::chrono::duration<double> load =
        m_needs[model].load_time + kChangeoverTime;
    return std::max(0, plan.groups[model] - ready) *
           std::min(1.0, load / kHorizon);
  }

  double ChangeCost(std::size_t model, const DomainHosts& domain,
                    const DomainPlan& plan, int hosts) const {
    int loads = hosts - domain.active_groups[model] * GroupSize(model) -
                domain.staged_hosts[model];
    int closed = domain.active_groups[model] - plan.groups[model];
    double cost = kCloseCost * std::max(0, closed);
    return m_options.free_loads ? cost : cost + kLoadCost * std::max(0, loads);
  }

  /// Cost of concentrating a model's groups in few places. The loss of a data
  /// centre or domain removes its fraction of the groups, so the sum of the
  /// squared fractions is the average loss.
  double ConcentrationPenalty(std::size_t model) const {
    double total = m_sums.counts[model];
    // A model without groups is at least as exposed as one with a single group.
    // Without this, the first group of a model would reduce the value, and the
    // search of one domain at a time would never open it in a large fleet.
    if (total <= 0.0) return kDataCentreWeight + kDomainWeight;
    double data_centres = 0.0;
    for (const std::vector<double>& data_centre : m_sums.by_data_centre) {
      data_centres += data_centre[model] * data_centre[model];
    }
    return (kDataCentreWeight * data_centres +
            kDomainWeight * m_sums.domain_squares[model]) /
           (total * total);
  }

  const std::vector<ModelNeed>& m_needs;
  const std::vector<DomainHosts>& m_domains;
  const AllocationOptions& m_options;
  std::vector<std::size_t> m_data_centre_index;  ///< By domain.
  Allocation m_plans;                            ///< By domain.
  std::vector<UsableGroups> m_usable_groups;     ///< By model.
  AllocationSums m_sums;
  double m_total_requests = 0.0;
};

/// Local search, which starts from the active groups or from the allocation
/// that MaximizeModel sets.
class AllocationSearch {
 public:
  AllocationSearch(const std::vector<ModelNeed>& needs,
                   const std::vector<DomainHosts>& domains,
                   const AllocationOptions& options)
      : m_state(needs, domains, options) {
    std::size_t plans = 0;
    for (std::size_t d = 0; d < domains.size(); ++d) {
      m_domain_plans.push_back(ListDomainPlans(needs, domains[d]));
      plans += m_domain_plans.back().size();
      const std::vector<DomainPlan>& domain_plans = m_domain_plans.back();
      auto current =
          std::find_if(domain_plans.begin(), domain_plans.end(),
                       [&](const DomainPlan& plan) {
                         return plan.groups == domains[d].active_groups;
                       });
      m_state.SetPlan(
          d, current == domain_plans.end() ? domain_plans.front() : *current);
    }
    m_joint_search = plans <= kMaxPlansForJointSearch;
  }

  /// Restarts from the allocation with the most groups of one model.
  void MaximizeModel(std::size_t model) {
    for (std::size_t d = 0; d < m_domain_plans.size(); ++d) {
      m_state.SetPlan(d, *std::max_element(
                             m_domain_plans[d].begin(), m_domain_plans[d].end(),
                             [model](const DomainPlan& a, const DomainPlan& b) {
                               return a.groups[model] < b.groups[model];
                             }));
    }
  }

  double Value() const { return m_state.Value(); }

  Allocation Run() {
    for (int round = 0; round < kMaxRounds; ++round) {
      bool better = false;
      for (std::size_t d = 0; d < m_domain_plans.size(); ++d) {
        better = ImproveDomain(d) || better;
      }
      if (!better && (!m_joint_search || !ImproveJointly())) break;
    }
    return CurrentAllocation();
  }

 private:
  double Threshold() const {
    return m_state.Value() + kMinGain * m_state.total_requests();
  }

  bool ImproveDomain(std::size_t d) {
    DomainPlan before = m_state.plan(d);
    DomainPlan best = before;
    double best_value = Threshold();
    for (const DomainPlan& plan : m_domain_plans[d]) {
      m_state.SetPlan(d, plan);
      double value = m_state.Value();
      if (value > best_value) {
        best_value = value;
        best = plan;
      }
    }
    m_state.SetPlan(d, best);
    return best != before;
  }

  /// Changes one domain and then improves each other domain in turn.
  bool ImproveJointly() {
    double before = Threshold();
    Allocation old = CurrentAllocation();
    for (std::size_t a = 0; a < m_domain_plans.size(); ++a) {
      for (const DomainPlan& plan : m_domain_plans[a]) {
        if (plan == old[a]) continue;
        m_state.SetPlan(a, plan);
        for (std::size_t b = 0; b < m_domain_plans.size(); ++b) {
          if (b != a) ImproveDomain(b);
        }
        if (m_state.Value() > before) return true;
        for (std::size_t d = 0; d < old.size(); ++d) {
          m_state.SetPlan(d, old[d]);
        }
      }
    }
    return false;
  }

  Allocation CurrentAllocation() const {
    Allocation allocation;
    for (std::size_t d = 0; d < m_domain_plans.size(); ++d) {
      allocation.push_back(m_state.plan(d));
    }
    return allocation;
  }

  AllocationState m_state;
  bool m_joint_search = false;  ///< Whether joint changes are tried.
  std::vector<std::vector<DomainPlan>> m_domain_plans;  ///< By domain.
};

}  // namespace

double ServedFraction(double coverage) {
  return 1.0 - std::exp(-kServedSteepness * std::max(0.0, coverage));
}

double AllocationValue(const std::vector<ModelNeed>& needs,
                       const std::vector<DomainHosts>& domains,
                       const Allocation& allocation,
                       const AllocationOptions& options) {
  AllocationState state(needs, domains, options);
  for (std::size_t d = 0; d < domains.size(); ++d) {
    state.SetPlan(d, allocation[d]);
  }
  return state.Value();
}

Allocation AllocateGroups(const std::vector<ModelNeed>& needs,
                          const std::vector<DomainHosts>& domains,
                          const AllocationOptions& options) {
  AllocationSearch search(needs, domains, options);
  Allocation best = search.Run();
  double best_value = search.Value();
  for (std::size_t model = 0; model < needs.size(); ++model) {
    search.MaximizeModel(model);
    Allocation found = search.Run();
    if (search.Value() <= best_value) continue;
    best_value = search.Value();
    best = std::move(found);
  }
  return best;
}

Allocation AllocateByEnumeration(const std::vector<ModelNeed>& needs,
                                 const std::vector<DomainHosts>& domains,
                                 const AllocationOptions& options) {
  std::vector<std::vector<DomainPlan>> domain_plans;
  for (const DomainHosts& domain : domains) {
    domain_plans.push_back(ListDomainPlans(needs, domain));
  }
  std::vector<std::size_t> index(domains.size(), 0);
  Allocation best;
  double best_value = 0.0;
  AllocationState state(needs, domains, options);
  while (true) {
    Allocation allocation;
    for (std::size_t d = 0; d < domains.size(); ++d) {
      allocation.push_back(domain_plans[d][index[d]]);
      state.SetPlan(d, allocation.back());
    }
    double value = state.Value();
    if (best.empty() || value > best_value) {
      best = allocation;
      best_value = value;
    }
    std::size_t d = 0;
    while (d < domains.size() && ++index[d] == domain_plans[d].size()) {
      index[d++] = 0;
    }
    if (d == domains.size()) return best;
  }
}

}  // namespace clementine
