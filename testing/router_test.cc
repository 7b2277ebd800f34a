#include "core/router.h"

#include <doctest/doctest.h>

#include <map>

namespace clementine {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

GroupView MakeGroup(int index, const std::string& data_centre = "east") {
  GroupView view;
  view.group = "chat/" + std::to_string(index);
  view.model = "chat";
  view.data_centre = data_centre;
  view.epoch = 1;
  view.max_running = 8;
  view.open = true;
  return view;
}

std::vector<GroupView> MakeGroups(int count) {
  std::vector<GroupView> groups;
  for (int i = 0; i < count; ++i) {
    groups.push_back(MakeGroup(i));
  }
  return groups;
}

Request ChatRequest() {
  Request request;
  request.model = "chat";
  return request;
}

/// Picks without ending attempts and counts the picks of each group.
std::map<std::string, int> Fill(Router* router, const Request& request,
                                int picks) {
  std::map<std::string, int> counts;
  for (int i = 0; i < picks; ++i) {
    GroupState* group =
        router->Pick(request, *router->FindPool(request), nullptr, kStart);
    REQUIRE(group != nullptr);
    router->Started(group);
    ++counts[group->view.group];
  }
  return counts;
}

// Guards against work for groups that can't do it.
TEST_CASE("router picks only open groups of the model and adapter") {
  std::vector<GroupView> groups = MakeGroups(5);
  groups[0].open = false;
  groups[1].leaving = true;
  groups[2].model = "other";
  groups[3].adapters = {"dents"};
  Router router("east", 1, {});
  router.SetGroups(groups);
  Request request = ChatRequest();
  auto counts = Fill(&router, request, 8);
  CHECK(counts.size() == 2);
  CHECK(counts["chat/3"] + counts["chat/4"] == 8);
  request.adapter = "dents";
  CHECK(Fill(&router, request, 4)["chat/3"] == 4);
  request.adapter = "absent";
  CHECK(router.FindPool(request) == nullptr);
}

// Guards against herding: without load reports the work spreads evenly.
TEST_CASE("router balances own attempts over many groups") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(42));
  int most = 0;
  for (const auto& [name, count] : Fill(&router, ChatRequest(), 42 * 4)) {
    most = std::max(most, count);
  }
  CHECK(most <= 6);
}

// Guards against a group that other daemons have filled.
TEST_CASE("a fresh load report counts and an old one fades") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(2));
  router.ReportLoad({"chat/0", 1, 8, 4, 0.5}, milliseconds(0), kStart);
  CHECK(Fill(&router, ChatRequest(), 8)["chat/1"] == 8);
  Router later("east", 1, {});
  later.SetGroups(MakeGroups(2));
  later.ReportLoad({"chat/0", 1, 8, 4, 0.5}, milliseconds(30'000), kStart);
  CHECK(Fill(&later, ChatRequest(), 8)["chat/1"] == 4);
  // A report about an earlier epoch says nothing about this one.
  later.ReportLoad({"chat/1", 0, 8, 8, 0.5}, milliseconds(0), kStart);
  CHECK(Fill(&later, ChatRequest(), 8)["chat/1"] == 4);
}

// Guards against traffic between data centres while the own one has room, and
// against refusing work while another one has room.
TEST_CASE("other data centres are used when the own one is full") {
  Router router("east", 1, {});
  router.SetGroups({MakeGroup(0), MakeGroup(1, "west")});
  auto counts = Fill(&router, ChatRequest(), 12);
  CHECK(counts["chat/0"] == 8);
  CHECK(counts["chat/1"] == 4);
  CHECK_FALSE(router.HasRoom(*router.FindPool(ChatRequest())));
}

// Guards against limits that a fleet of daemons would exceed together.
TEST_CASE("the limit is divided by the number of daemons") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(6));
  Pool& pool = *router.FindPool(ChatRequest());
  CHECK(router.Limit(pool) == 48);
  router.SetLive(6);
  CHECK(router.Limit(pool) == 8);
  router.SetLive(1000);
  CHECK(router.Limit(pool) == 1);
}

// Guards against a retry that returns to the group that just failed.
TEST_CASE("an avoided group is never picked") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(2));
  Pool& pool = *router.FindPool(ChatRequest());
  GroupState* avoid = router.Pick(ChatRequest(), pool, nullptr, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(router.Pick(ChatRequest(), pool, avoid, kStart) != avoid);
  }
  router.SetGroups(MakeGroups(1));
  CHECK(router.Pick(ChatRequest(), pool, pool.near.front(), kStart) == nullptr);
}

// Guards against computing a prompt again that a group has cached.
TEST_CASE("cached prefixes attract until a gap makes them unknown") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(100));
  Request request = ChatRequest();
  request.prefix_blocks = {11, 12, 13, 14};
  Pool& pool = *router.FindPool(request);
  router.ApplyCacheEvents({"chat/70", 5, {11, 12, 13, 14}, {}});
  for (int i = 0; i < 20; ++i) {
    CHECK(router.Pick(request, pool, nullptr, kStart)->view.group == "chat/70");
  }
  router.ApplyCacheEvents({"chat/70", 12, {99}, {}});
  int hits = 0;
  for (int i = 0; i < 20; ++i) {
    hits += router.Pick(request, pool, nullptr, kStart)->view.group == "chat/70"
                ? 1
                : 0;
  }
  CHECK(hits < 10);
}

// Guards against unbounded memory and wrong knowledge in the prefix index.
TEST_CASE("prefix cache is bounded and never wrong") {
  PrefixCache cache(100);
  std::vector<std::uint64_t> many;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    many.push_back(i);
  }
  cache.Apply(3, 1, many, {});
  CHECK(cache.blocks() <= 100);
  cache.Apply(3, 1001, {5000, 5001}, {});
  CHECK(cache.Find({5000, 5001}).fraction == 1.0);
  cache.Apply(3, 1003, {}, {5001});
  CHECK(cache.Find({5000, 5001}).fraction == 0.5);
  cache.Apply(3, 1003, {7}, {});  // Numbers that were used before.
  CHECK(cache.Find({5000}).count == 0);
  CHECK(cache.Find({7}).count == 1);
  cache.Apply(3, 1004, {8}, {8});  // In an order that isn't known.
  CHECK(cache.Find({8}).count == 0);
}

// Guards against a slow replica that holds up a share of all requests, and
// against ejecting so many that the rest is overrun.
TEST_CASE("stragglers get less work, step by step, down to a floor") {
  std::vector<Pace> paces(6);
  std::vector<Pace*> peers;
  for (Pace& pace : paces) {
    peers.push_back(&pace);
  }
  TimePoint now = kStart;
  auto sample = [&](std::size_t slow) {
    for (std::size_t i = 0; i < paces.size(); ++i) {
      for (int n = 0; n < 10; ++n) {
        paces[i].AddFirstProgress(milliseconds(i < slow ? 1000 : 100), now);
      }
    }
  };
  sample(1);
  UpdateSlowness(peers, now);
  CHECK(paces[0].slowness() == doctest::Approx(2.0));
  CHECK(paces[1].slowness() == doctest::Approx(1.0));
  for (int i = 0; i < 20; ++i) {
    UpdateSlowness(peers, now);
  }
  CHECK(paces[0].slowness() == doctest::Approx(8.0));
  sample(2);  // The median of 6 is still fast.
  UpdateSlowness(peers, now);
  CHECK(paces[1].slowness() > 1.0);
  for (int i = 0; i < 20; ++i) {
    sample(5);  // Nearly all are slow: nobody is a straggler.
    UpdateSlowness(peers, now);
  }
  for (const Pace& pace : paces) {
    CHECK(pace.slowness() == doctest::Approx(1.0));
  }
  sample(1);
  for (int i = 0; i < 20; ++i) {
    UpdateSlowness(peers, now);
  }
  // Without new samples the group is tried again.
  now += std::chrono::minutes(5);
  for (int i = 0; i < 20; ++i) {
    UpdateSlowness(peers, now);
  }
  CHECK(paces[0].slowness() == doctest::Approx(1.0));
}

// Guards against measured slowness that routing ignores, or ejects.
TEST_CASE("a straggler is routed less work but some") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(4));
  for (GroupState* group : router.FindPool(ChatRequest())->near) {
    bool slow = group->view.group == "chat/2";
    for (int i = 0; i < 10; ++i) {
      group->pace.AddFirstProgress(milliseconds(slow ? 400 : 100), kStart);
    }
  }
  for (int second = 0; second < 5; ++second) {
    router.Refresh(kStart + std::chrono::seconds(second));
  }
  auto counts = Fill(&router, ChatRequest(), 24);
  CHECK(counts["chat/2"] >= 1);
  CHECK(counts["chat/2"] <= 3);
  CHECK(counts["chat/1"] >= 6);
}

// Guards the baselines, against which the weighted policy is measured.
TEST_CASE("baseline policies pick in turn and by least in flight") {
  Router turn("east", 1, RoundRobinPolicy());
  turn.SetGroups(MakeGroups(3));
  for (const auto& [name, count] : Fill(&turn, ChatRequest(), 9)) {
    CHECK(count == 3);
  }
  Router least("east", 1, LeastInFlightPolicy());
  least.SetGroups(MakeGroups(3));
  for (const auto& [name, count] : Fill(&least, ChatRequest(), 9)) {
    CHECK(count == 3);
  }
}

}  // namespace
}  // namespace clementine
