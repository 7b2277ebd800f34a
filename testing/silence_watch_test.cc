// Which groups are taken for silent, by the events of their streams.

#include "core/silence_watch.h"

#include <doctest/doctest.h>

namespace clementine {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

const std::map<std::string, std::uint64_t> kSilent = {{"g", 5}};

TimePoint At(int ms) { return kStart + milliseconds(ms); }

}  // namespace

// Guards against closing a group that has just opened: requests that waited for
// it come all at once, and this daemon's ones wait at the server while those of
// other daemons are read.
TEST_CASE("requests that wait their turn at a group don't make it silent") {
  SilenceWatch watch;
  for (AttemptId attempt = 1; attempt <= 4; ++attempt) {
    watch.Started(attempt, "g", 5, At(0));
  }
  watch.Heard(1, /*event=*/false, At(20));
  for (int ms = 50; ms <= 1'350; ms += 50) {
    SilenceWatch::Found found = watch.Check(At(ms));
    CHECK(found.silent.empty());
    CHECK(found.stalled.empty());
  }
}

// Guards against a lost member that is noticed only when callers give up.
TEST_CASE("a group whose streams stop is silent within a second") {
  SilenceWatch watch;
  watch.Started(1, "g", 5, At(0));
  watch.Started(2, "g", 5, At(0));
  watch.Started(3, "h", 6, At(0));
  for (int ms = 50; ms <= 1'000; ms += 50) {
    watch.Heard(1, true, At(ms));
    watch.Heard(3, true, At(ms));
  }
  for (int ms = 1'050; ms <= 2'000; ms += 50) watch.Heard(3, true, At(ms));
  SilenceWatch::Found found = watch.Check(At(1'450));
  CHECK(found.silent.empty());
  CHECK(found.stalled == std::vector<AttemptId>{2});  // Has not begun.
  found = watch.Check(At(1'550));
  CHECK(found.silent == kSilent);
  CHECK(found.stalled == std::vector<AttemptId>{1});
  CHECK(watch.Check(At(1'600)).stalled.empty());
  CHECK(watch.Check(At(1'900)).stalled == std::vector<AttemptId>{1, 2});
  CHECK_FALSE(watch.GroupGoesOn(1));
  CHECK(watch.GroupGoesOn(2));
}

// Guards against a lost member that is noticed late by a daemon whose streams
// had ended, or none of which has begun since.
TEST_CASE("a group that has sent events before is silent soon") {
  SilenceWatch watch;
  watch.Started(1, "g", 5, At(0));
  watch.Heard(1, true, At(1'000));
  watch.Ended(1);
  watch.KeepGroups({"g"});
  watch.Started(2, "g", 5, At(5'000));
  CHECK(watch.Check(At(5'500)).silent.empty());
  CHECK(watch.Check(At(5'550)).silent == kSilent);
  // A group of the same name in a new epoch starts anew.
  watch.Ended(2);
  watch.Started(3, "g", 6, At(6'000));
  CHECK(watch.Check(At(7'400)).silent.empty());
}

// Guards against a head that accepts requests, has lost a member, and has sent
// no event to this daemon.
TEST_CASE("a group that never begins is silent before callers give up") {
  SilenceWatch watch;
  watch.Started(1, "g", 5, At(0));
  CHECK(watch.Check(At(1'400)).silent.empty());
  SilenceWatch::Found found = watch.Check(At(1'450));
  CHECK(found.silent == kSilent);
  CHECK(found.stalled == std::vector<AttemptId>{1});
  watch.Ended(1);
  watch.Ended(1);
  CHECK(watch.Check(At(3'000)).stalled.empty());
}

// Guards against one slow stream closing its group.
TEST_CASE("a silent stream of a busy group is moved alone") {
  SilenceWatch watch;
  watch.Started(1, "g", 5, At(0));
  watch.Started(2, "g", 5, At(0));
  watch.Heard(1, true, At(100));
  for (int ms = 100; ms <= 1'000; ms += 50) watch.Heard(2, true, At(ms));
  SilenceWatch::Found found = watch.Check(At(1'000));
  CHECK(found.silent.empty());
  CHECK(found.stalled == std::vector<AttemptId>{1});
}

// Guards against a daemon short of processor time that takes its own pause for
// the silence of all groups, and closes them to its callers.
TEST_CASE("time in which the daemon itself stood still isn't silence") {
  SilenceWatch watch;
  watch.Started(1, "g", 1, kStart);
  watch.Heard(1, true, kStart + milliseconds(100));
  watch.Missed(milliseconds(2'000));
  TimePoint woken = kStart + milliseconds(2'150);
  CHECK(watch.Check(woken).silent.empty());
  CHECK(watch.Check(woken + milliseconds(300)).silent.empty());
  // What a group doesn't send afterwards counts.
  CHECK(watch.Check(woken + milliseconds(700)).silent.count("g") == 1);
  // An answer that waited in the meantime is heard as usual.
  watch.Heard(1, true, woken + milliseconds(750));
  CHECK(watch.Check(woken + milliseconds(1'000)).silent.empty());
  CHECK(watch.Check(woken + milliseconds(1'400)).silent.count("g") == 1);
}

}  // namespace clementine
