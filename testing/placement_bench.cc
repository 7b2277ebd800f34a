// Group downtime and stranded accelerators of the weighted and the naive
// planner under the same events, with the virtual clock; and the processor time
// of one control plane at target size. Prints one line for each run.

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

#include "core/placement.h"
#include "testing/control_world.h"

namespace clementine {
namespace {

using std::chrono::seconds;

constexpr int kReplicas = 8;
constexpr int kHostsPerReplica = 4;

struct Totals {
  double downtime = 0.0;  ///< Group-seconds.
  double stranded = 0.0;  ///< Accelerator-seconds of hosts that are up.
  int loads = 0;          ///< Load orders.
  int fewest = kReplicas;
};

/// Runs and adds up what is true of the engines, as daemon 0 routes.
void Measure(ControlWorld* world, seconds duration, Totals* totals) {
  constexpr double kStep = 0.1;
  int before = world->loads;
  for (TimePoint end = world->now + duration; world->now < end;) {
    world->Step();
    int open = 0;
    int up = 0;
    for (const GroupView& view : world->daemons[0].views) {
      open += view.open ? 1 : 0;
    }
    for (const auto& [name, engine] : world->engines) {
      up += engine.up ? engine.info.accelerators : 0;
    }
    int used = open * kHostsPerReplica * 4;
    totals->downtime += kStep * std::max(0, kReplicas - open);
    totals->stranded += kStep * std::max(0, up - used);
    totals->fewest = std::min(totals->fewest, open);
  }
  totals->loads += world->loads - before;
}

using Scenario = std::function<void(ControlWorld*, Totals*)>;

void HostLoss(ControlWorld* world, Totals* totals) {
  for (int i = 0; i < 4; ++i) {
    std::string group = fmt::format("chat/{}", i);
    Placement placement = world->StoredPlacement();
    std::string host = placement.groups.at(group).hosts[1];
    world->Kill(host);
    Measure(world, seconds(60), totals);
    world->Revive(host);
    Measure(world, seconds(30), totals);
  }
}

Scenario DarkDomain(seconds duration) {
  return [duration](ControlWorld* world, Totals* totals) {
    std::string domain =
        world->StoredPlacement().groups.at("chat/0").fabric_domain;
    for (auto& [name, engine] : world->engines) {
      engine.up = engine.info.fabric_domain != domain;
    }
    Measure(world, duration, totals);
    // The hosts kept their roles: only the network of the domain was away.
    for (auto& [name, engine] : world->engines) {
      engine.up = true;
    }
    Measure(world, seconds(180) - duration, totals);
  };
}

void FlappingHost(ControlWorld* world, Totals* totals) {
  std::string host = world->StoredPlacement().groups.at("chat/0").hosts[1];
  for (int i = 0; i < 10; ++i) {
    world->Kill(host);
    Measure(world, seconds(12), totals);
    world->Revive(host);
    Measure(world, seconds(18), totals);
  }
}

void RollingUpdate(ControlWorld* world, Totals* totals) {
  world->StoreConfiguration(
      WorldConfiguration(kReplicas, kHostsPerReplica, "2"), 2);
  Measure(world, seconds(300), totals);
}

void Compare(const char* name, const Scenario& scenario, int hosts) {
  for (bool naive : {true, false}) {
    WorldOptions options;
    options.domains = 4;
    options.hosts_per_domain = hosts;
    options.load_time = milliseconds(20'000);
    options.planner = naive ? PlanNaively : PlanPlacement;
    ControlWorld world(options);
    world.StoreConfiguration(WorldConfiguration(kReplicas, kHostsPerReplica),
                             1);
    world.Run(seconds(120));
    Totals totals;
    scenario(&world, &totals);
    fmt::print(
        "{:<22} {:<9} downtime {:7.1f} group-s, stranded {:8.0f} "
        "accelerator-s, {:4} loads, at least {} groups open, {} violations\n",
        name, naive ? "naive" : "weighted", totals.downtime, totals.stranded,
        totals.loads, totals.fewest, world.violations.size());
  }
}

/// Processor time of one daemon that probes every host of a data centre.
void TargetSize() {
  WorldOptions options;
  options.daemons = 1;
  options.domains = 21;
  options.hosts_per_domain = 66;
  ControlWorld world(options);
  world.StoreConfiguration(WorldConfiguration(40, 32), 1);
  world.Run(seconds(120));
  ControlPlane* plane = world.daemons[0].plane.get();
  auto start = std::chrono::steady_clock::now();
  int probes = world.probes;
  world.Run(seconds(20));
  std::chrono::duration<double> used = std::chrono::steady_clock::now() - start;
  fmt::print(
      "target size: {} hosts, {} groups open, {:.3f} s of processor time per "
      "20 virtual s with the stand-in world, {} probes, status {} bytes\n",
      world.engines.size(), world.OpenGroups(0), used.count(),
      world.probes - probes, plane->status(world.now).json.size());
}

}  // namespace
}  // namespace clementine

int main() {
  using clementine::Compare;
  using std::chrono::seconds;
  Compare("host loss", clementine::HostLoss, 10);
  Compare("dark domain 12 s", clementine::DarkDomain(seconds(12)), 12);
  Compare("dark domain 120 s", clementine::DarkDomain(seconds(120)), 12);
  Compare("flapping host", clementine::FlappingHost, 10);
  Compare("rolling update", clementine::RollingUpdate, 9);
  Compare("rolling, spare domain", clementine::RollingUpdate, 12);
  clementine::TargetSize();
  return 0;
}
