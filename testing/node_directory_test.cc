#include "core/node_directory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "fmt/format.h"

namespace clementine {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

std::vector<PutObject> Puts(const std::vector<NodeDirectory::Action>& actions) {
  std::vector<PutObject> puts;
  for (const NodeDirectory::Action& action : actions) {
    if (const auto* put = std::get_if<PutObject>(&action)) puts.push_back(*put);
  }
  return puts;
}

}  // namespace

// Guards against a daemon that is never listed because its object does not
// exist yet, and against repeated calls without a pause.
TEST_CASE("node directory creates its object if it does not exist") {
  NodeDirectory directory("n1", 1, 1);
  std::vector<PutObject> puts = Puts(directory.Advance(kStart));
  REQUIRE(puts.size() == 1);
  CHECK(puts[0].if_version == kAnyVersion);
  directory.OnReply({puts[0].call, ObjectStatus::kNotFound, 0, ""}, kStart);
  puts = Puts(directory.Advance(kStart + milliseconds(50)));
  REQUIRE(puts.size() == 1);
  CHECK(puts[0].if_version == 0);
  directory.OnReply({puts[0].call, ObjectStatus::kOk, 4, ""}, kStart);
  CHECK(Puts(directory.Advance(kStart + milliseconds(100))).empty());
}

// Guards against counting daemons as live long after they ended.
TEST_CASE("node directory counts daemons whose objects change") {
  NodeDirectory directory("n1", 1, 1);
  directory.OnNodesListed({true, {{"n1", "1/1/5"}, {"n2", "1/1/5"}}}, kStart);
  CHECK(directory.live() == 2);
  TimePoint now = kStart + milliseconds(15'000);
  directory.OnNodesListed({true, {{"n2", "1/1/5"}, {"n3", "1/1/5"}}}, now);
  CHECK(directory.live() == 3);
  now += milliseconds(5'000);
  directory.OnNodesListed({false, {}}, now);
  directory.Advance(now);
  CHECK(directory.live() == 2);
}

// Guards against too many daemons that each consider themselves a standby of
// the planner.
TEST_CASE("node directories agree on the order of the daemons") {
  std::vector<std::pair<std::string, std::string>> nodes;
  for (int n = 0; n < 40; ++n) {
    nodes.emplace_back("n" + std::to_string(n), "1/1/5");
  }
  std::set<int> ranks;
  for (const auto& [name, value] : nodes) {
    NodeDirectory directory(name, 1, 1);
    directory.OnNodesListed({true, nodes}, kStart);
    ranks.insert(directory.Rank());
  }
  CHECK(ranks.size() == nodes.size());
  CHECK(*ranks.begin() == 0);
  CHECK(*ranks.rbegin() == 39);
}

// Guards against a data centre without a source of changes, with all daemons as
// sources, or with followers of another data centre's source; against the
// planner as a source; and against a source that sends all changes to all
// daemons over its own link.
TEST_CASE("node directories agree on one source of changes per data centre") {
  std::vector<std::pair<std::string, std::string>> nodes;
  for (int n = 0; n < 80; ++n) {
    std::string name = "n" + std::to_string(n);
    nodes.emplace_back(name, fmt::format("1/1/5 - dc{} {}:1", n % 2, name));
  }
  std::map<std::string, std::set<std::string>> sources;
  std::map<std::string, std::string> follows;  // Source by the follower's
                                               // address.
  std::map<std::string, int> followers;
  for (int n = 0; n < 80; ++n) {
    std::string name = "n" + std::to_string(n);
    std::string centre = "dc" + std::to_string(n % 2);
    NodeDirectory directory(name, 1, 1);
    directory.SetContact(centre, name + ":1");
    directory.OnNodesListed({true, nodes}, kStart);
    const ChangeRoles& roles = directory.change_roles();
    CHECK(roles.reads_platform == roles.is_source);
    CHECK(std::find(roles.peers.begin(), roles.peers.end(), name + ":1") ==
          roles.peers.end());
    // One more local daemon, and one of the other data centre.
    CHECK(roles.peers.size() >= 3);
    if (roles.is_source) {
      CHECK(directory.Rank() >= NodeDirectory::kStandbys);
      sources[centre].insert(name + ":1");
    } else {
      follows[name + ":1"] = roles.peers.front();
      ++followers[roles.peers.front()];
    }
  }
  CHECK(sources["dc0"].size() == 1);
  CHECK(sources["dc1"].size() == 1);
  for (const auto& entry : follows) {
    const std::string& address = entry.first;
    CAPTURE(address);
    // At most one daemon relays between the follower and the source of its data
    // centre.
    std::string last = entry.second;
    if (follows.count(last) > 0) last = follows[last];
    int number = std::stoi(address.substr(1));
    CHECK(sources["dc" + std::to_string(number % 2)].count(last) == 1);
  }
  for (const auto& [address, count] : followers) CHECK(count <= 20);
}

// Guards against a fleet in one data centre that depends on a single daemon.
TEST_CASE("two daemons read the platform when there is one data centre") {
  std::vector<std::pair<std::string, std::string>> nodes;
  for (int n = 0; n < 40; ++n) {
    std::string name = "n" + std::to_string(n);
    nodes.emplace_back(name, fmt::format("1/1/5 - dc {}:1", name));
  }
  int readers = 0;
  for (const auto& [name, value] : nodes) {
    NodeDirectory directory(name, 1, 1);
    directory.SetContact("dc", name + ":1");
    directory.OnNodesListed({true, nodes}, kStart);
    readers += directory.change_roles().reads_platform ? 1 : 0;
  }
  CHECK(readers == 2);
}

// Guards against a small fleet whose daemons cannot follow each other while the
// platform rejects some of them.
TEST_CASE(
    "daemons of a small fleet read the platform and can follow each other") {
  NodeDirectory directory("n0", 1, 1);
  directory.SetContact("dc0", "n0:1");
  directory.OnNodesListed({true,
                           {{"n0", "1/1/5 - dc0 n0:1"},
                            {"n1", "1/1/5 - dc0 n1:1"},
                            {"n2", "1/1/5 - dc1 n2:1"}}},
                          kStart);
  const ChangeRoles& roles = directory.change_roles();
  CHECK(roles.reads_platform);
  CHECK_FALSE(roles.is_source);
  CHECK(roles.peers.size() == 2);
}

// Guards against sources that remain chosen after they are gone.
TEST_CASE("node directory chooses other sources when one is gone") {
  std::vector<std::pair<std::string, std::string>> nodes;
  for (int n = 1; n < 40; ++n) {
    std::string name = "n" + std::to_string(n);
    nodes.emplace_back(name, fmt::format("1/1/5 - dc {}:1", name));
  }
  NodeDirectory directory("n0", 1, 1);
  directory.SetContact("dc", "n0:1");
  directory.OnNodesListed({true, nodes}, kStart);
  std::vector<std::string> before = directory.change_roles().peers;
  REQUIRE_FALSE(before.empty());
  std::erase_if(
      nodes, [&](const auto& node) { return node.first + ":1" == before[0]; });
  for (auto& [name, value] : nodes) value.replace(0, 3, "1/2");
  TimePoint later = kStart + std::chrono::seconds(60);
  directory.OnNodesListed({true, nodes}, later);
  const std::vector<std::string>& after = directory.change_roles().peers;
  CHECK(std::find(after.begin(), after.end(), before[0]) == after.end());
}

// Guards against a daemon that the platform turns away and that then knows no
// other daemon to learn of changes from (CONFIG).
TEST_CASE("node directory keeps the other daemons while it can't list them") {
  NodeDirectory directory("n0", 1, 1);
  directory.SetContact("c", "n0:1");
  std::vector<std::pair<std::string, std::string>> nodes = {
      {"n1", "1/1/5 - a n1:1"}, {"n2", "1/1/5 - b n2:1"}};
  directory.OnNodesListed({true, nodes}, kStart);
  REQUIRE(directory.change_roles().peers.size() == 2);
  TimePoint now = kStart;
  for (; now < kStart + std::chrono::seconds(60); now += milliseconds(500)) {
    directory.Advance(now);
    directory.OnNodesListed({false, {}}, now);
  }
  CHECK(directory.live() == 3);
  CHECK(directory.change_roles().peers.size() == 2);
  // Once it lists them again, those that ended meanwhile are gone.
  nodes[0].second = "1/9/5 - a n1:1";
  directory.OnNodesListed({true, nodes}, now);
  CHECK(directory.live() == 2);
  CHECK(directory.change_roles().peers == std::vector<std::string>{"n1:1"});
}

// Guards against a daemon that knows two others although there are more, and
// learns of no change while those two fail (CONFIG).
TEST_CASE("a daemon of a small fleet knows more others than may fail at once") {
  std::vector<std::pair<std::string, std::string>> nodes;
  for (const char* name : {"a1", "a2", "a3", "b1", "b2", "c1"}) {
    nodes.emplace_back(name, fmt::format("1/1/5 - {} {}:1", name[0], name));
  }
  for (const auto& node : nodes) {
    const std::string& name = node.first;
    NodeDirectory directory(name, 1, 1);
    directory.SetContact(std::string(1, name[0]), name + ":1");
    directory.OnNodesListed({true, nodes}, kStart);
    std::vector<std::string> peers = directory.change_roles().peers;
    std::set<std::string> distinct(peers.begin(), peers.end());
    CAPTURE(name);
    CHECK(distinct.size() >= 4);
    CHECK(distinct.size() == peers.size());
    CHECK(distinct.count(name + ":1") == 0);
  }
}

// Guards against platform calls that grow with the square of the fleet's size:
// each daemon renews one object and lists the objects of all daemons.
TEST_CASE("node directory calls the platform less often in a large fleet") {
  std::vector<std::pair<std::string, std::string>> nodes;
  for (int n = 0; n < 195; ++n) {
    nodes.emplace_back("n" + std::to_string(n), "1/1/5");
  }
  NodeDirectory directory("n0", 1, 1);
  directory.Advance(kStart);
  directory.OnNodesListed({true, nodes}, kStart);
  std::size_t calls = 0;
  for (milliseconds passed{50}; passed < milliseconds(60'000);
       passed += milliseconds(50)) {
    calls += directory.Advance(kStart + passed).size();
  }
  CHECK(calls <= 6);
}

// Guards against a daemon that receives most of the requests but may use only
// an equal share of the groups.
TEST_CASE("node directory computes this daemon's share of the requests") {
  NodeDirectory directory("n1", 1, 1);
  directory.Advance(kStart);
  CHECK(directory.share() == 0.0);
  directory.SetRequestCount(10);
  directory.Advance(kStart + milliseconds(2'000));
  directory.SetRequestCount(70);
  TimePoint now = kStart + milliseconds(4'000);
  directory.Advance(now);
  directory.OnNodesListed({true, {{"n2", "1/1/10.00"}, {"n3", "1/1/20.00"}}},
                          now);
  CHECK(directory.share() == doctest::Approx(0.5));
}

// Guards against daemons that each claim the whole capacity after a
// simultaneous start. Their first objects hold no rate yet, and a missing rate
// was read as zero.
TEST_CASE("daemons that have just started have equal shares") {
  NodeDirectory directory("n1", 1, 1);
  std::vector<PutObject> puts = Puts(directory.Advance(kStart));
  REQUIRE(puts.size() == 1);
  CHECK(puts[0].value == "1/1/? - - -");
  directory.OnNodesListed({true, {{"n2", "2/1/?"}, {"n3", "2/1/?"}}}, kStart);
  // Guards against a rate of the interval in which the first requests arrived:
  // it is too low, and the other daemons use it until the next renewal.
  directory.SetRequestCount(10);
  CHECK(Puts(directory.Advance(kStart + milliseconds(2'000))).empty());
  directory.SetRequestCount(70);
  TimePoint now = kStart + milliseconds(4'000);
  // A measured rate is published at once.
  puts = Puts(directory.Advance(now));
  REQUIRE(puts.size() == 1);
  CHECK(puts[0].value == "1/2/30.00 - - -");
  CHECK(directory.share() == doctest::Approx(1.0 / 3));
  directory.OnNodesListed({true, {{"n2", "2/2/10.00"}, {"n3", "2/1/?"}}}, now);
  CHECK(directory.share() == doctest::Approx(30.0 / 70));
}

// Guards against a small host that plans for a large fleet, or relays changes
// to a whole data centre, while larger hosts have spare capacity. In the
// observed fleet, nine hosts in ten had an eighth of a core.
TEST_CASE("fleet tasks are assigned to the daemons with the highest capacity") {
  std::vector<std::pair<std::string, std::string>> nodes;
  auto large = [](int n) { return n % 65 < 5; };
  for (int n = 0; n < 195; ++n) {
    std::string name = "n" + std::to_string(n);
    nodes.emplace_back(name, fmt::format("1/1/? - dc{} {}:1 {}", n % 5, name,
                                         large(n) ? 0.5 : 0.12));
  }
  std::map<std::string, int> followers;
  std::map<std::string, int> number;
  std::map<int, int> sources;  // Large sources by data centre.
  for (int n = 0; n < 195; ++n) {
    std::string name = "n" + std::to_string(n);
    number[name + ":1"] = n;
    NodeDirectory directory(name, 1, 1);
    directory.SetContact(fmt::format("dc{}", n % 5), name + ":1");
    directory.SetCapacity(large(n) ? 0.5 : 0.12);
    directory.OnNodesListed({true, nodes}, kStart);
    const ChangeRoles& roles = directory.change_roles();
    if (directory.Rank() < NodeDirectory::kStandbys) CHECK(large(n));
    if (roles.is_source && large(n)) ++sources[n % 5];
    if (!roles.is_source) ++followers[roles.peers.front()];
  }
  CHECK(sources.size() == 5);
  int by_large = 0;
  int all = 0;
  for (const auto& [address, count] : followers) {
    CHECK(count <= (large(number.at(address)) ? 39 : 16));
    by_large += large(number.at(address)) ? count : 0;
    all += count;
  }
  CHECK(by_large * 10 >= all * 8);
}

// Guards against a first daemon that becomes the planner because it has not
// discovered the others yet.
TEST_CASE("node directory reports when the rank of the daemons is known") {
  NodeDirectory directory("n1", 1, 1);
  directory.Advance(kStart);
  directory.OnNodesListed({true, {{"n1", "1/1/?"}}}, kStart + milliseconds(20));
  CHECK_FALSE(directory.IsRankKnown(kStart + milliseconds(20)));
  directory.OnNodesListed({true, {{"n1", "1/1/?"}, {"n2", "1/1/?"}}},
                          kStart + milliseconds(1'000));
  CHECK(directory.IsRankKnown(kStart + milliseconds(1'000)));
  // Without any list, the wait is bounded.
  NodeDirectory alone("n1", 1, 1);
  alone.Advance(kStart);
  CHECK(alone.IsRankKnown(kStart + milliseconds(3'000)));
}

}  // namespace clementine
