// Requests whose group becomes unresponsive, at the level of the request path.

#include <doctest/doctest.h>

#include "core/core.h"
#include "testing/find_action.h"

namespace clementine {
namespace {

using testing::FindAction;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

struct PathFixture {
  PathFixture() : path(Options()) {
    auto configuration = std::make_shared<Configuration>();
    configuration->models["chat"].name = "chat";
    configuration->organisations["shop"].name = "shop";
    path.Handle(ConfigurationChanged{1, configuration}, kStart);
    SetGroups({"a", "b"});
  }

  static RequestPathOptions Options() {
    RequestPathOptions options;
    options.isolate_suspects = false;
    options.retry_ratio = 0.2;
    return options;
  }

  void SetGroups(const std::vector<std::string>& names) {
    GroupsChanged changed;
    for (const std::string& name : names) {
      GroupView view;
      view.group = name;
      view.model = "chat";
      view.epoch = 1;
      view.open = true;
      changed.groups.push_back(view);
    }
    path.Handle(changed, kStart);
  }

  /// Starts a request. All have the same content.
  /// @return Its dispatch.
  Dispatch Start(bool idempotent, int max_attempts = 2) {
    Request request;
    request.id = ++requests;
    request.organisation = "shop";
    request.model = "chat";
    request.idempotent = idempotent;
    request.max_attempts = max_attempts;
    request.deadline = kStart + milliseconds(5'000);
    auto actions = path.Handle(RequestArrived{request}, kStart);
    auto dispatch = FindAction<Dispatch>(actions);
    REQUIRE(dispatch);
    return *dispatch;
  }

  std::vector<RequestAction> End(AttemptId attempt, AttemptResult result,
                                 int status) {
    AttemptEnded ended;
    ended.attempt = attempt;
    ended.result = result;
    ended.status = status;
    return path.Handle(ended, kStart + milliseconds(700));
  }

  std::vector<RequestAction> Stall(AttemptId attempt) {
    return path.Handle(AttemptStalled{attempt}, kStart + milliseconds(600));
  }

  RequestPath path;
  RequestId requests = 0;
};

}  // namespace

// Guards against a caller that waits for a group which has lost a member,
// although another group could answer.
TEST_CASE("a stalled request is moved to another group") {
  for (bool moved : {true, false}) {
    CAPTURE(moved);
    PathFixture fixture;
    Dispatch first = fixture.Start(true);
    auto second = FindAction<Dispatch>(fixture.Stall(first.attempt));
    REQUIRE(second);
    CHECK(second->group != first.group);
    CHECK(second->concurrent);
    // The first of the two that goes on wins.
    AttemptId winner = moved ? second->attempt : first.attempt;
    auto actions = fixture.path.Handle(AttemptProgress{winner, 1},
                                       kStart + milliseconds(650));
    auto cancel = FindAction<CancelAttempt>(actions);
    REQUIRE(cancel);
    CHECK(cancel->attempt == (moved ? first.attempt : second->attempt));
    CHECK(
        FindAction<Finish>(fixture.End(winner, AttemptResult::kComplete, 200)));
    CHECK(fixture.path.stats().in_flight == 0);
  }
}

// Guards against an answer that is cut off although its server still works on
// it: it was given up for its silence before another server had accepted the
// request, and that one rejected it (LOST).
TEST_CASE("a stalled request is kept until another server continues it") {
  for (AttemptResult result : {AttemptResult::kRefused, AttemptResult::kNotSent,
                               AttemptResult::kBroken, AttemptResult::kError}) {
    CAPTURE(AttemptResultName(result));
    PathFixture fixture;
    Dispatch first = fixture.Start(true);
    std::vector<RequestAction> actions = fixture.Stall(first.attempt);
    CHECK_FALSE(FindAction<CancelAttempt>(actions));
    auto second = FindAction<Dispatch>(actions);
    REQUIRE(second);
    CHECK(second->group != first.group);
    CHECK(fixture.Stall(first.attempt).empty());
    actions = fixture.End(second->attempt, result,
                          result == AttemptResult::kBroken ? 0 : 503);
    CHECK_FALSE(FindAction<Refuse>(actions));
    CHECK_FALSE(FindAction<Finish>(actions));
    CHECK(FindAction<Finish>(
        fixture.End(first.attempt, AttemptResult::kComplete, 200)));
    CHECK(fixture.path.stats().in_flight == 0);
  }
}

// Guards against an answer that is given up as the server that should have
// continued it is silent as well, although a third one could (LOST).
TEST_CASE("a stalled request is kept while several servers are tried") {
  PathFixture fixture;
  fixture.SetGroups({"a", "b", "c", "d", "e", "f"});
  Dispatch first = fixture.Start(true, 3);
  auto second = FindAction<Dispatch>(fixture.Stall(first.attempt));
  REQUIRE(second);
  std::vector<RequestAction> actions;
  std::optional<Dispatch> third;
  // The group of the second attempt may be picked once more.
  for (int i = 0; i < 20 && !third; ++i) {
    actions = fixture.Stall(second->attempt);
    third = FindAction<Dispatch>(actions);
  }
  REQUIRE(third);
  CHECK(third->group != first.group);
  CHECK(third->group != second->group);
  CHECK(FindAction<CancelAttempt>(actions)->attempt == second->attempt);
  fixture.End(third->attempt, AttemptResult::kRefused, 503);
  CHECK(FindAction<Finish>(
      fixture.End(first.attempt, AttemptResult::kComplete, 200)));
  CHECK(fixture.path.stats().in_flight == 0);
}

// Guards against a request that has crashed too many servers and is sent to one
// more as its server is silent (BUDGET).
TEST_CASE("a stalled request that is quarantined is sent to no other group") {
  for (bool began : {false, true}) {
    CAPTURE(began);
    PathFixture fixture;
    fixture.SetGroups({"a", "b", "c", "d", "e", "f", "g", "h"});
    Dispatch first = fixture.Start(true);
    if (began) {
      fixture.path.Handle(AttemptProgress{first.attempt, 1}, kStart);
    }
    for (int crashes = 0; crashes < 2; ++crashes) {
      fixture.End(fixture.Start(false, 1).attempt, AttemptResult::kCrashed, 0);
    }
    std::vector<RequestAction> actions = fixture.Stall(first.attempt);
    CHECK_FALSE(FindAction<Dispatch>(actions));
    // An answer that has begun is kept.
    auto refuse = FindAction<Refuse>(actions);
    CHECK(refuse.has_value() == !began);
    if (refuse) CHECK(refuse->reason == RefusalReason::kQuarantined);
    CHECK(FindAction<CancelAttempt>(actions).has_value() == !began);
  }
}

// Guards against an answer that is aborted because its server sends no data for
// some time, although no other group can answer the request.
TEST_CASE("a stalled request continues if no other group can take it") {
  auto continues = [](PathFixture* fixture, const Dispatch& dispatch) {
    return fixture->Stall(dispatch.attempt).empty();
  };
  PathFixture once;
  CHECK(continues(&once, once.Start(false)));
  PathFixture single;
  CHECK(continues(&single, single.Start(true, 1)));
  PathFixture alone;
  alone.SetGroups({"a"});
  CHECK(continues(&alone, alone.Start(true)));
  PathFixture twice;
  Dispatch first = twice.Start(true);
  auto second = FindAction<Dispatch>(twice.Stall(first.attempt));
  REQUIRE(second);
  CHECK(continues(&twice, *second));
  // The attempt that continued can still complete.
  AttemptEnded ended;
  ended.attempt = second->attempt;
  ended.result = AttemptResult::kComplete;
  ended.status = 200;
  CHECK(
      FindAction<Finish>(twice.path.Handle(ended, kStart + milliseconds(700))));
}

}  // namespace clementine
