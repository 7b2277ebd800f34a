// Tests that the bytes held of unfinished messages are bounded, whatever the
// platform or callers send.

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

#include "net/net.h"
#include "platform/platform.h"
#include "testing/net_test_support.h"

namespace clementine {
namespace {

using nettest::Chunk;
using nettest::RawConnection;
using nettest::RunUntil;
using nettest::ScriptedServer;

const char kJsonHead[] =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string PartialRequest(std::size_t body_bytes) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" +
         std::string(body_bytes, 'b');
}

struct ServerFixture {
  explicit ServerFixture(HttpLimits limits)
      : server(&io, "127.0.0.1:0", std::move(limits),
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 exchanges.push_back(exchange);
               }) {}

  std::shared_ptr<RawConnection> Send(const std::string& bytes) {
    auto caller = RawConnection::Connect(&io, server.address());
    caller->Send(bytes);
    return caller;
  }
  bool Until(const std::function<bool()>& condition) {
    return RunUntil(&io, condition);
  }

  boost::asio::io_context io;
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  HttpServer server;
};

}  // namespace

// Guards against answers of the platform with endless framing, on both
// interfaces.
TEST_CASE("a platform answer with endless framing ends the call") {
  for (const std::string& first :
       {std::string(kJsonHead), std::string(kJsonHead) + "4;x=",
        std::string(kJsonHead) + "0\r\nX-Field: "}) {
    CAPTURE(first);
    boost::asio::io_context io;
    ScriptedServer server(&io, [&](RawConnection& raw, const std::string&) {
      raw.Send(first);
      raw.Flood(std::string(16'384, '0'));
    });
    PlatformClient client(&io, server.address, "");
    platform::ObjectStore store(&io, server.address, milliseconds(2'000));
    int ended = 0;
    client.Get(GetObject{1, "a"}, [&](const ObjectReply& reply) {
      CHECK(reply.status == ObjectStatus::kUnknown);
      ++ended;
    });
    store.Watch("server", 1, milliseconds(1'000),
                [&](const platform::ObjectBatch&) { ++ended; });
    std::size_t max_held = 0;
    auto start = std::chrono::steady_clock::now();
    CHECK(RunUntil(&io, [&] {
      max_held = std::max({max_held, client.held_bytes(), store.held_bytes()});
      return ended == 2;
    }));
    CHECK(std::chrono::steady_clock::now() - start < milliseconds(1'000));
    CHECK(max_held <= 65'536);
    CHECK(client.dropped_answers() == 1);
    CHECK(store.dropped_answers() == 1);
  }
}

// Guards against platform answers that are each within their limit and fill the
// memory together.
TEST_CASE("the total size of unfinished platform answers is bounded") {
  boost::asio::io_context io;
  ScriptedServer server(&io, [&](RawConnection& raw, const std::string&) {
    std::string body;
    body.resize(12'000'000, ' ');
    raw.Send(kJsonHead + Chunk(body));
  });
  PlatformClient client(&io, server.address, "");
  int ended = 0;
  std::size_t max_held = 0;
  for (int i = 0; i < 6; ++i) {
    client.Get(GetObject{static_cast<CallId>(i), "a"},
               [&](const ObjectReply&) { ++ended; });
  }
  CHECK(RunUntil(&io, [&] {
    max_held = std::max(max_held, client.held_bytes());
    return ended == 6;
  }));
  CHECK(max_held <= 32'000'000);
  CHECK(client.dropped_answers() >= 4);
  CHECK(client.held_bytes() == 0);
}

// Guards against unfinished requests that fill the memory together, and against
// a limit that refuses the small requests of other callers for them.
TEST_CASE("the largest unfinished requests make room for others") {
  HttpLimits limits;
  limits.max_held_bytes = 1'000'000;
  ServerFixture fixture(limits);
  std::vector<std::shared_ptr<RawConnection>> large;
  std::size_t max_held = 0;
  for (int i = 0; i < 8; ++i) {
    large.push_back(fixture.Send(PartialRequest(300'000)));
    auto small = fixture.Send(
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nsmall one");
    std::size_t before = fixture.exchanges.size();
    CHECK(fixture.Until([&] {
      max_held = std::max(max_held, fixture.server.stats().held_bytes);
      return fixture.exchanges.size() > before;
    }));
    fixture.exchanges.back()->Answer(200, {}, "");
    CHECK(fixture.Until(
        [&] { return small->received.find(" 200 ") != std::string::npos; }));
  }
  CHECK(fixture.Until(
      [&] { return fixture.server.stats().dropped_requests >= 5; }));
  CHECK(max_held <= limits.max_held_bytes + 65'536);
  CHECK(fixture.Until([&] {
    return std::count_if(large.begin(), large.end(), [](const auto& caller) {
             return caller->received.find("HTTP/1.1 503") == 0 &&
                    caller->received.find("Retry-After: 1") !=
                        std::string::npos;
           }) >= 5;
  }));
  CHECK(fixture.server.stats().malformed == 0);
}

// Guards against requests that count after their answer, so that a server ends
// up refusing all.
TEST_CASE("answered requests and idle connections hold no bytes") {
  HttpLimits limits;
  limits.max_held_bytes = 400'000;
  ServerFixture fixture(limits);
  auto caller = RawConnection::Connect(&fixture.io, fixture.server.address());
  for (int i = 0; i < 5; ++i) {
    caller->Send(
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
        std::string(200'000, 'b'));
    std::size_t before = fixture.exchanges.size();
    CHECK(fixture.Until([&] { return fixture.exchanges.size() > before; }));
    CHECK(fixture.server.stats().held_bytes >= 200'000);
    fixture.exchanges.back()->Answer(200, {}, "");
    fixture.exchanges.pop_back();
    CHECK(
        fixture.Until([&] { return fixture.server.stats().held_bytes == 0; }));
  }
  CHECK(fixture.server.stats().dropped_requests == 0);
  caller->Close();
  CHECK(fixture.Until([&] { return fixture.server.stats().connections == 0; }));
}

}  // namespace clementine
