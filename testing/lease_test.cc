// Unit tests of the lease, with scripted platform replies.

#include "core/lease.h"

#include <doctest/doctest.h>

#include <string>

namespace clementine {
namespace {

using std::chrono::seconds;

/// The lease of one daemon. The test replies to its platform calls.
struct LeaseTester {
  explicit LeaseTester(const std::string& node)
      : jitter(7),
        lease({node, 1, "lease/dc", seconds(10), seconds(5), Mutation::kNone},
              &calls, &jitter) {
    lease.OnPlacementAbsent();
  }

  /// Advances the lease. Returns the id of the call that it made, or 0.
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
    lease.OnReply(*pending, {call, status, version, value}, now, &out);
  }

  /// Acquires the lease while no lease object exists.
  void AcquireAbsentLease(TimePoint now) {
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

std::string EncodedLease(const std::string& holder, std::uint64_t renewal) {
  return EncodeLease({holder, 1, 4, 9, renewal});
}

TEST_CASE("a lease is valid from the time at which the write was sent") {
  // Guards against a slow reply that extends the lease.
  LeaseTester tester("a");
  tester.Reply(tester.Advance(kStart), ObjectStatus::kNotFound, 0, "", kStart);
  CallId call = tester.Advance(kStart + seconds(1));
  for (int i = 2; i <= 9; ++i) {
    tester.Advance(kStart + seconds(i));
  }
  tester.Reply(call, ObjectStatus::kOk, 1, "", kStart + seconds(9));
  CHECK(tester.lease.IsValid(kStart + seconds(9)));
  CHECK_FALSE(tester.lease.CanSendOrders(kStart + seconds(9)));
  CHECK_FALSE(tester.lease.IsValid(kStart + seconds(11)));
}

TEST_CASE("a candidate waits for the lease plus the maximum order duration") {
  // Guards against a takeover while an order of the old holder is outstanding.
  LeaseTester tester("b");
  TimePoint read_at = kStart;
  tester.Reply(tester.Advance(read_at), ObjectStatus::kOk, 5,
               EncodedLease("a", 3), read_at);
  TimePoint now = read_at;
  while (tester.put.call == 0 && now < read_at + seconds(20)) {
    now += milliseconds(100);
    CallId call = tester.Advance(now);
    if (call != 0 && tester.put.call == 0) {
      tester.Reply(call, ObjectStatus::kOk, 5, EncodedLease("a", 3), now);
    }
  }
  CHECK(now >= read_at + seconds(15));
  CHECK(now <= read_at + seconds(16));
  CHECK(tester.put.if_version == 5);
  CHECK(DecodeLease(tester.put.value).fence == 10);
}

TEST_CASE("a lease recreated with the same version restarts the wait") {
  // Guards against comparing only versions, which restart after a deletion.
  LeaseTester tester("b");
  tester.Reply(tester.Advance(kStart), ObjectStatus::kOk, 1,
               EncodedLease("a", 1), kStart);
  TimePoint now = kStart;
  while (now < kStart + seconds(25)) {
    now += milliseconds(100);
    CallId call = tester.Advance(now);
    std::uint64_t renewal = now < kStart + seconds(12) ? 1 : 2;
    if (call != 0) {
      tester.Reply(call, ObjectStatus::kOk, 1, EncodedLease("a", renewal), now);
    }
  }
  CHECK(tester.put.call == 0);
}

TEST_CASE("the lease is read after a write with unknown outcome") {
  // Guards against relying on, or repeating, a write that may have taken
  // effect.
  LeaseTester tester("a");
  tester.Reply(tester.Advance(kStart), ObjectStatus::kNotFound, 0, "", kStart);
  TimePoint now = kStart + seconds(1);
  CallId write = tester.Advance(now);
  PutObject first = tester.put;
  tester.Reply(write, ObjectStatus::kUnknown, 0, "", now + seconds(1));
  CHECK_FALSE(tester.lease.IsValid(now + seconds(1)));
  CallId read = 0;
  for (TimePoint t = now + seconds(1); read == 0; t += milliseconds(100)) {
    read = tester.Advance(t);
  }
  CHECK(tester.put.call == first.call);
  tester.Reply(read, ObjectStatus::kOk, 1, first.value, now + seconds(2));
  CHECK(tester.lease.IsValid(now + seconds(2)));
  CHECK_FALSE(tester.lease.IsValid(now + seconds(10)));
}

TEST_CASE("a lease is invalid after a pause until it is renewed") {
  // Guards against a holder that resumes after a pause and acts although
  // another daemon has taken the lease.
  LeaseTester tester("a");
  tester.AcquireAbsentLease(kStart);
  CHECK(tester.lease.IsValid(kStart + seconds(1)));
  CHECK_FALSE(tester.lease.IsValid(kStart + seconds(5)));
  CallId granted = tester.put.call;
  CallId read = tester.Advance(kStart + seconds(5));
  CHECK(tester.put.call == granted);
  CHECK(tester.lease.state() == "lapsed");
  CHECK_FALSE(tester.lease.IsValid(kStart + seconds(5)));
  tester.Reply(read, ObjectStatus::kOk, 2, EncodedLease("b", 1),
               kStart + seconds(6));
  CHECK(tester.lease.state() == "candidate");
}

TEST_CASE("a released lease has no holder and is not acquired again") {
  // Guards against a stopping daemon that delays the takeover by others.
  LeaseTester tester("a");
  tester.AcquireAbsentLease(kStart);
  std::vector<ControlAction> out;
  tester.lease.Release(false, kStart + seconds(1), &out);
  CHECK(tester.lease.state() == "releasing");
  CHECK_FALSE(tester.lease.CanSendOrders(kStart + seconds(1)));
  tester.lease.Release(true, kStart + seconds(2), &out);
  REQUIRE(std::holds_alternative<PutObject>(out[out.size() - 2]));
  const auto& put = std::get<PutObject>(out[out.size() - 2]);
  CHECK(DecodeLease(put.value).holder.empty());
  CHECK(tester.lease.state() == "released");
  CHECK(tester.Advance(kStart + seconds(30)) == 0);
}

TEST_CASE("a candidate waits for an absent lease if there is a placement") {
  // Guards against a restarted daemon that takes a deleted lease at once while
  // the holder is still active (found by control_plane_fuzz_test, seed 55).
  LeaseTester tester("a");
  tester.lease.RaiseFence(3);
  for (TimePoint t = kStart; t < kStart + seconds(14); t += milliseconds(100)) {
    CallId call = tester.Advance(t);
    if (call != 0 && tester.put.call == 0) {
      tester.Reply(call, ObjectStatus::kNotFound, 0, "", t);
    }
  }
  CHECK(tester.put.call == 0);
}

TEST_CASE("a new lease gets a higher fence than the stored placement") {
  // Guards against fences that restart after the lease was deleted.
  LeaseTester tester("a");
  tester.lease.RaiseFence(41);
  tester.Reply(tester.Advance(kStart), ObjectStatus::kNotFound, 0, "", kStart);
  for (TimePoint t = kStart; tester.put.call == 0; t += milliseconds(100)) {
    CallId call = tester.Advance(t);
    if (call != 0 && tester.put.call == 0) {
      tester.Reply(call, ObjectStatus::kNotFound, 0, "", t);
    }
  }
  CHECK(DecodeLease(tester.put.value).fence == 42);
}

/// Advances a lease whose reads find `stored`, until it writes or `end`.
void ReadUntilWrite(LeaseTester* tester, const std::string& stored,
                    TimePoint begin, TimePoint end) {
  CallId written = tester->put.call;
  for (TimePoint t = begin; t < end && tester->put.call == written;
       t += milliseconds(100)) {
    CallId call = tester->Advance(t);
    if (call != 0 && tester->put.call == written) {
      tester->Reply(call, ObjectStatus::kOk, 1, stored, t);
    }
  }
}

TEST_CASE("after a restore the lease isn't held until a new write is granted") {
  // Guards against a planner that goes on under a lease that the restored store
  // lacks, and against a grant by a write of the time before.
  LeaseTester tester("a");
  tester.AcquireAbsentLease(kStart);
  std::string old_record = tester.put.value;
  TimePoint now = kStart + seconds(1);
  CallId renewal = 0;
  while (renewal == 0 && now < kStart + seconds(9)) {
    now += milliseconds(500);
    renewal = tester.Advance(now);
  }
  REQUIRE(renewal == tester.put.call);
  std::vector<ControlAction> out;
  tester.lease.OnStoreRestored(2, now, &out);
  CHECK_FALSE(tester.lease.IsValid(now));
  tester.Reply(renewal, ObjectStatus::kOk, 1, "", now);
  CHECK_FALSE(tester.lease.IsValid(now));
  // Its own earlier record in the copy doesn't make it the holder either, but
  // it may take the lease again, because its grant was unexpired.
  tester.Reply(tester.Advance(now), ObjectStatus::kOk, 1, old_record, now);
  CHECK_FALSE(tester.lease.IsValid(now));
  CallId write = tester.Advance(now + milliseconds(100));
  REQUIRE(write == tester.put.call);
  CHECK(DecodeLease(tester.put.value).fence >= 2 * 65'536);
  tester.Reply(write, ObjectStatus::kOk, 2, "", now + milliseconds(200));
  CHECK(tester.lease.IsValid(now + milliseconds(200)));
  CHECK(tester.lease.tenure() == 2);
}

TEST_CASE("a released lease of an earlier era is taken after the full wait") {
  // Guards against a daemon that starts after a restore and takes a lease that
  // is released only in the copy.
  LeaseTester tester("b");
  tester.lease.SetStoreEra(3);
  tester.lease.NoteFence(5 * std::uint64_t{65'536});
  std::string released = EncodedLease("", 3);
  ReadUntilWrite(&tester, released, kStart, kStart + seconds(15));
  CHECK(tester.put.call == 0);
  ReadUntilWrite(&tester, released, kStart + seconds(15), kStart + seconds(17));
  REQUIRE(tester.put.call != 0);
  CHECK(DecodeLease(tester.put.value).fence == 5 * 65'536 + 1);
}

TEST_CASE("a released lease of the same era is taken at once") {
  // Guards against a planned stop that leaves the fleet without a planner.
  LeaseTester tester("b");
  tester.lease.SetStoreEra(3);
  std::string released = EncodeLease({"", 1, 4, 3 * 65'536 + 2, 3});
  ReadUntilWrite(&tester, released, kStart, kStart + seconds(5));
  CHECK(tester.put.call != 0);
}

}  // namespace
}  // namespace clementine
