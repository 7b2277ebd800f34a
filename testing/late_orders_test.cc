// Tests of the group planner with orders that get no answer and are carried out
// seconds later, after newer orders.

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/group_planner.h"
#include "testing/fleet_world.h"

namespace clementine {
namespace {

using testing::FakeServer;
using testing::FleetWorld;
using Delay = std::optional<milliseconds>;

/// Longer than any order or outdated entry can have an effect.
constexpr milliseconds kSettleTime{40'000};

void CheckNoViolations(const FleetWorld& world) {
  for (const std::string& violation : world.violations) {
    FAIL_CHECK(violation);
  }
}

/// Returns a world whose groups were all formed before the first request.
FleetWorld StartedWorld(int domains, int hosts, std::uint64_t seed = 1) {
  FleetWorld world(domains, hosts, seed);
  world.planner.SetFreeLoads(true);
  world.Run(milliseconds(30'000));
  world.planner.SetFreeLoads(false);
  return world;
}

/// Runs a new world until a head of the model "large" is sent its first open
/// order. Hosts can load any model at any time, so freed hosts join another
/// group at once.
/// @param delay Of that order, which gets no answer. Further open orders of the
///     group get none either; other orders are answered.
/// @return The head.
std::string OpenLate(FleetWorld* world, milliseconds delay) {
  auto first = std::make_shared<GroupPlanner::Order>();
  world->planner.SetFreeLoads(true);
  world->faults.delay_order =
      [first, delay](const GroupPlanner::Order& planned) -> Delay {
    if (planned.order.kind != GroupOrder::Kind::kOpen) return std::nullopt;
    if (first->host.empty() && GroupModel(planned.order.group) == "large") {
      *first = planned;
      return delay;
    }
    bool same = planned.order.group == first->order.group;
    return same ? Delay(12'000) : std::nullopt;
  };
  for (int step = 0; step < 300 && first->host.empty(); ++step) world->Step();
  return first->host;
}

/// Cuts a serving head from the registry, and delays one join order to each of
/// its members after that.
/// @return The members but the head.
std::vector<std::string> JoinMembersLate(FleetWorld* world,
                                         milliseconds delay) {
  std::string head = world->HeadOf("large");
  std::vector<std::string> members = world->servers.at(head).members;
  std::set<std::string> prompt(members.begin() + 1, members.end());
  auto late = std::make_shared<std::set<std::string>>(std::move(prompt));
  world->faults.delay_order =
      [late, delay](const GroupPlanner::Order& planned) -> Delay {
    bool first = planned.order.kind == GroupOrder::Kind::kJoin &&
                 late->erase(planned.host) > 0;
    return first ? Delay(delay) : std::nullopt;
  };
  world->CutFromRegistry(head, milliseconds(5'000));
  members.erase(members.begin());
  return members;
}

}  // namespace

// Guards against reusing the members of a head whose unanswered open order is
// forgotten when the head's entry lapses (review/7).
TEST_CASE("planner remembers an unanswered open while the entry has lapsed") {
  FleetWorld world(1, 9, 1);
  std::string head = OpenLate(&world, milliseconds(11'500));
  REQUIRE(!head.empty());
  world.CutFromRegistry(head, milliseconds(5'500));
  world.Run(kSettleTime);
  CheckNoViolations(world);
}

// Guards against reusing the members of a head whose open order is carried out
// just when the planner stops waiting for it (review/7).
TEST_CASE("planner waits for an open that is carried out at the last moment") {
  for (int moment : {11'900, 12'000, 12'100, 12'400}) {
    CAPTURE(moment);
    FleetWorld world(1, 9, 1);
    std::string head = OpenLate(&world, milliseconds(moment));
    REQUIRE(!head.empty());
    world.Run(milliseconds(10'500));
    world.Kill(world.servers.at(head).members.back());
    world.Run(kSettleTime);
    CheckNoViolations(world);
  }
}

// Guards against reusing the members of a head that has reported an open order
// as accepted and is not open yet in that report (review/7).
TEST_CASE("planner waits for a head that has accepted its open order") {
  FleetWorld world(1, 9, 1);
  std::string id = OpenLate(&world, milliseconds(1'200));
  REQUIRE(!id.empty());
  FakeServer& head = world.servers.at(id);
  world.CutFromRegistry(id, milliseconds(6'000));
  world.Kill(head.members.back());
  std::uint64_t orders = head.entry.orders;
  for (int step = 0; step < 15 && head.entry.orders == orders; ++step) {
    head.reported_at = TimePoint();  // Reports in each step.
    world.Step();
  }
  REQUIRE(head.entry.orders > orders);
  // The next queries get no answer.
  head.reported_at = world.now + milliseconds(1'500);
  world.Run(kSettleTime);
  CheckNoViolations(world);
}

// Guards against expecting a wrong order count of a head that has left its
// group: a host answers a leave order that it has carried out as if nothing had
// changed.
TEST_CASE("planner counts the order by which a head has left its group") {
  FleetWorld world(1, 9, 1);
  std::string head = OpenLate(&world, milliseconds(11'900));
  REQUIRE(!head.empty());
  world.Kill(world.servers.at(head).members.back());
  world.Kill("h8");  // The next group needs the head.
  world.Run(kSettleTime);
  CHECK(world.rejections == 0);
  CheckNoViolations(world);
}

// Guards against withholding a head that has left its group, because its last
// report is of the time before.
TEST_CASE("a head that has left its group joins another at once") {
  FleetWorld world(1, 9, 1);
  std::string head = OpenLate(&world, milliseconds(11'900));
  REQUIRE(!head.empty());
  world.Kill(world.servers.at(head).members.back());
  world.Kill("h8");  // The next group needs the head.
  world.Run(milliseconds(9'000));
  CHECK(world.ServingGroups("large") == 1);
  CheckNoViolations(world);
}

// Guards against reusing the members of a head that leaves the list before the
// planner's next pass after its open order.
TEST_CASE("planner keeps the members of a head that is unlisted once opened") {
  FleetWorld world(1, 9, 1);
  std::string head = OpenLate(&world, milliseconds(0));
  REQUIRE(!head.empty());
  world.servers.at(head).is_unlisted = true;
  world.Run(milliseconds(3'000));
  world.servers.at(head).is_unlisted = false;
  world.Run(kSettleTime);
  CheckNoViolations(world);
}

// Guards against opening a group whose member may still carry out a join of
// another group, because the member answered a newer order that changed nothing
// (review/6).
TEST_CASE("planner opens no group whose member may still join another") {
  FleetWorld world = StartedWorld(1, 9);
  JoinMembersLate(&world, milliseconds(8'000));
  world.Run(kSettleTime);
  CheckNoViolations(world);
}

// Guards against opening a group whose member's unanswered join is forgotten
// when the member's entry lapses.
TEST_CASE("planner remembers an unanswered join while the entry has lapsed") {
  FleetWorld world = StartedWorld(1, 9);
  std::vector<std::string> members =
      JoinMembersLate(&world, milliseconds(11'500));
  world.Run(milliseconds(4'500));
  for (const std::string& member : members) {
    world.CutFromRegistry(member, milliseconds(4'000));
  }
  world.Run(kSettleTime);
  CheckNoViolations(world);
}

// Guards against opening a group whose member may still carry out a join that
// an earlier planner, or this one in an earlier term, has sent.
TEST_CASE("planner considers the joins of an earlier term") {
  for (bool replaced : {true, false}) {
    for (int lapse : {4'500, 5'000, 5'500, 6'000}) {
      CAPTURE(replaced);
      CAPTURE(lapse);
      FleetWorld world = StartedWorld(1, 9);
      JoinMembersLate(&world, milliseconds(9'500));
      world.Run(milliseconds(lapse));
      replaced ? world.ReplacePlanner() : world.ResetPlanner();
      world.Run(kSettleTime);
      CheckNoViolations(world);
    }
  }
}

// Guards against reusing the members of a head that may still carry out an open
// order that an earlier planner, or this one in an earlier term, has sent.
TEST_CASE("planner considers the open orders of an earlier term") {
  for (bool replaced : {true, false}) {
    for (bool lapses : {true, false}) {
      for (int moment : {4'000, 8'000, 11'500}) {
        CAPTURE(replaced);
        CAPTURE(lapses);
        CAPTURE(moment);
        FleetWorld world(1, 9, 1);
        std::string head = OpenLate(&world, milliseconds(moment));
        REQUIRE(!head.empty());
        world.Kill(world.servers.at(head).members.back());
        if (lapses) world.CutFromRegistry(head, milliseconds(3'800));
        world.Run(milliseconds(400));
        replaced ? world.ReplacePlanner() : world.ResetPlanner();
        world.planner.SetFreeLoads(true);
        std::string group = world.servers.at(head).entry.member.group;
        world.faults.delay_order =
            [&](const GroupPlanner::Order& planned) -> Delay {
          bool leaves_group = planned.host == head &&
                              planned.order.kind == GroupOrder::Kind::kJoin &&
                              planned.order.group != group;
          return leaves_group ? Delay(11'900) : std::nullopt;
        };
        world.Run(kSettleTime);
        CheckNoViolations(world);
      }
    }
  }
}

namespace {

/// Plays a day in which hosts lapse while late orders reach them.
/// @param change_planner Called at intervals with the world; may be null.
void PlayLateOrders(std::uint64_t seed,
                    const std::function<void(FleetWorld*)>& change_planner) {
  constexpr int kSteps = 900;
  constexpr int kCutInterval = 80;
  constexpr int kPlannerInterval = 160;
  constexpr double kCutFraction = 0.22;
  CAPTURE(seed);
  FleetWorld world = StartedWorld(2, 9, seed);
  world.faults.late_order_rate = 0.35;
  std::mt19937_64 random(seed);
  for (int step = 0; step < kSteps; ++step) {
    world.Step();
    if (step % kCutInterval == 0) {
      std::vector<std::string> ids;
      for (const auto& [id, server] : world.servers) ids.push_back(id);
      std::shuffle(ids.begin(), ids.end(), random);
      ids.resize(static_cast<std::size_t>(kCutFraction *
                                          static_cast<double>(ids.size())));
      for (const std::string& id : ids) {
        world.CutFromRegistry(id, milliseconds(7'600));
      }
    }
    if (change_planner != nullptr && step % kPlannerInterval == 0) {
      change_planner(&world);
    }
  }
  CheckNoViolations(world);
  world.faults.late_order_rate = 0.0;
  world.Run(milliseconds(60'000));
  CheckNoViolations(world);
  CHECK(world.ServingGroups("large") > 0);
  CHECK(world.ServingGroups("small") > 0);
}

constexpr std::uint64_t kSeeds = 30;

}  // namespace

// Guards against groups that lose members, or serve without them, while entries
// lapse and orders are carried out late.
TEST_CASE("planner keeps its invariants under late orders and lapsed entries") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PlayLateOrders(seed, nullptr);
  }
}

// Guards against the same after a change of the planner.
TEST_CASE("a new planner keeps the invariants under late orders") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PlayLateOrders(seed, [](FleetWorld* world) { world->ReplacePlanner(); });
  }
}

// Guards against the same after a daemon loses the lease and wins it again.
TEST_CASE("a planner in a new term keeps the invariants under late orders") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PlayLateOrders(seed, [](FleetWorld* world) { world->ResetPlanner(); });
  }
}

}  // namespace clementine
