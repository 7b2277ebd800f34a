// Tests the control planes of one data centre, which divide watching and
// probing among them and exchange the results.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "testing/control_world.h"

using clementine::ControlWorld;
using clementine::milliseconds;
using clementine::WorldOptions;

namespace {

/// Time allowed for verdicts to reach all daemons. One step of the simulation
/// is 100 ms.
constexpr milliseconds kSpreadTime{1'000};

WorldOptions ManyDaemons(int daemons) {
  WorldOptions options;
  options.daemons = daemons;
  options.domains = 2;
  options.hosts_per_domain = 4;
  return options;
}

int DaemonsWithOpenGroups(const ControlWorld& world, int groups) {
  int count = 0;
  for (std::size_t i = 0; i < world.daemons.size(); ++i) {
    if (world.OpenGroups(i) == groups) ++count;
  }
  return count;
}

void CheckNoViolations(const ControlWorld& world) {
  for (const std::string& violation : world.violations) FAIL_CHECK(violation);
}

}  // namespace

// Guards against daemons that don't watch the platform themselves and miss
// configuration, placement or the verdicts that open groups.
TEST_CASE("groups open at all daemons although only some watch and probe") {
  ControlWorld world(ManyDaemons(12));
  world.spread_time = kSpreadTime;
  world.StoreConfiguration(clementine::WorldConfiguration(2, 3), 1);
  world.Run(milliseconds(60'000));
  CHECK(DaemonsWithOpenGroups(world, 2) == 12);
  for (const auto& daemon : world.daemons) CHECK(daemon.generation == 1);
  int before = world.probes;
  world.Run(milliseconds(20'000));
  // Three daemons and the lease holder probe each of 8 hosts once a second.
  CHECK(world.probes - before <= 8 * 4 * 20 * 5 / 4);
  CheckNoViolations(world);
}

// Guards against a group that stays open at a daemon that doesn't probe the
// failed host itself.
TEST_CASE("all daemons close a group when one of its hosts fails") {
  ControlWorld world(ManyDaemons(12));
  world.spread_time = kSpreadTime;
  world.StoreConfiguration(clementine::WorldConfiguration(1, 4), 1);
  world.Run(milliseconds(60'000));
  REQUIRE(DaemonsWithOpenGroups(world, 1) == 12);
  auto group = world.StoredPlacement().groups.begin()->second;
  world.Kill(group.hosts[1]);
  world.Run(milliseconds(3'000) + kSpreadTime);
  CHECK(DaemonsWithOpenGroups(world, 0) == 12);
  CheckNoViolations(world);
}

// Guards against a leaving host that gets new requests from daemons that don't
// probe it.
TEST_CASE("all daemons stop using a leaving host within 3 s") {
  ControlWorld world(ManyDaemons(12));
  world.spread_time = kSpreadTime;
  world.StoreConfiguration(clementine::WorldConfiguration(1, 4), 1);
  world.Run(milliseconds(60'000));
  REQUIRE(DaemonsWithOpenGroups(world, 1) == 12);
  auto group = world.StoredPlacement().groups.begin()->second;
  world.SetLeaving(group.hosts[2]);
  world.Run(milliseconds(3'000));
  for (const auto& daemon : world.daemons) {
    for (const auto& view : daemon.views) CHECK((view.leaving || !view.open));
  }
}

// Guards against a change that reaches only the daemons that watch the
// platform.
TEST_CASE("a change is in force at 40 daemons within 9 s") {
  ControlWorld world(ManyDaemons(40));
  world.spread_time = kSpreadTime;
  world.StoreConfiguration(clementine::WorldConfiguration(2, 3), 1);
  world.Run(milliseconds(60'000));
  for (std::uint64_t generation = 2; generation <= 6; ++generation) {
    auto configuration = clementine::WorldConfiguration(2, 3);
    configuration.groups["chat"].replicas =
        1 + static_cast<int>(generation % 2);
    world.StoreConfiguration(configuration, generation);
    world.Run(milliseconds(9'000));
    for (const auto& daemon : world.daemons) {
      CHECK(daemon.generation == generation);
    }
  }
  CheckNoViolations(world);
}

// Guards against a new daemon that can't open groups during a platform outage.
TEST_CASE("a daemon that starts during a platform outage opens the groups") {
  ControlWorld world(ManyDaemons(3));
  world.StoreConfiguration(clementine::WorldConfiguration(2, 3), 4);
  world.Run(milliseconds(40'000));
  REQUIRE(DaemonsWithOpenGroups(world, 2) == 3);
  world.platform_down = true;
  world.Run(milliseconds(20'000));
  world.Restart(2);
  world.Run(milliseconds(10'000));
  CHECK(world.daemons[2].generation == 4);
  CHECK(world.OpenGroups(2) == 2);
  CheckNoViolations(world);
}

// Guards against a partition that leaves one side without configuration, or
// with groups opened or closed by outdated verdicts of the other side.
TEST_CASE("two sides of a partitioned data centre keep serving and rejoin") {
  ControlWorld world(ManyDaemons(8));
  world.spread_time = kSpreadTime;
  world.StoreConfiguration(clementine::WorldConfiguration(2, 3), 1);
  world.Run(milliseconds(60'000));
  world.is_link_broken = [](std::size_t from, std::size_t to) {
    return (from < 4) != (to < 4);
  };
  world.Run(milliseconds(20'000));
  CHECK(DaemonsWithOpenGroups(world, 2) == 8);
  world.StoreConfiguration(clementine::WorldConfiguration(1, 3), 2);
  world.Run(milliseconds(9'000));
  for (const auto& daemon : world.daemons) CHECK(daemon.generation == 2);
  world.is_link_broken = nullptr;
  world.Run(milliseconds(30'000));
  for (const auto& daemon : world.daemons) CHECK(daemon.generation == 2);
  CheckNoViolations(world);
}
