// Tests complete control planes against the simulated platform and engines.

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "config/config.h"
#include "testing/control_world.h"

namespace clementine {
namespace {

using std::chrono::seconds;

std::string Violations(const ControlWorld& world) {
  return world.violations.empty() ? "" : world.violations.front();
}

TEST_CASE("groups are placed, loaded and opened at every daemon") {
  // Guards against a group that never opens, and against unneeded load orders.
  ControlWorld world({});
  world.StoreConfiguration(WorldConfiguration(2, 2), 1);
  world.Run(seconds(12));
  CHECK(world.OpenGroups(0) == 2);
  CHECK(world.OpenGroups(1) == 2);
  CHECK(world.loads == 4);
  CHECK(Violations(world) == "");
}

TEST_CASE("a failed host is replaced and its return moves no group") {
  // Guards against a group that stays closed, and against moving the group back
  // when the host returns.
  ControlWorld world({});
  world.StoreConfiguration(WorldConfiguration(2, 2), 1);
  world.Run(seconds(12));
  std::string failed = world.StoredPlacement().groups.at("chat/0").hosts[0];
  world.Kill(failed);
  world.Run(seconds(20));
  CHECK(world.OpenGroups(0) == 2);
  int loads = world.loads;
  world.Revive(failed);
  world.Run(seconds(60));
  CHECK(world.loads == loads);
  CHECK(world.StoredPlacement().released.empty());
  CHECK(Violations(world) == "");
}

TEST_CASE("an engine that restarts in place is loaded again") {
  // Guards against replacing a host where loading the model again suffices.
  ControlWorld world({});
  world.StoreConfiguration(WorldConfiguration(1, 2), 1);
  world.Run(seconds(12));
  std::string host = world.StoredPlacement().groups.at("chat/0").hosts[0];
  world.Kill(host);
  world.Run(seconds(2));
  world.Revive(host);
  world.Run(seconds(10));
  CHECK(world.OpenGroups(1) == 1);
  CHECK(world.StoredPlacement().groups.at("chat/0").epoch == 1);
}

TEST_CASE("groups stay open during a platform outage and calls are limited") {
  // Guards against closing groups because the platform is unavailable, and
  // against retry storms.
  ControlWorld world({});
  world.StoreConfiguration(WorldConfiguration(2, 2), 1);
  world.Run(seconds(12));
  world.platform_down = true;
  world.Run(seconds(300));
  CHECK(world.OpenGroups(0) == 2);
  CHECK(world.Holder() == -1);
  auto calls = ParseJson(
      world.daemons[0].plane->status(world.now).json)["platform_calls"];
  world.platform_down = false;
  world.Run(seconds(30));
  CHECK(world.Holder() >= 0);
  int loads = world.loads;
  CHECK(loads == 4);
  int total = 0;
  for (const auto& [kind, count] : calls.items()) {
    total += count.get<int>();
  }
  CHECK(total < 600);
}

TEST_CASE("damaged, missing and lower configurations change nothing") {
  // Guards against a configuration that is applied in part, or reverted to a
  // lower generation.
  ControlWorld world({});
  world.StoreConfiguration(WorldConfiguration(1, 2), 5);
  world.Run(seconds(3));
  CHECK(world.daemons[0].generation == 5);
  ConfigHead head;
  head.generation = 6;
  head.apply_id = "x";
  head.sections["model m"] = TextDigest("absent");
  world.Store("config/head", EncodeHead(head));
  world.Run(seconds(5));
  CHECK(world.daemons[0].generation == 5);
  world.Store("config/section/" + TextDigest("absent"), "damaged");
  world.Run(seconds(15));
  CHECK(world.daemons[0].generation == 5);
  world.StoreConfiguration(WorldConfiguration(1, 2), 4);
  world.Run(seconds(3));
  CHECK(world.daemons[0].generation == 5);
  world.StoreConfiguration(WorldConfiguration(2, 2), 7);
  world.Run(seconds(3));
  CHECK(world.daemons[0].generation == 7);
}

TEST_CASE("a leaving host is replaced after its group has drained") {
  // Guards against interrupted requests: a host is unloaded only when no
  // request runs on its group.
  ControlWorld world({});
  world.StoreConfiguration(WorldConfiguration(1, 2), 1);
  world.Run(seconds(12));
  Placement before = world.StoredPlacement();
  std::string leaving = before.groups.at("chat/0").hosts[0];
  for (const std::string& host : before.groups.at("chat/0").hosts) {
    world.engines.at(host).health.running = 1;
  }
  world.SetLeaving(leaving);
  world.Run(seconds(60));
  CHECK(world.OpenGroups(0) == 2);
  CHECK(world.engines.at(leaving).health.group == "chat/0");
  for (const std::string& host : before.groups.at("chat/0").hosts) {
    world.engines.at(host).health.running = 0;
  }
  world.Run(seconds(15));
  CHECK(world.engines.at(leaving).health.group.empty());
  CHECK(world.OpenGroups(0) == 1);
  CHECK(Violations(world) == "");
}

TEST_CASE("a draining daemon releases the lease before it expires") {
  // Guards against a data centre without a lease holder after each restart.
  ControlWorld world({});
  world.StoreConfiguration(WorldConfiguration(1, 2), 1);
  world.Run(seconds(12));
  int first = world.Holder();
  REQUIRE(first >= 0);
  WorldDaemon& daemon = world.daemons[static_cast<std::size_t>(first)];
  daemon.paused = true;
  daemon.backlog.push_back(DrainStarted{});
  world.Resume(static_cast<std::size_t>(first));
  world.Run(seconds(8));
  CHECK(world.Holder() == 1 - first);
}

TEST_CASE(
    "the status document has groups, hosts, measures and reasons for waiting") {
  // Guards against a status document without the reason why a group is closed.
  ControlWorld world({});
  world.StoreConfiguration(WorldConfiguration(1, 4), 1);
  world.Run(seconds(10));
  REQUIRE(world.objects.count("status/dc") == 1);
  auto status = ParseJson(world.objects["status/dc"].value);
  CHECK(status["groups"][0]["state"] == "missing");
  CHECK(status["groups"][0]["downtime_ms"].get<int>() > 5'000);
  CHECK(status["hosts"]["total"] == 6);
  CHECK(status["stranded_accelerators"] == 24);
  CHECK(status["lease"]["fence"] == 1);
  CHECK(status["generation_min"] == 1);
  CHECK(status["waiting_for"][0] == "chat: 4 spare hosts in one fabric domain");
}

}  // namespace
}  // namespace clementine
