#include "core/change_follower.h"

#include <doctest/doctest.h>

#include "testing/change_world.h"

namespace clementine {
namespace {

using testing::ChangeWorld;
using testing::DaemonFault;

constexpr milliseconds kBound{3'000};
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

/// A fault of the world that a test may combine with others.
struct Trouble {
  const char* name;
  std::function<void(ChangeWorld*)> begin;
};

std::vector<Trouble> AllTroubles() {
  std::vector<Trouble> troubles;
  auto add = [&](const char* name, const char* daemon, DaemonFault fault) {
    troubles.push_back({name, [daemon, fault](ChangeWorld* w) {
                          w->SetFault(daemon, fault);
                        }});
  };
  add("a0 dead", "a0", DaemonFault::kDead);
  add("a0 silent", "a0", DaemonFault::kSilent);
  add("a0 cut", "a0", DaemonFault::kCut);
  add("a0 refused", "a0", DaemonFault::kRefused);
  add("a0 slow", "a0", DaemonFault::kSlow);
  add("a0 restarted", "a0", DaemonFault::kRestarted);
  add("a1 silent", "a1", DaemonFault::kSilent);
  add("a1 restarted", "a1", DaemonFault::kRestarted);
  add("b0 dead", "b0", DaemonFault::kDead);
  add("b0 cut", "b0", DaemonFault::kCut);
  add("c0 silent", "c0", DaemonFault::kSilent);
  troubles.push_back({"store slow", [](ChangeWorld* w) { w->SetStoreSlow(); }});
  troubles.push_back({"store loses answers",
                      [](ChangeWorld* w) { w->SetStoreLosesAnswers(); }});
  return troubles;
}

void CheckTogether(const std::vector<const Trouble*>& together, bool ghosts) {
  std::string names = ghosts ? "stale lists" : "";
  ChangeWorld world(kBound, ghosts, 1);
  world.Run(milliseconds(1'500));
  for (const Trouble* trouble : together) {
    trouble->begin(&world);
    names += std::string(names.empty() ? "" : ", ") + trouble->name;
  }
  world.Run(milliseconds(5'500));
  CAPTURE(names);
  CAPTURE(world.worst_daemon());
  CHECK(world.worst().count() <= kBound.count());
  CHECK(world.overclaims() == 0);
}

/// Applies a follower's decisions to nothing; for tests of single decisions.
template <typename Action>
std::vector<Action> Only(const std::vector<ChangeFollower::Action>& actions) {
  std::vector<Action> only;
  for (const ChangeFollower::Action& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      only.push_back(*found);
    }
  }
  return only;
}

void ConfirmBoth(ChangeFollower* follower, const std::string& peer,
                 TimePoint as_of, TimePoint now) {
  follower->PeerHeard(peer, ChangeKind::kServers, as_of, now);
  follower->PeerHeard(peer, ChangeKind::kConfiguration, as_of, now);
}

}  // namespace

// Guards against steps that are each in time and together later than the bound.
TEST_CASE("times of following add up to less than the bound") {
  for (milliseconds bound : {milliseconds(2'000), milliseconds(3'000),
                             milliseconds(4'000), milliseconds(9'000)}) {
    FollowTimes times = DeriveFollowTimes(bound);
    CHECK(2 * times.platform_wait + times.gather < times.hedge_age);
    CHECK(times.hedge_age < times.platform_age);
    CHECK(times.platform_age + times.spread + 2 * times.ask_interval < bound);
  }
}

// Guards against daemons that miss a configuration for longer than the bound
// while one source fails (CONFIG, trouble-1 of karalis-touchup-grown).
TEST_CASE("changes reach all sound daemons in time: single troubles") {
  std::vector<Trouble> all = AllTroubles();
  CheckTogether({}, false);
  for (const Trouble& trouble : all) {
    CheckTogether({&trouble}, false);
    CheckTogether({&trouble}, true);
  }
}

// Guards against time-outs that follow each other: with two sources lost one
// after the other was asked, and the platform last.
TEST_CASE("changes reach all sound daemons in time: pairs of troubles") {
  std::vector<Trouble> all = AllTroubles();
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (std::size_t j = i + 1; j < all.size(); ++j) {
      CheckTogether({&all[i], &all[j]}, false);
      CheckTogether({&all[i], &all[j]}, true);
    }
  }
}

// As before, with three troubles.
TEST_CASE("changes reach all sound daemons in time: triples of troubles") {
  std::vector<Trouble> all = AllTroubles();
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (std::size_t j = i + 1; j < all.size(); ++j) {
      for (std::size_t k = j + 1; k < all.size(); ++k) {
        CheckTogether({&all[i], &all[j], &all[k]}, (i + j + k) % 2 == 0);
      }
    }
  }
}

// Guards against calls to the platform that grow with the number of daemons.
TEST_CASE("followers leave the platform alone while their sources are well") {
  ChangeWorld world(kBound, false, 1);
  world.Run(milliseconds(2'000));
  int before = world.platform_calls();
  world.Run(milliseconds(6'000));
  // Three readers, two kinds, a change of each kind in 260 ms.
  CHECK(world.platform_calls() - before <= 3 * 2 * 6'000 / 200);
}

// Guards against a second source, or the platform, that is asked only after the
// first one has failed for good.
TEST_CASE("a follower asks others by the age of what it knows") {
  ChangeFollower follower(kBound, 1);
  follower.SetRoles({false, false, {"a", "b", "c"}}, milliseconds(0));
  CHECK(follower.Advance(kStart).empty());
  follower.PlatformAnswered(ChangeKind::kServers, kStart);
  follower.PlatformAnswered(ChangeKind::kConfiguration, kStart);
  auto first = Only<ChangeFollower::Subscribe>(follower.Advance(kStart));
  REQUIRE(first.size() == 1);
  CHECK(first[0].peer == "a");
  std::string opened;
  std::optional<milliseconds> asked;
  for (milliseconds passed{50}; passed < kBound; passed += milliseconds(50)) {
    TimePoint now = kStart + passed;
    // It heartbeats and knows nothing new.
    ConfirmBoth(&follower, "a", kStart, now);
    auto actions = follower.Advance(now);
    for (const auto& open : Only<ChangeFollower::Subscribe>(actions)) {
      opened += open.peer;
    }
    if (!asked && !Only<ChangeFollower::AskPlatform>(actions).empty()) {
      asked = passed;
    }
  }
  CHECK(opened.starts_with("b"));
  REQUIRE(asked);
  CHECK(*asked <= milliseconds(1'700));
}

// Guards against a reader that is turned away by the platform and stays behind,
// though its neighbours know every change.
TEST_CASE("a reader that the platform turns away follows others") {
  ChangeFollower follower(kBound, 1);
  follower.SetRoles({true, false, {"a", "b"}}, milliseconds(500));
  follower.PlatformAnswered(ChangeKind::kServers, kStart);
  follower.PlatformAnswered(ChangeKind::kConfiguration, kStart);
  CHECK(follower.Advance(kStart).empty());
  follower.PlatformFailed();
  auto open = Only<ChangeFollower::Subscribe>(follower.Advance(kStart));
  REQUIRE(open.size() == 1);
  ConfirmBoth(&follower, open[0].peer, kStart, kStart);
  TimePoint later = kStart + milliseconds(1'200);
  follower.PlatformAnswered(ChangeKind::kServers, later);
  follower.PlatformAnswered(ChangeKind::kConfiguration, later);
  auto end = Only<ChangeFollower::Unsubscribe>(follower.Advance(later));
  CHECK(end.size() == 1);
}

// Guards against a paused daemon that takes what waited for it as current.
TEST_CASE("what is known doesn't get younger by time or by old news") {
  ChangeFollower follower(kBound, 1);
  follower.SetRoles({false, false, {"a"}}, milliseconds(0));
  follower.PlatformAnswered(ChangeKind::kServers, kStart);
  follower.PlatformAnswered(ChangeKind::kConfiguration, kStart);
  follower.Advance(kStart);
  TimePoint woken = kStart + milliseconds(5'000);
  CHECK(follower.Age(woken) == milliseconds(5'000));
  ConfirmBoth(&follower, "a", kStart - milliseconds(100), woken);
  CHECK(follower.Age(woken) == milliseconds(5'000));
  auto asks = Only<ChangeFollower::AskPlatform>(follower.Advance(woken));
  CHECK(asks.size() == 2);
}

// Guards against a fleet that calls an absent platform at its full rate.
TEST_CASE("questions to an absent platform become rare") {
  ChangeFollower follower(kBound, 1);
  follower.SetRoles({false, false, {}}, milliseconds(0));
  follower.PlatformAnswered(ChangeKind::kServers, kStart);
  follower.PlatformAnswered(ChangeKind::kConfiguration, kStart);
  std::size_t asked = 0;
  for (milliseconds passed{0}; passed < milliseconds(20'000);
       passed += milliseconds(50)) {
    auto asks =
        Only<ChangeFollower::AskPlatform>(follower.Advance(kStart + passed));
    asked += asks.size();
    for (std::size_t i = 0; i < asks.size(); ++i) follower.PlatformFailed();
  }
  CHECK(asked >= 8);
  CHECK(asked <= 16);
}

// Guards against a better source that is opened and left again before it could
// answer: 13 followers each did so 20 times a second, which kept the source too
// busy to answer anyone in time (SHORT on karalis-touchup-large).
TEST_CASE("a better source gets time to answer before it's judged") {
  ChangeFollower follower(kBound, 1);
  milliseconds silence = follower.times().silence;
  follower.SetRoles({false, false, {"near", "far"}}, milliseconds(0));
  follower.PlatformAnswered(ChangeKind::kServers, kStart);
  follower.PlatformAnswered(ChangeKind::kConfiguration, kStart);
  REQUIRE(Only<ChangeFollower::Subscribe>(follower.Advance(kStart)).size() ==
          1);
  follower.PeerLost("near", kStart);
  int opened = 0;
  int left = 0;
  milliseconds watched{60'000};
  for (milliseconds passed{50}; passed < watched; passed += milliseconds(50)) {
    TimePoint now = kStart + passed;
    // The near source is too busy to begin an answer.
    ConfirmBoth(&follower, "far", now - milliseconds(300), now);
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
  // No more often than silence is noticed and a failed source avoided.
  CHECK(opened <= watched / (silence + milliseconds(5'000)) + 1);
  CHECK(left <= opened);
}

// Guards against crash marks that make daemons leave good sources or ask the
// platform, and against marks that nobody follows once they are known.
TEST_CASE("crash marks may be older than other kinds, but not for ever") {
  ChangeFollower follower(kBound, 1);
  const FollowTimes& times = follower.times();
  follower.SetRoles({true, true, {}}, times.platform_wait);
  auto confirm = [&](TimePoint as_of) {
    follower.PlatformAnswered(ChangeKind::kServers, as_of);
    follower.PlatformAnswered(ChangeKind::kConfiguration, as_of);
  };
  confirm(kStart);
  // A daemon serves without marks, whose list may fail.
  CHECK(follower.Advance(kStart).empty());
  CHECK(follower.Age(kStart) == TimePoint::duration(0));
  follower.PlatformAnswered(ChangeKind::kCrashes, kStart);
  milliseconds asked{0};
  for (milliseconds passed{50}; passed <= 2 * kBound;
       passed += milliseconds(50)) {
    confirm(kStart + passed);
    for (const auto& action : follower.Advance(kStart + passed)) {
      const auto* ask = std::get_if<ChangeFollower::AskPlatform>(&action);
      REQUIRE(ask);
      CHECK(ask->kind == ChangeKind::kCrashes);
      if (asked == milliseconds(0)) asked = passed;
    }
  }
  CHECK(asked > times.crash_slack + times.platform_wait);
  CHECK(asked < kBound + times.crash_slack);
}

}  // namespace clementine
