#include "core/route_table.h"

#include <doctest/doctest.h>

namespace clementine {
namespace {

RouteRule Route(const std::string& name, const std::string& prefix) {
  RouteRule route;
  route.name = name;
  route.host = "shop.example";
  route.path_prefix = prefix;
  route.priority = 2;
  route.shares = {{"engine", 1.0}};
  return route;
}

FleetConfiguration Fleet() {
  FleetConfiguration fleet;
  fleet.version = 7;
  fleet.routes = {Route("all", "/"), Route("orders", "/orders/"),
                  Route("old", "/orders/old/"), Route("open", "/open/")};
  fleet.routes[3].is_public = true;
  fleet.organisations = {{"garage", {"k1", "k2"}, std::nullopt},
                         {"setters", {"k3"}, 0}};
  return fleet;
}

}  // namespace

// Guards against routing a request by a shorter prefix than the longest match.
TEST_CASE("route table takes the longest prefix of a path") {
  RouteTable table(Fleet());
  auto name = [&](const char* path) {
    return table.Find("shop.example", path, "k1").route->name;
  };
  CHECK(name("/orders/old/7") == "old");
  CHECK(name("/orders/old/") == "old");
  CHECK(name("/orders/old") == "orders");
  CHECK(name("/orders/older/7") == "orders");
  CHECK(name("/orders") == "all");
  CHECK(name("/") == "all");
  CHECK(table.Find("SHOP.example:8080", "/", "k1").route != nullptr);
  CHECK(table.Find("other.example", "/", "k1").verdict ==
        RouteTable::Verdict::kNoRoute);
}

// Guards against attributing a request to the wrong organisation, and against
// refusing a request to a public route that has no key.
TEST_CASE("route table finds the organisation of a key") {
  RouteTable table(Fleet());
  RouteTable::Match match = table.Find("shop.example", "/orders/1", "k2");
  CHECK(match.organisation == "garage");
  CHECK(match.priority == 2);
  CHECK(table.Find("shop.example", "/orders/1", "k3").priority == 0);
  CHECK(table.Find("shop.example", "/orders/1", "k").verdict ==
        RouteTable::Verdict::kInvalidKey);
  CHECK(table.Find("shop.example", "/orders/1", "").verdict ==
        RouteTable::Verdict::kInvalidKey);
  match = table.Find("shop.example", "/open/1", "");
  CHECK(match.verdict == RouteTable::Verdict::kFound);
  CHECK(match.organisation.empty());
}

// Guards against routing requests to a service whose weight is zero.
TEST_CASE("route table picks services by weight") {
  RouteRule route = Route("split", "/");
  route.shares = {{"a", 90.0}, {"none", 0.0}, {"b", 10.0}};
  constexpr int kPicks = 1000;
  int b = 0;
  for (int i = 0; i < kPicks; ++i) {
    // Midpoints of kPicks equal intervals of the range.
    std::uint64_t interval = ~std::uint64_t{0} / kPicks;
    std::uint64_t random =
        interval * static_cast<std::uint64_t>(i) + interval / 2;
    const std::string& service = RouteTable::PickService(route, random);
    CHECK(service != "none");
    if (service == "b") ++b;
  }
  CHECK(b == 100);
}

// Guards against servers that serve requests of different priorities alike, and
// against a header for services whose requests all have the same priority.
TEST_CASE("a priority is forwarded only where a service has several") {
  FleetConfiguration configuration;
  auto add = [&](const char* host, const char* service, int priority) {
    RouteRule route;
    route.host = host;
    route.path_prefix = "/";
    route.priority = priority;
    route.shares = {{service, 1.0}};
    configuration.routes.push_back(route);
  };
  add("a.example", "desk", 1);
  add("b.example", "desk", 2);
  add("c.example", "shop", 2);
  CHECK(RouteTable(configuration).ForwardedPriority("desk", 1) == 3);
  CHECK(RouteTable(configuration).ForwardedPriority("desk", 2) == 6);
  CHECK(RouteTable(configuration).ForwardedPriority("desk", 2'000'000'000) ==
        9);
  CHECK(RouteTable(configuration).ForwardedPriority("desk", -1) == 0);
  CHECK_FALSE(RouteTable(configuration).ForwardedPriority("shop", 2));
  CHECK_FALSE(RouteTable(configuration).ForwardedPriority("none", 2));
  configuration.organisations.push_back({"ash", {"key"}, 0});
  CHECK(RouteTable(configuration).ForwardedPriority("shop", 2) == 6);
}

}  // namespace clementine
