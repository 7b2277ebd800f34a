// Tests with backend servers that send invalid or endless answers, at full
// speed or a few bytes at a time. The daemon has 160 MB of memory, so the size
// of each answer is bounded.

#include <doctest/doctest.h>

#include "platform/platform.h"
#include "testing/relay_fixture.h"

namespace clementine {
namespace {

using nettest::Chunk;
using nettest::kLastChunk;
using nettest::kSigned;
using nettest::RawConnection;
using nettest::RelayFixture;
using nettest::RunUntil;
using nettest::ScriptedServer;

/// Upper bound of the bytes in the socket buffers of a loopback connection. The
/// server can send this much more than the daemon reads.
constexpr std::size_t kSocketBufferBytes = 16'000'000;

std::string Head(const std::string& type) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kSigned) +
         "Content-Type: " + type + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

ScriptedServer::Script SendForever(const std::string& first,
                                   const std::string& piece) {
  return [=](RawConnection& raw, const std::string&) {
    raw.Send(first);
    raw.Flood(piece);
  };
}

std::size_t MaxSentBytes(const ScriptedServer& server) {
  std::size_t max_sent = 0;
  for (const auto& connection : server.connections) {
    max_sent = std::max(max_sent, connection->flooded);
  }
  return max_sent;
}

struct Framing {
  std::string first;
  std::string piece;  ///< Sent again and again after it.
};

/// Answers whose framing never ends: a head, the size line or an extension of a
/// chunk, the fields after the last chunk.
const std::vector<Framing>& EndlessFraming() {
  static const std::vector<Framing> framing = {
      {"HTTP/1.1 200 OK\r\nX-Junk: ", std::string(16'384, 'x')},
      {Head("text/event-stream"), std::string(16'384, '\xa5')},
      {Head("text/event-stream"), std::string(16'384, '0')},
      {Head("text/event-stream") + "4;x=", std::string(16'384, 'x')},
      {Head("text/event-stream") + "0\r\n", "X-Field: y\r\n"},
  };
  return framing;
}

/// Answers the first request with endless bytes and later ones as a sound
/// server does.
ScriptedServer::Script SendForeverOnce(const std::string& first,
                                       const std::string& piece,
                                       const std::string& sound) {
  auto done = std::make_shared<bool>(false);
  return [=](RawConnection& raw, const std::string&) {
    if (std::exchange(*done, true)) {
      raw.Send(sound);
    } else {
      raw.Send(first);
      raw.Flood(piece);
    }
  };
}

/// Sends a piece at regular intervals until the connection is closed.
struct PeriodicSender : std::enable_shared_from_this<PeriodicSender> {
  PeriodicSender(boost::asio::io_context* io,
                 std::shared_ptr<RawConnection> connection, std::string bytes,
                 milliseconds pause)
      : timer(*io),
        raw(std::move(connection)),
        piece(std::move(bytes)),
        interval(pause) {}

  void SendNext() {
    if (raw->closed) return;
    raw->Send(piece);
    timer.expires_after(interval);
    timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code&) {
          self->SendNext();
        });
  }

  boost::asio::steady_timer timer;
  std::shared_ptr<RawConnection> raw;
  std::string piece;
  milliseconds interval;
};

ScriptedServer::Script SendPeriodically(boost::asio::io_context* const* io,
                                        const std::string& first,
                                        const std::string& piece,
                                        milliseconds pause) {
  return [=](RawConnection& raw, const std::string&) {
    raw.Send(first);
    std::make_shared<PeriodicSender>(*io, raw.shared_from_this(), piece, pause)
        ->SendNext();
  };
}

/// Calls a server that never completes its answer.
struct CallFixture {
  explicit CallFixture(const ScriptedServer::Script& script,
                       const BackendOptions& options = {})
      : io_pointer(&io), client(&io, options), server(&io, script) {}

  /// @return Duration of the planner's report call.
  milliseconds MeasureReportCall() {
    bool ended = false;
    TimePoint start = std::chrono::steady_clock::now();
    BackendHandlers handlers;
    handlers.bytes = [this](std::string_view bytes) { body += bytes.size(); };
    handlers.end = [&ended](const BackendEnd& end) {
      CHECK(end.result != AttemptResult::kComplete);
      ended = true;
    };
    client.Start(platform::MakeReportCall("h1", server.address), handlers);
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

// Guards against an endless answer head that fills the daemon's memory.
TEST_CASE("the daemon stops reading an endless head and answers 502") {
  RelayFixture relay(
      SendForever("HTTP/1.1 200 OK\r\n", "X-Junk: " + std::string(1'000, 'x')));
  CHECK(relay.Call().find("HTTP/1.1 502") == 0);
  CHECK(MaxSentBytes(relay.backend) < kSocketBufferBytes);
}

// Guards against endless bytes that are not HTTP.
TEST_CASE("the daemon stops reading bytes that are not HTTP and answers 502") {
  RelayFixture relay(SendForever("", std::string(4'096, '\x7f')));
  CHECK(relay.Call().find("HTTP/1.1 502") == 0);
  CHECK(MaxSentBytes(relay.backend) < kSocketBufferBytes);
}

// Guards against an endless body that is read until the caller's deadline.
TEST_CASE("the daemon stops reading an endless body at the size limit") {
  RelayFixture relay(
      SendForever(Head("text/plain"), Chunk(std::string(65'536, 'x'))));
  TimePoint start = std::chrono::steady_clock::now();
  CHECK(relay.Call().find("HTTP/1.1 502") == 0);
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(3'500));
  // The limit applies to each attempt of a request.
  CHECK(MaxSentBytes(relay.backend) < 16'777'216 + kSocketBufferBytes);
}

// Guards against answers that are each within the size limit but together fill
// the daemon's memory.
TEST_CASE("the total size of a hundred endless answers is bounded") {
  for (RouteKind kind : {RouteKind::kIdempotent, RouteKind::kStream}) {
    CAPTURE(static_cast<int>(kind));
    bool stream = kind == RouteKind::kStream;
    RelayFixture relay(
        SendForever(Head(stream ? "text/event-stream" : "text/plain"),
                    Chunk("data: " + std::string(65'536, 'x'))),
        kind);
    std::size_t max_held = 0;
    std::vector<std::string> received = relay.CallConcurrently(100, [&] {
      max_held = std::max(max_held, relay.backends.stats().held_bytes);
    });
    // 502, or 504 if the server was still sending at the deadline.
    CHECK(std::all_of(received.begin(), received.end(),
                      [](const std::string& answer) {
                        return answer.find("HTTP/1.1 50") == 0;
                      }));
    CHECK(max_held <= BackendOptions().max_held_bytes);
    CHECK(relay.backends.stats().held_bytes == 0);
    // A stream is ended by the size limit of its event before the total limit
    // drops an answer.
    CHECK((relay.backends.stats().dropped_answers > 0) == !stream);
  }
}

// Guards against a stream whose event never ends. All its bytes were buffered,
// and the buffer was searched from the start after each piece.
TEST_CASE("an endless event ends the stream and is not relayed") {
  RelayFixture relay(SendForever(Head("text/event-stream"),
                                 Chunk("data: " + std::string(65'536, 'x'))),
                     RouteKind::kStream);
  std::string received = relay.Call();
  CHECK(received.find("HTTP/1.1 502") == 0);
  CHECK(received.find("xxxx") == std::string::npos);
  CHECK(MaxSentBytes(relay.backend) < 1'048'576 + kSocketBufferBytes);
}

// Guards against framing without end that fills the daemon's memory: the parser
// passed on none of its bytes, so that no limit of a head or body applied. The
// request is served by another server.
TEST_CASE("an answer with endless framing is dropped and repeated elsewhere") {
  for (const Framing& framing : EndlessFraming()) {
    for (RouteKind kind : {RouteKind::kIdempotent, RouteKind::kStream}) {
      CAPTURE(framing.first);
      CAPTURE(static_cast<int>(kind));
      const std::string sound =
          Head("text/event-stream") + Chunk("id: 1\ndata: x\n\n") + kLastChunk;
      ScriptedServer::Script script =
          SendForeverOnce(framing.first, framing.piece, sound);
      RelayFixture relay(script, kind, script);
      std::size_t max_held = 0;
      std::string received =
          relay
              .CallConcurrently(
                  1,
                  [&] {
                    max_held =
                        std::max(max_held, relay.backends.stats().held_bytes);
                  })
              .front();
      CHECK(received.find("HTTP/1.1 200") == 0);
      CHECK(received.find("data: x") != std::string::npos);
      CHECK(max_held < 262'144);
      CHECK(relay.backends.stats().oversized_answers == 1);
      CHECK(MaxSentBytes(relay.backend) + MaxSentBytes(*relay.other_backend) <
            kSocketBufferBytes);
    }
  }
}

// Guards against interim answers without end.
TEST_CASE("endless interim answers hold no memory") {
  for (RouteKind kind : {RouteKind::kIdempotent, RouteKind::kStream}) {
    RelayFixture relay(SendForever("", "HTTP/1.1 100 Continue\r\n\r\n"), kind);
    std::size_t max_held = 0;
    relay.CallConcurrently(1, [&] {
      max_held = std::max(max_held, relay.backends.stats().held_bytes);
    });
    CHECK(max_held < 262'144);
    CHECK(MaxSentBytes(relay.backend) < kSocketBufferBytes);
  }
}

// Guards against a limit of unparsed bytes that refuses sound answers: heads up
// to their limit, and chunks with long extensions and trailers.
TEST_CASE("an answer with long framing is passed on") {
  const std::string head =
      "HTTP/1.1 200 OK\r\n" + std::string(kSigned) +
      "Content-Type: text/plain\r\nX-Long: " + std::string(30'000, 'h') +
      "\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string chunks;
  for (int i = 0; i < 8; ++i) {
    chunks += "4;x=" + std::string(30'000, 'e') + "\r\nbody\r\n";
  }
  RelayFixture relay([&](RawConnection& raw, const std::string&) {
    raw.Send(head + chunks + "0\r\nX-Field: " + std::string(30'000, 't') +
             "\r\n\r\n");
  });
  std::string received = relay.Call();
  CHECK(received.find("HTTP/1.1 200") == 0);
  CHECK(received.find("bodybodybodybodybodybodybodybody") != std::string::npos);
  CHECK(relay.backends.stats().oversized_answers == 0);
}

// Guards against the same on calls that are not forwarded: streams and answers
// of the chat interface, health checks and orders.
TEST_CASE("a call ends when the framing of its answer does not") {
  for (const Framing& framing : EndlessFraming()) {
    for (int kind = 0; kind < 4; ++kind) {
      CAPTURE(framing.first);
      CAPTURE(kind);
      CallFixture fixture(SendForever(framing.first, framing.piece));
      bool ended = false;
      std::size_t max_held = 0;
      BackendCall call;
      call.address = fixture.server.address;
      call.event_stream = kind == 0;
      BackendHandlers handlers;
      handlers.end = [&](const BackendEnd& end) {
        CHECK(end.result == AttemptResult::kBroken);
        ended = true;
      };
      if (kind < 2) {
        fixture.client.Start(call, std::move(handlers));
      } else if (kind == 2) {
        fixture.client.Probe(call.address, milliseconds(2'000),
                             [&](const std::optional<HostHealth>& health) {
                               CHECK_FALSE(health);
                               ended = true;
                             });
      } else {
        fixture.client.SendOrder(
            call.address, HostOrder(),
            std::chrono::steady_clock::now() + milliseconds(2'000),
            [&](bool accepted, bool sent) {
              CHECK_FALSE(accepted);
              CHECK(sent);
              ended = true;
            });
      }
      CHECK(RunUntil(&fixture.io, [&] {
        max_held = std::max(max_held, fixture.client.stats().held_bytes);
        return ended;
      }));
      CHECK(max_held < 262'144);
      CHECK(fixture.client.stats().oversized_answers == 1);
    }
  }
}

// Guards against unparsed bytes of many answers that together fill the memory,
// each of them within its limit.
TEST_CASE("the total size of unparsed bytes is bounded") {
  constexpr std::size_t kMaxHeld = 262'144;
  BackendOptions options;
  options.max_held_bytes = kMaxHeld;
  CallFixture fixture(
      [](RawConnection& raw, const std::string&) {
        raw.Send(Head("text/plain") + std::string(60'000, '0'));
      },
      options);
  int ended = 0;
  std::size_t max_held = 0;
  for (int i = 0; i < 20; ++i) {
    BackendCall call;
    call.address = fixture.server.address;
    call.idempotent = false;
    call.first_byte_timeout = milliseconds(500);
    BackendHandlers handlers;
    handlers.end = [&](const BackendEnd&) { ++ended; };
    fixture.client.Start(call, std::move(handlers));
  }
  CHECK(RunUntil(&fixture.io, [&] {
    max_held = std::max(max_held, fixture.client.stats().held_bytes);
    return ended == 20;
  }));
  CHECK(max_held <= kMaxHeld);
  CHECK(max_held > kMaxHeld / 2);
  CHECK(fixture.client.stats().dropped_answers > 10);
  CHECK(fixture.client.stats().held_bytes == 0);
}

// Guards against a report that is endless or arrives one byte at a time: the
// call never ended, and the server was not asked for a report again.
TEST_CASE("a report call is bounded in time and size") {
  CallFixture endless(
      SendForever(Head("application/json"), Chunk(std::string(65'536, '['))));
  CHECK(endless.MeasureReportCall() < milliseconds(1'500));
  CHECK(endless.body <= 1'048'576);
  boost::asio::io_context* io = nullptr;
  CallFixture slow(SendPeriodically(&io, Head("application/json"), Chunk("["),
                                    milliseconds(100)));
  io = &slow.io;
  milliseconds took = slow.MeasureReportCall();
  CHECK(took >= milliseconds(900));
  CHECK(took < milliseconds(1'500));
}

// Guards against a stalled stream that is not detected because single bytes
// still arrive, and against ending a slow stream that still delivers events.
TEST_CASE("bytes that complete no event do not keep a stream alive") {
  boost::asio::io_context* io = nullptr;
  RelayFixture stalled(SendPeriodically(&io, Head("text/event-stream"),
                                        Chunk("x"), milliseconds(100)),
                       RouteKind::kStream);
  io = &stalled.io;
  stalled.Call();
  CHECK(stalled.FindFleetEvent<GroupUnresponsive>());

  boost::asio::io_context* other = nullptr;
  RelayFixture slow(
      SendPeriodically(&other, Head("text/event-stream"),
                       Chunk("id: 1\ndata: x\n\n"), milliseconds(400)),
      RouteKind::kStream);
  other = &slow.io;
  std::string received = slow.Call();
  CHECK_FALSE(slow.FindFleetEvent<GroupUnresponsive>());
  // The slow stream continues until the route's timeout.
  std::size_t events = 0;
  for (std::size_t at = 0;
       (at = received.find("data: x", at)) != std::string::npos; ++at) {
    ++events;
  }
  CHECK(events >= 8);
}

}  // namespace clementine
