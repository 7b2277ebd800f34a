// The lease alone: a scripted platform, one fault for each test.

#include "core/lease.h"

#include <doctest/doctest.h>

#include <string>

namespace clementine {
namespace {

using std::chrono::seconds;

/// One daemon's lease; calls are answered by hand.
struct Party {
  explicit Party(const std::string& node)
      : jitter(7),
        lease({node, 1, "lease/dc", seconds(10), seconds(5), Mutation::kNone},
              &calls, &jitter) {
    lease.PlacementAbsent();
  }

  /// Advances, and returns the call that was issued or 0.
  CallId Advance(TimePoint now) {
    std::vector<ControlAction> out;
    lease.Advance(true, now, &out);
    CallId id = 0;
    for (const ControlAction& action : out) {
      if (const auto* get = std::get_if<GetObject>(&action)) {
        id = get->call;
      } else if (const auto* written = std::get_if<PutObject>(&action)) {
        id = written->call;
        put = *written;
      }
    }
    return id;
  }

  void Reply(CallId call, ObjectStatus status, std::uint64_t version,
             const std::string& value, TimePoint now) {
    std::vector<ControlAction> out;
    auto pending = calls.Take(call);
    REQUIRE(pending);
    lease.Replied(*pending, {call, status, version, value}, now, &out);
  }

  /// Takes the absent lease at `now`.
  void Acquire(TimePoint now) {
    Reply(Advance(now), ObjectStatus::kNotFound, 0, "", now);
    now += seconds(1);
    CallId call = Advance(now);
    REQUIRE(call != 0);
    Reply(call, ObjectStatus::kOk, 1, "", now);
  }

  PlatformCalls calls;
  Jitter jitter;
  Lease lease;
  PutObject put;
};

const TimePoint kStart = TimePoint{} + seconds(1'000);

std::string LeaseOf(const std::string& holder, std::uint64_t renewal) {
  return EncodeLease({holder, 1, 4, 9, renewal});
}

TEST_CASE("a holder counts its lease from before it sent the write") {
  // Guards against a slow answer lengthening the lease.
  Party party("a");
  party.Reply(party.Advance(kStart), ObjectStatus::kNotFound, 0, "", kStart);
  CallId call = party.Advance(kStart + seconds(1));
  for (int i = 2; i <= 9; ++i) {
    party.Advance(kStart + seconds(i));
  }
  party.Reply(call, ObjectStatus::kOk, 1, "", kStart + seconds(9));
  CHECK(party.lease.Proven(kStart + seconds(9)));
  CHECK_FALSE(party.lease.CanOrder(kStart + seconds(9)));
  CHECK_FALSE(party.lease.Proven(kStart + seconds(11)));
}

TEST_CASE("a candidate waits for the whole lease and the longest order") {
  // Guards against a takeover while an order of the old holder is under way.
  Party party("b");
  TimePoint seen = kStart;
  party.Reply(party.Advance(seen), ObjectStatus::kOk, 5, LeaseOf("a", 3), seen);
  TimePoint now = seen;
  while (party.put.call == 0 && now < seen + seconds(20)) {
    now += milliseconds(100);
    CallId call = party.Advance(now);
    if (call != 0 && party.put.call == 0) {
      party.Reply(call, ObjectStatus::kOk, 5, LeaseOf("a", 3), now);
    }
  }
  CHECK(now >= seen + seconds(15));
  CHECK(now <= seen + seconds(16));
  CHECK(party.put.if_version == 5);
  CHECK(DecodeLease(party.put.value).fence == 10);
}

TEST_CASE("a lease recreated with the same version starts a new wait") {
  // Guards against versions that start again after a deletion.
  Party party("b");
  party.Reply(party.Advance(kStart), ObjectStatus::kOk, 1, LeaseOf("a", 1),
              kStart);
  TimePoint now = kStart;
  while (now < kStart + seconds(25)) {
    now += milliseconds(100);
    CallId call = party.Advance(now);
    std::uint64_t renewal = now < kStart + seconds(12) ? 1 : 2;
    if (call != 0) {
      party.Reply(call, ObjectStatus::kOk, 1, LeaseOf("a", renewal), now);
    }
  }
  CHECK(party.put.call == 0);
}

TEST_CASE("an unknown outcome is read back before the next write") {
  // Guards against acting on, or repeating, a write that may have applied.
  Party party("a");
  party.Reply(party.Advance(kStart), ObjectStatus::kNotFound, 0, "", kStart);
  TimePoint now = kStart + seconds(1);
  CallId write = party.Advance(now);
  PutObject first = party.put;
  party.Reply(write, ObjectStatus::kUnknown, 0, "", now + seconds(1));
  CHECK_FALSE(party.lease.Proven(now + seconds(1)));
  CallId read = 0;
  for (TimePoint t = now + seconds(1); read == 0; t += milliseconds(100)) {
    read = party.Advance(t);
  }
  CHECK(party.put.call == first.call);
  party.Reply(read, ObjectStatus::kOk, 1, first.value, now + seconds(2));
  CHECK(party.lease.Proven(now + seconds(2)));
  CHECK_FALSE(party.lease.Proven(now + seconds(10)));
}

TEST_CASE("a paused holder proves its lease before it acts") {
  // Guards against a holder that resumes and believes that it still leads.
  Party party("a");
  party.Acquire(kStart);
  CHECK(party.lease.Proven(kStart + seconds(1)));
  CHECK_FALSE(party.lease.Proven(kStart + seconds(5)));
  CallId granted = party.put.call;
  CallId read = party.Advance(kStart + seconds(5));
  CHECK(party.put.call == granted);
  CHECK(party.lease.state() == "lapsed");
  CHECK_FALSE(party.lease.Proven(kStart + seconds(5)));
  party.Reply(read, ObjectStatus::kOk, 2, LeaseOf("b", 1), kStart + seconds(6));
  CHECK(party.lease.state() == "candidate");
}

TEST_CASE("a released lease names nobody and is not taken again") {
  // Guards against a stopping daemon that keeps others waiting.
  Party party("a");
  party.Acquire(kStart);
  std::vector<ControlAction> out;
  party.lease.Release(false, kStart + seconds(1), &out);
  CHECK(party.lease.state() == "releasing");
  CHECK_FALSE(party.lease.CanOrder(kStart + seconds(1)));
  party.lease.Release(true, kStart + seconds(2), &out);
  REQUIRE(std::holds_alternative<PutObject>(out[out.size() - 2]));
  const auto& put = std::get<PutObject>(out[out.size() - 2]);
  CHECK(DecodeLease(put.value).holder.empty());
  CHECK(party.lease.state() == "released");
  CHECK(party.Advance(kStart + seconds(30)) == 0);
}

TEST_CASE("an absent lease is waited for unless there is no placement") {
  // Guards against a restarted daemon that takes a deleted lease at once while
  // the holder still acts (control_plane_fuzz_test, seed 55).
  Party party("a");
  party.lease.RaiseFence(3);
  for (TimePoint t = kStart; t < kStart + seconds(14); t += milliseconds(100)) {
    CallId call = party.Advance(t);
    if (call != 0 && party.put.call == 0) {
      party.Reply(call, ObjectStatus::kNotFound, 0, "", t);
    }
  }
  CHECK(party.put.call == 0);
}

TEST_CASE("a new lease gets a higher fence than the stored placement") {
  // Guards against fences that start again after the lease was deleted.
  Party party("a");
  party.lease.RaiseFence(41);
  party.Reply(party.Advance(kStart), ObjectStatus::kNotFound, 0, "", kStart);
  for (TimePoint t = kStart; party.put.call == 0; t += milliseconds(100)) {
    CallId call = party.Advance(t);
    if (call != 0 && party.put.call == 0) {
      party.Reply(call, ObjectStatus::kNotFound, 0, "", t);
    }
  }
  CHECK(DecodeLease(party.put.value).fence == 42);
}

}  // namespace
}  // namespace clementine
