// Limits of a listener against clients that stop, are slow, or are many.

#include <doctest/doctest.h>

#include <vector>

#include "daemon/process_limits.h"
#include "net/net.h"
#include "nlohmann/json.hpp"
#include "platform/platform.h"
#include "testing/net_test_support.h"

namespace clementine {
namespace {

using nettest::RawConnection;
using nettest::RunFor;
using nettest::RunUntil;

const char kGet[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

std::string PostHead(int length) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

struct Fixture {
  explicit Fixture(const HttpLimits& limits)
      : server(&io, "127.0.0.1:0", limits,
               [](const std::shared_ptr<HttpExchange>& exchange) {
                 exchange->Answer(200, {}, "answer");
               }) {}

  std::shared_ptr<RawConnection> Send(const std::string& bytes) {
    auto caller = RawConnection::Connect(&io, server.address());
    if (!bytes.empty()) caller->Send(bytes);
    return caller;
  }
  bool Got(const std::shared_ptr<RawConnection>& caller, const char* text) {
    return RunUntil(
        &io, [&] { return caller->received.find(text) != std::string::npos; });
  }

  boost::asio::io_context io;
  HttpServer server;
};

}  // namespace

// Guards against a body that stops half-way and keeps its connection.
TEST_CASE("a request that stops half-way is told so") {
  HttpLimits limits;
  limits.body_timeout = milliseconds(300);
  Fixture fixture(limits);
  auto caller = fixture.Send(PostHead(100) + "part");
  CHECK(fixture.Got(caller, "HTTP/1.1 408"));
  CHECK(fixture.Got(caller, "not-run"));
  CHECK(fixture.server.stats().timed_out_requests == 1);
  CHECK(RunUntil(&fixture.io,
                 [&] { return fixture.server.stats().connections == 0; }));
  CHECK(fixture.server.stats().charged_bytes == 0);
}

// Guards against a limit on the whole time of a body, which a legal client on a
// poor line can't meet.
TEST_CASE("a slow body that goes on is served") {
  HttpLimits limits;
  limits.header_timeout = milliseconds(16'384);  // 1,000 bytes a second.
  limits.body_timeout = milliseconds(1'000);
  Fixture fixture(limits);
  auto caller = fixture.Send(PostHead(9'000));
  for (int i = 0; i < 9; ++i) {
    RunFor(&fixture.io, milliseconds(200));
    caller->Send(std::string(1'000, 'b'));
  }
  CHECK(fixture.Got(caller, "HTTP/1.1 200"));
}

// Guards against silent connections that keep new callers out.
TEST_CASE("silent connections make room for a new caller") {
  HttpLimits limits;
  limits.max_connections = 4;
  Fixture fixture(limits);
  std::vector<std::shared_ptr<RawConnection>> silent;
  for (int i = 0; i < 4; ++i) silent.push_back(fixture.Send("G"));
  RunFor(&fixture.io, milliseconds(700));
  auto caller = fixture.Send(kGet);
  CHECK(fixture.Got(caller, "HTTP/1.1 200"));
  CHECK(fixture.server.stats().closed_for_others >= 1);
  CHECK(fixture.server.stats().connections <= 4);
}

// Guards against pipelined requests that keep all connections busy.
TEST_CASE("at the limit of connections a pipelining one ends with its answer") {
  HttpLimits limits;
  limits.max_connections = 1;
  Fixture fixture(limits);
  auto caller = fixture.Send(std::string(kGet) + kGet + kGet);
  CHECK(fixture.Got(caller, "Connection: close"));
  CHECK(RunUntil(&fixture.io, [&] { return caller->closed; }));
  CHECK(fixture.server.stats().requests == 1);
}

// Guards against an ordinary caller's idle connection that is closed just when
// it's used again.
TEST_CASE("connections of ordinary callers aren't closed for new ones") {
  HttpLimits limits;
  limits.max_connections = 2;
  Fixture fixture(limits);
  auto first = fixture.Send(kGet);
  auto second = fixture.Send(kGet);
  CHECK(fixture.Got(first, "HTTP/1.1 200"));
  CHECK(fixture.Got(second, "HTTP/1.1 200"));
  RunFor(&fixture.io, milliseconds(700));
  auto third = fixture.Send(kGet);
  CHECK(fixture.Got(third, "HTTP/1.1 503"));
  CHECK(fixture.Got(third, "Retry-After"));
  first->received.clear();
  first->Send(kGet);
  CHECK(fixture.Got(first, "HTTP/1.1 200"));
}

// Guards against many fields below the limit of bytes.
TEST_CASE("fields beyond the limit of their number are refused") {
  HttpLimits limits;
  limits.max_header_fields = 10;
  Fixture fixture(limits);
  std::string head = "GET /x HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 9; ++i) head += "a:b\r\n";
  CHECK(fixture.Got(fixture.Send(head + "\r\n"), "HTTP/1.1 200"));
  CHECK(fixture.Got(fixture.Send(head + "a:b\r\n\r\n"), "HTTP/1.1 431"));
  CHECK(fixture.Got(fixture.Send(head + "a:b\r\na:b\r\na:b\r\na:b\r\n"),
                    "HTTP/1.1 431"));
}

// Guards against a larger limit of a new configuration that holds only for
// connections made afterwards.
TEST_CASE("larger limits hold on present connections") {
  HttpLimits limits;
  limits.max_body_bytes = 1'024;
  Fixture fixture(limits);
  auto caller = fixture.Send(kGet);
  CHECK(fixture.Got(caller, "HTTP/1.1 200"));
  FleetLimits fleet;
  fleet.max_body_bytes = 4'096;
  fixture.server.SetLimits(WithFleetLimits(fixture.server.limits(), fleet));
  caller->received.clear();
  caller->Send(PostHead(2'000) + std::string(2'000, 'b'));
  CHECK(fixture.Got(caller, "HTTP/1.1 200"));
}

TEST_CASE("a configuration never narrows sizes and the time for a head") {
  HttpLimits limits = WithFleetLimits(
      HttpLimits{},
      {100, 4'194'304, milliseconds(3'000), milliseconds(15'000)});
  CHECK(limits.max_header_bytes == 16'384);
  CHECK(limits.max_body_bytes == 4'194'304);
  CHECK(limits.header_timeout == milliseconds(10'000));
  CHECK(limits.idle_timeout == milliseconds(15'000));
}

// Guards against limits that are lost when a configuration is split, and
// against values that aren't limits.
TEST_CASE("limits of a configuration are decoded, whole or split") {
  nlohmann::json stored = {{"version", 3},
                           {"routes", nlohmann::json::array()},
                           {"services", nlohmann::json::array()},
                           {"limits",
                            {{"max_header_bytes", 16'384},
                             {"max_body_bytes", "large"},
                             {"header_timeout_ms", -5},
                             {"idle_timeout_ms", 15'000}}}};
  platform::ConfigurationParts parts;
  parts.Take(true, platform::SplitConfiguration(stored, 1));
  std::vector<FleetConfiguration> both = {
      platform::DecodeConfiguration(stored.dump()), parts.Assemble().value()};
  for (const FleetConfiguration& configuration : both) {
    CHECK(configuration.limits.max_header_bytes == 16'384);
    CHECK(configuration.limits.max_body_bytes == 0);
    CHECK(configuration.limits.header_timeout == milliseconds(0));
    CHECK(configuration.limits.idle_timeout == milliseconds(15'000));
  }
}

}  // namespace clementine
