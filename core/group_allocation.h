// Chooses how many groups of each model every fabric domain should hold so that
// the hosts serve the most requests. All hosts of a group are in one domain.
#ifndef CORE_GROUP_ALLOCATION_H_
#define CORE_GROUP_ALLOCATION_H_

#include <string>
#include <vector>

#include "core/core.h"

namespace clementine {

/// The demand for one model and the resources of its groups.
struct ModelNeed {
  int hosts_per_group = 1;
  double busy_groups = 0.0;  ///< Groups that the requests keep busy.
  double requests = 0.0;     ///< Per second, or any number proportional to it.
  /// Fraction of the time in which no host of a group is missing.
  double availability = 1.0;
  /// Average fraction of the hosts that are lost and not yet replaced.
  double missing_host_fraction = 0.0;
  milliseconds load_time{0};
};

/// Usable hosts of a fabric domain, by their current use. The vectors are
/// indexed by model, in the order of the needs.
struct DomainHosts {
  std::string name;
  std::string data_centre;
  int hosts = 0;                   ///< All, including those in groups.
  std::vector<int> active_groups;  ///< Groups that serve or are being formed.
  /// Hosts that have or load a model's weights, without those that serve the
  /// model in an active group.
  std::vector<int> staged_hosts;
  bool is_fixed = false;  ///< Unreachable now; keeps its active groups.

  friend bool operator==(const DomainHosts&, const DomainHosts&) = default;
};

/// The groups that one domain should hold.
struct DomainPlan {
  std::vector<int> groups;      ///< By model.
  std::size_t spare_model = 0;  ///< Index of the model that spares should hold.

  friend bool operator==(const DomainPlan&, const DomainPlan&) = default;
};

/// By domain, in the order of the input.
using Allocation = std::vector<DomainPlan>;

struct AllocationOptions {
  /// Loads of weights are instantaneous and without cost.
  bool free_loads = false;
};

/// Returns the fraction of a model's requests that is served in time if the
/// number of serving groups is `coverage` times the number that the requests
/// keep busy. The function is concave: groups beyond the demand only shorten
/// waiting times and compensate for losses.
double ServedFraction(double coverage);

/// Returns the value of an allocation, in the unit of ModelNeed::requests: a
/// weighted mean of the number of requests that are served and of the number
/// that would be served if every model were served like the worst-served one,
/// minus the cost of changing the active groups and the cost of models whose
/// groups are concentrated in few data centres and domains.
double AllocationValue(const std::vector<ModelNeed>& needs,
                       const std::vector<DomainHosts>& domains,
                       const Allocation& allocation,
                       const AllocationOptions& options);

/// Returns the best allocation found by local search from several starts: the
/// active groups, and for each model the allocation with the most groups of
/// that model. Each search ends when no change of one domain, with the
/// responses of the other domains, improves the value, or after a fixed number
/// of rounds. In large fleets the responses of other domains are not tried.
Allocation AllocateGroups(const std::vector<ModelNeed>& needs,
                          const std::vector<DomainHosts>& domains,
                          const AllocationOptions& options);

/// Returns the best of all allocations. The time grows exponentially with the
/// number of domains; tests compare AllocateGroups with it.
Allocation AllocateByEnumeration(const std::vector<ModelNeed>& needs,
                                 const std::vector<DomainHosts>& domains,
                                 const AllocationOptions& options);

}  // namespace clementine

#endif  // CORE_GROUP_ALLOCATION_H_
