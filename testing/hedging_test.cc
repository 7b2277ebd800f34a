// Hedged requests: the decision, and the request path with a measured pool.

#include "core/hedging.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "core/retry_budget.h"

namespace clementine {
namespace {

constexpr milliseconds kUsual{20};

/// A request path with ten groups in two domains, whose requests take kUsual.
struct Fixture {
  explicit Fixture(double hedge_ratio = 0.1, int groups = 10,
                   bool one_domain = false)
      : path(Options(hedge_ratio)) {
    auto configuration = std::make_shared<Configuration>();
    configuration->organisations["ash"] = {"ash", 1.0, 1000, 1000};
    configuration->models["chat"] = {};
    Feed(ConfigurationChanged{1, configuration});
    for (int i = 0; i < groups; ++i) {
      GroupView view;
      view.group = "g/" + std::to_string(i);
      view.model = "chat";
      view.epoch = 1;
      view.open = true;
      view.head_host = "h" + std::to_string(i);
      view.fabric_domain = one_domain || i % 2 == 0 ? "a" : "b";
      views.push_back(view);
    }
    Feed(GroupsChanged{views});
    for (int i = 0; i < 200; ++i) {
      Dispatch first = Send(MakeRequest());
      Advance(kUsual);
      End(first.attempt, AttemptResult::kComplete, 200);
    }
  }

  static RequestPathOptions Options(double hedge_ratio) {
    RequestPathOptions options;
    options.node = "n1";
    options.retry_ratio = 0.2;
    options.hedge_ratio = hedge_ratio;
    return options;
  }

  Request MakeRequest(RequestClass request_class = RequestClass::kPlain) {
    Request request;
    request.id = ++last_id;
    request.organisation = "ash";
    request.model = "chat";
    request.request_class = request_class;
    request.content_digest = std::to_string(last_id);
    request.deadline = now + milliseconds(30'000);
    return request;
  }

  void Feed(const RequestEvent& event) { actions = path.Handle(event, now); }
  void Advance(milliseconds time) {
    now += time;
    Feed(Tick{});
  }
  void End(AttemptId attempt, AttemptResult result, int status = 0) {
    AttemptEnded end;
    end.attempt = attempt;
    end.result = result;
    end.status = status;
    Feed(end);
  }
  template <typename T>
  std::vector<T> Actions() const {
    std::vector<T> found;
    for (const RequestAction& action : actions) {
      if (const T* value = std::get_if<T>(&action)) found.push_back(*value);
    }
    return found;
  }
  Dispatch Send(const Request& request) {
    Feed(RequestArrived{request});
    REQUIRE(Actions<Dispatch>().size() == 1);
    return Actions<Dispatch>()[0];
  }
  /// Lets a request run for long enough to be slow.
  /// @return Its hedge.
  Dispatch Hedge() {
    Advance(10 * kUsual);
    REQUIRE(Actions<Dispatch>().size() == 1);
    CHECK(Actions<Dispatch>()[0].concurrent);
    return Actions<Dispatch>()[0];
  }
  bool HasHedge() {
    Advance(10 * kUsual);
    return !Actions<Dispatch>().empty();
  }
  const GroupView& View(const std::string& group) const {
    return *std::find_if(
        views.begin(), views.end(),
        [&](const GroupView& view) { return view.group == group; });
  }
  std::uint64_t Denied(HedgeDenial denial) const {
    return path.stats().hedges_denied[static_cast<std::size_t>(denial)];
  }
  std::vector<AttemptId> Cancelled() const {
    std::vector<AttemptId> ids;
    for (const CancelAttempt& cancel : Actions<CancelAttempt>()) {
      ids.push_back(cancel.attempt);
    }
    return ids;
  }

  TimePoint now = TimePoint() + std::chrono::hours(1);
  RequestPath path;
  std::vector<GroupView> views;
  std::vector<RequestAction> actions;
  RequestId last_id = 0;
};

}  // namespace

// Load: one slow server of ten. Guards against a hedge to the same host or
// domain, and against a loser that keeps its slot or its server's work.
TEST_CASE("hedge of a request at a slow server wins and cancels the first") {
  Fixture f;
  Request request = f.MakeRequest();
  Dispatch first = f.Send(request);
  Dispatch hedge = f.Hedge();
  CHECK(hedge.request == request.id);
  CHECK(f.View(hedge.group).head_host != f.View(first.group).head_host);
  CHECK(f.View(hedge.group).fabric_domain != f.View(first.group).fabric_domain);
  f.End(hedge.attempt, AttemptResult::kComplete, 200);
  CHECK(f.Cancelled() == std::vector<AttemptId>{first.attempt});
  REQUIRE(f.Actions<Finish>().size() == 1);
  CHECK(f.Actions<Finish>()[0].attempt == hedge.attempt);
  RequestPathStats stats = f.path.stats();
  CHECK(stats.hedged == 1);
  CHECK(stats.hedges_won == 1);
  CHECK(stats.hedges_cancelled == 1);
  CHECK(stats.retried == 0);
  CHECK(stats.crash_marks == 0);
  CHECK(stats.in_flight == 0);
}

// Guards against two winners when both answers arrive in the same moment, and
// against a late event of the loser that is taken for a failure.
TEST_CASE("second of two answers and late ends of a loser are ignored") {
  Fixture f;
  Dispatch first = f.Send(f.MakeRequest());
  Dispatch hedge = f.Hedge();
  f.End(first.attempt, AttemptResult::kComplete, 200);
  CHECK(f.Cancelled() == std::vector<AttemptId>{hedge.attempt});
  CHECK(f.Actions<Finish>().size() == 1);
  for (AttemptResult late :
       {AttemptResult::kComplete, AttemptResult::kBroken}) {
    f.End(hedge.attempt, late, 200);
    CHECK(f.Actions<Finish>().empty());
    CHECK(f.Actions<Dispatch>().empty());
  }
  CHECK(f.path.stats().hedges_won == 0);
  CHECK(f.path.stats().crash_marks == 0);
}

// Guards against a loser whose later crash nobody is blamed for.
TEST_CASE("crash of a cancelled hedge's server marks the request") {
  Fixture f;
  Dispatch first = f.Send(f.MakeRequest());
  Dispatch hedge = f.Hedge();
  SUBCASE("reported by the attempt") {
    f.Feed(AttemptProgress{first.attempt, 1});
    f.End(hedge.attempt, AttemptResult::kCrashed);
  }
  SUBCASE("seen while both run") {
    f.Feed(ServerEnded{f.View(hedge.group).head_host});
  }
  CHECK(f.path.stats().crash_marks == 1);
}

// Guards against a stream of two servers' events: once one has sent an event,
// the other must not go on.
TEST_CASE("first event of a stream decides between its attempts") {
  Fixture f;
  for (int i = 0; i < 30; ++i) {
    Dispatch usual = f.Send(f.MakeRequest(RequestClass::kStream));
    f.Advance(kUsual);
    f.Feed(AttemptProgress{usual.attempt, 1});
    f.End(usual.attempt, AttemptResult::kComplete, 200);
  }
  Dispatch first = f.Send(f.MakeRequest(RequestClass::kStream));
  Dispatch hedge = f.Hedge();
  AttemptId winner = first.attempt;
  AttemptId loser = hedge.attempt;
  SUBCASE("first") {}
  SUBCASE("hedge") { std::swap(winner, loser); }
  f.Feed(AttemptProgress{winner, 1});
  CHECK(f.Cancelled() == std::vector<AttemptId>{loser});
  f.Feed(AttemptProgress{loser, 2});
  CHECK(f.actions.empty());
  // A stream that has begun is resumed at its offset, without another hedge.
  AttemptEnded broken{winner, AttemptResult::kBroken, 1, {}, 0, ""};
  f.Feed(broken);
  f.Advance(milliseconds(100));
  REQUIRE(f.Actions<Dispatch>().size() == 1);
  CHECK(f.Actions<Dispatch>()[0].resume_offset == 1);
  CHECK(!f.Actions<Dispatch>()[0].concurrent);
  CHECK(!f.HasHedge());
}

// Guards against a failure or an error answer that beats a running attempt, and
// against a retry while the other attempt runs.
TEST_CASE("request goes on with the other attempt when one fails") {
  struct Failure {
    AttemptResult result;
    int status;
  };
  const std::vector<Failure> failures = {{AttemptResult::kBroken, 0},
                                         {AttemptResult::kNotSent, 0},
                                         {AttemptResult::kCrashed, 0},
                                         {AttemptResult::kError, 500},
                                         {AttemptResult::kComplete, 404}};
  for (const Failure& failure : failures) {
    for (bool hedge_fails : {false, true}) {
      for (bool both_fail : {false, true}) {
        CAPTURE(AttemptResultName(failure.result));
        CAPTURE(hedge_fails);
        CAPTURE(both_fail);
        Fixture f;
        AttemptId failed = f.Send(f.MakeRequest()).attempt;
        AttemptId other = f.Hedge().attempt;
        if (hedge_fails) std::swap(failed, other);
        f.End(failed, failure.result, failure.status);
        for (int i = 0; i < 2; ++i) {
          CHECK(f.Actions<Dispatch>().empty());
          CHECK(f.Actions<Finish>().empty());
          CHECK(f.Actions<Refuse>().empty());
          f.Advance(milliseconds(1'000));
        }
        CHECK(f.path.stats().retried == 0);
        f.End(other,
              both_fail ? AttemptResult::kBroken : AttemptResult::kComplete,
              both_fail ? 0 : 200);
        CHECK(f.Actions<Finish>().size() == (both_fail ? 0 : 1));
        f.Advance(milliseconds(100));
        CHECK(f.Actions<Dispatch>().size() == (both_fail ? 1 : 0));
      }
    }
  }
}

// Guards against a retry for a group that stalls while the other one runs.
TEST_CASE("request goes on with the other attempt when one stalls") {
  Fixture f;
  Dispatch first = f.Send(f.MakeRequest());
  Dispatch hedge = f.Hedge();
  f.Feed(AttemptStalled{first.attempt});
  CHECK(f.Cancelled() == std::vector<AttemptId>{first.attempt});
  CHECK(f.Actions<Dispatch>().empty());
  f.End(hedge.attempt, AttemptResult::kComplete, 200);
  CHECK(f.Actions<Finish>().size() == 1);
  CHECK(f.path.stats().hedges_won == 1);
}

// Guards against attempts that run on for nobody.
TEST_CASE("both attempts are cancelled with their request") {
  Fixture f;
  Request request = f.MakeRequest();
  Dispatch first = f.Send(request);
  Dispatch hedge = f.Hedge();
  SUBCASE("caller left") { f.Feed(CallerLeft{request.id}); }
  SUBCASE("deadline") { f.Advance(milliseconds(30'000)); }
  std::vector<AttemptId> cancelled = f.Cancelled();
  CHECK(std::set<AttemptId>(cancelled.begin(), cancelled.end()) ==
        std::set<AttemptId>{first.attempt, hedge.attempt});
  CHECK(f.path.stats().in_flight == 0);
}

// Guards against work for requests that must not run twice or that may crash
// servers, and against more attempts than a request may have.
TEST_CASE("requests that may not be hedged") {
  Fixture f;
  Request request = f.MakeRequest();
  bool drains = false;
  bool crashes = false;
  SUBCASE("one attempt allowed") { request.max_attempts = 1; }
  SUBCASE("not idempotent") { request.idempotent = false; }
  SUBCASE("draining") { drains = true; }
  SUBCASE("crashed a server") { crashes = true; }
  Dispatch first = f.Send(request);
  if (crashes) f.Feed(ServerEnded{f.View(first.group).head_host});
  if (drains) f.Feed(DrainStarted{});
  CHECK(!f.HasHedge());
  CHECK(f.Denied(HedgeDenial::kDraining) == (drains ? 1 : 0));
  CHECK(f.Denied(HedgeDenial::kSuspect) == (crashes ? 1 : 0));
}

// Load: a pool in which nothing is free. Guards against hedges that add to an
// overload.
TEST_CASE("a full pool or a queue denies hedges") {
  Fixture f(0.1, 2);
  std::vector<Dispatch> running;
  for (int i = 0; i < 16; ++i) running.push_back(f.Send(f.MakeRequest()));
  CHECK(!f.HasHedge());
  CHECK(f.Denied(HedgeDenial::kFull) == 16);
  f.Feed(RequestArrived{f.MakeRequest()});
  f.Advance(40 * kUsual);
  CHECK(f.Actions<Dispatch>().empty());
  CHECK(f.Denied(HedgeDenial::kQueue) == 16);
}

// Load: all servers turn slow at once. Guards against a hedge for each request.
TEST_CASE("hedges stay within their share when all servers are slow") {
  Fixture f;
  std::uint64_t before = f.path.stats().dispatched;
  for (int i = 0; i < 300; ++i) {
    Dispatch first = f.Send(f.MakeRequest());
    f.Advance(10 * kUsual);
    f.End(first.attempt, AttemptResult::kComplete, 200);
  }
  RequestPathStats stats = f.path.stats();
  CHECK(stats.dispatched - before - 300 == stats.hedged);
  // The delay follows within a window of measurements.
  CHECK(stats.hedged >= 1);
  CHECK(stats.hedged <= 30);
}

// Guards against hedges where none are configured.
TEST_CASE("a ratio of 0 starts no hedge") {
  Fixture f(0.0);
  f.Send(f.MakeRequest());
  CHECK(!f.HasHedge());
  CHECK(f.path.stats().hedges_denied ==
        std::array<std::uint64_t, kHedgeDenials>{});
}

// Guards against hedges to groups that are no better, and against no hedge at
// all in a pool of one domain.
TEST_CASE("groups for a hedge") {
  Fixture f(0.1, 2, /*one_domain=*/true);
  SUBCASE("same domain if there is no other") {
    Dispatch first = f.Send(f.MakeRequest());
    CHECK(f.Hedge().group != first.group);
  }
  SUBCASE("none on the same host") {
    f.views[1].head_host = f.views[0].head_host;
    f.Feed(GroupsChanged{f.views});
    f.Send(f.MakeRequest());
    CHECK(!f.HasHedge());
    CHECK(f.Denied(HedgeDenial::kNoGroup) == 1);
  }
  SUBCASE("none that is cold") {
    for (GroupView& view : f.views) {
      view.cold_rate = 1.0;
      view.cold_until = f.now + milliseconds(60'000);
    }
    f.Send(f.MakeRequest());
    f.Feed(GroupsChanged{f.views});
    CHECK(!f.HasHedge());
  }
}

// Guards against hedges that use up what retries need.
TEST_CASE("hedges leave half of the budget to retries and yield to them") {
  RetryBudget budget(0.2, 0.5);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  for (int i = 0; i < 100; ++i) budget.OnFirstAttempt("ash", now);
  int hedges = 0;
  SUBCASE("hedges first") {
    while (budget.TryHedge("ash", now)) ++hedges;
    CHECK(hedges == 10);
    int retries = 0;
    while (budget.TryRetry("ash", now)) ++retries;
    CHECK(retries == 10);
  }
  SUBCASE("each retry takes a hedge") {
    for (int i = 0; i < 4; ++i) CHECK(budget.TryRetry("ash", now));
    while (budget.TryHedge("ash", now)) ++hedges;
    CHECK(hedges == 6);
  }
  SUBCASE("no ratio") { CHECK(!RetryBudget(0.2, 0.0).TryHedge("ash", now)); }
}

// Guards against a delay that doesn't follow changes, or that is derived from
// too few requests.
TEST_CASE("delay of hedges follows the measured times") {
  HedgeDelays delays(0.1);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  auto add = [&](int count, int from_ms) {
    for (int i = 0; i < count; ++i) {
      now += milliseconds(50);
      delays.AddTime(1, RequestClass::kPlain, milliseconds(from_ms + i % 100),
                     now);
    }
  };
  auto delay = [&] {
    auto found = delays.Delay(1, RequestClass::kPlain, now);
    return found ? static_cast<int>(found->count()) : 0;
  };
  add(19, 100);
  CHECK(delay() == 0);
  // Quantile about 190, median about 150. No attempt lasts for long enough for
  // a hedge at the quantile to win.
  add(181, 100);
  CHECK(delay() > 320);
  CHECK(delay() < 360);
  CHECK(!delays.Delay(1, RequestClass::kStream, now));
  add(100, 1'000);
  CHECK(delay() > 1'000);
  // Quantile about 100, median about 60.
  add(500, 10);
  CHECK(delay() > 140);
  CHECK(delay() < 180);
  now += std::chrono::seconds(301);
  CHECK(delay() == 0);
}

// Guards against hedges that wait although few requests are slow, and those
// take far longer than others.
TEST_CASE("hedges start at the quantile if slow requests take far longer") {
  HedgeDelays delays(0.1);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  for (int i = 0; i < 500; ++i) {
    now += milliseconds(10);
    int time = i % 12 == 0 ? 1'000 + i : 100 + i % 7;
    delays.AddTime(1, RequestClass::kPlain, milliseconds(time), now);
  }
  auto delay = delays.Delay(1, RequestClass::kPlain, now);
  REQUIRE(delay);
  CHECK(*delay > milliseconds(100));
  CHECK(*delay < milliseconds(200));
}

}  // namespace clementine
