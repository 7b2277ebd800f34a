#include "core/claim_ledger.h"

#include <doctest/doctest.h>

#include <map>

namespace clementine {
namespace {

using Result = ClaimLedger::Result;

/// Object store of the platform. The test decides when calls are applied.
struct ObjectStore {
  struct Object {
    std::uint64_t version = 0;
    std::string value;
  };
  std::map<std::string, Object> objects;
  std::uint64_t revision = 0;

  ObjectReply Apply(const PutObject& put) {
    auto found = objects.find(put.key);
    std::uint64_t version = found == objects.end() ? 0 : found->second.version;
    if (version != put.if_version) {
      return found == objects.end()
                 ? ObjectReply{put.call, ObjectStatus::kNotFound, 0, ""}
                 : ObjectReply{put.call, ObjectStatus::kConflict, version,
                               found->second.value};
    }
    objects[put.key] = {++revision, put.value};
    return {put.call, ObjectStatus::kOk, revision, ""};
  }
  ObjectReply Read(const GetObject& get) const {
    auto found = objects.find(get.key);
    return found == objects.end()
               ? ObjectReply{get.call, ObjectStatus::kNotFound, 0, ""}
               : ObjectReply{get.call, ObjectStatus::kOk, found->second.version,
                             found->second.value};
  }
};

/// One daemon's ledger with a virtual clock.
struct Node {
  explicit Node(ObjectStore* shared, const std::string& name = "n1",
                std::uint64_t incarnation = 1)
      : store(shared), ledger({.node = name, .incarnation = incarnation}) {
    SetClock(TimePoint() + std::chrono::hours(1));
  }

  void SetClock(TimePoint time) {
    now = time;
    ledger.SetWallClock(
        std::chrono::system_clock::time_point(
            std::chrono::duration_cast<milliseconds>(now.time_since_epoch())),
        now);
  }

  void Claim(RequestId id, const std::string& key,
             const std::string& content = "c") {
    Request request;
    request.id = id;
    request.organisation = "ash";
    request.idempotency_key = key;
    request.content_digest = content;
    ledger.Claim(request, now + milliseconds(10'000), now, &actions);
  }

  template <typename Call>
  Call TakeAction() {
    REQUIRE(!actions.empty());
    REQUIRE(std::holds_alternative<Call>(actions.front()));
    Call call = std::get<Call>(actions.front());
    actions.erase(actions.begin());
    return call;
  }

  std::optional<Result> Reply(const ObjectReply& reply) {
    return ledger.OnReply(reply, now, &actions);
  }

  std::optional<Result> Reply(CallId call, ObjectStatus status) {
    return Reply(ObjectReply{call, status, 0, ""});
  }

  /// Applies all calls for 5 s of virtual time and returns the last result.
  std::optional<Result> ProcessCalls() {
    std::optional<Result> last;
    for (int i = 0; i < 50; ++i) {
      while (!actions.empty()) {
        std::optional<Result> result;
        if (std::holds_alternative<PutObject>(actions.front())) {
          result = Reply(store->Apply(TakeAction<PutObject>()));
        } else if (std::holds_alternative<GetObject>(actions.front())) {
          result = Reply(store->Read(TakeAction<GetObject>()));
        } else {
          actions.erase(actions.begin());
        }
        last = result ? result : last;
      }
      SetClock(now + milliseconds(100));
      ledger.Advance(now, &actions);
    }
    return last;
  }

  Result ClaimAndProcess(RequestId id, const std::string& key,
                         const std::string& content = "c") {
    Claim(id, key, content);
    std::optional<Result> result = ProcessCalls();
    REQUIRE(result);
    CHECK(result->request == id);
    return *result;
  }

  void Settle(RequestId id, ClaimState state, const std::string& body = "") {
    ledger.Settle(id, state, 200, body, now, &actions);
  }

  ObjectStore* store;
  ClaimLedger ledger;
  TimePoint now;
  ClaimLedger::Actions actions;
};

// Guards against a second run when a request is repeated at another daemon.
TEST_CASE("a repeated request gets the recorded response from any daemon") {
  ObjectStore store;
  Node one(&store);
  Node two(&store, "n2");
  CHECK(one.ClaimAndProcess(1, "k").acquired);
  Result early = two.ClaimAndProcess(1, "k");
  CHECK(early.refuse.reason == RefusalReason::kStillRunning);
  CHECK(early.refuse.status == 409);
  CHECK(early.refuse.retry_after > milliseconds(0));
  std::string binary("\xff\x00ok", 4);
  one.Settle(1, ClaimState::kDone, binary);
  one.ProcessCalls();
  Result late = two.ClaimAndProcess(2, "k");
  REQUIRE(late.replay);
  CHECK(late.replay->status == 200);
  CHECK(late.replay->body == binary);
  CHECK(two.ClaimAndProcess(3, "k", "other").refuse.reason ==
        RefusalReason::kKeyReused);
  CHECK(one.ledger.open() == 0);
}

// Guards against treating a claim as failed although its write took effect, and
// against treating it as acquired although its write did not.
TEST_CASE("a lost reply to a claim is resolved by reading back") {
  for (bool applied : {true, false}) {
    ObjectStore store;
    Node node(&store);
    node.Claim(1, "k");
    PutObject put = node.TakeAction<PutObject>();
    if (applied) {
      store.Apply(put);
    }
    CHECK_FALSE(node.Reply(put.call, ObjectStatus::kUnknown));
    std::optional<Result> result = node.ProcessCalls();
    REQUIRE(result);
    CHECK(result->acquired);
    CHECK(store.objects.size() == 1);
  }
}

// Guards against two runs when the claim of another daemon was written first.
TEST_CASE("a claim with a lost reply yields to the claim of another daemon") {
  ObjectStore store;
  Node one(&store);
  Node two(&store, "n2");
  one.Claim(1, "k");
  PutObject put = one.TakeAction<PutObject>();
  one.Reply(put.call, ObjectStatus::kUnknown);
  CHECK(two.ClaimAndProcess(1, "k").acquired);
  CHECK(store.Apply(put).status == ObjectStatus::kConflict);
  std::optional<Result> result = one.ProcessCalls();
  REQUIRE(result);
  CHECK(result->refuse.reason == RefusalReason::kStillRunning);
}

// Guards against a key that stays blocked by a claim whose request was refused,
// because the write of the claim arrives after the refusal.
TEST_CASE("a claim with an unknown outcome is refused and released") {
  ObjectStore store;
  Node node(&store);
  node.Claim(1, "k");
  PutObject put = node.TakeAction<PutObject>();
  std::optional<Result> result = node.Reply(put.call, ObjectStatus::kUnknown);
  while (!result) {
    node.SetClock(node.now + milliseconds(1000));
    node.ledger.Advance(node.now, &node.actions);
    result =
        node.Reply(node.TakeAction<GetObject>().call, ObjectStatus::kUnknown);
  }
  CHECK(result->refuse.reason == RefusalReason::kPlatformDown);
  CHECK(result->refuse.outcome == Outcome::kNotRun);
  SUBCASE("the write arrives before the release") {
    store.Apply(put);
    node.ProcessCalls();
  }
  SUBCASE("the write arrives after the release") {
    node.ProcessCalls();
    CHECK(store.Apply(put).status == ObjectStatus::kConflict);
  }
  CHECK(node.ledger.open() == 0);
  CHECK(Node(&store, "n2").ClaimAndProcess(1, "k").acquired);
}

// Guards against claims that remain although the platform was certainly
// unreachable when they were made.
TEST_CASE("a claim is refused at once if the platform is unreachable") {
  ObjectStore store;
  Node node(&store);
  node.Claim(1, "k");
  auto result =
      node.Reply(node.TakeAction<PutObject>().call, ObjectStatus::kUnavailable);
  REQUIRE(result);
  CHECK(result->refuse.reason == RefusalReason::kPlatformDown);
  CHECK(result->refuse.outcome == Outcome::kNotRun);
  CHECK(node.ledger.open() == 0);
}

// Guards against a key that cannot be used again although no request ran.
TEST_CASE("a released claim can be acquired by any daemon") {
  ObjectStore store;
  Node one(&store);
  CHECK(one.ClaimAndProcess(1, "k").acquired);
  one.Settle(1, ClaimState::kReleased);
  // The same daemon knows of the release before it is written.
  PutObject release = one.TakeAction<PutObject>();
  CHECK(one.ClaimAndProcess(2, "k").acquired);
  CHECK(store.Apply(release).status == ObjectStatus::kConflict);
  one.Settle(2, ClaimState::kReleased);
  one.ProcessCalls();
  CHECK(Node(&store, "n2").ClaimAndProcess(1, "k").acquired);
}

// Guards against a release that frees a claim made in the meantime, and against
// a claim that stays running although its request was abandoned.
TEST_CASE("a claim abandoned while it is written is released") {
  ObjectStore store;
  Node node(&store);
  node.Claim(1, "k");
  PutObject put = node.TakeAction<PutObject>();
  node.Settle(1, ClaimState::kReleased);
  CHECK_FALSE(node.Reply(store.Apply(put)));
  node.ProcessCalls();
  CHECK(node.ledger.open() == 0);
  CHECK(DecodeClaim(store.objects.begin()->second.value)->state ==
        ClaimState::kReleased);
}

// Guards against a second run after the owner died with the outcome unknown.
TEST_CASE("the outcome of a claim whose owner died is unknown") {
  ObjectStore store;
  Node one(&store);
  CHECK(one.ClaimAndProcess(1, "k").acquired);
  Node two(&store, "n2");
  two.SetClock(one.now + milliseconds(20'000));
  Result result = two.ClaimAndProcess(1, "k");
  CHECK(result.refuse.reason == RefusalReason::kOutcomeUnknown);
  CHECK(result.refuse.outcome == Outcome::kUnknown);
  // A restarted daemon does not wait for its earlier incarnation.
  Node restarted(&store, "n1", 2);
  CHECK(restarted.ClaimAndProcess(1, "k").refuse.reason ==
        RefusalReason::kOutcomeUnknown);
}

// Guards against treating the claim of the process before a restart as an own
// claim when the incarnation was not raised.
TEST_CASE("a restarted daemon does not acquire by a claim made before") {
  ObjectStore store;
  Node one(&store);
  CHECK(one.ClaimAndProcess(1, "k").acquired);
  Node restarted(&store);
  restarted.SetClock(one.now);
  CHECK_FALSE(restarted.ClaimAndProcess(1, "k").acquired);
}

// Guards against losing outcomes during an outage of the platform.
TEST_CASE("an outcome is recorded after an outage of the platform") {
  ObjectStore store;
  Node node(&store);
  CHECK(node.ClaimAndProcess(1, "k").acquired);
  node.Settle(1, ClaimState::kDone, "order 7");
  node.Reply(node.TakeAction<PutObject>().call, ObjectStatus::kUnavailable);
  for (int i = 0; i < 30; ++i) {
    node.SetClock(node.now + milliseconds(6'000));
    node.ledger.Advance(node.now, &node.actions);
    ObjectStatus status =
        i % 2 == 0 ? ObjectStatus::kUnknown : ObjectStatus::kUnavailable;
    CallId call = std::holds_alternative<PutObject>(node.actions.front())
                      ? node.TakeAction<PutObject>().call
                      : node.TakeAction<GetObject>().call;
    node.Reply(call, status);
  }
  // During the outage the owner answers from memory.
  Result own = node.ClaimAndProcess(2, "k");
  REQUIRE(own.replay);
  CHECK(own.replay->body == "order 7");
  node.SetClock(node.now + milliseconds(6'000));
  node.ledger.Advance(node.now, &node.actions);
  node.ProcessCalls();
  CHECK(node.ledger.open() == 0);
  CHECK(Node(&store, "n2").ClaimAndProcess(1, "k").replay);
}

// Guards against responses that exceed the object size limit of the platform.
TEST_CASE("a large response is recorded without its body") {
  ObjectStore store;
  Node node(&store);
  CHECK(node.ClaimAndProcess(1, "k").acquired);
  node.Settle(1, ClaimState::kDone, std::string(20'000, 'x'));
  node.ProcessCalls();
  CHECK(store.objects.begin()->second.value.size() < 1000);
  Result result = node.ClaimAndProcess(2, "k");
  CHECK(result.refuse.outcome == Outcome::kComplete);
  CHECK(result.refuse.status == 410);
}

// Guards against claims that accumulate in the platform, and against deleting a
// key that was claimed again.
TEST_CASE("claims are deleted after the retention period") {
  ObjectStore store;
  Node node(&store);
  CHECK(node.ClaimAndProcess(1, "k").acquired);
  node.Settle(1, ClaimState::kDone, "a");
  node.ProcessCalls();
  node.SetClock(node.now + std::chrono::hours(23));
  CHECK(node.ClaimAndProcess(2, "k").replay);
  node.SetClock(node.now + std::chrono::hours(2));
  node.ledger.Advance(node.now, &node.actions);
  CHECK(node.TakeAction<DeleteObject>().if_version ==
        store.objects.begin()->second.version);
  // A daemon that finds an expired claim replaces it.
  Node two(&store, "n2");
  two.SetClock(node.now);
  CHECK(two.ClaimAndProcess(1, "k", "other").acquired);
}

// Guards against running a request whose claim object is damaged.
TEST_CASE("the outcome of a damaged claim is unknown") {
  ObjectStore store;
  Node node(&store);
  node.Claim(1, "k");
  PutObject put = node.TakeAction<PutObject>();
  for (const char* value : {"", "{}", "[1]", "{\"state\":\"odd\"}"}) {
    CHECK_FALSE(DecodeClaim(value));
  }
  auto result =
      node.Reply({put.call, ObjectStatus::kConflict, 4, "{\"id\":3}"});
  REQUIRE(result);
  CHECK(result->refuse.outcome == Outcome::kUnknown);
}

}  // namespace
}  // namespace clementine
