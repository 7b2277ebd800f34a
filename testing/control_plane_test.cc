// The control plane as a whole, against the stand-in world.

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

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

}  // namespace
}  // namespace clementine
