#include "core/cold_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "core/fleet_control.h"
#include "core/router.h"
#include "fmt/format.h"

namespace clementine {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr milliseconds kSlot{100};
constexpr int kSlotsPerSecond = 10;
constexpr double kRate = 14.0;
constexpr double kAllowance = kRate * 1.5 + 5.0;
constexpr milliseconds kDuration{3'000};
constexpr milliseconds kListDelay{3'000};

ColdLimit MakeLimit(const std::string& node,
                    const std::vector<std::string>& names) {
  ColdLimit limit({node, 1.5, 5.0, kListDelay});
  limit.SetDaemons(names);
  return limit;
}

BackendServer MakeServer(milliseconds cold_for) {
  BackendServer server;
  server.id = "h";
  server.incarnation = 1'000'000;
  server.service = "desk";
  server.address = "h:1";
  server.data_centre = "a";
  server.cold_time = cold_for;
  return server;
}

/// Returns the most requests in any second, given those of each slot.
int MostInASecond(const std::vector<int>& slots, std::size_t from = 0) {
  int most = 0;
  for (std::size_t start = from; start < slots.size(); ++start) {
    int sum = 0;
    for (std::size_t i = start;
         i < std::min(slots.size(), start + kSlotsPerSecond); ++i) {
      sum += slots[i];
    }
    most = std::max(most, sum);
  }
  return most;
}

/// One daemon that sends as many requests as it may to one server.
struct Sender {
  Sender() : router("east", 1, {}) {
    view.group = "desk/h";
    view.service = "desk";
    view.epoch = 1;
    view.open = true;
    view.max_running = 1'000;
    request.service = "desk";
    router.SetGroups({view}, kStart);
  }

  int Send(int wanted, TimePoint now) {
    int sent = 0;
    while (sent < wanted) {
      RoutedGroup* group =
          router.Pick(request, *router.FindPool(request), nullptr, now);
      if (group == nullptr) break;
      router.OnAttemptStarted(group, now);
      ++sent;
    }
    return sent;
  }

  void SetCold(double rate, TimePoint until, TimePoint now) {
    view.cold_rate = rate;
    view.cold_until = until;
    router.SetGroups({view}, now);
  }

  Router router;
  GroupView view;
  Request request;
};

}  // namespace

// Guards against a division whose holders, with two more that another view of
// the live daemons adds, exceed the allowance.
TEST_CASE("the division of a cold rate stays within the allowance") {
  ColdShare share = DivideColdRate(kRate, kAllowance, 84);
  CHECK(share.holders == 5);
  CHECK(share.holders * share.rate > 13.0);
  CHECK(DivideColdRate(kRate, kAllowance, 0).holders == 0);
  for (double rate = 0.5; rate < 100.0; rate *= 1.3) {
    for (double allowance = 0.5; allowance < 200.0; allowance *= 1.3) {
      for (int daemons = 0; daemons <= 12; ++daemons) {
        ColdShare any = DivideColdRate(rate, allowance, daemons);
        CHECK(any.holders <= std::min(daemons, ColdLimit::kMaxHolders));
        CHECK(any.holders * any.rate <= rate + 1e-9);
        double most =
            (any.holders + ColdLimit::kExtraHolders) * (1.0 + any.rate);
        if (any.holders > 0) CHECK(most <= allowance + 1e-9);
      }
    }
  }
}

// Guards against more requests in a second than the token of the bucket and its
// rate allow: all patterns of demand, with a restart of the daemon at any time.
TEST_CASE("a bucket lets through at most its rate plus one in any second") {
  double rate = DivideColdRate(kRate, kAllowance, 84).rate;
  constexpr int kSlots = 13;
  int most = 0;
  for (int pattern = 0; pattern < (1 << kSlots); ++pattern) {
    for (int restart = 0; restart < kSlots; ++restart) {
      ColdBucket bucket{0.0, kStart};
      std::vector<int> sent(kSlots, 0);
      for (int slot = 0; slot < kSlots; ++slot) {
        TimePoint now = kStart + slot * kSlot;
        if (slot == restart) bucket = {0.0, now};
        if ((pattern >> slot & 1) == 0) continue;
        while (bucket.Available(rate, now) >= 1.0) {
          bucket.Take(rate, now);
          ++sent[static_cast<std::size_t>(slot)];
        }
      }
      most = std::max(most, MostInASecond(sent));
    }
  }
  CHECK(most <= static_cast<int>(std::floor(rate + 1.0)));
}

// Guards against more holders than the allowance provides for while daemons
// join or leave: every pair of changes, every daemon with any of the views.
TEST_CASE("two changes of the daemons add at most two holders") {
  std::vector<std::string> names;
  for (int n = 0; n < 9; ++n) names.push_back(fmt::format("n{}", n));
  for (int head = 0; head < 20; ++head) {
    std::string server = fmt::format("h{}", head);
    for (const std::string& x : names) {
      for (const std::string& y : names) {
        std::set<std::string> holders;
        for (int view = 0; view < 4; ++view) {
          std::vector<std::string> seen = names;
          if (view & 1) std::erase(seen, x);
          if (view & 2) std::erase(seen, y);
          for (const std::string& node : names) {
            if (MakeLimit(node, seen).RateFor(server, kRate) > 0.0) {
              holders.insert(node);
            }
          }
        }
        CHECK(holders.size() <= 5 + ColdLimit::kExtraHolders);
      }
    }
  }
}

// Guards against a burst on a server that turns cold while all daemons send to
// it: each sees the entry after any delay and has any of two views. From the
// time that the last one has seen it, each second stays within the allowance.
TEST_CASE("a server that turns cold during a burst stays within its limit") {
  const std::vector<std::string> names = {"n0", "n1", "n2", "n3", "n4"};
  constexpr int kDaemons = 5;
  constexpr int kDelays = 3;
  constexpr int kSlots = 24;
  std::vector<std::string> fewer(names.begin() + 1, names.end());
  std::vector<double> rates[2];
  for (const std::string& node : names) {
    rates[0].push_back(MakeLimit(node, names).RateFor("h", kRate));
    rates[1].push_back(MakeLimit(node, fewer).RateFor("h", kRate));
  }
  int total = 0;
  for (int delays = 0; delays < 243; ++delays) {
    for (int views = 0; views < (1 << kDaemons); ++views) {
      std::vector<int> sent(kSlots, 0);
      int last_seen = 0;
      for (int d = 0, rest = delays; d < kDaemons; ++d, rest /= kDelays) {
        int seen = rest % kDelays;
        last_seen = std::max(last_seen, seen);
        Sender sender;
        for (int slot = 0; slot < kSlots; ++slot) {
          TimePoint now = kStart + slot * kSlot;
          if (slot == seen) {
            double rate = rates[views >> d & 1][static_cast<std::size_t>(d)];
            sender.SetCold(rate, kStart + std::chrono::hours(1), now);
          }
          sent[static_cast<std::size_t>(slot)] += sender.Send(3, now);
        }
      }
      int most = MostInASecond(sent, static_cast<std::size_t>(last_seen));
      REQUIRE(most <= static_cast<int>(kAllowance));
      total = std::max(total, most);
    }
  }
  // The limit is used, not only kept.
  CHECK(total >= static_cast<int>(kRate));
}

// Guards against a cold time that starts again with each list that repeats the
// entry, and against one that ends late although the entry shows it.
TEST_CASE("a server is cold for its entry's time from the first sight of it") {
  ColdLimit limit = MakeLimit("n0", {"n0"});
  limit.Observe(MakeServer(milliseconds(2'000)), kDuration, {}, kStart);
  TimePoint now = kStart + milliseconds(1'500);
  limit.Observe(MakeServer(milliseconds(2'000)), kDuration, {}, now);
  CHECK(limit.ColdUntil("h", kDuration, {}, now) ==
        kStart + milliseconds(2'000));
  limit.Observe(MakeServer(milliseconds(2'000)), kDuration, {true, false, {}},
                now);
  CHECK(limit.ColdUntil("h", kDuration, {}, now) ==
        kStart + milliseconds(3'500));
  limit.Observe(MakeServer(milliseconds(0)), kDuration, {true, false, {}}, now);
  CHECK(limit.ColdUntil("h", kDuration, {}, now) == TimePoint());
}

// Guards against full traffic to a server that was started during an outage of
// the store, whose entry is stale; its clock may also be wrong.
TEST_CASE("a new process with a stale entry is judged by its start time") {
  std::chrono::system_clock::time_point started(milliseconds(1'000'000));
  ColdLimit::Source source{true, true, started + milliseconds(1'000)};
  ColdLimit limit = MakeLimit("n0", {"n0"});
  limit.Observe(MakeServer(milliseconds(0)), kDuration, source, kStart);
  CHECK(limit.ColdUntil("h", kDuration, {}, kStart) ==
        kStart + milliseconds(2'000));
  source.wall = started - std::chrono::hours(1);
  ColdLimit ahead = MakeLimit("n0", {"n0"});
  ahead.Observe(MakeServer(milliseconds(0)), kDuration, source, kStart);
  CHECK(ahead.ColdUntil("h", kDuration, {}, kStart) == kStart + kDuration);
  // An entry that is not stale shows a start before the traffic.
  ColdLimit fresh = MakeLimit("n0", {"n0"});
  fresh.Observe(MakeServer(milliseconds(0)), kDuration, {}, kStart);
  CHECK(fresh.ColdUntil("h", kDuration, {}, kStart) == TimePoint());
}

// Guards against a burst on a data centre whose evacuation was taken back: its
// servers may have turned cold, and the entries may be older than that.
TEST_CASE("the servers of a returned data centre are cold until shown warm") {
  FleetControlOptions options;
  options.node = "n0";
  options.data_centre = "b";
  options.follow_evacuations = true;
  options.cold_overshoot = 1.5;
  options.cold_tolerance = 5.0;
  options.list_delay = kListDelay;
  FleetControl control(options);
  TimePoint now = kStart;
  std::optional<GroupView> view;
  auto handle = [&](const FleetEvent& event) {
    for (const FleetAction& action : control.Handle(event, now)) {
      const auto* changed = std::get_if<GroupsChanged>(&action);
      if (changed != nullptr) view = changed->groups.at(0);
    }
  };
  auto run = [&](milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(50)) {
      now += milliseconds(50);
      handle(Tick{});
    }
  };
  auto configuration = std::make_shared<FleetConfiguration>();
  FleetService& desk = configuration->services["desk"];
  desk.name = "desk";
  desk.cold_requests_per_second = kRate;
  desk.cold_duration = kDuration;
  handle(FleetConfigured{configuration});
  handle(ServersListed{{MakeServer(milliseconds(0))}});
  handle(EvacuationsChanged{{"a"}});
  run(milliseconds(5'000));
  NodesListed nodes;
  nodes.complete = true;
  nodes.nodes.emplace_back("n0", "1/1/5 - b n0:1");
  handle(nodes);
  REQUIRE(view);
  CHECK(view->evacuated);
  handle(EvacuationsChanged{});
  CHECK_FALSE(view->evacuated);
  CHECK(view->cold_until >= now + kDuration + kListDelay);
  CHECK(view->cold_rate > 0.0);
  // An entry that was written before the end proves nothing.
  handle(ServersChanged{{{"h", MakeServer(milliseconds(0))}}});
  CHECK(view->cold_until > now);
  SUBCASE("a later entry shows it warm") {
    run(kListDelay + milliseconds(50));
    handle(ServersChanged{{{"h", MakeServer(milliseconds(0))}}});
    CHECK(view->cold_until == TimePoint());
  }
  SUBCASE("without entries it is warm after the cold time") {
    handle(ServerListUnavailable{now});
    run(kDuration + kListDelay - milliseconds(50));
    CHECK(view->cold_until > now);
    run(milliseconds(550));
    CHECK(view->cold_until == TimePoint());
  }
}

// Guards against a daemon that is cut off from the platform and, taking all
// others for dead, sends to a cold server as if it were alone.
TEST_CASE("a daemon that is cut off keeps its view of the live daemons") {
  NodeDirectory directory("n0", 7, 1);
  TimePoint now = kStart;
  directory.Advance(now);
  NodesListed nodes;
  nodes.complete = true;
  for (int n = 0; n < 10; ++n) {
    nodes.nodes.emplace_back(fmt::format("n{}", n), "1/1/5 - dc a:1");
  }
  directory.OnNodesListed(nodes, now);
  CHECK(directory.listed_names().empty());
  now += milliseconds(5'000);
  directory.Advance(now);
  directory.OnNodesListed(nodes, now);
  CHECK(directory.listed_names().size() == 10);
  now += std::chrono::hours(1);
  directory.Advance(now);
  directory.OnNodesListed({}, now);
  CHECK(directory.live() == 10);
  CHECK(directory.listed_names().size() == 10);
}

// Guards against requests to a cold server by a daemon without a share.
TEST_CASE("a cold group without a share is not in its pool") {
  Sender sender;
  CHECK(sender.Send(3, kStart) == 3);
  sender.SetCold(0.0, kStart + milliseconds(4'000), kStart);
  Pool* pool = sender.router.FindPool(sender.request);
  CHECK(pool->size() == 0);
  CHECK(pool->backoff_until == kStart + milliseconds(4'000));
  CHECK(sender.router.PickToIsolate(*pool, nullptr, kStart) == nullptr);
  sender.SetCold(0.0, TimePoint(), kStart);
  CHECK(sender.Send(3, kStart) == 3);
}

}  // namespace clementine
