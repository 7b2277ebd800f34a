#include "core/server_list.h"

#include <doctest/doctest.h>

namespace clementine {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

BackendServer Server(const std::string& id) {
  BackendServer server;
  server.id = id;
  server.service = "engine";
  return server;
}

}  // namespace

// Guards against work for a server that has left.
TEST_CASE("server list drops a removed entry at once in normal times") {
  ServerList list;
  list.Replace({Server("a"), Server("b")}, kStart);
  list.Apply({{"a", std::nullopt}}, kStart + milliseconds(10));
  CHECK(list.servers().size() == 1);
}

// Guards against groups that are taken apart because the registry was away.
TEST_CASE("server list waits for entries that lapsed during an outage") {
  ServerList list;
  list.Replace({Server("a"), Server("b"), Server("c")}, kStart);
  TimePoint now = kStart + milliseconds(500);
  list.Unreachable(now);
  now += milliseconds(4'000);
  list.Unreachable(now);
  CHECK(list.servers().size() == 3);
  list.Replace({Server("a")}, now);
  CHECK(list.servers().size() == 3);
  now += milliseconds(1'900);
  list.Apply({{"b", Server("b")}}, now);
  CHECK_FALSE(list.Expire(now));
  now += milliseconds(500);
  CHECK(list.Expire(now));
  CHECK(list.servers().count("b") == 1);
  CHECK(list.servers().count("c") == 0);
}

// Guards against entries that expire while nobody could have renewed them.
TEST_CASE("server list keeps lapsed entries through a second outage") {
  ServerList list;
  list.Replace({Server("a")}, kStart);
  TimePoint now = kStart;
  list.Unreachable(now);
  now += milliseconds(3'000);
  list.Replace({}, now);
  list.Unreachable(now);
  now += milliseconds(5'000);
  CHECK_FALSE(list.Expire(now));
  CHECK(list.servers().size() == 1);
}

}  // namespace clementine
