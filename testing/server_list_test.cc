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

// Guards against requests to a server that has left.
TEST_CASE("server list drops a removed entry at once in normal operation") {
  ServerList list;
  list.Replace({Server("a"), Server("b")}, kStart);
  list.Apply({{"a", std::nullopt}}, kStart + milliseconds(10));
  CHECK(list.servers().size() == 1);
}

// Guards against groups that are dissolved because the platform was
// unavailable.
TEST_CASE("server list waits for entries that lapsed during an outage") {
  ServerList list;
  list.Replace({Server("a"), Server("b"), Server("c")}, kStart);
  TimePoint now = kStart + milliseconds(500);
  list.OnUnreachable(now);
  now += milliseconds(4'000);
  list.OnUnreachable(now);
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

// Guards against entries that expire while the servers cannot renew them.
TEST_CASE("server list keeps lapsed entries through a second outage") {
  ServerList list;
  list.Replace({Server("a")}, kStart);
  TimePoint now = kStart;
  list.OnUnreachable(now);
  now += milliseconds(3'000);
  list.Replace({}, now);
  list.OnUnreachable(now);
  now += milliseconds(5'000);
  CHECK_FALSE(list.Expire(now));
  CHECK(list.servers().size() == 1);
}

// Guards against requests to a server that announced that it is leaving, while
// the list is stale, unavailable or contradicts the announcement.
TEST_CASE("a server's leaving announcement overrides the list") {
  ServerList list;
  BackendServer server = Server("a");
  server.incarnation = 5;
  list.Replace({server}, kStart);
  CHECK(list.MarkLeaving("a", kStart));
  CHECK_FALSE(list.MarkLeaving("a", kStart));
  CHECK(list.servers().at("a").leaving);
  TimePoint now = kStart + milliseconds(100);
  list.Apply({{"a", server}}, now);
  CHECK(list.servers().at("a").leaving);
  list.OnUnreachable(now);
  now += milliseconds(20'000);
  list.Replace({server}, now);
  CHECK(list.servers().at("a").leaving);
  // The entry lapses and is registered again.
  list.Apply({{"a", std::nullopt}}, now + milliseconds(4'000));
  CHECK(list.servers().empty());
  list.Apply({{"a", server}}, now + milliseconds(5'000));
  CHECK(list.servers().at("a").leaving);
}

// Guards against a new process that gets no requests because an earlier one
// with the same id has left, and against an older entry that removes the mark
// of the new process.
TEST_CASE("a leaving mark ends with the server's incarnation") {
  ServerList list;
  BackendServer server = Server("a");
  server.incarnation = 5;
  list.Replace({server}, kStart);
  list.MarkLeaving("a", kStart);
  BackendServer later = server;
  later.incarnation = 9;
  list.Apply({{"a", later}}, kStart + milliseconds(10));
  CHECK_FALSE(list.servers().at("a").leaving);
  list.MarkLeaving("a", kStart + milliseconds(20));
  list.Apply({{"a", server}}, kStart + milliseconds(30));
  list.Apply({{"a", later}}, kStart + milliseconds(40));
  CHECK(list.servers().at("a").leaving);
  CHECK_FALSE(list.MarkLeaving("unknown", kStart));
}

// Guards against losing a mark that arrives just after the entry has lapsed.
TEST_CASE("a server can be marked as leaving while it is not listed") {
  ServerList list;
  BackendServer server = Server("a");
  server.incarnation = 5;
  list.Replace({server}, kStart);
  list.Apply({{"a", std::nullopt}}, kStart + milliseconds(10));
  CHECK_FALSE(list.MarkLeaving("a", kStart + milliseconds(20)));
  list.Apply({{"a", server}}, kStart + milliseconds(30));
  CHECK(list.servers().at("a").leaving);
}

/// Returns groups of four servers. The first server of each is the open head.
std::vector<BackendServer> Groups(int groups) {
  std::vector<BackendServer> servers;
  for (int i = 0; i < groups * 4; ++i) {
    BackendServer server = Server("s" + std::to_string(i));
    server.member = {
        "g" + std::to_string(i / 4), 1, i % 4,
        i % 4 == 0 ? GroupMemberState::kOpen : GroupMemberState::kReady};
    servers.push_back(server);
  }
  return servers;
}

// Guards against closing and dissolving groups that still serve, because many
// of their members are partitioned from the platform.
TEST_CASE("members of open groups are kept when many entries lapse together") {
  ServerList list;
  list.Replace(Groups(10), kStart);
  TimePoint now = kStart;
  for (int group = 0; group < 6; ++group) {
    now += milliseconds(150);
    list.Apply({{"s" + std::to_string(4 * group + 1), std::nullopt}}, now);
    list.Expire(now);
  }
  TimePoint cut = now;
  while (now < cut + milliseconds(15'000)) {
    now += milliseconds(50);
    CHECK_FALSE(list.Expire(now));
  }
  CHECK(list.kept_members() == 6);
  CHECK(list.servers().at("s1").lapsed);
  // A broken head means that the lapsed members are gone.
  BackendServer broken = list.servers().at("s0");
  broken.member.state = GroupMemberState::kBroken;
  list.Apply({{"s0", broken}}, now);
  CHECK(list.Expire(now));
  CHECK(list.servers().count("s1") == 0);
  // A member that registers again is not marked as lapsed.
  BackendServer back = list.servers().at("s5");
  back.lapsed = false;
  list.Apply({{"s5", back}}, now);
  CHECK_FALSE(list.servers().at("s5").lapsed);
  // The remaining lapsed members are kept for a bounded time.
  now = cut + milliseconds(21'000);
  list.Expire(now);
  CHECK(list.kept_members() == 0);
  CHECK(list.servers().size() == 35);
}

// Guards against requests to a head that is gone, against keeping a single
// lapsed member for long, and against keeping a member that announced that it
// is leaving.
TEST_CASE("lapsed servers are not kept if they are heads, few or leaving") {
  ServerList list;
  std::vector<BackendServer> servers = Groups(10);
  servers[38].leaving = true;
  list.Replace(servers, kStart);
  TimePoint now = kStart + milliseconds(100);
  list.Apply({{"s0", std::nullopt}, {"s38", std::nullopt}}, now);
  CHECK(list.servers().count("s0") == 0);
  CHECK(list.servers().count("s38") == 0);
  list.Apply({{"s1", std::nullopt}, {"s5", std::nullopt}}, now);
  now += milliseconds(50);
  CHECK(list.Expire(now));
  CHECK(list.servers().count("s1") == 0);  // The head is gone.
  CHECK(list.servers().count("s5") == 1);
  now += milliseconds(1'100);
  CHECK(list.Expire(now));
  CHECK(list.servers().count("s5") == 0);
}

// Guards against missing the end of a server that registers under another id,
// or again before its entry has lapsed.
TEST_CASE("server list reports servers that have ended") {
  auto server = [](const std::string& id, std::int64_t incarnation,
                   const std::string& address) {
    BackendServer made = Server(id);
    made.incarnation = incarnation;
    made.address = address;
    return made;
  };
  using Hosts = std::vector<std::string>;
  ServerList list;
  TimePoint now = kStart;
  list.Replace({server("a", 10, "1"), server("b", 10, "2")}, now);
  CHECK(list.TakeEndedServers().empty());
  // Changes of other fields, and entries that return after a lapse, do not mean
  // an end.
  list.Apply({{"a", server("a", 10, "1")}}, now);
  list.Apply({{"b", std::nullopt}}, now);
  list.Apply({{"b", server("b", 10, "2")}}, now);
  CHECK(list.TakeEndedServers().empty());
  list.Apply({{"a", server("a", 20, "1")}}, now);
  CHECK(list.TakeEndedServers() == Hosts{"a"});
  CHECK(list.TakeEndedServers().empty());
  // Another server registers at the address while the first is listed, or
  // afterwards.
  list.Apply({{"c", server("c", 30, "1")}}, now);
  CHECK(list.TakeEndedServers() == Hosts{"a"});
  list.Apply({{"b", std::nullopt}}, now);
  list.Apply({{"d", server("d", 30, "2")}}, now + milliseconds(3'000));
  CHECK(list.TakeEndedServers() == Hosts{"b"});
  list.Apply({{"d", std::nullopt}}, now + milliseconds(4'000));
  list.Apply({{"d", server("d", 40, "2")}}, now + milliseconds(5'000));
  CHECK(list.TakeEndedServers() == Hosts{"d"});
}

}  // namespace clementine
