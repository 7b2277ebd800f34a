// The planner alone: one situation for each test.

#include "core/placement.h"

#include <doctest/doctest.h>

#include "testing/control_world.h"

namespace clementine {
namespace {

/// Hosts f0-0.. in each domain, all idle; plans are applied to `input`.
struct Site {
  Site(int domains, int hosts, int replicas, int per_replica)
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
    CHECK(result.next.DoubleHosts().empty());
    input.current = result.next;
    return result;
  }

  /// Every placed group confirms; every host outside is idle.
  void Settle() {
    std::set<std::string> members;
    for (const auto& [name, group] : input.current.groups) {
      input.groups[name].present = true;
      members.insert(group.hosts.begin(), group.hosts.end());
    }
    for (auto& [name, facts] : input.hosts) {
      facts.idle = facts.up && members.count(name) == 0;
    }
  }

  void Start() {
    Plan();
    Settle();
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
  // Guards against groups that span domains when no domain has room.
  Site site(3, 2, 1, 3);
  CHECK(site.Plan().next.groups.empty());
  Site fits(3, 3, 3, 3);
  fits.Plan();
  CHECK(fits.input.current.groups.size() == 3);
}

TEST_CASE("a failed host is replaced by a spare of its domain") {
  // Guards against a reuse of the unreachable host and against an old epoch.
  Site site(2, 4, 1, 3);
  site.Start();
  std::string failed = site.Group("chat/0").hosts[1];
  std::string domain = site.Group("chat/0").fabric_domain;
  std::uint64_t epoch = site.Group("chat/0").epoch;
  site.Fail(failed);
  site.Plan();
  CHECK(site.Group("chat/0").fabric_domain == domain);
  CHECK(site.Group("chat/0").epoch == epoch + 1);
  CHECK(site.Group("chat/0").phase == GroupPhase::kLoading);
  CHECK(site.input.current.released.count(failed) == 1);
  site.input.hosts.at(failed).failed = false;
  site.Plan();
  CHECK(site.input.current.released.count(failed) == 1);
  site.input.hosts.at(failed).idle = true;
  site.Plan();
  CHECK(site.input.current.released.empty());
}

TEST_CASE("a group without spares moves only where its replica fits") {
  // Guards against giving up a group without gain.
  Site site(1, 3, 1, 3);
  site.Start();
  site.Fail("f0-0");
  PlannerResult result = site.Plan();
  CHECK(result.next.groups.count("chat/0") == 1);
  CHECK(result.waiting.count("chat/0") == 1);
  Site two(2, 3, 1, 3);
  two.Start();
  two.Fail(two.Group("chat/0").hosts[0]);
  std::string domain = two.Group("chat/0").fabric_domain;
  two.Plan();
  CHECK(two.Group("chat/0").fabric_domain != domain);
}

TEST_CASE("of two broken groups one gives its hosts to the other") {
  // Guards against two groups that both stay down for one spare.
  Site site(1, 6, 2, 3);
  site.Start();
  site.Fail(site.Group("chat/0").hosts[0]);
  site.Fail(site.Group("chat/1").hosts[0]);
  site.Plan();
  CHECK(site.input.current.groups.size() == 1);
  site.Settle();
  site.Plan();
  CHECK(site.Group("chat/0").hosts.size() == 3);
  CHECK(site.Group("chat/0").phase == GroupPhase::kLoading);
}

TEST_CASE("a version change replaces one replica at a time, spares first") {
  // Guards against a roll-out that takes capacity away.
  Site site(3, 2, 2, 2);
  site.Start();
  site.configuration.models["m"].version = "2";
  int fewest = 99;
  for (int step = 0; step < 12; ++step) {
    site.Plan();
    int serving = 0;
    for (const auto& [name, group] : site.input.current.groups) {
      serving += group.phase == GroupPhase::kServing ? 1 : 0;
      site.input.groups[name].drained = group.phase == GroupPhase::kDraining;
    }
    fewest = std::min(fewest, serving);
    site.Settle();
  }
  CHECK(fewest == 2);
  CHECK(site.input.current.groups.size() == 2);
  for (const auto& [name, group] : site.input.current.groups) {
    CHECK(group.version == "2");
  }
}

TEST_CASE("without spares one replica drains before its hosts are reused") {
  // Guards against two replicas down at once and against a cut-off request.
  Site site(2, 2, 2, 2);
  site.Start();
  site.configuration.models["m"].version = "2";
  site.Plan();
  int draining = 0;
  for (const auto& [name, group] : site.input.current.groups) {
    draining += group.phase == GroupPhase::kDraining ? 1 : 0;
  }
  CHECK(draining == 1);
  site.Plan();
  CHECK(site.input.current.groups.size() == 2);
}

TEST_CASE("dark domains and a cut-off holder cause no moves") {
  // Guards against a storm of moves after a switch restart.
  Site site(2, 3, 1, 3);
  site.Start();
  std::string domain = site.Group("chat/0").fabric_domain;
  for (const std::string& host : site.Group("chat/0").hosts) {
    site.Fail(host);
  }
  Placement before = site.input.current;
  site.input.held_domains = {domain};
  site.Plan();
  CHECK(site.input.current == before);
  site.input.held_domains.clear();
  site.input.suspended = true;
  site.Plan();
  CHECK(site.input.current == before);
  site.input.suspended = false;
  site.Plan();
  CHECK(site.Group("chat/0").fabric_domain != domain);
}

TEST_CASE("loads are bounded and the most needed group is loaded first") {
  // Guards against an overload of the weight store.
  Site site(12, 2, 10, 2);
  GroupSpec other{"code", "m", "dc", 1};
  site.configuration.groups["code"] = other;
  PlannerResult result = site.Plan();
  CHECK(static_cast<int>(result.next.groups.size()) ==
        site.input.limits.max_loading);
  CHECK(result.next.groups.count("code/0") == 1);
  CHECK(result.waiting.at("chat") == "load slot");
}

TEST_CASE("the weights choose between spread and packed spares") {
  // Guards against a setting without effect: with weight on downtime the
  // domain that keeps spares is taken, with weight on stranded accelerators
  // the one that leaves no fragment.
  Site site(2, 4, 1, 4);
  site.configuration.models["m"].hosts_per_replica = 4;
  for (const char* extra : {"f1-4", "f1-5"}) {
    HostFacts facts = site.input.hosts.at("f1-0");
    facts.info.host = extra;
    site.input.hosts[extra] = facts;
  }
  site.configuration.placement = {1.0, 0.0};
  CHECK(PlanPlacement(site.input).next.groups.at("chat/0").fabric_domain ==
        "f1");
  site.configuration.placement = {0.1, 1.0};
  CHECK(PlanPlacement(site.input).next.groups.at("chat/0").fabric_domain ==
        "f0");
}

TEST_CASE("a placement survives its stored form; a damaged one is refused") {
  // Guards against a reader that acts on a host listed twice.
  Site site(1, 4, 2, 2);
  site.Plan();
  Placement placement = site.input.current;
  CHECK(DecodePlacement(EncodePlacement(placement)) == placement);
  placement.released[placement.groups.at("chat/0").hosts[0]] = {"x", 1};
  CHECK_THROWS(DecodePlacement(EncodePlacement(placement)));
  CHECK_THROWS(DecodePlacement("{}"));
}

}  // namespace
}  // namespace clementine
