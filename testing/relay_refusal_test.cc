// Servers that repeat an earlier refusal on a reused connection.

#include <doctest/doctest.h>

#include <memory>
#include <set>

#include "testing/relay_fixture.h"

namespace clementine {
namespace {

using nettest::HttpAnswer;
using nettest::RawConnection;
using nettest::RelayFixture;
using nettest::ScriptedServer;

std::string IdHeader(const std::string& id) {
  return "X-Clementinelb-Attempt-Id: " + id + "\r\n";
}

std::string Refusal(const std::string& headers) {
  return HttpAnswer(503, "", "X-Clementinelb-Not-Executed: 1\r\n" + headers);
}

/// Refuses the first request of a connection with `first_headers`. Answers
/// later requests with a refusal with `again_headers`, as a server would that
/// executes them but repeats an earlier refusal.
ScriptedServer::Script RefuseAgain(const std::string& first_headers,
                                   const std::string& again_headers) {
  auto known = std::make_shared<std::set<const RawConnection*>>();
  return [=](RawConnection& raw, const std::string& /*request*/) {
    bool first = known->insert(&raw).second;
    raw.Send(Refusal(first ? first_headers : again_headers));
  };
}

}  // namespace

// Guards against a request that is reported as not run although it runs,
// because the refusal of the previous request on the same connection was taken
// for its answer. The caller would repeat it, and it would run twice.
TEST_CASE("a repeated refusal isn't taken for the answer to the next request") {
  for (const std::string& again : {std::string(), IdHeader("a1")}) {
    CAPTURE(again);
    RelayFixture relay(RefuseAgain(IdHeader("a1"), again));
    CHECK(relay.Call(IdHeader("a1")).find(" 503 ") != std::string::npos);
    CHECK(relay.Call(IdHeader("a2")).find(" 502 ") != std::string::npos);
    CHECK(relay.backend.connections.size() == 1);
    CHECK(relay.backend.requests.size() == 2);
  }
}

// Guards against the same failure with an earlier attempt of the same request,
// whose refusal carries the same id.
TEST_CASE("a repeated attempt on the same host uses a new connection") {
  RelayFixture relay(RefuseAgain(IdHeader("a1"), IdHeader("a1")),
                     RouteKind::kIdempotent,
                     RefuseAgain(IdHeader("a1"), IdHeader("a1")), 4);
  CHECK(relay.Call(IdHeader("a1")).find(" 503 ") != std::string::npos);
  std::size_t requests =
      relay.backend.requests.size() + relay.other_backend->requests.size();
  std::size_t connections = relay.backend.connections.size() +
                            relay.other_backend->connections.size();
  CHECK(requests >= 3);
  CHECK(connections == requests);
}

}  // namespace clementine
