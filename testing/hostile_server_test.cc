// Backend servers that send bytes which are no answer, without end or a few at
// a time. The daemon has 160 MB, so each answer is bounded.

#include <doctest/doctest.h>

#include "platform/platform.h"
#include "testing/relay_fixture.h"

namespace clementine {
namespace {

using nettest::Chunk;
using nettest::kSigned;
using nettest::RawConnection;
using nettest::RelayFixture;
using nettest::RunUntil;
using nettest::ScriptedServer;

/// What fits into the buffers of a loopback connection, besides what is read.
constexpr std::size_t kSocketBytes = 16'000'000;

std::string Head(const std::string& type) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kSigned) +
         "Content-Type: " + type + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

ScriptedServer::Script Flooding(const std::string& first,
                                const std::string& piece) {
  return [=](RawConnection& raw, const std::string&) {
    raw.Send(first);
    raw.Flood(piece);
  };
}

std::size_t MostFlooded(const ScriptedServer& server) {
  std::size_t most = 0;
  for (const auto& connection : server.connections) {
    most = std::max(most, connection->flooded);
  }
  return most;
}

/// Sends a piece in steps of a time, on a thread of control of its own.
struct Drip : std::enable_shared_from_this<Drip> {
  Drip(boost::asio::io_context* io, std::shared_ptr<RawConnection> connection,
       std::string bytes, milliseconds pause)
      : timer(*io),
        raw(std::move(connection)),
        piece(std::move(bytes)),
        step(pause) {}

  void Next() {
    if (raw->closed) return;
    raw->Send(piece);
    timer.expires_after(step);
    timer.async_wait([self = shared_from_this()](
                         const boost::system::error_code&) { self->Next(); });
  }

  boost::asio::steady_timer timer;
  std::shared_ptr<RawConnection> raw;
  std::string piece;
  milliseconds step;
};

ScriptedServer::Script Dripping(boost::asio::io_context* const* io,
                                const std::string& first,
                                const std::string& piece, milliseconds pause) {
  return [=](RawConnection& raw, const std::string&) {
    raw.Send(first);
    std::make_shared<Drip>(*io, raw.shared_from_this(), piece, pause)->Next();
  };
}

/// Ends of a call to a server that never completes its answer.
struct CallFixture {
  explicit CallFixture(const ScriptedServer::Script& script)
      : io_pointer(&io), client(&io, BackendOptions()), server(&io, script) {}

  /// @return How long the planner's question for a report took.
  milliseconds Ask() {
    bool ended = false;
    TimePoint start = std::chrono::steady_clock::now();
    BackendHandlers handlers;
    handlers.bytes = [this](std::string_view bytes) { body += bytes.size(); };
    handlers.end = [&ended](const BackendEnd& end) {
      CHECK(end.result != AttemptResult::kComplete);
      ended = true;
    };
    client.Start(platform::ReportCall("h1", server.address), handlers);
    CHECK(RunUntil(&io, [&] { return ended; }));
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - start);
  }

  boost::asio::io_context io;
  boost::asio::io_context* io_pointer;
  BackendClient client;
  ScriptedServer server;
  std::size_t body = 0;
};

}  // namespace

// Guards against a head without end that fills the memory of a daemon.
TEST_CASE("a head without end is cut, and its caller gets an answer") {
  RelayFixture relay(
      Flooding("HTTP/1.1 200 OK\r\n", "X-Junk: " + std::string(1'000, 'x')));
  CHECK(relay.Call().find("HTTP/1.1 502") == 0);
  CHECK(MostFlooded(relay.backend) < kSocketBytes);
}

// Guards against bytes that are no HTTP at all.
TEST_CASE("bytes that are no answer are cut") {
  RelayFixture relay(Flooding("", std::string(4'096, '\x7f')));
  CHECK(relay.Call().find("HTTP/1.1 502") == 0);
  CHECK(MostFlooded(relay.backend) < kSocketBytes);
}

// Guards against a body without end that is read until its caller's deadline.
TEST_CASE("a body without end is cut at its limit") {
  RelayFixture relay(
      Flooding(Head("text/plain"), Chunk(std::string(65'536, 'x'))));
  TimePoint start = std::chrono::steady_clock::now();
  CHECK(relay.Call().find("HTTP/1.1 502") == 0);
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(3'500));
  // Each of the attempts that a request may make.
  CHECK(MostFlooded(relay.backend) < 16'777'216 + kSocketBytes);
}

// Guards against answers that are each within their limit and together fill the
// memory of a daemon.
TEST_CASE("a hundred answers without end are bounded together") {
  for (RouteKind kind : {RouteKind::kIdempotent, RouteKind::kStream}) {
    CAPTURE(static_cast<int>(kind));
    bool stream = kind == RouteKind::kStream;
    RelayFixture relay(
        Flooding(Head(stream ? "text/event-stream" : "text/plain"),
                 Chunk("data: " + std::string(65'536, 'x'))),
        kind);
    std::size_t most_held = 0;
    std::vector<std::string> received = relay.CallConcurrently(100, [&] {
      most_held = std::max(most_held, relay.backends.stats().held_bytes);
    });
    // 502, or 504 where the server was still sending at the deadline.
    CHECK(std::all_of(received.begin(), received.end(),
                      [](const std::string& answer) {
                        return answer.find("HTTP/1.1 50") == 0;
                      }));
    CHECK(most_held <= BackendOptions().max_held_bytes);
    CHECK(relay.backends.stats().held_bytes == 0);
    // The limit of an event ends the streams one by one.
    CHECK((relay.backends.stats().dropped_answers > 0) == !stream);
  }
}

// Guards against a stream whose event never ends: its bytes were kept, and
// searched from the start with each piece.
TEST_CASE("an event without end is cut, and nothing of it is passed on") {
  RelayFixture relay(Flooding(Head("text/event-stream"),
                              Chunk("data: " + std::string(65'536, 'x'))),
                     RouteKind::kStream);
  std::string received = relay.Call();
  CHECK(received.find("HTTP/1.1 502") == 0);
  CHECK(received.find("xxxx") == std::string::npos);
  CHECK(MostFlooded(relay.backend) < 1'048'576 + kSocketBytes);
}

// Guards against a report without end, or of one byte now and then, after which
// its server was never asked again.
TEST_CASE("a report without end is cut in time and size") {
  CallFixture endless(
      Flooding(Head("application/json"), Chunk(std::string(65'536, '['))));
  CHECK(endless.Ask() < milliseconds(1'500));
  CHECK(endless.body <= 1'048'576);
  boost::asio::io_context* io = nullptr;
  CallFixture slow(
      Dripping(&io, Head("application/json"), Chunk("["), milliseconds(100)));
  io = &slow.io;
  milliseconds took = slow.Ask();
  CHECK(took >= milliseconds(900));
  CHECK(took < milliseconds(1'500));
}

// Guards against a stalled stream that never counts as silent because a byte
// comes now and then, and against a slow one that is sound and is cut.
TEST_CASE("bytes that are no event don't make a stream sound") {
  boost::asio::io_context* io = nullptr;
  RelayFixture stalled(
      Dripping(&io, Head("text/event-stream"), Chunk("x"), milliseconds(100)),
      RouteKind::kStream);
  io = &stalled.io;
  stalled.Call();
  CHECK(stalled.FindFleetEvent<GroupUnresponsive>());

  boost::asio::io_context* other = nullptr;
  RelayFixture slow(Dripping(&other, Head("text/event-stream"),
                             Chunk("id: 1\ndata: x\n\n"), milliseconds(400)),
                    RouteKind::kStream);
  other = &slow.io;
  std::string received = slow.Call();
  CHECK_FALSE(slow.FindFleetEvent<GroupUnresponsive>());
  // It goes on until the route's time is over.
  std::size_t events = 0;
  for (std::size_t at = 0;
       (at = received.find("data: x", at)) != std::string::npos; ++at) {
    ++events;
  }
  CHECK(events >= 8);
}

}  // namespace clementine
