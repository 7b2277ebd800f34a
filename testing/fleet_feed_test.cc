// The feed of a daemon before a platform that answers as told.

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

}  // namespace

// Guards against a daemon that knows that the platform's history is gone, and
// lists only after a watch which hangs has timed out; meanwhile it listened to
// nobody (CONFIG, store-compact-drain-outage on karalis-touchup).
TEST_CASE("a list after a lost history doesn't wait for a watch that hangs") {
  boost::asio::io_context io;
  int lists = 0;
  std::vector<std::shared_ptr<HttpExchange>> hanging;
  HttpServer platform_server(
      &io, "127.0.0.1:0", HttpLimits{},
      [&](const std::shared_ptr<HttpExchange>& exchange) {
        const HttpRequest& request = exchange->request();
        bool configuration = request.path.find(platform::kConfigurationKind) !=
                             std::string::npos;
        bool watch = request.query.find("watch=") != std::string::npos;
        if (watch && request.query.find("wait_ms=0") == std::string::npos) {
          hanging.push_back(exchange);
        } else if (watch) {
          exchange->Answer(410, {}, "");
        } else if (configuration) {
          exchange->Answer(200, {}, ConfigurationList(lists++ == 0 ? 5 : 9));
        } else {
          exchange->Answer(200, {},
                           R"({"entries":[],"has_more":false,"at":5})");
        }
      });
  platform::ObjectStore store(&io, platform_server.address(),
                              milliseconds(6'000));
  ChangeRelay relay(Now, milliseconds(50));
  std::vector<std::uint64_t> versions;
  FleetFeed::Hooks hooks;
  hooks.now = Now;
  hooks.feed = [](const FleetEvent&) {};
  hooks.configured = [&](const FleetConfiguration& configuration) {
    versions.push_back(configuration.version);
  };
  FleetFeed feed(&io, &store, &relay, 1, milliseconds(600), hooks);
  feed.Start();
  feed.SetRole({});
  TimePoint start = Now();
  while (versions.size() < 2 && Now() - start < milliseconds(4'000)) {
    io.restart();
    io.run_one_for(milliseconds(20));
    feed.Tick();
  }
  REQUIRE(versions.size() == 2);
  CHECK(versions[1] == 9);
}

// Guards against a daemon that keeps an old configuration because a source told
// it parts that don't belong together, at a revision that then seems known.
TEST_CASE(
    "a configuration in parts of two versions is read from the platform") {
  boost::asio::io_context io;
  int lists = 0;
  HttpServer platform_server(
      &io, "127.0.0.1:0", HttpLimits{},
      [&](const std::shared_ptr<HttpExchange>& exchange) {
        const HttpRequest& request = exchange->request();
        bool configuration = request.path.find(platform::kConfigurationKind) !=
                             std::string::npos;
        if (request.query.find("watch=") != std::string::npos) {
          exchange->Answer(503, {}, "");
        } else if (configuration) {
          exchange->Answer(200, {}, ConfigurationList(lists++ == 0 ? 5 : 9));
        } else {
          exchange->Answer(200, {},
                           R"({"entries":[],"has_more":false,"at":5})");
        }
      });
  ChangeRelay source(Now, milliseconds(50));
  HttpServer source_server(&io, "127.0.0.1:0", HttpLimits{},
                           [&](const std::shared_ptr<HttpExchange>& exchange) {
                             source.Accept(exchange);
                           });
  platform::ObjectBatch servers;
  servers.revision = 9;
  source.Replaced(ChangeKind::kServers, servers, Now());
  platform::ObjectBatch mixed = servers;
  mixed.objects = {{platform::kConfigurationName, 9,
                    R"({"version":9,"parts":3,"digest":1})", false}};
  source.Replaced(ChangeKind::kConfiguration, mixed, Now());
  platform::ObjectStore store(&io, platform_server.address(),
                              milliseconds(2'000));
  ChangeRelay relay(Now, milliseconds(50));
  std::vector<std::uint64_t> versions;
  FleetFeed::Hooks hooks;
  hooks.now = Now;
  hooks.feed = [](const FleetEvent&) {};
  hooks.configured = [&](const FleetConfiguration& configuration) {
    versions.push_back(configuration.version);
  };
  FleetFeed feed(&io, &store, &relay, 1, milliseconds(3'000), hooks);
  FleetFeed::Role role;
  role.roles.reads_platform = false;
  role.roles.peers = {source_server.address()};
  feed.SetRole(role);
  feed.Start();
  TimePoint start = Now();
  while (versions.size() < 2 && Now() - start < milliseconds(4'000)) {
    io.restart();
    io.run_one_for(milliseconds(20));
    feed.Tick();
    source.Tick();
  }
  REQUIRE(versions.size() == 2);
  CHECK(versions[1] == 9);
  CHECK(lists == 2);
}

}  // namespace clementine
