#include "core/quarantine.h"

#include <doctest/doctest.h>

namespace clementine {
namespace {

using DigestState = Quarantine::State;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr milliseconds kDuration{600'000};

// Guards against a request that crashes one replica after another.
TEST_CASE("two crashes quarantine a digest until it expires") {
  Quarantine quarantine(2, kDuration);
  CHECK(quarantine.Classify("d", kStart) == DigestState::kClear);
  CHECK(quarantine.OnServerCrash("d", "chat/0@1", kStart, kStart));
  CHECK(quarantine.Classify("d", kStart) == DigestState::kSuspect);
  CHECK(quarantine.OnServerCrash("d", "chat/1@1", kStart, kStart));
  CHECK(quarantine.Classify("d", kStart) == DigestState::kQuarantined);
  CHECK(quarantine.RemainingTime("d", kStart) == kDuration);
  CHECK(quarantine.Classify("d", kStart + kDuration) == DigestState::kClear);
  quarantine.Expire(kStart + kDuration);
  CHECK(quarantine.size() == 0);
}

// Guards against counting one crash twice, for several attempts of one daemon
// or at two daemons, and against counting two crashes of one replica once.
TEST_CASE("each crash counts once") {
  Quarantine one(2, kDuration);
  auto share =
      one.OnServerCrash("d", "chat/0@1", kStart, kStart + kDuration / 100);
  CHECK_FALSE(
      one.OnServerCrash("d", "chat/0@1", kStart, kStart + kDuration / 100));
  Quarantine two(2, kDuration);
  two.OnServerCrash("d", "chat/0@1", kStart, kStart);
  two.OnPeerNotice({share->digest, share->remaining}, kStart);
  CHECK(two.Classify("d", kStart) == DigestState::kSuspect);
  one.OnServerCrash("d", "chat/0@1", kStart + kDuration / 50,
                    kStart + kDuration / 40);
  CHECK(one.Classify("d", kStart + kDuration / 40) ==
        DigestState::kQuarantined);
}

// Guards against a third daemon that dispatches the request and causes a third
// crash.
TEST_CASE("crashes observed by different daemons add up") {
  Quarantine one(2, kDuration);
  Quarantine two(2, kDuration);
  auto first = one.OnServerCrash("d", "chat/0@1", kStart, kStart);
  auto second = two.OnServerCrash("d", "chat/1@1", kStart, kStart);
  Quarantine three(2, kDuration);
  three.OnPeerNotice({first->digest, first->remaining}, kStart);
  three.OnPeerNotice({first->digest, first->remaining}, kStart);
  CHECK(three.Classify("d", kStart) == DigestState::kSuspect);
  three.OnPeerNotice({second->digest, second->remaining}, kStart);
  CHECK(three.Classify("d", kStart) == DigestState::kQuarantined);
}

// Guards against completed requests that stay suspect, and against clearing a
// digest that was quarantined without crash names.
TEST_CASE("completing clears a suspect but not a digest without crashes") {
  Quarantine quarantine(2, kDuration);
  quarantine.OnServerCrash("d", "chat/0@1", kStart, kStart);
  quarantine.OnRequestCompleted("d", kStart);
  CHECK(quarantine.Classify("d", kStart) == DigestState::kClear);
  quarantine.OnPeerNotice({"d", milliseconds(1000)}, kStart);
  quarantine.OnRequestCompleted("d", kStart);
  CHECK(quarantine.Classify("d", kStart) == DigestState::kQuarantined);
}

// Guards against refusing a frequently repeated request at all daemons because
// it was in flight at crashes that other requests caused.
TEST_CASE("a request that completes between crashes is never quarantined") {
  Quarantine one(3, kDuration);
  Quarantine two(3, kDuration);
  for (int i = 0; i < 20; ++i) {
    std::string group = "chat/" + std::to_string(i) + "@1";
    TimePoint now = kStart + milliseconds(11'000) * i;
    auto crash = one.OnServerCrash("d", group, now, now);
    REQUIRE(crash);
    two.OnPeerNotice({crash->digest, crash->remaining}, now);
    // It completes at the other daemon, which shares the acquittals.
    for (const ShareQuarantine& share : two.OnRequestCompleted("d", now)) {
      one.OnPeerNotice({share.digest, share.remaining}, now);
    }
    CHECK(one.Classify("d", now) == DigestState::kClear);
    CHECK(two.Classify("d", now) == DigestState::kClear);
  }
  CHECK(one.times_quarantined(kStart) == 0);
}

// Guards against a daemon that receives an acquittal before the crash mark and
// then keeps the request as a suspect.
TEST_CASE("an acquittal that arrives before its crash mark takes effect") {
  Quarantine one(1, kDuration);
  auto crash = one.OnServerCrash("d", "chat/0@1", kStart, kStart);
  std::vector<ShareQuarantine> acquittals = one.OnRequestCompleted("d", kStart);
  REQUIRE(acquittals.size() == 1);
  CHECK(IsAcquittal(acquittals[0].digest));
  CHECK_FALSE(IsAcquittal(crash->digest));
  CHECK(AcquittedMark(acquittals[0].digest) == crash->digest);
  Quarantine two(1, kDuration);
  two.OnPeerNotice({acquittals[0].digest, kDuration}, kStart);
  two.OnPeerNotice({crash->digest, kDuration}, kStart);
  CHECK(two.Classify("d", kStart) == DigestState::kClear);
  // Each crash is acquitted once, and later crashes are not.
  CHECK(one.OnRequestCompleted("d", kStart).empty());
  TimePoint later = kStart + milliseconds(11'000);
  CHECK(one.OnServerCrash("d", "chat/1@1", later, later));
  CHECK(one.Classify("d", later) == DigestState::kQuarantined);
}

// Guards against quarantining a request of which several copies were in flight
// at crashes. The last copy completes before its daemon receives the crash
// marks, and no later run could acquit the request.
TEST_CASE("a completion acquits of crashes that become known soon after") {
  Quarantine quarantine(3, kDuration);
  quarantine.OnRequestCompleted("d", kStart);
  TimePoint soon = kStart + milliseconds(2'000);
  CHECK_FALSE(quarantine.OnServerCrash("d", "chat/0@1", kStart, soon));
  for (int i = 1; i < 4; ++i) {
    std::string crash = "chat/" + std::to_string(i) + "@1#1";
    auto shares = quarantine.OnPeerNotice({"d/" + crash, kDuration}, soon);
    REQUIRE(shares.size() == 1);
    CHECK(shares[0].digest == "d!" + crash);
  }
  CHECK(quarantine.Classify("d", soon) == DigestState::kClear);
  // An old completion does not acquit: the server version may have changed.
  TimePoint later = kStart + milliseconds(60'000);
  CHECK(quarantine.OnServerCrash("d", "chat/9@1", later, later));
  CHECK(quarantine.Classify("d", later) == DigestState::kSuspect);
  for (int i = 0; i < 100'000; ++i) {
    quarantine.OnRequestCompleted(std::to_string(i), later);
  }
  CHECK(quarantine.HasRecentlyCompleted("99999", later));
  CHECK_FALSE(quarantine.HasRecentlyCompleted("0", later));
}

// Guards against unbounded growth of the acquitted crashes of a digest, and
// against evicting crashes that are not acquitted.
TEST_CASE("acquitted crashes do not evict other crashes") {
  Quarantine quarantine(3, kDuration);
  for (int i = 0; i < 100; ++i) {
    quarantine.OnPeerNotice({"d!chat/" + std::to_string(i) + "@1#1", kDuration},
                            kStart);
  }
  for (int i = 0; i < 3; ++i) {
    quarantine.OnServerCrash("d", "text/" + std::to_string(i) + "@1", kStart,
                             kStart);
    quarantine.OnPeerNotice({"d!word/" + std::to_string(i) + "@1#1", kDuration},
                            kStart);
  }
  CHECK(quarantine.Classify("d", kStart) == DigestState::kQuarantined);
}

// Guards against a part that stays blocked after its fault was mended or though
// it never crashed a server, and against many trials at once (BUDGET).
TEST_CASE("one trial after another tells whether a cause still crashes") {
  constexpr int kDaemons = 20;
  const std::string part_key = KeyOfPart(0xd);
  std::vector<Quarantine> daemons;
  for (int i = 0; i < kDaemons; ++i) {
    daemons.emplace_back(3, kDuration, static_cast<std::uint64_t>(i));
    daemons.back().SetDaemonCount(kDaemons);
    for (int crash = 0; crash < 3; ++crash) {
      daemons.back().OnPeerNotice(
          {part_key + "/chat/" + std::to_string(crash) + "@1#1", kDuration},
          kStart);
    }
  }
  const CrashKeys keys = {
      "digest", std::make_shared<const std::vector<std::uint64_t>>(1, 0xd)};
  // Each daemon gets such a request once a second. The result of a trial is
  // known to all daemons a second later.
  auto first_trials = [&](TimePoint from) {
    int trials = 0;
    for (TimePoint now = from; trials == 0; now += std::chrono::seconds(1)) {
      REQUIRE(now < from + kDuration);
      for (Quarantine& daemon : daemons) {
        trials += daemon.StartTrial(keys, now) ? 1 : 0;
      }
      if (trials > 0) CHECK(now - from >= std::chrono::seconds(60));
    }
    return trials;
  };
  CHECK(first_trials(kStart) <= 3);
  // Requests that arrive at all daemons at once after a pause.
  for (int minute = 3; minute < 9; ++minute) {
    int trials = 0;
    for (Quarantine daemon : daemons) {
      bool tries =
          daemon.StartTrial(keys, kStart + std::chrono::minutes(minute));
      trials += tries ? 1 : 0;
    }
    CAPTURE(minute);
    CHECK(trials <= 3);
  }
  TimePoint later = kStart + std::chrono::minutes(4);
  for (Quarantine& daemon : daemons) {
    daemon.OnPeerNotice({part_key + "/chat/8@1#1", kDuration}, later);
    CHECK_FALSE(daemon.StartTrial(keys, later + std::chrono::seconds(100)));
    CHECK(daemon.Classify(keys, later) == DigestState::kQuarantined);
    // A trial that begins its answer ends the quarantine.
    daemon.OnRequestCompleted(part_key, later + std::chrono::minutes(3));
    CHECK(daemon.Classify(keys, later + std::chrono::minutes(3)) ==
          DigestState::kClear);
  }
}

// Guards against unbounded memory use as crashes accumulate.
TEST_CASE("the table is bounded and keeps quarantined digests") {
  Quarantine quarantine(2, kDuration);
  quarantine.OnPeerNotice({"culprit", kDuration}, kStart);
  for (int i = 0; i < 10'000; ++i) {
    quarantine.OnServerCrash(std::to_string(i), "chat/0@1", kStart,
                             kStart + milliseconds(i));
  }
  CHECK(quarantine.size() <= 4096);
  CHECK(quarantine.Classify("culprit", kStart) == DigestState::kQuarantined);
}

}  // namespace
}  // namespace clementine
