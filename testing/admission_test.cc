#include "core/admission.h"

#include <doctest/doctest.h>

#include "core/retry_budget.h"

namespace clementine {
namespace {

using Verdict = Admission::Verdict;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr Admission::PoolId kPool = 1;
constexpr Admission::Room kFull{4, false};

/// An admission with two organisations and a pool that runs 4 requests, each
/// for 100 ms.
struct Fixture {
  Fixture() : admission(100) {
    admission.SetOrganisations(
        {{"ash", {"ash", 1.0, 40, 30}}, {"elm", {"elm", 3.0, 40, 30}}});
    admission.Measured(kPool, RequestClass::kCounter, milliseconds(100),
                       kStart);
  }

  Admission::Answer Offer(const char* organisation, RequestClass request_class,
                          milliseconds timeout = milliseconds(60'000),
                          Admission::Room room = kFull,
                          milliseconds target = milliseconds(0)) {
    Request request;
    request.id = ++last;
    request.organisation = organisation;
    request.request_class = request_class;
    request.deadline = kStart + timeout;
    request.target = target;
    return admission.Offer(request, kPool, room, kStart);
  }

  Admission admission;
  RequestId last = 0;
};

// Guards against batch work in front of a waiting customer.
TEST_CASE("classes are served in order") {
  Fixture f;
  f.Offer("ash", RequestClass::kBatch);
  f.Offer("ash", RequestClass::kPlain);
  f.Offer("ash", RequestClass::kStream);
  f.Offer("ash", RequestClass::kCounter);
  for (RequestId id : {4U, 3U, 2U, 1U}) {
    CHECK(f.admission.Next(kPool, kStart) == id);
  }
  CHECK_FALSE(f.admission.Next(kPool, kStart));
}

// Guards against batch that starves, and batch that starves the others.
TEST_CASE("batch close to its deadline takes every second turn") {
  Fixture f;
  for (int i = 0; i < 4; ++i) {
    f.Offer("ash", RequestClass::kCounter);
  }
  f.Offer("ash", RequestClass::kBatch, milliseconds(1500));
  f.Offer("ash", RequestClass::kBatch, milliseconds(1400));
  for (RequestId id : {6U, 1U, 5U, 2U}) {
    CHECK(f.admission.Next(kPool, kStart) == id);
  }
}

// Guards against one organisation taking the share of the others.
TEST_CASE("organisations get turns by weight") {
  Fixture f;
  for (int i = 0; i < 20; ++i) {
    f.Offer("ash", RequestClass::kCounter);
  }
  for (int i = 0; i < 20; ++i) {
    f.Offer("elm", RequestClass::kCounter);
  }
  int elm = 0;
  for (int i = 0; i < 16; ++i) {
    elm += f.admission.Next(kPool, kStart).value() > 20 ? 1 : 0;
  }
  CHECK(elm == 12);
}

// Guards against queues that grow without bound.
TEST_CASE("queues are bounded in all and per organisation") {
  Fixture f;
  for (int i = 0; i < 30; ++i) {
    CHECK(f.Offer("ash", RequestClass::kCounter).verdict == Verdict::kQueue);
  }
  CHECK(f.Offer("ash", RequestClass::kCounter).verdict == Verdict::kRefuse);
  CHECK(f.Offer("elm", RequestClass::kCounter).verdict == Verdict::kQueue);
  Admission small(2);
  Request request;
  request.deadline = kStart + milliseconds(1000);
  for (Verdict expected :
       {Verdict::kQueue, Verdict::kQueue, Verdict::kRefuse}) {
    ++request.id;
    CHECK(small.Offer(request, kPool, kFull, kStart).verdict == expected);
  }
}

// Guards against batch that leaves no place in the queue for a customer.
TEST_CASE("batch fills at most half of a queue") {
  Fixture f;
  for (int i = 0; i < 15; ++i) {
    CHECK(f.Offer("ash", RequestClass::kBatch).verdict == Verdict::kQueue);
  }
  CHECK(f.Offer("ash", RequestClass::kBatch).verdict == Verdict::kRefuse);
  CHECK(f.Offer("ash", RequestClass::kCounter).verdict == Verdict::kQueue);
}

// Guards against an organisation that fills all replicas.
TEST_CASE("in-flight limits are divided by the number of daemons") {
  Fixture f;
  constexpr Admission::Room kFree{100, true};
  f.admission.SetLive(20);
  for (Verdict expected :
       {Verdict::kRun, Verdict::kRun, Verdict::kQueue, Verdict::kQueue}) {
    CHECK(f.Offer("ash", RequestClass::kCounter, milliseconds(60'000), kFree)
              .verdict == expected);
  }
  CHECK(f.Offer("elm", RequestClass::kCounter, milliseconds(60'000), kFree)
            .verdict == Verdict::kRun);
  CHECK_FALSE(f.admission.Next(kPool, kStart));
  f.admission.Ended("ash");
  CHECK(f.admission.Next(kPool, kStart) == 3);
  f.admission.SetLive(1000);  // At least one.
  f.admission.Ended("ash");
  f.admission.Ended("ash");
  CHECK(f.admission.Next(kPool, kStart) == 4);
}

// Guards against holding back a request that can't be served in time.
TEST_CASE("a request that can't finish in time is refused on arrival") {
  Fixture f;  // Drains 40 requests per second.
  for (int i = 0; i < 20; ++i) {
    CHECK(f.Offer("ash", RequestClass::kCounter).verdict == Verdict::kQueue);
  }
  CHECK(f.Offer("ash", RequestClass::kCounter, milliseconds(500)).verdict ==
        Verdict::kRefuse);
  CHECK(f.Offer("ash", RequestClass::kCounter, milliseconds(700)).verdict ==
        Verdict::kQueue);
  // A higher share and a higher class wait less.
  CHECK(f.Offer("elm", RequestClass::kCounter, milliseconds(200)).verdict ==
        Verdict::kQueue);
  CHECK(f.Offer("elm", RequestClass::kStream, milliseconds(500)).verdict ==
        Verdict::kRefuse);
}

// Guards against Retry-After that has nothing to do with the queue.
TEST_CASE("retry-after follows the measured drain rate") {
  for (int service : {1000, 4000}) {
    Fixture f;
    for (int i = 0; i < 200; ++i) {
      f.admission.Measured(kPool, RequestClass::kCounter, milliseconds(service),
                           kStart);
    }
    while (f.Offer("ash", RequestClass::kCounter).verdict == Verdict::kQueue) {
    }
    milliseconds advice = f.Offer("ash", RequestClass::kCounter).retry_after;
    CHECK(advice.count() == doctest::Approx(7.5 * service).epsilon(0.05));
  }
}

// Pattern: more work than capacity for many seconds. Guards against a queue in
// which every request waits so long that none is answered within its target.
TEST_CASE("a request that would miss its target is refused at once") {
  Fixture f;
  auto offer = [&](milliseconds target) {
    return f.Offer("ash", RequestClass::kStream, milliseconds(5'000), kFull,
                   target);
  };
  // One request ends every 25 ms, and 150 ms of the target are for the wait.
  for (int i = 0; i < 6; ++i) {
    CHECK(offer(milliseconds(200)).verdict == Verdict::kQueue);
  }
  Admission::Answer refused = offer(milliseconds(200));
  CHECK(refused.verdict == Verdict::kRefuse);
  CHECK(refused.retry_after >= milliseconds(150));
  CHECK(offer(milliseconds(400)).verdict == Verdict::kQueue);
  CHECK(offer(milliseconds(0)).verdict == Verdict::kQueue);
}

// Guards against a request that is held although its turn can only come after
// its target, when the pool drains more slowly than it did on arrival.
TEST_CASE("a queued request that has missed its target is given up") {
  Fixture f;
  for (milliseconds target : {milliseconds(200), milliseconds(0)}) {
    f.Offer("ash", RequestClass::kStream, milliseconds(5'000), kFull, target);
  }
  TimePoint soon = kStart + milliseconds(150);
  CHECK(f.admission.FindHopeless(kPool, 4, soon).empty());
  auto given_up = f.admission.FindHopeless(kPool, 4, soon + milliseconds(1));
  REQUIRE(given_up.size() == 1);
  CHECK(given_up[0].request == 1);
}

// Guards against a refusal of everything after a quiet hour, or for ever.
TEST_CASE("old measurements don't refuse a request that needn't wait") {
  Fixture f;
  f.admission.Measured(kPool, RequestClass::kCounter, milliseconds(100'000),
                       kStart);
  CHECK(f.Offer("ash", RequestClass::kCounter, milliseconds(10), {4, true})
            .verdict == Verdict::kRun);
  Fixture quiet;
  Request request;
  request.id = 1;
  request.organisation = "ash";
  TimePoint later = kStart + std::chrono::hours(1);
  request.deadline = later + milliseconds(300);
  CHECK(quiet.admission.Offer(request, kPool, kFull, later).verdict ==
        Verdict::kQueue);
}

// Guards against requests that wait for groups which no longer answer.
TEST_CASE("queued requests are given up when the pool stops draining") {
  Fixture f;
  for (int i = 0; i < 8; ++i) {
    f.Offer("ash", RequestClass::kCounter, milliseconds(20'000));
  }
  CHECK(f.admission.FindHopeless(kPool, 4, kStart).empty());
  auto hopeless =
      f.admission.FindHopeless(kPool, 4, kStart + milliseconds(15'000));
  CHECK(hopeless.size() > 0);
  CHECK(hopeless.size() < 8);
  CHECK(f.admission.Remove(hopeless[0].request));
  CHECK_FALSE(f.admission.Remove(hopeless[0].request));
  CHECK(f.admission.queued() == 7);
}

// Guards against retries that multiply the load when a domain fails.
TEST_CASE("retries stay within the ratio, in all and per organisation") {
  RetryBudget budget(0.1);
  TimePoint now = kStart;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(5);
    budget.AddFirst(i % 10 == 0 ? "ash" : "elm", now);
    retries += budget.TryRetry("ash", now) ? 1 : 0;
  }
  CHECK(retries == 10);  // A tenth of the first attempts of ash.
  while (budget.TryRetry("elm", now)) {
    ++retries;
  }
  CHECK(retries == 100);
}

// Guards against a burst of retries saved up in quiet hours.
TEST_CASE("retries that weren't used expire") {
  RetryBudget budget(0.1);
  for (int i = 0; i < 1000; ++i) {
    budget.AddFirst("ash", kStart);
  }
  int retries = 0;
  while (budget.TryRetry("ash", kStart + std::chrono::seconds(30))) {
    ++retries;
  }
  CHECK(retries == 3);
}

}  // namespace
}  // namespace clementine
