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

// Guards against innocents that stay suspect, and culprits that are cleared.
TEST_CASE("completing alone clears a suspect but not a quarantined digest") {
  Quarantine quarantine(2, kTime);
  quarantine.Crashed("d", "chat/0@1", kStart, kStart);
  quarantine.Cleared("d");
  CHECK(quarantine.Judge("d", kStart) == Verdict::kClear);
  quarantine.Learned({"d", milliseconds(1000)}, kStart);
  quarantine.Cleared("d");
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
