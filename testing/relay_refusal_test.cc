// Servers that write an earlier refusal once more on a kept connection.

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

/// Refuses the first request of a connection and names it. To further ones it
/// writes a refusal with other headers, though it runs them.
ScriptedServer::Script Repeating(const std::string& first_headers,
                                 const std::string& again_headers) {
  auto known = std::make_shared<std::set<const RawConnection*>>();
  return [=](RawConnection& raw, const std::string& /*request*/) {
    bool first = known->insert(&raw).second;
    raw.Send(Refusal(first ? first_headers : again_headers));
  };
}

}  // namespace

// Guards against callers who are told "not run" for a request that runs, by a
// refusal of the request before it on the same connection (REFUSED, TWICE).
TEST_CASE("an earlier refusal is no answer to the next request") {
  for (const std::string& again : {std::string(), IdHeader("a1")}) {
    CAPTURE(again);
    RelayFixture relay(Repeating(IdHeader("a1"), again));
    CHECK(relay.Call(IdHeader("a1")).find(" 503 ") != std::string::npos);
    CHECK(relay.Call(IdHeader("a2")).find(" 502 ") != std::string::npos);
    CHECK(relay.backend.connections.size() == 1);
    CHECK(relay.backend.requests.size() == 2);
  }
}

// Guards against the same by an earlier attempt of the same request, whose
// refusal names it too.
TEST_CASE("a request comes to a host again over a connection of its own") {
  RelayFixture relay(Repeating(IdHeader("a1"), IdHeader("a1")),
                     RouteKind::kIdempotent,
                     Repeating(IdHeader("a1"), IdHeader("a1")), 4);
  CHECK(relay.Call(IdHeader("a1")).find(" 503 ") != std::string::npos);
  std::size_t requests =
      relay.backend.requests.size() + relay.other_backend->requests.size();
  std::size_t connections = relay.backend.connections.size() +
                            relay.other_backend->connections.size();
  CHECK(requests >= 3);
  CHECK(connections == requests);
}

}  // namespace clementine
