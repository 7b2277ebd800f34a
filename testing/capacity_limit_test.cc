#include "core/capacity_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace clementine {
namespace {

// Times in milliseconds. A group answers 185 ms after it has started a request;
// of the target of 250 ms, 65 ms are left for waiting.
constexpr double kServiceMs = 1'000.0;
constexpr double kFirstEventMs = 185.0;
constexpr double kTargetMs = 250.0;

struct Fleet {
  int daemons = 1;
  int groups = 10;
  int slots = 20;  ///< Of each group.
};

/// Requests by result, in the second half of the run.
struct Results {
  double requests = 0.0;
  double rejected = 0.0;
  double late = 0.0;

  double Lost() const { return (rejected + late) / requests; }
};

TimePoint At(double ms) {
  return TimePoint() + std::chrono::hours(1) +
         milliseconds(static_cast<int>(ms));
}

struct Waiting {
  double arrived = 0.0;
  int daemon = 0;
  bool measured = false;
};

struct End {
  double at = 0.0;
  int group = 0;
  int daemon = 0;
  bool operator>(const End& other) const { return at > other.at; }
};

/// Poisson arrivals at random daemons and exponential service times. A request
/// goes to the group with the fewest requests, so that only the limit is
/// tested and not the choice of the group.
/// @param ideal A single queue before all slots, whose requests leave it when
///     they can't meet their target any more; no limits.
Results Play(const Fleet& fleet, double load, bool ideal) {
  std::mt19937_64 random(7);
  int all_slots = fleet.groups * fleet.slots;
  int groups = ideal ? 1 : fleet.groups;
  int slots = ideal ? all_slots : fleet.slots;
  double fair_share = static_cast<double>(all_slots) / fleet.daemons;
  std::vector<CapacityLimit> limits;
  for (int i = 0; i < fleet.daemons; ++i) limits.emplace_back(random());
  std::vector<int> in_flight(static_cast<std::size_t>(fleet.daemons));
  std::vector<int> running(static_cast<std::size_t>(groups));
  std::vector<std::deque<Waiting>> queues(static_cast<std::size_t>(groups));
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  Results results;
  std::exponential_distribution<double> gap(load * all_slots / kServiceMs);
  std::exponential_distribution<double> service(1.0 / kServiceMs);
  double duration = kServiceMs * (200.0 + 40.0 * fleet.daemons / all_slots);
  auto start = [&](const Waiting& request, int group, double now) {
    ++running[static_cast<std::size_t>(group)];
    double first = now - request.arrived + kFirstEventMs;
    if (request.measured && first > kTargetMs) results.late += 1.0;
    // Told at the start rather than at the event, to keep the loop short.
    limits[static_cast<std::size_t>(request.daemon)].OnFirstEvent(
        milliseconds(static_cast<int>(first)),
        milliseconds(static_cast<int>(kTargetMs)), fair_share, At(now));
    ends.push({now + service(random), group, request.daemon});
  };
  for (double now = gap(random); now < duration; now += gap(random)) {
    while (!ends.empty() && ends.top().at <= now) {
      End end = ends.top();
      ends.pop();
      auto& queue = queues[static_cast<std::size_t>(end.group)];
      --running[static_cast<std::size_t>(end.group)];
      --in_flight[static_cast<std::size_t>(end.daemon)];
      while (!queue.empty()) {
        Waiting next = queue.front();
        queue.pop_front();
        if (ideal && end.at - next.arrived + kFirstEventMs > kTargetMs) {
          results.rejected += next.measured ? 1.0 : 0.0;
          --in_flight[static_cast<std::size_t>(next.daemon)];
          continue;
        }
        start(next, end.group, end.at);
        break;
      }
    }
    auto daemon = static_cast<std::size_t>(
        random() % static_cast<std::uint64_t>(fleet.daemons));
    Waiting request{now, static_cast<int>(daemon), now > duration / 2.0};
    results.requests += request.measured ? 1.0 : 0.0;
    if (!ideal &&
        in_flight[daemon] >= limits[daemon].RoundedLimit(fair_share, At(now))) {
      results.rejected += request.measured ? 1.0 : 0.0;
      continue;
    }
    ++in_flight[daemon];
    std::size_t group = 0;
    for (std::size_t i = 1; i < queues.size(); ++i) {
      auto load_of = [&](std::size_t g) {
        return running[g] + static_cast<int>(queues[g].size());
      };
      if (load_of(i) < load_of(group)) group = i;
    }
    if (running[group] < slots) {
      start(request, static_cast<int>(group), now);
    } else {
      queues[group].push_back(request);
    }
  }
  return results;
}

// Guards against daemons that reject requests while the fleet has room, because
// each may use only a fixed share of it.
TEST_CASE("limits of many daemons lose hardly more than one queue") {
  for (int daemons : {1, 6, 84, 195, 980}) {
    for (double load : {0.5, 0.7, 0.8, 0.9}) {
      for (int groups : {20, 40}) {
        Fleet fleet{daemons, groups, 20};
        CAPTURE(daemons);
        CAPTURE(load);
        CAPTURE(groups);
        CHECK(Play(fleet, load, false).Lost() <=
              Play(fleet, load, true).Lost() + 0.02);
      }
    }
  }
}

// Guards against limits that starve a pool whose capacity is a fraction of a
// request for each daemon. The daemons react to a full pool only when answers
// are late, which costs a small pool more than a large one.
TEST_CASE("limits of many daemons in a pool with few slots") {
  for (int daemons : {1, 6, 84, 195, 980}) {
    for (double load : {0.5, 0.7, 0.9}) {
      Fleet fleet{daemons, 2, 20};
      CAPTURE(daemons);
      CAPTURE(load);
      CHECK(Play(fleet, load, false).Lost() <=
            Play(fleet, load, true).Lost() + (load < 0.9 ? 0.05 : 0.16));
    }
  }
}

// Guards against a full fleet whose requests queue at servers until all of
// them are late.
TEST_CASE("limits reject at once when the whole fleet is full") {
  for (int daemons : {1, 6, 84, 195, 980}) {
    for (double load : {1.2, 2.0}) {
      Results results = Play({daemons, 10, 20}, load, false);
      CAPTURE(daemons);
      CAPTURE(load);
      CHECK(results.late / (results.requests - results.rejected) < 0.21);
      CHECK(results.rejected / results.requests < 1.0 - 1.0 / load + 0.08);
    }
  }
}

// Guards against a daemon that keeps a margin from an earlier time, and against
// one that starts with more than its fair share.
TEST_CASE("a daemon that measures nothing uses the fixed margin") {
  CapacityLimit limit(1);
  CHECK(limit.Limit(9.0) == 9.0);
  CHECK(limit.Limit(0.2) == 1.0);
  for (int i = 0; i < 100; ++i) {
    limit.OnFirstEvent(milliseconds(100), milliseconds(250), 9.0, At(0));
  }
  CHECK(limit.margin() == CapacityLimit::kMaxMargin);
  for (int ms = 0; ms < 20'000; ms += 100) limit.Advance(At(ms));
  CHECK(limit.margin() == doctest::Approx(CapacityLimit::kFixedMargin));
  CHECK(limit.reason() == CapacityLimit::Reason::kSilent);
  limit.OnServerFull(9.0, At(20'000));
  CHECK(limit.margin() == 0.0);
  CHECK(limit.Limit(0.2) == doctest::Approx(0.2));
  int sum = 0;
  for (int ms = 0; ms < 50'000; ms += 500) {
    sum += limit.RoundedLimit(0.25, At(ms));
  }
  CHECK(sum == doctest::Approx(25).epsilon(0.1));
}

}  // namespace
}  // namespace clementine
