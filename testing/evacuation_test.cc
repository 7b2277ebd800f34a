#include "core/evacuation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

#include "core/fleet_control.h"
#include "testing/fleet_world.h"

namespace clementine {
namespace {

using testing::FleetWorld;
using Phase = Evacuation::Phase;
using Step = Evacuation::Step;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr milliseconds kDelay{1'500};

bool AlwaysKnown(const std::string& /*data_centre*/) { return true; }

/// A world whose domains d0 and d1 are in data centre a and the others in b.
FleetWorld TwoDataCentres() {
  FleetWorld world(4, 9, 1);
  for (auto& [id, server] : world.servers) {
    const std::string& domain = server.entry.fabric_domain;
    server.entry.data_centre = domain == "d0" || domain == "d1" ? "a" : "b";
  }
  world.planner.SetFreeLoads(true);
  world.Run(milliseconds(30'000));
  world.planner.SetFreeLoads(false);
  return world;
}

/// Orders accepted and open heads, by server id, in a data centre.
std::map<std::string, std::pair<std::uint64_t, bool>> StateIn(
    const FleetWorld& world, const std::string& data_centre) {
  std::map<std::string, std::pair<std::uint64_t, bool>> state;
  for (const auto& [id, server] : world.servers) {
    if (server.entry.data_centre != data_centre) continue;
    state[id] = {server.entry.orders,
                 server.entry.member.state == GroupMemberState::kOpen};
  }
  return state;
}

/// A daemon that follows evacuations, with one plain server in each of two data
/// centres and the groups that it published last.
struct DaemonWorld {
  DaemonWorld() : control(Options()) {
    auto configuration = std::make_shared<FleetConfiguration>();
    configuration->services["desk"].name = "desk";
    Handle(FleetConfigured{configuration});
    ServersListed listed;
    for (const char* name : {"a", "b"}) {
      BackendServer server;
      server.id = std::string("host-") + name;
      server.incarnation = 5;
      server.service = "desk";
      server.address = server.id + ":1";
      server.data_centre = name;
      listed.servers.push_back(server);
    }
    Handle(listed);
  }

  static FleetControlOptions Options() {
    FleetControlOptions options;
    options.node = "n0";
    options.data_centre = "a";
    options.follow_evacuations = true;
    options.departure_delay = kDelay;
    return options;
  }

  void Handle(const FleetEvent& event) {
    for (const FleetAction& action : control.Handle(event, now)) {
      if (const auto* changed = std::get_if<GroupsChanged>(&action)) {
        groups.emplace();
        for (const GroupView& view : changed->groups) {
          (*groups)[view.data_centre] = view;
        }
      } else if (const auto* log = std::get_if<LogDecision>(&action)) {
        ++events[log->event];
      }
    }
  }

  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(50)) {
      now += milliseconds(50);
      Handle(Tick{});
    }
  }

  TimePoint now = kStart;
  FleetControl control;
  std::optional<std::map<std::string, GroupView>> groups;
  std::map<std::string, int> events;
};

}  // namespace

// Guards against a departure after the notice has passed: the daemon may have
// learned of the evacuation as late as the change bound allows.
TEST_CASE("the departure leaves the change bound and the margin") {
  CHECK(Evacuation::DepartureDelay(milliseconds(5'000), milliseconds(3'000),
                                   milliseconds(600)) == milliseconds(1'400));
  CHECK(Evacuation::DepartureDelay(milliseconds(3'000), milliseconds(3'000),
                                   milliseconds(600)) == milliseconds(0));
}

// Guards against using the whole departure time for an entry that may be older
// than it looks: after a start, and after an outage of the sources.
TEST_CASE("an evacuation of unknown age is left at once") {
  Evacuation evacuation(kDelay);
  evacuation.OnChanged({"a"}, kStart);
  evacuation.Advance(AlwaysKnown, kStart);
  CHECK(evacuation.PhaseOf("a") == Phase::kLeft);

  TimePoint now = kStart + milliseconds(10'000);
  evacuation.OnChanged({"a", "b"}, now);
  evacuation.Advance(AlwaysKnown, now + kDelay - milliseconds(1));
  CHECK(evacuation.PhaseOf("b") == Phase::kPreferOthers);
  evacuation.Advance(AlwaysKnown, now + kDelay);
  CHECK(evacuation.PhaseOf("b") == Phase::kLeft);

  evacuation.OnSourcesLost();
  now += milliseconds(60'000);
  evacuation.OnSourcesAnswered(now);
  now += Evacuation::kRecoveryTime / 2;
  evacuation.OnChanged({"a", "b", "c"}, now);
  evacuation.Advance(AlwaysKnown, now);
  CHECK(evacuation.PhaseOf("c") == Phase::kLeft);
}

// Guards against a data centre that stays avoided although its evacuation was
// taken back before the departure, and against a late departure when it is
// evacuated again.
TEST_CASE("an evacuation that is taken back at once has no further effect") {
  Evacuation evacuation(kDelay);
  evacuation.OnChanged({}, kStart);
  TimePoint now = kStart + milliseconds(5'000);
  auto started = evacuation.OnChanged({"a"}, now);
  REQUIRE(started.size() == 1);
  CHECK(started[0].step == Step::kStarted);
  now += milliseconds(100);
  auto ended = evacuation.OnChanged({}, now);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].step == Step::kEnded);
  CHECK(evacuation.EndedAt("a") == now);
  CHECK(evacuation.Advance(AlwaysKnown, now + kDelay).empty());
  CHECK(evacuation.PhaseOf("a") == Phase::kNone);
  now += milliseconds(100);
  evacuation.OnChanged({"a"}, now);
  CHECK_FALSE(evacuation.EndedAt("a"));
  evacuation.Advance(AlwaysKnown, now + kDelay);
  CHECK(evacuation.PhaseOf("a") == Phase::kLeft);
}

// Guards against repeated log lines about a misspelled data centre.
TEST_CASE("an entry without servers or daemons is reported once") {
  Evacuation evacuation(kDelay);
  evacuation.OnChanged({"typo"}, kStart);
  int reports = 0;
  for (int second = 0; second < 60; ++second) {
    for (const auto& change :
         evacuation.Advance([](const std::string&) { return false; },
                            kStart + std::chrono::seconds(second))) {
      if (change.step == Step::kUnknown) ++reports;
    }
  }
  CHECK(reports == 1);
  CHECK(evacuation.known_data_centres().empty());
}

// Guards against a daemon that sends requests before it knows the evacuations.
TEST_CASE("no group is published before the evacuations are known") {
  DaemonWorld daemon;
  daemon.Run(milliseconds(1'000));
  CHECK_FALSE(daemon.groups);
  daemon.Handle(EvacuationsChanged{{"a"}});
  REQUIRE(daemon.groups);
  CHECK(daemon.groups->at("a").evacuated);
  CHECK_FALSE(daemon.groups->at("b").evacuated);
}

// Guards against new requests to a plain service in an evacuated data centre,
// with two evacuations at once and failing sources.
TEST_CASE("groups of evacuated data centres are avoided, then left") {
  DaemonWorld daemon;
  daemon.Handle(EvacuationsChanged{});
  daemon.Run(milliseconds(3'000));
  CHECK(daemon.control.open_groups() == 2);
  daemon.Handle(EvacuationsChanged{{"a"}});
  CHECK(daemon.groups->at("a").evacuating);
  CHECK_FALSE(daemon.groups->at("a").evacuated);
  daemon.Run(milliseconds(500));
  daemon.Handle(EvacuationsChanged{{"a", "b"}});
  daemon.Run(kDelay - milliseconds(500));
  CHECK(daemon.groups->at("a").evacuated);
  CHECK_FALSE(daemon.groups->at("b").evacuated);
  daemon.Handle(ServerListUnavailable{daemon.now});
  daemon.Run(milliseconds(500));
  CHECK(daemon.groups->at("b").evacuated);
  CHECK(daemon.control.open_groups() == 0);
  daemon.Run(milliseconds(60'000));
  CHECK(daemon.control.open_groups() == 0);
  daemon.Handle(EvacuationsChanged{{"b"}});
  CHECK(daemon.control.open_groups() == 1);
  CHECK(daemon.events["evacuation_started"] == 2);
  CHECK(daemon.events["evacuation_left"] == 2);
  CHECK(daemon.events["evacuation_ended"] == 1);
}

// Guards against orders to an evacuated data centre, against closing the groups
// that stand there, and against closing groups elsewhere when it returns. The
// planner's own data centre is not special: its hosts are evacuated as others.
TEST_CASE("the planner leaves the groups of an evacuated data centre alone") {
  FleetWorld world = TwoDataCentres();
  auto before = StateIn(world, "a");
  // A free host there would be staged or joined without the evacuation.
  for (const char* domain : {"d0", "d1", "d2"}) world.AddServer(domain);
  for (auto& [id, server] : world.servers) {
    bool in_a = server.entry.fabric_domain < "d2";
    if (server.entry.data_centre == "dc") {
      server.entry.data_centre = in_a ? "a" : "b";
    }
  }
  world.planner.SetEvacuated({"a"});
  world.Run(milliseconds(60'000));
  // The allocation fits the 19 hosts of the other data centre.
  const auto& targets = world.planner.model_groups();
  int hosts = 4 * targets.at("engine/large").target_groups +
              3 * targets.at("engine/small").target_groups;
  CHECK(hosts > 0);
  CHECK(hosts <= 19);
  for (const auto& [id, state] : StateIn(world, "a")) {
    auto old = before.find(id);
    if (old == before.end()) {
      CHECK(state.first == 0);
    } else {
      CHECK(state == old->second);
    }
  }
  CHECK(world.violations.empty());
}

// Guards against closing groups for a better allocation at the moment when a
// data centre returns: they still carry its load.
TEST_CASE("surplus groups are kept shortly after an evacuation") {
  for (bool held : {true, false}) {
    FleetWorld world = TwoDataCentres();
    world.planner.SetEvacuated({"a"});
    world.Run(milliseconds(10'000));
    world.planner.SetEvacuated({});
    world.planner.SetSurplusHeld(held);
    auto at_return = StateIn(world, "b");
    // Nearly all demand is for one model, so the other's groups are surplus.
    world.planner.SetDemand({{"engine/large", {1.0, 0.0, 0.1}},
                             {"engine/small", {900.0, 0.0, 12.0}}});
    bool closed = false;
    for (int step = 0; step < 600; ++step) {
      world.Step();
      for (const auto& [id, state] : StateIn(world, "b")) {
        closed = closed || (at_return.at(id).second && !state.second);
      }
    }
    CHECK(closed != held);
    CHECK(world.violations.empty());
  }
}

// Guards against orders and failures of the planner when no data centre is
// left, also for groups that were being formed.
TEST_CASE("the planner sends nothing while all data centres are evacuated") {
  FleetWorld world(2, 9, 1);
  world.planner.SetFreeLoads(true);
  world.Run(milliseconds(5'000));
  world.planner.SetEvacuated({"dc"});
  int orders = world.orders;
  world.Run(milliseconds(30'000));
  CHECK(world.orders == orders);
  world.planner.SetEvacuated({});
  world.Run(milliseconds(60'000));
  CHECK(world.violations.empty());
  CHECK(world.ServingGroups("large") + world.ServingGroups("small") > 0);
}

}  // namespace clementine
