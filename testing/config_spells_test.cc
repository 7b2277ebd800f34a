// Spells in which the platform's object API doesn't answer daemons of the
// project's own interface, one after the other.

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>

#include "testing/control_world.h"

namespace clementine {
namespace {

/// Longest time from a change to its being in force at each daemon
/// (docs/CAPACITY.md).
constexpr milliseconds kBound{9'000};

/// @return A world whose daemons have the first configuration.
std::unique_ptr<ControlWorld> MakeWorld(int daemons, std::uint64_t seed) {
  WorldOptions options;
  options.daemons = daemons;
  options.seed = seed;
  auto world = std::make_unique<ControlWorld>(options);
  world->StoreConfiguration(WorldConfiguration(1, 4), 1);
  world->Run(milliseconds(5'000));
  return world;
}

/// Stores a second configuration.
/// @return Time until all daemons have it; at most four times the bound.
milliseconds TimeToAdopt(ControlWorld* world) {
  world->StoreConfiguration(WorldConfiguration(2, 4), 2);
  TimePoint start = world->now;
  auto adopted = [&] {
    return std::all_of(
        world->daemons.begin(), world->daemons.end(),
        [](const WorldDaemon& daemon) { return daemon.generation == 2; });
  };
  while (!adopted() && world->now - start < 4 * kBound) {
    world->Run(milliseconds(100));
  }
  return std::chrono::duration_cast<milliseconds>(world->now - start);
}

/// The platform answers no call in three spells, seconds apart.
void RunSpells(ControlWorld* world, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  auto pick = [&random](int least, int most) {
    return milliseconds(
        std::uniform_int_distribution<int>(least, most)(random));
  };
  for (int spell = 0; spell < 3; ++spell) {
    world->platform_down = true;
    world->Run(pick(10'000, 30'000));
    world->platform_down = false;
    if (spell < 2) world->Run(pick(1'000, 5'000));
  }
}

}  // namespace

// Guards against a backoff that outlasts the time within which a configuration
// has to be in force (CONFIG).
TEST_CASE("a configuration is in force in time after spells of the platform") {
  for (int daemons : {1, 3}) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      CAPTURE(daemons);
      CAPTURE(seed);
      auto world = MakeWorld(daemons, seed);
      RunSpells(world.get(), seed);
      CHECK(TimeToAdopt(world.get()) <= kBound);
    }
  }
}

// Guards against watches on connections that fell silent, which are taken for
// waiting for longer than a configuration may be out of force (CONFIG).
TEST_CASE("a configuration is in force in time although watches fell silent") {
  for (int daemons : {1, 3}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(daemons);
      CAPTURE(seed);
      auto world = MakeWorld(daemons, seed);
      world->LoseWatches();
      CHECK(TimeToAdopt(world.get()) <= kBound);
    }
  }
}

}  // namespace clementine
