#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include "net/address.h"
#include "net/net.h"
#include "testing/net_test_support.h"

namespace clementine::nettest {
namespace {

using ExchangePtr = std::shared_ptr<HttpExchange>;

struct Fixture {
  explicit Fixture(HttpLimits limits = {})
      : server(&io, "127.0.0.1:0", std::move(limits),
               [this](ExchangePtr exchange) {
                 exchanges.push_back(std::move(exchange));
               }) {}

  std::shared_ptr<RawConnection> Connect() {
    return RawConnection::Connect(&io, server.address());
  }
  bool Until(const std::function<bool()>& condition) {
    return RunUntil(&io, condition);
  }

  asio::io_context io;
  std::vector<ExchangePtr> exchanges;
  HttpServer server;
};

const char kGet[] = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

// Sends bytes that aren't a valid request and returns the answer.
std::string Rejected(const std::string& bytes, HttpLimits limits,
                     bool finish = false) {
  Fixture fixture(std::move(limits));
  auto caller = fixture.Connect();
  caller->Send(bytes);
  if (finish) {
    RunFor(&fixture.io, milliseconds(20));
    caller->FinishSending();
  }
  CHECK(fixture.Until([&] { return caller->closed; }));
  CHECK(fixture.exchanges.empty());
  CHECK(fixture.server.stats().malformed == 1);
  CHECK(caller->received.find("\"outcome\":\"not-run\"") != std::string::npos);
  return caller->received.substr(0, 12);
}

}  // namespace

// Guards against a bad request that reaches the handler, hangs, or is cut off
// without an answer.
TEST_CASE("http server rejects requests that aren't complete and valid") {
  HttpLimits limits;
  limits.max_header_bytes = 1024;
  limits.max_body_bytes = 2048;
  limits.header_timeout = milliseconds(150);
  limits.body_timeout = milliseconds(150);
  CHECK(Rejected("nonsense\r\n\r\n", limits) == "HTTP/1.1 400");
  CHECK(Rejected("GET / HTTP/1.1\r\nA: " + std::string(4096, 'a') + "\r\n\r\n",
                 limits) == "HTTP/1.1 431");
  CHECK(Rejected("POST / HTTP/1.1\r\nContent-Length: 4096\r\n\r\n" +
                     std::string(4096, 'b'),
                 limits) == "HTTP/1.1 413");
  CHECK(Rejected("GET / HT", limits) == "HTTP/1.1 408");
  CHECK(Rejected("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", limits) ==
        "HTTP/1.1 408");
  CHECK(Rejected("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", limits,
                 true) == "HTTP/1.1 400");
}

// Guards against a body whose coding the server doesn't decode, so that it
// takes the body for the next request (UNASKED).
TEST_CASE("http server rejects transfer codings that it does not decode") {
  for (const std::string& coding : std::vector<std::string>{
           "identity", "gzip", "chunked, identity", "gzip, chunked", "",
           "xchunked", "chunked, chunked", "chunked\r\nTransfer-Encoding: gzip",
           "identity\r\nContent-Length: 5"}) {
    CAPTURE(coding);
    // A body in chunks isn't rejected for its text.
    for (const char* body : {kGet, "4\r\nbody\r\n0\r\n\r\n"}) {
      CHECK(Rejected(std::string("POST / HTTP/1.1\r\nHost: x\r\n"
                                 "Transfer-Encoding: ") +
                         coding + "\r\n\r\n" + body,
                     {}) == "HTTP/1.1 400");
    }
  }
  CHECK(Rejected("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n\r\n",
                 {}) == "HTTP/1.1 400");
  Fixture fixture;
  auto caller = fixture.Connect();
  caller->Send(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n"
      "4\r\nbody\r\n0\r\n\r\n");
  REQUIRE(fixture.Until([&] { return fixture.exchanges.size() == 1; }));
  CHECK(fixture.exchanges[0]->request().body == "body");
}

// Guards against a whole request that gets no answer because an error escapes
// while it is handled (LOST).
TEST_CASE("http server answers a request whose handler fails") {
  asio::io_context io;
  int requests = 0;
  bool left = false;
  HttpServer server(&io, "127.0.0.1:0", {}, [&](const ExchangePtr& exchange) {
    exchange->SetLeaveHandler([&left] { left = true; });
    if (++requests == 1) throw std::runtime_error("no memory");
    exchange->Answer(200, {}, "ok");
  });
  auto caller = RawConnection::Connect(&io, server.address());
  caller->Send(std::string(kGet) + kGet);
  RunUntil(&io, [&] {
    return caller->closed || caller->received.find("ok") != std::string::npos;
  });
  CHECK(caller->received.starts_with("HTTP/1.1 500"));
  CHECK(caller->received.find("HTTP/1.1 200") != std::string::npos);
  CHECK(left);
  CHECK(server.stats().callers_left == 0);
}

// Guards against callers that are taken for gone because the rest of their
// request, sent just after its head, was read before the event of its arrival
// (LOST).
TEST_CASE("http server answers requests that come in pieces") {
  constexpr int kRequests = 400;
  Fixture fixture;
  std::atomic<int> answered{0};
  std::atomic<bool> finished{false};
  std::thread caller([&] {
    asio::io_context own;
    tcp::socket socket(own);
    boost::system::error_code error;
    socket.connect(ParseEndpoint(fixture.server.address()), error);
    socket.set_option(tcp::no_delay(true), error);
    const std::string head =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1500\r\n\r\n";
    const std::string body(1'500, 'b');
    for (int i = 0; i < kRequests && !error; ++i) {
      asio::write(socket, asio::buffer(head), error);
      // Pauses of up to 150 us, shorter than a sleep would be.
      auto until =
          std::chrono::steady_clock::now() + std::chrono::microseconds(i % 150);
      while (std::chrono::steady_clock::now() < until) {
      }
      asio::write(socket, asio::buffer(body), error);
      std::string answer;
      asio::read_until(socket, asio::dynamic_buffer(answer), "done", error);
      if (!error) ++answered;
    }
    finished = true;
  });
  asio::steady_timer work(fixture.io);
  std::size_t begun = 0;
  bool ended = RunUntil(&fixture.io, [&] {
    while (begun < fixture.exchanges.size()) {
      ExchangePtr exchange = fixture.exchanges[begun++];
      work.expires_after(milliseconds(1));
      work.async_wait([exchange](const boost::system::error_code&) {
        exchange->Answer(200, {}, "done");
      });
    }
    return finished.load();
  });
  caller.join();
  CHECK(ended);
  CHECK(answered == kRequests);
  CHECK(fixture.server.stats().callers_left == 0);
}

// Guards against answers that reach the wrong request of a connection.
TEST_CASE("http server answers pipelined requests in order") {
  Fixture fixture;
  auto caller = fixture.Connect();
  caller->Send(std::string(kGet) + "GET /b?q=1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.Until([&] { return fixture.exchanges.size() == 1; }));
  fixture.exchanges[0]->Answer(200, {{"Bad", "x\r\nInjected: y"}}, "first");
  fixture.exchanges[0]->Answer(500, {}, "ignored");
  REQUIRE(fixture.Until([&] { return fixture.exchanges.size() == 2; }));
  CHECK(fixture.exchanges[1]->request().path == "/b");
  CHECK(fixture.exchanges[1]->request().query == "q=1");
  fixture.exchanges[1]->Answer(200, {}, "second");
  REQUIRE(fixture.Until(
      [&] { return caller->received.find("second") != std::string::npos; }));
  CHECK(caller->received.find("first") < caller->received.find("second"));
  CHECK(caller->received.find("ignored") == std::string::npos);
  CHECK(caller->received.find("Injected") == std::string::npos);
  CHECK_FALSE(caller->closed);
}

// Guards against work that goes on for a caller who is gone.
TEST_CASE("http server notices a caller that leaves") {
  Fixture fixture;
  auto caller = fixture.Connect();
  caller->Send(kGet);
  REQUIRE(fixture.Until([&] { return fixture.exchanges.size() == 1; }));
  int left = 0;
  fixture.exchanges[0]->SetLeaveHandler([&] { ++left; });
  fixture.exchanges[0]->StartStream(200, {});
  fixture.exchanges[0]->Write("x");
  RunFor(&fixture.io, milliseconds(50));
  CHECK(left == 0);
  caller->Close();
  CHECK(fixture.Until([&] { return left == 1; }));
  fixture.exchanges[0]->Write("late");
  fixture.exchanges[0]->EndStream();
  fixture.exchanges.clear();
  CHECK(fixture.Until([&] { return fixture.server.stats().connections == 0; }));
  CHECK(left == 1);
}

// Guards against unbounded memory for a slow caller, and against bytes that are
// lost or reordered when its stream is paused.
TEST_CASE("http server applies backpressure to a caller that reads slowly") {
  Fixture fixture;
  auto caller = fixture.Connect();
  caller->paused = true;
  caller->Send(kGet);
  REQUIRE(fixture.Until([&] { return fixture.exchanges.size() == 1; }));
  HttpExchange& exchange = *fixture.exchanges[0];
  int drained = 0;
  exchange.SetDrainHandler([&] { ++drained; });
  exchange.StartStream(200, {});
  std::string expected;
  bool open = true;
  for (int i = 0; open && i < 100'000; ++i) {
    std::string part = std::to_string(i) + std::string(1000, '.');
    expected += part;
    open = exchange.Write(part);
    fixture.io.poll();
  }
  REQUIRE_FALSE(open);
  CHECK(drained == 0);
  caller->Resume();
  REQUIRE(fixture.Until([&] { return drained == 1; }));
  exchange.EndStream();
  REQUIRE(
      fixture.Until([&] { return caller->received.ends_with("0\r\n\r\n"); }));
  std::string body;
  std::string rest = caller->received.substr(caller->received.find("\r\n\r\n"));
  rest.erase(0, 4);
  while (std::size_t size = std::stoul(rest, nullptr, 16)) {
    std::size_t start = rest.find("\r\n") + 2;
    body += rest.substr(start, size);
    rest.erase(0, start + size + 2);
  }
  CHECK(body == expected);
}

// Guards against a caller that never reads and holds its request for ever.
TEST_CASE("http server gives up on a caller that stops reading") {
  HttpLimits limits;
  limits.write_timeout = milliseconds(200);
  Fixture fixture(limits);
  auto caller = fixture.Connect();
  caller->paused = true;
  caller->Send(kGet);
  REQUIRE(fixture.Until([&] { return fixture.exchanges.size() == 1; }));
  int left = 0;
  fixture.exchanges[0]->SetLeaveHandler([&] { ++left; });
  fixture.exchanges[0]->StartStream(200, {});
  // More than the kernel buffers for a connection.
  std::string megabyte(1 << 20, 'x');
  for (int i = 0; i < 32; ++i) fixture.exchanges[0]->Write(megabyte);
  CHECK(fixture.Until([&] { return left == 1; }));
}

// Guards against more connections than the limit, and against a limit that
// stays reached after connections were closed.
TEST_CASE("http server limits its connections") {
  HttpLimits limits;
  limits.max_connections = 1;
  Fixture fixture(limits);
  auto first = fixture.Connect();
  REQUIRE(
      fixture.Until([&] { return fixture.server.stats().connections == 1; }));
  auto second = fixture.Connect();
  REQUIRE(fixture.Until([&] { return second->closed; }));
  CHECK(second->received.starts_with("HTTP/1.1 503"));
  first->Close();
  REQUIRE(
      fixture.Until([&] { return fixture.server.stats().connections == 0; }));
  auto third = fixture.Connect();
  third->Send(kGet);
  CHECK(fixture.Until([&] { return fixture.exchanges.size() == 1; }));
}

// Guards against a planned stop that cuts off an answer.
TEST_CASE("http server finishes running answers when it stops") {
  Fixture fixture;
  auto idle = fixture.Connect();
  auto caller = fixture.Connect();
  caller->Send(kGet);
  REQUIRE(fixture.Until([&] { return fixture.exchanges.size() == 1; }));
  fixture.server.Stop();
  CHECK(fixture.Until([&] { return idle->closed; }));
  CHECK_FALSE(caller->closed);
  fixture.exchanges[0]->Answer(200, {}, "complete");
  CHECK(fixture.Until([&] { return caller->closed; }));
  CHECK(caller->received.find("Connection: close") != std::string::npos);
  CHECK(caller->received.ends_with("complete"));
}

// Guards against chunks that an HTTP/1.0 caller takes for the text of a stream,
// and against a stream that was cut off and looks complete to it (ORDER).
TEST_CASE("a stream to an HTTP/1.0 caller ends with its connection") {
  for (bool complete : {true, false}) {
    CAPTURE(complete);
    Fixture fixture;
    auto caller = fixture.Connect();
    caller->Send("GET /a HTTP/1.0\r\nHost: x\r\n\r\n");
    CHECK(fixture.Until([&] { return !fixture.exchanges.empty(); }));
    fixture.exchanges[0]->StartStream(200, {});
    fixture.exchanges[0]->Write("data: x\n\n");
    CHECK(fixture.Until(
        [&] { return caller->received.ends_with("\r\n\r\ndata: x\n\n"); }));
    if (complete) {
      fixture.exchanges[0]->EndStream();
    } else {
      fixture.exchanges[0]->Abort();
    }
    CHECK(fixture.Until([&] { return caller->closed; }));
    CHECK(caller->received.find("chunked") == std::string::npos);
    CHECK(caller->received.ends_with("data: x\n\n"));
    CHECK((caller->close_error == boost::asio::error::eof) == complete);
  }
}

}  // namespace clementine::nettest
