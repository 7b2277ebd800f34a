// Exhaustive exploration of a small scenario with two daemons, three hosts and
// two groups. Every pair of faults at every pair of points of the scenario is
// run with the production code for lease, placement and orders, and
// ControlWorld checks the invariants. The scenario contains a takeover by the
// second daemon and the loss of a host.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "testing/control_world.h"

namespace clementine {
namespace {

using std::chrono::seconds;

enum class Fault {
  kLoseReply,           ///< The next write applies but its reply is lost.
  kDelayWrite,          ///< The next write applies after 8 s without a reply.
  kPauseHolder,         ///< The holder is paused until after the takeover.
  kPauseHolderBriefly,  ///< The holder is paused for 4 s.
  kDelayOrder,  ///< The next order takes almost the maximum order duration.
  kPartitionHolder,  ///< All further platform requests of the holder fail.
};
constexpr int kFaultKinds = 6;
constexpr int kInjectionPoints = 7;
constexpr milliseconds kPointInterval{4'000};

struct InjectedFault {
  Fault fault = Fault::kLoseReply;
  int point = 0;
};

void Inject(ControlWorld* world, Fault fault) {
  int holder = world->Holder();
  auto index = static_cast<std::size_t>(std::max(0, holder));
  switch (fault) {
    case Fault::kLoseReply:
      ++world->lose_answers;
      break;
    case Fault::kDelayWrite:
      ++world->delay_writes;
      break;
    case Fault::kPauseHolder:
      world->Pause(index);
      break;
    case Fault::kPauseHolderBriefly:
      world->Pause(index);
      world->Run(seconds(4));
      world->Resume(index);
      break;
    case Fault::kDelayOrder:
      ++world->delay_orders;
      break;
    case Fault::kPartitionHolder:
      world->daemons[index].requests_cut = true;
      break;
  }
}

/// Runs the scenario. @return The first violation, or an empty string.
std::string RunScenario(const std::vector<InjectedFault>& faults,
                        Mutation mutation) {
  WorldOptions options;
  options.domains = 1;
  options.hosts_per_domain = 3;
  options.load_time = milliseconds(1'000);
  options.lease_duration = seconds(4);
  options.longest_order = seconds(2);
  options.mutation = mutation;
  ControlWorld world(options);
  for (auto& [name, engine] : world.engines) {
    engine.ignore_fence = true;
  }
  world.StoreConfiguration(WorldConfiguration(2, 1), 1);
  for (int point = 0; point < kInjectionPoints; ++point) {
    for (const InjectedFault& injected : faults) {
      if (injected.point == point) {
        Inject(&world, injected.fault);
      }
    }
    if (point == 3) {
      world.Kill("h000");
    }
    if (point == 4) {
      // One replica of two hosts replaces two replicas of one host each.
      world.StoreConfiguration(WorldConfiguration(1, 2, "2"), 2);
    }
    world.Run(kPointInterval);
  }
  for (std::size_t i = 0; i < world.daemons.size(); ++i) {
    world.Resume(i);
  }
  world.Run(seconds(5));
  return world.violations.empty() ? "" : world.violations.front();
}

std::vector<InjectedFault> AllInjectedFaults() {
  std::vector<InjectedFault> all;
  for (int point = 0; point < kInjectionPoints; ++point) {
    for (int fault = 0; fault < kFaultKinds; ++fault) {
      all.push_back({static_cast<Fault>(fault), point});
    }
  }
  return all;
}

/// The pairs are divided among test cases that can run in parallel.
constexpr int kShards = 4;

void CheckPairs(int shard) {
  std::vector<InjectedFault> all = AllInjectedFaults();
  int pairs = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (std::size_t j = i; j < all.size(); ++j) {
      if (pairs++ % kShards != shard) {
        continue;
      }
      std::string violation = RunScenario({all[i], all[j]}, Mutation{});
      if (!violation.empty()) {
        CAPTURE(i);
        CAPTURE(j);
        CHECK(violation == "");
      }
    }
  }
  CHECK(pairs == 903);
}

}  // namespace

// These tests guard against any two faults that together break an invariant.
TEST_CASE("no pair of faults violates an invariant, part 1 of 4") {
  CheckPairs(0);
}
TEST_CASE("no pair of faults violates an invariant, part 2 of 4") {
  CheckPairs(1);
}
TEST_CASE("no pair of faults violates an invariant, part 3 of 4") {
  CheckPairs(2);
}
TEST_CASE("no pair of faults violates an invariant, part 4 of 4") {
  CheckPairs(3);
}

TEST_CASE("the exploration detects an early takeover") {
  // Guards against an exploration that cannot detect violations.
  bool detected = false;
  for (const InjectedFault& injected : AllInjectedFaults()) {
    detected =
        detected || !RunScenario({injected}, Mutation::kTakeLeaseEarly).empty();
  }
  CHECK(detected);
}

}  // namespace clementine
