#include "core/fleet_control.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

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

/// One daemon of a fleet. On its platform another daemon renews the lease.
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
    options.changes_address = name + ":1";
    options.incarnation = 7;
    options.seed = std::hash<std::string>()(name);
    return options;
  }

  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kTick) {
      now += kTick;
      for (const FleetAction& action : control.Handle(Tick{}, now)) {
        const auto* put = std::get_if<PutObject>(&action);
        if (put != nullptr && put->key.find("lease") != std::string::npos &&
            !lease_taken_at) {
          lease_taken_at = now;
        }
        const auto* get = std::get_if<GetObject>(&action);
        if (get == nullptr) continue;
        ++lease_reads;
        // The holder renews the lease until `holder_lost_at`.
        auto version = static_cast<std::uint64_t>(
            std::min(now, holder_lost_at).time_since_epoch() /
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
  /// When the lease holder is lost.
  TimePoint holder_lost_at = TimePoint::max();
  /// When this daemon first wrote the lease.
  std::optional<TimePoint> lease_taken_at;
};

/// The only daemon of a fleet. Its backend servers join and open groups, and
/// the platform lists the results of orders some time later.
class PlannerFixture {
 public:
  explicit PlannerFixture(int hosts) : control(Options()) {
    auto configuration = std::make_shared<FleetConfiguration>();
    FleetService& engine = configuration->services["engine"];
    engine.name = "engine";
    engine.engine = EngineSpec();
    engine.engine->models = {
        {"chat", 4, 1.0, 1.0, milliseconds(1'000), milliseconds(200)}};
    control.Handle(FleetConfigured{configuration}, now);
    ServersListed listed;
    for (int n = 0; n < hosts; ++n) {
      BackendServer server;
      server.id = fmt::format("h{:04}", n);
      server.incarnation = 5;
      server.service = "engine";
      server.address = server.id + ":1";
      server.fabric_domain = "d" + std::to_string(n % 4);
      servers[server.id] = server;
      listed.servers.push_back(server);
    }
    RunActions(control.Handle(listed, now));
    // The daemon waits to discover other daemons before it takes the lease.
    Run(milliseconds(3'000));
  }

  static FleetControlOptions Options() {
    FleetControlOptions options = DaemonFixture::Options("n0");
    options.first_start = true;
    return options;
  }

  /// Advances the clock while the daemon is stalled.
  void Stall(milliseconds time) { now += time; }

  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kTick) {
      now += kTick;
      RunActions(control.Handle(Tick{}, now));
      DeliverResponses();
    }
  }

  /// Lets all outstanding calls to servers time out.
  void TimeOutCalls() {
    for (const auto& [due, host] : std::exchange(m_queries, {})) {
      RunActions(control.Handle(ServerStatusResult{host, std::nullopt}, now));
    }
  }

  int OpenGroups() const { return static_cast<int>(control.open_groups()); }

  TimePoint now = kStart;
  FleetControl control;
  std::map<std::string, BackendServer> servers;
  int joins = 0;
  int calls = 0;
  /// Maximum number of concurrent calls to servers.
  int max_running_calls = 0;
  milliseconds response_delay{0};  ///< Response time of calls to servers.
  std::set<std::string> queried;
  LeaseRecord lease;
  std::uint64_t lease_version = 0;

 private:
  void RunActions(const std::vector<FleetAction>& actions) {
    for (const FleetAction& action : actions) {
      if (const auto* order = std::get_if<SendGroupOrder>(&action)) {
        m_orders.emplace_back(now + response_delay, *order);
      } else if (const auto* query = std::get_if<QueryServerStatus>(&action)) {
        ++calls;
        queried.insert(query->host);
        m_queries.emplace_back(now + response_delay, query->host);
      } else if (const auto* get = std::get_if<GetObject>(&action)) {
        Reply(get->call,
              lease_version > 0 ? ObjectStatus::kOk : ObjectStatus::kNotFound);
      } else if (const auto* put = std::get_if<PutObject>(&action)) {
        if (put->key.find("lease") == std::string::npos) continue;
        bool taken = put->if_version == lease_version;
        if (taken) {
          lease = DecodeLease(put->value);
          ++lease_version;
        }
        Reply(put->call, taken ? ObjectStatus::kOk : ObjectStatus::kConflict);
      }
    }
  }

  void Reply(CallId call, ObjectStatus status) {
    RunActions(control.Handle(
        ObjectReply{call, status, lease_version, EncodeLease(lease)}, now));
  }

  void DeliverResponses() {
    int running = static_cast<int>(m_queries.size() + m_orders.size());
    max_running_calls = std::max(max_running_calls, running);
    auto answering = std::exchange(m_queries, {});
    for (const auto& [due, host] : answering) {
      if (due > now) {
        m_queries.emplace_back(due, host);
      } else {
        RunActions(
            control.Handle(ServerStatusResult{host, servers.at(host)}, now));
      }
    }
    auto orders = std::exchange(m_orders, {});
    ServersChanged changed;
    for (const auto& [due, sent] : orders) {
      if (due > now) {
        m_orders.emplace_back(due, sent);
        continue;
      }
      OrderResult result = ExecuteOrder(sent.order, &servers.at(sent.host));
      RunActions(
          control.Handle(OrderEnded{sent.host, sent.order, result, ""}, now));
      changed.changes.push_back({sent.host, servers.at(sent.host)});
    }
    if (!changed.changes.empty()) RunActions(control.Handle(changed, now));
  }

  OrderResult ExecuteOrder(const GroupOrder& order, BackendServer* server) {
    if (order.expected_orders.value_or(server->orders) != server->orders) {
      return OrderResult::kRejected;
    }
    GroupMembership& member = server->member;
    if (order.kind == GroupOrder::Kind::kJoin) {
      ++joins;
      auto rank =
          std::find(order.members.begin(), order.members.end(), server->id);
      member = {order.group, order.epoch,
                static_cast<int>(rank - order.members.begin()),
                GroupMemberState::kReady};
      server->staged = {order.model};
    } else if (order.kind == GroupOrder::Kind::kOpen) {
      member.state = GroupMemberState::kOpen;
    } else if (order.kind == GroupOrder::Kind::kClose) {
      member.state = GroupMemberState::kReady;
    }
    ++server->orders;
    return OrderResult::kAccepted;
  }

  // Calls with the times at which they are answered.
  std::vector<std::pair<TimePoint, std::string>> m_queries;
  std::vector<std::pair<TimePoint, SendGroupOrder>> m_orders;
};

}  // namespace

// Guards against lease reads by each daemon of a large fleet although only a
// few may have to take the lease. 70 daemons read it every four seconds in a
// large site.
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
  // Three daemons read 1.5 times per second, eight every few seconds, and the
  // others once or twice.
  CHECK(all <= 3 * 48 + 8 * 12 + 62 * 3);
}

// Guards against a fleet that has no planner for seven seconds because the
// standbys are partitioned from the platform together with the planner.
TEST_CASE("the lease is taken soon if the standbys are lost with its holder") {
  std::optional<milliseconds> first;
  for (int n = 0; n < 73; ++n) {
    DaemonFixture daemon("n" + std::to_string(n), 73);
    daemon.Run(milliseconds(8'000));
    if (daemon.control.is_planner_or_standby()) continue;
    daemon.holder_lost_at = daemon.now;
    daemon.Run(milliseconds(10'000));
    if (!daemon.lease_taken_at) continue;
    auto after = std::chrono::duration_cast<milliseconds>(
        *daemon.lease_taken_at - daemon.holder_lost_at);
    first = std::min(after, first.value_or(after));
    CHECK(after >= milliseconds(2'500));
  }
  REQUIRE(first);
  // Lease duration of 2 s, order duration of 0.5 s, and one to two seconds of
  // reserve delay.
  CHECK(first->count() <= 5'000);
}

// Guards against requests to a plain server or a group after a server has
// announced that it is leaving, before the list shows it.
TEST_CASE("a leaving server's group stops getting new requests at once") {
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
    server.incarnation = 5;
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
  // An older list does not show the servers as leaving.
  TimePoint now = kStart + milliseconds(50);
  for (const auto& [group, leaving] : groups(control.Handle(listed, now))) {
    CHECK(leaving);
  }
}

// Guards against a planner that discards its orders after its own stall ended
// the lease. It queried all hosts and repeated their join orders, which stalled
// it again.
TEST_CASE(
    "a planner resumes after a lease lapse in which nobody else planned") {
  PlannerFixture fleet(64);
  fleet.Run(milliseconds(3'000));
  REQUIRE(fleet.joins == 64);
  REQUIRE(fleet.OpenGroups() == 16);
  for (int stall = 0; stall < 5; ++stall) {
    fleet.Stall(milliseconds(700));
    fleet.Run(milliseconds(1'000));
    CHECK(fleet.joins == 64);
    CHECK(fleet.OpenGroups() == 16);
  }
  // Orders that were in flight when the lease lapsed are still known
  // afterwards.
  PlannerFixture forming(64);
  while (forming.joins < 16) forming.Run(kTick);
  forming.Stall(milliseconds(700));
  forming.Run(milliseconds(3'000));
  CHECK(forming.joins == 64);
  CHECK(forming.OpenGroups() == 16);
}

// Guards against a planner that reuses its state although another daemon has
// planned in the meantime.
TEST_CASE("a planner starts over after another daemon has planned") {
  PlannerFixture fleet(64);
  fleet.Run(milliseconds(3'000));
  REQUIRE(fleet.OpenGroups() == 16);
  fleet.lease.holder = "n1";
  fleet.lease.incarnation = 9;
  ++fleet.lease.term;
  ++fleet.lease.fence;
  ++fleet.lease_version;
  fleet.Stall(milliseconds(700));
  fleet.Run(milliseconds(300));
  fleet.queried.clear();
  // The daemon takes the lease again after it has expired.
  fleet.Run(milliseconds(5'000));
  CHECK(fleet.lease.holder == "n0");
  CHECK(fleet.queried.size() == 64);
  CHECK(fleet.OpenGroups() == 16);
}

// Guards against a planner that calls all servers at once. The responses
// blocked its loop for longer than its lease allows.
TEST_CASE("a planner queries a thousand servers in turn, a few at a time") {
  PlannerFixture fleet(1'088);
  fleet.response_delay = milliseconds(200);
  fleet.Run(milliseconds(20'000));
  CHECK(fleet.OpenGroups() == 272);
  CHECK(fleet.joins == 1'088);
  CHECK(fleet.max_running_calls <= 256);
  // A host is queried again only after all others were queried.
  fleet.queried.clear();
  fleet.calls = 0;
  while (fleet.queried.size() < 1'088 && fleet.calls < 2'000) fleet.Run(kTick);
  CHECK(fleet.queried.size() == 1'088);
}

// Guards against a planner with too little processor time that dissolves groups
// of healthy servers because calls timed out during its own pauses.
TEST_CASE("calls that time out during the planner's own pause do not count") {
  PlannerFixture fleet(64);
  fleet.Run(milliseconds(3'000));
  REQUIRE(fleet.OpenGroups() == 16);
  for (int pause = 0; pause < 8; ++pause) {
    fleet.response_delay = milliseconds(300);
    fleet.Run(milliseconds(200));
    fleet.Stall(milliseconds(300));
    fleet.TimeOutCalls();
    fleet.Run(kTick);
  }
  CHECK(fleet.OpenGroups() == 16);
  // Failures without a pause count.
  for (int call = 0; call < 8; ++call) {
    fleet.Run(milliseconds(200));
    fleet.TimeOutCalls();
  }
  CHECK(fleet.OpenGroups() < 16);
}

// Guards against closing and dissolving groups that still serve, because many
// of their members are partitioned from the platform.
TEST_CASE("groups stay open when many of their members' entries lapse") {
  PlannerFixture fleet(64);
  fleet.Run(milliseconds(3'000));
  REQUIRE(fleet.OpenGroups() == 16);
  ServersChanged lapsed;
  for (const auto& [id, server] : fleet.servers) {
    if (server.member.rank == 2) lapsed.changes.push_back({id, std::nullopt});
  }
  REQUIRE(lapsed.changes.size() == 16);
  fleet.control.Handle(lapsed, fleet.now);
  fleet.Run(milliseconds(10'000));
  CHECK(fleet.OpenGroups() == 16);
  CHECK(fleet.joins == 64);
}

}  // namespace clementine
