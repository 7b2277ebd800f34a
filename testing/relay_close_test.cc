// Answers of backend servers that end with their connection: complete ones that
// have neither a length nor chunks, and ones that break off.

#include <doctest/doctest.h>

#include "testing/relay_fixture.h"

namespace clementine {
namespace {

using nettest::Chunk;
using nettest::kSigned;
using nettest::RawConnection;
using nettest::RelayFixture;
using nettest::ScriptedServer;

constexpr char kEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

std::string Head(const std::string& type, const std::string& framing = "") {
  return "HTTP/1.1 200 OK\r\n" + std::string(kSigned) +
         "Content-Type: " + type + "\r\n" + framing + "\r\n";
}

enum class End { kFinish, kReset };

/// Sends bytes and ends the connection. A new request that resumes a stream
/// gets `resumed`.
ScriptedServer::Script SendAndEnd(const std::string& bytes, End end,
                                  const std::string& resumed = "") {
  return [=](RawConnection& raw, const std::string& request) {
    bool resumes = request.find("Last-Event-Id") != std::string::npos;
    raw.Send(resumes ? resumed : bytes);
    if (end == End::kReset && !resumes) {
      raw.Reset();
    } else {
      raw.FinishSending();
    }
  };
}

bool IsComplete(const std::string& received) {
  if (received.find("Transfer-Encoding: chunked") != std::string::npos) {
    return received.ends_with("0\r\n\r\n");
  }
  return received.starts_with("HTTP/1.1 200");
}

}  // namespace

// Guards against a whole answer without a length that is taken for a broken
// one, and the reverse (MIXED).
TEST_CASE("an answer without a length ends with its connection") {
  RelayFixture whole(
      SendAndEnd(Head("text/plain") + "some text", End::kFinish));
  std::string received = whole.Call();
  CHECK(received.starts_with("HTTP/1.1 200"));
  CHECK(received.ends_with("\r\n\r\nsome text"));
  CHECK(received.find("Content-Length: 9\r\n") != std::string::npos);
  RelayFixture reset(SendAndEnd(Head("text/plain") + "some text", End::kReset));
  CHECK(reset.Call().starts_with("HTTP/1.1 502"));
  // With a length, the end of the connection doesn't complete the answer.
  RelayFixture cut(
      SendAndEnd(Head("text/plain", "Content-Length: 10\r\n") + "some text",
                 End::kFinish));
  CHECK(cut.Call().starts_with("HTTP/1.1 502"));
}

// Guards against a stream without chunks whose last events are lost, or that is
// reported as broken (ORDER).
TEST_CASE("a stream without chunks ends with its connection") {
  RelayFixture relay(
      SendAndEnd(Head("text/event-stream") + kEvents, End::kFinish),
      RouteKind::kStream);
  std::string received = relay.Call();
  CHECK(received.find("data: a") != std::string::npos);
  CHECK(received.find("data: b") != std::string::npos);
  CHECK(IsComplete(received));
}

// Guards against a stream that broke off and reaches the caller as complete,
// with a part of an event (ORDER, MIXED).
TEST_CASE("a stream that ends inside an event is broken off") {
  for (const std::string& framing :
       {std::string(), std::string("Transfer-Encoding: chunked\r\n")}) {
    for (const std::string& part :
         {std::string("id: 3\ndata: part"), std::string("id: 3\ndata: part\n"),
          std::string("id"), std::string("\r\nid: 3\r\ndata: part\r\n")}) {
      CAPTURE(framing);
      CAPTURE(part);
      std::string body = std::string(kEvents) + part;
      std::string bytes = Head("text/event-stream", framing) +
                          (framing.empty() ? body : Chunk(body) + "0\r\n\r\n");
      RelayFixture alone(SendAndEnd(bytes, End::kFinish), RouteKind::kStream);
      std::string received = alone.Call();
      CHECK(received.find("data: b") != std::string::npos);
      CHECK(received.find("id: 3") == std::string::npos);
      CHECK_FALSE(IsComplete(received));
      // It is resumed at another server after its last whole event.
      std::string rest = Head("text/event-stream") + "id: 3\ndata: c\n\n";
      RelayFixture two(SendAndEnd(bytes, End::kFinish, rest),
                       RouteKind::kStream,
                       SendAndEnd(bytes, End::kFinish, rest));
      received = two.Call();
      CHECK(received.find("data: c") != std::string::npos);
      CHECK(received.find("part") == std::string::npos);
      CHECK(IsComplete(received));
    }
  }
}

// Guards against streams that are reset, or that end with their connection
// before the first event, and reach the caller as complete (ORDER).
TEST_CASE("a stream that is reset or empty is broken off") {
  RelayFixture reset(
      SendAndEnd(Head("text/event-stream") + kEvents, End::kReset),
      RouteKind::kStream);
  CHECK_FALSE(IsComplete(reset.Call()));
  RelayFixture empty(SendAndEnd(Head("text/event-stream"), End::kFinish),
                     RouteKind::kStream);
  CHECK(empty.Call().starts_with("HTTP/1.1 502"));
}

// Guards against an answer whose head was cut off and that reaches the caller
// as a success with an empty or short body (MIXED, ORDER).
TEST_CASE("an answer that ends inside its head is broken off") {
  for (RouteKind kind : {RouteKind::kIdempotent, RouteKind::kStream}) {
    bool stream = kind == RouteKind::kStream;
    for (const std::string& framing :
         {std::string("Content-Length: 100\r\n"), std::string(),
          std::string("Transfer-Encoding: chunked\r\n")}) {
      std::string head =
          Head(stream ? "text/event-stream" : "text/plain", framing);
      for (End end : {End::kFinish, End::kReset}) {
        for (std::size_t size = 0; size < head.size(); size += 3) {
          CAPTURE(head.substr(0, size));
          RelayFixture relay(SendAndEnd(head.substr(0, size), end), kind);
          CHECK(relay.Call().starts_with("HTTP/1.1 502"));
        }
        RelayFixture last(SendAndEnd(head.substr(0, head.size() - 1), end),
                          kind);
        CHECK(last.Call().starts_with("HTTP/1.1 502"));
      }
    }
  }
}

}  // namespace clementine
