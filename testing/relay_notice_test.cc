// What answers of backend servers say of themselves, from their bytes to the
// events that the decisions get.

#include <doctest/doctest.h>

#include "core/route_table.h"
#include "daemon/relay_executor.h"
#include "testing/net_test_support.h"

namespace clementine {
namespace {

using nettest::HttpAnswer;
using nettest::RawConnection;
using nettest::RunUntil;
using nettest::ScriptedServer;

constexpr char kSigned[] = "X-Clementinelb-Response-Signature: s\r\n";

/// A relay before one plain server that answers as told.
struct RelayFixture {
  explicit RelayFixture(const std::string& answer)
      : backends(&io, BackendOptions()),
        path(RequestPathOptions()),
        executor(Context()),
        backend(&io, [answer](RawConnection& raw,
                              const std::string&) { raw.Send(answer); }),
        front(&io, "127.0.0.1:0", HttpLimits{},
              [this](const std::shared_ptr<HttpExchange>& exchange) {
                executor.Accept(exchange);
              }) {
    FleetConfiguration configuration;
    configuration.version = 1;
    configuration.services["desk"].name = "desk";
    RouteRule route;
    route.name = "r";
    route.host = "desk.example";
    route.path_prefix = "/";
    route.open_to_all = true;
    route.shares = {{"desk", 1.0}};
    configuration.routes.push_back(route);
    auto routes = std::make_shared<const RouteTable>(configuration);
    ConfigurationChanged changed;
    changed.generation = 1;
    changed.configuration = std::make_shared<const Configuration>(
        ToRequestPathConfiguration(routes->configuration()));
    Feed(changed);
    executor.SetRoutes(routes);
    GroupView view;
    view.group = "desk/h1";
    view.service = "desk";
    view.epoch = 5;
    view.leader_host = "h1";
    view.leader_address = backend.address;
    view.open = true;
    executor.SetGroups({view});
    Feed(GroupsChanged{{view}});
  }

  RelayContext Context() {
    RelayContext context;
    context.backends = &backends;
    context.metrics = &metrics;
    context.now = [] { return std::chrono::steady_clock::now(); };
    context.feed = [this](const RequestEvent& event) { Feed(event); };
    context.feed_fleet = [this](const FleetEvent& event) {
      fleet_events.push_back(event);
    };
    return context;
  }
  void Feed(const RequestEvent& event) {
    for (const RequestAction& action :
         path.Handle(event, std::chrono::steady_clock::now())) {
      executor.Execute(action);
    }
  }
  /// @return All that the caller got.
  std::string Call() {
    auto caller = RawConnection::Connect(&io, front.address());
    caller->Send(
        "GET /x HTTP/1.1\r\nHost: desk.example\r\n"
        "Connection: close\r\n\r\n");
    CHECK(RunUntil(&io, [&] { return caller->closed; }));
    return caller->received;
  }
  template <typename Event>
  std::optional<Event> Told() const {
    for (const FleetEvent& event : fleet_events) {
      if (const auto* found = std::get_if<Event>(&event)) return *found;
    }
    return std::nullopt;
  }

  boost::asio::io_context io;
  BackendClient backends;
  Metrics metrics;
  std::vector<FleetEvent> fleet_events;
  RequestPath path;
  RelayExecutor executor;
  ScriptedServer backend;
  HttpServer front;
};

}  // namespace

// Guards against a server that says in an answer that it's leaving and goes on
// getting requests until the list tells it (DRAIN).
TEST_CASE("a server's mark is heeded on whole answers, errors and refusals") {
  const std::string leaving = "Server-Leaving: 1\r\n";
  for (const std::string& answer :
       {HttpAnswer(200, "ok", kSigned + leaving),
        HttpAnswer(404, "no", kSigned + leaving),
        HttpAnswer(500, "bad", kSigned + leaving),
        HttpAnswer(503, "", "X-Clementinelb-Not-Executed: 1\r\n" + leaving)}) {
    CAPTURE(answer);
    RelayFixture relay(answer);
    relay.Call();
    auto told = relay.Told<ServerLeaving>();
    REQUIRE(told);
    CHECK(told->host == "h1");
  }
  RelayFixture other(HttpAnswer(200, "ok", kSigned));
  CHECK(other.Call().find(" 200 ") != std::string::npos);
  CHECK_FALSE(other.Told<ServerLeaving>());
}

// Guards against callers of a busy server who are sent to it all the same, and
// told to come back before it takes requests (BUDGET).
TEST_CASE("a refusal with a time keeps the next requests from its server") {
  RelayFixture relay(HttpAnswer(
      503, "", "X-Clementinelb-Not-Executed: 1\r\nRetry-After: 4.5\r\n"));
  CHECK(relay.Call().find(" 503 ") != std::string::npos);
  CHECK(relay.backend.requests.size() == 1);
  auto told = relay.Told<ServerBusy>();
  REQUIRE(told);
  CHECK(told->wait == milliseconds(4'500));
  for (int i = 0; i < 5; ++i) {
    std::string refused = relay.Call();
    CHECK(refused.find(" 503 ") != std::string::npos);
    std::size_t wait = refused.find("Retry-After: ");
    REQUIRE(wait != std::string::npos);
    CHECK(std::stod(refused.substr(wait + 13)) > 3.5);
  }
  CHECK(relay.backend.requests.size() == 1);
}

}  // namespace clementine
