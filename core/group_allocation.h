// Chooses how many groups of each model every fabric domain should hold, so
// that the hosts serve the most requests. Groups don't reach across domains.
#ifndef CORE_GROUP_ALLOCATION_H_
#define CORE_GROUP_ALLOCATION_H_

#include <string>
#include <vector>

#include "core/core.h"

namespace clementine {

/// What callers ask of one model, and what a group of it takes.
struct ModelNeed {
  int hosts_per_group = 1;
  double busy_groups = 0.0;  ///< Groups that the requests keep busy.
  double requests = 0.0;     ///< Per second, or any number in proportion.
  /// Part of the time in which no host of a group is missing.
  double up_part = 1.0;
  /// Part of the hosts that are lost and not yet replaced, at any time.
  double missing_part = 0.0;
  milliseconds load_time{0};
};

/// Hosts of a fabric domain that stay, by what they do. The vectors are by
/// model, in the order of the needs.
struct DomainHosts {
  std::string name;
  std::string data_centre;
  int hosts = 0;              ///< All, those in groups included.
  std::vector<int> standing;  ///< Groups that serve or form.
  std::vector<int> held;      ///< Other hosts that hold, or load, the weights.
  bool fixed = false;  ///< Keeps what stands, as it can't be reached now.

  friend bool operator==(const DomainHosts&, const DomainHosts&) = default;
};

/// What one domain should hold.
struct DomainPlan {
  std::vector<int> groups;  ///< By model.
  std::size_t spares = 0;   ///< Index of the model that the other hosts hold.

  friend bool operator==(const DomainPlan&, const DomainPlan&) = default;
};

/// By domain, in the order of the input.
using Allocation = std::vector<DomainPlan>;

struct AllocationOptions {
  /// Hosts load weights at once and without cost.
  bool free_loads = false;
};

/// Part of a model's requests that is served in time when `coverage` times the
/// groups stand that they would keep busy. Concave: the first groups are worth
/// most, and those beyond the demand only shorten waits and cover losses.
double ServedPart(double coverage);

/// Requests that are served with these groups, of which a part counts by the
/// worst-served model, less the cost of the changes from what stands and of
/// models whose groups stand in few data centres and domains.
double AllocationValue(const std::vector<ModelNeed>& needs,
                       const std::vector<DomainHosts>& domains,
                       const Allocation& allocation,
                       const AllocationOptions& options);

/// Improves what stands, and allocations with as many groups of one model as
/// there can be, a domain at a time, until no change of one domain, with the
/// others' answers, is worth more; the best of them.
Allocation AllocateGroups(const std::vector<ModelNeed>& needs,
                          const std::vector<DomainHosts>& domains,
                          const AllocationOptions& options);

/// The best of all allocations. The time grows exponentially with the domains;
/// tests check the other against it.
Allocation AllocateByEnumeration(const std::vector<ModelNeed>& needs,
                                 const std::vector<DomainHosts>& domains,
                                 const AllocationOptions& options);

}  // namespace clementine

#endif  // CORE_GROUP_ALLOCATION_H_
