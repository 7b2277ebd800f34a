#include "core/server_backoff.h"

#include <doctest/doctest.h>

#include <random>

#include "core/core.h"
#include "core/router.h"
#include "testing/find_action.h"

namespace clementine {
namespace {

using testing::FindAction;

using Verdict = ServerBackoff::Verdict;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TimePoint At(int ms) { return kStart + milliseconds(ms); }

GroupView Group(const std::string& host) {
  GroupView view;
  view.group = "chat/" + host;
  view.model = "chat";
  view.epoch = 1;
  view.leader_host = host;
  view.max_running = 8;
  view.open = true;
  return view;
}

/// A request path before some servers.
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
    options.least_retry_after = milliseconds(200);
    return options;
  }

  /// @return Actions of a new request.
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

// Guards against requests to a server that named a time in which it wants none,
// and against a server that is asked by all waiting requests at its end.
TEST_CASE("a server that named a time is left alone, then asked once") {
  ServerBackoff backoff(1);
  CHECK(backoff.Judge("a") == Verdict::kFree);
  backoff.Asked("a", milliseconds(2'000), kStart);
  CHECK(backoff.Judge("a") == Verdict::kNone);
  CHECK_FALSE(backoff.Took("a"));
  CHECK_FALSE(backoff.Advance(At(1'999)));
  CHECK(backoff.Judge("a") == Verdict::kNone);
  CHECK(backoff.Advance(At(2'500)));
  CHECK(backoff.Judge("a") == Verdict::kOneAtATime);
  CHECK(backoff.Took("a"));
  CHECK(backoff.Judge("a") == Verdict::kFree);
  // Another refusal of the cautious request.
  backoff.Asked("a", milliseconds(1'000), At(3'000));
  CHECK(backoff.Judge("a") == Verdict::kNone);
  // A shorter time doesn't end a longer one.
  backoff.Asked("a", milliseconds(10), At(3'100));
  CHECK_FALSE(backoff.Advance(At(3'900)));
}

// Guards against a hostile or wrong value that takes a server away for good.
TEST_CASE("a server isn't left alone for longer than a bound") {
  ServerBackoff backoff(1);
  backoff.Asked("a", std::chrono::hours(1'000), kStart);
  CHECK(backoff.Advance(kStart + ServerBackoff::kLongest + milliseconds(500)));
  CHECK(backoff.Judge("a") == Verdict::kOneAtATime);
}

// The rule against histories at random, checked by what was sent alone: from
// half a second after a refusal to the end of its time nothing is sent, and
// before a server has taken a request never two at a time.
TEST_CASE("random histories break no promise to a busy server") {
  std::mt19937_64 random(20261204);
  auto below = [&](int n) {
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
    std::map<std::string, TimePoint> refused;
    std::map<std::string, TimePoint> until;
    std::map<std::string, int> cautious;  // Running since the time was over.
    auto take = [&](const std::vector<RequestAction>& actions, TimePoint now) {
      for (const RequestAction& action : actions) {
        const auto* sent = std::get_if<Dispatch>(&action);
        if (sent == nullptr) continue;
        auto wait = until.find(sent->group);
        if (wait != until.end()) {
          CHECK_FALSE((now > refused[sent->group] + milliseconds(500) &&
                       now < wait->second));
          if (now >= wait->second) {
            CHECK(++cautious[sent->group] <= 1);
          }
        }
        running.push_back({sent->attempt, sent->group});
      }
    };
    for (int ms = 0; ms < 6'000; ms += 20) {
      TimePoint now = At(ms);
      take(fixture.path.Handle(Tick{}, now), now);
      if (below(3) > 0) take(fixture.Arrive(now, below(2) == 0), now);
      while (!running.empty() && below(2) == 0) {
        auto at = running.begin() + below(static_cast<int>(running.size()));
        Running ended = *at;
        running.erase(at);
        std::vector<RequestAction> actions;
        if (below(8) == 0) {
          int wait = 1 + below(2'000);
          refused[ended.group] = now;
          until[ended.group] =
              std::max(until[ended.group], now + milliseconds(wait));
          cautious[ended.group] = 0;
          actions =
              fixture.End(ended.id, AttemptResult::kRefused, 503, wait, now);
        } else {
          auto wait = until.find(ended.group);
          if (wait != until.end() && now >= wait->second) until.erase(wait);
          actions =
              fixture.End(ended.id, AttemptResult::kComplete, 200, 0, now);
        }
        take(actions, now);
      }
    }
  }
}

// Guards against callers who are held, or told a wrong time, while all servers
// of their model want no requests.
TEST_CASE("callers are refused at once with the time of the first server") {
  PathFixture fixture({"a", "b"});
  auto first = FindAction<Dispatch>(fixture.Arrive(kStart));
  REQUIRE(first);
  auto second = FindAction<Dispatch>(
      fixture.End(first->attempt, AttemptResult::kRefused, 503, 4'000, kStart));
  // The retry waits for its turn.
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

// Guards against answers other than refusals that take a server away: an error
// of its own, a refusal without a time, a time with another status.
TEST_CASE("only a refusal with a time holds requests back") {
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

// Guards against a refusal to another kind of question that requests ignore.
TEST_CASE("a server that is busy for a report gets no request either") {
  PathFixture fixture({"a", "b"});
  fixture.path.Handle(ServerBusy{"a", milliseconds(5'000)}, kStart);
  for (int i = 0; i < 6; ++i) {
    auto sent = FindAction<Dispatch>(fixture.Arrive(At(100)));
    REQUIRE(sent);
    CHECK(sent->group == "chat/b");
  }
}

}  // namespace clementine
