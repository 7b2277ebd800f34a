// Hedged requests over sockets: two servers of which the first to get a request
// is slow.

#include <doctest/doctest.h>

#include "testing/relay_fixture.h"

namespace clementine {
namespace {

using nettest::Chunk;
using nettest::HttpAnswer;
using nettest::kSigned;
using nettest::RawConnection;
using nettest::RelayFixture;
using nettest::RunUntil;

constexpr milliseconds kUsual{20};
constexpr RequestId kMeasured = 30;

const std::string kHead = "HTTP/1.1 200 OK\r\n" + std::string(kSigned) +
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n";

RequestPathOptions HedgeOptions() {
  RequestPathOptions options;
  options.hedge_ratio = 0.1;
  options.retry_ratio = 1.0;
  return options;
}

/// Two servers. The first that gets a request answers with `slow`, the other
/// one with `fast`.
struct HedgeFixture {
  HedgeFixture(const std::string& slow, const std::string& fast, RouteKind kind)
      : relay(
            [this, slow, fast](RawConnection& raw, const std::string&) {
              Answer(raw, slow, fast);
            },
            kind,
            [this, slow, fast](RawConnection& raw, const std::string&) {
              Answer(raw, slow, fast);
            },
            2, HedgeOptions()) {
    RequestClass request_class = kind == RouteKind::kStream
                                     ? RequestClass::kStream
                                     : RequestClass::kPlain;
    TimePoint now = std::chrono::steady_clock::now();
    for (RequestId i = 0; i < kMeasured; ++i) {
      if (i % 10 == 0) now += kUsual;
      Measure(request_class, now, 1'000 + i);
    }
    CHECK(RunUntil(&relay.io, [&] {
      return std::chrono::steady_clock::now() > now + kUsual;
    }));
  }

  /// Lets the request path measure a request that takes kUsual.
  void Measure(RequestClass request_class, TimePoint now, RequestId id) {
    Request request;
    request.id = id;
    request.organisation = kPublicOrganisation;
    request.service = "desk";
    request.request_class = request_class;
    request.content_digest = std::to_string(id);
    request.deadline = now + milliseconds(1'000);
    auto dispatch = testing::FindAction<Dispatch>(
        relay.path.Handle(RequestArrived{request}, now));
    REQUIRE(dispatch);
    ends.push_back(dispatch->attempt);
    if (ends.size() < 10) return;
    for (AttemptId attempt : ends) {
      relay.path.Handle(
          AttemptEnded{attempt, AttemptResult::kComplete, 0, {}, 200, ""},
          now + kUsual);
    }
    ends.clear();
  }

  void Answer(RawConnection& raw, const std::string& slow,
              const std::string& fast) {
    bool first = slow_connection == nullptr;
    if (first) slow_connection = raw.shared_from_this();
    const std::string& answer = first ? slow : fast;
    if (!answer.empty()) raw.Send(answer);
  }

  /// @return Whether the slow server's connection is closed within the time
  ///     that a cancelled attempt may take to stop its server.
  bool IsSlowClosed() {
    auto end = std::chrono::steady_clock::now() + milliseconds(500);
    return RunUntil(&relay.io,
                    [&] {
                      return slow_connection->closed ||
                             std::chrono::steady_clock::now() > end;
                    }) &&
           slow_connection->closed;
  }

  std::vector<AttemptId> ends;
  std::shared_ptr<RawConnection> slow_connection;
  RelayFixture relay;
};

}  // namespace

// Guards against a caller that waits for a slow server although another one
// answers, and against a server that works on for nobody.
TEST_CASE("relay answers with the hedge and closes the slow attempt") {
  HedgeFixture f("", HttpAnswer(200, "fast", kSigned), RouteKind::kIdempotent);
  std::string received = f.relay.Call();
  CHECK(received.starts_with("HTTP/1.1 200"));
  CHECK(received.ends_with("fast"));
  CHECK(f.IsSlowClosed());
  CHECK(f.relay.path.stats().hedges_won == 1);
  CHECK(f.relay.executor.unfinished() == 0);
}

// Guards against bytes of the slow stream in the caller's answer: its head and
// half an event have arrived when the hedge begins.
TEST_CASE("relay keeps the parsers of two streams apart") {
  std::string half = kHead + Chunk("id: 1\ndata: slow\n");
  SUBCASE("the hedge sends the first event") {
    HedgeFixture f(half,
                   kHead + Chunk("id: 1\ndata: a\n\nid: 2\n") +
                       Chunk("data: b\n\n") + "0\r\n\r\n",
                   RouteKind::kStream);
    std::string received = f.relay.Call();
    CHECK(received.find("slow") == std::string::npos);
    CHECK(received.find("id: 1\ndata: a\n\n") != std::string::npos);
    CHECK(received.find("id: 2\ndata: b\n\n") != std::string::npos);
    CHECK(received.ends_with("0\r\n\r\n"));
    CHECK(f.IsSlowClosed());
    CHECK(f.relay.path.stats().hedges_won == 1);
  }
  SUBCASE("the first attempt goes on while the hedge has half an event") {
    HedgeFixture f(half, kHead + Chunk("id: 1\ndata: hedge\n"),
                   RouteKind::kStream);
    bool sent = false;
    auto received = f.relay.CallConcurrently(1, [&] {
      if (sent || f.relay.path.stats().hedged == 0 ||
          f.relay.backend.requests.size() +
                  f.relay.other_backend->requests.size() <
              2) {
        return;
      }
      sent = true;
      f.slow_connection->Send(Chunk("\n") + "0\r\n\r\n");
    });
    CHECK(received[0].find("data: slow\n\n") != std::string::npos);
    CHECK(received[0].find("hedge") == std::string::npos);
    CHECK(received[0].ends_with("0\r\n\r\n"));
    CHECK(f.relay.path.stats().hedges_won == 0);
    CHECK(f.relay.path.stats().hedges_cancelled == 1);
  }
}

// Guards against an error answer that reaches the caller while the other
// attempt could still succeed.
TEST_CASE("relay does not answer with the error of a hedge") {
  HedgeFixture f("", HttpAnswer(500, "error", kSigned), RouteKind::kIdempotent);
  auto sent = TimePoint::max();
  auto received = f.relay.CallConcurrently(1, [&] {
    TimePoint now = std::chrono::steady_clock::now();
    if (sent == TimePoint::max() && f.relay.path.stats().hedged > 0 &&
        f.relay.executor.unfinished() == 2) {
      sent = now;
      f.slow_connection->Send(HttpAnswer(200, "late", kSigned));
    }
  });
  CHECK(received[0].starts_with("HTTP/1.1 200"));
  CHECK(received[0].ends_with("late"));
  CHECK(f.relay.path.stats().retried == 0);
}

}  // namespace clementine
