// FleetFeed with a scripted platform.

#include "daemon/fleet_feed.h"

#include <doctest/doctest.h>

#include "testing/net_test_support.h"

namespace clementine {
namespace {

TimePoint Now() { return std::chrono::steady_clock::now(); }

std::string ConfigurationList(int version) {
  return R"({"entries":[{"metadata":{"name":"main","revision":)" +
         std::to_string(version) + R"(},"spec":{"version":)" +
         std::to_string(version) +
         R"(,"routes":[],"services":[]}}],"has_more":false,"at":)" +
         std::to_string(version) + "}";
}

/// A feed and a platform without servers. The first list of the configuration
/// returns version 5, later lists return version 9.
struct FeedFixture {
  using Answerer = std::function<void(FeedFixture* fixture,
                                      const std::shared_ptr<HttpExchange>&)>;

  /// @param watch Answers watches.
  /// @param bound See FleetFeed.
  FeedFixture(Answerer watch, milliseconds bound,
              bool follow_evacuations = false)
      : platform_server(&io, "127.0.0.1:0", HttpLimits{},
                        [this, watch = std::move(watch)](const auto& exchange) {
                          Answer(watch, exchange);
                        }),
        store(&io, platform_server.address(), milliseconds(6'000)),
        relay(Now, milliseconds(50)),
        feed(&io, &store, &relay, 1, {bound, follow_evacuations}, Hooks()) {}

  FleetFeed::Hooks Hooks() {
    FleetFeed::Hooks hooks;
    hooks.now = Now;
    hooks.feed = [this](const FleetEvent& event) {
      if (std::holds_alternative<EvacuationsChanged>(event)) ++evacuation_sets;
    };
    hooks.on_crash_marks = [](const std::vector<CrashExchange::Object>&) {};
    hooks.on_configuration = [this](const FleetConfiguration& configuration) {
      versions.push_back(configuration.version);
    };
    return hooks;
  }

  void Answer(const Answerer& watch,
              const std::shared_ptr<HttpExchange>& exchange) {
    const HttpRequest& request = exchange->request();
    if (request.query.find("watch=") != std::string::npos) {
      watch(this, exchange);
    } else if (request.path.find(platform::kConfigurationKind) !=
               std::string::npos) {
      exchange->Answer(200, {}, ConfigurationList(lists++ == 0 ? 5 : 9));
    } else if (request.path.find(platform::kEvacuationKind) !=
               std::string::npos) {
      exchange->Answer(200, {}, R"({"entries":[],"has_more":false,"at":0})");
    } else {
      exchange->Answer(200, {}, R"({"entries":[],"has_more":false,"at":5})");
    }
  }

  /// Runs until two versions were received, for at most 4 s.
  /// @param step Called repeatedly.
  void Run(const std::function<void()>& step) {
    feed.Start();
    TimePoint start = Now();
    while (versions.size() < 2 && Now() - start < milliseconds(4'000)) {
      io.restart();
      io.run_one_for(milliseconds(20));
      feed.Tick();
      step();
    }
  }

  boost::asio::io_context io;
  std::vector<std::shared_ptr<HttpExchange>> hanging;  ///< Never answered.
  int lists = 0;            ///< Number of lists of the configuration.
  int evacuation_sets = 0;  ///< EvacuationsChanged events.
  HttpServer platform_server;
  platform::ObjectStore store;
  ChangeRelay relay;
  std::vector<std::uint64_t> versions;
  FleetFeed feed;
};

}  // namespace

// Guards against a daemon that knows that the platform's history is lost, but
// lists only after a hanging watch has timed out. In the meantime, it received
// no configuration changes from any source.
TEST_CASE("a list after a lost history doesn't wait for a hanging watch") {
  FeedFixture fixture(
      [](FeedFixture* self, const std::shared_ptr<HttpExchange>& exchange) {
        bool at_once =
            exchange->request().query.find("wait_ms=0") != std::string::npos;
        if (at_once) {
          exchange->Answer(410, {}, "");
        } else {
          self->hanging.push_back(exchange);
        }
      },
      milliseconds(600));
  fixture.feed.SetRole({});
  fixture.Run([] {});
  REQUIRE(fixture.versions.size() == 2);
  CHECK(fixture.versions[1] == 9);
}

// Guards against a daemon that keeps an old configuration because a source sent
// parts of different versions, at a revision that then counts as known.
TEST_CASE(
    "a configuration with parts of two versions is listed on the platform") {
  FeedFixture fixture(
      [](FeedFixture* /*self*/, const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Answer(503, {}, "");
      },
      milliseconds(3'000));
  ChangeRelay source(Now, milliseconds(50));
  HttpServer source_server(&fixture.io, "127.0.0.1:0", HttpLimits{},
                           [&](const std::shared_ptr<HttpExchange>& exchange) {
                             source.Accept(exchange);
                           });
  platform::ObjectBatch servers;
  servers.revision = 9;
  source.ReplaceObjects(ChangeKind::kServers, servers, Now());
  platform::ObjectBatch mixed = servers;
  mixed.objects = {{platform::kConfigurationName, 9,
                    R"({"version":9,"parts":3,"digest":1})", false}};
  source.ReplaceObjects(ChangeKind::kConfiguration, mixed, Now());
  FleetFeed::Role role;
  role.roles.reads_platform = false;
  role.roles.peers = {source_server.address()};
  fixture.feed.SetRole(role);
  fixture.Run([&] { source.Tick(); });
  REQUIRE(fixture.versions.size() == 2);
  CHECK(fixture.versions[1] == 9);
  CHECK(fixture.lists == 2);
}

// Guards against a daemon that never becomes ready, because the platform never
// had an evacuation and its list of them is at revision 0.
TEST_CASE("an empty list of evacuations at revision 0 is reported") {
  FeedFixture fixture(
      [](FeedFixture* self, const std::shared_ptr<HttpExchange>& exchange) {
        self->hanging.push_back(exchange);
      },
      milliseconds(3'000), /*follow_evacuations=*/true);
  fixture.feed.SetRole({});
  TimePoint start = Now();
  fixture.feed.Start();
  while (fixture.evacuation_sets == 0 && Now() - start < milliseconds(4'000)) {
    fixture.io.restart();
    fixture.io.run_one_for(milliseconds(20));
  }
  CHECK(fixture.evacuation_sets == 1);
}

namespace {

/// A platform with one evacuation, of which the test sets the state, and a feed
/// that follows it.
struct RestoreFixture {
  RestoreFixture()
      : server(&io, "127.0.0.1:0", HttpLimits{},
               [this](const auto& exchange) { Answer(exchange); }),
        store(&io, server.address(), milliseconds(6'000)),
        relay(Now, milliseconds(50)),
        feed(&io, &store, &relay, 1, {milliseconds(600), true}, Hooks()) {
    feed.SetRole({});
    feed.Start();
  }

  FleetFeed::Hooks Hooks() {
    FleetFeed::Hooks hooks;
    hooks.now = [this] { return Now() + skipped; };
    hooks.feed = [this](const FleetEvent& event) {
      if (const auto* changed = std::get_if<EvacuationsChanged>(&event)) {
        evacuated = changed->data_centres;
      } else if (const auto* seen = std::get_if<StoreEraSeen>(&event)) {
        seen_era = seen->era;
      }
    };
    hooks.on_crash_marks = [](const std::vector<CrashExchange::Object>&) {};
    hooks.on_configuration = [this](const FleetConfiguration& configuration) {
      versions.push_back(configuration.version);
    };
    return hooks;
  }

  void Answer(const std::shared_ptr<HttpExchange>& exchange) {
    const HttpRequest& request = exchange->request();
    HttpHeaders headers = {{"Store-Era", era}};
    if (request.query.find("watch=") != std::string::npos) {
      ++watches;
      bool gone = request.query.find("watch=" + std::to_string(revision)) ==
                  std::string::npos;
      exchange->Answer(
          gone ? 410 : 200, headers,
          gone ? "" : R"({"events":[],"at":)" + std::to_string(revision) + "}");
      return;
    }
    ++lists;
    std::string entries;
    if (request.path.find(platform::kConfigurationKind) != std::string::npos) {
      entries =
          R"({"metadata":{"name":"main","revision":1},"spec":{"version":)" +
          std::to_string(version) + R"(,"routes":[],"services":[]}})";
    } else if (request.path.find(platform::kEvacuationKind) !=
                   std::string::npos &&
               evacuation) {
      entries = R"({"metadata":{"name":"dc1","revision":1},"spec":{}})";
    }
    exchange->Answer(200, headers,
                     R"({"entries":[)" + entries +
                         R"(],"has_more":false,"at":)" +
                         std::to_string(revision) + "}");
  }

  bool Run(const std::function<bool()>& done) {
    TimePoint start = Now();
    while (!done() && Now() - start < milliseconds(4'000)) {
      io.restart();
      io.run_one_for(milliseconds(20));
      feed.Tick();
    }
    return done();
  }

  boost::asio::io_context io;
  std::string era = "4";
  std::uint64_t revision = 90;
  int version = 8;
  bool evacuation = true;
  int lists = 0;
  int watches = 0;
  milliseconds skipped{0};  ///< Added to the feed's clock.
  std::set<std::string> evacuated;
  std::uint64_t seen_era = 0;
  std::vector<std::uint64_t> versions;
  HttpServer server;
  platform::ObjectStore store;
  ChangeRelay relay;
  FleetFeed feed;
};

}  // namespace

// Guards against followers that ignore the lower revisions of a restored store,
// and against a configuration or an evacuation that goes back because the copy
// lacks it.
TEST_CASE("a restored store is listed anew, and nothing reverts") {
  RestoreFixture fixture;
  REQUIRE(fixture.Run([&] {
    return fixture.versions.size() == 1 && fixture.evacuated.size() == 1 &&
           fixture.watches > 4;
  }));
  fixture.era = "5";
  fixture.revision = 60;
  fixture.version = 7;
  fixture.evacuation = false;
  int lists = fixture.lists;
  REQUIRE(fixture.Run([&] { return fixture.lists >= lists + 4; }));
  int watches = fixture.watches;
  REQUIRE(fixture.Run([&] { return fixture.watches >= watches + 8; }));
  CHECK(fixture.seen_era == 5);
  CHECK(fixture.versions == std::vector<std::uint64_t>{8});
  CHECK(fixture.evacuated == std::set<std::string>{"dc1"});
  // The operator had taken the evacuation back; it ends when the time is over.
  fixture.skipped = kRewriteDuration;
  CHECK(fixture.Run([&] { return fixture.evacuated.empty(); }));
  fixture.revision = 61;
  fixture.version = 9;
  CHECK(fixture.Run([&] { return fixture.versions.size() == 2; }));
}

// Guards against followers that ignore a source after a restore, and against a
// source that hasn't seen the restore and counts as current.
TEST_CASE("a follower takes the state of a restored store from its source") {
  RestoreFixture fixture;
  ChangeRelay source(Now, milliseconds(50));
  HttpServer source_server(&fixture.io, "127.0.0.1:0", HttpLimits{},
                           [&](const std::shared_ptr<HttpExchange>& exchange) {
                             source.Accept(exchange);
                           });
  auto replace = [&](std::uint64_t era, std::uint64_t revision,
                     const char* evacuated) {
    platform::ObjectBatch batch;
    batch.era = era;
    batch.revision = revision;
    for (ChangeKind kind : {ChangeKind::kServers, ChangeKind::kConfiguration,
                            ChangeKind::kCrashes}) {
      source.ReplaceObjects(kind, batch, Now());
    }
    batch.objects = {{evacuated, revision, "{}", false}};
    source.ReplaceObjects(ChangeKind::kEvacuations, batch, Now());
  };
  replace(4, 90, "dc1");
  REQUIRE(fixture.Run([&] { return fixture.versions.size() == 1; }));
  FleetFeed::Role role;
  role.roles.reads_platform = false;
  role.roles.peers = {source_server.address()};
  fixture.feed.SetRole(role);
  REQUIRE(fixture.Run([&] { return source.followers() == 1; }));
  // The platform itself doesn't answer in the new era.
  fixture.era = "4";
  replace(5, 60, "dc2");
  REQUIRE(fixture.Run([&] { return fixture.evacuated.count("dc2") == 1; }));
  CHECK(fixture.seen_era == 5);
  CHECK(fixture.evacuated.count("dc1") == 1);
  platform::ObjectBatch older;
  older.era = 4;
  older.revision = 99;
  source.ReplaceObjects(ChangeKind::kEvacuations, older, Now());
  platform::ObjectBatch change;
  change.era = 5;
  change.revision = 61;
  change.objects = {{"dc3", 61, "{}", false}};
  source.AddChanges(ChangeKind::kEvacuations, change, Now());
  CHECK(fixture.Run([&] { return fixture.evacuated.count("dc3") == 1; }));
  CHECK(fixture.evacuated.count("dc2") == 1);
}

// Guards against state of an older era, or a malformed era, that changes what a
// daemon knows.
TEST_CASE("an era that goes back or is malformed changes nothing") {
  RestoreFixture fixture;
  REQUIRE(fixture.Run([&] { return fixture.versions.size() == 1; }));
  fixture.era = "3";
  fixture.revision = 200;
  fixture.version = 20;
  int watches = fixture.watches;
  REQUIRE(fixture.Run([&] { return fixture.watches >= watches + 4; }));
  CHECK(fixture.versions == std::vector<std::uint64_t>{8});
  fixture.revision = 90;
  fixture.version = 8;
  fixture.era = "x5";
  int lists = fixture.lists;
  watches = fixture.watches;
  REQUIRE(fixture.Run([&] { return fixture.watches >= watches + 4; }));
  CHECK(fixture.lists == lists);
  CHECK(fixture.seen_era == 4);
}

}  // namespace clementine
