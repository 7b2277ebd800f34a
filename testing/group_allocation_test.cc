#include "core/group_allocation.h"

#include <doctest/doctest.h>

#include <random>

namespace clementine {
namespace {

ModelNeed Need(int hosts, double busy, double requests) {
  return {hosts, busy, requests, 1.0, 0.0, milliseconds(14'000)};
}

DomainHosts Domain(int hosts, std::vector<int> active_groups = {0, 0},
                   std::vector<int> staged_hosts = {0, 0}) {
  return {"d", "dc", hosts, std::move(active_groups), std::move(staged_hosts)};
}

std::vector<int> Totals(const Allocation& allocation) {
  std::vector<int> totals(allocation.front().groups.size(), 0);
  for (const DomainPlan& plan : allocation) {
    for (std::size_t model = 0; model < plan.groups.size(); ++model) {
      totals[model] += plan.groups[model];
    }
  }
  return totals;
}

constexpr AllocationOptions kFreeLoads{true};

}  // namespace

// Guards against allocating hosts in proportion to the group size: of two
// models with the same work, the one with four hosts per group had 11 groups
// for 4 busy ones, and the one with two hosts per group had 8 groups for 8 busy
// ones.
TEST_CASE("allocation follows the work, not the group size") {
  std::vector<ModelNeed> needs = {Need(4, 4.0, 43.0), Need(2, 8.2, 120.0)};
  std::vector<DomainHosts> domains(6, Domain(10));
  std::vector<int> totals = Totals(AllocateGroups(needs, domains, kFreeLoads));
  CHECK(totals[0] >= 5);
  CHECK(totals[0] <= 8);
  CHECK(totals[1] >= 14);
}

// Guards against poor service of a model with large groups, for example of 16
// hosts: each lost host makes a larger fraction of its capacity unavailable.
TEST_CASE("allocation adds groups to a model with lower availability") {
  std::vector<ModelNeed> needs = {Need(8, 3.0, 60.0), Need(2, 12.0, 120.0)};
  std::vector<DomainHosts> domains(6, Domain(18));
  int before = Totals(AllocateGroups(needs, domains, kFreeLoads))[0];
  needs[0].availability = 0.6;
  needs[1].availability = 0.9;
  CHECK(Totals(AllocateGroups(needs, domains, kFreeLoads))[0] > before);
}

// Guards against a model without groups in a large fleet, where domains are
// improved one at a time: the first group of a model was not worth the cost of
// its concentration in one domain.
TEST_CASE("allocation gives every model groups in a fleet of 166 domains") {
  std::vector<ModelNeed> needs = {Need(8, 100.0, 60.0), Need(2, 400.0, 440.0)};
  std::vector<DomainHosts> domains(166, Domain(18));
  std::vector<int> totals = Totals(AllocateGroups(needs, domains, kFreeLoads));
  CHECK(totals[0] >= 110);
  CHECK(totals[0] <= 220);
  CHECK(totals[1] >= 500);
}

// Guards against domains without spares: if 18 hosts form two groups of eight
// and one of two, the first loss leaves seven hosts idle.
TEST_CASE("allocation keeps spares for large groups when hosts are lost") {
  std::vector<ModelNeed> needs = {Need(8, 4.0, 60.0), Need(2, 12.0, 120.0)};
  std::vector<DomainHosts> domains(6, Domain(18));
  auto spares = [&] {
    int count = 0;
    for (const DomainPlan& plan : AllocateGroups(needs, domains, kFreeLoads)) {
      int unused = 18 - 8 * plan.groups[0] - 2 * plan.groups[1];
      if (plan.groups[0] > 0 && plan.spare_model == 0) count += unused;
    }
    return count;
  };
  CHECK(spares() == 0);
  for (ModelNeed& need : needs) need.missing_host_fraction = 0.15;
  CHECK(spares() >= 4);
}

// Guards against a model without groups because groups of another model add
// more value.
TEST_CASE("allocation gives every model groups when hosts are short") {
  std::vector<ModelNeed> needs = {Need(4, 8.0, 10.0), Need(2, 16.0, 120.0)};
  std::vector<DomainHosts> domains(3, Domain(10));
  std::vector<int> totals = Totals(AllocateGroups(needs, domains, kFreeLoads));
  CHECK(totals[0] >= 1);
}

// Guards against unused hosts in each domain: groups of 4 and 3 hosts leave 2
// of 9 unused.
TEST_CASE("allocation leaves few hosts of a domain unused") {
  std::vector<ModelNeed> needs = {Need(4, 5.0, 60.0), Need(3, 5.0, 90.0)};
  std::vector<DomainHosts> domains(6, Domain(9));
  int used = 0;
  for (const DomainPlan& plan : AllocateGroups(needs, domains, kFreeLoads)) {
    used += 4 * plan.groups[0] + 3 * plan.groups[1];
  }
  CHECK(used >= 51);
}

// Guards against a data centre without groups of a model. When it is
// partitioned, it has to serve its own callers.
TEST_CASE("allocation gives each data centre groups of both models") {
  std::vector<ModelNeed> needs = {Need(4, 5.0, 60.0), Need(3, 5.0, 90.0)};
  std::vector<DomainHosts> domains(6, Domain(9));
  for (std::size_t d = 0; d < domains.size(); ++d) {
    domains[d].data_centre = "dc" + std::to_string(d / 2);
  }
  Allocation plans = AllocateGroups(needs, domains, kFreeLoads);
  for (std::size_t d = 0; d < domains.size(); d += 2) {
    CAPTURE(d);
    CHECK(plans[d].groups[0] + plans[d + 1].groups[0] > 0);
    CHECK(plans[d].groups[1] + plans[d + 1].groups[1] > 0);
  }
}

// Guards against domains that exchange their plans while hosts still register.
// The active groups of one domain were chosen together with the others' plans.
TEST_CASE("allocation keeps active groups while loads are free") {
  std::vector<ModelNeed> needs = {Need(4, 4.2, 0.37), Need(3, 4.3, 0.63)};
  std::vector<DomainHosts> domains(6, Domain(9));
  std::vector<int> planned = Totals(AllocateGroups(needs, domains, kFreeLoads));
  for (std::size_t d = 0; d < domains.size(); ++d) {
    Allocation plans = AllocateGroups(needs, domains, kFreeLoads);
    for (std::size_t before = 0; before < d; ++before) {
      CHECK(plans[before].groups == domains[before].active_groups);
    }
    domains[d].active_groups = plans[d].groups;
  }
  CHECK(Totals(AllocateGroups(needs, domains, kFreeLoads)) == planned);
}

// Guards against groups that change model back and forth because of errors in
// the measured demand.
TEST_CASE("allocation keeps active groups when the gain is small") {
  std::vector<ModelNeed> needs = {Need(4, 4.0, 43.0), Need(2, 8.2, 120.0)};
  std::vector<DomainHosts> domains(6, Domain(10));
  Allocation first = AllocateGroups(needs, domains, kFreeLoads);
  for (std::size_t d = 0; d < domains.size(); ++d) {
    domains[d].active_groups = first[d].groups;
  }
  for (double error : {0.85, 1.15}) {
    needs[0].busy_groups = 4.0 * error;
    needs[0].requests = 43.0 * error;
    CHECK(AllocateGroups(needs, domains, {}) == first);
  }
}

// Guards against keeping surplus groups of one model while callers of another
// model are refused.
TEST_CASE("allocation closes a group where another model needs its hosts") {
  std::vector<ModelNeed> needs = {Need(4, 3.0, 30.0), Need(2, 20.0, 300.0)};
  std::vector<DomainHosts> domains(6, Domain(10, {2, 1}));
  std::vector<int> totals = Totals(AllocateGroups(needs, domains, {}));
  CHECK(totals[0] < 12);
  CHECK(totals[1] > 6);
}

// Compares the local search with the enumeration of all allocations.
TEST_CASE("allocation is within 1% of the best one") {
  std::mt19937_64 random(20261204);
  auto below = [&](std::uint64_t n) { return static_cast<int>(random() % n); };
  for (int round = 0; round < 300; ++round) {
    CAPTURE(round);
    int large = 2 + below(4);
    int small = 1 + below(3);
    std::vector<ModelNeed> needs = {
        Need(large, 0.5 + below(60) / 10.0, 1 + below(100)),
        Need(small, 0.5 + below(60) / 10.0, 1 + below(100))};
    std::vector<DomainHosts> domains;
    for (int d = 1 + below(3); d > 0; --d) {
      DomainHosts domain = Domain(1 + below(11));
      int left = domain.hosts;
      domain.active_groups[0] =
          below(static_cast<std::uint64_t>(left / large) + 1);
      left -= domain.active_groups[0] * large;
      domain.active_groups[1] =
          below(static_cast<std::uint64_t>(left / small) + 1);
      left -= domain.active_groups[1] * small;
      domain.staged_hosts[0] = below(static_cast<std::uint64_t>(left) + 1);
      domain.staged_hosts[1] = left - domain.staged_hosts[0];
      domains.push_back(domain);
    }
    for (ModelNeed& need : needs) need.missing_host_fraction = below(3) * 0.05;
    AllocationOptions options{below(2) == 0};
    double found = AllocationValue(
        needs, domains, AllocateGroups(needs, domains, options), options);
    double best = AllocationValue(
        needs, domains, AllocateByEnumeration(needs, domains, options),
        options);
    CHECK(found >= best - 0.01 * std::abs(best));
  }
}

}  // namespace clementine
