#include "core/fleet_control.h"

#include <doctest/doctest.h>

#include "core/lease.h"
#include "fmt/format.h"

namespace clementine {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr milliseconds kTick{50};

std::shared_ptr<const FleetConfiguration> PlainConfiguration() {
  auto configuration = std::make_shared<FleetConfiguration>();
  configuration->version = 1;
  configuration->services["desk"].name = "desk";
  return configuration;
}

/// One daemon of a fleet, with a platform on which another daemon renews the
/// lease.
struct DaemonFixture {
  DaemonFixture(const std::string& name, int daemons) : control(Options(name)) {
    control.Handle(FleetConfigured{PlainConfiguration()}, now);
    control.Handle(ServersListed{}, now);
    NodesListed nodes;
    nodes.complete = true;
    for (int n = 0; n < daemons; ++n) {
      nodes.nodes.emplace_back("n" + std::to_string(n),
                               fmt::format("1/1/5 - dc n{}:1", n));
    }
    control.Handle(nodes, now);
  }

  static FleetControlOptions Options(const std::string& name) {
    FleetControlOptions options;
    options.node = name;
    options.data_centre = "dc";
    options.changes = name + ":1";
    options.incarnation = 7;
    options.seed = std::hash<std::string>()(name);
    return options;
  }

  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kTick) {
      now += kTick;
      for (const FleetAction& action : control.Handle(Tick{}, now)) {
        const auto* get = std::get_if<GetObject>(&action);
        if (get == nullptr) continue;
        ++lease_reads;
        auto version = static_cast<std::uint64_t>(now.time_since_epoch() /
                                                  milliseconds(600));
        LeaseRecord record;
        record.holder = "holder";
        record.incarnation = 1;
        record.term = 1;
        record.fence = 1;
        record.renewal = version;
        control.Handle(ObjectReply{get->call, ObjectStatus::kOk, version,
                                   EncodeLease(record)},
                       now);
      }
    }
  }

  TimePoint now = kStart;
  FleetControl control;
  int lease_reads = 0;
};

}  // namespace

// Guards against calls to the platform by each daemon of a large fleet for a
// lease that only a few of them may have to take (70 daemons read it every four
// seconds on the grown sites).
TEST_CASE("few daemons of a large fleet read the lease often") {
  int all = 0;
  int often = 0;
  for (int n = 0; n < 73; ++n) {
    DaemonFixture daemon("n" + std::to_string(n), 73);
    daemon.Run(milliseconds(30'000));
    all += daemon.lease_reads;
    often += daemon.lease_reads > 20 ? 1 : 0;
  }
  CHECK(often == NodeDirectory::kStandbys);
  // Three read 1.5 times a second, eight every few seconds, others once or
  // twice.
  CHECK(all <= 3 * 48 + 8 * 12 + 62 * 3);
}

// Guards against work for a plain server, and for a group, of which a member
// says that it's leaving before the list does.
TEST_CASE("a leaving server's group takes no new work at once") {
  auto configuration = std::make_shared<FleetConfiguration>();
  configuration->services["desk"].name = "desk";
  FleetService& engine = configuration->services["engine"];
  engine.name = "engine";
  engine.engine = EngineSpec();
  engine.engine->models = {
      {"chat", 2, 1.0, 1.0, milliseconds(1), milliseconds(1)}};
  FleetControl control(DaemonFixture::Options("n0"));
  control.Handle(FleetConfigured{configuration}, kStart);
  ServersListed listed;
  for (const char* id : {"plain", "head", "member"}) {
    BackendServer server;
    server.id = id;
    server.born = 5;
    server.service = server.id == "plain" ? "desk" : "engine";
    server.address = std::string(id) + ":1";
    if (server.service == "engine") {
      bool head = server.id == "head";
      server.member = {
          "chat.1", 1, head ? 0 : 1,
          head ? GroupMemberState::kOpen : GroupMemberState::kReady};
    }
    listed.servers.push_back(server);
  }
  auto groups = [](const std::vector<FleetAction>& actions) {
    std::map<std::string, bool> leaving;
    for (const FleetAction& action : actions) {
      const auto* changed = std::get_if<GroupsChanged>(&action);
      if (changed == nullptr) continue;
      for (const GroupView& view : changed->groups) {
        leaving[view.group] = view.leaving;
      }
    }
    return leaving;
  };
  auto before = groups(control.Handle(listed, kStart));
  REQUIRE(before.size() == 2);
  CHECK_FALSE(before.at("chat.1"));
  CHECK_FALSE(before.at("desk/plain"));
  auto member =
      groups(control.Handle(ServerLeaving{"member", "report"}, kStart));
  CHECK(member.at("chat.1"));
  CHECK_FALSE(member.at("desk/plain"));
  auto plain = groups(control.Handle(ServerLeaving{"plain", "answer"}, kStart));
  CHECK(plain.at("desk/plain"));
  // A list that is older says otherwise.
  TimePoint now = kStart + milliseconds(50);
  for (const auto& [group, leaving] : groups(control.Handle(listed, now))) {
    CHECK(leaving);
  }
}

}  // namespace clementine
