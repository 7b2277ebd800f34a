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

// Guards against work for a server that said itself that it's leaving, while
// the list is stale, away, or says otherwise (DRAIN).
TEST_CASE("a server's own word that it's leaving outlives what the list says") {
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
  list.Unreachable(now);
  now += milliseconds(20'000);
  list.Replace({server}, now);
  CHECK(list.servers().at("a").leaving);
  // Its entry lapses and comes back.
  list.Apply({{"a", std::nullopt}}, now + milliseconds(4'000));
  CHECK(list.servers().empty());
  list.Apply({{"a", server}}, now + milliseconds(5'000));
  CHECK(list.servers().at("a").leaving);
}

// Guards against a new process that gets no work because an earlier one of the
// same id has left, and against a mark of the new one that an older entry ends.
TEST_CASE("a mark of a server ends with its life") {
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

// Guards against a mark that comes just after the entry has lapsed.
TEST_CASE("a server can be marked while it isn't listed") {
  ServerList list;
  BackendServer server = Server("a");
  server.incarnation = 5;
  list.Replace({server}, kStart);
  list.Apply({{"a", std::nullopt}}, kStart + milliseconds(10));
  CHECK_FALSE(list.MarkLeaving("a", kStart + milliseconds(20)));
  list.Apply({{"a", server}}, kStart + milliseconds(30));
  CHECK(list.servers().at("a").leaving);
}

/// Groups of four, whose first server is the open head.
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

// Guards against groups that are taken from callers, and apart, because the way
// of many members to the platform is cut while they go on serving.
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
  CHECK(list.kept() == 6);
  CHECK(list.servers().at("s1").lapsed);
  // A group whose head breaks has lost them.
  BackendServer broken = list.servers().at("s0");
  broken.member.state = GroupMemberState::kBroken;
  list.Apply({{"s0", broken}}, now);
  CHECK(list.Expire(now));
  CHECK(list.servers().count("s1") == 0);
  // One that is back is like any other.
  BackendServer back = list.servers().at("s5");
  back.lapsed = false;
  list.Apply({{"s5", back}}, now);
  CHECK_FALSE(list.servers().at("s5").lapsed);
  // The others aren't kept for ever.
  now = cut + milliseconds(21'000);
  list.Expire(now);
  CHECK(list.kept() == 0);
  CHECK(list.servers().size() == 35);
}

// Guards against work for a head that is gone, against a member that counts for
// long though it left alone, and against one that said that it leaves.
TEST_CASE("lapsed servers aren't kept when they are heads, few or leaving") {
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
  CHECK(list.servers().count("s1") == 0);  // Its head is gone.
  CHECK(list.servers().count("s5") == 1);
  now += milliseconds(1'100);
  CHECK(list.Expire(now));
  CHECK(list.servers().count("s5") == 0);
}

// Guards against the end of a server that nobody notices, because it's back
// under another id, or before its entry has lapsed.
TEST_CASE("server list tells which servers have ended") {
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
  CHECK(list.TakeEnded().empty());
  // Entries that change in something else, or come back after a lapse.
  list.Apply({{"a", server("a", 10, "1")}}, now);
  list.Apply({{"b", std::nullopt}}, now);
  list.Apply({{"b", server("b", 10, "2")}}, now);
  CHECK(list.TakeEnded().empty());
  list.Apply({{"a", server("a", 20, "1")}}, now);
  CHECK(list.TakeEnded() == Hosts{"a"});
  CHECK(list.TakeEnded().empty());
  // Another server has its address, while it's still listed or after that.
  list.Apply({{"c", server("c", 30, "1")}}, now);
  CHECK(list.TakeEnded() == Hosts{"a"});
  list.Apply({{"b", std::nullopt}}, now);
  list.Apply({{"d", server("d", 30, "2")}}, now + milliseconds(3'000));
  CHECK(list.TakeEnded() == Hosts{"b"});
  list.Apply({{"d", std::nullopt}}, now + milliseconds(4'000));
  list.Apply({{"d", server("d", 40, "2")}}, now + milliseconds(5'000));
  CHECK(list.TakeEnded() == Hosts{"d"});
}

}  // namespace clementine
