// The value of an allocation depends on the domains only through the number of
// groups of each model, so one domain's choice is compared with the others'
// sums. A change counts with its cost: a group whose hosts have to load weights
// serves for less of the time that is looked ahead, and a group that is closed
// loses what its hosts could have served until they serve again.
//
// One domain at a time can get stuck where two would have to change together
// (one gives a group of the large model up, another takes it), so pairs of
// domains are tried when single ones bring nothing more.

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

using Counts = std::vector<int>;

/// All ways to fill a domain with groups.
void ListFillings(const std::vector<ModelNeed>& needs, std::size_t model,
                  int hosts, Counts* counts, std::vector<Counts>* fillings) {
  if (model == needs.size()) {
    fillings->push_back(*counts);
    return;
  }
  int size = std::max(1, needs[model].hosts_per_group);
  for (int groups = 0; groups * size <= hosts; ++groups) {
    (*counts)[model] = groups;
    ListFillings(needs, model + 1, hosts - groups * size, counts, fillings);
  }
  (*counts)[model] = 0;
}

std::vector<Counts> Fillings(const std::vector<ModelNeed>& needs,
                             const DomainHosts& domain) {
  if (domain.fixed) return {domain.standing};
  std::vector<Counts> fillings;
  Counts counts(needs.size(), 0);
  ListFillings(needs, 0, domain.hosts, &counts, &fillings);
  return fillings;
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

/// The choice being evaluated or improved.
class Choice {
 public:
  Choice(const std::vector<ModelNeed>& needs,
         const std::vector<DomainHosts>& domains,
         const AllocationOptions& options)
      : m_needs(needs), m_domains(domains), m_options(options) {
    std::map<std::string, std::size_t> centres;
    for (const DomainHosts& domain : domains) {
      m_centre.push_back(centres.try_emplace(domain.data_centre, centres.size())
                             .first->second);
      m_chosen.emplace_back(needs.size(), 0);
    }
    m_sums.groups.assign(needs.size(), 0.0);
    m_sums.counts.assign(needs.size(), 0.0);
    m_sums.domain_squares.assign(needs.size(), 0.0);
    m_sums.by_centre.assign(centres.size(), m_sums.counts);
    for (const ModelNeed& need : needs) {
      if (need.busy_groups > 0.0) m_all += need.requests;
    }
  }

  const Counts& chosen(std::size_t d) const { return m_chosen[d]; }
  double all() const { return m_all; }

  void Choose(std::size_t d, const Counts& counts) {
    Add(d, m_chosen[d], -1.0);
    m_chosen[d] = counts;
    Add(d, counts, 1.0);
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
  void Add(std::size_t d, const Counts& counts, double sign) {
    const DomainHosts& domain = m_domains[d];
    for (std::size_t model = 0; model < m_needs.size(); ++model) {
      double groups = counts[model];
      m_sums.counts[model] += sign * groups;
      m_sums.domain_squares[model] += sign * groups * groups;
      m_sums.by_centre[m_centre[d]][model] += sign * groups;
      if (!m_options.free_loads) {
        const ModelNeed& need = m_needs[model];
        int ready = domain.standing[model] +
                    domain.held[model] / std::max(1, need.hosts_per_group);
        std::chrono::duration<double> load = need.load_time + kChangeOver;
        groups -=
            std::max(0, counts[model] - ready) * std::min(1.0, load / kHorizon);
        int loads = (counts[model] - domain.standing[model]) *
                        std::max(1, need.hosts_per_group) -
                    domain.held[model];
        int closed = domain.standing[model] - counts[model];
        m_sums.change_cost += sign * (kLoadCost * std::max(0, loads) +
                                      kCloseCost * std::max(0, closed));
      }
      m_sums.groups[model] += sign * groups;
    }
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
  std::vector<std::size_t> m_centre;  ///< By domain.
  std::vector<Counts> m_chosen;       ///< By domain.
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
    for (std::size_t d = 0; d < domains.size(); ++d) {
      m_fillings.push_back(Fillings(needs, domains[d]));
      const std::vector<Counts>& fillings = m_fillings.back();
      bool possible = std::find(fillings.begin(), fillings.end(),
                                domains[d].standing) != fillings.end();
      m_choice.Choose(d, possible ? domains[d].standing : fillings.front());
    }
  }

  GroupCounts Run() {
    for (int round = 0; round < kMostRounds; ++round) {
      bool better = false;
      for (std::size_t d = 0; d < m_fillings.size(); ++d) {
        better = ImproveOne(d) || better;
      }
      if (!better && !ImprovePairs()) break;
    }
    GroupCounts counts;
    for (std::size_t d = 0; d < m_fillings.size(); ++d) {
      counts.push_back(m_choice.chosen(d));
    }
    return counts;
  }

 private:
  double Threshold() const {
    return m_choice.Value() + kLeastGain * m_choice.all();
  }

  bool ImproveOne(std::size_t d) {
    Counts before = m_choice.chosen(d);
    Counts best = before;
    double best_value = Threshold();
    for (const Counts& counts : m_fillings[d]) {
      m_choice.Choose(d, counts);
      double value = m_choice.Value();
      if (value > best_value) {
        best_value = value;
        best = counts;
      }
    }
    m_choice.Choose(d, best);
    return best != before;
  }

  bool ImprovePairs() {
    double before = Threshold();
    for (std::size_t a = 0; a < m_fillings.size(); ++a) {
      Counts old_a = m_choice.chosen(a);
      for (const Counts& counts : m_fillings[a]) {
        if (counts == old_a) continue;
        m_choice.Choose(a, counts);
        for (std::size_t b = a + 1; b < m_fillings.size(); ++b) {
          Counts old_b = m_choice.chosen(b);
          ImproveOne(b);
          if (m_choice.Value() > before) return true;
          m_choice.Choose(b, old_b);
        }
      }
      m_choice.Choose(a, old_a);
    }
    return false;
  }

  Choice m_choice;
  std::vector<std::vector<Counts>> m_fillings;  ///< By domain.
};

}  // namespace

double ServedPart(double coverage) {
  return 1.0 - std::exp(-kSteepness * std::max(0.0, coverage));
}

double AllocationValue(const std::vector<ModelNeed>& needs,
                       const std::vector<DomainHosts>& domains,
                       const GroupCounts& groups,
                       const AllocationOptions& options) {
  Choice choice(needs, domains, options);
  for (std::size_t d = 0; d < domains.size(); ++d) {
    choice.Choose(d, groups[d]);
  }
  return choice.Value();
}

GroupCounts AllocateGroups(const std::vector<ModelNeed>& needs,
                           const std::vector<DomainHosts>& domains,
                           const AllocationOptions& options) {
  return Search(needs, domains, options).Run();
}

GroupCounts AllocateByEnumeration(const std::vector<ModelNeed>& needs,
                                  const std::vector<DomainHosts>& domains,
                                  const AllocationOptions& options) {
  std::vector<std::vector<Counts>> fillings;
  for (const DomainHosts& domain : domains) {
    fillings.push_back(Fillings(needs, domain));
  }
  std::vector<std::size_t> index(domains.size(), 0);
  GroupCounts best;
  double best_value = 0.0;
  while (true) {
    GroupCounts groups;
    for (std::size_t d = 0; d < domains.size(); ++d) {
      groups.push_back(fillings[d][index[d]]);
    }
    double value = AllocationValue(needs, domains, groups, options);
    if (best.empty() || value > best_value) {
      best = groups;
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
