#include "core/change_follower.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "testing/change_world.h"

namespace clementine {
namespace {

using testing::ChangeWorld;
using testing::DaemonFault;
using testing::FleetSize;

constexpr milliseconds kBound{3'000};
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

/// A fault that a test injects, alone or with others.
struct InjectedFault {
  const char* name;
  std::function<void(ChangeWorld*)> begin;
};

std::vector<InjectedFault> AllFaults() {
  std::vector<InjectedFault> faults;
  auto add = [&](const char* name, const char* daemon, DaemonFault fault) {
    faults.push_back({name, [daemon, fault](ChangeWorld* w) {
                        w->SetFault(daemon, fault);
                      }});
  };
  add("a0 dead", "a0", DaemonFault::kDead);
  add("a0 silent", "a0", DaemonFault::kUnresponsive);
  add("a0 cut", "a0", DaemonFault::kPartitioned);
  add("a0 refused", "a0", DaemonFault::kRefused);
  add("a0 slow", "a0", DaemonFault::kSlow);
  add("a0 restarted", "a0", DaemonFault::kRestarted);
  add("a1 silent", "a1", DaemonFault::kUnresponsive);
  add("a1 restarted", "a1", DaemonFault::kRestarted);
  add("b0 dead", "b0", DaemonFault::kDead);
  add("b0 cut", "b0", DaemonFault::kPartitioned);
  add("c0 silent", "c0", DaemonFault::kUnresponsive);
  faults.push_back(
      {"store slow", [](ChangeWorld* w) { w->SetPlatformSlow(); }});
  faults.push_back({"store loses answers",
                    [](ChangeWorld* w) { w->SetPlatformLosesAnswers(); }});
  return faults;
}

void CheckWithFaults(const std::vector<const InjectedFault*>& faults,
                     bool stale_lists) {
  std::string names = stale_lists ? "stale lists" : "";
  ChangeWorld world(kBound, stale_lists, 1);
  world.Run(milliseconds(1'500));
  for (const InjectedFault* fault : faults) {
    fault->begin(&world);
    names += std::string(names.empty() ? "" : ", ") + fault->name;
  }
  world.Run(milliseconds(5'500));
  CAPTURE(names);
  CAPTURE(world.stalest_daemon());
  CHECK(world.max_staleness().count() <= kBound.count());
  CHECK(world.false_current_claims() == 0);
}

/// Spells in which the platform doesn't answer c0 and sometimes another daemon
/// of a small fleet, one after the other. The other daemons pause or die in
/// turn, at most one of them at a time.
class SpellSeries {
 public:
  SpellSeries(milliseconds bound, std::uint64_t seed)
      : m_random(seed),
        m_world(bound, /*dead_peers=*/false, seed, FleetSize::kSmall) {}

  void Run(int spells) {
    m_world.Run(milliseconds(3'000));
    for (int spell = 0; spell < spells; ++spell) RunSpell();
  }
  const ChangeWorld& world() const { return m_world; }

 private:
  int Pick(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_random);
  }

  void RunSpell() {
    DaemonFault fault =
        Pick(0, 1) == 0 ? DaemonFault::kRefused : DaemonFault::kPartitioned;
    std::vector<std::string> rejected = {"c0"};
    std::vector<std::string> others = {"a0", "a1", "a2", "b0", "b1"};
    if (Pick(0, 2) == 0) {
      int index = Pick(0, 4);
      rejected.push_back(others[static_cast<std::size_t>(index)]);
      others.erase(others.begin() + index);
    }
    for (const std::string& name : rejected) m_world.SetFault(name, fault);
    bool calm = Pick(0, 2) == 0;
    milliseconds left(Pick(6'000, 12'000));
    while (left > milliseconds(0)) {
      const std::string& name = others[static_cast<std::size_t>(
          Pick(0, static_cast<int>(others.size()) - 1))];
      milliseconds time = std::min(left, milliseconds(Pick(1'000, 3'000)));
      if (!calm) {
        m_world.SetFault(name, Pick(0, 2) == 0 ? DaemonFault::kDead
                                               : DaemonFault::kUnresponsive);
      }
      m_world.Run(time);
      m_world.SetFault(name, DaemonFault::kNone);
      left -= time;
    }
    for (const std::string& name : rejected) {
      m_world.SetFault(name, DaemonFault::kNone);
    }
    m_world.Run(milliseconds(Pick(2'000, 5'000)));
  }

  std::mt19937_64 m_random;
  ChangeWorld m_world;
};

/// Returns the actions of one type.
template <typename Action>
std::vector<Action> ActionsOfType(
    const std::vector<ChangeFollower::Action>& actions) {
  std::vector<Action> matching;
  for (const ChangeFollower::Action& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      matching.push_back(*found);
    }
  }
  return matching;
}

void SendPeerUpdates(ChangeFollower* follower, const std::string& peer,
                     TimePoint as_of, TimePoint now) {
  follower->OnPeerUpdate(peer, ChangeKind::kServers, as_of, now);
  follower->OnPeerUpdate(peer, ChangeKind::kConfiguration, as_of, now);
}

}  // namespace

// Guards against delays that each meet the bound and together exceed it.
TEST_CASE("follower timings add up to less than the bound") {
  for (milliseconds bound : {milliseconds(2'000), milliseconds(3'000),
                             milliseconds(4'000), milliseconds(9'000)}) {
    FollowerTimings times = DeriveFollowerTimings(bound);
    CHECK(2 * times.watch_duration + times.batch_window < times.hedge_age);
    CHECK(times.hedge_age < times.platform_query_age);
    CHECK(times.hedge_age + times.max_retry_interval + times.silence_timeout <
          bound);
    CHECK(times.platform_query_age + times.query_spread +
              2 * times.query_interval <
          bound);
  }
}

// Guards against daemons that learn of a configuration later than the bound
// while one source fails.
TEST_CASE("changes reach all healthy daemons in time: single faults") {
  std::vector<InjectedFault> all = AllFaults();
  CheckWithFaults({}, false);
  for (const InjectedFault& fault : all) {
    CheckWithFaults({&fault}, false);
    CheckWithFaults({&fault}, true);
  }
}

// Guards against consecutive timeouts: with two sources lost, the second was
// tried after the first timed out, and the platform was queried last.
TEST_CASE("changes reach all healthy daemons in time: pairs of faults") {
  std::vector<InjectedFault> all = AllFaults();
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (std::size_t j = i + 1; j < all.size(); ++j) {
      CheckWithFaults({&all[i], &all[j]}, false);
      CheckWithFaults({&all[i], &all[j]}, true);
    }
  }
}

// The same with three faults.
TEST_CASE("changes reach all healthy daemons in time: three faults") {
  std::vector<InjectedFault> all = AllFaults();
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (std::size_t j = i + 1; j < all.size(); ++j) {
      for (std::size_t k = j + 1; k < all.size(); ++k) {
        CheckWithFaults({&all[i], &all[j], &all[k]}, (i + j + k) % 2 == 0);
      }
    }
  }
}

// Guards against a daemon that finds no source to follow, although sound ones
// exist, because of what an earlier spell has left behind (CONFIG).
TEST_CASE(
    "rejected daemons learn of changes in time through spells in series") {
  // Of the users' rules: the time for a change, and what is added to it while
  // the platform turns some daemons away.
  constexpr milliseconds kSmallBound{2'000};
  constexpr milliseconds kUnstableBound{5'000};
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SpellSeries series(kSmallBound, seed);
    series.Run(/*spells=*/4);
    CAPTURE(seed);
    CHECK(series.world().max_rejected_staleness() <=
          kSmallBound + kUnstableBound);
    CHECK(series.world().false_current_claims() == 0);
  }
}

// Guards against platform calls that grow with the number of daemons.
TEST_CASE(
    "followers do not query the platform while their sources are current") {
  ChangeWorld world(kBound, false, 1);
  world.Run(milliseconds(2'000));
  int before = world.platform_calls();
  world.Run(milliseconds(6'000));
  // Three readers, two kinds, one change of each kind per 260 ms.
  CHECK(world.platform_calls() - before <= 3 * 2 * 6'000 / 200);
}

// Guards against a second source or the platform that is used only after the
// first source has failed completely.
TEST_CASE("a follower uses other sources when its data reaches an age") {
  ChangeFollower follower(kBound, 1);
  follower.SetRoles({false, false, {"a", "b", "c"}}, milliseconds(0));
  CHECK(follower.Advance(kStart).empty());
  follower.OnPlatformAnswer(ChangeKind::kServers, kStart);
  follower.OnPlatformAnswer(ChangeKind::kConfiguration, kStart);
  auto first =
      ActionsOfType<ChangeFollower::Subscribe>(follower.Advance(kStart));
  REQUIRE(first.size() == 1);
  CHECK(first[0].peer == "a");
  std::string opened;
  std::optional<milliseconds> asked;
  for (milliseconds passed{50}; passed < kBound; passed += milliseconds(50)) {
    TimePoint now = kStart + passed;
    // The peer sends heartbeats without new data.
    SendPeerUpdates(&follower, "a", kStart, now);
    auto actions = follower.Advance(now);
    for (const auto& open : ActionsOfType<ChangeFollower::Subscribe>(actions)) {
      opened += open.peer;
    }
    if (!asked &&
        !ActionsOfType<ChangeFollower::QueryPlatform>(actions).empty()) {
      asked = passed;
    }
  }
  CHECK(opened.starts_with("b"));
  REQUIRE(asked);
  CHECK(*asked <= milliseconds(1'700));
}

// Guards against a reader that is rejected by the platform and falls behind
// although its peers know every change.
TEST_CASE("a reader that the platform rejects follows other daemons") {
  ChangeFollower follower(kBound, 1);
  follower.SetRoles({true, false, {"a", "b"}}, milliseconds(500));
  follower.OnPlatformAnswer(ChangeKind::kServers, kStart);
  follower.OnPlatformAnswer(ChangeKind::kConfiguration, kStart);
  CHECK(follower.Advance(kStart).empty());
  follower.OnPlatformFailure();
  auto open =
      ActionsOfType<ChangeFollower::Subscribe>(follower.Advance(kStart));
  REQUIRE(open.size() == 1);
  SendPeerUpdates(&follower, open[0].peer, kStart, kStart);
  TimePoint later = kStart + milliseconds(1'200);
  follower.OnPlatformAnswer(ChangeKind::kServers, later);
  follower.OnPlatformAnswer(ChangeKind::kConfiguration, later);
  auto end =
      ActionsOfType<ChangeFollower::Unsubscribe>(follower.Advance(later));
  CHECK(end.size() == 1);
}

// Guards against a daemon that treats data received before its pause as
// current.
TEST_CASE("the age of data is not reduced by a pause or by old updates") {
  ChangeFollower follower(kBound, 1);
  follower.SetRoles({false, false, {"a"}}, milliseconds(0));
  follower.OnPlatformAnswer(ChangeKind::kServers, kStart);
  follower.OnPlatformAnswer(ChangeKind::kConfiguration, kStart);
  follower.Advance(kStart);
  TimePoint woken = kStart + milliseconds(5'000);
  CHECK(follower.Age(woken) == milliseconds(5'000));
  SendPeerUpdates(&follower, "a", kStart - milliseconds(100), woken);
  CHECK(follower.Age(woken) == milliseconds(5'000));
  auto sent =
      ActionsOfType<ChangeFollower::QueryPlatform>(follower.Advance(woken));
  CHECK(sent.size() == 2);
}

// Guards against a fleet that queries an unavailable platform at the full rate.
TEST_CASE("queries to an unavailable platform back off") {
  ChangeFollower follower(kBound, 1);
  follower.SetRoles({false, false, {}}, milliseconds(0));
  follower.OnPlatformAnswer(ChangeKind::kServers, kStart);
  follower.OnPlatformAnswer(ChangeKind::kConfiguration, kStart);
  std::size_t asked = 0;
  for (milliseconds passed{0}; passed < milliseconds(20'000);
       passed += milliseconds(50)) {
    auto sent = ActionsOfType<ChangeFollower::QueryPlatform>(
        follower.Advance(kStart + passed));
    asked += sent.size();
    for (std::size_t i = 0; i < sent.size(); ++i) follower.OnPlatformFailure();
  }
  CHECK(asked >= 8);
  CHECK(asked <= 16);
}

// Guards against a configuration that nobody asks for as the platform didn't
// answer a query for servers, which a peer has kept current since (CONFIG).
TEST_CASE("a kind that peers keep current doesn't hold back other queries") {
  ChangeFollower follower(kBound, 1);
  follower.SetRoles({false, false, {"a"}}, milliseconds(0));
  follower.OnPlatformAnswer(ChangeKind::kServers, kStart);
  follower.OnPlatformAnswer(ChangeKind::kConfiguration, kStart);
  follower.Advance(kStart);
  TimePoint old = kStart + kBound;
  REQUIRE_FALSE(
      ActionsOfType<ChangeFollower::QueryPlatform>(follower.Advance(old))
          .empty());
  follower.OnPlatformFailure();
  bool asked = false;
  for (milliseconds passed{50}; passed < kBound; passed += milliseconds(50)) {
    TimePoint now = old + passed;
    follower.OnPeerUpdate("a", ChangeKind::kServers, now, now);
    for (const auto& query :
         ActionsOfType<ChangeFollower::QueryPlatform>(follower.Advance(now))) {
      CHECK(query.kind == ChangeKind::kConfiguration);
      asked = true;
    }
  }
  CHECK(asked);
}

// Guards against a preferred source that is subscribed to and dropped before it
// could answer. 13 followers did so 20 times per second each, which kept the
// source too busy to answer any of them in time.
TEST_CASE("a preferred source is not dropped before its silence timeout") {
  ChangeFollower follower(kBound, 1);
  milliseconds silence_timeout = follower.times().silence_timeout;
  follower.SetRoles({false, false, {"near", "far"}}, milliseconds(0));
  follower.OnPlatformAnswer(ChangeKind::kServers, kStart);
  follower.OnPlatformAnswer(ChangeKind::kConfiguration, kStart);
  REQUIRE(ActionsOfType<ChangeFollower::Subscribe>(follower.Advance(kStart))
              .size() == 1);
  follower.OnPeerEnded("near", kStart);
  int opened = 0;
  int left = 0;
  milliseconds watched{60'000};
  for (milliseconds passed{50}; passed < watched; passed += milliseconds(50)) {
    TimePoint now = kStart + passed;
    // The local source is too busy to send its first data.
    SendPeerUpdates(&follower, "far", now - milliseconds(300), now);
    for (const auto& action : follower.Advance(now)) {
      if (const auto* open = std::get_if<ChangeFollower::Subscribe>(&action)) {
        opened += open->peer == "near" ? 1 : 0;
      }
      const auto* end = std::get_if<ChangeFollower::Unsubscribe>(&action);
      if (end == nullptr) continue;
      CHECK(end->peer == "near");
      CHECK(std::string(end->reason) == "silent");
      ++left;
    }
  }
  CHECK(opened >= 3);
  // At most once per silence timeout plus minimum avoidance time.
  CHECK(opened <= watched / (silence_timeout + milliseconds(5'000)) + 1);
  CHECK(left <= opened);
}

// Guards against crash marks whose age makes daemons drop good sources or query
// the platform, and against crash marks that are not refreshed after the first
// list.
TEST_CASE("crash marks may be older than other kinds by a bounded time") {
  ChangeFollower follower(kBound, 1);
  const FollowerTimings& times = follower.times();
  follower.SetRoles({true, true, {}}, times.watch_duration);
  auto confirm = [&](TimePoint as_of) {
    follower.OnPlatformAnswer(ChangeKind::kServers, as_of);
    follower.OnPlatformAnswer(ChangeKind::kConfiguration, as_of);
  };
  confirm(kStart);
  // A daemon serves without crash marks if their first list fails.
  CHECK(follower.Advance(kStart).empty());
  CHECK(follower.Age(kStart) == TimePoint::duration(0));
  follower.OnPlatformAnswer(ChangeKind::kCrashes, kStart);
  milliseconds asked{0};
  for (milliseconds passed{50}; passed <= 2 * kBound;
       passed += milliseconds(50)) {
    confirm(kStart + passed);
    for (const auto& action : follower.Advance(kStart + passed)) {
      const auto* ask = std::get_if<ChangeFollower::QueryPlatform>(&action);
      REQUIRE(ask);
      CHECK(ask->kind == ChangeKind::kCrashes);
      if (asked == milliseconds(0)) asked = passed;
    }
  }
  CHECK(asked > times.crash_mark_slack + times.watch_duration);
  CHECK(asked < kBound + times.crash_mark_slack);
}

}  // namespace clementine
