#include "daemon/crash_notices.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "testing/net_test_support.h"

namespace clementine {
namespace {

using nettest::RawConnection;
using nettest::RunFor;
using nettest::RunUntil;
using nettest::ScriptedServer;

/// A daemon that receives notices.
struct Listener {
  Listener(boost::asio::io_context* io, ChangeKeys keys)
      : notices(io, std::move(keys),
                [this](const std::string& text) { received.push_back(text); }),
        server(io, "127.0.0.1:0", HttpLimits{},
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 notices.Accept(exchange.get());
               }) {}

  std::vector<std::string> received;
  CrashNotices notices;
  HttpServer server;
};

}  // namespace

// Guards against notices from unauthorised senders that can reach the port.
// They could make the whole fleet refuse any request.
TEST_CASE("a notice is accepted only with a key that both daemons share") {
  boost::asio::io_context io;
  struct Case {
    ChangeKeys sender_keys, receiver_keys;
    bool accepted;
  };
  const std::vector<Case> cases = {{{}, {}, true},
                                   {{"new"}, {"new"}, true},
                                   {{"old"}, {"new", "old"}, true},
                                   {{"new"}, {"old"}, false},
                                   {{}, {"new"}, false}};
  for (const Case& keys : cases) {
    Listener to(&io, keys.receiver_keys);
    Listener from(&io, keys.sender_keys);
    from.notices.SendNotice({to.server.address()}, "4000000000 d/x");
    RunUntil(&io, [&] { return to.server.stats().requests == 1; });
    RunFor(&io, milliseconds(50));
    CHECK(to.received.size() == (keys.accepted ? 1 : 0));
  }
  // A code is valid for one text only.
  std::string code = SignNotice({"new"}, "4000000000 d/x");
  CHECK(VerifyNotice({"new"}, "4000000000 d/x", code));
  CHECK_FALSE(VerifyNotice({"new"}, "4000000000 e/x", code));
  CHECK_FALSE(VerifyNotice({"new"}, "4000000000 d/x", ""));
}

// Guards against partitioned daemons that delay notices to other daemons, and
// against concurrent connections to all daemons of a large fleet.
TEST_CASE("daemons that don't answer do not block notices to others") {
  boost::asio::io_context io;
  ScriptedServer unresponsive(&io, [](RawConnection&, const std::string&) {});
  Listener to(&io, {});
  Listener from(&io, {});
  std::vector<std::string> addresses(100, unresponsive.address);
  addresses.push_back("127.0.0.1:1");  // Refuses connections.
  addresses.push_back(to.server.address());
  from.notices.SendNotice(addresses, "4000000000 d/x");
  RunFor(&io, milliseconds(200));
  CHECK(unresponsive.connections.size() <= 32);
  CHECK(RunUntil(&io, [&] { return to.received.size() == 1; }));
  // A later notice replaces the pending sends of the earlier one.
  from.notices.SendNotice(addresses, "4000000000 first");
  from.notices.SendNotice({to.server.address()}, "4000000000 second");
  CHECK(RunUntil(&io, [&] { return to.received.size() == 2; }));
  RunFor(&io, milliseconds(700));
  CHECK(to.received.size() == 2);
  CHECK(to.received.back() == "4000000000 second");
}

}  // namespace clementine
