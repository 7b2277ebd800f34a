// Exhaustive exploration of small cases: two daemons, three hosts, two groups.
// Every pair of faults at every pair of points of a fixed history is run with
// the real lease, placement and order code and judged by the world's oracle.
// The history itself contains a takeover by the second daemon and a host loss.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "testing/control_world.h"

namespace clementine {
namespace {

using std::chrono::seconds;

enum class Fault {
  kLoseAnswer,    ///< The next write applies, its answer is lost.
  kDelayWrite,    ///< The next write applies 8 s later, without an answer.
  kPauseHolder,   ///< The holder stops until after the takeover.
  kPauseShortly,  ///< The holder stops for 4 s.
  kDelayOrder,    ///< The next order takes almost the longest order.
  kCutHolder,     ///< The holder's requests to the platform fail from now on.
};
constexpr int kFaults = 6;
constexpr int kPoints = 7;
constexpr milliseconds kPoint{4'000};

struct Choice {
  Fault fault = Fault::kLoseAnswer;
  int point = 0;
};

void Inject(ControlWorld* world, Fault fault) {
  int holder = world->Holder();
  auto index = static_cast<std::size_t>(std::max(0, holder));
  switch (fault) {
    case Fault::kLoseAnswer:
      ++world->lose_answers;
      break;
    case Fault::kDelayWrite:
      ++world->delay_writes;
      break;
    case Fault::kPauseHolder:
      world->Pause(index);
      break;
    case Fault::kPauseShortly:
      world->Pause(index);
      world->Run(seconds(4));
      world->Resume(index);
      break;
    case Fault::kDelayOrder:
      ++world->delay_orders;
      break;
    case Fault::kCutHolder:
      world->daemons[index].requests_cut = true;
      break;
  }
}

/// @return The first violation, or an empty string.
std::string RunHistory(const std::vector<Choice>& choices, Mutation mutation) {
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
  for (int point = 0; point < kPoints; ++point) {
    for (const Choice& choice : choices) {
      if (choice.point == point) {
        Inject(&world, choice.fault);
      }
    }
    if (point == 3) {
      world.Kill("h000");
    }
    if (point == 4) {
      // Hosts change groups: one replica of two hosts instead of two of one.
      world.StoreConfiguration(WorldConfiguration(1, 2, "2"), 2);
    }
    world.Run(kPoint);
  }
  for (std::size_t i = 0; i < world.daemons.size(); ++i) {
    world.Resume(i);
  }
  world.Run(seconds(5));
  return world.violations.empty() ? "" : world.violations.front();
}

std::vector<Choice> AllChoices() {
  std::vector<Choice> all;
  for (int point = 0; point < kPoints; ++point) {
    for (int fault = 0; fault < kFaults; ++fault) {
      all.push_back({static_cast<Fault>(fault), point});
    }
  }
  return all;
}

/// The pairs are spread over test cases that can run side by side.
constexpr int kParts = 4;

void CheckPairs(int part) {
  std::vector<Choice> all = AllChoices();
  int pairs = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (std::size_t j = i; j < all.size(); ++j) {
      if (pairs++ % kParts != part) {
        continue;
      }
      std::string violation = RunHistory({all[i], all[j]}, Mutation{});
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

// Guard against any two faults that together break an invariant.
TEST_CASE("no pair of faults breaks the small history, part 1 of 4") {
  CheckPairs(0);
}
TEST_CASE("no pair of faults breaks the small history, part 2 of 4") {
  CheckPairs(1);
}
TEST_CASE("no pair of faults breaks the small history, part 3 of 4") {
  CheckPairs(2);
}
TEST_CASE("no pair of faults breaks the small history, part 4 of 4") {
  CheckPairs(3);
}

TEST_CASE("the small history notices an early takeover") {
  // Guards against an exploration in which nothing can go wrong.
  bool noticed = false;
  for (const Choice& choice : AllChoices()) {
    noticed =
        noticed || !RunHistory({choice}, Mutation::kTakeLeaseEarly).empty();
  }
  CHECK(noticed);
}

}  // namespace clementine
