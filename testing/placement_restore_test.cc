// Exhaustive exploration of interface `chat` with a store that is restored: the
// scenario of lease_explore_test.cc with two daemons, a copy and a restore at
// every pair of points, and each other fault at every point. The operator
// writes the configuration again a second after the restore.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "testing/control_world.h"

namespace clementine {
namespace {

using std::chrono::seconds;

enum class Fault {
  kNone,
  kLoseReply,
  kDelayWrite,
  kPauseHolder,
  kRestartHolder,
  kPartitionHolder,
  kSecondRestore
};
constexpr int kFaultKinds = 7;
constexpr int kPoints = 14;
constexpr milliseconds kPointInterval{2'000};

struct Scenario {
  int copy_at = 0;
  int restore_at = 0;
  Fault fault = Fault::kNone;
  int fault_at = 0;
  bool hide_era = false;
};

void Inject(ControlWorld* world, Fault fault) {
  int holder = world->Holder();
  auto index = static_cast<std::size_t>(std::max(0, holder));
  switch (fault) {
    case Fault::kNone:
      break;
    case Fault::kLoseReply:
      ++world->lose_answers;
      break;
    case Fault::kDelayWrite:
      ++world->delay_writes;
      break;
    case Fault::kPauseHolder:
      world->Pause(index);
      break;
    case Fault::kRestartHolder:
      world->Restart(index);
      break;
    case Fault::kPartitionHolder:
      world->daemons[index].requests_cut = true;
      break;
    case Fault::kSecondRestore:
      world->RestoreStore();
      break;
  }
}

/// @return The first violation, or an empty string.
std::string Run(const Scenario& scenario) {
  WorldOptions options;
  options.domains = 1;
  options.hosts_per_domain = 3;
  options.load_time = milliseconds(1'000);
  options.lease_duration = seconds(4);
  options.longest_order = seconds(2);
  ControlWorld world(options);
  world.era = 1;
  world.hide_era = scenario.hide_era;
  for (auto& [name, engine] : world.engines) engine.ignore_fence = true;
  std::uint64_t generation = 1;
  Configuration configuration = WorldConfiguration(2, 1);
  world.StoreConfiguration(configuration, generation);
  for (int point = 0; point < kPoints; ++point) {
    if (point == 5) world.Kill("h000");
    if (point == 7) {
      configuration = WorldConfiguration(1, 2, "2");
      world.StoreConfiguration(configuration, ++generation);
    }
    if (point == scenario.fault_at) {
      Inject(&world, scenario.fault);
      if (scenario.fault == Fault::kSecondRestore) {
        world.StoreConfiguration(configuration, generation);
      }
    }
    if (point == scenario.copy_at) world.CopyStore();
    if (point == scenario.restore_at) {
      world.RestoreStore();
      world.Run(seconds(1));
      world.StoreConfiguration(configuration, generation);
      world.Run(kPointInterval - seconds(1));
    } else {
      world.Run(kPointInterval);
    }
  }
  for (std::size_t i = 0; i < world.daemons.size(); ++i) {
    world.Resume(i);
    world.daemons[i].requests_cut = false;
  }
  world.Run(seconds(20));
  if (!world.violations.empty()) return world.violations.front();
  return world.OpenGroups(0) == 1 ? "" : "the group isn't open at the end";
}

template <typename Check>
void ForEachScenario(Check check) {
  for (int restore = 1; restore < 12; ++restore) {
    for (int copy = std::max(0, restore - 4); copy < restore; ++copy) {
      for (int fault = 0; fault < kFaultKinds; ++fault) {
        for (int at = restore - 1; at <= restore + 1; ++at) {
          if (fault == 0 && at != restore) continue;
          check(Scenario{copy, restore, static_cast<Fault>(fault), at});
        }
      }
    }
  }
}

}  // namespace

// Guards against two lease holders, a host in two groups, epochs used twice and
// a generation that reverts, after a restore.
TEST_CASE("no restore of the store breaks a placement") {
  int runs = 0;
  int violations = 0;
  ForEachScenario([&](const Scenario& scenario) {
    ++runs;
    std::string violation = Run(scenario);
    if (violation.empty() || ++violations > 5) return;
    CAPTURE(scenario.copy_at);
    CAPTURE(scenario.restore_at);
    CAPTURE(static_cast<int>(scenario.fault));
    CAPTURE(scenario.fault_at);
    CHECK(violation == "");
  });
  CHECK(violations == 0);
  CHECK(runs > 600);
}

TEST_CASE("the exploration of placements detects daemons that see no era") {
  // Guards against an exploration that cannot detect violations.
  std::string violation;
  ForEachScenario([&](Scenario scenario) {
    if (!violation.empty()) return;
    scenario.hide_era = true;
    violation = Run(scenario);
  });
  MESSAGE(violation);
  CHECK(violation != "");
}

}  // namespace clementine
