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

/// Starts attempts without ending them and counts the attempts of each group.
std::map<std::string, int> PickMany(Router* router, const Request& request,
                                    int picks) {
  std::map<std::string, int> counts;
  for (int i = 0; i < picks; ++i) {
    RoutedGroup* group =
        router->Pick(request, *router->FindPool(request), nullptr, kStart);
    REQUIRE(group != nullptr);
    router->OnAttemptStarted(group, kStart);
    ++counts[group->view.group];
  }
  return counts;
}

// Guards against requests to groups that can't serve them.
TEST_CASE("router picks only open groups of the model and adapter") {
  std::vector<GroupView> groups = MakeGroups(5);
  groups[0].open = false;
  groups[1].leaving = true;
  groups[2].model = "other";
  groups[3].adapters = {"dents"};
  Router router("east", 1, {});
  router.SetGroups(groups);
  Request request = ChatRequest();
  auto counts = PickMany(&router, request, 8);
  CHECK(counts.size() == 2);
  CHECK(counts["chat/3"] + counts["chat/4"] == 8);
  request.adapter = "dents";
  CHECK(PickMany(&router, request, 4)["chat/3"] == 4);
  request.adapter = "absent";
  CHECK(router.FindPool(request) == nullptr);
}

// Guards against new requests to a data centre that is being evacuated while
// others have room, and to one that was left.
TEST_CASE("router prefers groups outside evacuated data centres") {
  std::vector<GroupView> groups = MakeGroups(6);
  for (std::size_t i = 0; i < 4; ++i) {
    groups[i].evacuating = true;
  }
  Router router("east", 1, {});
  router.SetGroups(groups);
  Request request = ChatRequest();
  Pool* pool = router.FindPool(request);
  CHECK(router.Limit(*pool, kStart) == 48);
  auto counts = PickMany(&router, request, 16);
  CHECK(counts["chat/4"] + counts["chat/5"] == 16);
  CHECK_FALSE(router.PickToIsolate(*pool, nullptr, kStart)->view.evacuating);
  // The others are full.
  counts = PickMany(&router, request, 8);
  CHECK(counts["chat/4"] + counts["chat/5"] < 8);
  for (GroupView& view : groups) {
    view.evacuated = std::exchange(view.evacuating, false);
  }
  router.SetGroups(groups);
  counts = PickMany(&router, request, 8);
  CHECK(counts["chat/4"] + counts["chat/5"] == 8);
  for (GroupView& view : groups) view.evacuated = true;
  router.SetGroups(groups);
  CHECK(router.Pick(request, *router.FindPool(request), nullptr, kStart) ==
        nullptr);
  CHECK(router.PickToIsolate(*router.FindPool(request), nullptr, kStart) ==
        nullptr);
}

// Guards against herding: without load reports, requests spread evenly.
TEST_CASE("router balances its attempts over all groups") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(42));
  int highest_count = 0;
  for (const auto& [name, count] : PickMany(&router, ChatRequest(), 42 * 4)) {
    highest_count = std::max(highest_count, count);
  }
  CHECK(highest_count <= 6);
}

// Guards against requests to a group that other daemons have filled.
TEST_CASE("the weight of a load report decays with its age") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(2));
  router.ReportLoad({"chat/0", 1, 8, 4, 0.5}, milliseconds(0), kStart);
  CHECK(PickMany(&router, ChatRequest(), 8)["chat/1"] == 8);
  Router later("east", 1, {});
  later.SetGroups(MakeGroups(2));
  later.ReportLoad({"chat/0", 1, 8, 4, 0.5}, milliseconds(30'000), kStart);
  CHECK(PickMany(&later, ChatRequest(), 8)["chat/1"] == 4);
  // A report about an earlier epoch is ignored.
  later.ReportLoad({"chat/1", 0, 8, 8, 0.5}, milliseconds(0), kStart);
  CHECK(PickMany(&later, ChatRequest(), 8)["chat/1"] == 4);
}

// Guards against traffic between data centres while the local one has capacity,
// and against refusals while a remote one has capacity.
TEST_CASE("remote groups are used when the local groups are full") {
  Router router("east", 1, {});
  router.SetGroups({MakeGroup(0), MakeGroup(1, "west")});
  auto counts = PickMany(&router, ChatRequest(), 12);
  CHECK(counts["chat/0"] == 8);
  CHECK(counts["chat/1"] == 4);
  CHECK_FALSE(router.HasRoom(*router.FindPool(ChatRequest()), kStart));
}

// Guards against limits that the daemons together exceed.
TEST_CASE("the limit of a pool is divided by the number of daemons") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(6));
  Pool& pool = *router.FindPool(ChatRequest());
  CHECK(router.Limit(pool, kStart) == 48);
  router.SetDaemonCount(6);
  CHECK(router.Limit(pool, kStart) == 8);
  router.SetDaemonCount(1000);
  CHECK(router.Limit(pool, kStart) == 1);
}

// Guards against a retry on the group that has just failed.
TEST_CASE("router never picks the group to avoid") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(2));
  Pool& pool = *router.FindPool(ChatRequest());
  RoutedGroup* avoid = router.Pick(ChatRequest(), pool, nullptr, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(router.Pick(ChatRequest(), pool, avoid, kStart) != avoid);
  }
  router.SetGroups(MakeGroups(1));
  CHECK(router.Pick(ChatRequest(), pool, pool.local.front(), kStart) ==
        nullptr);
}

// Guards against recomputing a prompt that a group has cached.
TEST_CASE("router prefers groups with a cached prefix until an event gap") {
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

// Guards against unbounded memory use and stale entries of the prefix index.
TEST_CASE("prefix cache is bounded and has no stale entries") {
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
  cache.Apply(3, 1003, {7}, {});  // Repeated sequence number.
  CHECK(cache.Find({5000}).count == 0);
  CHECK(cache.Find({7}).count == 1);
  cache.Apply(3, 1004, {8}, {8});  // In unknown order.
  CHECK(cache.Find({8}).count == 0);
}

// Guards against a slow replica that delays a fraction of all requests, and
// against slowing so many groups that the others are overloaded.
TEST_CASE("slowness of stragglers grows in bounded steps up to a maximum") {
  std::vector<GroupSpeed> speeds(6);
  std::vector<GroupSpeed*> peers;
  for (GroupSpeed& speed : speeds) {
    peers.push_back(&speed);
  }
  TimePoint now = kStart;
  auto sample = [&](std::size_t slow) {
    for (std::size_t i = 0; i < speeds.size(); ++i) {
      for (int n = 0; n < 10; ++n) {
        speeds[i].AddFirstProgress(milliseconds(i < slow ? 1000 : 100), now);
      }
    }
  };
  sample(1);
  UpdateSlowness(peers, now);
  CHECK(speeds[0].slowness() == doctest::Approx(2.0));
  CHECK(speeds[1].slowness() == doctest::Approx(1.0));
  for (int i = 0; i < 20; ++i) {
    UpdateSlowness(peers, now);
  }
  CHECK(speeds[0].slowness() == doctest::Approx(8.0));
  sample(2);  // The median of 6 is still fast.
  UpdateSlowness(peers, now);
  CHECK(speeds[1].slowness() > 1.0);
  for (int i = 0; i < 20; ++i) {
    sample(5);  // Most groups are slow: none is a straggler.
    UpdateSlowness(peers, now);
  }
  for (const GroupSpeed& speed : speeds) {
    CHECK(speed.slowness() == doctest::Approx(1.0));
  }
  sample(1);
  for (int i = 0; i < 20; ++i) {
    UpdateSlowness(peers, now);
  }
  // Without new samples, the slowness decays.
  now += std::chrono::minutes(5);
  for (int i = 0; i < 20; ++i) {
    UpdateSlowness(peers, now);
  }
  CHECK(speeds[0].slowness() == doctest::Approx(1.0));
}

// Guards against a router that ignores slowness, or that sends stragglers no
// requests at all.
TEST_CASE("a straggler gets fewer requests but still some") {
  Router router("east", 1, {});
  router.SetGroups(MakeGroups(4));
  for (RoutedGroup* group : router.FindPool(ChatRequest())->local) {
    bool slow = group->view.group == "chat/2";
    for (int i = 0; i < 10; ++i) {
      group->speed.AddFirstProgress(milliseconds(slow ? 400 : 100), kStart);
    }
  }
  for (int second = 0; second < 5; ++second) {
    router.UpdateGroupSlowness(kStart + std::chrono::seconds(second));
  }
  auto counts = PickMany(&router, ChatRequest(), 24);
  CHECK(counts["chat/2"] >= 1);
  CHECK(counts["chat/2"] <= 3);
  CHECK(counts["chat/1"] >= 6);
}

// Checks the baselines with which the weighted policy is compared.
TEST_CASE("baseline policies pick round robin and by least in flight") {
  Router round_robin("east", 1, RoundRobinPolicy());
  round_robin.SetGroups(MakeGroups(3));
  for (const auto& [name, count] : PickMany(&round_robin, ChatRequest(), 9)) {
    CHECK(count == 3);
  }
  Router least_in_flight("east", 1, LeastInFlightPolicy());
  least_in_flight.SetGroups(MakeGroups(3));
  for (const auto& [name, count] :
       PickMany(&least_in_flight, ChatRequest(), 9)) {
    CHECK(count == 3);
  }
}

// Guards against sending requests behind the long prompts of earlier ones, and
// against few daemons that spread their requests unevenly.
TEST_CASE("router with targets spreads requests and avoids waiting prompts") {
  Router router("", 1, {});
  router.SetGroups(MakeGroups(16));
  Request request = ChatRequest();
  Pool& pool = *router.FindPool(request);
  router.SteerLimit(&pool);
  pool.remote[3]->waiting_prompt_tokens = 8'000;
  std::map<std::string, int> counts = PickMany(&router, request, 60);
  CHECK(counts.count(pool.remote[3]->view.group) == 0);
  for (const auto& [name, count] : counts) CHECK(count == 4);
}

// Guards against a limit that falls, and makes the daemon reject requests, on
// answers that are late because of their long prompts while servers are free;
// and against ignoring late answers to short prompts or in a full pool.
TEST_CASE("only lateness that comes from the load lowers the limit") {
  Router router("", 1, {});
  router.SetGroups(MakeGroups(16));
  Request request = ChatRequest();
  Pool& pool = *router.FindPool(request);
  router.SteerLimit(&pool);
  auto add = [&](int count, std::uint32_t tokens, int latency) {
    for (int i = 0; i < count; ++i) {
      router.OnFirstEvent(&pool, tokens, milliseconds(latency),
                          milliseconds(250), kStart);
    }
  };
  add(5, 20'000, 400);
  add(200, 500, 180);
  CHECK(pool.limit->margin() == CapacityLimit::kMaxMargin);
  add(100, 20'000, 400);
  CHECK(pool.limit->margin() == CapacityLimit::kMaxMargin);
  add(50, 500, 300);
  CHECK(pool.limit->margin() == 0.0);
}

}  // namespace
}  // namespace clementine
