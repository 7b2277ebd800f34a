// Cost of the control plane for each daemon, as daemons and hosts grow.
//
// Daemons of one data centre run on a virtual clock with a configuration change
// every 7 s. CPU time is that of ControlPlane::Handle alone; bytes are those of
// messages between daemons, with the overhead of HMAC, nng and TCP/IP headers
// added for each; memory is the heap's growth, divided by the daemons.

#include <malloc.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "fmt/format.h"
#include "testing/control_world.h"

namespace clementine {
namespace {

constexpr int kHostsPerReplica = 32;
/// Longest time to place all replicas, and time to settle after that.
constexpr int kMaxWarmUpSeconds = 600;
constexpr int kSettleSeconds = 15;
constexpr int kChangeInterval = 7;  ///< Seconds; 12,000 changes a day.
constexpr std::size_t kMessageOverhead = 32 + 16 + 52 + 52;  ///< Bytes.

struct Size {
  int daemons;
  int hosts;
  int replica;  ///< Hosts per replica.
};

/// One in ten replicas' worth of hosts stays spare.
int Replicas(const Size& size) {
  return std::max(1, size.hosts / size.replica * 9 / 10);
}

/// A configuration with as many sections as a large site would have.
Configuration LargeConfiguration(const Size& size, int change) {
  Configuration configuration =
      WorldConfiguration(Replicas(size), size.replica);
  for (int i = 0; i < 200; ++i) {
    OrganisationSpec organisation;
    organisation.name = fmt::format("organisation{}", i);
    organisation.weight = i == change % 200 ? 1.0 + change : 1.0;
    configuration.organisations[organisation.name] = organisation;
  }
  return configuration;
}

void ResetCosts(ControlWorld* world) {
  for (WorldDaemon& daemon : world->daemons) {
    daemon.handle_time = {};
    daemon.peer_bytes = daemon.peer_messages = 0;
    daemon.platform_calls = daemon.probes = 0;
  }
}

struct Cost {
  double core_percent = 0;
  double peer_bytes = 0;  ///< Per second, sent.
  double probes = 0;      ///< Per second.
  double calls = 0;       ///< To the platform, per second.
};

Cost CostOf(const WorldDaemon& daemon, double seconds) {
  auto handled = std::chrono::duration<double>(daemon.handle_time).count();
  std::size_t bytes =
      daemon.peer_bytes + kMessageOverhead * daemon.peer_messages;
  return {100.0 * handled / seconds, static_cast<double>(bytes) / seconds,
          static_cast<double>(daemon.probes) / seconds,
          static_cast<double>(daemon.platform_calls) / seconds};
}

void Print(const char* role, const Size& size, const Cost& cost,
           double kilobytes) {
  std::cout << fmt::format(
      "{:>8} {:>7} {:>6} {:>9.3f} {:>9.0f} {:>9.1f} {:>9.2f} {:>9.0f}\n", role,
      size.daemons, size.hosts, cost.core_percent, cost.peer_bytes, cost.probes,
      cost.calls, kilobytes);
  std::cout.flush();
}

/// The costliest daemon without the lease stands for all of them.
Cost WorstOf(const ControlWorld& world, std::size_t holder, double seconds) {
  Cost worst;
  for (std::size_t i = 0; i < world.daemons.size(); ++i) {
    if (i == holder) continue;
    Cost cost = CostOf(world.daemons[i], seconds);
    worst.core_percent = std::max(worst.core_percent, cost.core_percent);
    worst.peer_bytes = std::max(worst.peer_bytes, cost.peer_bytes);
    worst.probes = std::max(worst.probes, cost.probes);
    worst.calls = std::max(worst.calls, cost.calls);
  }
  return worst;
}

void Measure(const Size& size, int seconds) {
  std::size_t before = mallinfo2().uordblks;
  WorldOptions options;
  options.daemons = size.daemons;
  options.hosts_per_domain = std::max(size.replica, 40);
  options.domains = std::max(1, size.hosts / options.hosts_per_domain);
  ControlWorld world(options);
  world.spread_time = milliseconds(1'000);
  std::uint64_t generation = 1;
  world.StoreConfiguration(LargeConfiguration(size, 0), generation);
  int replicas = Replicas(size);
  for (int i = 0; i < kMaxWarmUpSeconds && world.OpenGroups(0) < replicas;
       ++i) {
    world.Run(std::chrono::seconds(1));
  }
  world.Run(std::chrono::seconds(kSettleSeconds));
  std::size_t after = mallinfo2().uordblks;
  ResetCosts(&world);
  for (int elapsed = 0; elapsed < seconds; elapsed += kChangeInterval) {
    ++generation;
    world.StoreConfiguration(
        LargeConfiguration(size, static_cast<int>(generation)), generation);
    world.Run(std::chrono::seconds(kChangeInterval));
  }
  auto kilobytes = static_cast<double>(after - before) / 1024 / size.daemons;
  int holder = world.Holder();
  auto index = static_cast<std::size_t>(std::max(0, holder));
  int changes = (seconds + kChangeInterval - 1) / kChangeInterval;
  double time = changes * kChangeInterval;
  Print("holder", size, CostOf(world.daemons[index], time), kilobytes);
  Print("other", size, WorstOf(world, index, time), kilobytes);
  for (const std::string& violation : world.violations) {
    std::cout << "violation: " << violation << "\n";
  }
}

}  // namespace
}  // namespace clementine

int main(int argc, char** argv) {
  CLI::App app("Cost of the control plane per daemon");
  int seconds = 28;
  bool large = false;
  app.add_option("--seconds", seconds, "Virtual seconds measured");
  app.add_flag("--large", large, "Also one data centre of the target size");
  CLI11_PARSE(app, argc, argv);
  std::cout << "    role daemons  hosts   core_%  peer_B/s  probes/s   calls/s "
               "heap_KB\n";
  std::vector<clementine::Size> sizes = {
      {6, 100, 4},  {6, 400, 4},  {20, 100, 4}, {20, 400, 4},
      {40, 100, 4}, {40, 400, 4}, {40, 400, 32}};
  if (large) sizes.push_back({109, 1'333, clementine::kHostsPerReplica});
  for (const auto& size : sizes) clementine::Measure(size, seconds);
  return 0;
}
