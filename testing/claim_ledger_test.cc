#include "core/claim_ledger.h"

#include <doctest/doctest.h>

#include <map>

namespace clementine {
namespace {

using Result = ClaimLedger::Result;

/// Objects of the platform; replies are given when the test says so.
struct Store {
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
  explicit Node(Store* shared, const std::string& name = "n1",
                std::uint64_t incarnation = 1)
      : store(shared), ledger({.node = name, .incarnation = incarnation}) {
    SetClock(TimePoint() + std::chrono::hours(1));
  }

  void SetClock(TimePoint time) {
    now = time;
    ledger.SetWall(
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
  Call Take() {
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

  /// Answers all calls normally until there are none; keeps the last result.
  std::optional<Result> Work() {
    std::optional<Result> last;
    for (int i = 0; i < 50; ++i) {
      while (!actions.empty()) {
        std::optional<Result> result;
        if (std::holds_alternative<PutObject>(actions.front())) {
          result = Reply(store->Apply(Take<PutObject>()));
        } else if (std::holds_alternative<GetObject>(actions.front())) {
          result = Reply(store->Read(Take<GetObject>()));
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

  Result ClaimAndWork(RequestId id, const std::string& key,
                      const std::string& content = "c") {
    Claim(id, key, content);
    std::optional<Result> result = Work();
    REQUIRE(result);
    CHECK(result->request == id);
    return *result;
  }

  void Settle(RequestId id, ClaimState state, const std::string& body = "") {
    ledger.Settle(id, state, 200, body, now, &actions);
  }

  Store* store;
  ClaimLedger ledger;
  TimePoint now;
  ClaimLedger::Actions actions;
};

// Guards against a second run through another daemon.
TEST_CASE("a resend gets the recorded answer from any daemon") {
  Store store;
  Node one(&store);
  Node two(&store, "n2");
  CHECK(one.ClaimAndWork(1, "k").won);
  Result early = two.ClaimAndWork(1, "k");
  CHECK(early.refuse.reason == RefusalReason::kStillRunning);
  CHECK(early.refuse.status == 409);
  CHECK(early.refuse.retry_after > milliseconds(0));
  std::string binary("\xff\x00ok", 4);
  one.Settle(1, ClaimState::kDone, binary);
  one.Work();
  Result late = two.ClaimAndWork(2, "k");
  REQUIRE(late.replay);
  CHECK(late.replay->status == 200);
  CHECK(late.replay->body == binary);
  CHECK(two.ClaimAndWork(3, "k", "other").refuse.reason ==
        RefusalReason::kKeyReused);
  CHECK(one.ledger.open() == 0);
}

// Guards against a claim taken for lost although it took effect, and against
// one taken for won although it didn't.
TEST_CASE("a lost reply to a claim is settled by reading back") {
  for (bool applied : {true, false}) {
    Store store;
    Node node(&store);
    node.Claim(1, "k");
    PutObject put = node.Take<PutObject>();
    if (applied) {
      store.Apply(put);
    }
    CHECK_FALSE(node.Reply(put.call, ObjectStatus::kUnknown));
    std::optional<Result> result = node.Work();
    REQUIRE(result);
    CHECK(result->won);
    CHECK(store.objects.size() == 1);
  }
}

// Guards against two runs when another daemon's claim came first.
TEST_CASE("a lost reply doesn't win against another claim") {
  Store store;
  Node one(&store);
  Node two(&store, "n2");
  one.Claim(1, "k");
  PutObject put = one.Take<PutObject>();
  one.Reply(put.call, ObjectStatus::kUnknown);
  CHECK(two.ClaimAndWork(1, "k").won);
  CHECK(store.Apply(put).status == ObjectStatus::kConflict);
  std::optional<Result> result = one.Work();
  REQUIRE(result);
  CHECK(result->refuse.reason == RefusalReason::kStillRunning);
}

// Guards against a key that stays blocked by a claim which was never used:
// the claim's write arrives after the request was refused.
TEST_CASE("a claim that can't be settled is refused and released") {
  Store store;
  Node node(&store);
  node.Claim(1, "k");
  PutObject put = node.Take<PutObject>();
  std::optional<Result> result = node.Reply(put.call, ObjectStatus::kUnknown);
  while (!result) {
    node.SetClock(node.now + milliseconds(1000));
    node.ledger.Advance(node.now, &node.actions);
    result = node.Reply(node.Take<GetObject>().call, ObjectStatus::kUnknown);
  }
  CHECK(result->refuse.reason == RefusalReason::kPlatformDown);
  CHECK(result->refuse.outcome == Outcome::kNotRun);
  SUBCASE("the write arrives before the release") {
    store.Apply(put);
    node.Work();
  }
  SUBCASE("the write arrives after the release") {
    node.Work();
    CHECK(store.Apply(put).status == ObjectStatus::kConflict);
  }
  CHECK(node.ledger.open() == 0);
  CHECK(Node(&store, "n2").ClaimAndWork(1, "k").won);
}

// Guards against claims made while the platform is certainly unreachable.
TEST_CASE("an unreachable platform refuses at once and leaves nothing") {
  Store store;
  Node node(&store);
  node.Claim(1, "k");
  auto result =
      node.Reply(node.Take<PutObject>().call, ObjectStatus::kUnavailable);
  REQUIRE(result);
  CHECK(result->refuse.reason == RefusalReason::kPlatformDown);
  CHECK(result->refuse.outcome == Outcome::kNotRun);
  CHECK(node.ledger.open() == 0);
}

// Guards against a key that can't be used again although nothing ran.
TEST_CASE("a released claim can be taken by any daemon") {
  Store store;
  Node one(&store);
  CHECK(one.ClaimAndWork(1, "k").won);
  one.Settle(1, ClaimState::kReleased);
  // Before the release is written the same daemon knows of it.
  PutObject release = one.Take<PutObject>();
  CHECK(one.ClaimAndWork(2, "k").won);
  CHECK(store.Apply(release).status == ObjectStatus::kConflict);
  one.Settle(2, ClaimState::kReleased);
  one.Work();
  CHECK(Node(&store, "n2").ClaimAndWork(1, "k").won);
}

// Guards against a release that frees a claim which was made meanwhile.
TEST_CASE("giving up while the claim is being written releases it") {
  Store store;
  Node node(&store);
  node.Claim(1, "k");
  PutObject put = node.Take<PutObject>();
  node.Settle(1, ClaimState::kReleased);
  CHECK_FALSE(node.Reply(store.Apply(put)));
  node.Work();
  CHECK(node.ledger.open() == 0);
  CHECK(DecodeClaim(store.objects.begin()->second.value)->state ==
        ClaimState::kReleased);
}

// Guards against a second run after the owner died with the outcome unknown.
TEST_CASE("a claim without an owner is answered as unknown") {
  Store store;
  Node one(&store);
  CHECK(one.ClaimAndWork(1, "k").won);
  Node two(&store, "n2");
  two.SetClock(one.now + milliseconds(20'000));
  Result result = two.ClaimAndWork(1, "k");
  CHECK(result.refuse.reason == RefusalReason::kOutcomeUnknown);
  CHECK(result.refuse.outcome == Outcome::kUnknown);
  // A restarted daemon knows at once that its earlier life is over.
  Node again(&store, "n1", 2);
  CHECK(again.ClaimAndWork(1, "k").refuse.reason ==
        RefusalReason::kOutcomeUnknown);
}

// Guards against taking the claim of an earlier life for one's own when the
// incarnation wasn't raised.
TEST_CASE("a restarted daemon doesn't win by its earlier life's claim") {
  Store store;
  Node one(&store);
  CHECK(one.ClaimAndWork(1, "k").won);
  Node again(&store);
  again.SetClock(one.now);
  CHECK_FALSE(again.ClaimAndWork(1, "k").won);
}

// Guards against outcomes lost in an outage of the platform.
TEST_CASE("an outcome is recorded when the platform returns") {
  Store store;
  Node node(&store);
  CHECK(node.ClaimAndWork(1, "k").won);
  node.Settle(1, ClaimState::kDone, "order 7");
  node.Reply(node.Take<PutObject>().call, ObjectStatus::kUnavailable);
  for (int i = 0; i < 30; ++i) {
    node.SetClock(node.now + milliseconds(6'000));
    node.ledger.Advance(node.now, &node.actions);
    ObjectStatus status =
        i % 2 == 0 ? ObjectStatus::kUnknown : ObjectStatus::kUnavailable;
    CallId call = std::holds_alternative<PutObject>(node.actions.front())
                      ? node.Take<PutObject>().call
                      : node.Take<GetObject>().call;
    node.Reply(call, status);
  }
  // The owner answers from memory meanwhile.
  Result own = node.ClaimAndWork(2, "k");
  REQUIRE(own.replay);
  CHECK(own.replay->body == "order 7");
  node.SetClock(node.now + milliseconds(6'000));
  node.ledger.Advance(node.now, &node.actions);
  node.Work();
  CHECK(node.ledger.open() == 0);
  CHECK(Node(&store, "n2").ClaimAndWork(1, "k").replay);
}

// Guards against answers that exceed what the platform can hold.
TEST_CASE("a large answer is recorded without its body") {
  Store store;
  Node node(&store);
  CHECK(node.ClaimAndWork(1, "k").won);
  node.Settle(1, ClaimState::kDone, std::string(20'000, 'x'));
  node.Work();
  CHECK(store.objects.begin()->second.value.size() < 1000);
  Result result = node.ClaimAndWork(2, "k");
  CHECK(result.refuse.outcome == Outcome::kComplete);
  CHECK(result.refuse.status == 410);
}

// Guards against claims that fill the platform, and against deleting a key
// that was claimed again.
TEST_CASE("claims are deleted after the retention period") {
  Store store;
  Node node(&store);
  CHECK(node.ClaimAndWork(1, "k").won);
  node.Settle(1, ClaimState::kDone, "a");
  node.Work();
  node.SetClock(node.now + std::chrono::hours(23));
  CHECK(node.ClaimAndWork(2, "k").replay);
  node.SetClock(node.now + std::chrono::hours(2));
  node.ledger.Advance(node.now, &node.actions);
  CHECK(node.Take<DeleteObject>().if_version ==
        store.objects.begin()->second.version);
  // A daemon that finds an expired claim replaces it.
  Node two(&store, "n2");
  two.SetClock(node.now);
  CHECK(two.ClaimAndWork(1, "k", "other").won);
}

// Guards against running a request whose claim can't be read.
TEST_CASE("a damaged claim is answered as unknown") {
  Store store;
  Node node(&store);
  node.Claim(1, "k");
  PutObject put = node.Take<PutObject>();
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
