#include "core/server_backoff.h"

#include <doctest/doctest.h>

#include <random>

#include "core/core.h"
#include "core/router.h"
#include "testing/find_action.h"

namespace clementine {
namespace {

using testing::FindAction;

using State = ServerBackoff::State;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TimePoint At(int ms) { return kStart + milliseconds(ms); }

GroupView Group(const std::string& host) {
  GroupView view;
  view.group = "chat/" + host;
  view.model = "chat";
  view.epoch = 1;
  view.head_host = host;
  view.max_running = 8;
  view.open = true;
  return view;
}

/// Request path with one group for each host.
struct PathFixture {
  explicit PathFixture(const std::vector<std::string>& hosts)
      : path(Options()) {
    auto configuration = std::make_shared<Configuration>();
    configuration->models["chat"].name = "chat";
    configuration->organisations["shop"].name = "shop";
    path.Handle(ConfigurationChanged{1, configuration}, kStart);
    GroupsChanged changed;
    for (const std::string& host : hosts) changed.groups.push_back(Group(host));
    path.Handle(changed, kStart);
  }

  static RequestPathOptions Options() {
    RequestPathOptions options;
    options.isolate_suspects = false;
    options.retry_ratio = 1.0;
    options.min_retry_after = milliseconds(200);
    return options;
  }

  /// @return Actions for a new request.
  std::vector<RequestAction> Arrive(TimePoint now, bool idempotent = true) {
    Request request;
    request.id = ++last_request;
    request.organisation = "shop";
    request.model = "chat";
    request.idempotent = idempotent;
    request.deadline = now + milliseconds(8'000);
    return path.Handle(RequestArrived{request}, now);
  }
  std::vector<RequestAction> End(AttemptId attempt, AttemptResult result,
                                 int status, int retry_after_ms,
                                 TimePoint now) {
    AttemptEnded ended;
    ended.attempt = attempt;
    ended.result = result;
    ended.status = status;
    ended.retry_after = milliseconds(retry_after_ms);
    return path.Handle(ended, now);
  }
  RequestPath path;
  RequestId last_request = 0;
};

}  // namespace

// Guards against requests to a server during its backoff, and against all
// waiting requests reaching the server at the end of the backoff.
TEST_CASE("a server gets no request during a backoff and one at its end") {
  ServerBackoff backoff(1);
  CHECK(backoff.StateOf("a") == State::kAvailable);
  backoff.OnBackoffRequested("a", milliseconds(2'000), kStart);
  CHECK(backoff.StateOf("a") == State::kBackingOff);
  CHECK_FALSE(backoff.OnRequestAccepted("a"));
  CHECK_FALSE(backoff.Advance(At(1'999)));
  CHECK(backoff.StateOf("a") == State::kBackingOff);
  CHECK(backoff.Advance(At(2'500)));
  CHECK(backoff.StateOf("a") == State::kHalfOpen);
  CHECK(backoff.OnRequestAccepted("a"));
  CHECK(backoff.StateOf("a") == State::kAvailable);
  // The first request after the backoff is refused as well.
  backoff.OnBackoffRequested("a", milliseconds(1'000), At(3'000));
  CHECK(backoff.StateOf("a") == State::kBackingOff);
  // A shorter backoff doesn't end a longer one.
  backoff.OnBackoffRequested("a", milliseconds(10), At(3'100));
  CHECK_FALSE(backoff.Advance(At(3'900)));
}

// Guards against a malicious or wrong Retry-After that takes a server out of
// service permanently.
TEST_CASE("the backoff of a server is bounded") {
  ServerBackoff backoff(1);
  backoff.OnBackoffRequested("a", std::chrono::hours(1'000), kStart);
  CHECK(
      backoff.Advance(kStart + ServerBackoff::kMaxBackoff + milliseconds(500)));
  CHECK(backoff.StateOf("a") == State::kHalfOpen);
}

// Checks the dispatches of random sequences of answers: a server gets no
// request from 500 ms after a refusal to the end of its backoff, and then at
// most one at a time until it has accepted one.
TEST_CASE("random sequences of answers respect the backoff of servers") {
  std::mt19937_64 random(20261204);
  auto random_below = [&](int n) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(n));
  };
  for (int round = 0; round < 60; ++round) {
    CAPTURE(round);
    PathFixture fixture({"a", "b"});
    struct Running {
      AttemptId id;
      std::string group;
    };
    std::vector<Running> running;
    std::map<std::string, TimePoint> refused_at;
    std::map<std::string, TimePoint> backoff_until;
    std::map<std::string, int> probes;  // Dispatched since the backoff ended.
    auto check_dispatches = [&](const std::vector<RequestAction>& actions,
                                TimePoint now) {
      for (const RequestAction& action : actions) {
        const auto* dispatch = std::get_if<Dispatch>(&action);
        if (dispatch == nullptr) continue;
        auto wait = backoff_until.find(dispatch->group);
        if (wait != backoff_until.end()) {
          CHECK_FALSE((now > refused_at[dispatch->group] + milliseconds(500) &&
                       now < wait->second));
          if (now >= wait->second) {
            CHECK(++probes[dispatch->group] <= 1);
          }
        }
        running.push_back({dispatch->attempt, dispatch->group});
      }
    };
    for (int ms = 0; ms < 6'000; ms += 20) {
      TimePoint now = At(ms);
      check_dispatches(fixture.path.Handle(Tick{}, now), now);
      if (random_below(3) > 0) {
        check_dispatches(fixture.Arrive(now, random_below(2) == 0), now);
      }
      while (!running.empty() && random_below(2) == 0) {
        auto at =
            running.begin() + random_below(static_cast<int>(running.size()));
        Running ended = *at;
        running.erase(at);
        std::vector<RequestAction> actions;
        if (random_below(8) == 0) {
          int wait = 1 + random_below(2'000);
          refused_at[ended.group] = now;
          backoff_until[ended.group] =
              std::max(backoff_until[ended.group], now + milliseconds(wait));
          probes[ended.group] = 0;
          actions =
              fixture.End(ended.id, AttemptResult::kRefused, 503, wait, now);
        } else {
          auto wait = backoff_until.find(ended.group);
          if (wait != backoff_until.end() && now >= wait->second) {
            backoff_until.erase(wait);
          }
          actions =
              fixture.End(ended.id, AttemptResult::kComplete, 200, 0, now);
        }
        check_dispatches(actions, now);
      }
    }
  }
}

// Guards against callers that wait, or get a wrong Retry-After, while all
// servers of their model are backing off.
TEST_CASE("callers are refused with the earliest end of a server's backoff") {
  PathFixture fixture({"a", "b"});
  auto first = FindAction<Dispatch>(fixture.Arrive(kStart));
  REQUIRE(first);
  auto second = FindAction<Dispatch>(
      fixture.End(first->attempt, AttemptResult::kRefused, 503, 4'000, kStart));
  // The retry is sent after a delay.
  for (int ms = 20; !second && ms < 200; ms += 20) {
    second = FindAction<Dispatch>(fixture.path.Handle(Tick{}, At(ms)));
  }
  REQUIRE(second);
  CHECK(second->group != first->group);
  auto refusal = FindAction<Refuse>(fixture.End(
      second->attempt, AttemptResult::kRefused, 503, 3'000, At(200)));
  REQUIRE(refusal);
  CHECK(refusal->outcome == Outcome::kNotRun);
  auto next = FindAction<Refuse>(fixture.Arrive(At(1'000)));
  REQUIRE(next);
  CHECK(next->outcome == Outcome::kNotRun);
  CHECK(next->retry_after >= milliseconds(2'200));
  CHECK(next->retry_after <= milliseconds(2'700));
}

// Guards against a backoff after other answers: an error, a refusal without
// Retry-After, a Retry-After with another status.
TEST_CASE("only a 503 with Retry-After starts a backoff") {
  struct Case {
    AttemptResult result;
    int status;
    int retry_after_ms;
  };
  for (const Case& other : {Case{AttemptResult::kRefused, 503, 0},
                            Case{AttemptResult::kError, 500, 9'000},
                            Case{AttemptResult::kComplete, 200, 9'000}}) {
    CAPTURE(other.status);
    PathFixture fixture({"a"});
    auto first = FindAction<Dispatch>(fixture.Arrive(kStart));
    REQUIRE(first);
    fixture.End(first->attempt, other.result, other.status,
                other.retry_after_ms, kStart);
    CHECK(FindAction<Dispatch>(fixture.Arrive(At(1'000))));
  }
}

// Guards against ignoring a backoff that a server requests in answer to a
// report instead of a request.
TEST_CASE("a backoff in answer to a report applies to requests as well") {
  PathFixture fixture({"a", "b"});
  fixture.path.Handle(ServerBusy{"a", milliseconds(5'000)}, kStart);
  for (int i = 0; i < 6; ++i) {
    auto dispatch = FindAction<Dispatch>(fixture.Arrive(At(100)));
    REQUIRE(dispatch);
    CHECK(dispatch->group == "chat/b");
  }
}

}  // namespace clementine
