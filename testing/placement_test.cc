// Unit tests of the planner and of the placement encoding.

#include "core/placement.h"

#include <doctest/doctest.h>

#include "testing/control_world.h"

namespace clementine {
namespace {

/// Planner input in which all hosts are idle. Host h of domain d is named
/// "f<d>-<h>". Plans become the current placement of `input`.
struct PlannerFixture {
  PlannerFixture(int domains, int hosts, int replicas, int per_replica)
      : configuration(WorldConfiguration(replicas, per_replica)) {
    input.data_centre = "dc";
    input.configuration = &configuration;
    for (int d = 0; d < domains; ++d) {
      for (int h = 0; h < hosts; ++h) {
        HostFacts facts;
        facts.info.host = fmt::format("f{}-{}", d, h);
        facts.info.fabric_domain = fmt::format("f{}", d);
        facts.up = facts.idle = true;
        input.hosts[facts.info.host] = facts;
      }
    }
  }

  PlannerResult Plan() {
    PlannerResult result = PlanPlacement(input);
    CHECK(result.next.FindDuplicateHosts().empty());
    input.current = result.next;
    return result;
  }

  /// Confirms all placed groups, and makes all other reachable hosts idle.
  void ConfirmAll() {
    std::set<std::string> members;
    for (const auto& [name, group] : input.current.groups) {
      input.groups[name].present = true;
      members.insert(group.hosts.begin(), group.hosts.end());
    }
    for (auto& [name, facts] : input.hosts) {
      facts.idle = facts.up && members.count(name) == 0;
    }
  }

  void PlaceAll() {
    Plan();
    ConfirmAll();
    Plan();
  }

  void Fail(const std::string& host) {
    HostFacts& facts = input.hosts.at(host);
    facts.up = facts.idle = false;
    facts.failed = true;
  }

  const PlacedGroup& Group(const std::string& name) const {
    return input.current.groups.at(name);
  }

  Configuration configuration;
  PlannerInput input;
};

TEST_CASE("a replica's hosts share a fabric domain") {
  // Guards against groups that span domains when no domain has enough hosts.
  PlannerFixture fixture(3, 2, 1, 3);
  CHECK(fixture.Plan().next.groups.empty());
  PlannerFixture fits(3, 3, 3, 3);
  fits.Plan();
  CHECK(fits.input.current.groups.size() == 3);
}

TEST_CASE("a failed host is replaced by a spare of its domain") {
  // Guards against reusing the unreachable host or the old epoch.
  PlannerFixture fixture(2, 4, 1, 3);
  fixture.PlaceAll();
  std::string failed = fixture.Group("chat/0").hosts[1];
  std::string domain = fixture.Group("chat/0").fabric_domain;
  std::uint64_t epoch = fixture.Group("chat/0").epoch;
  fixture.Fail(failed);
  fixture.Plan();
  CHECK(fixture.Group("chat/0").fabric_domain == domain);
  CHECK(fixture.Group("chat/0").epoch == epoch + 1);
  CHECK(fixture.Group("chat/0").phase == GroupPhase::kLoading);
  CHECK(fixture.input.current.released.count(failed) == 1);
  fixture.input.hosts.at(failed).failed = false;
  fixture.Plan();
  CHECK(fixture.input.current.released.count(failed) == 1);
  fixture.input.hosts.at(failed).idle = true;
  fixture.Plan();
  CHECK(fixture.input.current.released.empty());
}

TEST_CASE("a group without spares moves only where its replica fits") {
  // Guards against dissolving a group that cannot be placed elsewhere.
  PlannerFixture fixture(1, 3, 1, 3);
  fixture.PlaceAll();
  fixture.Fail("f0-0");
  PlannerResult result = fixture.Plan();
  CHECK(result.next.groups.count("chat/0") == 1);
  CHECK(result.waiting.count("chat/0") == 1);
  PlannerFixture two(2, 3, 1, 3);
  two.PlaceAll();
  two.Fail(two.Group("chat/0").hosts[0]);
  std::string domain = two.Group("chat/0").fabric_domain;
  two.Plan();
  CHECK(two.Group("chat/0").fabric_domain != domain);
}

TEST_CASE("one of two incomplete groups is dissolved to complete the other") {
  // Guards against two groups that both stay down for lack of one spare.
  PlannerFixture fixture(1, 6, 2, 3);
  fixture.PlaceAll();
  fixture.Fail(fixture.Group("chat/0").hosts[0]);
  fixture.Fail(fixture.Group("chat/1").hosts[0]);
  fixture.Plan();
  CHECK(fixture.input.current.groups.size() == 1);
  fixture.ConfirmAll();
  fixture.Plan();
  CHECK(fixture.Group("chat/0").hosts.size() == 3);
  CHECK(fixture.Group("chat/0").phase == GroupPhase::kLoading);
}

TEST_CASE("a version change replaces one replica at a time, spares first") {
  // Guards against a roll-out that reduces the number of serving replicas.
  PlannerFixture fixture(3, 2, 2, 2);
  fixture.PlaceAll();
  fixture.configuration.models["m"].version = "2";
  int min_serving = 99;
  for (int step = 0; step < 12; ++step) {
    fixture.Plan();
    int serving = 0;
    for (const auto& [name, group] : fixture.input.current.groups) {
      serving += group.phase == GroupPhase::kServing ? 1 : 0;
      fixture.input.groups[name].drained = group.phase == GroupPhase::kDraining;
    }
    min_serving = std::min(min_serving, serving);
    fixture.ConfirmAll();
  }
  CHECK(min_serving == 2);
  CHECK(fixture.input.current.groups.size() == 2);
  for (const auto& [name, group] : fixture.input.current.groups) {
    CHECK(group.version == "2");
  }
}

TEST_CASE("without spares one replica drains before its hosts are reused") {
  // Guards against two replicas down at once, and against aborting requests.
  PlannerFixture fixture(2, 2, 2, 2);
  fixture.PlaceAll();
  fixture.configuration.models["m"].version = "2";
  fixture.Plan();
  int draining = 0;
  for (const auto& [name, group] : fixture.input.current.groups) {
    draining += group.phase == GroupPhase::kDraining ? 1 : 0;
  }
  CHECK(draining == 1);
  fixture.Plan();
  CHECK(fixture.input.current.groups.size() == 2);
}

TEST_CASE("dark domains and a partitioned holder cause no moves") {
  // Guards against moving many groups after the restart of a network switch.
  PlannerFixture fixture(2, 3, 1, 3);
  fixture.PlaceAll();
  std::string domain = fixture.Group("chat/0").fabric_domain;
  for (const std::string& host : fixture.Group("chat/0").hosts) {
    fixture.Fail(host);
  }
  Placement before = fixture.input.current;
  fixture.input.held_domains = {domain};
  fixture.Plan();
  CHECK(fixture.input.current == before);
  fixture.input.held_domains.clear();
  fixture.input.suspended = true;
  fixture.Plan();
  CHECK(fixture.input.current == before);
  fixture.input.suspended = false;
  fixture.Plan();
  CHECK(fixture.Group("chat/0").fabric_domain != domain);
}

TEST_CASE("loads are limited and the highest priority group loads first") {
  // Guards against overloading the weight store.
  PlannerFixture fixture(12, 2, 10, 2);
  GroupSpec other{"code", "m", "dc", 1};
  fixture.configuration.groups["code"] = other;
  PlannerResult result = fixture.Plan();
  CHECK(static_cast<int>(result.next.groups.size()) ==
        fixture.input.limits.max_loading);
  CHECK(result.next.groups.count("code/0") == 1);
  CHECK(result.waiting.at("chat") == "load slot");
}

TEST_CASE("the weights choose between spread and packed spares") {
  // Guards against weights without effect. A high downtime weight selects the
  // domain that keeps spares; a high weight on stranded accelerators selects
  // the domain in which no spare is left over.
  PlannerFixture fixture(2, 4, 1, 4);
  fixture.configuration.models["m"].hosts_per_replica = 4;
  for (const char* extra : {"f1-4", "f1-5"}) {
    HostFacts facts = fixture.input.hosts.at("f1-0");
    facts.info.host = extra;
    fixture.input.hosts[extra] = facts;
  }
  fixture.configuration.placement = {1.0, 0.0};
  CHECK(PlanPlacement(fixture.input).next.groups.at("chat/0").fabric_domain ==
        "f1");
  fixture.configuration.placement = {0.1, 1.0};
  CHECK(PlanPlacement(fixture.input).next.groups.at("chat/0").fabric_domain ==
        "f0");
}

TEST_CASE("a placement is decoded as encoded and a damaged one is rejected") {
  // Guards against a reader that accepts a placement with a host listed twice.
  PlannerFixture fixture(1, 4, 2, 2);
  fixture.Plan();
  Placement placement = fixture.input.current;
  CHECK(DecodePlacement(EncodePlacement(placement)) == placement);
  placement.released[placement.groups.at("chat/0").hosts[0]] = {"x", 1};
  CHECK_THROWS(DecodePlacement(EncodePlacement(placement)));
  CHECK_THROWS(DecodePlacement("{}"));
}

}  // namespace
}  // namespace clementine
