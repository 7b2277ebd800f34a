// The control plane as a whole, against the stand-in world.

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
  // Guards against a group that never opens, and against extra orders.
  ControlWorld world({});
  world.StoreConfiguration(WorldConfiguration(2, 2), 1);
  world.Run(seconds(12));
  CHECK(world.OpenGroups(0) == 2);
  CHECK(world.OpenGroups(1) == 2);
  CHECK(world.loads == 4);
  CHECK(Violations(world) == "");
}

TEST_CASE("a failed host is replaced and its return causes no move") {
  // Guards against a group that stays down, and against moves on return.
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
  // Guards against a replacement where a reload is enough.
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

TEST_CASE("serving continues while the platform is down, and calls are few") {
  // Guards against gates that need the platform, and against call storms.
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
  // Guards against a partly applied or reverted configuration (I8).
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
  // Guards against interrupted requests (I7): unload follows running == 0.
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

TEST_CASE("a draining holder hands over without waiting for expiry") {
  // Guards against a data centre without a holder after each restart.
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

TEST_CASE("status names groups, hosts, measures and reasons for waiting") {
  // Guards against a status without a reason for a group that is down.
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
