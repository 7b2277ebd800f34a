// Tests which attempts count as stalled and which groups as unresponsive.

#include "core/silence_watch.h"

#include <doctest/doctest.h>

namespace clementine {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

const std::map<std::string, std::uint64_t> kUnresponsive = {{"g", 5}};

TimePoint At(int ms) { return kStart + milliseconds(ms); }

}  // namespace

// Guards against closing a group that has just opened. All queued requests
// reach it at once, and the requests of this daemon wait at the server while
// those of other daemons are read.
TEST_CASE("requests queued at a new group do not make it unresponsive") {
  SilenceWatch watch;
  for (AttemptId attempt = 1; attempt <= 4; ++attempt) {
    watch.OnAttemptStarted(attempt, "g", 5, At(0));
  }
  watch.OnResponseData(1, /*has_event=*/false, At(20));
  for (int ms = 50; ms <= 1'350; ms += 50) {
    SilenceWatch::Findings found = watch.Check(At(ms));
    CHECK(found.unresponsive.empty());
    CHECK(found.stalled.empty());
  }
}

// Guards against detecting a lost member only after callers have aborted their
// streams.
TEST_CASE("a group whose streams stop is unresponsive within a second") {
  SilenceWatch watch;
  watch.OnAttemptStarted(1, "g", 5, At(0));
  watch.OnAttemptStarted(2, "g", 5, At(0));
  watch.OnAttemptStarted(3, "h", 6, At(0));
  for (int ms = 50; ms <= 1'000; ms += 50) {
    watch.OnResponseData(1, true, At(ms));
    watch.OnResponseData(3, true, At(ms));
  }
  for (int ms = 1'050; ms <= 2'000; ms += 50) {
    watch.OnResponseData(3, true, At(ms));
  }
  SilenceWatch::Findings found = watch.Check(At(1'450));
  CHECK(found.unresponsive.empty());
  CHECK(found.stalled == std::vector<AttemptId>{2});  // Has had no event.
  found = watch.Check(At(1'550));
  CHECK(found.unresponsive == kUnresponsive);
  CHECK(found.stalled == std::vector<AttemptId>{1});
  CHECK(watch.Check(At(1'600)).stalled.empty());
  CHECK(watch.Check(At(1'900)).stalled == std::vector<AttemptId>{1, 2});
  CHECK_FALSE(watch.HasGroupRespondedSince(1));
  CHECK(watch.HasGroupRespondedSince(2));
}

// Guards against late detection of a lost member by a daemon whose earlier
// streams have ended and whose new streams have had no event.
TEST_CASE("the short timeout applies to a group that sent events before") {
  SilenceWatch watch;
  watch.OnAttemptStarted(1, "g", 5, At(0));
  watch.OnResponseData(1, true, At(1'000));
  watch.OnAttemptEnded(1);
  watch.RetainGroups({"g"});
  watch.OnAttemptStarted(2, "g", 5, At(5'000));
  CHECK(watch.Check(At(5'500)).unresponsive.empty());
  CHECK(watch.Check(At(5'550)).unresponsive == kUnresponsive);
  // In a new epoch the long timeout applies again.
  watch.OnAttemptEnded(2);
  watch.OnAttemptStarted(3, "g", 6, At(6'000));
  CHECK(watch.Check(At(7'400)).unresponsive.empty());
}

// Guards against missing the loss of a member when the head accepts requests
// but has sent no event to this daemon.
TEST_CASE("a group without any event is unresponsive before callers abort") {
  SilenceWatch watch;
  watch.OnAttemptStarted(1, "g", 5, At(0));
  CHECK(watch.Check(At(1'400)).unresponsive.empty());
  SilenceWatch::Findings found = watch.Check(At(1'450));
  CHECK(found.unresponsive == kUnresponsive);
  CHECK(found.stalled == std::vector<AttemptId>{1});
  watch.OnAttemptEnded(1);
  watch.OnAttemptEnded(1);
  CHECK(watch.Check(At(3'000)).stalled.empty());
}

// Guards against closing a group because one of its streams is slow.
TEST_CASE("a stalled stream of a responsive group does not affect the group") {
  SilenceWatch watch;
  watch.OnAttemptStarted(1, "g", 5, At(0));
  watch.OnAttemptStarted(2, "g", 5, At(0));
  watch.OnResponseData(1, true, At(100));
  for (int ms = 100; ms <= 1'000; ms += 50) {
    watch.OnResponseData(2, true, At(ms));
  }
  SilenceWatch::Findings found = watch.Check(At(1'000));
  CHECK(found.unresponsive.empty());
  CHECK(found.stalled == std::vector<AttemptId>{1});
}

// Guards against a daemon short of processor time that treats all groups as
// unresponsive after its own pause, and closes them to its callers.
TEST_CASE("a pause of the daemon does not count towards the timeouts") {
  SilenceWatch watch;
  watch.OnAttemptStarted(1, "g", 1, kStart);
  watch.OnResponseData(1, true, kStart + milliseconds(100));
  watch.OnDaemonPaused(milliseconds(2'000));
  TimePoint woken = kStart + milliseconds(2'150);
  CHECK(watch.Check(woken).unresponsive.empty());
  CHECK(watch.Check(woken + milliseconds(300)).unresponsive.empty());
  // Time without data after the pause counts.
  CHECK(watch.Check(woken + milliseconds(700)).unresponsive.count("g") == 1);
  // Data that arrived during the pause and is read later counts as a response.
  watch.OnResponseData(1, true, woken + milliseconds(750));
  CHECK(watch.Check(woken + milliseconds(1'000)).unresponsive.empty());
  CHECK(watch.Check(woken + milliseconds(1'400)).unresponsive.count("g") == 1);
}

}  // namespace clementine
