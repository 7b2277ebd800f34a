// Spells in which the platform's object API doesn't answer daemons of the
// project's own interface, one after the other.

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "testing/control_world.h"

namespace clementine {
namespace {

/// Longest time from a change to its being in force at each daemon
/// (docs/CAPACITY.md).
constexpr milliseconds kBound{9'000};

/// @return Time from the end of the last spell until all daemons have a
///     configuration that was stored at that end.
milliseconds TimeToAdopt(int daemons, std::uint64_t seed) {
  WorldOptions options;
  options.daemons = daemons;
  options.seed = seed;
  ControlWorld world(options);
  world.StoreConfiguration(WorldConfiguration(1, 4), 1);
  world.Run(milliseconds(5'000));
  std::mt19937_64 random(seed);
  auto pick = [&random](int least, int most) {
    return milliseconds(
        std::uniform_int_distribution<int>(least, most)(random));
  };
  for (int spell = 0; spell < 3; ++spell) {
    world.platform_down = true;
    world.Run(pick(10'000, 30'000));
    world.platform_down = false;
    if (spell < 2) world.Run(pick(1'000, 5'000));
  }
  world.StoreConfiguration(WorldConfiguration(2, 4), 2);
  TimePoint start = world.now;
  auto adopted = [&] {
    return std::all_of(
        world.daemons.begin(), world.daemons.end(),
        [](const WorldDaemon& daemon) { return daemon.generation == 2; });
  };
  while (!adopted() && world.now - start < 4 * kBound) {
    world.Run(milliseconds(100));
  }
  return std::chrono::duration_cast<milliseconds>(world.now - start);
}

}  // namespace

// Guards against a backoff that outlasts the time within which a configuration
// has to be in force (CONFIG).
TEST_CASE("a configuration is in force in time after spells of the platform") {
  for (int daemons : {1, 3}) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      CAPTURE(daemons);
      CAPTURE(seed);
      CHECK(TimeToAdopt(daemons, seed) <= kBound);
    }
  }
}

}  // namespace clementine
