// The value of an allocation depends on the domains only through the number of
// groups of each model, so one domain's choice is compared with the others'
// sums. A change counts with its cost: a group whose hosts have to load weights
// serves for less of the time that is looked ahead, and a group that is closed
// loses what its hosts could have served until they serve again.
//
// One domain at a time can get stuck where several would have to change
// together (one gives a group of the large model up, another takes it), so each
// change of one domain is tried with the best answers of the others when single
// ones bring nothing more.

#include "core/group_allocation.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace clementine {
namespace {

/// Time over which a change has to pay.
constexpr std::chrono::duration<double> kHorizon{30.0};
/// What changes over, once the weights are there, is down for about as long.
constexpr std::chrono::duration<double> kChangeOver{3.0};
/// ServedPart(1): with as many groups as are busy, a fifth comes too late,
/// since requests don't arrive evenly.
constexpr double kSteepness = 1.6;
/// Changes worth less than this part of all requests aren't made.
constexpr double kLeastGain = 1e-6;
/// Closing standing groups needs a gain well above the error of the demand.
constexpr double kCloseCost = 0.01;
/// Part of all requests that one load has to serve. Few loads can run at a time
/// and each takes as long as some hosts live, so hosts that hold a model are
/// used for it, and a load first completes the group that lacks only one.
constexpr double kLoadCost = 0.005;
/// Weight of the worst-served model, so that callers of a model that serves few
/// requests for its hosts aren't all refused.
constexpr double kWorstWeight = 0.25;
/// Cost of all groups of a model in one data centre, or domain, as a part of
/// its requests. A data centre that is cut off serves its callers by itself.
constexpr double kCentreWeight = 0.15;
constexpr double kDomainWeight = 0.02;
constexpr int kMostRounds = 12;
/// Above so many plans of all domains, changes of several domains together are
/// not tried: their number grows with the square, and with many domains one
/// group more or less matters little.
constexpr std::size_t kMostPlansTogether = 160;

using Counts = std::vector<int>;

/// All ways to fill a domain with groups, and to use the hosts that are left.
void ListFillings(const std::vector<ModelNeed>& needs, std::size_t model,
                  int hosts, Counts* counts,
                  std::vector<DomainPlan>* fillings) {
  if (model == needs.size()) {
    for (std::size_t spares = 0; spares < needs.size(); ++spares) {
      fillings->push_back({*counts, spares});
      if (hosts == 0) break;
    }
    return;
  }
  int size = std::max(1, needs[model].hosts_per_group);
  for (int groups = 0; groups * size <= hosts; ++groups) {
    (*counts)[model] = groups;
    ListFillings(needs, model + 1, hosts - groups * size, counts, fillings);
  }
  (*counts)[model] = 0;
}

std::vector<DomainPlan> Fillings(const std::vector<ModelNeed>& needs,
                                 const DomainHosts& domain) {
  if (domain.fixed) return {{domain.standing, 0}};
  std::vector<DomainPlan> fillings;
  Counts counts(needs.size(), 0);
  ListFillings(needs, 0, domain.hosts, &counts, &fillings);
  return fillings;
}

/// Groups that stand on average of some that are wanted, by the number of hosts
/// that hold their model and the number wanted.
using UsableGroups = std::vector<std::vector<double>>;

/// The lost hosts that aren't replaced yet are distributed as Poisson's law has
/// it for independent losses.
UsableGroups FindUsable(const ModelNeed& need, int most) {
  int size = std::max(1, need.hosts_per_group);
  UsableGroups usable;
  for (int hosts = 0; hosts <= most; ++hosts) {
    std::vector<double> groups(static_cast<std::size_t>(hosts / size) + 1, 0.0);
    double mean = hosts * need.missing_part;
    double probability = std::exp(-mean);
    for (int missing = 0; missing <= hosts; ++missing) {
      int possible = (hosts - missing) / size;
      for (std::size_t wanted = 0; wanted < groups.size(); ++wanted) {
        groups[wanted] +=
            probability * std::min(possible, static_cast<int>(wanted));
      }
      probability *= mean / (missing + 1);
    }
    usable.push_back(std::move(groups));
  }
  return usable;
}

/// What all domains together hold.
struct Sums {
  std::vector<double> groups;  ///< By model, less what loads take from them.
  std::vector<double> counts;  ///< By model.
  std::vector<double> domain_squares;  ///< Of the counts of domains, by model.
  /// Counts by data centre and model.
  std::vector<std::vector<double>> by_centre;
  double change_cost = 0.0;  ///< As a part of all requests.
};

/// The choice being evaluated or improved; no groups at first.
class Choice {
 public:
  Choice(const std::vector<ModelNeed>& needs,
         const std::vector<DomainHosts>& domains,
         const AllocationOptions& options)
      : m_needs(needs), m_domains(domains), m_options(options) {
    std::map<std::string, std::size_t> centres;
    int most = 0;
    for (const DomainHosts& domain : domains) {
      m_centre.push_back(centres.try_emplace(domain.data_centre, centres.size())
                             .first->second);
      m_chosen.push_back({Counts(needs.size(), 0), 0});
      most = std::max(most, domain.hosts);
    }
    for (const ModelNeed& need : needs) {
      m_usable.push_back(FindUsable(need, most));
    }
    m_sums.groups.assign(needs.size(), 0.0);
    m_sums.counts.assign(needs.size(), 0.0);
    m_sums.domain_squares.assign(needs.size(), 0.0);
    m_sums.by_centre.assign(centres.size(), m_sums.counts);
    for (const ModelNeed& need : needs) {
      if (need.busy_groups > 0.0) m_all += need.requests;
    }
    for (std::size_t d = 0; d < domains.size(); ++d) Add(d, m_chosen[d], 1.0);
  }

  const DomainPlan& chosen(std::size_t d) const { return m_chosen[d]; }
  double all() const { return m_all; }

  void Choose(std::size_t d, const DomainPlan& plan) {
    Add(d, m_chosen[d], -1.0);
    m_chosen[d] = plan;
    Add(d, plan, 1.0);
  }

  double Value() const {
    double served = 0.0;
    double worst = 1.0;
    double uneven = 0.0;
    for (std::size_t model = 0; model < m_needs.size(); ++model) {
      const ModelNeed& need = m_needs[model];
      if (need.busy_groups <= 0.0) continue;
      double part =
          ServedPart(need.up_part * m_sums.groups[model] / need.busy_groups);
      served += need.requests * part;
      worst = std::min(worst, part);
      uneven += need.requests * Unevenness(model);
    }
    return (1.0 - kWorstWeight) * served - uneven +
           (kWorstWeight * worst - m_sums.change_cost) * m_all;
  }

 private:
  void Add(std::size_t d, const DomainPlan& plan, double sign) {
    const DomainHosts& domain = m_domains[d];
    int spares = domain.hosts;
    for (std::size_t model = 0; model < m_needs.size(); ++model) {
      spares -= plan.groups[model] * Size(model);
    }
    for (std::size_t model = 0; model < m_needs.size(); ++model) {
      double counts = plan.groups[model];
      m_sums.counts[model] += sign * counts;
      m_sums.domain_squares[model] += sign * counts * counts;
      m_sums.by_centre[m_centre[d]][model] += sign * counts;
      int hosts = plan.groups[model] * Size(model);
      if (model == plan.spares) hosts += std::max(0, spares);
      double groups = Usable(model, hosts, plan.groups[model]);
      if (!domain.fixed) {
        if (!m_options.free_loads) groups -= LoadedLater(model, domain, plan);
        m_sums.change_cost += sign * ChangeCost(model, domain, plan, hosts);
      }
      m_sums.groups[model] += sign * groups;
    }
  }

  /// A domain that has just lost hosts may have more groups than it has hosts
  /// for.
  double Usable(std::size_t model, int hosts, int groups) const {
    const UsableGroups& usable = m_usable[model];
    auto known = std::min(static_cast<std::size_t>(hosts), usable.size() - 1);
    auto wanted =
        std::min(static_cast<std::size_t>(groups), usable[known].size() - 1);
    return usable[known][wanted];
  }

  int Size(std::size_t model) const {
    return std::max(1, m_needs[model].hosts_per_group);
  }

  /// Groups that are missing on average because their hosts have to load first.
  double LoadedLater(std::size_t model, const DomainHosts& domain,
                     const DomainPlan& plan) const {
    int ready = domain.standing[model] + domain.held[model] / Size(model);
    std::chrono::duration<double> load = m_needs[model].load_time + kChangeOver;
    return std::max(0, plan.groups[model] - ready) *
           std::min(1.0, load / kHorizon);
  }

  double ChangeCost(std::size_t model, const DomainHosts& domain,
                    const DomainPlan& plan, int hosts) const {
    int loads =
        hosts - domain.standing[model] * Size(model) - domain.held[model];
    int closed = domain.standing[model] - plan.groups[model];
    double cost = kCloseCost * std::max(0, closed);
    return m_options.free_loads ? cost : cost + kLoadCost * std::max(0, loads);
  }

  /// The loss of a data centre or domain takes a part of a model's groups, so
  /// the sum of the squares of these parts is what is lost on average.
  double Unevenness(std::size_t model) const {
    double counts = m_sums.counts[model];
    if (counts <= 0.0) return 0.0;
    double centres = 0.0;
    for (const std::vector<double>& centre : m_sums.by_centre) {
      centres += centre[model] * centre[model];
    }
    return (kCentreWeight * centres +
            kDomainWeight * m_sums.domain_squares[model]) /
           (counts * counts);
  }

  const std::vector<ModelNeed>& m_needs;
  const std::vector<DomainHosts>& m_domains;
  const AllocationOptions& m_options;
  std::vector<std::size_t> m_centre;   ///< By domain.
  Allocation m_chosen;                 ///< By domain.
  std::vector<UsableGroups> m_usable;  ///< By model.
  Sums m_sums;
  double m_all = 0.0;  ///< Requests.
};

/// Improves a choice from what stands.
class Search {
 public:
  Search(const std::vector<ModelNeed>& needs,
         const std::vector<DomainHosts>& domains,
         const AllocationOptions& options)
      : m_choice(needs, domains, options) {
    std::size_t plans = 0;
    for (std::size_t d = 0; d < domains.size(); ++d) {
      m_fillings.push_back(Fillings(needs, domains[d]));
      plans += m_fillings.back().size();
      const std::vector<DomainPlan>& fillings = m_fillings.back();
      auto standing = std::find_if(fillings.begin(), fillings.end(),
                                   [&](const DomainPlan& plan) {
                                     return plan.groups == domains[d].standing;
                                   });
      m_choice.Choose(
          d, standing == fillings.end() ? fillings.front() : *standing);
    }
    m_small = plans <= kMostPlansTogether;
  }

  /// Starts again with as many groups of one model as there can be.
  void FillWith(std::size_t model) {
    for (std::size_t d = 0; d < m_fillings.size(); ++d) {
      m_choice.Choose(d, *std::max_element(
                             m_fillings[d].begin(), m_fillings[d].end(),
                             [model](const DomainPlan& a, const DomainPlan& b) {
                               return a.groups[model] < b.groups[model];
                             }));
    }
  }

  double Value() const { return m_choice.Value(); }

  Allocation Run() {
    for (int round = 0; round < kMostRounds; ++round) {
      bool better = false;
      for (std::size_t d = 0; d < m_fillings.size(); ++d) {
        better = ImproveOne(d) || better;
      }
      if (!better && (!m_small || !ImproveTogether())) break;
    }
    return Chosen();
  }

 private:
  double Threshold() const {
    return m_choice.Value() + kLeastGain * m_choice.all();
  }

  bool ImproveOne(std::size_t d) {
    DomainPlan before = m_choice.chosen(d);
    DomainPlan best = before;
    double best_value = Threshold();
    for (const DomainPlan& plan : m_fillings[d]) {
      m_choice.Choose(d, plan);
      double value = m_choice.Value();
      if (value > best_value) {
        best_value = value;
        best = plan;
      }
    }
    m_choice.Choose(d, best);
    return best != before;
  }

  /// Changes one domain and lets each other one answer to it.
  bool ImproveTogether() {
    double before = Threshold();
    Allocation old = Chosen();
    for (std::size_t a = 0; a < m_fillings.size(); ++a) {
      for (const DomainPlan& plan : m_fillings[a]) {
        if (plan == old[a]) continue;
        m_choice.Choose(a, plan);
        for (std::size_t b = 0; b < m_fillings.size(); ++b) {
          if (b != a) ImproveOne(b);
        }
        if (m_choice.Value() > before) return true;
        for (std::size_t d = 0; d < old.size(); ++d) {
          m_choice.Choose(d, old[d]);
        }
      }
    }
    return false;
  }

  Allocation Chosen() const {
    Allocation allocation;
    for (std::size_t d = 0; d < m_fillings.size(); ++d) {
      allocation.push_back(m_choice.chosen(d));
    }
    return allocation;
  }

  Choice m_choice;
  bool m_small = false;  ///< Few enough plans to try changes together.
  std::vector<std::vector<DomainPlan>> m_fillings;  ///< By domain.
};

}  // namespace

double ServedPart(double coverage) {
  return 1.0 - std::exp(-kSteepness * std::max(0.0, coverage));
}

double AllocationValue(const std::vector<ModelNeed>& needs,
                       const std::vector<DomainHosts>& domains,
                       const Allocation& allocation,
                       const AllocationOptions& options) {
  Choice choice(needs, domains, options);
  for (std::size_t d = 0; d < domains.size(); ++d) {
    choice.Choose(d, allocation[d]);
  }
  return choice.Value();
}

Allocation AllocateGroups(const std::vector<ModelNeed>& needs,
                          const std::vector<DomainHosts>& domains,
                          const AllocationOptions& options) {
  Search search(needs, domains, options);
  Allocation best = search.Run();
  double best_value = search.Value();
  for (std::size_t model = 0; model < needs.size(); ++model) {
    search.FillWith(model);
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
  std::vector<std::vector<DomainPlan>> fillings;
  for (const DomainHosts& domain : domains) {
    fillings.push_back(Fillings(needs, domain));
  }
  std::vector<std::size_t> index(domains.size(), 0);
  Allocation best;
  double best_value = 0.0;
  Choice choice(needs, domains, options);
  while (true) {
    Allocation allocation;
    for (std::size_t d = 0; d < domains.size(); ++d) {
      allocation.push_back(fillings[d][index[d]]);
      choice.Choose(d, allocation.back());
    }
    double value = choice.Value();
    if (best.empty() || value > best_value) {
      best = allocation;
      best_value = value;
    }
    std::size_t d = 0;
    while (d < domains.size() && ++index[d] == fillings[d].size()) {
      index[d++] = 0;
    }
    if (d == domains.size()) return best;
  }
}

}  // namespace clementine
