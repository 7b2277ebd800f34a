#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "core/claim_ledger.h"
#include "core/core.h"
#include "core/quarantine.h"
#include "fmt/format.h"

namespace clementine {
namespace {

struct Fixture {
  explicit Fixture(int groups = 2, RequestPathOptions options = {})
      : path(WithNode(std::move(options))) {
    auto configuration = std::make_shared<Configuration>();
    configuration->organisations["ash"] = {"ash", 1.0, 1000, 1000};
    configuration->models["chat"] = {};
    configuration->services["orders"] = {};
    configuration->routes["/v1/orders"] = {};
    configuration->routes["/v1/orders"].path = "/v1/orders";
    configuration->routes["/v1/orders"].key_required = true;
    Feed(ConfigurationChanged{1, configuration});
    for (int i = 0; i < groups; ++i) {
      GroupView view;
      view.group = "g/" + std::to_string(i);
      view.model = "chat";
      view.epoch = 1;
      view.open = true;
      view.head_host = HostOf(view.group);
      views.push_back(view);
      view.group = "orders/" + std::to_string(i);
      view.head_host = HostOf(view.group);
      view.model = "";
      view.service = "orders";
      views.push_back(view);
    }
    Feed(GroupsChanged{views});
  }

  static RequestPathOptions WithNode(RequestPathOptions options) {
    options.node = "n1";
    return options;
  }

  Request MakeRequest(const std::string& content = "c") {
    Request request;
    request.id = ++last_id;
    request.organisation = "ash";
    request.model = "chat";
    request.content_digest = content;
    request.deadline = now + milliseconds(30'000);
    return request;
  }

  Request MakeOrder(const std::string& key) {
    Request request = MakeRequest();
    request.model = "";
    request.service = "orders";
    request.idempotent = false;
    request.idempotency_key = key;
    return request;
  }

  static std::string HostOf(const std::string& group) {
    return group + "-host";
  }

  void Feed(const RequestEvent& event) { actions = path.Handle(event, now); }

  void AdvanceTime(milliseconds time) {
    now += time;
    Feed(Tick{});
  }

  template <typename T>
  std::vector<T> ActionsOfType() const {
    std::vector<T> found;
    for (const RequestAction& action : actions) {
      if (std::holds_alternative<T>(action)) {
        found.push_back(std::get<T>(action));
      }
    }
    return found;
  }

  template <typename T>
  T SingleAction() const {
    std::vector<T> found = ActionsOfType<T>();
    REQUIRE(found.size() == 1);
    return found[0];
  }

  Dispatch SendRequest(const Request& request) {
    Feed(RequestArrived{request});
    return SingleAction<Dispatch>();
  }

  void EndAttempt(AttemptId attempt, AttemptResult result,
                  std::uint64_t offset = 0, int status = 0) {
    AttemptEnded end;
    end.attempt = attempt;
    end.result = result;
    end.offset = offset;
    end.status = status;
    Feed(end);
  }

  TimePoint now = TimePoint() + std::chrono::hours(1);
  RequestPath path;
  std::vector<GroupView> views;
  std::vector<RequestAction> actions;
  RequestId last_id = 0;
};

// Guards against a request that gets no final answer, or more than one.
TEST_CASE("a complete attempt finishes its request exactly once") {
  Fixture f;
  Dispatch dispatch = f.SendRequest(f.MakeRequest());
  CHECK(f.ActionsOfType<LogDecision>().size() == 1);
  f.EndAttempt(dispatch.attempt, AttemptResult::kComplete, 5, 200);
  CHECK(f.SingleAction<Finish>().attempt == dispatch.attempt);
  f.EndAttempt(dispatch.attempt, AttemptResult::kComplete, 5, 200);
  CHECK(f.actions.empty());
  CHECK(f.path.stats().completed == 1);
  CHECK(f.path.stats().in_flight == 0);
}

// Guards against new attempts in an evacuated data centre: retries, resumed
// streams, queued and new requests. Running attempts go on.
TEST_CASE("evacuated groups get no attempt and keep those they run") {
  Fixture f;
  Dispatch running = f.SendRequest(f.MakeRequest());
  Dispatch broken = f.SendRequest(f.MakeRequest());
  for (int i = 0; i < 14; ++i) f.SendRequest(f.MakeRequest());
  f.Feed(RequestArrived{f.MakeRequest()});
  REQUIRE(f.path.stats().queued == 1);
  std::vector<GroupView> views = f.views;
  for (GroupView& view : views) view.evacuated = true;
  f.Feed(GroupsChanged{views});
  // The queued request is refused at once.
  CHECK(f.ActionsOfType<CancelAttempt>().empty());
  CHECK(f.SingleAction<Refuse>().outcome == Outcome::kNotRun);
  CHECK(f.SingleAction<Refuse>().status == 503);
  CHECK(f.SingleAction<Refuse>().retry_after > milliseconds(0));
  f.Feed(RequestArrived{f.MakeRequest()});
  CHECK(f.SingleAction<Refuse>().reason == RefusalReason::kNoGroup);
  CHECK(f.SingleAction<Refuse>().outcome == Outcome::kNotRun);
  f.EndAttempt(broken.attempt, AttemptResult::kBroken, 9);
  for (int i = 0; i < 20; ++i) {
    CHECK(f.ActionsOfType<Dispatch>().empty());
    f.AdvanceTime(milliseconds(100));
  }
  f.EndAttempt(running.attempt, AttemptResult::kComplete, 5, 200);
  CHECK(f.SingleAction<Finish>().attempt == running.attempt);
  f.Feed(GroupsChanged{f.views});
  CHECK(f.SendRequest(f.MakeRequest()).attempt > running.attempt);
}

// Guards against a suspect that starts on its reserved group after the data
// centre was left.
TEST_CASE("a group that is reserved for a suspect is released on evacuation") {
  Fixture f;
  Dispatch suspect = f.SendRequest(f.MakeRequest("bad"));
  f.EndAttempt(suspect.attempt, AttemptResult::kCrashed);
  std::vector<GroupView> views = f.views;
  for (GroupView& view : views) view.evacuated = true;
  f.Feed(GroupsChanged{views});
  for (int i = 0; i < 20; ++i) {
    CHECK(f.ActionsOfType<Dispatch>().empty());
    f.AdvanceTime(milliseconds(100));
  }
  CHECK(f.path.stats().in_flight == 0);
}

// Guards against a request that a cold group cannot take yet and that is
// refused although a token comes in time, waits too long, or is retried without
// pause.
TEST_CASE("a request waits for a cold group's token or is refused at once") {
  Fixture f(1);
  std::vector<GroupView> views = f.views;
  for (GroupView& view : views) {
    view.cold_rate = 2.0;
    view.cold_until = f.now + milliseconds(60'000);
  }
  f.Feed(GroupsChanged{views});
  Request patient = f.MakeRequest();
  patient.target = milliseconds(1'000);
  f.Feed(RequestArrived{patient});
  CHECK(f.ActionsOfType<Dispatch>().empty());
  int waited = 0;
  while (f.ActionsOfType<Dispatch>().empty() && waited < 100) {
    CHECK(f.ActionsOfType<Refuse>().empty());
    f.AdvanceTime(milliseconds(50));
    ++waited;
  }
  CHECK(waited == 10);
  CHECK(f.path.stats().cold_waits == 1);
  f.EndAttempt(f.SingleAction<Dispatch>().attempt, AttemptResult::kComplete, 5,
               200);
  Request urgent = f.MakeRequest();
  urgent.target = milliseconds(250);
  f.Feed(RequestArrived{urgent});
  CHECK(f.SingleAction<Refuse>().reason == RefusalReason::kNoGroup);
  CHECK(f.SingleAction<Refuse>().outcome == Outcome::kNotRun);
}

// Guards against a stream that is cut off because its target has passed while
// only a cold group could resume it.
TEST_CASE("an interrupted stream waits for a cold group's token") {
  Fixture f;
  Request request = f.MakeRequest();
  request.target = milliseconds(50);
  Dispatch first = f.SendRequest(request);
  f.Feed(AttemptProgress{first.attempt, 7});
  std::vector<GroupView> views = f.views;
  for (GroupView& view : views) {
    view.cold_rate = 2.0;
    view.cold_until = f.now + milliseconds(60'000);
  }
  f.Feed(GroupsChanged{views});
  f.EndAttempt(first.attempt, AttemptResult::kBroken, 9);
  for (int i = 0; i < 20 && f.ActionsOfType<Dispatch>().empty(); ++i) {
    CHECK(f.ActionsOfType<Refuse>().empty());
    f.AdvanceTime(milliseconds(50));
  }
  CHECK(f.SingleAction<Dispatch>().resume_offset == 9);
}

// Guards against refusals with a wrong reason or outcome.
TEST_CASE("requests that can't be served are refused as not-run") {
  Fixture f;
  std::vector<std::pair<RefusalReason, Request>> cases;
  cases.emplace_back(RefusalReason::kUnknownOrganisation, f.MakeRequest());
  cases.back().second.organisation = "nobody";
  cases.emplace_back(RefusalReason::kUnknownModel, f.MakeRequest());
  cases.back().second.model = "absent";
  cases.emplace_back(RefusalReason::kNoGroup, f.MakeRequest());
  cases.back().second.adapter = "absent";
  cases.emplace_back(RefusalReason::kDeadline, f.MakeRequest());
  cases.back().second.deadline = f.now;
  cases.emplace_back(RefusalReason::kKeyRequired, f.MakeOrder(""));
  cases.back().second.path = "/v1/orders/7";
  for (const auto& [reason, request] : cases) {
    f.Feed(RequestArrived{request});
    CHECK(f.SingleAction<Refuse>().reason == reason);
    CHECK(f.SingleAction<Refuse>().outcome == Outcome::kNotRun);
    CHECK(f.SingleAction<Refuse>().retry_after >= milliseconds(1000));
    CHECK(f.SingleAction<LogDecision>().event == "refuse");
  }
}

// Guards against tokens that are sent twice after an interruption.
TEST_CASE("an interrupted stream resumes on another group at its offset") {
  Fixture f;
  Dispatch first = f.SendRequest(f.MakeRequest());
  f.Feed(AttemptProgress{first.attempt, 7});
  f.EndAttempt(first.attempt, AttemptResult::kBroken, 9);
  CHECK(f.ActionsOfType<Dispatch>().empty());
  f.AdvanceTime(milliseconds(100));
  CHECK(f.SingleAction<Dispatch>().resume_offset == 9);
  CHECK(f.SingleAction<Dispatch>().group != first.group);
}

// Guards against a retry of a non-idempotent request that may have run, and
// against a refusal when it certainly didn't run.
TEST_CASE("without a key only attempts that provably didn't run are retried") {
  Fixture f;
  Dispatch first = f.SendRequest(f.MakeOrder(""));
  f.EndAttempt(first.attempt, AttemptResult::kRefused);
  f.AdvanceTime(milliseconds(100));
  Dispatch second = f.SingleAction<Dispatch>();
  CHECK(second.group != first.group);
  f.EndAttempt(second.attempt, AttemptResult::kBroken);
  CHECK(f.SingleAction<Refuse>().reason == RefusalReason::kOutcomeUnknown);
  CHECK(f.SingleAction<Refuse>().outcome == Outcome::kUnknown);
}

// Guards against a Retry-After of one server that delays the retry on another.
TEST_CASE("retry-after of a backend server doesn't delay other groups") {
  Fixture f;
  AttemptEnded busy;
  busy.attempt = f.SendRequest(f.MakeRequest()).attempt;
  busy.result = AttemptResult::kRefused;
  busy.retry_after = milliseconds(5000);
  f.Feed(busy);
  f.AdvanceTime(milliseconds(100));
  CHECK(f.ActionsOfType<Dispatch>().size() == 1);
}

// Guards against a retry after the deadline, and against the outcome "not-run"
// for a request of which an earlier attempt may have run.
TEST_CASE("no retry past the deadline, and the outcome covers all attempts") {
  Fixture f(3);
  Request request = f.MakeRequest();
  request.deadline = f.now + milliseconds(100);
  Dispatch first = f.SendRequest(request);
  f.EndAttempt(first.attempt, AttemptResult::kTimedOut);
  f.AdvanceTime(milliseconds(50));
  Dispatch second = f.SingleAction<Dispatch>();
  f.now += milliseconds(45);
  f.EndAttempt(second.attempt, AttemptResult::kNotSent);
  CHECK(f.SingleAction<Refuse>().reason == RefusalReason::kDeadline);
  CHECK(f.SingleAction<Refuse>().outcome == Outcome::kUnknown);
}

// Guards against replacing an error answer by a less specific refusal.
TEST_CASE("the error answer of a backend server is forwarded") {
  Fixture f;
  Dispatch bad = f.SendRequest(f.MakeRequest());
  f.EndAttempt(bad.attempt, AttemptResult::kError, 0, 400);
  CHECK(f.SingleAction<Finish>().attempt == bad.attempt);
  Dispatch order = f.SendRequest(f.MakeOrder(""));
  f.EndAttempt(order.attempt, AttemptResult::kError, 0, 500);
  CHECK(f.SingleAction<Finish>().attempt == order.attempt);
}

// Guards against a retry storm when a fabric domain fails: all attempts on half
// of the groups fail, either before or after bytes were sent.
TEST_CASE("retries add at most 10 % dispatches when a fabric domain fails") {
  for (AttemptResult failure :
       {AttemptResult::kNotSent, AttemptResult::kBroken}) {
    Fixture f(8);
    std::uint64_t first_attempts = 0;
    for (int i = 0; i < 600; ++i) {
      f.Feed(RequestArrived{f.MakeRequest(std::to_string(i))});
      std::vector<Dispatch> dispatches = f.ActionsOfType<Dispatch>();
      first_attempts += f.ActionsOfType<Dispatch>().size();
      for (int round = 0; round < 20; ++round) {
        for (const Dispatch& dispatch : dispatches) {
          bool failed = dispatch.group < "g/4";
          f.EndAttempt(dispatch.attempt,
                       failed ? failure : AttemptResult::kComplete, 0, 200);
        }
        f.AdvanceTime(milliseconds(5));
        dispatches = f.ActionsOfType<Dispatch>();
      }
    }
    CHECK(first_attempts == 600);
    CHECK(f.path.stats().dispatched <= 660);
    CHECK(f.path.stats().dispatched > 630);
  }
}

// Guards against attempts that occupy engines after their caller has left.
TEST_CASE("a caller that leaves gets no answer and its attempt is cancelled") {
  Fixture f;
  Request request = f.MakeRequest();
  Dispatch dispatch = f.SendRequest(request);
  f.Feed(CallerLeft{request.id});
  CHECK(f.SingleAction<CancelAttempt>().attempt == dispatch.attempt);
  f.EndAttempt(dispatch.attempt, AttemptResult::kComplete, 3, 200);
  CHECK(f.actions.empty());
  CHECK(f.path.stats().in_flight == 0);
}

// Guards against a drain that interrupts running requests or admits new ones.
TEST_CASE("drain refuses new requests and finishes running ones") {
  Fixture f;
  Dispatch dispatch = f.SendRequest(f.MakeRequest());
  f.Feed(DrainStarted{});
  f.Feed(RequestArrived{f.MakeRequest()});
  CHECK(f.SingleAction<Refuse>().reason == RefusalReason::kDraining);
  f.EndAttempt(dispatch.attempt, AttemptResult::kComplete, 3, 200);
  CHECK(f.ActionsOfType<Finish>().size() == 1);
}

// Guards against a dispatch before the claim is stored, and against a claim
// that isn't released although the request didn't run.
TEST_CASE("a keyed order runs under its claim and releases it when not run") {
  Fixture f(1);
  f.Feed(RequestArrived{f.MakeOrder("k")});
  CHECK(f.ActionsOfType<Dispatch>().empty());
  PutObject put = f.SingleAction<PutObject>();
  CHECK(put.if_version == 0);
  f.Feed(ObjectReply{put.call, ObjectStatus::kOk, 5, ""});
  Dispatch dispatch = f.SingleAction<Dispatch>();
  f.EndAttempt(dispatch.attempt, AttemptResult::kNotSent);
  CHECK(f.SingleAction<Refuse>().outcome == Outcome::kNotRun);
  PutObject release = f.SingleAction<PutObject>();
  CHECK(release.if_version == 5);
  CHECK(DecodeClaim(release.value)->state == ClaimState::kReleased);
}

// Guards against a resent order that is refused as not-run although its first
// call has run, because the group closed after the first call. The claim must
// be read first, whether the group is closed, removed, or closes while the
// resent order is queued.
TEST_CASE("a resent order gets its recorded outcome while no group is open") {
  ClaimRecord unknown;
  unknown.id = "other/1/1-0";
  unknown.content = "c";
  unknown.state = ClaimState::kUnknown;
  ClaimRecord done = unknown;
  done.state = ClaimState::kDone;
  done.status = 201;
  for (std::string closing : {"closed", "gone", "while queued"}) {
    CAPTURE(closing);
    Fixture f(1);
    f.actions.clear();
    std::vector<GroupView> closed;
    if (closing == "closed") {
      closed = f.views;
      for (GroupView& view : closed) view.open = false;
    }
    if (closing != "while queued") f.Feed(GroupsChanged{closed});
    std::vector<CallId> calls;
    auto collect = [&] {
      CHECK(f.ActionsOfType<Refuse>().empty());
      for (const PutObject& put : f.ActionsOfType<PutObject>()) {
        calls.push_back(put.call);
      }
    };
    if (closing == "while queued") {
      std::size_t running = 0;
      while (f.path.stats().queued < 2) {
        f.Feed(RequestArrived{f.MakeOrder(fmt::format("k{}", ++running))});
      }
      f.Feed(GroupsChanged{closed});
      collect();
    } else {
      for (std::string key : {"a", "b"}) {
        f.Feed(RequestArrived{f.MakeOrder(key)});
        collect();
      }
    }
    REQUIRE(calls.size() == 2);
    f.Feed(ObjectReply{calls[0], ObjectStatus::kConflict, 3,
                       EncodeClaim(unknown)});
    CHECK(f.SingleAction<Refuse>().outcome == Outcome::kUnknown);
    f.Feed(
        ObjectReply{calls[1], ObjectStatus::kConflict, 3, EncodeClaim(done)});
    CHECK(f.SingleAction<Replay>().status == 201);
    CHECK(f.path.stats().queued == 0);
  }
}

// Guards against a claim that isn't released although no group could run the
// order.
TEST_CASE("an order without an open group is refused and releases its claim") {
  Fixture f(1);
  f.Feed(GroupsChanged{});
  f.Feed(RequestArrived{f.MakeOrder("k")});
  f.Feed(
      ObjectReply{f.SingleAction<PutObject>().call, ObjectStatus::kOk, 5, ""});
  CHECK(f.SingleAction<Refuse>().reason == RefusalReason::kNoGroup);
  CHECK(f.SingleAction<Refuse>().outcome == Outcome::kNotRun);
  CHECK(DecodeClaim(f.SingleAction<PutObject>().value)->state ==
        ClaimState::kReleased);
  CHECK(f.path.stats().in_flight == 0);
}

// Guards against losing the outcome of an order whose caller has left.
TEST_CASE("a claimed order continues when its caller leaves") {
  Fixture f;
  Request order = f.MakeOrder("k");
  f.Feed(RequestArrived{order});
  f.Feed(
      ObjectReply{f.SingleAction<PutObject>().call, ObjectStatus::kOk, 5, ""});
  Dispatch dispatch = f.SingleAction<Dispatch>();
  f.Feed(CallerLeft{order.id});
  CHECK(f.ActionsOfType<CancelAttempt>().empty());
  f.EndAttempt(dispatch.attempt, AttemptResult::kComplete, 0, 201);
  CHECK(f.ActionsOfType<Finish>().empty());
  CHECK(DecodeClaim(f.SingleAction<PutObject>().value)->status == 201);
}

// Guards against a request that crashes one replica after another, and against
// quarantining requests that were only in flight at the same crash.
TEST_CASE("a request that causes crashes is isolated, then quarantined") {
  Fixture f(4);
  Dispatch bad = f.SendRequest(f.MakeRequest("bad"));
  // The first three requests fill the idle groups.
  std::vector<Dispatch> sent;
  for (int i = 0; i < 4; ++i) {
    sent.push_back(f.SendRequest(f.MakeRequest("good" + std::to_string(i))));
  }
  Dispatch good = sent[3];
  for (const Dispatch& dispatch : sent) {
    if (dispatch.group == bad.group) {
      good = dispatch;
    } else {
      f.EndAttempt(dispatch.attempt, AttemptResult::kComplete, 1, 200);
    }
  }
  REQUIRE(good.group == bad.group);
  f.EndAttempt(bad.attempt, AttemptResult::kCrashed);
  CHECK(f.ActionsOfType<ShareQuarantine>().size() == 1);
  f.EndAttempt(good.attempt, AttemptResult::kCrashed);
  std::map<RequestId, Dispatch> again;
  for (int i = 0; i < 100 && again.size() < 2; ++i) {
    f.AdvanceTime(milliseconds(20));
    for (const Dispatch& dispatch : f.ActionsOfType<Dispatch>()) {
      again[dispatch.request] = dispatch;
      if (dispatch.request == good.request) {
        f.EndAttempt(dispatch.attempt, AttemptResult::kComplete, 1, 200);
        break;
      }
      // No other request is dispatched to the suspect's group.
      for (int n = 0; n < 20; ++n) {
        Dispatch other = f.SendRequest(f.MakeRequest("other"));
        CHECK(other.group != dispatch.group);
        f.EndAttempt(other.attempt, AttemptResult::kComplete, 1, 200);
      }
      f.EndAttempt(dispatch.attempt, AttemptResult::kCrashed);
      CHECK(f.SingleAction<Refuse>().reason == RefusalReason::kQuarantined);
      CHECK(f.SingleAction<Refuse>().outcome == Outcome::kUnknown);
      // The next suspect is dispatched.
      good = f.SingleAction<Dispatch>();
      again[good.request] = good;
      f.EndAttempt(good.attempt, AttemptResult::kComplete, 1, 200);
      CHECK(f.ActionsOfType<Finish>().size() == 1);
    }
  }
  CHECK(again.size() == 2);
  f.Feed(RequestArrived{f.MakeRequest("bad")});
  CHECK(f.SingleAction<Refuse>().reason == RefusalReason::kQuarantined);
  CHECK(f.SingleAction<Refuse>().outcome == Outcome::kNotRun);
  CHECK(f.path.stats().quarantined == 1);
}

// Guards against crash marks that accumulate on a request that completes
// between crashes: after three crashes that it didn't cause, all daemons would
// refuse it.
TEST_CASE("a request that completes is acquitted of its crash marks") {
  RequestPathOptions options;
  options.isolate_suspects = false;
  options.crashes_to_quarantine = 3;
  options.retry_ratio = 1.0;
  Fixture f(8, options);
  for (int i = 0; i < 10; ++i) {
    Dispatch lost = f.SendRequest(f.MakeRequest("same"));
    f.EndAttempt(lost.attempt, AttemptResult::kCrashed);
    CHECK(f.ActionsOfType<ShareQuarantine>().size() == 1);
    for (int n = 0; n < 50 && f.ActionsOfType<Dispatch>().empty(); ++n) {
      f.AdvanceTime(milliseconds(20));
    }
    Dispatch again = f.SingleAction<Dispatch>();
    f.EndAttempt(again.attempt, AttemptResult::kComplete, 1, 200);
    CHECK(f.ActionsOfType<Finish>().size() == 1);
    CHECK(f.ActionsOfType<ShareQuarantine>().size() == 1);
    CHECK(IsAcquittal(f.SingleAction<ShareQuarantine>().digest));
    f.AdvanceTime(milliseconds(11'000));
  }
  CHECK(f.path.stats().quarantined == 0);
}

// Guards against crashes that aren't counted: the server has restarted before
// its address is tried, it stops responding, or the attempt was cancelled or is
// still running when the server's next incarnation is listed.
TEST_CASE("a server's end marks all requests that may have been in flight") {
  RequestPathOptions options;
  options.isolate_suspects = false;
  options.crashes_to_quarantine = 3;
  for (int ending = 0; ending < 4; ++ending) {
    CAPTURE(ending);
    Fixture f(1, options);
    Request request = f.MakeRequest("culprit");
    request.idempotent = false;
    Dispatch sent = f.SendRequest(request);
    if (ending == 0) f.EndAttempt(sent.attempt, AttemptResult::kBroken);
    if (ending == 1) f.EndAttempt(sent.attempt, AttemptResult::kTimedOut);
    if (ending == 2) f.Feed(CallerLeft{sent.request});
    f.Feed(ServerEnded{f.HostOf(sent.group)});
    REQUIRE(f.ActionsOfType<ShareQuarantine>().size() == 1);
    CHECK_FALSE(IsAcquittal(f.SingleAction<ShareQuarantine>().digest));
    // A repeated event doesn't add another crash mark.
    f.Feed(ServerEnded{f.HostOf(sent.group)});
    CHECK(f.ActionsOfType<ShareQuarantine>().empty());
  }
}

// Guards against crash marks on requests that had completed on the server, or
// whose attempts ended long before the server did.
TEST_CASE("a server's end marks neither completed nor long-ended requests") {
  RequestPathOptions options;
  options.isolate_suspects = false;
  Fixture f(1, options);
  Dispatch served = f.SendRequest(f.MakeRequest("served"));
  f.EndAttempt(served.attempt, AttemptResult::kComplete, 1, 200);
  Request request = f.MakeRequest("old");
  request.idempotent = false;
  Dispatch old = f.SendRequest(request);
  f.EndAttempt(old.attempt, AttemptResult::kBroken);
  f.AdvanceTime(milliseconds(11'000));
  f.Feed(ServerEnded{f.HostOf(old.group)});
  CHECK(f.ActionsOfType<ShareQuarantine>().empty());
}

// Guards against blaming a part of a request whose answer had begun, and
// against a part that is never blamed (BUDGET, LOST).
TEST_CASE("a crash marks the shared parts of requests without an answer") {
  RequestPathOptions options;
  options.crashes_to_quarantine = 3;
  options.isolate_suspects = false;
  options.max_attempts = 1;
  Fixture f(8, options);
  auto with_parts = [&f](std::vector<std::string> parts) {
    Request request = f.MakeRequest(std::to_string(f.last_id));
    request.shared_parts = std::move(parts);
    return request;
  };
  for (int i = 0; i < 3; ++i) {
    // The answer to this request has begun and goes on.
    Dispatch sound = f.SendRequest(with_parts({"common"}));
    f.Feed(AttemptProgress{sound.attempt, 1});
    f.AdvanceTime(milliseconds(200));
    f.Feed(AttemptProgress{sound.attempt, 2});
    f.EndAttempt(sound.attempt, AttemptResult::kCrashed, 2);
    CHECK(f.ActionsOfType<ShareQuarantine>().size() == 1);
    Dispatch bad = f.SendRequest(with_parts({"common", "deadly"}));
    f.EndAttempt(bad.attempt, AttemptResult::kCrashed);
    // Its digest and the deadly part.
    CHECK(f.ActionsOfType<ShareQuarantine>().size() == 2);
  }
  f.Feed(RequestArrived{with_parts({"other", "deadly"})});
  CHECK(f.SingleAction<Refuse>().reason == RefusalReason::kQuarantined);
  CHECK(f.SingleAction<Refuse>().outcome == Outcome::kNotRun);
  f.SendRequest(with_parts({"common"}));
  // Another model's servers may run the part.
  Request other = with_parts({"deadly"});
  other.model = "";
  other.service = "orders";
  f.SendRequest(other);
}

// Guards against requests that wait at a server with a part that has been
// blamed since they were sent, and end it too (BUDGET).
TEST_CASE("attempts with a blamed part are ended before their answer begins") {
  RequestPathOptions options;
  options.crashes_to_quarantine = 3;
  options.isolate_suspects = false;
  Fixture f(8, options);
  Request waiting = f.MakeRequest("waiting");
  waiting.shared_parts = {"deadly"};
  Dispatch sent = f.SendRequest(waiting);
  std::string key = KeyOfPart(Quarantine::Keys(waiting).parts->front());
  for (int i = 0; i < 3; ++i) {
    f.Feed(QuarantineLearned{fmt::format("{}/g/{}@7#1", key, i),
                             milliseconds(600'000)});
  }
  CHECK(f.SingleAction<CancelAttempt>().attempt == sent.attempt);
  CHECK(f.SingleAction<Refuse>().reason == RefusalReason::kQuarantined);
}

// Guards against requests that wait although no group is left.
TEST_CASE("queued requests are refused when the last group closes") {
  Fixture f(1);
  std::size_t queued = 0;
  for (int i = 0; i < 20; ++i) {
    f.Feed(RequestArrived{f.MakeRequest(std::to_string(i))});
    queued += f.ActionsOfType<Dispatch>().empty() ? 1 : 0;
  }
  CHECK(queued == 12);
  CHECK(f.path.stats().queued == 12);
  f.Feed(GroupsChanged{});
  CHECK(f.ActionsOfType<Refuse>().size() == 12);
  CHECK(f.path.stats().queued == 0);
}

// Guards against queueing in the baseline without admission control.
TEST_CASE("without admission every request is dispatched immediately") {
  RequestPathOptions options;
  options.admission = false;
  Fixture f(1, options);
  for (int i = 0; i < 100; ++i) {
    f.SendRequest(f.MakeRequest(std::to_string(i)));
  }
  CHECK(f.path.stats().in_flight == 100);
}

// Guards against a limit that doesn't hear the answers: a pool whose requests
// have targets must use more than the rounded-down share while answers are in
// time, and less as soon as they are late. Whole answers count as well.
TEST_CASE("first events of requests with targets steer the limit") {
  Fixture f;
  f.Feed(DaemonsChanged{4, 0.0});
  auto run = [&](milliseconds first_event, bool stream = true) {
    Request request = f.MakeRequest();
    (stream ? request.target : request.answer_target) = milliseconds(250);
    AttemptId attempt = f.SendRequest(request).attempt;
    f.now += first_event;
    if (stream) f.Feed(AttemptProgress{attempt, 1});
    AttemptEnded end;
    end.attempt = attempt;
    end.result = AttemptResult::kComplete;
    f.Feed(end);
  };
  CHECK(f.path.stats().limits.empty());
  for (int i = 0; i < 20; ++i) run(milliseconds(100));
  REQUIRE(f.path.stats().limits.size() == 1);
  f.Feed(Tick{});
  CHECK(f.SingleAction<LogDecision>().event == "capacity_limit");
  PoolLimitStats in_time = f.path.stats().limits[0];
  CHECK(in_time.limit > in_time.fair_share);
  CHECK(in_time.margin > 2.0);
  for (int i = 0; i < 5; ++i) run(milliseconds(300));
  CHECK(f.path.stats().limits[0].margin == 0.0);
  CHECK(f.path.stats().limits[0].late == 5);
  for (int i = 0; i < 20; ++i) run(milliseconds(100), /*stream=*/false);
  CHECK(f.path.stats().limits[0].margin > 1.0);
}

}  // namespace
// Guards against requests that a planned stop leaves without an answer: one
// that runs, and one that waits because a server has turned it away (LOST).
TEST_CASE("requests that a stop can't finish are refused by what is known") {
  Fixture f;
  Dispatch rejected = f.SendRequest(f.MakeRequest("rejected"));
  f.EndAttempt(rejected.attempt, AttemptResult::kRefused);
  REQUIRE(f.ActionsOfType<Refuse>().empty());
  Dispatch running = f.SendRequest(f.MakeRequest("running"));
  f.Feed(RequestsStopped{});
  CHECK(f.SingleAction<CancelAttempt>().attempt == running.attempt);
  std::vector<Refuse> refused = f.ActionsOfType<Refuse>();
  REQUIRE(refused.size() == 2);
  CHECK(refused[0].request == rejected.request);
  CHECK(refused[0].outcome == Outcome::kNotRun);
  CHECK(refused[1].request == running.request);
  CHECK(refused[1].outcome == Outcome::kUnknown);
  CHECK(refused[0].reason == RefusalReason::kDraining);
  f.AdvanceTime(milliseconds(60'000));
  CHECK(f.actions.empty());
}

}  // namespace clementine
