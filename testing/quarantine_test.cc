#include "core/quarantine.h"

#include <doctest/doctest.h>

namespace clementine {
namespace {

using Verdict = Quarantine::Verdict;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr milliseconds kTime{600'000};

// Guards against a request that crashes one replica after another.
TEST_CASE("two crashes quarantine a digest until it expires") {
  Quarantine quarantine(2, kTime);
  CHECK(quarantine.Judge("d", kStart) == Verdict::kClear);
  CHECK(quarantine.Crashed("d", "chat/0@1", kStart, kStart));
  CHECK(quarantine.Judge("d", kStart) == Verdict::kSuspect);
  CHECK(quarantine.Crashed("d", "chat/1@1", kStart, kStart));
  CHECK(quarantine.Judge("d", kStart) == Verdict::kQuarantined);
  CHECK(quarantine.Remaining("d", kStart) == kTime);
  CHECK(quarantine.Judge("d", kStart + kTime) == Verdict::kClear);
  quarantine.Expire(kStart + kTime);
  CHECK(quarantine.size() == 0);
}

// Guards against counting one crash twice: by several attempts of one daemon,
// or by two daemons. And against counting two crashes of one replica once.
TEST_CASE("each crash counts once") {
  Quarantine one(2, kTime);
  auto share = one.Crashed("d", "chat/0@1", kStart, kStart + kTime / 100);
  CHECK_FALSE(one.Crashed("d", "chat/0@1", kStart, kStart + kTime / 100));
  Quarantine two(2, kTime);
  two.Crashed("d", "chat/0@1", kStart, kStart);
  two.Learned({share->digest, share->remaining}, kStart);
  CHECK(two.Judge("d", kStart) == Verdict::kSuspect);
  one.Crashed("d", "chat/0@1", kStart + kTime / 50, kStart + kTime / 40);
  CHECK(one.Judge("d", kStart + kTime / 40) == Verdict::kQuarantined);
}

// Guards against a third crash through a third daemon.
TEST_CASE("crashes seen by different daemons add up") {
  Quarantine one(2, kTime);
  Quarantine two(2, kTime);
  auto first = one.Crashed("d", "chat/0@1", kStart, kStart);
  auto second = two.Crashed("d", "chat/1@1", kStart, kStart);
  Quarantine three(2, kTime);
  three.Learned({first->digest, first->remaining}, kStart);
  three.Learned({first->digest, first->remaining}, kStart);
  CHECK(three.Judge("d", kStart) == Verdict::kSuspect);
  three.Learned({second->digest, second->remaining}, kStart);
  CHECK(three.Judge("d", kStart) == Verdict::kQuarantined);
}

// Guards against innocents that stay suspect, and against a digest that was
// quarantined outright and is cleared.
TEST_CASE("completing clears a suspect but not a digest without crashes") {
  Quarantine quarantine(2, kTime);
  quarantine.Crashed("d", "chat/0@1", kStart, kStart);
  quarantine.Completed("d", kStart);
  CHECK(quarantine.Judge("d", kStart) == Verdict::kClear);
  quarantine.Learned({"d", milliseconds(1000)}, kStart);
  quarantine.Completed("d", kStart);
  CHECK(quarantine.Judge("d", kStart) == Verdict::kQuarantined);
}

// Guards against a request that callers repeat and that is refused everywhere,
// because it was in flight at crashes which others caused.
TEST_CASE("a request that completes between crashes is never quarantined") {
  Quarantine one(3, kTime);
  Quarantine two(3, kTime);
  for (int i = 0; i < 20; ++i) {
    std::string group = "chat/" + std::to_string(i) + "@1";
    TimePoint now = kStart + milliseconds(11'000) * i;
    auto crash = one.Crashed("d", group, now, now);
    REQUIRE(crash);
    two.Learned({crash->digest, crash->remaining}, now);
    // It completes at the other daemon, which tells the first one.
    for (const ShareQuarantine& share : two.Completed("d", now)) {
      one.Learned({share.digest, share.remaining}, now);
    }
    CHECK(one.Judge("d", now) == Verdict::kClear);
    CHECK(two.Judge("d", now) == Verdict::kClear);
  }
  CHECK(one.total() == 0);
}

// Guards against a daemon that hears of an acquittal before it hears of the
// crash, and suspects the request from then on.
TEST_CASE("an acquittal counts in any order with its crash") {
  Quarantine one(1, kTime);
  auto crash = one.Crashed("d", "chat/0@1", kStart, kStart);
  std::vector<ShareQuarantine> acquittals = one.Completed("d", kStart);
  REQUIRE(acquittals.size() == 1);
  CHECK(IsAcquittal(acquittals[0].digest));
  CHECK_FALSE(IsAcquittal(crash->digest));
  CHECK(AcquittedMark(acquittals[0].digest) == crash->digest);
  Quarantine two(1, kTime);
  two.Learned({acquittals[0].digest, kTime}, kStart);
  two.Learned({crash->digest, kTime}, kStart);
  CHECK(two.Judge("d", kStart) == Verdict::kClear);
  // It's acquitted once, and of nothing else.
  CHECK(one.Completed("d", kStart).empty());
  TimePoint later = kStart + milliseconds(11'000);
  CHECK(one.Crashed("d", "chat/1@1", later, later));
  CHECK(one.Judge("d", later) == Verdict::kQuarantined);
}

// Guards against several copies of a request that are in flight at crashes: the
// last of them completes before its daemon hears of the others' crashes, after
// which nobody runs it any more.
TEST_CASE("a completion counts for crashes that become known soon after") {
  Quarantine quarantine(3, kTime);
  quarantine.Completed("d", kStart);
  TimePoint soon = kStart + milliseconds(2'000);
  CHECK_FALSE(quarantine.Crashed("d", "chat/0@1", kStart, soon));
  for (int i = 1; i < 4; ++i) {
    std::string crash = "chat/" + std::to_string(i) + "@1#1";
    auto shares = quarantine.Learned({"d/" + crash, kTime}, soon);
    REQUIRE(shares.size() == 1);
    CHECK(shares[0].digest == "d!" + crash);
  }
  CHECK(quarantine.Judge("d", soon) == Verdict::kClear);
  // A completion long ago says nothing of a server's present version.
  TimePoint later = kStart + milliseconds(60'000);
  CHECK(quarantine.Crashed("d", "chat/9@1", later, later));
  CHECK(quarantine.Judge("d", later) == Verdict::kSuspect);
  for (int i = 0; i < 100'000; ++i) {
    quarantine.Completed(std::to_string(i), later);
  }
  CHECK(quarantine.JustCompleted("99999", later));
  CHECK_FALSE(quarantine.JustCompleted("0", later));
}

// Guards against crashes of one digest that grow without bound while it's
// acquitted of each, or that push out those that count.
TEST_CASE("acquitted crashes don't push out the others") {
  Quarantine quarantine(3, kTime);
  for (int i = 0; i < 100; ++i) {
    quarantine.Learned({"d!chat/" + std::to_string(i) + "@1#1", kTime}, kStart);
  }
  for (int i = 0; i < 3; ++i) {
    quarantine.Crashed("d", "text/" + std::to_string(i) + "@1", kStart, kStart);
    quarantine.Learned({"d!word/" + std::to_string(i) + "@1#1", kTime}, kStart);
  }
  CHECK(quarantine.Judge("d", kStart) == Verdict::kQuarantined);
}

// Guards against memory that grows with the number of crashes.
TEST_CASE("the table is bounded and keeps quarantined digests") {
  Quarantine quarantine(2, kTime);
  quarantine.Learned({"culprit", kTime}, kStart);
  for (int i = 0; i < 10'000; ++i) {
    quarantine.Crashed(std::to_string(i), "chat/0@1", kStart,
                       kStart + milliseconds(i));
  }
  CHECK(quarantine.size() <= 4096);
  CHECK(quarantine.Judge("culprit", kStart) == Verdict::kQuarantined);
}

}  // namespace
}  // namespace clementine
