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
      : path(Prepared(std::move(options))) {
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
      view.leader_host = HostOf(view.group);
      views.push_back(view);
      view.group = "orders/" + std::to_string(i);
      view.leader_host = HostOf(view.group);
      view.model = "";
      view.service = "orders";
      views.push_back(view);
    }
    Feed(GroupsChanged{views});
  }

  static RequestPathOptions Prepared(RequestPathOptions options) {
    options.node = "n1";
    return options;
  }

  Request MakeRequest(const std::string& content = "c") {
    Request request;
    request.id = ++last;
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

  void Pass(milliseconds time) {
    now += time;
    Feed(Tick{});
  }

  template <typename T>
  std::vector<T> All() const {
    std::vector<T> found;
    for (const RequestAction& action : actions) {
      if (std::holds_alternative<T>(action)) {
        found.push_back(std::get<T>(action));
      }
    }
    return found;
  }

  template <typename T>
  T One() const {
    std::vector<T> found = All<T>();
    REQUIRE(found.size() == 1);
    return found[0];
  }

  Dispatch Send(const Request& request) {
    Feed(RequestArrived{request});
    return One<Dispatch>();
  }

  void EndWith(AttemptId attempt, AttemptResult result,
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
  RequestId last = 0;
};

// Guards against a caller that hears nothing, or hears twice.
TEST_CASE("a complete attempt finishes its request once") {
  Fixture f;
  Dispatch dispatch = f.Send(f.MakeRequest());
  CHECK(f.All<LogDecision>().size() == 1);
  f.EndWith(dispatch.attempt, AttemptResult::kComplete, 5, 200);
  CHECK(f.One<Finish>().attempt == dispatch.attempt);
  f.EndWith(dispatch.attempt, AttemptResult::kComplete, 5, 200);
  CHECK(f.actions.empty());
  CHECK(f.path.stats().completed == 1);
  CHECK(f.path.stats().in_flight == 0);
}

// Guards against refusals that don't say why, or name the wrong status.
TEST_CASE("requests that can't be served are refused as not run") {
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
    CHECK(f.One<Refuse>().reason == reason);
    CHECK(f.One<Refuse>().outcome == Outcome::kNotRun);
    CHECK(f.One<Refuse>().retry_after >= milliseconds(1000));
    CHECK(f.One<LogDecision>().event == "refuse");
  }
}

// Guards against tokens sent twice after an interruption.
TEST_CASE("an interrupted stream resumes elsewhere at its offset") {
  Fixture f;
  Dispatch first = f.Send(f.MakeRequest());
  f.Feed(AttemptProgress{first.attempt, 7});
  f.EndWith(first.attempt, AttemptResult::kBroken, 9);
  CHECK(f.All<Dispatch>().empty());
  f.Pass(milliseconds(100));
  CHECK(f.One<Dispatch>().resume_offset == 9);
  CHECK(f.One<Dispatch>().group != first.group);
}

// Guards against a second run of what may have run, and against giving up on
// what certainly didn't.
TEST_CASE("without a key only provably-not-run attempts are repeated") {
  Fixture f;
  Dispatch first = f.Send(f.MakeOrder(""));
  f.EndWith(first.attempt, AttemptResult::kRefused);
  f.Pass(milliseconds(100));
  Dispatch second = f.One<Dispatch>();
  CHECK(second.group != first.group);
  f.EndWith(second.attempt, AttemptResult::kBroken);
  CHECK(f.One<Refuse>().reason == RefusalReason::kOutcomeUnknown);
  CHECK(f.One<Refuse>().outcome == Outcome::kUnknown);
}

// Guards against one busy server's advice holding back a retry on another.
TEST_CASE("retry-after of a backend server delays no other group") {
  Fixture f;
  AttemptEnded busy;
  busy.attempt = f.Send(f.MakeRequest()).attempt;
  busy.result = AttemptResult::kRefused;
  busy.retry_after = milliseconds(5000);
  f.Feed(busy);
  f.Pass(milliseconds(100));
  CHECK(f.All<Dispatch>().size() == 1);
}

// Guards against a retry after the deadline and a not-run answer for a request
// of which an earlier attempt may have run.
TEST_CASE("no retry past the deadline, and the outcome covers all attempts") {
  Fixture f(3);
  Request request = f.MakeRequest();
  request.deadline = f.now + milliseconds(100);
  Dispatch first = f.Send(request);
  f.EndWith(first.attempt, AttemptResult::kTimedOut);
  f.Pass(milliseconds(50));
  Dispatch second = f.One<Dispatch>();
  f.now += milliseconds(45);
  f.EndWith(second.attempt, AttemptResult::kNotSent);
  CHECK(f.One<Refuse>().reason == RefusalReason::kDeadline);
  CHECK(f.One<Refuse>().outcome == Outcome::kUnknown);
}

// Guards against an error answer that is replaced by a vaguer one.
TEST_CASE("the backend server's own error answer is passed on") {
  Fixture f;
  Dispatch bad = f.Send(f.MakeRequest());
  f.EndWith(bad.attempt, AttemptResult::kError, 0, 400);
  CHECK(f.One<Finish>().attempt == bad.attempt);
  Dispatch order = f.Send(f.MakeOrder(""));
  f.EndWith(order.attempt, AttemptResult::kError, 0, 500);
  CHECK(f.One<Finish>().attempt == order.attempt);
}

// Guards against a retry storm when a fabric domain fails: every attempt on
// half of the groups fails, without bytes sent or with.
TEST_CASE("amplification stays at 1.1 when a fabric domain fails") {
  for (AttemptResult failure :
       {AttemptResult::kNotSent, AttemptResult::kBroken}) {
    Fixture f(8);
    std::uint64_t firsts = 0;
    for (int i = 0; i < 600; ++i) {
      f.Feed(RequestArrived{f.MakeRequest(std::to_string(i))});
      std::vector<Dispatch> dispatches = f.All<Dispatch>();
      firsts += f.All<Dispatch>().size();
      for (int round = 0; round < 20; ++round) {
        for (const Dispatch& dispatch : dispatches) {
          bool failed = dispatch.group < "g/4";
          f.EndWith(dispatch.attempt,
                    failed ? failure : AttemptResult::kComplete, 0, 200);
        }
        f.Pass(milliseconds(5));
        dispatches = f.All<Dispatch>();
      }
    }
    CHECK(firsts == 600);
    CHECK(f.path.stats().dispatched <= 660);
    CHECK(f.path.stats().dispatched > 630);
  }
}

// Guards against attempts that keep engines busy for nobody.
TEST_CASE("a caller that leaves cancels its attempt and gets no answer") {
  Fixture f;
  Request request = f.MakeRequest();
  Dispatch dispatch = f.Send(request);
  f.Feed(CallerLeft{request.id});
  CHECK(f.One<CancelAttempt>().attempt == dispatch.attempt);
  f.EndWith(dispatch.attempt, AttemptResult::kComplete, 3, 200);
  CHECK(f.actions.empty());
  CHECK(f.path.stats().in_flight == 0);
}

// Guards against interrupting requests in flight, and against new ones.
TEST_CASE("drain refuses new requests and finishes running ones") {
  Fixture f;
  Dispatch dispatch = f.Send(f.MakeRequest());
  f.Feed(DrainStarted{});
  f.Feed(RequestArrived{f.MakeRequest()});
  CHECK(f.One<Refuse>().reason == RefusalReason::kDraining);
  f.EndWith(dispatch.attempt, AttemptResult::kComplete, 3, 200);
  CHECK(f.All<Finish>().size() == 1);
}

// Guards against dispatch before the claim is durable, and against a claim
// that outlives a request which was not run.
TEST_CASE("a keyed order runs under its claim and releases it when not run") {
  Fixture f(1);
  f.Feed(RequestArrived{f.MakeOrder("k")});
  CHECK(f.All<Dispatch>().empty());
  PutObject put = f.One<PutObject>();
  CHECK(put.if_version == 0);
  f.Feed(ObjectReply{put.call, ObjectStatus::kOk, 5, ""});
  Dispatch dispatch = f.One<Dispatch>();
  f.EndWith(dispatch.attempt, AttemptResult::kNotSent);
  CHECK(f.One<Refuse>().outcome == Outcome::kNotRun);
  PutObject release = f.One<PutObject>();
  CHECK(release.if_version == 5);
  CHECK(DecodeClaim(release.value)->state == ClaimState::kReleased);
}

// Guards against a resend that is told "not run" while its order has run,
// because the group closed after the first call: the answer to the claim goes
// first, whether the group is closed, gone, or closes while the resend waits.
TEST_CASE("a resend hears its order's outcome while no group is open") {
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
      CHECK(f.All<Refuse>().empty());
      for (const PutObject& put : f.All<PutObject>()) calls.push_back(put.call);
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
    CHECK(f.One<Refuse>().outcome == Outcome::kUnknown);
    f.Feed(
        ObjectReply{calls[1], ObjectStatus::kConflict, 3, EncodeClaim(done)});
    CHECK(f.One<Replay>().status == 201);
    CHECK(f.path.stats().queued == 0);
  }
}

// Guards against a claim that outlives an order which no group could take.
TEST_CASE("an order without a group releases its claim and isn't run") {
  Fixture f(1);
  f.Feed(GroupsChanged{});
  f.Feed(RequestArrived{f.MakeOrder("k")});
  f.Feed(ObjectReply{f.One<PutObject>().call, ObjectStatus::kOk, 5, ""});
  CHECK(f.One<Refuse>().reason == RefusalReason::kNoGroup);
  CHECK(f.One<Refuse>().outcome == Outcome::kNotRun);
  CHECK(DecodeClaim(f.One<PutObject>().value)->state == ClaimState::kReleased);
  CHECK(f.path.stats().in_flight == 0);
}

// Guards against losing the outcome of an order whose caller lost patience.
TEST_CASE("a claimed order runs on when its caller leaves") {
  Fixture f;
  Request order = f.MakeOrder("k");
  f.Feed(RequestArrived{order});
  f.Feed(ObjectReply{f.One<PutObject>().call, ObjectStatus::kOk, 5, ""});
  Dispatch dispatch = f.One<Dispatch>();
  f.Feed(CallerLeft{order.id});
  CHECK(f.All<CancelAttempt>().empty());
  f.EndWith(dispatch.attempt, AttemptResult::kComplete, 0, 201);
  CHECK(f.All<Finish>().empty());
  CHECK(DecodeClaim(f.One<PutObject>().value)->status == 201);
}

// Guards against a request that takes down replica after replica, and against
// punishing those that were merely there.
TEST_CASE("a crash-causing request is run alone, then quarantined") {
  Fixture f(4);
  Dispatch bad = f.Send(f.MakeRequest("bad"));
  // The first three requests fill the idle groups.
  std::vector<Dispatch> sent;
  for (int i = 0; i < 4; ++i) {
    sent.push_back(f.Send(f.MakeRequest("good" + std::to_string(i))));
  }
  Dispatch good = sent[3];
  for (const Dispatch& dispatch : sent) {
    if (dispatch.group == bad.group) {
      good = dispatch;
    } else {
      f.EndWith(dispatch.attempt, AttemptResult::kComplete, 1, 200);
    }
  }
  REQUIRE(good.group == bad.group);
  f.EndWith(bad.attempt, AttemptResult::kCrashed);
  CHECK(f.All<ShareQuarantine>().size() == 1);
  f.EndWith(good.attempt, AttemptResult::kCrashed);
  std::map<RequestId, Dispatch> again;
  for (int i = 0; i < 100 && again.size() < 2; ++i) {
    f.Pass(milliseconds(20));
    for (const Dispatch& dispatch : f.All<Dispatch>()) {
      again[dispatch.request] = dispatch;
      if (dispatch.request == good.request) {
        f.EndWith(dispatch.attempt, AttemptResult::kComplete, 1, 200);
        break;
      }
      // Nothing else joins the suspect's group.
      for (int n = 0; n < 20; ++n) {
        Dispatch other = f.Send(f.MakeRequest("other"));
        CHECK(other.group != dispatch.group);
        f.EndWith(other.attempt, AttemptResult::kComplete, 1, 200);
      }
      f.EndWith(dispatch.attempt, AttemptResult::kCrashed);
      CHECK(f.One<Refuse>().reason == RefusalReason::kQuarantined);
      CHECK(f.One<Refuse>().outcome == Outcome::kUnknown);
      // The next suspect has its turn.
      good = f.One<Dispatch>();
      again[good.request] = good;
      f.EndWith(good.attempt, AttemptResult::kComplete, 1, 200);
      CHECK(f.All<Finish>().size() == 1);
    }
  }
  CHECK(again.size() == 2);
  f.Feed(RequestArrived{f.MakeRequest("bad")});
  CHECK(f.One<Refuse>().reason == RefusalReason::kQuarantined);
  CHECK(f.One<Refuse>().outcome == Outcome::kNotRun);
  CHECK(f.path.stats().quarantined == 1);
}

// Guards against marks that stay on requests which are served well meanwhile,
// until three crashes of others make one of them refused everywhere.
TEST_CASE("a request that completes is acquitted of crashes it was there at") {
  RequestPathOptions options;
  options.isolate_suspects = false;
  options.crashes_to_quarantine = 3;
  options.retry_ratio = 1.0;
  Fixture f(8, options);
  for (int i = 0; i < 10; ++i) {
    Dispatch lost = f.Send(f.MakeRequest("same"));
    f.EndWith(lost.attempt, AttemptResult::kCrashed);
    CHECK(f.All<ShareQuarantine>().size() == 1);
    for (int n = 0; n < 50 && f.All<Dispatch>().empty(); ++n) {
      f.Pass(milliseconds(20));
    }
    Dispatch again = f.One<Dispatch>();
    f.EndWith(again.attempt, AttemptResult::kComplete, 1, 200);
    CHECK(f.All<Finish>().size() == 1);
    CHECK(f.All<ShareQuarantine>().size() == 1);
    CHECK(IsAcquittal(f.One<ShareQuarantine>().digest));
    f.Pass(milliseconds(11'000));
  }
  CHECK(f.path.stats().quarantined == 0);
}

// Guards against crashes that nobody counts: the server is back before its
// address is tried, goes dark, or the attempt there was cancelled or is still
// waiting when its new life is listed.
TEST_CASE("a server that ended counts for all that it may have ended under") {
  RequestPathOptions options;
  options.isolate_suspects = false;
  options.crashes_to_quarantine = 3;
  for (int how = 0; how < 4; ++how) {
    CAPTURE(how);
    Fixture f(1, options);
    Request request = f.MakeRequest("culprit");
    request.idempotent = false;
    Dispatch sent = f.Send(request);
    if (how == 0) f.EndWith(sent.attempt, AttemptResult::kBroken);
    if (how == 1) f.EndWith(sent.attempt, AttemptResult::kTimedOut);
    if (how == 2) f.Feed(CallerLeft{sent.request});
    f.Feed(ServerEnded{f.HostOf(sent.group)});
    REQUIRE(f.All<ShareQuarantine>().size() == 1);
    CHECK_FALSE(IsAcquittal(f.One<ShareQuarantine>().digest));
    // It counts once, however often its end is told.
    f.Feed(ServerEnded{f.HostOf(sent.group)});
    CHECK(f.All<ShareQuarantine>().empty());
  }
}

// Guards against requests that are suspected of the end of a server on which
// they ran long before, or which served them.
TEST_CASE("a server's end doesn't count for what it had ended well before") {
  RequestPathOptions options;
  options.isolate_suspects = false;
  Fixture f(1, options);
  Dispatch served = f.Send(f.MakeRequest("served"));
  f.EndWith(served.attempt, AttemptResult::kComplete, 1, 200);
  Request request = f.MakeRequest("old");
  request.idempotent = false;
  Dispatch old = f.Send(request);
  f.EndWith(old.attempt, AttemptResult::kBroken);
  f.Pass(milliseconds(11'000));
  f.Feed(ServerEnded{f.HostOf(old.group)});
  CHECK(f.All<ShareQuarantine>().empty());
}

// Guards against a request that waits for groups which are gone.
TEST_CASE("queued requests are refused when the last group closes") {
  Fixture f(1);
  std::size_t queued = 0;
  for (int i = 0; i < 20; ++i) {
    f.Feed(RequestArrived{f.MakeRequest(std::to_string(i))});
    queued += f.All<Dispatch>().empty() ? 1 : 0;
  }
  CHECK(queued == 12);
  CHECK(f.path.stats().queued == 12);
  f.Feed(GroupsChanged{});
  CHECK(f.All<Refuse>().size() == 12);
  CHECK(f.path.stats().queued == 0);
}

// Guards against the baseline without admission holding requests back.
TEST_CASE("without admission every request is dispatched at once") {
  RequestPathOptions options;
  options.admission = false;
  Fixture f(1, options);
  for (int i = 0; i < 100; ++i) {
    f.Send(f.MakeRequest(std::to_string(i)));
  }
  CHECK(f.path.stats().in_flight == 100);
}

}  // namespace
}  // namespace clementine
