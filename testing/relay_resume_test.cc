// Streams that have begun and break off, before another server that answers
// with something else than the rest.

#include <doctest/doctest.h>

#include "testing/relay_fixture.h"

namespace clementine {
namespace {

using nettest::Chunk;
using nettest::HttpAnswer;
using nettest::kSigned;
using nettest::RawConnection;
using nettest::RelayFixture;
using nettest::ScriptedServer;

constexpr char kFirstEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr char kRest[] = "id: 3\ndata: c\n\n";

std::string StreamHead(const std::string& type) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kSigned) +
         "Content-Type: " + type + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// Answers a request from the start with events and breaks off, and one that
/// resumes with an answer of its own.
ScriptedServer::Script Breaking(const std::string& resumed) {
  return [resumed](RawConnection& raw, const std::string& request) {
    if (request.find("Last-Event-Id") != std::string::npos) {
      raw.Send(resumed);
      return;
    }
    raw.Send(StreamHead("text/event-stream") + Chunk(kFirstEvents));
    raw.FinishSending();
  };
}

/// @return All that the caller of a stream got.
std::string CallStream(const std::string& resumed) {
  RelayFixture relay(Breaking(resumed), RouteKind::kStream, Breaking(resumed));
  std::string received = relay.Call();
  CHECK(relay.backend.requests.size() == 1);
  CHECK(relay.other_backend->requests.size() == 1);
  return received;
}

bool EndsComplete(const std::string& received) {
  return received.ends_with("0\r\n\r\n");
}

}  // namespace

// Guards against checks of the cases below that would hold for any stream.
TEST_CASE("a stream that breaks off goes on at another server") {
  std::string received =
      CallStream(StreamHead("text/event-stream") + Chunk(kRest) + "0\r\n\r\n");
  CHECK(received.find("data: c") != std::string::npos);
  CHECK(EndsComplete(received));
}

// Guards against an error's text in the middle of a caller's stream (MIXED),
// and against a stream that ends as complete before its last piece (ORDER).
TEST_CASE("an error of the next server cuts a stream that has begun") {
  const std::string error = "overloaded-by-others";
  std::vector<std::string> answers = {
      HttpAnswer(500, error, kSigned),
      HttpAnswer(404, error, kSigned),
      HttpAnswer(503, error, "X-Clementinelb-Not-Executed: 1\r\n"),
      HttpAnswer(200, error,
                 std::string(kSigned) + "Content-Type: text/plain\r\n"),
      HttpAnswer(200, error + "\n\n",
                 std::string(kSigned) + "Content-Type: text/plain\r\n"),
      "HTTP/1.1 204 No Content\r\n" + std::string(kSigned) + "\r\n",
      StreamHead("text/event-stream") + "0\r\n\r\n",
      StreamHead("text/event-stream") + Chunk(error + "\n\n") + "0\r\n\r\n",
      StreamHead("text/event-stream") + Chunk("data: " + error) + "0\r\n\r\n"};
  for (const std::string& answer : answers) {
    CAPTURE(answer);
    std::string received = CallStream(answer);
    CHECK(received.find("data: b") != std::string::npos);
    CHECK(received.find(error) == std::string::npos);
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK_FALSE(EndsComplete(received));
  }
}

}  // namespace clementine
