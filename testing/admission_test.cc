#include "core/admission.h"

#include <doctest/doctest.h>

#include <random>

#include "core/retry_budget.h"

namespace clementine {
namespace {

using Disposition = Admission::Disposition;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr Admission::PoolId kPool = 1;
constexpr Admission::PoolCapacity kFull{4, false};

/// Admission with two organisations and a pool that runs 4 requests
/// concurrently, with a service time of 100 ms.
struct Fixture {
  Fixture() : admission(100) {
    admission.SetOrganisations(
        {{"ash", {"ash", 1.0, 40, 30}}, {"elm", {"elm", 3.0, 40, 30}}});
    admission.RecordServiceTime(kPool, RequestClass::kCounter,
                                milliseconds(100), kStart);
  }

  Admission::Decision Offer(const char* organisation,
                            RequestClass request_class,
                            milliseconds timeout = milliseconds(60'000),
                            Admission::PoolCapacity capacity = kFull,
                            milliseconds target = milliseconds(0)) {
    Request request;
    request.id = ++last_id;
    request.organisation = organisation;
    request.request_class = request_class;
    request.deadline = kStart + timeout;
    request.target = target;
    return admission.Offer(request, kPool, capacity, kStart);
  }

  Admission admission;
  RequestId last_id = 0;
};

// Guards against batch requests that delay counter requests.
TEST_CASE("admission serves request classes in order of priority") {
  Fixture f;
  f.Offer("ash", RequestClass::kBatch);
  f.Offer("ash", RequestClass::kPlain);
  f.Offer("ash", RequestClass::kStream);
  f.Offer("ash", RequestClass::kCounter);
  for (RequestId id : {4U, 3U, 2U, 1U}) {
    CHECK(f.admission.StartNext(kPool, kStart) == id);
  }
  CHECK_FALSE(f.admission.StartNext(kPool, kStart));
}

// Guards against starvation of batch, and against batch that starves the other
// classes.
TEST_CASE("batch close to its deadline gets every second turn") {
  Fixture f;
  for (int i = 0; i < 4; ++i) {
    f.Offer("ash", RequestClass::kCounter);
  }
  f.Offer("ash", RequestClass::kBatch, milliseconds(1500));
  f.Offer("ash", RequestClass::kBatch, milliseconds(1400));
  for (RequestId id : {6U, 1U, 5U, 2U}) {
    CHECK(f.admission.StartNext(kPool, kStart) == id);
  }
}

// Guards against an organisation that gets more than its share of a pool.
TEST_CASE("organisations are served in proportion to their weights") {
  Fixture f;
  for (int i = 0; i < 20; ++i) {
    f.Offer("ash", RequestClass::kCounter);
  }
  for (int i = 0; i < 20; ++i) {
    f.Offer("elm", RequestClass::kCounter);
  }
  int elm = 0;
  for (int i = 0; i < 16; ++i) {
    elm += f.admission.StartNext(kPool, kStart).value() > 20 ? 1 : 0;
  }
  CHECK(elm == 12);
}

// Guards against unbounded queues.
TEST_CASE("queues are bounded in total and per organisation") {
  Fixture f;
  for (int i = 0; i < 30; ++i) {
    CHECK(f.Offer("ash", RequestClass::kCounter).disposition ==
          Disposition::kQueue);
  }
  CHECK(f.Offer("ash", RequestClass::kCounter).disposition ==
        Disposition::kRefuse);
  CHECK(f.Offer("elm", RequestClass::kCounter).disposition ==
        Disposition::kQueue);
  Admission small(2);
  Request request;
  request.deadline = kStart + milliseconds(1000);
  for (Disposition expected :
       {Disposition::kQueue, Disposition::kQueue, Disposition::kRefuse}) {
    ++request.id;
    CHECK(small.Offer(request, kPool, kFull, kStart).disposition == expected);
  }
}

// Guards against batch requests that leave no space in a queue for the other
// classes.
TEST_CASE("batch requests fill at most half of a queue") {
  Fixture f;
  for (int i = 0; i < 15; ++i) {
    CHECK(f.Offer("ash", RequestClass::kBatch).disposition ==
          Disposition::kQueue);
  }
  CHECK(f.Offer("ash", RequestClass::kBatch).disposition ==
        Disposition::kRefuse);
  CHECK(f.Offer("ash", RequestClass::kCounter).disposition ==
        Disposition::kQueue);
}

// Guards against an organisation that occupies all replicas: its in-flight
// limit holds for all daemons together.
TEST_CASE("in-flight limits are divided by the number of daemons") {
  Fixture f;
  constexpr Admission::PoolCapacity kFree{100, true};
  f.admission.SetDaemonCount(20);
  for (Disposition expected : {Disposition::kRun, Disposition::kRun,
                               Disposition::kQueue, Disposition::kQueue}) {
    CHECK(f.Offer("ash", RequestClass::kCounter, milliseconds(60'000), kFree)
              .disposition == expected);
  }
  CHECK(f.Offer("elm", RequestClass::kCounter, milliseconds(60'000), kFree)
            .disposition == Disposition::kRun);
  CHECK_FALSE(f.admission.StartNext(kPool, kStart));
  f.admission.OnRequestEnded("ash");
  CHECK(f.admission.StartNext(kPool, kStart) == 3);
  f.admission.SetDaemonCount(1000);  // The limit is at least 1.
  f.admission.OnRequestEnded("ash");
  f.admission.OnRequestEnded("ash");
  CHECK(f.admission.StartNext(kPool, kStart) == 4);
}

// Guards against queueing a request that can't finish before its deadline.
TEST_CASE("a request that can't meet its deadline is refused on arrival") {
  Fixture f;  // Drains 40 requests per second.
  for (int i = 0; i < 20; ++i) {
    CHECK(f.Offer("ash", RequestClass::kCounter).disposition ==
          Disposition::kQueue);
  }
  CHECK(f.Offer("ash", RequestClass::kCounter, milliseconds(500)).disposition ==
        Disposition::kRefuse);
  CHECK(f.Offer("ash", RequestClass::kCounter, milliseconds(700)).disposition ==
        Disposition::kQueue);
  // The expected wait is shorter for a higher weight and a higher class.
  CHECK(f.Offer("elm", RequestClass::kCounter, milliseconds(200)).disposition ==
        Disposition::kQueue);
  CHECK(f.Offer("elm", RequestClass::kStream, milliseconds(500)).disposition ==
        Disposition::kRefuse);
}

// Guards against a Retry-After that is unrelated to the state of the queue.
TEST_CASE("retry-after is computed from the measured drain rate") {
  for (int service : {1000, 4000}) {
    Fixture f;
    for (int i = 0; i < 200; ++i) {
      f.admission.RecordServiceTime(kPool, RequestClass::kCounter,
                                    milliseconds(service), kStart);
    }
    while (f.Offer("ash", RequestClass::kCounter).disposition ==
           Disposition::kQueue) {
    }
    milliseconds retry_after_refusal =
        f.Offer("ash", RequestClass::kCounter).retry_after;
    CHECK(retry_after_refusal.count() ==
          doctest::Approx(7.5 * service).epsilon(0.05));
  }
}

// Guards against a queue in which, under overload that lasts for many seconds,
// all requests wait longer than their latency target.
TEST_CASE(
    "a request that would miss its latency target is refused on arrival") {
  Fixture f;
  auto offer = [&](milliseconds target) {
    return f.Offer("ash", RequestClass::kStream, milliseconds(5'000), kFull,
                   target);
  };
  // One request ends every 25 ms. Of a target of 200 ms, a request may wait
  // 150 ms.
  for (int i = 0; i < 6; ++i) {
    CHECK(offer(milliseconds(200)).disposition == Disposition::kQueue);
  }
  Admission::Decision refused = offer(milliseconds(200));
  CHECK(refused.disposition == Disposition::kRefuse);
  CHECK(refused.retry_after >= milliseconds(150));
  CHECK(offer(milliseconds(400)).disposition == Disposition::kQueue);
  CHECK(offer(milliseconds(0)).disposition == Disposition::kQueue);
}

// Guards against a request that stays queued although it can only start after
// its latency target, because the pool has become slower since its arrival.
TEST_CASE("a queued request that has missed its latency target is refused") {
  Fixture f;
  for (milliseconds target : {milliseconds(200), milliseconds(0)}) {
    f.Offer("ash", RequestClass::kStream, milliseconds(5'000), kFull, target);
  }
  TimePoint latest_start = kStart + milliseconds(150);
  CHECK(f.admission.FindPredictedMisses(kPool, 4, latest_start).empty());
  auto overdue =
      f.admission.FindPredictedMisses(kPool, 4, latest_start + milliseconds(1));
  REQUIRE(overdue.size() == 1);
  CHECK(overdue[0].request == 1);
}

// Guards against refusing all requests because of old measurements, after an
// hour without requests or permanently.
TEST_CASE("old measurements don't cause refusals when no request waits") {
  Fixture f;
  f.admission.RecordServiceTime(kPool, RequestClass::kCounter,
                                milliseconds(100'000), kStart);
  CHECK(f.Offer("ash", RequestClass::kCounter, milliseconds(10), {4, true})
            .disposition == Disposition::kRun);
  Fixture quiet;
  Request request;
  request.id = 1;
  request.organisation = "ash";
  TimePoint later = kStart + std::chrono::hours(1);
  request.deadline = later + milliseconds(300);
  CHECK(quiet.admission.Offer(request, kPool, kFull, later).disposition ==
        Disposition::kQueue);
}

// Guards against requests that wait for groups that have stopped answering.
TEST_CASE("queued requests are refused when the pool stops draining") {
  Fixture f;
  for (int i = 0; i < 8; ++i) {
    f.Offer("ash", RequestClass::kCounter, milliseconds(20'000));
  }
  CHECK(f.admission.FindPredictedMisses(kPool, 4, kStart).empty());
  auto misses =
      f.admission.FindPredictedMisses(kPool, 4, kStart + milliseconds(15'000));
  CHECK(misses.size() > 0);
  CHECK(misses.size() < 8);
  CHECK(f.admission.Remove(misses[0].request));
  CHECK_FALSE(f.admission.Remove(misses[0].request));
  CHECK(f.admission.queued() == 7);
}

// Guards against retries that multiply the load when a fabric domain fails.
TEST_CASE("retries stay within the ratio, in total and per organisation") {
  RetryBudget budget(0.1);
  TimePoint now = kStart;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(5);
    budget.OnFirstAttempt(i % 10 == 0 ? "ash" : "elm", now);
    retries += budget.TryRetry("ash", now) ? 1 : 0;
  }
  CHECK(retries == 10);  // A tenth of the first attempts of "ash".
  while (budget.TryRetry("elm", now)) {
    ++retries;
  }
  CHECK(retries == 100);
}

// Guards against a burst of retries whose budget was saved up during hours
// without failures.
TEST_CASE("unused retry budget expires") {
  RetryBudget budget(0.1);
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt("ash", kStart);
  }
  int retries = 0;
  while (budget.TryRetry("ash", kStart + std::chrono::seconds(30))) {
    ++retries;
  }
  CHECK(retries == 3);
}

// Guards against an urgent request that waits behind less urgent ones, and
// against less urgent ones that never start.
TEST_CASE("more urgent requests start first, but don't starve others") {
  Fixture f;
  auto offer = [&](int priority, milliseconds after) {
    Request request;
    request.id = ++f.last_id;
    request.organisation = "ash";
    request.request_class = RequestClass::kStream;
    request.deadline = kStart + milliseconds(60'000);
    request.priority = priority;
    return f.admission.Offer(request, kPool, kFull, kStart + after).disposition;
  };
  CHECK(offer(2, milliseconds(0)) == Disposition::kQueue);    // 1
  CHECK(offer(0, milliseconds(10)) == Disposition::kQueue);   // 2
  CHECK(offer(1, milliseconds(20)) == Disposition::kQueue);   // 3
  CHECK(offer(0, milliseconds(490)) == Disposition::kQueue);  // 4
  CHECK(offer(0, milliseconds(510)) == Disposition::kQueue);  // 5
  for (RequestId id : {2U, 3U, 4U, 1U, 5U}) {
    CHECK(f.admission.StartNext(kPool, kStart + milliseconds(520)) == id);
  }
}

// Guards against rejected callers of little urgency that return before more
// urgent ones, against queueing the former while the latter are refused, and
// against starving them because of old measurements of the latter.
TEST_CASE("less urgent requests return later and aren't favoured") {
  Fixture f;
  Request request;
  request.organisation = "ash";
  request.request_class = RequestClass::kStream;
  auto offer = [&](int priority, milliseconds target) {
    ++request.id;
    request.priority = priority;
    request.target = target;
    request.deadline = kStart + milliseconds(60'000);
    return f.admission.Offer(request, kPool, kFull, kStart);
  };
  while (offer(0, milliseconds(200)).disposition == Disposition::kQueue) {
  }
  milliseconds urgent = offer(0, milliseconds(200)).retry_after;
  Admission::Decision other = offer(1, milliseconds(2'000));
  CHECK(other.disposition == Disposition::kRefuse);
  CHECK(other.retry_after > urgent);
  while (f.admission.StartNext(kPool, kStart)) {
  }
  auto offer_later = [&](milliseconds later) {
    ++request.id;
    return f.admission.Offer(request, kPool, {4, true}, kStart + later)
        .disposition;
  };
  CHECK(offer_later(milliseconds(9'000)) != Disposition::kRun);
  // Once no more urgent request has come for a while, it yields to none.
  CHECK(offer_later(milliseconds(10'000)) == Disposition::kRun);
}

// Guards against refused callers that come back into an overload, where they
// are late in any case and make others late.
TEST_CASE("Retry-After grows with the part of requests that is refused") {
  Fixture f;
  Admission::PoolCapacity full{4, false, true};
  Request request;
  request.organisation = "ash";
  request.request_class = RequestClass::kStream;
  request.target = milliseconds(1);
  request.deadline = kStart + milliseconds(1'000);
  milliseconds last{0};
  for (int i = 0; i < 100; ++i) {
    ++request.id;
    Admission::Decision refused =
        f.admission.Offer(request, kPool, full, kStart);
    REQUIRE(refused.disposition == Disposition::kRefuse);
    CHECK(refused.retry_after >= last);
    last = refused.retry_after;
  }
  CHECK(last == milliseconds(8'000));
}

// Guards against requests that wait so long that the server's own time makes
// them late, and against rejecting a late request that spare room can serve.
TEST_CASE("late requests wait behind the others for spare room") {
  Fixture f;
  Admission::PoolCapacity full{4, false, true};
  f.admission.RecordFirstEvent(kPool, 0, milliseconds(80), false);
  auto offer = [&] {
    return f
        .Offer("ash", RequestClass::kStream, milliseconds(5'000), full,
               milliseconds(200))
        .disposition;
  };
  // One request ends every 25 ms and 60 ms are left for waiting, so the third
  // is late, which holds it for up to 800 ms.
  for (int i = 0; i < 4; ++i) CHECK(offer() == Disposition::kQueue);
  TimePoint now = kStart + milliseconds(61);
  CHECK(f.admission.StartNext(kPool, kStart) == 1);
  CHECK(f.admission.FindPredictedMisses(kPool, 4, now).empty());
  // All are late now, and the first place is that of a new request.
  CHECK_FALSE(f.admission.StartNext(kPool, now));
  f.Offer("elm", RequestClass::kStream, milliseconds(5'000), full,
          milliseconds(200));
  CHECK(f.admission.StartNext(kPool, now) == 5);
  CHECK(f.admission.StartNext(kPool, now, /*has_spare=*/true).has_value());
  // Those that found no room are refused, and no others are held.
  now = kStart + milliseconds(2'000);
  CHECK(f.admission.FindPredictedMisses(kPool, 4, now).size() == 2);
}

// Guards against limits of organisations that are rounded down at each of many
// daemons, which leaves a part of them unused.
TEST_CASE("in-flight limits of many daemons add up to that of the fleet") {
  constexpr int kDaemons = 84;
  int admitted = 0;
  std::mt19937_64 random(3);
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    Admission admission(100, random());
    admission.SetOrganisations({{"ash", {"ash", 1.0, 150, 30}}});
    admission.SetDaemonCount(kDaemons);
    Request request;
    request.organisation = "ash";
    request.deadline = kStart + milliseconds(1'000);
    auto runs = [&] {
      ++request.id;
      return admission.Offer(request, kPool, {100, true}, kStart).disposition ==
             Disposition::kRun;
    };
    while (runs()) ++admitted;
  }
  CHECK(admitted == doctest::Approx(150).epsilon(0.1));
}

}  // namespace
}  // namespace clementine
