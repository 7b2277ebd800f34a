// Streams that break after some events and are resumed on another server, which
// may answer with something other than the remaining events.

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

/// Answers a new request with some events and closes the connection. Answers a
/// request that resumes a stream with `resumed`.
ScriptedServer::Script BreakAndAnswerResume(const std::string& resumed) {
  return [resumed](RawConnection& raw, const std::string& request) {
    if (request.find("Last-Event-Id") != std::string::npos) {
      raw.Send(resumed);
      return;
    }
    raw.Send(StreamHead("text/event-stream") + Chunk(kFirstEvents));
    raw.FinishSending();
  };
}

/// Sends a request for a stream to two servers with this script.
/// @return All bytes that the caller received.
std::string CallResumedStream(const std::string& resumed) {
  RelayFixture relay(BreakAndAnswerResume(resumed), RouteKind::kStream,
                     BreakAndAnswerResume(resumed));
  std::string received = relay.Call();
  CHECK(relay.backend.requests.size() == 1);
  CHECK(relay.other_backend->requests.size() == 1);
  return received;
}

bool EndsComplete(const std::string& received) {
  return received.ends_with("0\r\n\r\n");
}

}  // namespace

// Makes sure that the checks of the cases below fail for a stream that is
// resumed correctly.
TEST_CASE("a stream that breaks is resumed on another server") {
  std::string received = CallResumedStream(StreamHead("text/event-stream") +
                                           Chunk(kRest) + "0\r\n\r\n");
  CHECK(received.find("data: c") != std::string::npos);
  CHECK(EndsComplete(received));
}

// Guards against the text of an error inside a caller's stream, and against a
// stream that ends as complete before its last event.
TEST_CASE("a stream is aborted if the next server answers with an error") {
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
    std::string received = CallResumedStream(answer);
    CHECK(received.find("data: b") != std::string::npos);
    CHECK(received.find(error) == std::string::npos);
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK_FALSE(EndsComplete(received));
  }
}

}  // namespace clementine
