// Priority of requests as backend servers get it.

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "testing/relay_fixture.h"

namespace clementine {
namespace {

using nettest::HttpAnswer;
using nettest::RawConnection;
using nettest::RelayFixture;

/// Routes to one service; the first takes the fixture's requests.
std::shared_ptr<const RouteTable> Routes(int priority, int other_priority) {
  FleetConfiguration configuration;
  configuration.services["desk"].name = "desk";
  for (const char* host : {"desk.example", "other.example"}) {
    RouteRule route;
    route.host = host;
    route.path_prefix = "/";
    route.is_public = true;
    route.priority = configuration.routes.empty() ? priority : other_priority;
    route.shares = {{"desk", 1.0}};
    configuration.routes.push_back(route);
  }
  return std::make_shared<const RouteTable>(configuration);
}

}  // namespace

// Guards against servers that don't learn the priority, and against callers
// that set it themselves.
TEST_CASE("the relay forwards its own priority header only") {
  constexpr char kName[] = "X-Clementinelb-Request-Priority";
  for (int other_priority : {0, 2}) {
    CAPTURE(other_priority);
    RelayFixture relay([](RawConnection& raw, const std::string& /*request*/) {
      raw.Send(HttpAnswer(200, "ok"));
    });
    relay.executor.SetRoutes(Routes(2, other_priority));
    relay.Call(std::string(kName) + ": 0\r\n");
    REQUIRE(relay.backend.requests.size() == 1);
    const std::string& request = relay.backend.requests[0];
    CHECK(request.find(std::string(kName) + ": 0") == std::string::npos);
    bool forwarded =
        request.find(std::string(kName) + ": 6\r\n") != std::string::npos;
    CHECK(forwarded == (other_priority != 2));
  }
}

}  // namespace clementine
