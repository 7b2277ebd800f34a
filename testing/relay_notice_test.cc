// Notices in answers of backend servers (leaving, busy), from the bytes of the
// answer to the events that the relay reports.

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

// Guards against a server that announces in an answer that it is leaving, but
// receives requests until the server list reports it as leaving.
TEST_CASE("a leaving notice is detected on answers, errors and refusals") {
  const std::string leaving = "Server-Leaving: 1\r\n";
  for (const std::string& answer :
       {HttpAnswer(200, "ok", kSigned + leaving),
        HttpAnswer(404, "no", kSigned + leaving),
        HttpAnswer(500, "bad", kSigned + leaving),
        HttpAnswer(503, "", "X-Clementinelb-Not-Executed: 1\r\n" + leaving)}) {
    CAPTURE(answer);
    RelayFixture relay(Always(answer));
    relay.Call();
    auto found = relay.FindFleetEvent<ServerLeaving>();
    REQUIRE(found);
    CHECK(found->host == "h1");
  }
  RelayFixture other(Always(HttpAnswer(200, "ok", kSigned)));
  CHECK(other.Call().find(" 200 ") != std::string::npos);
  CHECK_FALSE(other.FindFleetEvent<ServerLeaving>());
}

// Guards against requests that are sent to a busy server during its backoff,
// and against a Retry-After that ends before the server accepts requests again.
TEST_CASE("a server receives no requests during the backoff it requested") {
  RelayFixture relay(Always(HttpAnswer(
      503, "", "X-Clementinelb-Not-Executed: 1\r\nRetry-After: 4.5\r\n")));
  CHECK(relay.Call().find(" 503 ") != std::string::npos);
  CHECK(relay.backend.requests.size() == 1);
  auto found = relay.FindFleetEvent<ServerBusy>();
  REQUIRE(found);
  CHECK(found->wait == milliseconds(4'500));
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
