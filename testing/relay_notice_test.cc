// What answers of backend servers say of themselves, from their bytes to the
// events that the decisions get.

#include <doctest/doctest.h>

#include "testing/relay_fixture.h"

namespace clementine {
namespace {

using nettest::HttpAnswer;
using nettest::kSigned;
using nettest::RawConnection;
using nettest::RelayFixture;
using nettest::ScriptedServer;

/// Sends one answer to each request.
ScriptedServer::Script Always(const std::string& answer) {
  return [answer](RawConnection& raw, const std::string&) { raw.Send(answer); };
}

}  // namespace

// Guards against a server that says in an answer that it's leaving and goes on
// getting requests until the list tells it (DRAIN).
TEST_CASE("a server's mark is heeded on whole answers, errors and refusals") {
  const std::string leaving = "Server-Leaving: 1\r\n";
  for (const std::string& answer :
       {HttpAnswer(200, "ok", kSigned + leaving),
        HttpAnswer(404, "no", kSigned + leaving),
        HttpAnswer(500, "bad", kSigned + leaving),
        HttpAnswer(503, "", "X-Clementinelb-Not-Executed: 1\r\n" + leaving)}) {
    CAPTURE(answer);
    RelayFixture relay(Always(answer));
    relay.Call();
    auto told = relay.Told<ServerLeaving>();
    REQUIRE(told);
    CHECK(told->host == "h1");
  }
  RelayFixture other(Always(HttpAnswer(200, "ok", kSigned)));
  CHECK(other.Call().find(" 200 ") != std::string::npos);
  CHECK_FALSE(other.Told<ServerLeaving>());
}

// Guards against callers of a busy server who are sent to it all the same, and
// told to come back before it takes requests (BUDGET).
TEST_CASE("a refusal with a time keeps the next requests from its server") {
  RelayFixture relay(Always(HttpAnswer(
      503, "", "X-Clementinelb-Not-Executed: 1\r\nRetry-After: 4.5\r\n")));
  CHECK(relay.Call().find(" 503 ") != std::string::npos);
  CHECK(relay.backend.requests.size() == 1);
  auto told = relay.Told<ServerBusy>();
  REQUIRE(told);
  CHECK(told->wait == milliseconds(4'500));
  for (int i = 0; i < 5; ++i) {
    std::string refused = relay.Call();
    CHECK(refused.find(" 503 ") != std::string::npos);
    std::size_t wait = refused.find("Retry-After: ");
    REQUIRE(wait != std::string::npos);
    CHECK(std::stod(refused.substr(wait + 13)) > 3.5);
  }
  CHECK(relay.backend.requests.size() == 1);
}

}  // namespace clementine
